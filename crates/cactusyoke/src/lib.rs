//! The node process and the command line of cactusyoke.

pub mod subcommand;
