//! The operators' client.

mod args;
mod changes;
mod client;
mod command;
mod errors;
mod fleet;
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
