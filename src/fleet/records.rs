//! What the store keeps of a job, and how it is encoded (postcard).

use {
    crate::{
        core::Millis,
        fleet::{JobId, JobSpec, QueueRule},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// An accepted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    pub id: JobId,
    /// The queue's rule when the job was accepted; used when the queue is removed later.
    pub queue: QueueRule,
    /// Organisation whose key came with the job; none on a public queue.
    pub tenant: Option<Arc<str>>,
    /// When an entry node accepted it, in Unix ms.
    pub accepted_unix_ms: Millis,
    pub spec: JobSpec,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobEnd {
    Cancelled,
    Completed,
    Failed,
}

/// Value of a job's key.
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
    /// Runs that ended as failed. Their ends may be listed again, in any order, to the next
    /// owner.
    pub failed_runs: Vec<u64>,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Durable progress of one step of one occurrence; steps not named have none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepProgress {
    pub occurrence: u32,
    pub step: u16,
    pub tasks: Vec<TaskProgress>,
}

/// Durable progress of a job, written by the owner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobProgress {
    pub steps: Vec<StepProgress>,
}

/// The newest owner and its fencing token; rewritten with every commit of the owner, so a
/// commit with an older revision fails.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EpochRecord {
    pub token: u64,
    pub node: Arc<str>,
}

/// The owner that renews its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRecord {
    pub token: u64,
    pub node: Arc<str>,
    /// Where peers connect.
    pub address: Arc<str>,
}

/// A live node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeRecord {
    pub node: Arc<str>,
    pub address: Arc<str>,
    /// Processor time that its VM grants, in thousandths of a core; 0: not known.
    pub cpu_milli: u32,
}

/// Executors that an owner may have used; the next owner settles each of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roster {
    pub executors: Vec<RosterEntry>,
}

/// One executor of the roster.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterEntry {
    pub id: Arc<str>,
    pub address: Arc<str>,
    pub pool: Arc<str>,
}
