//! Ids of jobs, steps, tasks and executors, run numbers and fencing tokens.
//!
//! Used throughout fleet, entry and platform. The text forms are part of messages and logs, and ids
//! are stored (postcard), so neither may change.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// Id under which an executor registers; a restart may reuse it.
pub type ExecutorId = Arc<str>;

/// Number of one start of a task; increases with each start.
pub type RunNumber = u64;

/// Token below which an executor refuses commands; increases with each change of owner and each new
/// incarnation of an executor.
pub type FencingToken = u64;

/// Tokens reserved for one owner, one for each incarnation of an executor that it sees; the next
/// owner's tokens start above them.
pub const INCARNATIONS_PER_OWNER: FencingToken = 1 << 20;

/// A job's id, chosen by the caller: 64 bits, written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, ParseIdError> {
        let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != 16 || !s.bytes().all(is_lower_hex) {
            return Err(ParseIdError);
        }
        u64::from_str_radix(s, 16)
            .map(Self)
            .map_err(|_| ParseIdError)
    }
}

/// Id of one occurrence of one step of a job; written `job.occurrence.step`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepId {
    pub job: JobId,
    /// Index of the repetition; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the submission.
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Id of one task; written `job.occurrence.step.index`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    pub step: StepId,
    /// Index of the task in its step.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, ParseIdError> {
        let mut parts = s.split('.');
        let mut next_part = || parts.next().ok_or(ParseIdError);
        let job = next_part()?.parse()?;
        let occurrence = next_part()?.parse().map_err(|_| ParseIdError)?;
        let step = next_part()?.parse().map_err(|_| ParseIdError)?;
        let index = next_part()?.parse().map_err(|_| ParseIdError)?;
        if parts.next().is_some() {
            return Err(ParseIdError);
        }
        let step = StepId {
            job,
            occurrence,
            step,
        };
        Ok(Self { step, index })
    }
}

/// The text is not an id of a job or task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseIdError;
