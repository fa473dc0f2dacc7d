//! Suspicion of workers that fail what they start.

use {
    crate::core::{JobId, Millis},
    std::collections::BTreeSet,
};

/// Distinct failing jobs or requests in a row after which a worker is set aside.
const FAILURES_TO_SET_ASIDE: usize = 3;

/// First time set aside, in ms; doubles each time.
const FIRST_ASIDE_MS: Millis = 10_000;

/// Longest time set aside, in ms.
const LONGEST_ASIDE_MS: Millis = 600_000;

/// Record of one worker's recent outcomes.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// Jobs that failed here since the last success; a job counts once.
    failing: BTreeSet<JobId>,
    /// How often it was set aside since the last success.
    times: u32,
    aside_until: Millis,
    /// On trial after a time set aside: one failure sets it aside again.
    trial: bool,
}

impl WorkerHealth {
    /// Tells whether new work may be placed on the worker.
    pub fn usable(&self, now: Millis) -> bool {
        now >= self.aside_until
    }

    /// Notes a success.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; returns whether the worker was set aside by it.
    pub fn failed(&mut self, job: JobId, now: Millis) -> bool {
        self.failing.insert(job);
        let enough = if self.trial { 1 } else { FAILURES_TO_SET_ASIDE };
        if self.failing.len() < enough || !self.usable(now) {
            return false;
        }
        let aside = FIRST_ASIDE_MS << self.times.min(6);
        self.aside_until = now + aside.min(LONGEST_ASIDE_MS);
        self.times += 1;
        self.trial = true;
        self.failing.clear();
        true
    }
}
