//! The operators' command-line client, started by `main`.
//!
//! It calls the nodes over their operators' and metrics addresses, or reads files; it keeps no
//! state and never contacts the store itself.

mod args;
mod changes;
mod client;
mod command;
mod errors;
mod fleet;
mod load;
mod log;
mod table;
mod views;

pub use {
    args::{Args, OutputFormat},
    client::Client,
    command::{COMMANDS, Command, run},
    errors::{CliError, ExitKind},
    table::Table,
};
