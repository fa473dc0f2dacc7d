//! A task: one run of a request or of a part of a job.

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

/// Order in which waiting work is served, before shares are compared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Goes before all other work.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Waits as long as it must; never dropped.
    #[serde(rename = "patient")]
    Low,
}

/// What an owner needs to know to place and run a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskSpec {
    pub id: TaskId,
    #[serde(rename = "team")]
    pub organisation: OrganisationName,
    pub pool: PoolName,
    pub need: Resources,
    pub kind: TaskKind,
    pub priority: Priority,
    /// The job it belongs to; `None` for requests.
    pub job: Option<JobId>,
    /// Which of the job's tasks it is, from 0.
    #[serde(rename = "part")]
    pub task_index: u32,
    /// Expected run time in ms, passed to the worker; zero for services.
    pub run_ms: Millis,
    /// Whether workers are filled up one by one instead of evenly.
    pub pack: bool,
    /// The entry node that forwards the request, or the home of the job.
    #[serde(rename = "asker")]
    pub requester: NodeId,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// It was running and stopped without an outcome.
    Lost,
    /// It was stopped on demand.
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
    /// No worker of the pool could ever hold the task.
    NeverFits,
    /// Every fitting worker is full.
    NoRoom,
    /// The team's upper limit is reached.
    TeamLimit,
    /// The waiting queue is full.
    QueueFull,
    /// The wait passed its deadline.
    Deadline,
    /// The asked node does not own a fitting shard.
    NotOwner,
    /// The node is stopping.
    Stopping,
    /// The store is unreachable and the work needs it.
    StoreDown,
    /// The node has lost contact with the store and its peers.
    Isolated,
}
