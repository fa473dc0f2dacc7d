//! Calls to the platform's key-value store and its replies, as the JSON that `net` sends.
//!
//! The core emits a [`StoreOp`] as an effect and receives the [`StoreReply`] as an event. A
//! lost call is repeated by the module that made it, never here.

use {
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One call to the store. A version of 0 means that the key is absent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum StoreOp {
    /// Reads a key; the reply is `Unchanged` if its version is `known_version`.
    Get {
        key: String,
        #[serde(rename = "known")]
        known_version: u64,
    },
    /// Reads all keys that start with `prefix`.
    Range { prefix: String },
    /// Writes `value` if the key is at `expected_version`; with a lease, the key is removed when
    /// the lease expires.
    #[serde(rename = "cas")]
    CompareAndSwap {
        key: String,
        #[serde(rename = "expect")]
        expected_version: u64,
        value: Arc<str>,
        lease: Option<u64>,
    },
    /// Removes a key if it is at `expected_version`.
    Delete {
        key: String,
        #[serde(rename = "expect")]
        expected_version: u64,
    },
    /// Creates a lease that expires `ttl_ms` after its last renewal.
    #[serde(rename = "grant")]
    CreateLease { ttl_ms: u64 },
    /// Renews a lease for its TTL.
    #[serde(rename = "keep")]
    RenewLease { lease: u64 },
}

/// The reply to a [`StoreOp`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(
    rename_all = "snake_case",
    tag = "answer",
    expecting = "internally tagged enum StoreAnswer"
)]
pub enum StoreReply {
    /// The value of a key and its version.
    Value { version: u64, value: Arc<str> },
    /// The key does not exist.
    Absent,
    /// The key is still at `known_version`.
    Unchanged,
    /// Keys, versions and values under a prefix.
    Entries {
        entries: Vec<(String, u64, Arc<str>)>,
    },
    /// A write took effect; the key is now at this version.
    Written { version: u64 },
    /// The key was at this other version; nothing was written.
    Conflict { version: u64 },
    /// A lease was created or renewed.
    Lease { lease: u64 },
    /// The lease has expired.
    Lapsed,
}

/// No reply arrived: the call may or may not have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreUnavailable;
