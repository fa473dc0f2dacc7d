//! Errors of the platform's settings, messages and store; the numbers are in docs/ERRORS.md.
//!
//! Returned by this folder to the entry layer and the command line, which log or print them.

use {
    crate::platform::StoreItem,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
};

/// Why the platform's settings, a message or a record could not be used. `message` says what is
/// wrong.
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
    #[snafu(display("E5007 request to evacuate a zone not understood: {message}"))]
    BadEvacuation { message: String },
    #[snafu(display("E5008 request for maintenance not understood: {message}"))]
    BadWave { message: String },
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StoreError {
    /// A condition did not hold; holds the current state of the items that conditions named.
    Conflict(Vec<StoreItem>),
    /// The history after the requested revision is gone; read the range again.
    Compacted,
    /// The lease does not exist or has expired.
    LeaseNotFound,
    /// The store refused the call and did nothing.
    Busy,
    /// No usable reply: the call may have been carried out, or may still be.
    Unknown,
    /// The store refused the call, did nothing, and would refuse it again.
    Refused,
}
