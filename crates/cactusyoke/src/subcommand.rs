//! The commands, one per file.

mod audit;
mod author;
mod change_options;
pub(crate) mod check;
mod command_error;
mod drain;
pub(crate) mod node;
mod node_options;
mod operator;
mod preset;
mod preset_edit;
mod preset_import;
mod preset_list;
mod preset_show;
mod preset_use;
mod quarantine;
mod quarantine_list;
mod quarantine_release;
mod report_failure;
mod status;
mod table;
mod undrain;

pub use audit::Audit;
pub use author::Author;
pub use change_options::ChangeOptions;
pub use command_error::CommandError;
pub use drain::Drain;
pub use node_options::NodeOptions;
pub use operator::{Operator, operator};
pub use preset::Preset;
pub use preset_edit::PresetEdit;
pub use preset_import::PresetImport;
pub use preset_list::PresetList;
pub use preset_show::PresetShow;
pub use preset_use::PresetUse;
pub use quarantine::Quarantine;
pub use quarantine_list::QuarantineList;
pub use quarantine_release::QuarantineRelease;
pub use report_failure::report_failure;
pub use status::Status;
pub use undrain::Undrain;

use {
  audit::audit, author::author, change_options::change_options, drain::drain,
  node_options::node_options, preset::preset, preset_edit::preset_edit,
  preset_import::preset_import, preset_list::preset_list, preset_show::preset_show,
  preset_use::preset_use, quarantine::quarantine, quarantine_list::quarantine_list,
  quarantine_release::quarantine_release, status::status, table::Table, undrain::undrain,
};
