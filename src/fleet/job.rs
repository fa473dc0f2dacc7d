//! A job in the owner's memory: its steps, tasks and what is known of each.

use {
    crate::{
        core::Millis,
        fleet::{
            BlockReason, ExecutorId, JobEnd, JobProgress, QueueRule, RunNumber, StepId,
            StepProgress, StepSpec, Submission, TaskId, TaskProgress,
        },
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Run numbers of one owner; the next owner begins above them.
pub const RUN_NUMBERS_PER_OWNER: RunNumber = 1 << 20;

/// One task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    pub done: bool,
    /// Runs that ended as failed.
    pub failed_runs: Vec<RunNumber>,
    pub checkpoint: Arc<str>,
    /// Highest run number used.
    pub last_run_number: RunNumber,
    /// Where it runs or may run; more than one only where duplicates are allowed.
    pub active_on: Vec<ExecutorId>,
    /// Executors where it failed.
    pub failed_on: Vec<ExecutorId>,
    /// When it may be started again.
    pub not_before: Millis,
}

/// A ticket to start tasks of one step on one executor.
#[derive(Clone, Debug)]
pub struct Ticket {
    pub value: Arc<str>,
    pub expires_at: Millis,
}

/// What the advice service said of one step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Executors that may run the step; the set never changes for a life of an executor.
    pub advised: HashMap<ExecutorId, Ticket>,
    pub rejected: HashSet<ExecutorId>,
    pub call_pending: bool,
    /// When it may be asked again after a failure.
    pub not_before: Millis,
}

impl StepAdvice {
    /// Tells whether a task may be started on an executor: no advice is needed, or a ticket
    /// for it is still valid.
    pub fn allows(&self, rule: &QueueRule, executor: &ExecutorId, now: Millis) -> bool {
        let valid = |t: &Ticket| t.expires_at > now;
        rule.advice.is_none() || self.advised.get(executor).is_some_and(valid)
    }
}

/// One step of one occurrence.
#[derive(Clone, Debug)]
pub struct Step {
    pub tasks: Vec<Task>,
    pub done_count: u32,
    pub advice: StepAdvice,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        let count = usize::try_from(spec.count).unwrap_or(0);
        Self {
            tasks: vec![Task::default(); count],
            done_count: 0,
            advice: StepAdvice::default(),
        }
    }

    /// Tells whether all tasks are done.
    pub fn complete(&self) -> bool {
        usize::try_from(self.done_count).is_ok_and(|d| d == self.tasks.len())
    }

    /// Tells whether a task neither runs nor is done.
    pub fn has_waiting(&self) -> bool {
        self.tasks.iter().any(|t| !t.done && t.active_on.is_empty())
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
    /// By occurrence and step; an occurrence is added when it is due.
    pub steps: BTreeMap<(u32, u16), Step>,
    /// Occurrences added so far.
    pub occurrences: u32,
    /// When it arrived here.
    pub received_at: Millis,
    /// When its objective is missed, as far as estimates tell.
    pub due: Millis,
    /// Whether a task was ever started.
    pub started: bool,
    /// Taken over from an earlier owner, which may have started tasks of it.
    pub recovered: bool,
    /// Beyond what is owed to the organisation.
    pub over_rate: bool,
    /// What kept its tasks from starting when they were last considered.
    pub blocked: Option<BlockReason>,
    /// Set once the outcome is decided; callers see it when it is durable.
    pub end: Option<JobEnd>,
    pub end_durable: bool,
}

impl Job {
    /// Creates a job with the progress that the store has of it.
    pub fn new(submission: Submission, progress: Option<&JobProgress>, unix: Millis) -> Self {
        let mut job = Self {
            submission,
            steps: BTreeMap::new(),
            occurrences: 0,
            received_at: 0,
            due: 0,
            started: progress.is_some(),
            recovered: false,
            over_rate: false,
            blocked: None,
            end: None,
            end_durable: false,
        };
        job.add_due_occurrences(unix);
        if let Some(progress) = progress {
            job.restore(progress);
        }
        job
    }

    /// Returns the spec of a step.
    pub fn spec(&self, step: u16) -> Option<&StepSpec> {
        self.submission.spec.steps.get(usize::from(step))
    }

    /// Returns when the next occurrence is due, in Unix ms.
    pub fn next_due_unix(&self) -> Option<Millis> {
        let schedule = self.submission.spec.schedule?;
        let due = schedule.start_unix_ms + u64::from(self.occurrences) * schedule.interval_ms;
        (self.occurrences < schedule.count).then_some(due)
    }

    /// Adds the occurrences that are due; tells whether any was added.
    pub fn add_due_occurrences(&mut self, unix: Millis) -> bool {
        let before = self.occurrences;
        if self.submission.spec.schedule.is_none() {
            if self.occurrences == 0 {
                self.open_next();
            }
        } else {
            while self.next_due_unix().is_some_and(|due| due <= unix) {
                self.open_next();
            }
        }
        self.occurrences > before
    }

    fn open_next(&mut self) {
        for (i, spec) in self.submission.spec.steps.iter().enumerate() {
            let number = u16::try_from(i).unwrap_or(u16::MAX);
            self.steps
                .insert((self.occurrences, number), Step::new(spec));
        }
        self.occurrences += 1;
    }

    fn restore(&mut self, progress: &JobProgress) {
        for saved in &progress.steps {
            while self.occurrences <= saved.occurrence {
                self.open_next();
            }
            let Some(step) = self.steps.get_mut(&(saved.occurrence, saved.step)) else {
                continue;
            };
            for (task, old) in step.tasks.iter_mut().zip(&saved.tasks) {
                task.done = old.done;
                task.failed_runs.clone_from(&old.failed_runs);
                task.checkpoint = old.checkpoint.clone();
                step.done_count += u32::from(old.done);
            }
        }
    }

    /// Returns what the store must keep.
    pub fn progress(&self) -> JobProgress {
        let worth = |t: &Task| t.done || !t.failed_runs.is_empty() || !t.checkpoint.is_empty();
        let touched = self.steps.iter().filter(|(_, s)| s.tasks.iter().any(worth));
        let steps = touched.map(|((occurrence, step), s)| StepProgress {
            occurrence: *occurrence,
            step: *step,
            tasks: s.tasks.iter().map(task_progress).collect(),
        });
        JobProgress {
            steps: steps.collect(),
        }
    }

    /// Tells whether the steps before this one are done.
    pub fn dependencies_done(&self, occurrence: u32, step: u16) -> bool {
        let Some(spec) = self.spec(step) else {
            return false;
        };
        let done = |s: &u16| {
            let before = self.steps.get(&(occurrence, *s));
            before.is_some_and(Step::complete)
        };
        spec.depends_on.iter().all(done)
    }

    /// Tells whether every occurrence was opened and every step is done.
    pub fn complete(&self) -> bool {
        self.next_due_unix().is_none() && self.steps.values().all(Step::complete)
    }

    /// Tells whether any run may still be there.
    pub fn has_runs(&self) -> bool {
        let active = |s: &Step| s.tasks.iter().any(|t| !t.active_on.is_empty());
        self.steps.values().any(active)
    }

    /// Lists the runs that are or may be there, in the order of steps and tasks.
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

    /// Returns the identifier of a step.
    pub fn step_id(&self, key: (u32, u16)) -> StepId {
        StepId {
            job: self.submission.id,
            occurrence: key.0,
            step: key.1,
        }
    }
}

fn task_progress(task: &Task) -> TaskProgress {
    TaskProgress {
        done: task.done,
        failed_runs: task.failed_runs.clone(),
        checkpoint: task.checkpoint.clone(),
    }
}
