//! Ids, names, epochs and fencing tokens that all modules of the core use.
//!
//! Names are plain strings in JSON. The module only defines values and knows no node or store.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Monotonic time or a duration, in ms; each process has its own origin of time.
pub type Millis = u64;

/// Identifies a store or worker call of this process until its reply arrives.
pub type CallId = u64;

/// Identifies a local caller that waits for a reply from the core.
pub type ReplyId = u64;

/// Number of shards into which racks, organisations, jobs and idempotency keys are hashed.
pub const SHARD_COUNT: u16 = 64;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(Arc::from(s))
            }
        }

        impl From<String> for $name {
            fn from(s: String) -> Self {
                Self(Arc::from(s))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// One incarnation of a daemon: the VM's name and a boot number.
    NodeId
);
name_type!(
    /// One incarnation of a worker VM.
    WorkerId
);
name_type!(
    /// An organisation whose callers share keys, limits and jobs.
    OrganisationName
);
name_type!(
    /// A set of workers of the same kind, such as `scorekeeper`.
    PoolName
);
name_type!(
    /// A kind of work, with its policy in the operators' document.
    QueueName
);
name_type!(
    /// A rack of workers; all workers of a rack are in the same shard.
    RackName
);
name_type!(
    /// An availability zone.
    ZoneName
);
name_type!(
    /// A durable job; its hash selects the shard of its coordinator.
    JobId
);
name_type!(
    /// One run of a request or of a job's task, never reused; also the hash of an idempotency key.
    TaskId
);

/// A shard of racks, organisations, jobs and idempotency keys, from 0 to [`SHARD_COUNT`] - 1.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Hashes a name to its shard by 64-bit FNV-1a, which gives the same shard on every node.
    pub fn of(name: &str) -> Self {
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
        let folded = (hash >> 32) ^ (hash & 0xffff_ffff);
        Self(u16::try_from(folded % u64::from(SHARD_COUNT)).unwrap_or(0))
    }

    /// Iterates over all shards in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARD_COUNT).map(Self)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Ownership epoch of a shard; increases by one with each change of owner.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Fencing token of a worker lease, ordered by epoch, then by `lease_seq`: a worker refuses any
/// call with a token below the highest it has seen.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(expecting = "struct Fence")]
pub struct FencingToken {
    /// Epoch of the worker's shard when its owner opened the lease.
    pub epoch: Epoch,
    /// Number of times that this owner has opened the worker's lease.
    #[serde(rename = "opening")]
    pub lease_seq: u32,
}
