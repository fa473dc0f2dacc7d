//! Records of the store: jobs, progress, owner, nodes and roster, encoded with postcard.
//!
//! Written by the entry nodes and the owner, read at a takeover. Postcard stores no names, so
//! fields and variants must keep their order.

use {
    crate::{
        core::{Millis, Resources},
        fleet::{JobId, JobSpec, QueueRule},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

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
}

/// Durable progress of one task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskProgress {
    pub done: bool,
    /// Runs that ended as failed. Executors may list their ends again, in any order, to the next
    /// owner, which must not count them twice.
    pub failed_runs: Vec<u64>,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Durable progress of one step of one occurrence; steps without a record have none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepProgress {
    pub occurrence: u32,
    pub step: u16,
    /// One for each task of the step, in order.
    pub tasks: Vec<TaskProgress>,
}

/// Executors that crashed soon after a task had started there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashedTask {
    pub occurrence: u32,
    pub step: u16,
    pub index: u32,
    /// Runs under which an executor crashed, and whether no task of another job could have
    /// caused it.
    pub runs: Vec<(u64, bool)>,
}

/// Durable progress of a job, written by the owner.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct JobProgress {
    pub steps: Vec<StepProgress>,
    /// Records of earlier versions end before it.
    pub crashed_tasks: Vec<CrashedTask>,
}

impl JobProgress {
    /// Decodes a record, also one of an earlier version.
    pub fn decode(record: &[u8]) -> postcard::Result<Self> {
        let (steps, rest) = postcard::take_from_bytes(record)?;
        let crashed_tasks = if rest.is_empty() {
            Vec::new()
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self {
            steps,
            crashed_tasks,
        })
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

/// How long owners have waited for the leases of earlier ones, for executors on which the writer has
/// granted none. The owner that follows it waits for the rest only.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseWaits {
    /// Fencing token of the writer. Means nothing to an owner that does not follow it directly.
    pub token: u64,
    /// Executors, and the time since the claim of the first owner that granted no lease there, in
    /// ms when it was written.
    pub waited: Vec<(Arc<str>, Millis)>,
}
