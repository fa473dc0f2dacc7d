//! Why a job waits, for operators.

use {
    crate::{
        core::Millis,
        fleet::{Cell, Executor, JobId, JobStatus, Now, Step, StepId, cell_plan::eligible},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt, sync::Arc},
};

/// What kept tasks of a job from starting when they were last considered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BlockReason {
    /// No advised executor has room, or advice has not been given yet.
    Advice,
    /// The organisation's cap.
    Cap,
    /// Other members of the gang still run or are paused.
    Members,
    /// A pause after a failure.
    Pause,
    /// No executor has room.
    Room,
    /// Runs of an earlier owner may exist that have not been seen.
    Takeover,
}

impl fmt::Display for BlockReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Advice => "no advised executor has room",
            Self::Cap => "the organisation is at its cap",
            Self::Members => "other members of the gang still run or are paused",
            Self::Pause => "paused after a failure",
            Self::Room => "no executor has room",
            Self::Takeover => "runs of an earlier owner are not all known",
        })
    }
}

/// One step of a job that is not done.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepExplanation {
    pub occurrence: u32,
    pub step: u16,
    /// Whether the steps before it are done.
    #[serde(rename = "turn_has_come")]
    pub dependencies_done: bool,
    pub tasks: usize,
    pub done: u32,
    pub running: usize,
    /// Executors of the job's pool, counted by the first reason against each; `free` has none.
    pub executors: BTreeMap<Arc<str>, usize>,
}

/// What an operator is told of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobExplanation {
    pub job: Arc<str>,
    pub queue: Arc<str>,
    pub tenant: Option<Arc<str>>,
    pub state: JobStatus,
    /// Since it reached this owner.
    pub waited_ms: Millis,
    /// Jobs of the same queue that have not started.
    pub queue_waiting: usize,
    pub blocked: Option<BlockReason>,
    /// Beyond the organisation's rate, so behind jobs that are not.
    #[serde(rename = "excess")]
    pub over_rate: bool,
    pub steps: Vec<StepExplanation>,
}

impl Cell {
    /// Explains a job that has not ended; none if it is not known here.
    pub fn explain_job(&self, id: JobId, now: Now) -> Option<JobExplanation> {
        let job = self.jobs.get(&id)?;
        let open = job.steps.iter().filter(|(_, step)| !step.complete());
        let steps = open.map(|(key, step)| self.step_why(job.step_id(*key), step, now));
        Some(JobExplanation {
            job: Arc::from(id.to_string()),
            queue: job.submission.queue.name.clone(),
            tenant: job.submission.tenant.clone(),
            state: self.job_status(id)?,
            waited_ms: now.mono.saturating_sub(job.received_at),
            queue_waiting: self.count_waiting(&job.submission.queue.name),
            blocked: job.blocked,
            over_rate: job.over_rate,
            steps: steps.collect(),
        })
    }

    fn step_why(&self, id: StepId, step: &Step, now: Now) -> StepExplanation {
        let mut executors: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        if let Some((job, _, _)) = self.lookup_step(&id) {
            let pool = &self.queue_rule(job).pool;
            for executor in self.executors.values().filter(|e| e.info.pool == *pool) {
                let reason = self.reason_against(executor, &id, now);
                *executors.entry(Arc::from(reason)).or_default() += 1;
            }
        }
        let job = self.jobs.get(&id.job);
        StepExplanation {
            occurrence: id.occurrence,
            step: id.step,
            dependencies_done: job.is_some_and(|j| j.dependencies_done(id.occurrence, id.step)),
            tasks: step.tasks.len(),
            done: step.done_count,
            running: step
                .tasks
                .iter()
                .filter(|t| !t.active_on.is_empty())
                .count(),
            executors,
        }
    }

    /// Returns the first reason why no task of a step can start on an executor.
    fn reason_against(&self, executor: &Executor, id: &StepId, now: Now) -> &'static str {
        let Some((job, spec, step)) = self.lookup_step(id) else {
            return "job ended";
        };
        let rule = self.queue_rule(job);
        let name = &executor.info.id;
        let same_step = executor.count_step_tasks(id);
        if let Some(obstacle) = executor.unschedulable_reason(now.mono) {
            return obstacle;
        }
        match () {
            () if !eligible(&executor.info, &rule.pool, spec) => "too small or wrong label",
            () if step.advice.rejected.contains(name) => "advised against",
            () if !step.advice.allows(rule, name, now.mono) => "no advice yet",
            () if spec.max_per_executor > 0 && same_step >= spec.max_per_executor => "spread",
            () if !executor.free().covers(&spec.allocation()) => "full",
            () => "free",
        }
    }
}
