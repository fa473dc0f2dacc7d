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

impl Rank {
    /// Returns the rank of a waiting step by the facts of its job.
    pub fn new(job: &WaitingJob) -> Self {
        let remaining = assumed_remaining_ms(job.remaining, job.priority, job.begun);
        let timeliness = if job.persistent {
            Timeliness::InTime
        } else {
            Timeliness::new(job.age, remaining, job.objective)
        };
        Self {
            expired: timeliness == Timeliness::Expired,
            priority: effective_priority(job.priority, job.over_rate),
            over_rate: job.over_rate,
            large: job.large,
            timeliness,
            unbegun: job.priority != URGENT && !job.begun,
            due: job.due,
        }
    }
}

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

/// Time that the remaining steps of a patient job that has not begun are assumed to take, in percent
/// of their estimate: room for slow executors and failed runs.
const UNBEGUN_PERCENT: Millis = 130;

/// Returns the time that the remaining steps of a job are assumed to take, in ms.
///
/// Answers a backlog of patient work: placed by the earliest due time alone, each job begins at the
/// last moment, so that all of them end just late. One that would probably end late does not begin
/// before those that can be in time.
pub fn assumed_remaining_ms(remaining: Millis, priority: u32, begun: bool) -> Millis {
    if begun || priority == URGENT {
        remaining
    } else {
        remaining * UNBEGUN_PERCENT / 100
    }
}

/// Returns the priority by which a job is ranked: one beyond its tenant's rate counts as one level less
/// urgent.
///
/// Answers a tenant that sends several times what it may: its excess pays for it first, also beside
/// the next less urgent work, and does not starve behind a backlog of patient work.
pub fn effective_priority(priority: u32, over_rate: bool) -> u32 {
    priority + u32::from(over_rate)
}

/// Priority of queues whose jobs are not reordered by whether they have begun: they are short, and
/// their objectives leave no time for either order.
const URGENT: u32 = 0;

/// Facts of a job with a waiting step. Times are in ms.
#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, each documented"
)]
pub struct WaitingJob {
    /// Time since it was accepted, or since the step's occurrence was due.
    pub age: Millis,
    /// Estimated time from the start of the step to the end of the job.
    pub remaining: Millis,
    /// Time in which it should end.
    pub objective: Millis,
    /// End of its objective on the owner's monotonic clock; before its boot if negative.
    pub due: i64,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Whether a task of it was started.
    pub begun: bool,
    /// Beyond the tenant's permitted rate of jobs.
    pub over_rate: bool,
    /// It runs until it is cancelled, so it is never late.
    pub persistent: bool,
    /// Thousands of its tasks or more are due and not done.
    pub large: bool,
}

/// Position of a step in the order of waiting work; the smaller rank is placed first.
///
/// Matters when the pool is full. Fields compare in the order of declaration: expired jobs go
/// last, urgent queues before less urgent ones, and jobs over their tenant's rate after those
/// within it. Within a priority, large jobs take what others leave, jobs in time go before late ones, patient jobs that have begun
/// before those that have not, and then the earliest due first. A late urgent job still goes before
/// less urgent work, since its objective is based on a rough estimate.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, each documented"
)]
pub struct Rank {
    /// Whether `timeliness` is [`Timeliness::Expired`].
    pub expired: bool,
    /// Effective priority of the job; 0 is the most urgent.
    pub priority: u32,
    /// Beyond the tenant's permitted rate of jobs.
    pub over_rate: bool,
    /// Thousands of the job's tasks or more are due, which take all room for longer than other jobs may
    /// wait.
    pub large: bool,
    pub timeliness: Timeliness,
    /// A patient job no task of which was started.
    pub unbegun: bool,
    /// End of the job's objective, in ms on the owner's monotonic clock.
    pub due: i64,
}
