//! Settings of the daemon and documents of the operators.

mod diff;
mod digest;
mod document;
mod errors;
mod settings;

pub use {
    diff::diff,
    digest::digest,
    document::{Document, MOST_TASKS, Objective, Placement, PoolPolicy, QueuePolicy},
    errors::{ConfError, Fault},
    settings::{Settings, SettingsBuilder},
};
