//! Settings of the daemon and documents of the operators.

mod digest;
mod document;
mod errors;
mod settings;

pub use {
    digest::digest,
    document::{Document, MOST_TASKS, Objective, Placement, PoolPolicy, QueuePolicy},
    errors::{ConfError, Fault},
    settings::{Settings, SettingsBuilder},
};
