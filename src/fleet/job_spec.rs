//! The specification of a job: steps, needs, dependencies and schedule.
//!
//! Built by the platform's translation of a request body and stored with the submission
//! (postcard: the order of fields stays). Nothing here changes after the submission.

use {
    crate::{
        core::{Millis, Resources},
        fleet::job::remaining_times,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One step: `count` equal tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent options of the caller"
)]
pub struct StepSpec {
    pub count: u32,
    /// Resources that each task takes from its executor while it runs.
    pub need: Resources,
    /// Rough estimate of a task's run time, in ms.
    pub estimate_ms: Millis,
    /// Indexes of earlier steps of the same occurrence that must be done first.
    pub depends_on: Vec<u16>,
    /// Tasks save their progress and can resume from it.
    pub checkpoints: bool,
    /// Tasks run only all together; when one is done, all are done.
    pub gang: bool,
    /// Tasks run slower when they are on more than one rack.
    pub prefer_same_rack: bool,
    /// Label that an executor must have.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the data; tasks run slower elsewhere.
    pub preferred_rack: Option<Arc<str>>,
    /// Maximum tasks of one occurrence of the step on one executor; 0: no limit.
    pub max_per_executor: u32,
    /// Copies of a task may run at the same time.
    pub allow_duplicates: bool,
    /// Tasks run until the job is cancelled.
    pub persistent: bool,
    /// Image of the tasks; empty if not stated.
    pub image: Arc<str>,
    /// Bound on the tail latency of a persistent task, in ms; 0: none.
    pub latency_target_ms: Millis,
    /// The tasks only use the CPU time that others leave; their CPU need is not reserved.
    pub best_effort: bool,
    /// Maximum tasks of a persistent step that the scheduler may make unavailable at once.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns what a task takes from its executor's capacity: `need`, without CPU for best
    /// effort.
    pub fn allocation(&self) -> Resources {
        let mut need = self.need;
        if self.best_effort {
            need.cpu_milli = 0;
        }
        need
    }
}

/// Repetition of a job's steps at a fixed interval.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// When the first occurrence is due, in Unix ms.
    pub start_unix_ms: Millis,
    pub interval_ms: Millis,
}

impl Schedule {
    /// Returns when an occurrence is due, in Unix ms.
    pub fn due_unix_ms(&self, occurrence: u32) -> Millis {
        let after_start = u64::from(occurrence).saturating_mul(self.interval_ms);
        self.start_unix_ms.saturating_add(after_start)
    }
}

/// A job as submitted by its caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Text passed to every task, not interpreted here.
    pub payload: Arc<str>,
    pub steps: Vec<StepSpec>,
    /// `None`: the steps run once.
    pub schedule: Option<Schedule>,
}

/// Maximum steps of a job.
pub const MAX_STEPS: usize = 1_024;

/// Maximum members of a gang: all are placed at one moment.
pub const MAX_GANG_MEMBERS: u32 = 4_096;

/// Maximum estimate of a task's run time, in ms; longer ones count as this.
const MAX_ESTIMATE_MS: Millis = 366 * 24 * 3_600 * 1_000;

/// Tasks of all occurrences up to which a job is not large: a state for each fits into one value.
pub(super) const MAX_DENSE_TASKS: u64 = 4_096;

impl JobSpec {
    /// Returns why the job cannot be served, if it exceeds a limit; `None` if it does not.
    pub fn exceeded_limit(&self) -> Option<String> {
        if self.steps.len() > MAX_STEPS {
            return Some(format!("more than {MAX_STEPS} steps"));
        }
        if let Some(i) = self.steps.iter().position(|s| s.count == 0) {
            return Some(format!("step {i} has no task"));
        }
        let too_wide = |s: &StepSpec| s.gang && s.count > MAX_GANG_MEMBERS;
        if let Some(i) = self.steps.iter().position(too_wide) {
            return Some(format!(
                "step {i} is a gang of more than {MAX_GANG_MEMBERS}"
            ));
        }
        None
    }

    /// Returns whether a state for each of its tasks may not fit into one value of the store.
    pub fn is_large(&self) -> bool {
        let steps = self.steps.iter().map(|s| u64::from(s.count.max(1)));
        let tasks: u64 = steps.sum();
        let occurrences = self.schedule.map_or(1, |s| u64::from(s.count));
        tasks.saturating_mul(occurrences) > MAX_DENSE_TASKS
    }

    /// Bounds the amounts with which the scheduler calculates.
    pub fn clamp_estimates(&mut self) {
        for step in &mut self.steps {
            step.estimate_ms = step.estimate_ms.min(MAX_ESTIMATE_MS);
        }
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_persistent(&self) -> bool {
        self.steps.iter().any(|s| s.persistent)
    }

    /// Returns the estimated time of the longest chain of dependent steps, in ms.
    pub fn critical_path_ms(&self) -> Millis {
        let remaining = remaining_times(&self.steps);
        remaining.into_iter().max().unwrap_or(0)
    }
}
