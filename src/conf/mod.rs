//! Settings of the daemon and documents of the operators.

mod diff;
mod digest;
mod document;
mod errors;
mod settings;

pub use {
    diff::diff,
    digest::digest,
    document::{Document, MAX_TASKS_PER_JOB, Objective, Placement, PoolPolicy, QueuePolicy},
    errors::{ConfError, Fault},
    settings::{Settings, SettingsBuilder},
};
