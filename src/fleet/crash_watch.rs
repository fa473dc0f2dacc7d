//! Crashes of executors under tasks: which tasks may have caused one, and which executors are held
//! for them.
//!
//! Used by the cell, whose decisions on them are in `cell_crashes`. Nothing here sends a command.

use {
    crate::{
        core::Millis,
        fleet::{
            CrashedTask, ExecutorId, JobId, RunNumber, TaskId,
            policy::{self, CrashVerdict},
        },
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Time for which the runs of an executor whose lease expired are kept, in ms.
const LAPSED_RETENTION_MS: Millis = 120_000;

/// A confirmed run of a suspect task.
#[derive(Clone, Copy, Debug)]
pub struct WatchedRun {
    pub task: TaskId,
    pub run: RunNumber,
    /// The executor had confirmed it.
    pub confirmed: bool,
    /// No task of another job could cause a crash of the executor at the time.
    pub sole_cause: bool,
}

/// What is known against one task.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Runs under which an executor certainly crashed, and whether nothing else could have caused it.
    crashes: Vec<(RunNumber, bool)>,
    /// Number of `crashes` in the last commit sent.
    sent: usize,
    /// Number of `crashes` that are durable.
    durable: usize,
}

/// An executor held for the suspect tasks of one job: nothing else starts there.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    pub job: JobId,
    pub since: Millis,
}

/// An executor whose lease expired, so that its runs were lost, before it showed whether it crashed.
#[derive(Clone, Debug)]
struct LapsedExecutor {
    address: Arc<str>,
    started_unix_ms: Option<u64>,
    runs: Vec<WatchedRun>,
    at: Millis,
}

/// Suspect tasks and the executors held for them. Times are in ms on the owner's monotonic clock.
#[derive(Debug, Default)]
pub struct CrashWatch {
    suspects: BTreeMap<TaskId, Suspect>,
    pub holds: BTreeMap<ExecutorId, Hold>,
    lapsed: HashMap<ExecutorId, LapsedExecutor>,
}

impl CrashWatch {
    /// Returns whether a task may have crashed an executor.
    pub fn is_suspect(&self, task: &TaskId) -> bool {
        self.suspects.contains_key(task)
    }

    /// Lists the suspect tasks of a job.
    pub fn suspects_of(&self, job: JobId) -> impl Iterator<Item = &TaskId> {
        self.suspects.keys().filter(move |t| t.step.job == job)
    }

    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns whether all crashes under a task are in the store, so that the next owner knows them.
    pub fn is_durable(&self, task: &TaskId) -> bool {
        let suspect = self.suspects.get(task);
        suspect.is_none_or(|s| s.durable >= s.crashes.len())
    }

    /// Makes a task suspect without a crash that is certain.
    pub fn suspect(&mut self, task: TaskId) {
        self.suspects.entry(task).or_default();
    }

    /// Counts a certain crash under a run of a task; `None` if it is counted already.
    pub fn record(&mut self, watched: &WatchedRun) -> Option<CrashVerdict> {
        let suspect = self.suspects.entry(watched.task).or_default();
        if suspect.crashes.iter().any(|(run, _)| *run == watched.run) {
            return None;
        }
        suspect.crashes.push((watched.run, watched.sole_cause));
        let certain: Vec<bool> = suspect.crashes.iter().map(|(_, sole)| *sole).collect();
        Some(policy::judge_crashes(&certain))
    }

    /// Returns the runs under which executors crashed, for the log.
    pub fn crashed_runs(&self, task: &TaskId) -> Vec<RunNumber> {
        let suspect = self.suspects.get(task);
        suspect.map_or_else(Vec::new, |s| {
            s.crashes.iter().map(|(run, _)| *run).collect()
        })
    }

    /// Clears a task: it ran on without a crash. Returns whether the store holds crashes of it.
    pub fn clear(&mut self, task: &TaskId) -> bool {
        let suspect = self.suspects.remove(task);
        suspect.is_some_and(|s| s.sent > 0 || s.durable > 0)
    }

    /// Drops the tasks for which `is_open` is false.
    pub fn retain(&mut self, is_open: impl Fn(&TaskId) -> bool) {
        self.suspects.retain(|task, _| is_open(task));
    }

    /// Lists the crashes under tasks of a job, to store them.
    pub fn of_job(&self, job: JobId) -> Vec<CrashedTask> {
        let of_job = self.suspects.iter().filter(|(t, _)| t.step.job == job);
        let with_crashes = of_job.filter(|(_, s)| !s.crashes.is_empty());
        let crashed = with_crashes.map(|(task, s)| CrashedTask {
            occurrence: task.step.occurrence,
            step: task.step.step,
            index: task.index,
            runs: s.crashes.clone(),
        });
        crashed.collect()
    }

    /// Restores a task's crashes from the store.
    pub fn restore(&mut self, task: TaskId, runs: &[(RunNumber, bool)]) {
        let suspect = Suspect {
            crashes: runs.to_vec(),
            sent: runs.len(),
            durable: runs.len(),
        };
        self.suspects.insert(task, suspect);
    }

    /// Records that a commit with the progress of a job was sent.
    pub fn on_sent(&mut self, job: JobId) {
        for (_, s) in self.suspects.iter_mut().filter(|(t, _)| t.step.job == job) {
            s.sent = s.crashes.len();
        }
    }

    /// Records that the last commit sent with the progress of a job is durable. Returns whether a
    /// suspect task may start now that could not before.
    pub fn on_durable(&mut self, job: JobId) -> bool {
        let mut changed = false;
        for (_, s) in self.suspects.iter_mut().filter(|(t, _)| t.step.job == job) {
            changed |= s.durable < s.sent;
            s.durable = s.sent;
        }
        changed
    }

    /// Keeps the watched runs of an executor whose lease expired, until it shows whether it crashed.
    pub fn add_lapsed(
        &mut self,
        id: &ExecutorId,
        address: Arc<str>,
        started_unix_ms: Option<u64>,
        runs: Vec<WatchedRun>,
        now: Millis,
    ) {
        self.lapsed.retain(|_, l| now < l.at + LAPSED_RETENTION_MS);
        if runs.is_empty() {
            return;
        }
        let lapsed = LapsedExecutor {
            address,
            started_unix_ms,
            runs,
            at: now,
        };
        self.lapsed.insert(id.clone(), lapsed);
    }

    /// Takes the watched runs of an executor that certainly crashed.
    pub fn take_lapsed(&mut self, id: &ExecutorId) -> Vec<WatchedRun> {
        self.lapsed.remove(id).map_or_else(Vec::new, |l| l.runs)
    }

    /// Takes the watched runs of an executor that replied: all if it is another incarnation now,
    /// none if it is the same one.
    pub fn take_replied(
        &mut self,
        id: &ExecutorId,
        started_unix_ms: Option<u64>,
    ) -> Vec<WatchedRun> {
        let lapsed = self.lapsed.remove(id);
        let other = lapsed.filter(
            |l| matches!((l.started_unix_ms, started_unix_ms), (Some(a), Some(b)) if a != b),
        );
        other.map_or_else(Vec::new, |l| l.runs)
    }

    /// Takes the watched runs of another executor that had this address before: it has ended.
    pub fn take_replaced(
        &mut self,
        id: &ExecutorId,
        address: &str,
    ) -> Vec<(ExecutorId, Vec<WatchedRun>)> {
        let replaced = |k: &ExecutorId, l: &mut LapsedExecutor| k != id && *l.address == *address;
        let taken = self.lapsed.extract_if(replaced);
        taken.map(|(id, l)| (id, l.runs)).collect()
    }
}
