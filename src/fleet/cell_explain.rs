//! Explains to operators why the tasks of a job wait. Read only: it places nothing.

use {
    crate::{
        core::Millis,
        fleet::{Cell, Executor, JobId, JobStatus, Now, Step, StepId, cell_plan::eligible},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt, sync::Arc},
};

/// What blocked tasks of a job in the last round that considered them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BlockReason {
    /// No advised executor has enough free capacity.
    Advice,
    /// A call to the advice service is in flight.
    AdvicePending,
    /// All advice slots that its calls may use are in use.
    AdviceSlots,
    /// The tenant's cap.
    Cap,
    /// Other members of the gang still run or wait for the end of a backoff.
    Members,
    /// Backoff after a refused start.
    Pause,
    /// No executor has enough free capacity.
    Room,
    /// Runs of an earlier owner that this owner has not read may exist in the pool.
    Takeover,
    /// Advised executors have room, but the tickets for them have expired.
    Ticket,
    /// It may have crashed an executor, and waits for one where nothing else starts.
    CrashSuspect,
}

impl BlockReason {
    /// Returns whether room made on other executors may let the step start.
    pub(super) fn lacks_capacity(self) -> bool {
        match self {
            Self::Advice
            | Self::AdvicePending
            | Self::AdviceSlots
            | Self::Members
            | Self::Room
            | Self::Ticket => true,
            Self::Cap | Self::CrashSuspect | Self::Pause | Self::Takeover => false,
        }
    }
}

impl fmt::Display for BlockReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Advice => "no advised executor has room",
            Self::AdvicePending => "the advice service has not replied yet",
            Self::AdviceSlots => "all slots for calls to the advice service are in use",
            Self::Cap => "the organisation is at its cap",
            Self::CrashSuspect => {
                "it may have crashed an executor, and waits for one where nothing else starts"
            }
            Self::Members => "other members of the gang still run or are paused",
            Self::Pause => "paused after a failure",
            Self::Room => "no executor has room",
            Self::Takeover => "runs of an earlier owner are not all known",
            Self::Ticket => "advised executors have room, but their tickets have expired",
        })
    }
}

/// State of one step of one occurrence that is not done.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct StepWhy")]
pub struct StepExplanation {
    pub occurrence: u32,
    pub step: u16,
    /// Whether the steps that it depends on are done.
    #[serde(rename = "turn_has_come")]
    pub dependencies_done: bool,
    /// Number of all its tasks.
    pub tasks: usize,
    /// Number of tasks done.
    pub done: u32,
    /// Number of tasks with a run that is or may be active.
    pub running: usize,
    /// Number of executors of the job's pool by the first reason why no task can start there;
    /// `free` means that there is none.
    pub executors: BTreeMap<Arc<str>, usize>,
}

/// State of a job and of its steps that are not done, as operators see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct JobWhy")]
pub struct JobExplanation {
    pub job: Arc<str>,
    pub queue: Arc<str>,
    pub tenant: Option<Arc<str>>,
    pub state: JobStatus,
    /// Time since it was accepted, or since its first open occurrence was due, in ms.
    pub waited_ms: Millis,
    /// Jobs of the same queue that have not started.
    pub queue_waiting: usize,
    pub blocked: Option<BlockReason>,
    /// Beyond the tenant's permitted rate of jobs, so ranked after jobs that are not.
    #[serde(rename = "excess")]
    pub over_rate: bool,
    pub steps: Vec<StepExplanation>,
}

impl Cell {
    /// Explains a job; `None` if it is not known here or has ended and has no runs left.
    pub fn explain_job(&self, id: JobId, now: Now) -> Option<JobExplanation> {
        let job = self.jobs.get(&id)?;
        let unfinished = job.steps.iter().filter(|(_, step)| !step.is_complete());
        let steps = unfinished.map(|(key, step)| self.explain_step(job.step_id(*key), step, now));
        Some(JobExplanation {
            job: Arc::from(id.to_string()),
            queue: job.submission.queue.name.clone(),
            tenant: job.submission.tenant.clone(),
            state: self.job_status(id)?,
            waited_ms: job.oldest_age_ms(now),
            queue_waiting: self.count_waiting(&job.submission.queue.name),
            blocked: job.blocked,
            over_rate: job.over_rate,
            steps: steps.collect(),
        })
    }

    /// Explains one step: its counts, and how many executors of its pool have which reason.
    fn explain_step(&self, id: StepId, step: &Step, now: Now) -> StepExplanation {
        let mut executors: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        if let Some((job, _, _)) = self.lookup_step(&id) {
            let pool = &self.queue_rule(job).pool;
            for executor in self.executors.values().filter(|e| e.info.pool == *pool) {
                let reason = self.blocking_reason(executor, &id, now);
                *executors.entry(Arc::from(reason)).or_default() += 1;
            }
        }
        let job = self.jobs.get(&id.job);
        StepExplanation {
            occurrence: id.occurrence,
            step: id.step,
            dependencies_done: job.is_some_and(|j| j.dependencies_done(id.occurrence, id.step)),
            tasks: usize::try_from(step.count).unwrap_or(usize::MAX),
            done: step.done_count(),
            running: step.active_tasks().count(),
            executors,
        }
    }

    /// Returns the first reason why no task of a step can start on an executor.
    fn blocking_reason(&self, executor: &Executor, id: &StepId, now: Now) -> &'static str {
        let Some((job, spec, step)) = self.lookup_step(id) else {
            return "job ended";
        };
        let rule = self.queue_rule(job);
        let name = &executor.info.id;
        let same_step = executor.count_step_tasks(id);
        if let Some(reason) = executor.unschedulable_reason(now.mono) {
            return reason;
        }
        match () {
            () if self.is_evacuated(&executor.info) => "zone is being evacuated",
            () if self.is_in_upkeep(name) => "maintenance",
            () if !eligible(&executor.info, &rule.pool, spec) => "too small or wrong label",
            () if step.advice.rejected.contains(name) => "advised against",
            () if !step.advice.is_allowed(rule, name, now.mono) => "no advice yet",
            () if spec.max_per_executor > 0 && same_step >= spec.max_per_executor => "spread",
            () if !executor.free().covers(&spec.allocation()) => "full",
            () if !spec.persistent && !executor.may_try(id.job, now.mono) => "on trial",
            () => "free",
        }
    }
}
