//! What the log lines of all nodes say about one job.
//!
//! [`crate::report::LoadAccount`] collects it; [`crate::report::LostTime`] is computed from it.

use {
    crate::{
        core::Millis,
        fleet::{FleetEvent, JobId, StepId},
        report::{LogLine, WaitReason},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Reasons of refusals that only calls other than submissions get.
const QUERY_REFUSALS: [&str; 3] = [
    "neither owner nor store answer",
    "the owner does not answer",
    "the store does not answer",
];

/// Fields of a line's detail by name.
pub type Fields<'a> = BTreeMap<&'a str, String>;

/// Runs of one step that one line names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NamedRuns {
    /// Indices of the tasks.
    pub tasks: Vec<u32>,
    /// Runs that the line counts without naming them.
    pub unnamed: usize,
}

/// One step of a job's way, as one line tells it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobEvent {
    /// An owner took in the job.
    Queued,
    Advised(StepId),
    Started {
        step: StepId,
        runs: NamedRuns,
        /// Time since the owner took in the job, in ms; only with the first start of the job.
        waited_ms: Option<Millis>,
        blocked: Option<WaitReason>,
    },
    Ended {
        step: StepId,
        runs: NamedRuns,
        /// Why the runs must be started again; `None` if they are done.
        failure: Option<WaitReason>,
    },
}

/// How the job ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoggedEnd {
    Cancelled,
    Completed,
    Failed,
}

/// A place and a time: which node logged something, and when, in Unix ms.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Logged {
    pub at: Millis,
    pub node: Arc<str>,
}

/// Lines of one job, added in order of time.
#[derive(Clone, Debug, Default)]
pub struct JobLog {
    /// `None` if no line states it.
    pub queue: Option<Arc<str>>,
    /// Empty on a public queue; `None` if no line states it.
    pub tenant: Option<Arc<str>>,
    /// First line of its acceptance by an entry node.
    pub accepted: Option<Logged>,
    /// First line of an owner that took it in and that was not a takeover.
    pub queued_at: Option<Millis>,
    pub objective_ms: Option<Millis>,
    pub end: Option<(Millis, LoggedEnd)>,
    /// The owner took in a cancellation.
    pub cancelled: bool,
    /// First line of a refused submission.
    pub refused: Option<Logged>,
    /// Why the last refused submission was refused.
    pub refusal: Option<WaitReason>,
    /// A write of it had an unknown outcome, so it may be stored.
    pub maybe_stored: bool,
    pub events: Vec<(Millis, JobEvent)>,
}

impl JobLog {
    /// Returns when the job was accepted, in Unix ms; `None` if no line shows it.
    pub fn accepted_at(&self) -> Option<Millis> {
        self.accepted.as_ref().map(|a| a.at).or(self.queued_at)
    }

    /// Returns whether a line shows that the job is stored.
    pub fn is_stored(&self) -> bool {
        self.accepted.is_some() || self.end.is_some() || self.cancelled || !self.events.is_empty()
    }

    /// Adds a line that names the job; `false` if the line lacks what it should state.
    pub fn add(&mut self, line: &LogLine, fields: &Fields<'_>) -> bool {
        let name = |field: &str| fields.get(field).map(|v| Arc::from(v.as_str()));
        if let Some(queue) = name("queue") {
            self.queue.get_or_insert(queue);
        }
        if let Some(tenant) = name("tenant") {
            self.tenant.get_or_insert(tenant);
        }
        match line.event {
            FleetEvent::JobAccepted => {
                self.accepted.get_or_insert_with(|| logged(line));
            }
            FleetEvent::JobRefused => self.add_refusal(line, fields),
            FleetEvent::JobCancelled => self.cancelled = true,
            FleetEvent::JobEnded => {
                let end = match fields.get("end").map(String::as_str) {
                    Some("Cancelled") => LoggedEnd::Cancelled,
                    Some("Completed") => LoggedEnd::Completed,
                    Some("Failed") => LoggedEnd::Failed,
                    _ => return false,
                };
                self.end.get_or_insert((line.at, end));
            }
            FleetEvent::JobQueued => {
                if fields.get("inherited").is_some_and(|i| i == "false") {
                    self.queued_at.get_or_insert(line.at);
                }
                let objective = objective_ms(fields);
                self.objective_ms = self.objective_ms.or(objective);
                self.events.push((line.at, JobEvent::Queued));
                return objective.is_some();
            }
            _ => return self.add_run_event(line, fields),
        }
        true
    }

    fn add_refusal(&mut self, line: &LogLine, fields: &Fields<'_>) {
        let reason = refusal_text(fields);
        if reason.contains("outcome") {
            self.maybe_stored = true;
        }
        if QUERY_REFUSALS.contains(&reason.as_str()) {
            return;
        }
        self.refused.get_or_insert_with(|| logged(line));
        self.refusal = Some(if fields.contains_key("reason") {
            WaitReason::from_refusal(&reason)
        } else {
            WaitReason::InvalidCall
        });
    }

    fn add_run_event(&mut self, line: &LogLine, fields: &Fields<'_>) -> bool {
        let Some((step, runs)) = parse_runs(fields) else {
            return false;
        };
        let event = match line.event {
            FleetEvent::StepAdvised => JobEvent::Advised(step),
            FleetEvent::RunStarted => JobEvent::Started {
                step,
                runs,
                waited_ms: fields.get("waited_ms").and_then(|w| w.parse().ok()),
                blocked: fields.get("blocked").map(|b| WaitReason::from_blocked(b)),
            },
            FleetEvent::RunEnded => JobEvent::Ended {
                step,
                runs,
                failure: fields.get("end").and_then(|e| WaitReason::from_run_end(e)),
            },
            _ => JobEvent::Ended {
                step,
                runs,
                failure: Some(WaitReason::StartFailed),
            },
        };
        self.events.push((line.at, event));
        true
    }
}

fn logged(line: &LogLine) -> Logged {
    Logged {
        at: line.at,
        node: Arc::from(line.node.as_str()),
    }
}

/// Returns the job that a line names; `None` if it names none.
pub fn job_of(fields: &Fields<'_>) -> Option<JobId> {
    // The detail of a body that is no job follows the job's id without a name of its own.
    let first_word = |v: &String| v.split(' ').next().unwrap_or_default().to_owned();
    let named = fields.get("job").map(first_word);
    let of_step = || fields.get("step").or_else(|| fields.get("task")).cloned();
    let named = named
        .or_else(of_step)
        .or_else(|| fields.get("path")?.rsplit('/').next().map(str::to_owned))?;
    named.split('.').next()?.parse().ok()
}

/// Returns the reason of a refused call in words.
pub fn refusal_text(fields: &Fields<'_>) -> String {
    match (fields.get("reason"), fields.get("status")) {
        (Some(reason), _) => reason.clone(),
        (None, Some(status)) => status.clone(),
        (None, None) => "no valid job".to_owned(),
    }
}

/// Parses the step and the runs that a line names. Lines of earlier versions name one `task`.
fn parse_runs(fields: &Fields<'_>) -> Option<(StepId, NamedRuns)> {
    let id = fields.get("step").or_else(|| fields.get("task"))?;
    let mut parts = id.split('.');
    let step = StepId {
        job: parts.next()?.parse().ok()?,
        occurrence: parts.next()?.parse().ok()?,
        step: parts.next()?.parse().ok()?,
    };
    let task = parts.next().and_then(|t| t.parse().ok());
    let runs = fields.get("runs").map_or("", String::as_str);
    let index = |run: &str| run.split('/').next().and_then(|i| i.parse().ok());
    let tasks = runs.split(',').filter_map(index).chain(task).collect();
    let unnamed = fields.get("more").and_then(|m| m.parse().ok());
    let unnamed = unnamed.unwrap_or(0);
    Some((step, NamedRuns { tasks, unnamed }))
}

/// Returns the objective of a job from its line [`FleetEvent::JobQueued`], in ms from its acceptance. Lines
/// of earlier versions have no age: they count from the owner's receipt.
fn objective_ms(fields: &Fields<'_>) -> Option<Millis> {
    let due_in_ms: i64 = fields.get("due_in_ms")?.parse().ok()?;
    let age_ms = fields.get("age_ms").and_then(|a| a.parse().ok());
    u64::try_from(due_in_ms + age_ms.unwrap_or(0)).ok()
}
