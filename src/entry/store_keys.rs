//! Keys of the project in the platform's store, and the encoding of their values (postcard). Used
//! by all modules that read or write the store. Keys are stored data and must not change.

use {
    crate::{
        entry::EntryError,
        fleet::{JobId, JobProgress, JobRecord, LeaseWaits, NodeRecord, Roster},
    },
    serde::{Serialize, de::DeserializeOwned},
};

/// Prefix of the keys of live nodes and the owner; all nodes watch it.
pub const MEMBERS_PREFIX: &str = "m/";

/// Prefix of the keys of live nodes; each key belongs to the node's lease.
pub const NODES_PREFIX: &str = "m/node/";

/// Key of the owner; belongs to the owner's lease.
pub const OWNER: &str = "m/owner";

/// Key of the newest fencing token. Outside the watched prefixes, because every commit rewrites
/// it.
pub const EPOCH: &str = "c/epoch";

/// Key of the roster: the executors that an owner may have used.
pub const ROSTER: &str = "c/roster";

/// Key of what an owner leaves to the next one about executors without new leases.
pub const LEASE_WAITS: &str = "c/waits";

/// Prefix of the keys of accepted jobs and cancellations; the owner watches it.
pub const WORK_PREFIX: &str = "w/";

/// Prefix of the keys of jobs.
pub const JOBS_PREFIX: &str = "w/j/";

/// Prefix of the keys of cancellations.
pub const CANCELLATIONS_PREFIX: &str = "w/c/";

/// Prefix of the keys of progress records.
pub const PROGRESS_PREFIX: &str = "p/";

/// Prefix of the keys of maintenance waves.
pub const WAVES_PREFIX: &str = "c/wave/";

/// Returns the key of a maintenance wave.
pub fn wave(number: u64) -> String {
    format!("{WAVES_PREFIX}{number}")
}

/// Returns the key of a job.
pub fn job(id: JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Returns the key of a job's cancellation; its value is empty.
pub fn cancellation(id: JobId) -> String {
    format!("{CANCELLATIONS_PREFIX}{id}")
}

/// Returns the key of a job's progress record.
pub fn progress(id: JobId) -> String {
    format!("{PROGRESS_PREFIX}{id}")
}

/// Encodes a record as postcard.
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, EntryError> {
    postcard::to_stdvec(record).map_err(|e| EntryError::RecordCodec {
        message: e.to_string(),
    })
}

/// Decodes a postcard record; the error names the key.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, EntryError> {
    name_key(key, postcard::from_bytes(value))
}

/// Decodes the progress record of a job with the given record; the error names the key.
pub fn decode_progress(
    key: &str,
    value: &[u8],
    record: &JobRecord,
) -> Result<JobProgress, EntryError> {
    name_key(key, JobProgress::decode(value, record.progress_format()))
}

/// Decodes the record of a node; the error names the key.
pub fn decode_node(key: &str, value: &[u8]) -> Result<NodeRecord, EntryError> {
    name_key(key, NodeRecord::decode(value))
}

/// Decodes what the last owner left to the next one; the error names the key.
pub fn decode_lease_waits(key: &str, value: &[u8]) -> Result<LeaseWaits, EntryError> {
    name_key(key, LeaseWaits::decode(value))
}

/// Decodes a roster; the error names the key.
pub fn decode_roster(key: &str, value: &[u8]) -> Result<Roster, EntryError> {
    name_key(key, Roster::decode(value))
}

fn name_key<T>(key: &str, decoded: postcard::Result<T>) -> Result<T, EntryError> {
    decoded.map_err(|e| EntryError::RecordCodec {
        message: format!("{key}: {e}"),
    })
}
