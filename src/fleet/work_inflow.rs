//! Work that arrives, by pool and priority, as a moving average.
//!
//! Answers an overload: a job that turns late is placed after every job that can still be in time, also
//! after those that arrive later, so it gets only what they leave. Kept by the cell, used by its estimate
//! of waits.

use {
    crate::{core::Millis, fleet::cell_load::Amount},
    std::{collections::HashMap, sync::Arc},
};

/// Time over which arrivals are averaged, in ms: a burst lasts 4 to 9 s.
const AVERAGING_MS: Millis = 4_000;

/// Work of the recent past, that of earlier times with less weight.
#[derive(Clone, Copy, Debug, Default)]
struct RecentWork {
    /// Product of capacity and ms.
    work: Amount,
    /// Up to when the weights are computed, in ms on the owner's monotonic clock.
    at: i64,
}

impl RecentWork {
    fn decay_to(&mut self, now: i64) {
        let elapsed_ms = now.saturating_sub(self.at).max(0).unsigned_abs();
        self.work = self.work.decayed(elapsed_ms, AVERAGING_MS);
        self.at = self.at.max(now);
    }
}

/// Rates at which work within the tenants' rates arrives.
#[derive(Debug, Default)]
pub struct WorkInflow(HashMap<(Arc<str>, u32), RecentWork>);

impl WorkInflow {
    /// Adds the work of a job that was accepted at `at`, in ms on the owner's monotonic clock.
    pub fn add(&mut self, pool: &Arc<str>, priority: u32, work: &Amount, at: i64) {
        let recent = self.0.entry((pool.clone(), priority)).or_default();
        recent.decay_to(at);
        recent.work.add(work);
    }

    /// Returns the capacity that the work of a priority and of more urgent ones takes on average.
    pub fn rate(&self, pool: &str, priority: u32, now: i64) -> Amount {
        let mut sum = Amount::default();
        let counted = |(of_pool, of_priority): &(Arc<str>, u32)| {
            **of_pool == *pool && *of_priority <= priority
        };
        for (_, recent) in self.0.iter().filter(|(key, _)| counted(key)) {
            let mut recent = *recent;
            recent.decay_to(now);
            sum.add(&recent.work);
        }
        sum.divided_by(AVERAGING_MS)
    }
}
