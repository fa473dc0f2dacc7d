//! Durable jobs and their tasks, as the job coordinator stores them in the shard's ledger.
//!
//! The types are JSON in the store. This module changes records only along the state charts and
//! sends nothing.

use {
    crate::{
        chart::{self, TaskEvent},
        core::{
            Epoch, JobId, Millis, OrganisationName, Priority, QueueName, Resources, ShardId, TaskId,
        },
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Kinds of work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// A caller waits for the reply; not durable.
    #[default]
    Request,
    /// Tasks that run to completion independently of each other.
    Batch,
    /// Tasks that start all together or not at all.
    Gang,
    /// Tasks that are kept running until the job is cancelled.
    Service,
}

/// Specification of a job. The caller supplies the queue, the number of tasks, the label and
/// optionally `run_ms`; the rest is copied from the queue's policy when the job is accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    pub queue: QueueName,
    pub kind: JobKind,
    pub pool: crate::core::PoolName,
    /// Resources of one task.
    pub need: Resources,
    /// Number of tasks.
    pub tasks: u32,
    pub priority: Priority,
    /// A task may run again after a run with an unknown outcome.
    pub idempotent: bool,
    /// Further attempts of a task after a failure.
    pub retries: u32,
    /// Expected run time of a task, in ms; 0 for services.
    pub run_ms: Millis,
    /// Workers are filled up one by one instead of evenly.
    pub pack: bool,
    /// Group under which jobs can be cancelled together.
    pub label: Arc<str>,
}

/// State of a job; the transitions are in `resources/charts/job.yaml`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    #[default]
    Queued,
    Running,
    Done,
    Failed,
    Cancelling,
    Cancelled,
    /// A task of a job that is not idempotent was lost; it may have run.
    Unknown,
}

impl JobState {
    /// Returns true if no transition leaves the state.
    pub fn is_terminal(self) -> bool {
        matches!(
            self,
            Self::Done | Self::Failed | Self::Cancelled | Self::Unknown
        )
    }
}

/// Durable stage of one task of a job; the transitions are in `resources/charts/task.yaml`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStage {
    /// Runs nowhere and may be assigned.
    #[default]
    Waiting,
    /// May run on the shard named in [`TaskRecord::run`], and nowhere else.
    #[serde(rename = "marked")]
    Assigned,
    Done,
    Failed,
    Cancelled,
    Unknown,
}

/// One run of a task, stored before the shard owner is contacted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRun {
    pub id: TaskId,
    pub shard: ShardId,
    /// Epoch of the shard when the run was assigned.
    pub epoch: Epoch,
}

/// Durable record of one task of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRecord {
    pub stage: TaskStage,
    /// The current run; set exactly while the stage is `Assigned`.
    pub run: Option<TaskRun>,
    /// Runs that failed or were lost.
    pub failures: u32,
}

/// Durable record of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    pub id: JobId,
    #[serde(rename = "team")]
    pub organisation: OrganisationName,
    pub spec: JobSpec,
    pub state: JobState,
    /// One record per task; always `spec.tasks` long.
    pub tasks: Vec<TaskRecord>,
}

impl JobRecord {
    /// Creates a queued job whose tasks all wait.
    pub fn new(id: JobId, organisation: OrganisationName, spec: JobSpec) -> Self {
        let count = usize::try_from(spec.tasks).unwrap_or(0);
        Self {
            id,
            organisation,
            spec,
            state: JobState::Queued,
            tasks: vec![TaskRecord::default(); count],
        }
    }

    /// Cancels the tasks that run nowhere; assigned tasks stay as they are.
    pub fn cancel_waiting(&mut self) {
        for task in &mut self.tasks {
            if task.stage == TaskStage::Waiting {
                chart::task().apply(&mut task.stage, TaskEvent::Cancelled);
            }
        }
    }

    /// Returns the number of tasks at a stage.
    pub fn count(&self, stage: TaskStage) -> usize {
        self.tasks.iter().filter(|t| t.stage == stage).count()
    }
}
