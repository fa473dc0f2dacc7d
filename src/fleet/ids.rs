//! Names of jobs, steps and tasks, and numbers of runs.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// Identifies one life of an executor; a restart may reuse it.
pub type ExecutorId = Arc<str>;

/// Number of one start of a task; rises with each start.
pub type RunNumber = u64;

/// Fencing token; grows with each change of owner and each new life of an executor.
pub type FencingToken = u64;

/// Lives of an executor that one owner tells apart; the next owner's tokens lie above.
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
        let lower = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != 16 || !s.bytes().all(lower) {
            return Err(ParseIdError);
        }
        u64::from_str_radix(s, 16)
            .map(Self)
            .map_err(|_| ParseIdError)
    }
}

/// Identifies one occurrence of one step of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepId {
    pub job: JobId,
    /// Number of the repetition, from 0; 0 for a job without a schedule.
    pub occurrence: u32,
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifies one task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    pub step: StepId,
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
        let mut next = || parts.next().ok_or(ParseIdError);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| ParseIdError)?;
        let step = next()?.parse().map_err(|_| ParseIdError)?;
        let index = next()?.parse().map_err(|_| ParseIdError)?;
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

/// A text that names no job or task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseIdError;
