//! Refusal of jobs that cannot be served while their callers still have a use for them.
//!
//! Answers an overload: for some seconds more work arrives than the pool can complete in time. A
//! caller that is refused at once may come back when there is capacity, and the work that is
//! accepted does not wait behind work that no longer counts.

use {
    crate::{
        core::Millis,
        fleet::{FencingToken, JobId, policy::EXPIRED_TIMES},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Versions of load summaries reserved for one owner; those of the next owner start above them.
pub const SUMMARIES_PER_OWNER: u64 = 1 << 32;

/// Age from which a load summary is not used, in ms: four intervals at which the owner sends one,
/// so that it takes a lost owner or connection to miss them all.
const MAX_SUMMARY_AGE_MS: Millis = 2_000;

/// How far an estimated wait must exceed the time that is left, in percent of that time. Run times
/// are estimated with errors of up to 0.9, which partly cancel out over a backlog of many jobs.
const WAIT_MARGIN_PERCENT: Millis = 50;

/// Bounds the time until the backlog is short enough, as far as callers are told, in ms: with the
/// spread of four priorities it adds up to [`MAX_RETRY_AFTER_S`].
const MAX_BACKLOG_DELAY_MS: Millis = 20_000;

/// Time over which the callers of one priority return, in ms. Several times the resolution of
/// `retry-after`, one second.
const RETRY_SPREAD_MS: Millis = 2_500;

/// Number of priorities whose callers return one after the other; the rest return with the last.
const RETRY_PRIORITIES: Millis = 4;

/// Bounds `retry-after`, in seconds.
const MAX_RETRY_AFTER_S: u64 = 30;

/// Waits that the owner estimates for new jobs. Sent to the entry nodes (postcard: the order of
/// fields stays).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadSummary {
    /// Rises with each summary of an owner and with each owner; see [`SUMMARIES_PER_OWNER`].
    pub version: u64,
    /// Queues in which a wait is longer than their objective; empty if there is none.
    pub queues: Vec<QueueLoad>,
    /// Tenants that presently send more than their permitted rate.
    pub over_rate_tenants: Vec<Arc<str>>,
}

impl LoadSummary {
    /// Returns the fencing token of the owner that made the summary.
    pub fn owner_token(&self) -> FencingToken {
        self.version / SUMMARIES_PER_OWNER
    }

    /// Returns the load of a queue; `None` if the summary is too old to be used, or if no wait of
    /// the queue is longer than its objective.
    pub fn usable_queue(&self, queue: &str, age_ms: Millis) -> Option<&QueueLoad> {
        let usable = age_ms < MAX_SUMMARY_AGE_MS;
        self.queues.iter().find(|q| usable && &*q.queue == queue)
    }
}

/// Estimated waits of a new job of one queue until its first start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueLoad {
    pub queue: Arc<str>,
    /// Of a job within the permitted rate of its tenant, in ms.
    pub wait_ms: Millis,
    /// Of a job beyond that rate, in ms.
    pub over_rate_wait_ms: Millis,
    /// Tenants whose cap makes their jobs wait longer, and how long, in ms.
    pub blocked_tenants: Vec<(Arc<str>, Millis)>,
}

impl QueueLoad {
    /// Returns the estimated wait of a job, in ms.
    fn wait_of(&self, req: &AdmissionRequest<'_>) -> Millis {
        let wait = if req.over_rate {
            self.wait_ms.max(self.over_rate_wait_ms)
        } else {
            self.wait_ms
        };
        let blocked = |tenant: &str| {
            let mut blocked = self.blocked_tenants.iter();
            blocked
                .find(|(name, _)| **name == *tenant)
                .map(|(_, ms)| *ms)
        };
        let at_cap = req.tenant.and_then(blocked);
        wait.max(at_cap.unwrap_or(0))
    }
}

/// A job that may be refused: it has an objective, one occurrence, and ends by itself.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    pub job: JobId,
    pub tenant: Option<&'a str>,
    /// Whether its tenant presently sends more than its permitted rate.
    pub over_rate: bool,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Estimated time of its longest chain of dependent steps, in ms.
    pub critical_path_ms: Millis,
    /// Time from its acceptance in which it should end, in ms.
    pub objective_ms: Millis,
}

/// Decision on one job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    Accept,
    Refuse {
        /// Estimated wait until its first start, in ms.
        wait_ms: Millis,
        /// Time after which the caller may try again, in seconds.
        retry_after_s: u64,
    },
}

/// Decides whether to accept a job, by the load of its queue as estimated `age_ms` ago.
///
/// Refuses only a job that would end too late to count even if the estimated wait were too long by
/// a margin. The backlog may have shrunk by as much as the estimate is old.
pub fn decide(req: &AdmissionRequest<'_>, load: &QueueLoad, age_ms: Millis) -> Admission {
    let wait_ms = load.wait_of(req).saturating_sub(age_ms);
    let time_left = |end: Millis| end.saturating_sub(req.critical_path_ms);
    let max_wait_ms = time_left(req.objective_ms.saturating_mul(EXPIRED_TIMES));
    let hopeless =
        wait_ms.saturating_mul(100) > max_wait_ms.saturating_mul(100 + WAIT_MARGIN_PERCENT);
    if req.objective_ms == 0 || !hopeless {
        return Admission::Accept;
    }
    let backlog_ms = wait_ms.saturating_sub(time_left(req.objective_ms));
    Admission::Refuse {
        wait_ms,
        retry_after_s: retry_after_s(req, backlog_ms),
    }
}

/// Returns when the caller of a refused job may try again, in seconds: once the backlog has
/// shrunk by `backlog_ms`, so that the job would be in time.
///
/// Callers of urgent queues return before those of patient ones, and those of one priority are
/// spread by their jobs' ids.
fn retry_after_s(req: &AdmissionRequest<'_>, backlog_ms: Millis) -> u64 {
    let turn = Millis::from(req.priority).min(RETRY_PRIORITIES - 1);
    // Ids may follow one another; the product spreads them over the upper bits.
    let hash = (req.job.0.wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 32;
    let delay_ms =
        backlog_ms.min(MAX_BACKLOG_DELAY_MS) + turn * RETRY_SPREAD_MS + hash % RETRY_SPREAD_MS;
    delay_ms.div_ceil(1_000).clamp(1, MAX_RETRY_AFTER_S)
}
