//! One executor as its owner knows it: lease, runs, and ends not yet acknowledged.

use {
    crate::{
        core::{CallId, Millis, Resources},
        fleet::{ExecutorInfo, JobId, RunNumber, TaskId},
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// The platform lets an executor's clock run this much slow, in thousandths (PROTOCOL: 2%).
const CLOCK_SLOW_MILLI: Millis = 20;

/// Failures in a row, of different jobs, after which an executor is suspected. A healthy one
/// fails a twentieth of its tasks, so three in a row are rare.
const SUSPECT_FAILURES: usize = 3;

/// Time without any progress after which a run counts as stuck, in ms. A run of 14 s on an
/// executor seven times slower still moves by a percent a second.
const STUCK_MS: Millis = 2_500;

/// First time that a suspected executor gets no work, in ms; doubles with each suspicion.
const SUSPECT_MS: Millis = 4_000;

/// Longest time that a suspected executor gets no work, in ms.
const SUSPECT_MOST_MS: Millis = 32_000;

/// Contact with an executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Session {
    /// The fencing token is not yet known to be raised there.
    Opening,
    /// Lists were read under the own token; it answers.
    Open,
    /// Answers are missing; the lease may still run.
    Silent,
}

/// Stage of one run on an executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunStage {
    /// Ordered; the executor has not said that it is there.
    StartSent,
    /// The executor has said that it is there.
    Confirmed,
    /// A stop is ordered.
    StopSent,
    /// The stop was accepted; its end has not been seen.
    StopAccepted,
}

/// A run of a task on an executor.
#[derive(Clone, Debug)]
pub struct Run {
    pub number: RunNumber,
    pub stage: RunStage,
    /// What it takes from the capacity until its end is seen.
    pub need: Resources,
    /// When it was first ordered or adopted.
    pub started_at: Millis,
    /// When the stage was reached; lists read earlier say nothing of it.
    pub stage_since: Millis,
    pub call: Option<CallId>,
    pub start_attempts: u32,
    pub ticket: Option<Arc<str>>,
    pub percent: u32,
    /// When the progress last changed.
    pub progressed_at: Millis,
    /// Share of its work that a filler is allowed, in percent.
    pub share_percent: u32,
    pub best_effort: bool,
    /// It ends by itself and needs no others beside it.
    pub finishes_independently: bool,
    /// It saves its progress when it is stopped, and nothing else depends on it.
    pub preemptible: bool,
    /// Bound on the tail of response times, in ms; 0: none.
    pub latency_target_ms: Millis,
    /// Last tail of response times, in ms, or processor use.
    pub load: u64,
}

/// A clock reading of an executor.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    pub clock_ms: Millis,
    /// When it arrived here.
    pub at: Millis,
}

/// One executor.
#[derive(Debug)]
pub struct Executor {
    pub info: Arc<ExecutorInfo>,
    /// Whether the platform's list names it.
    pub listed: bool,
    /// Since when a list read after a gap does not name it.
    pub missing_since: Option<Millis>,
    pub session: Session,
    pub started_unix_ms: Option<u64>,
    /// Lives seen here. A new life has seen no fencing token, so orders carry a higher one
    /// than those to the life before, which may still be on their way.
    pub incarnations: u64,
    pub clock: Option<ClockReading>,
    /// Highest lease end ever ordered, on its clock.
    pub max_lease_end_ms: Millis,
    pub runs: HashMap<TaskId, Run>,
    /// Runs of jobs that are not known here (yet), and since when.
    pub unknown_runs: HashMap<TaskId, (RunNumber, Millis)>,
    /// Sum of the needs of `runs`.
    pub used: Resources,
    pub pending_renewal: Option<(CallId, Millis)>,
    pub next_renewal_at: Millis,
    /// Highest number of an end that was taken in.
    pub last_end_seq: u64,
    /// Ends taken in and not acknowledged, with the job whose record must be durable first.
    pub unacked: BTreeMap<u64, Option<JobId>>,
    /// Failed calls in a row.
    pub failed_calls: u32,
    /// Jobs whose tasks failed here since the last task done.
    failed_jobs: Vec<JobId>,
    suspicions: u32,
    pub suspected_until: Millis,
    /// Tasks done in this life.
    pub done: u64,
}

impl Executor {
    /// Creates an executor that has not been called yet.
    pub fn new(info: ExecutorInfo, listed: bool, now: Millis) -> Self {
        Self {
            info: Arc::new(info),
            listed,
            missing_since: None,
            session: Session::Opening,
            started_unix_ms: None,
            incarnations: 0,
            clock: None,
            max_lease_end_ms: 0,
            runs: HashMap::new(),
            unknown_runs: HashMap::new(),
            used: Resources::default(),
            pending_renewal: None,
            next_renewal_at: now,
            last_end_seq: 0,
            unacked: BTreeMap::new(),
            failed_calls: 0,
            failed_jobs: Vec::new(),
            suspicions: 0,
            suspected_until: 0,
            done: 0,
        }
    }

    /// Returns what is free; nothing while an unknown run may take any amount.
    pub fn free(&self) -> Resources {
        if self.unknown_runs.is_empty() {
            self.info.capacity.saturating_sub(&self.used)
        } else {
            Resources::default()
        }
    }

    /// Tells whether it is open and answered the last call.
    pub fn is_responsive(&self) -> bool {
        self.session == Session::Open && self.failed_calls == 0
    }

    /// Returns the first reason why no new task may be started here, if there is one.
    pub fn unschedulable_reason(&self, now: Millis) -> Option<&'static str> {
        match () {
            () if !self.listed => Some("not listed"),
            () if self.session == Session::Opening => Some("not opened"),
            () if !self.is_responsive() => Some("silent"),
            () if self.info.draining => Some("draining"),
            () if self.suspected_until > now => Some("suspected"),
            () => None,
        }
    }

    /// Tells whether new tasks may be started here.
    pub fn is_schedulable(&self, now: Millis) -> bool {
        self.unschedulable_reason(now).is_none()
    }

    /// Estimates the executor's clock; never ahead of it.
    pub fn estimate_clock(&self, now: Millis) -> Option<Millis> {
        let read = self.clock?;
        let gone = now.saturating_sub(read.at);
        Some(read.clock_ms + gone - gone * CLOCK_SLOW_MILLI / 1000)
    }

    /// Tells whether every lease ever ordered has surely expired.
    pub fn leases_expired(&self, now: Millis, kill_grace_ms: Millis) -> bool {
        let Some(clock) = self.estimate_clock(now) else {
            return self.max_lease_end_ms == 0;
        };
        clock > self.max_lease_end_ms + kill_grace_ms
    }

    /// Adds a run.
    pub fn add_run(&mut self, task: TaskId, run: Run) {
        self.used.add(&run.need);
        if let Some(old) = self.runs.insert(task, run) {
            self.used = self.used.saturating_sub(&old.need);
        }
    }

    /// Removes a run and frees what it took.
    pub fn remove_run(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.saturating_sub(&run.need);
        Some(run)
    }

    /// Returns what is free, and what runs that are being stopped will free.
    pub fn free_after_stops(&self) -> Resources {
        let stopping = |r: &&Run| matches!(r.stage, RunStage::StopSent | RunStage::StopAccepted);
        let mut room = self.free();
        self.runs
            .values()
            .filter(stopping)
            .for_each(|r| room.add(&r.need));
        room
    }

    /// Returns the most room that stopping runs can make.
    pub fn free_after_preemption(&self) -> Resources {
        let yields = |r: &&Run| r.preemptible && r.stage == RunStage::Confirmed;
        let mut room = self.free_after_stops();
        self.runs
            .values()
            .filter(yields)
            .for_each(|r| room.add(&r.need));
        room
    }

    /// Counts the tasks of one step that run here.
    pub fn count_step_tasks(&self, step: &crate::fleet::StepId) -> u32 {
        let count = self.runs.keys().filter(|t| t.step == *step).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Notes a task done here: it works.
    pub fn record_success(&mut self) {
        self.done += 1;
        self.failed_jobs.clear();
        self.suspicions = 0;
        self.suspected_until = 0;
    }

    /// Notes a failure; tells whether the executor is suspected from now on.
    pub fn record_failure(&mut self, job: JobId, now: Millis) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let limit = if self.suspicions > 0 {
            1
        } else {
            SUSPECT_FAILURES
        };
        if self.failed_jobs.len() < limit {
            return false;
        }
        self.failed_jobs.clear();
        self.suspect(now);
        true
    }

    /// Tells whether the last task that ended here failed.
    pub fn recently_failed(&self) -> bool {
        !self.failed_jobs.is_empty() || self.suspicions > 0
    }

    /// Lists the runs that stand still, if no run here moves: the executor hangs. Gangs are left
    /// out, since a member elsewhere may hold them up, and so are runs that do not end.
    pub fn stuck_runs(&self, now: Millis) -> Vec<TaskId> {
        let alone = |r: &&Run| {
            r.stage == RunStage::Confirmed && r.finishes_independently && r.percent < 100
        };
        let still = |r: &Run| now.saturating_sub(r.progressed_at) > STUCK_MS;
        if !self.runs.values().filter(alone).all(still) {
            return Vec::new();
        }
        let runs = self.runs.iter().filter(|(_, r)| alone(r));
        runs.map(|(task, _)| *task).collect()
    }

    /// Gives no new work to the executor for a time, longer with each time.
    pub fn suspect(&mut self, now: Millis) {
        let time = (SUSPECT_MS << self.suspicions.min(8)).min(SUSPECT_MOST_MS);
        self.suspicions += 1;
        self.suspected_until = now + time;
    }

    /// Forgets an earlier life; returns the runs that `gone` says have ended with it. Orders
    /// that got no answer may have reached the new life or still may.
    pub fn start_incarnation(
        &mut self,
        gone: impl Fn(&TaskId, &Run) -> bool,
    ) -> Vec<(TaskId, Run)> {
        let over: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(task, run)| gone(task, run))
            .map(|(task, _)| *task)
            .collect();
        let runs = over.iter().filter_map(|t| Some((*t, self.remove_run(t)?)));
        let runs = runs.collect();
        self.unknown_runs.clear();
        self.incarnations += 1;
        self.unacked.clear();
        self.last_end_seq = 0;
        self.max_lease_end_ms = 0;
        self.clock = None;
        runs
    }
}
