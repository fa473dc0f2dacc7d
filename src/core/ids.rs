//! Names and numbers that identify things across the cluster.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Monotonic time in milliseconds; each process has its own origin.
pub type Millis = u64;

/// Identifies a store or worker call until its answer arrives.
pub type CallId = u64;

/// Identifies a local caller that waits for a reply from the core.
pub type ReplyId = u64;

/// Number of shards into which racks, teams and jobs are hashed.
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
    /// A team of callers.
    OrganisationName
);
name_type!(
    /// A set of workers of one make, such as `scorekeeper`.
    PoolName
);
name_type!(
    /// A kind of work that the document describes.
    QueueName
);
name_type!(
    /// A rack of workers.
    RackName
);
name_type!(
    /// An availability zone.
    ZoneName
);
name_type!(
    /// A durable job.
    JobId
);
name_type!(
    /// One run of a request or of a job's task; never reused.
    TaskId
);

/// A shard of racks, teams and jobs, from 0 to [`SHARD_COUNT`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Hashes a name to its shard by FNV-1a, which every node computes alike.
    pub fn of(name: &str) -> Self {
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)
        });
        let folded = (hash >> 32) ^ (hash & 0xffff_ffff);
        Self(u16::try_from(folded % u64::from(SHARD_COUNT)).unwrap_or(0))
    }

    /// Iterates over all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARD_COUNT).map(Self)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Ownership epoch of a shard; grows at each change of owner.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Fencing token of a worker lease: a worker refuses any call below the highest it has seen.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct FencingToken {
    /// Epoch of the shard that holds the worker.
    pub epoch: Epoch,
    /// How often this owner has opened the worker's lease.
    #[serde(rename = "opening")]
    pub lease_seq: u32,
}
