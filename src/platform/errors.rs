//! Errors of the platform's settings and calls; the numbers are in docs/ERRORS.md.

use {crate::platform::StoreItem, snafu::Snafu};

/// Why the platform's settings or messages could not be used.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    #[snafu(display("E5001 cannot read the settings file {path}: {source}; check the path"))]
    ReadSettings {
        path: String,
        source: std::io::Error,
    },
    #[snafu(display("E5002 settings file not understood: {message}; see docs/OPERATIONS.md"))]
    BadSettings { message: String },
    #[snafu(display("E5003 configuration not understood: {message}"))]
    BadConfig { message: String },
    #[snafu(display("E5004 job not understood: {message}"))]
    BadJob { message: String },
    #[snafu(display("E5005 executor entry not understood: {message}"))]
    BadEntry { message: String },
    #[snafu(display("E5006 record in the store not understood: {message}"))]
    BadRecord { message: String },
}

/// Why a call to the store brought no success.
#[derive(Clone, Debug)]
pub enum StoreError {
    /// A condition did not hold; the items that it named, as they are.
    Conflict(Vec<StoreItem>),
    /// The history asked for is gone.
    Compacted,
    /// No such lease.
    LeaseNotFound,
    /// Nothing was done.
    Busy,
    /// No answer, or none that is understood: it may have been carried out, or may be later.
    Unknown,
}
