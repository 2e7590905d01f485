//! The node process and the command line of cactusyoke.
//!
//! [`Server`] assembles one node: `gateway` accepts requests of callers and outgoing calls of the
//! local upstream (the one beside the node), `dispatch` sends them to an instance, `instance` runs
//! them on the local upstream, and `keyed_runs` makes requests with an idempotency key run at most
//! once. The control loops are `spread` (configuration), `roster_actor` (witnesses) and
//! `upstream_follower` (the upstream's lifecycle).

mod admission;
mod balancing;
mod buffered_body;
mod build;
mod command;
mod control;
mod control_requests;
mod core;
mod crashes;
mod directory_client;
mod directory_entry;
mod directory_feed;
mod directory_follower;
mod dispatch;
mod event_limiter;
mod exit;
mod gateway;
mod instance;
mod interface;
mod kept_answer;
mod keyed_call;
mod keyed_runs;
mod listeners;
mod load_control;
mod log;
mod member_source;
mod meters;
mod operator_node;
mod parents;
mod raw_settings;
mod relay;
mod roster_actor;
mod roster_cache;
mod send_policy;
mod sent_call;
mod server;
mod settings;
mod settings_error;
mod spread;
mod start_error;
mod status;
pub mod subcommand;
mod tenants;
mod tracked_body;
mod upstream_follower;
mod usage_caps;

pub use {
  balancing::BalancingMode,
  command::Command,
  core::Core,
  interface::{Interface, InterfaceName},
  raw_settings::{RawCentre, RawLimits, RawRetryBudget, RawSettings, RawUsageCaps},
  server::{Server, Unfinished},
  settings::{Centre, Settings},
  settings_error::SettingsError,
  start_error::StartError,
};
