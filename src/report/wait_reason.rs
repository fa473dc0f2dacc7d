//! Reasons for which a job was not served in time, as [`crate::report::LoadAccount`] counts them.

use {
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// Why a job waited, or why it was refused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum WaitReason {
    AdviceSlots,
    AdvicePending,
    /// No advised executor had enough free capacity.
    Advice,
    /// There was room, but the tickets had expired.
    Ticket,
    Room,
    Cap,
    Members,
    Takeover,
    Pause,
    /// An executor refused a start, or a run was lost (216, 228, or 215 with a lapsed lease).
    StartFailed,
    /// A run ended as failed, or was broken off because another of its gang failed.
    RunFailed,
    /// A run was stopped to make room and started again.
    RunStopped,
    /// The first start was early enough for the typical run time of the queue.
    SlowRun,
    /// The shown waits do not explain it, and lines of ends of runs are missing: a slow run, a wait
    /// between steps or the commit.
    EndsNotShown,
    /// The end became durable more than 0.1 s after the last run.
    Commit,
    /// The store took no write, or the outcome of the write is not known.
    Store,
    /// No node owned the cell or could prove it, or the owner had not taken in the job.
    Owner,
    /// The configuration of the node that was called was not fresh.
    Configuration,
    /// Refused by admission control.
    Overload,
    /// The call had a wrong key or path, or its body was no job.
    InvalidCall,
    OtherRefusal,
    /// Taken in by the owner, and without a start or an end in the logs.
    NotStarted,
    /// Started, and without an end in the logs.
    Running,
    /// The logs end before the objective.
    NotDue,
    /// A wait of which no line names the reason.
    NotShown,
}

impl WaitReason {
    /// Parses the value of `blocked` in a line of a start; see [`crate::fleet::BlockReason`].
    pub fn from_blocked(text: &str) -> Self {
        match text {
            "Advice" => Self::Advice,
            "AdvicePending" => Self::AdvicePending,
            "AdviceSlots" => Self::AdviceSlots,
            "Cap" => Self::Cap,
            "Members" => Self::Members,
            "Pause" => Self::Pause,
            "Room" => Self::Room,
            "Takeover" => Self::Takeover,
            "Ticket" => Self::Ticket,
            _ => Self::NotShown,
        }
    }

    /// Returns why a run that ended like this had to be started again; `None` if it is done.
    pub fn from_run_end(text: &str) -> Option<Self> {
        match text {
            "Done" => None,
            "Failed" | "Broken" => Some(Self::RunFailed),
            "Lapsed" | "Orphaned" => Some(Self::StartFailed),
            "Stopped" => Some(Self::RunStopped),
            _ => Some(Self::NotShown),
        }
    }

    /// Returns why a submission was refused; `reason` is that of the line of the refusal.
    pub fn from_refusal(reason: &str) -> Self {
        match reason {
            "overload" => Self::Overload,
            r if r.starts_with("configuration") => Self::Configuration,
            r if r.contains("store") => Self::Store,
            r if r.contains("owner") => Self::Owner,
            _ => Self::OtherRefusal,
        }
    }
}

impl Display for WaitReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::AdviceSlots => "advice slots in use",
            Self::AdvicePending => "advice pending",
            Self::Advice => "advised executors full",
            Self::Ticket => "ticket expired",
            Self::Room => "no room",
            Self::Cap => "organisation at its cap",
            Self::Members => "members of the gang",
            Self::Takeover => "takeover",
            Self::Pause => "pause after a failure",
            Self::StartFailed => "a start that failed",
            Self::RunFailed => "a run that failed",
            Self::RunStopped => "a run that was stopped",
            Self::SlowRun => "a slow run",
            Self::EndsNotShown => "ends of runs not shown",
            Self::Commit => "commit",
            Self::Store => "store",
            Self::Owner => "no owner",
            Self::Configuration => "configuration not fresh",
            Self::Overload => "overload",
            Self::InvalidCall => "wrong key, path or job",
            Self::OtherRefusal => "refused otherwise",
            Self::NotStarted => "not started in these logs",
            Self::Running => "started, no end in these logs",
            Self::NotDue => "not due when these logs end",
            Self::NotShown => "a wait, reason not shown",
        })
    }
}
