//! Calls to the platform's key-value service.

use {
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One call. A version of 0 stands for an absent key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum StoreOp {
    /// Reads a key; answered `Unchanged` when its version is `known_version`.
    Get {
        key: String,
        #[serde(rename = "known")]
        known_version: u64,
    },
    /// Reads all keys that begin with `prefix`.
    Range { prefix: String },
    /// Writes `value` if the key is at version `expected_version`; with a lease, the key lives as long.
    #[serde(rename = "cas")]
    CompareAndSwap {
        key: String,
        #[serde(rename = "expect")]
        expected_version: u64,
        value: Arc<str>,
        lease: Option<u64>,
    },
    /// Removes a key if it is at version `expected_version`.
    Delete {
        key: String,
        #[serde(rename = "expect")]
        expected_version: u64,
    },
    /// Creates a lease.
    #[serde(rename = "grant")]
    CreateLease { ttl_ms: u64 },
    /// Renews a lease.
    #[serde(rename = "keep")]
    RenewLease { lease: u64 },
}

/// The answer to a [`StoreOp`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum StoreReply {
    /// The value of a key.
    Value { version: u64, value: Arc<str> },
    /// The key does not exist.
    Absent,
    /// The key is still at the known version.
    Unchanged,
    /// Keys, versions and values under a prefix.
    Entries {
        entries: Vec<(String, u64, Arc<str>)>,
    },
    /// A write took effect and gave this version.
    Written { version: u64 },
    /// The key was at another version; nothing was written.
    Conflict { version: u64 },
    /// A lease was created or renewed.
    Lease { lease: u64 },
    /// The lease has lapsed.
    Lapsed,
}

/// No answer arrived: the call may or may not have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreUnavailable;
