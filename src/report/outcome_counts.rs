//! How jobs went, and how many, as [`crate::report::LoadAccount`] counts them.

use serde::Serialize;

/// How a job that was accepted or refused went, as far as the logs show.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum JobOutcome {
    InTime,
    /// Up to three times its objective.
    Late,
    TooLate,
    Failed,
    Cancelled,
    /// Accepted, and without an end in the logs.
    NoEnd,
    /// Refused by every call, and certainly not stored.
    Refused,
    /// The outcome of its write is not known, and no line shows that it was stored.
    Unconfirmed,
}

/// Numbers of jobs by outcome.
///
/// `accepted` is the sum of the outcomes from `in_time` to `no_end`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OutcomeCounts {
    pub accepted: u64,
    pub in_time: u64,
    pub late: u64,
    pub too_late: u64,
    pub failed: u64,
    pub cancelled: u64,
    pub no_end: u64,
    pub refused: u64,
    pub unconfirmed: u64,
}

impl OutcomeCounts {
    /// Counts one job.
    pub fn add(&mut self, outcome: JobOutcome) {
        let (count, accepted) = match outcome {
            JobOutcome::InTime => (&mut self.in_time, true),
            JobOutcome::Late => (&mut self.late, true),
            JobOutcome::TooLate => (&mut self.too_late, true),
            JobOutcome::Failed => (&mut self.failed, true),
            JobOutcome::Cancelled => (&mut self.cancelled, true),
            JobOutcome::NoEnd => (&mut self.no_end, true),
            JobOutcome::Refused => (&mut self.refused, false),
            JobOutcome::Unconfirmed => (&mut self.unconfirmed, false),
        };
        *count += 1;
        self.accepted += u64::from(accepted);
    }

    /// Returns the number of jobs that were not served in time; cancelled ones are not among them.
    pub fn unserved(&self) -> u64 {
        self.late + self.too_late + self.failed + self.no_end + self.refused + self.unconfirmed
    }
}
