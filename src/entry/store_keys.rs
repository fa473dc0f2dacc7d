//! Keys of the project in the platform's store, and their values (postcard).

use {
    crate::{entry::EntryError, fleet::JobId},
    serde::{Serialize, de::DeserializeOwned},
};

/// Live nodes and the owner; all nodes watch it.
pub const MEMBERS_PREFIX: &str = "m/";

/// Start of the keys of live nodes, each with the node's lease.
pub const NODES_PREFIX: &str = "m/node/";

/// The owner, with its lease.
pub const OWNER: &str = "m/owner";

/// The newest fencing token; outside the watched prefix, as every commit rewrites it.
pub const EPOCH: &str = "c/epoch";

/// Executors that an owner may have used.
pub const ROSTER: &str = "c/roster";

/// Accepted jobs and cancellations; the owner watches it.
pub const WORK_PREFIX: &str = "w/";

/// Start of the keys of jobs.
pub const JOBS_PREFIX: &str = "w/j/";

/// Start of the keys of cancellations.
pub const CANCELLATIONS_PREFIX: &str = "w/c/";

/// Start of the keys of progress records.
pub const PROGRESS_PREFIX: &str = "p/";

/// Returns the key of a job.
pub fn job(id: JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Returns the key of a job's cancellation.
pub fn cancellation(id: JobId) -> String {
    format!("{CANCELLATIONS_PREFIX}{id}")
}

/// Returns the key of a job's progress.
pub fn progress(id: JobId) -> String {
    format!("{PROGRESS_PREFIX}{id}")
}

/// Encodes a record.
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, EntryError> {
    postcard::to_stdvec(record).map_err(|e| EntryError::RecordCodec {
        message: e.to_string(),
    })
}

/// Decodes a record.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, EntryError> {
    postcard::from_bytes(value).map_err(|e| EntryError::RecordCodec {
        message: format!("{key}: {e}"),
    })
}
