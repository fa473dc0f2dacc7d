//! A task: one run of a request or of one task of a job, from its specification to its outcome.
//!
//! Coordinators, entry nodes, shard owners and workers exchange these types. They hold no state
//! of the scheduler and decide nothing.

use {
    crate::core::{JobId, Millis, NodeId, OrganisationName, PoolName, Resources, TaskId},
    serde::{Deserialize, Serialize},
};

/// Who dispatches the task to its worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskKind {
    /// The shard owner starts it for a job.
    Job,
    /// The entry node forwards a caller's request to the worker.
    Request,
}

/// Order in which queued work is served. Urgent work precedes all other, whatever the shares;
/// within one organisation and pool, a higher priority goes first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served before all other work.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Waits as long as necessary; never dropped.
    #[serde(rename = "patient")]
    Low,
}

/// What a shard owner needs to place a task and a worker to run it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskSpec {
    pub id: TaskId,
    #[serde(rename = "team")]
    pub organisation: OrganisationName,
    pub pool: PoolName,
    /// Resources reserved on the worker.
    pub need: Resources,
    pub kind: TaskKind,
    pub priority: Priority,
    /// The job it belongs to; `None` for requests.
    pub job: Option<JobId>,
    /// Index of the task in its job, from 0.
    #[serde(rename = "part")]
    pub task_index: u32,
    /// Expected run time in ms, passed to the worker; 0 for services.
    pub run_ms: Millis,
    /// Workers are filled up one by one instead of evenly.
    pub pack: bool,
    /// The entry node that forwards the request, or the job's coordinator.
    #[serde(rename = "asker")]
    pub requester: NodeId,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// It ran to completion.
    Done,
    /// It ran and failed.
    Failed,
    /// It was running and ended without a known outcome.
    Lost,
    /// It was stopped on request.
    Stopped,
    /// It never ran and never will under this task id.
    NotRun,
}

/// A finished task as its worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedTask {
    pub task: TaskId,
    /// The job it belongs to; `None` for requests.
    pub job: Option<JobId>,
    pub outcome: TaskOutcome,
}

/// Why a placement was refused. Every reason implies that nothing ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// No worker of the pool has the capacity for the task, even when idle.
    NeverFits,
    /// No suitable worker has enough free capacity.
    NoRoom,
    /// The organisation's upper limit is reached.
    TeamLimit,
    /// The owner's queue of placements or the shard's ledger is full.
    QueueFull,
    /// The task was not placed before its deadline.
    Deadline,
    /// The receiving node does not own a suitable shard.
    NotOwner,
    /// The node is stopping.
    Stopping,
    /// The store is unreachable and the work needs it.
    StoreDown,
    /// The node has no configuration, or lost contact with the store and a majority of members, so
    /// that its configuration may be out of date.
    Isolated,
}
