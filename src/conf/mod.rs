//! Settings of the daemon and the operators' document, read from YAML and validated.
//!
//! Used by the daemon at its start, by `core` and `app` for the document in force, and by the
//! client to check and compare documents. Decides nothing about scheduling and does no I/O
//! besides reading the settings file.

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
