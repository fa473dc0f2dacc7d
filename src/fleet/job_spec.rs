//! What a caller asks for when it submits a job.

use {
    crate::core::{Millis, Resources},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One step: a number of equal tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent wishes of the caller"
)]
pub struct StepSpec {
    pub count: u32,
    /// What each task takes from its executor while it runs.
    pub need: Resources,
    /// Rough estimate of a task's run time, in ms.
    pub estimate_ms: Millis,
    /// Steps of the same occurrence that must be done first.
    pub depends_on: Vec<u16>,
    /// Tasks save their progress and can resume from it.
    pub checkpoints: bool,
    /// Tasks run only all together; one end stands for all.
    pub gang: bool,
    /// Tasks run slower when they are on more than one rack.
    pub prefer_same_rack: bool,
    pub required_label: Option<Arc<str>>,
    /// Rack with the data; slower elsewhere.
    pub preferred_rack: Option<Arc<str>>,
    /// Most tasks of one occurrence of the step on one executor; 0: no limit.
    pub max_per_executor: u32,
    /// Copies of a task may run at the same time.
    pub allow_duplicates: bool,
    /// Tasks run until the job is cancelled.
    pub persistent: bool,
    pub image: Arc<str>,
    /// Bound on the tail of a persistent task's response times, in ms; 0: none.
    pub latency_target_ms: Millis,
    /// The processor need is not counted; the tasks take what others leave.
    pub best_effort: bool,
    /// Tasks of a persistent step that the scheduler may make unavailable at once.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns what a task takes from the executor's capacity.
    pub fn allocation(&self) -> Resources {
        let mut need = self.need;
        if self.best_effort {
            need.cpu_milli = 0;
        }
        need
    }
}

/// Repetition of a job's steps.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    pub count: u32,
    /// When the first occurrence is due, in Unix ms.
    pub start_unix_ms: Millis,
    pub interval_ms: Millis,
}

/// A job as submitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Text handed to every task.
    pub payload: Arc<str>,
    pub steps: Vec<StepSpec>,
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Tells whether the job lasts until it is cancelled.
    pub fn persistent(&self) -> bool {
        self.steps.iter().any(|s| s.persistent)
    }
}
