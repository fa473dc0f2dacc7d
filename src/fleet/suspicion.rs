//! Suspicion of an executor by failures of what runs there: how long it gets no new work, and the trial by
//! which it gets some again.
//!
//! Used by [`Executor`](crate::fleet::Executor). In memory only: a new owner suspects no executor at first.

use crate::{
    core::Millis,
    fleet::{JobId, Run, RunStage},
};

/// Failures in a row, of different jobs, after which an executor is suspected. On a healthy
/// executor a twentieth of the tasks fail, so three in a row are rare.
const SUSPECT_AFTER_FAILED_JOBS: usize = 3;

/// Time that a suspected executor gets no new work, in ms, however often it was suspected. The platform lets
/// a job stand still for 7 s after its executors have recovered, of which a call for advice takes a part.
const SUSPECT_MS: Millis = 4_000;

/// Time that a run must last to end the trial after a suspicion, in ms.
const TRIAL_MS: Millis = 1_000;

/// Maximum tasks that are started in a trial after the first suspicion; halved with each further one.
const MAX_TRIAL_TASKS: u32 = 8;

/// Least of that maximum: a sound task may fail by its own fault.
const MIN_TRIAL_TASKS: u32 = 2;

/// Failures of one executor since the last task done there. Times are in ms on the owner's monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    /// Jobs whose tasks failed since the last task done or the last suspicion.
    failed_jobs: Vec<JobId>,
    /// When the executor was last suspected; `None` if a task was done since.
    began_at: Option<Millis>,
    /// How often it was suspected since the last task done.
    count: u32,
    /// No new task is started before this time.
    until: Millis,
}

impl Suspicion {
    /// Returns whether no new task may start.
    pub fn is_active(&self, now: Millis) -> bool {
        self.until > now
    }

    /// Returns whether a task failed or the executor was suspected since the last task done.
    pub fn recently_failed(&self) -> bool {
        !self.failed_jobs.is_empty() || self.began_at.is_some()
    }

    /// Ends any suspicion, as a task was done.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed run and returns whether the executor became suspected by it. After a suspicion
    /// without a task done since, one failure is enough. A run that was started before a suspicion
    /// belongs to it and tells nothing of the time since.
    pub fn record_failure(&mut self, job: JobId, run: &Run, now: Millis) -> bool {
        if self.began_at.is_some_and(|at| run.started_at <= at) {
            return false;
        }
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let threshold = if self.began_at.is_some() {
            1
        } else {
            SUSPECT_AFTER_FAILED_JOBS
        };
        if self.failed_jobs.len() < threshold {
            return false;
        }
        self.begin(now);
        true
    }

    /// Keeps new work from the executor for some time, and then all but a trial.
    pub fn begin(&mut self, now: Millis) {
        self.failed_jobs.clear();
        self.began_at = Some(now);
        self.count += 1;
        self.until = now + SUSPECT_MS;
    }

    /// Keeps new work from the executor until `until`, without a trial afterwards.
    pub fn pause(&mut self, until: Millis) {
        self.until = self.until.max(until);
    }

    /// Returns whether a run was started since the last suspicion.
    pub fn is_trial(&self, run: &Run) -> bool {
        run.started_at >= self.until
    }

    /// Returns how many more tasks the trial after a suspicion takes, given the runs on the executor; `None`
    /// without a trial: no suspicion, a task done since, or a run that was started since has lasted.
    pub fn trial_tasks_left<'a>(
        &self,
        runs: impl IntoIterator<Item = &'a Run>,
        now: Millis,
    ) -> Option<u32> {
        self.began_at?;
        let max_tasks = MAX_TRIAL_TASKS >> (self.count - 1).min(8);
        let mut left = max_tasks.max(MIN_TRIAL_TASKS);
        for run in runs.into_iter().filter(|r| self.is_trial(r)) {
            if run.stage == RunStage::Confirmed && now >= run.stage_since + TRIAL_MS {
                return None;
            }
            left = left.saturating_sub(1);
        }
        Some(left)
    }
}
