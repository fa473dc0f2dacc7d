//! Suspicion of workers that fail what they start.

use {
    crate::core::{JobId, Millis},
    std::collections::BTreeSet,
};

/// Distinct failing jobs or requests in a row after which a worker is set aside.
const FAILURES_TO_QUARANTINE: usize = 3;

/// First time set aside, in ms; doubles each time.
const FIRST_QUARANTINE_MS: Millis = 10_000;

/// Longest time set aside, in ms.
const MAX_QUARANTINE_MS: Millis = 600_000;

/// Record of one worker's recent outcomes.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// Jobs that failed here since the last success; a job counts once.
    failing: BTreeSet<JobId>,
    /// How often it was set aside since the last success.
    times: u32,
    quarantined_until: Millis,
    /// On trial after a time set aside: one failure sets it aside again.
    trial: bool,
}

impl WorkerHealth {
    /// Tells whether new work may be placed on the worker.
    pub fn is_available(&self, now: Millis) -> bool {
        now >= self.quarantined_until
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; returns whether the worker was set aside by it.
    pub fn record_failure(&mut self, job: JobId, now: Millis) -> bool {
        self.failing.insert(job);
        let enough = if self.trial {
            1
        } else {
            FAILURES_TO_QUARANTINE
        };
        if self.failing.len() < enough || !self.is_available(now) {
            return false;
        }
        let quarantine = FIRST_QUARANTINE_MS << self.times.min(6);
        self.quarantined_until = now + quarantine.min(MAX_QUARANTINE_MS);
        self.times += 1;
        self.trial = true;
        self.failing.clear();
        true
    }
}
