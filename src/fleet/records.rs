//! Records of the store: jobs, owner, nodes and roster, encoded with postcard.
//!
//! Written by the entry nodes and the owner, read at a takeover. Postcard stores no names, so
//! fields and variants must keep their order.

use {
    crate::{
        core::{Millis, Resources},
        fleet::{JobId, JobSpec, ProgressFormat, QueueRule, TaskId},
    },
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// Maximum size of an encoded integer, in bytes.
const MAX_VARINT_BYTES: usize = 10;

/// Maximum size of an encoded [`TaskId`], in bytes.
const MAX_TASK_BYTES: usize = MAX_VARINT_BYTES + 5 + 3 + 5;

/// A job as an entry node accepted it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    pub id: JobId,
    /// The queue's rule when the job was accepted; used if the queue is removed later.
    pub queue: QueueRule,
    /// Tenant of the API key that came with the job; `None` on a public queue.
    pub tenant: Option<Arc<str>>,
    /// When an entry node accepted it, in Unix ms.
    pub accepted_unix_ms: Millis,
    pub spec: JobSpec,
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobEnd {
    /// A caller cancelled it.
    Cancelled,
    /// All steps are done.
    Completed,
    /// A task failed as often as the queue permits.
    Failed,
}

/// Value of a job's key in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobRecord {
    /// Written by the entry node that accepted the job.
    Open(Submission),
    /// Written by the owner in place of the submission.
    Ended {
        end: JobEnd,
        queue: Arc<str>,
        tenant: Option<Arc<str>>,
        ended_unix_ms: Millis,
    },
    /// In place of `Open` for a job that versions before this variant cannot schedule; they cannot
    /// read it and leave the job alone. Its progress has the sparse encoding.
    OpenLarge(Submission),
}

impl JobRecord {
    /// Returns the record of an open job.
    pub fn open(submission: Submission) -> Self {
        if submission.spec.is_large() {
            Self::OpenLarge(submission)
        } else {
            Self::Open(submission)
        }
    }

    /// Returns the record of a job that was cancelled before it was stored. Writes of the job that are under
    /// way expect no record, so none of them takes effect any more. It has no queue; versions that know
    /// no such record read it as that of a cancelled job.
    pub fn withdrawn(unix_ms: Millis) -> Self {
        Self::Ended {
            end: JobEnd::Cancelled,
            queue: Arc::default(),
            tenant: None,
            ended_unix_ms: unix_ms,
        }
    }

    /// Returns whether the job was cancelled before it was stored.
    pub fn is_withdrawn(&self) -> bool {
        matches!(self, Self::Ended { end: JobEnd::Cancelled, queue, .. } if queue.is_empty())
    }

    /// Returns when an entry node accepted the job, in Unix ms; `None` once it has ended.
    pub fn accepted_unix_ms(&self) -> Option<Millis> {
        match self {
            Self::Open(submission) | Self::OpenLarge(submission) => {
                Some(submission.accepted_unix_ms)
            }
            Self::Ended { .. } => None,
        }
    }

    /// Returns the encoding of the job's progress.
    pub fn progress_format(&self) -> ProgressFormat {
        match self {
            Self::OpenLarge(_) => ProgressFormat::Sparse,
            Self::Ended { .. } | Self::Open(_) => ProgressFormat::Dense,
        }
    }
}

/// The latest owner and its fencing token. Every commit of the owner rewrites it under its last
/// known revision, so that a commit with an older revision fails.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EpochRecord {
    pub token: u64,
    pub node: Arc<str>,
}

/// The current owner; tied to the store lease that the owner renews.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRecord {
    pub token: u64,
    pub node: Arc<str>,
    /// IP address and port where other nodes connect.
    pub address: Arc<str>,
}

/// A live node of the project.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeRecord {
    pub node: Arc<str>,
    /// IP address and port where other nodes connect.
    pub address: Arc<str>,
    /// CPU time granted to its VM, in thousandths of a core; 0: not known.
    pub cpu_milli: u32,
    /// What the node's version understands: [`NODE_PROTOCOL`] of it. 0 for versions whose records end
    /// before it.
    #[serde(skip)]
    pub protocol: u32,
}

/// Protocol of this version: from 1 on, nodes read the records of large jobs.
pub const NODE_PROTOCOL: u32 = 1;

impl NodeRecord {
    /// Encodes a record so that earlier versions read it too.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let mut record = postcard::to_stdvec(self)?;
        record.extend(postcard::to_stdvec(&self.protocol)?);
        Ok(record)
    }

    /// Decodes a record, also one of an earlier version.
    pub fn decode(record: &[u8]) -> postcard::Result<Self> {
        let (mut node, rest): (Self, _) = postcard::take_from_bytes(record)?;
        if !rest.is_empty() {
            node.protocol = postcard::from_bytes(rest)?;
        }
        Ok(node)
    }

    /// Returns whether the node reads the records of large jobs.
    pub fn reads_large_jobs(&self) -> bool {
        self.protocol >= 1
    }
}

/// Executors that an owner may have used; the next owner must reconcile each of them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Roster {
    pub executors: Vec<RosterEntry>,
    /// [`RosterEntry::max_capacity`] of each, in the same order. Records of earlier versions end
    /// before it.
    max_capacities: Vec<Resources>,
}

impl Roster {
    pub fn new(executors: Vec<RosterEntry>) -> Self {
        let max_capacities = executors.iter().map(|e| e.max_capacity).collect();
        Self {
            executors,
            max_capacities,
        }
    }

    /// Decodes a record, also one of an earlier version.
    pub fn decode(record: &[u8]) -> postcard::Result<Self> {
        let (mut executors, rest): (Vec<RosterEntry>, _) = postcard::take_from_bytes(record)?;
        let max_capacities: Vec<Resources> = if rest.is_empty() {
            Vec::new()
        } else {
            postcard::from_bytes(rest)?
        };
        for (entry, max_capacity) in executors.iter_mut().zip(&max_capacities) {
            entry.max_capacity = *max_capacity;
        }
        Ok(Self {
            executors,
            max_capacities,
        })
    }
}

/// What is needed to reach one executor of the roster again, and what may run there until then.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterEntry {
    pub id: Arc<str>,
    pub address: Arc<str>,
    pub pool: Arc<str>,
    /// Most of each resource that the executor has had since it was listed: the runs there never
    /// exceed it, also after the capacity has shrunk. 0 if unknown.
    #[serde(skip)]
    pub max_capacity: Resources,
}

/// What the writer leaves to the owner that follows it, for executors on which it starts nothing: those
/// that it has not reached, or all when it stops as planned, where it grants no lease either; and those
/// that drain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseWaits {
    /// Fencing token of the writer. Means nothing to an owner that does not follow it directly.
    pub token: u64,
    /// Executors, and the time since a lease was last granted there, in ms when it was written. The next
    /// owner waits for the rest only.
    pub waited: Vec<(Arc<str>, Millis)>,
    /// Tasks that may run on each of `waited`, in the same order; `None`: any task may. Records of
    /// earlier versions end before it.
    #[serde(skip)]
    pub possible_runs: Vec<Option<Vec<TaskId>>>,
    /// Executors that drain, on which leases go on and nothing starts, and the tasks that may run there.
    /// Records of earlier versions end before it.
    #[serde(skip)]
    pub leaving: Vec<(Arc<str>, Vec<TaskId>)>,
}

impl LeaseWaits {
    /// Encodes a record so that earlier versions read it too.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let mut record = postcard::to_stdvec(self)?;
        record.extend(postcard::to_stdvec(&self.possible_runs)?);
        record.extend(postcard::to_stdvec(&self.leaving)?);
        Ok(record)
    }

    /// Decodes a record, also one of an earlier version.
    pub fn decode(record: &[u8]) -> postcard::Result<Self> {
        let (mut waits, rest): (Self, _) = postcard::take_from_bytes(record)?;
        if rest.is_empty() {
            return Ok(waits);
        }
        let (possible_runs, rest) = postcard::take_from_bytes(rest)?;
        waits.possible_runs = possible_runs;
        if !rest.is_empty() {
            waits.leaving = postcard::from_bytes(rest)?;
        }
        Ok(waits)
    }

    /// Returns the tasks that may run on each executor for which the writer knew them.
    pub fn known_runs(&self) -> HashMap<Arc<str>, Vec<TaskId>> {
        let leaving = self.leaving.iter().cloned();
        let named = self.waited.iter().zip(&self.possible_runs);
        let waited = named.filter_map(|((id, _), tasks)| Some((id.clone(), tasks.clone()?)));
        leaving.chain(waited).collect()
    }

    /// Bounds the size of its encoding from above, in bytes, without encoding it.
    pub fn max_bytes(&self) -> usize {
        let executors = self
            .waited
            .iter()
            .map(|(id, _)| 2 * MAX_VARINT_BYTES + id.len());
        let runs = self.possible_runs.iter();
        let runs =
            runs.map(|r| 1 + MAX_VARINT_BYTES + r.as_ref().map_or(0, Vec::len) * MAX_TASK_BYTES);
        let leaving = self.leaving.iter();
        let leaving =
            leaving.map(|(id, r)| 2 * MAX_VARINT_BYTES + id.len() + r.len() * MAX_TASK_BYTES);
        4 * MAX_VARINT_BYTES
            + executors.sum::<usize>()
            + runs.sum::<usize>()
            + leaving.sum::<usize>()
    }
}
