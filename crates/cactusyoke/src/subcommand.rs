//! What each subcommand does, one file each.

pub(crate) mod check;
pub(crate) mod node;
