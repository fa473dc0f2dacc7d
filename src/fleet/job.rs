//! The owner's in-memory state of a job: occurrences, steps, tasks and their active runs.
//!
//! Used by the cell, which decides when a task starts and writes the progress to the store. A job
//! only answers questions about itself; it sends nothing and reads no clock.

use {
    crate::{
        core::Millis,
        fleet::{
            BlockReason, ExecutorId, JobEnd, JobProgress, QueueRule, RunNumber, StepId,
            StepProgress, StepSpec, Submission, TaskId, TaskProgress, policy,
        },
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Run numbers reserved for one owner; the next owner starts above them.
pub const RUN_NUMBERS_PER_OWNER: RunNumber = 1 << 20;

/// State of one task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    pub done: bool,
    /// Runs that ended as failed, counted against the queue's maximum of attempts.
    pub failed_runs: Vec<RunNumber>,
    /// Last checkpoint reported; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Highest run number used for the task.
    pub last_run_number: RunNumber,
    /// Executors where it runs or may run; more than one only if the step allows duplicates.
    pub active_on: Vec<ExecutorId>,
    /// Executors where it failed.
    pub failed_on: Vec<ExecutorId>,
    /// Earliest next start, in ms on the owner's monotonic clock.
    pub not_before: Millis,
}

impl Task {
    /// Returns whether it is neither done nor active nor in a backoff.
    pub fn is_waiting(&self, now: Millis) -> bool {
        !self.done && self.active_on.is_empty() && self.not_before <= now
    }
}

/// Proof from the advice service that tasks of one step may start on one executor.
#[derive(Clone, Debug)]
pub struct Ticket {
    pub value: Arc<str>,
    /// In ms on the owner's monotonic clock.
    pub expires_at: Millis,
}

/// Placement advice for one step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Executors that may run the step; the answer never changes for an incarnation of an executor.
    pub advised: HashMap<ExecutorId, Ticket>,
    /// Executors that may not run the step.
    pub rejected: HashSet<ExecutorId>,
    /// Calls in flight.
    pub calls_pending: u32,
    /// Earliest next call, in ms on the owner's monotonic clock.
    pub not_before: Millis,
    /// Whether a call was made before the steps on which this one depends were done; there is only
    /// one.
    pub requested_ahead: bool,
}

impl StepAdvice {
    /// Returns whether a task may start on an executor: the queue needs no advice, or the ticket
    /// for the executor is still valid.
    pub fn is_allowed(&self, rule: &QueueRule, executor: &ExecutorId, now: Millis) -> bool {
        let valid = |t: &Ticket| t.expires_at > now;
        rule.advice.is_none() || self.advised.get(executor).is_some_and(valid)
    }
}

/// State of one step of one occurrence.
#[derive(Clone, Debug)]
pub struct Step {
    pub tasks: Vec<Task>,
    /// Number of `tasks` that are done.
    pub done_count: u32,
    /// When the last run of it was sent or adopted, in ms on the owner's monotonic clock.
    pub last_start_at: Millis,
    pub advice: StepAdvice,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        let count = usize::try_from(spec.count).unwrap_or(0);
        Self {
            tasks: vec![Task::default(); count],
            done_count: 0,
            last_start_at: 0,
            advice: StepAdvice::default(),
        }
    }

    /// Returns whether all tasks are done.
    pub fn is_complete(&self) -> bool {
        usize::try_from(self.done_count).is_ok_and(|d| d == self.tasks.len())
    }

    /// Returns whether any task is neither active nor done.
    pub fn has_waiting(&self) -> bool {
        self.tasks.iter().any(|t| !t.done && t.active_on.is_empty())
    }

    /// Counts the tasks that are neither active nor done.
    pub fn count_waiting(&self) -> u32 {
        let waits = |t: &&Task| !t.done && t.active_on.is_empty();
        u32::try_from(self.tasks.iter().filter(waits).count()).unwrap_or(u32::MAX)
    }
}

/// A job that has not ended, or whose runs have not all ended.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, each documented"
)]
pub struct Job {
    pub submission: Submission,
    /// Keyed by occurrence and step; an occurrence is added when it is due.
    pub steps: BTreeMap<(u32, u16), Step>,
    /// Occurrences added so far.
    pub occurrences: u32,
    /// When this owner received it, in ms on its monotonic clock.
    pub received_at: Millis,
    /// End of its objective, in ms on the same clock; based on the estimated run times.
    pub due: Millis,
    /// Estimated time from the start of each step to the end of the last step that depends on it,
    /// in ms.
    remaining_ms: Vec<Millis>,
    /// Whether the start of any task was sent.
    pub start_sent: bool,
    /// Whether any task has started as far as executors confirmed, or has stored progress.
    pub started: bool,
    /// Taken over from an earlier owner, which may have started tasks of it.
    pub recovered: bool,
    /// Beyond the tenant's permitted rate of jobs.
    pub over_rate: bool,
    /// Why its waiting tasks could not start in the last round that considered them.
    pub blocked: Option<BlockReason>,
    /// Outcome, once it is decided; callers see it only when `end_durable` is set.
    pub end: Option<JobEnd>,
    pub end_durable: bool,
    /// Whether its progress may be in the store.
    pub may_have_progress_record: bool,
}

impl Job {
    /// Creates a job with its due occurrences, and restores the stored progress if there is any.
    pub fn new(
        submission: Submission,
        progress: Option<&JobProgress>,
        now_unix_ms: Millis,
    ) -> Self {
        let remaining_ms = remaining_times(&submission.spec.steps);
        let mut job = Self {
            submission,
            steps: BTreeMap::new(),
            occurrences: 0,
            received_at: 0,
            due: 0,
            remaining_ms,
            start_sent: progress.is_some(),
            started: progress.is_some(),
            recovered: false,
            over_rate: false,
            blocked: None,
            end: None,
            end_durable: false,
            may_have_progress_record: progress.is_some(),
        };
        job.add_due_occurrences(now_unix_ms);
        if let Some(progress) = progress {
            job.restore(progress);
        }
        job
    }

    /// Returns the spec of a step by its index in the submission.
    pub fn spec(&self, step: u16) -> Option<&StepSpec> {
        self.submission.spec.steps.get(usize::from(step))
    }

    /// Returns the estimated time from the start of a step to the end of the job, in ms.
    pub fn remaining_ms(&self, step: u16) -> Millis {
        let remaining = self.remaining_ms.get(usize::from(step));
        remaining.copied().unwrap_or(0)
    }

    /// Returns whether a step that starts now should run on fast executors.
    pub fn needs_speed(&self, step: u16, now: Millis) -> bool {
        let slack_ms = self.due.saturating_sub(now + self.remaining_ms(step));
        let estimate_ms = self.spec(step).map_or(0, |s| s.estimate_ms);
        !self.submission.spec.is_persistent() && policy::needs_speed(slack_ms, estimate_ms)
    }

    /// Returns the estimated time of the longest chain of dependent steps, in ms.
    pub fn critical_path_ms(&self) -> Millis {
        self.remaining_ms.iter().copied().max().unwrap_or(0)
    }

    /// Returns when the next occurrence is due, in Unix ms; `None` without a schedule or if all
    /// occurrences were added.
    pub fn next_due_unix_ms(&self) -> Option<Millis> {
        let schedule = self.submission.spec.schedule?;
        let due = schedule.start_unix_ms + u64::from(self.occurrences) * schedule.interval_ms;
        (self.occurrences < schedule.count).then_some(due)
    }

    /// Adds the occurrences that are due and returns whether any was added. A job without a
    /// schedule has one occurrence, due at once.
    pub fn add_due_occurrences(&mut self, now_unix_ms: Millis) -> bool {
        let previous = self.occurrences;
        if self.submission.spec.schedule.is_none() {
            if self.occurrences == 0 {
                self.add_occurrence();
            }
        } else {
            while self
                .next_due_unix_ms()
                .is_some_and(|due| due <= now_unix_ms)
            {
                self.add_occurrence();
            }
        }
        self.occurrences > previous
    }

    /// Returns whether an occurrence will be added later. An earlier owner whose time of day was ahead
    /// may have started it.
    pub fn is_future_occurrence(&self, occurrence: u32) -> bool {
        let count = self.submission.spec.schedule.map_or(1, |s| s.count);
        (self.occurrences..count).contains(&occurrence)
    }

    fn add_occurrence(&mut self) {
        for (i, spec) in self.submission.spec.steps.iter().enumerate() {
            let index = u16::try_from(i).unwrap_or(u16::MAX);
            self.steps
                .insert((self.occurrences, index), Step::new(spec));
        }
        self.occurrences += 1;
    }

    fn restore(&mut self, progress: &JobProgress) {
        for saved_step in &progress.steps {
            while self.occurrences <= saved_step.occurrence {
                self.add_occurrence();
            }
            let Some(step) = self
                .steps
                .get_mut(&(saved_step.occurrence, saved_step.step))
            else {
                continue;
            };
            for (task, saved) in step.tasks.iter_mut().zip(&saved_step.tasks) {
                task.done = saved.done;
                task.failed_runs.clone_from(&saved.failed_runs);
                task.checkpoint = saved.checkpoint.clone();
                step.done_count += u32::from(saved.done);
            }
        }
    }

    /// Returns the progress to store; steps without any are left out, and so are crashes, which
    /// the job does not know.
    pub fn progress(&self) -> JobProgress {
        let has_progress =
            |t: &Task| t.done || !t.failed_runs.is_empty() || !t.checkpoint.is_empty();
        let with_progress = self
            .steps
            .iter()
            .filter(|(_, s)| s.tasks.iter().any(has_progress));
        let steps = with_progress.map(|((occurrence, step), s)| StepProgress {
            occurrence: *occurrence,
            step: *step,
            tasks: s.tasks.iter().map(task_progress).collect(),
        });
        JobProgress {
            steps: steps.collect(),
            crashed_tasks: Vec::new(),
        }
    }

    /// Returns whether all steps that this step depends on are done.
    pub fn dependencies_done(&self, occurrence: u32, step: u16) -> bool {
        let Some(spec) = self.spec(step) else {
            return false;
        };
        let done = |s: &u16| {
            let dependency = self.steps.get(&(occurrence, *s));
            dependency.is_some_and(Step::is_complete)
        };
        spec.depends_on.iter().all(done)
    }

    /// Returns whether the steps on which this one depends are done or will be soon.
    pub fn dependencies_end_soon(&self, occurrence: u32, step: u16, now: Millis) -> bool {
        let ends_soon = |s: &u16| {
            let estimate_ms = self.spec(*s).map_or(0, |spec| spec.estimate_ms);
            self.steps.get(&(occurrence, *s)).is_some_and(|d| {
                let ran_ms = now.saturating_sub(d.last_start_at);
                policy::ends_soon(d.has_waiting(), d.done_count, ran_ms, estimate_ms)
            })
        };
        self.spec(step)
            .is_some_and(|spec| spec.depends_on.iter().all(ends_soon))
    }

    /// Returns whether every occurrence was added and every step is done.
    pub fn is_complete(&self) -> bool {
        self.next_due_unix_ms().is_none() && self.steps.values().all(Step::is_complete)
    }

    /// Returns whether any task is or may be running.
    pub fn has_runs(&self) -> bool {
        let active = |s: &Step| s.tasks.iter().any(|t| !t.active_on.is_empty());
        self.steps.values().any(active)
    }

    /// Returns all runs that are or may be active, ordered by step and task.
    pub fn active_runs(&self) -> Vec<(ExecutorId, TaskId)> {
        let mut runs = Vec::new();
        for (key, step) in &self.steps {
            let step_id = self.step_id(*key);
            for (index, task) in (0..).zip(&step.tasks) {
                let id = TaskId {
                    step: step_id,
                    index,
                };
                runs.extend(task.active_on.iter().map(|e| (e.clone(), id)));
            }
        }
        runs
    }

    /// Returns the id of a step from its occurrence and index.
    pub fn step_id(&self, key: (u32, u16)) -> StepId {
        StepId {
            job: self.submission.id,
            occurrence: key.0,
            step: key.1,
        }
    }
}

/// Returns for each step the estimated time from its start to the end of the last step that
/// depends on it, in ms. Steps depend on earlier ones only.
pub(super) fn remaining_times(steps: &[StepSpec]) -> Vec<Millis> {
    let mut remaining: Vec<Millis> = steps.iter().map(|s| s.estimate_ms).collect();
    for (i, step) in steps.iter().enumerate().rev() {
        for dependency in step.depends_on.iter().map(|d| usize::from(*d)) {
            if dependency < i {
                let chain = steps[dependency].estimate_ms + remaining[i];
                remaining[dependency] = remaining[dependency].max(chain);
            }
        }
    }
    remaining
}

fn task_progress(task: &Task) -> TaskProgress {
    TaskProgress {
        done: task.done,
        failed_runs: task.failed_runs.clone(),
        checkpoint: task.checkpoint.clone(),
    }
}
