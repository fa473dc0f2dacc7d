//! Permitted rate of a tenant's jobs, as a token bucket.
//!
//! Answers a tenant that sends several times what it may. Times are those of the jobs' acceptance, so
//! that a change of owner changes nothing: they may lie before the owner's boot, and out of order.

use crate::core::Millis;

/// Jobs that a tenant may send at once beyond its permitted rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateBurst {
    /// As many as its rate permits in this time, in ms.
    pub window_ms: Millis,
    /// This many besides, so that tenants with a low rate are not held to it job by job.
    pub jobs: u64,
}

impl Default for RateBurst {
    fn default() -> Self {
        Self {
            window_ms: 2_000,
            jobs: 0,
        }
    }
}

/// What a tenant may send.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Jobs a second.
    pub per_s: u64,
    pub burst: RateBurst,
}

impl RateLimit {
    /// Returns what a full bucket holds, in thousandths of a job.
    fn max_tokens(&self) -> u64 {
        self.per_s * self.burst.window_ms + self.burst.jobs * 1_000
    }
}

/// Token bucket of one tenant.
#[derive(Clone, Copy, Debug)]
pub struct RateBucket {
    /// Thousandths of a job.
    tokens: u64,
    /// Latest acceptance of a job, in ms on the owner's monotonic clock.
    refilled_at: i64,
}

impl RateBucket {
    /// Returns a bucket that is full at `at`.
    pub fn new(limit: &RateLimit, at: i64) -> Self {
        Self {
            tokens: limit.max_tokens(),
            refilled_at: at,
        }
    }

    /// Takes one job that was accepted at `at`; returns false if there is less in the bucket.
    pub fn take(&mut self, limit: &RateLimit, at: i64) -> bool {
        let elapsed_ms = at.saturating_sub(self.refilled_at).max(0).unsigned_abs();
        let refill = elapsed_ms.saturating_mul(limit.per_s);
        self.tokens = self.tokens.saturating_add(refill).min(limit.max_tokens());
        self.refilled_at = self.refilled_at.max(at);
        if self.tokens < 1_000 {
            return false;
        }
        self.tokens -= 1_000;
        true
    }
}
