//! The charts of a worker's lease, a job, a task and a node, with their events.
//!
//! `core` applies them to its records. The YAML files are compiled into the program; the names in
//! them are the variants here in snake case.

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
    /// Its entry in the shard's roster became durable, so that its lease may be opened.
    Recorded,
    /// The worker opened the lease and reported its running tasks.
    Opened,
    /// The lease has expired by the worker's clock, whichever calls reached the worker.
    LeaseExpired,
    /// The worker reported that the lease had expired.
    ReportedLapsed,
}

/// What happens to a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum JobEvent {
    /// A task was assigned to a shard.
    Assigned,
    /// A caller cancelled the job.
    CancelRequested,
    /// All tasks ended with success.
    AllDone,
    /// All tasks ended, some without success.
    SomeFailed,
    /// All tasks ended, some with an unknown outcome.
    SomeUnknown,
}

/// What happens to a task of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// It was assigned to a shard.
    Assigned,
    /// It ran to completion.
    Done,
    /// It failed and has no attempts left.
    FailedPermanently,
    /// It may run again: it failed, was lost, or did not run.
    Retry,
    /// It may have run, and must not run again.
    LostPermanently,
    /// It was cancelled with its job.
    Cancelled,
    /// Its gang is queued again as a whole.
    GangRequeued,
}

/// State of a node as callers see it; the transitions are in `resources/charts/node.yaml`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// It has no configuration yet.
    #[default]
    Joining,
    /// It accepts work.
    Serving,
    /// It hands its shards over and accepts no new work.
    Leaving,
}

/// What happens to a node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum NodeEvent {
    /// The node has a configuration.
    ConfigRead,
    /// The node was asked to stop gracefully.
    StopRequested,
}

static WORKER: LazyLock<StateChart<WorkerState, WorkerEvent>> = LazyLock::new(|| {
    expect_valid(StateChart::from_yaml(include_str!(
        "../../resources/charts/worker.yaml"
    )))
});
static JOB: LazyLock<StateChart<JobState, JobEvent>> = LazyLock::new(|| {
    expect_valid(StateChart::from_yaml(include_str!(
        "../../resources/charts/job.yaml"
    )))
});
static TASK: LazyLock<StateChart<TaskStage, TaskEvent>> = LazyLock::new(|| {
    expect_valid(StateChart::from_yaml(include_str!(
        "../../resources/charts/task.yaml"
    )))
});
static NODE: LazyLock<StateChart<NodeState, NodeEvent>> = LazyLock::new(|| {
    expect_valid(StateChart::from_yaml(include_str!(
        "../../resources/charts/node.yaml"
    )))
});

/// Panics on a faulty chart: the charts are compiled in, and a test loads each of them.
fn expect_valid<T>(chart: Result<T, ChartError>) -> T {
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
