//! The owner's in-memory state of a job: occurrences, steps, tasks and their active runs.
//!
//! Used by the cell, which decides when a task starts and writes the progress to the store. A job
//! only answers questions about itself; it sends nothing and reads no clock.

use {
    crate::{
        core::Millis,
        fleet::{
            BlockReason, ExecutorId, IndexSet, JobEnd, JobProgress, Now, QueueRule, RunNumber,
            StepId, StepProgress, StepSpec, Submission, TaskId, TaskProgress,
            job_spec::MAX_DENSE_TASKS, policy,
        },
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Run numbers reserved for one owner; the next owner starts above them.
pub const RUN_NUMBERS_PER_OWNER: RunNumber = 1 << 20;

/// Bounds the steps of one job whose state is kept at a time, by adding occurrences that are due only
/// as earlier ones complete; one occurrence is always added.
const MAX_OPEN_STEPS: usize = 64;

/// State of one task that has been started and is not done, or that is done and still has a run.
#[derive(Clone, Debug, Default)]
pub struct Task {
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
    /// Whether this owner started it or found it running, and it has not failed since. A task has one run at a
    /// time, so it runs on no executor that this owner has not read.
    pub located: bool,
}

impl Task {
    /// Returns whether it is neither active nor in a backoff.
    fn may_start(&self, now: Millis) -> bool {
        self.active_on.is_empty() && self.not_before <= now
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

/// State of one step of one occurrence. What it takes depends on the tasks that run or wait for
/// another run, not on the number of tasks.
#[derive(Clone, Debug)]
pub struct Step {
    /// Number of its tasks.
    pub count: u32,
    /// Indexes of the tasks that are done.
    done: IndexSet,
    /// By index; a task without a state has not been started, or is done and has no run.
    tasks: BTreeMap<u32, Task>,
    /// When the last run of it was sent or adopted, in ms on the owner's monotonic clock.
    pub last_start_at: Millis,
    pub advice: StepAdvice,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        Self {
            count: spec.count,
            done: IndexSet::default(),
            tasks: BTreeMap::new(),
            last_start_at: 0,
            advice: StepAdvice::default(),
        }
    }

    /// Returns the number of tasks that are done.
    pub fn done_count(&self) -> u32 {
        self.done.len()
    }

    /// Returns whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.done.contains(index)
    }

    /// Returns whether there is such a task and it is not done.
    pub fn is_open(&self, index: u32) -> bool {
        index < self.count && !self.is_done(index)
    }

    /// Returns whether all tasks are done.
    pub fn is_complete(&self) -> bool {
        self.done.len() >= self.count
    }

    /// Returns whether any task is neither active nor done.
    pub fn has_waiting(&self) -> bool {
        self.count_waiting() > 0
    }

    /// Counts the tasks that are neither active nor done.
    pub fn count_waiting(&self) -> u32 {
        let blocked = self.open_tasks().filter(|(_, t)| !t.active_on.is_empty());
        self.count_open_without(blocked.count())
    }

    /// Counts the tasks that may start now.
    pub fn count_startable(&self, now: Millis) -> u32 {
        let blocked = self.open_tasks().filter(|(_, t)| !t.may_start(now));
        self.count_open_without(blocked.count())
    }

    /// Lists the first `max` tasks that may start now.
    pub fn startable(&self, now: Millis, max: usize) -> Vec<u32> {
        let may_start = |i: &u32| self.tasks.get(i).is_none_or(|t| t.may_start(now));
        let open = self.done.gaps(self.count).flatten();
        open.filter(may_start).take(max).collect()
    }

    /// Returns whether a task may start now.
    pub fn is_startable(&self, index: u32, now: Millis) -> bool {
        self.is_open(index) && self.tasks.get(&index).is_none_or(|t| t.may_start(now))
    }

    /// Lists the first `max` tasks that may start now and were located before.
    pub fn located_startable(&self, now: Millis, max: usize) -> Vec<u32> {
        let open = self.open_tasks();
        let startable = open.filter(|(_, t)| t.located && t.may_start(now));
        startable.map(|(index, _)| *index).take(max).collect()
    }

    /// Returns whether a task was located: started by this owner or found running.
    pub fn is_located(&self, index: u32) -> bool {
        self.tasks.get(&index).is_some_and(|t| t.located)
    }

    /// Returns whether all tasks that are not done were located.
    pub fn is_fully_located(&self) -> bool {
        let located = self.open_tasks().filter(|(_, t)| t.located).count();
        self.count_open_without(located) == 0
    }

    /// Lists the tasks that are or may be running, in order.
    pub fn active_tasks(&self) -> impl Iterator<Item = (u32, &Task)> {
        let tasks = self.tasks.iter().map(|(i, t)| (*i, t));
        tasks.filter(|(_, t)| !t.active_on.is_empty())
    }

    /// Returns the state of a task; `None` if it has none.
    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(&index)
    }

    /// Returns the state of a task that is not done or has a run; `None` for others.
    pub fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        if self.is_open(index) {
            Some(self.tasks.entry(index).or_default())
        } else {
            self.tasks.get_mut(&index)
        }
    }

    /// Records that a task is done; returns whether it was not.
    pub fn mark_done(&mut self, index: u32) -> bool {
        let changed = index < self.count && self.done.insert(index);
        self.drop_closed(index);
        changed
    }

    /// Records that all tasks are done; returns whether any was not.
    pub fn mark_all_done(&mut self) -> bool {
        let changed = !self.is_complete();
        self.done = IndexSet::up_to(self.count);
        self.tasks.retain(|_, t| !t.active_on.is_empty());
        changed
    }

    /// Records that a task does not run on an executor any more.
    pub fn clear_active(&mut self, index: u32, executor: &ExecutorId) {
        if let Some(task) = self.tasks.get_mut(&index) {
            task.active_on.retain(|e| e != executor);
        }
        self.drop_closed(index);
    }

    /// Drops the state of a task that is done and has no run.
    fn drop_closed(&mut self, index: u32) {
        let has_runs = |t: &Task| !t.active_on.is_empty();
        if self.is_done(index) && !self.tasks.get(&index).is_some_and(has_runs) {
            self.tasks.remove(&index);
        }
    }

    fn open_tasks(&self) -> impl Iterator<Item = (&u32, &Task)> {
        self.tasks.iter().filter(|(i, _)| !self.is_done(**i))
    }

    fn count_open_without(&self, blocked: usize) -> u32 {
        let blocked = u32::try_from(blocked).unwrap_or(u32::MAX);
        self.count
            .saturating_sub(self.done.len())
            .saturating_sub(blocked)
    }

    /// Restores stored progress.
    fn restore(&mut self, saved: &StepProgress) {
        for range in saved.done.ranges() {
            self.done
                .insert_range(range.start..range.end.min(self.count));
        }
        for saved in &saved.tasks {
            if let Some(task) = self.task_mut(saved.index) {
                task.failed_runs.clone_from(&saved.failed_runs);
                task.checkpoint = saved.checkpoint.clone();
            }
        }
    }

    /// Returns the progress to store; `None` if there is none.
    fn progress(&self, (occurrence, step): (u32, u16)) -> Option<StepProgress> {
        let has_progress = |t: &Task| !t.failed_runs.is_empty() || !t.checkpoint.is_empty();
        let tasks = self.open_tasks().filter(|(_, t)| has_progress(t));
        let tasks = tasks.map(|(index, t)| TaskProgress {
            index: *index,
            failed_runs: t.failed_runs.clone(),
            checkpoint: t.checkpoint.clone(),
        });
        let progress = StepProgress {
            occurrence,
            step,
            done: self.done.clone(),
            tasks: tasks.collect(),
        };
        (!progress.done.is_empty() || !progress.tasks.is_empty()).then_some(progress)
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
    /// Keyed by occurrence and step; an occurrence is added when it is due, and removed when all its
    /// steps are done and nothing of it runs.
    pub steps: BTreeMap<(u32, u16), Step>,
    /// Occurrences added so far.
    pub occurrences: u32,
    /// Occurrences that were removed.
    completed: IndexSet,
    /// When this owner received it, in ms on its monotonic clock.
    pub received_at: Millis,
    /// Its age then, in ms: the time since an entry node accepted it, by the times of day of both nodes.
    pub age_at_receipt_ms: Millis,
    /// Time from its acceptance in which it should end, in ms; based on the estimated run times. An
    /// occurrence has this time from when it is due.
    pub objective_ms: Millis,
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
    /// Whether it is stored as a large job, or must be from its next record on.
    pub large: bool,
    /// Whether the store has it as a large job for certain.
    pub stored_large: bool,
}

impl Job {
    /// Creates a job with its due occurrences, and restores the stored progress if there is any.
    pub fn new(
        mut submission: Submission,
        progress: Option<&JobProgress>,
        now_unix_ms: Millis,
    ) -> Self {
        submission.spec.clamp_estimates();
        let large = submission.spec.is_large();
        let remaining_ms = remaining_times(&submission.spec.steps);
        let mut job = Self {
            submission,
            steps: BTreeMap::new(),
            occurrences: 0,
            completed: IndexSet::default(),
            received_at: 0,
            age_at_receipt_ms: 0,
            objective_ms: 0,
            remaining_ms,
            start_sent: progress.is_some(),
            started: progress.is_some(),
            recovered: false,
            over_rate: false,
            blocked: None,
            end: None,
            end_durable: false,
            may_have_progress_record: progress.is_some(),
            large,
            stored_large: false,
        };
        if let Some(progress) = progress {
            job.restore(progress);
        }
        job.add_due_occurrences(now_unix_ms);
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

    /// Returns how long an occurrence has been due, in ms: since an entry node accepted the job, or by its
    /// schedule.
    pub fn age_ms(&self, occurrence: u32, now: Now) -> Millis {
        match self.submission.spec.schedule {
            Some(schedule) => now.unix.saturating_sub(schedule.due_unix_ms(occurrence)),
            None => self.age_at_receipt_ms + now.mono.saturating_sub(self.received_at),
        }
    }

    /// Returns how long its first open occurrence has been due, in ms; 0 if there is none.
    pub fn oldest_age_ms(&self, now: Now) -> Millis {
        let first = self.steps.keys().next();
        first.map_or(0, |(occurrence, _)| self.age_ms(*occurrence, now))
    }

    /// Returns the time until the objective of an occurrence ends, in ms; negative once it has passed.
    pub fn due_in_ms(&self, occurrence: u32, now: Now) -> i64 {
        self.objective_ms.cast_signed() - self.age_ms(occurrence, now).cast_signed()
    }

    /// Returns whether a step of an occurrence that starts now should run on fast executors.
    pub fn needs_speed(&self, (occurrence, step): (u32, u16), now: Now) -> bool {
        let end_ms = self.age_ms(occurrence, now) + self.remaining_ms(step);
        let slack_ms = self.objective_ms.saturating_sub(end_ms);
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
        (self.occurrences < schedule.count).then(|| schedule.due_unix_ms(self.occurrences))
    }

    /// Adds the occurrences that are due, as many as may be open, and returns whether any was added. A
    /// job without a schedule has one occurrence, due at once.
    pub fn add_due_occurrences(&mut self, now_unix_ms: Millis) -> bool {
        let previous = self.occurrences;
        self.remove_completed();
        if self.submission.spec.schedule.is_none() {
            if self.occurrences == 0 {
                self.add_occurrence();
            }
        } else {
            while self
                .next_due_unix_ms()
                .is_some_and(|due| due <= now_unix_ms)
                && (self.steps.is_empty() || self.steps.len() < MAX_OPEN_STEPS)
            {
                self.add_occurrence();
            }
        }
        self.occurrences > previous
    }

    /// Removes the occurrences of a schedule of which all steps are done and nothing runs.
    fn remove_completed(&mut self) {
        if self.submission.spec.schedule.is_none() {
            return;
        }
        let open = |s: &Step| !s.is_complete() || s.active_tasks().next().is_some();
        let open: HashSet<u32> = self
            .steps
            .iter()
            .filter(|(_, s)| open(s))
            .map(|((occurrence, _), _)| *occurrence)
            .collect();
        for ((occurrence, _), _) in self.steps.extract_if(.., |(o, _), _| !open.contains(o)) {
            self.completed.insert(occurrence);
        }
    }

    /// Returns whether an occurrence will be added later. An earlier owner whose time of day was ahead
    /// may have started it.
    pub fn is_future_occurrence(&self, occurrence: u32) -> bool {
        (self.occurrences..self.occurrence_count()).contains(&occurrence)
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
        self.completed = progress.completed.clone();
        let last = progress.completed.ranges().last().map_or(0, |r| r.end);
        let saved = progress.steps.iter().map(|s| s.occurrence + 1).max();
        let added = last.max(saved.unwrap_or(0)).min(self.occurrence_count());
        while self.occurrences < added {
            if self.completed.contains(self.occurrences) {
                self.occurrences += 1;
            } else {
                self.add_occurrence();
            }
        }
        for saved in &progress.steps {
            if let Some(step) = self.steps.get_mut(&(saved.occurrence, saved.step)) {
                step.restore(saved);
            }
        }
    }

    fn occurrence_count(&self) -> u32 {
        self.submission.spec.schedule.map_or(1, |s| s.count)
    }

    /// Returns the progress to store; steps without any are left out, and so are crashes, which
    /// the job does not know.
    pub fn progress(&self) -> JobProgress {
        let steps = self.steps.iter().filter_map(|(key, s)| s.progress(*key));
        JobProgress {
            completed: self.completed.clone(),
            steps: steps.collect(),
            crashed_tasks: Vec::new(),
        }
    }

    /// Bounds the size of its progress record from above, in bytes, without the crashes.
    pub fn max_progress_bytes(&self) -> usize {
        if !self.large {
            let tasks = self.steps.values().map(|s| u64::from(s.count)).sum::<u64>();
            return usize::try_from(3 * tasks).unwrap_or(usize::MAX);
        }
        self.progress().max_sparse_bytes()
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
                policy::ends_soon(d.has_waiting(), d.done_count(), ran_ms, estimate_ms)
            })
        };
        self.spec(step)
            .is_some_and(|spec| spec.depends_on.iter().all(ends_soon))
    }

    /// Returns whether more of its tasks are due and not done than a job has that is not large.
    pub fn has_large_backlog(&self) -> bool {
        let open = self.steps.values();
        let open = open.map(|s| u64::from(s.count.saturating_sub(s.done_count())));
        self.large && open.sum::<u64>() > MAX_DENSE_TASKS
    }

    /// Returns whether every occurrence was added and every step is done.
    pub fn is_complete(&self) -> bool {
        self.next_due_unix_ms().is_none() && self.steps.values().all(Step::is_complete)
    }

    /// Returns whether any task is or may be running.
    pub fn has_runs(&self) -> bool {
        let mut steps = self.steps.values();
        steps.any(|s| s.active_tasks().next().is_some())
    }

    /// Returns all runs that are or may be active, ordered by step and task.
    pub fn active_runs(&self) -> Vec<(ExecutorId, TaskId)> {
        let mut runs = Vec::new();
        for (key, step) in &self.steps {
            let step_id = self.step_id(*key);
            for (index, task) in step.active_tasks() {
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
                let chain = steps[dependency].estimate_ms.saturating_add(remaining[i]);
                remaining[dependency] = remaining[dependency].max(chain);
            }
        }
    }
    remaining
}
