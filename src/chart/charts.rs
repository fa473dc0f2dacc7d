//! The charts of worker, job, task and node.

use {
    crate::{
        chart::{ChartError, StateChart},
        core::{JobState, TaskStage, WorkerState},
    },
    serde::{Deserialize, Serialize},
    std::sync::LazyLock,
};

/// What happens to a worker's lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum WorkerEvent {
    /// Its entry in the shard's roster became durable.
    Recorded,
    /// The worker opened the lease and told what it runs.
    Opened,
    /// The lease has surely run out by the worker's clock.
    LeaseExpired,
    /// The worker said that the lease had lapsed.
    ReportedLapsed,
}

/// What happens to a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum JobEvent {
    /// A task was marked for a shard.
    Assigned,
    CancelRequested,
    /// All tasks ended well.
    AllDone,
    /// All tasks ended, some without success.
    SomeFailed,
    /// All tasks ended, some without a known outcome.
    SomeUnknown,
}

/// What happens to a task of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    Assigned,
    Done,
    /// It failed and has no attempts left.
    FailedPermanently,
    /// It may run again: it failed, was lost, or did not run.
    Retry,
    /// It may have run, and must not run again.
    LostPermanently,
    Cancelled,
    /// Its gang starts again as a whole.
    GangRequeued,
}

/// State of a node towards callers; the transitions are in `resources/charts/node.yaml`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// It has no configuration yet.
    #[default]
    Joining,
    Serving,
    /// It hands its shards over and takes no new work.
    Leaving,
}

/// What happens to a node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum NodeEvent {
    ConfigRead,
    StopRequested,
}

static WORKER: LazyLock<StateChart<WorkerState, WorkerEvent>> = LazyLock::new(|| {
    loaded(StateChart::from_yaml(include_str!(
        "../../resources/charts/worker.yaml"
    )))
});
static JOB: LazyLock<StateChart<JobState, JobEvent>> = LazyLock::new(|| {
    loaded(StateChart::from_yaml(include_str!(
        "../../resources/charts/job.yaml"
    )))
});
static TASK: LazyLock<StateChart<TaskStage, TaskEvent>> = LazyLock::new(|| {
    loaded(StateChart::from_yaml(include_str!(
        "../../resources/charts/task.yaml"
    )))
});
static NODE: LazyLock<StateChart<NodeState, NodeEvent>> = LazyLock::new(|| {
    loaded(StateChart::from_yaml(include_str!(
        "../../resources/charts/node.yaml"
    )))
});

/// The charts are part of the program, and a test loads each of them.
fn loaded<T>(chart: Result<T, ChartError>) -> T {
    chart.unwrap_or_else(|e| panic!("{e}"))
}

/// Returns the chart of a worker's lease.
pub fn worker() -> &'static StateChart<WorkerState, WorkerEvent> {
    &WORKER
}

/// Returns the chart of a job.
pub fn job() -> &'static StateChart<JobState, JobEvent> {
    &JOB
}

/// Returns the chart of a task.
pub fn task() -> &'static StateChart<TaskStage, TaskEvent> {
    &TASK
}

/// Returns the chart of a node.
pub fn node() -> &'static StateChart<NodeState, NodeEvent> {
    &NODE
}
