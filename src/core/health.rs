//! Quarantine of workers on which several jobs have failed.
//!
//! Each `Worker` has one `WorkerHealth`: finished tasks are recorded in it, and placement reads it.
//! Quarantine only blocks new work; it does not stop running tasks.

use {
    crate::core::{JobId, Millis},
    std::collections::BTreeSet,
};

/// Distinct jobs or requests that must fail, with no success between, to quarantine a worker.
const FAILURES_TO_QUARANTINE: usize = 3;

/// Duration of the first quarantine, in ms; each further one takes twice as long.
const FIRST_QUARANTINE_MS: Millis = 10_000;

/// Max duration of a quarantine, in ms.
const MAX_QUARANTINE_MS: Millis = 600_000;

/// One worker's failures and quarantines since its last success.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// Jobs that failed here since the last success or quarantine; a job counts once.
    failed_jobs: BTreeSet<JobId>,
    /// Number of quarantines since the last success.
    quarantine_count: u32,
    /// End of the last quarantine; 0 if there was none since the last success.
    quarantined_until: Millis,
    /// On probation after a quarantine: one failure quarantines it again.
    on_probation: bool,
}

impl WorkerHealth {
    /// Returns whether the worker is outside quarantine, so that it may get new work.
    pub fn is_available(&self, now: Millis) -> bool {
        now >= self.quarantined_until
    }

    /// Records a success: forgets all failures and quarantines.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure of `job`; returns whether it quarantines the worker.
    ///
    /// Failures during a quarantine don't extend it.
    pub fn record_failure(&mut self, job: JobId, now: Millis) -> bool {
        self.failed_jobs.insert(job);
        let threshold = if self.on_probation {
            1
        } else {
            FAILURES_TO_QUARANTINE
        };
        if self.failed_jobs.len() < threshold || !self.is_available(now) {
            return false;
        }
        let quarantine = FIRST_QUARANTINE_MS << self.quarantine_count.min(6);
        self.quarantined_until = now + quarantine.min(MAX_QUARANTINE_MS);
        self.quarantine_count += 1;
        self.on_probation = true;
        self.failed_jobs.clear();
        true
    }
}
