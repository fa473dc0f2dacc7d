//! Order of waiting steps.

use crate::core::Millis;

/// Whether a job is within its objective, late, or so late that it no longer counts.
///
/// Variants are in scheduling order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timeliness {
    /// Within its objective.
    InTime,
    /// Past its objective; counts for a fifth.
    Late,
    /// Older than [`EXPIRED_TIMES`] times its objective; no longer counts for its callers.
    Expired,
}

/// Multiple of the objective beyond which a late job no longer counts.
pub const EXPIRED_TIMES: Millis = 3;

impl Timeliness {
    /// Returns the timeliness of a job of this age and objective whose remaining steps take
    /// `remaining`, all in ms.
    ///
    /// Answers an overload: a job that can no longer end within its objective does not take the
    /// place of one that can.
    pub fn new(age: Millis, remaining: Millis, objective: Millis) -> Self {
        let end = age + remaining;
        match () {
            () if end <= objective => Self::InTime,
            () if end <= objective * EXPIRED_TIMES => Self::Late,
            () => Self::Expired,
        }
    }
}

/// Position of a step in the order of waiting work; the smaller rank is placed first.
///
/// Matters when the pool is full. Fields compare in the order of declaration: expired jobs go
/// last, and urgent queues go before less urgent ones. Within a priority, jobs in time go before
/// late ones, jobs within the tenant's rate before those over it, and then the earliest due
/// first. A late urgent job still goes before less urgent work, since its objective is based on
/// a rough estimate.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Whether `timeliness` is [`Timeliness::Expired`].
    pub expired: bool,
    /// Priority of the job's queue; 0 is the most urgent.
    pub priority: u32,
    pub timeliness: Timeliness,
    /// Beyond the tenant's permitted rate of jobs.
    pub over_rate: bool,
    /// End of the job's objective, in ms on the owner's monotonic clock.
    pub due: Millis,
}
