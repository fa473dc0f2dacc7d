//! The owner's state of one executor: session, lease, runs, and ends not yet acknowledged.
//!
//! An executor is a process registered with the platform that runs tasks of the cell; one start
//! of it is an incarnation. It differs from a worker of [`crate::core`], an upstream VM under the
//! project's own protocol. Used by the cell; nothing here sends a command or reads a clock.

use {
    crate::{
        core::{CallId, Millis, Resources},
        fleet::{
            EndedRow, ExecutorInfo, JobId, RunNumber, Suspicion, TaskId,
            policy::{FollowedProgress, MAX_CLOCK_LAG_MILLI, RunTimeFactor, START_WATCH_MS},
        },
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Time without progress after which a run counts as stuck, in ms. Even a run of 14 s on an
/// executor seven times slower progresses by a percent a second.
const STUCK_TIMEOUT_MS: Millis = 2_500;

/// Time beyond its wait after which a renewal counts as lost, in ms: a lost reply hides ends until then.
const MIN_RENEW_MARGIN_MS: Millis = 200;

/// Maximum of that time, in ms, for executors that are slow to reply.
const MAX_RENEW_MARGIN_MS: Millis = 1_600;

/// Number of renewals in a row without a reply of which the last waits for the maximum: the executor may
/// only have become slow.
const PATIENT_RENEWAL_PERIOD: u32 = 4;

/// State of the connection to an executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Session {
    /// The executor is not yet known to have this owner's fencing token.
    Opening,
    /// The executor replied to a renewal under this owner's token with the lists of its runs.
    Open,
    /// Replies are missing; the lease may not have expired yet.
    Silent,
}

/// Stage of one run on an executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunStage {
    /// The start was sent; the executor has not confirmed the run.
    StartSent,
    /// The executor accepted the start or listed the run.
    Confirmed,
    /// A stop was sent and not yet accepted.
    StopSent,
    /// The stop was accepted; the end of the run was not reported yet.
    StopAccepted,
}

/// A run of a task on an executor.
#[derive(Clone, Debug)]
pub struct Run {
    pub number: RunNumber,
    pub stage: RunStage,
    /// Capacity that it takes until its end is reported.
    pub need: Resources,
    /// When it was first sent or adopted.
    pub started_at: Millis,
    /// When the stage was reached; lists requested earlier say nothing about the stage.
    pub stage_since: Millis,
    /// The start or stop in flight.
    pub call: Option<CallId>,
    /// How often the start was sent.
    pub start_attempts: u32,
    /// Stop commands sent.
    pub stop_attempts: u32,
    pub ticket: Option<Arc<str>>,
    /// Progress, as far as it was followed; `None` for a run that was adopted or resumed, until an executor
    /// reports it.
    pub progress: Option<FollowedProgress>,
    /// When the progress last changed.
    pub progressed_at: Millis,
    /// Part of full speed that a best-effort run is allowed, in percent.
    pub share_percent: u32,
    /// When its progress was last compared, and the percentage then.
    pub measured: (Millis, u32),
    /// Estimated run time in ms; 0 if its duration says nothing of the executor, as that of a
    /// gang's member or of a run that resumed.
    pub measured_estimate_ms: Millis,
    /// Only uses what others leave.
    pub best_effort: bool,
    /// It ends by itself and is not part of a gang.
    pub finishes_independently: bool,
    /// It saves its progress when it is stopped, and is neither persistent nor part of a gang.
    pub preemptible: bool,
    /// Bound on the tail latency, in ms; 0: none.
    pub latency_target_ms: Millis,
    /// Last reported tail latency, in ms, if it has a latency target; else CPU use.
    pub load: u64,
}

impl Run {
    /// Returns the progress last reported, in percent; 0 if none was.
    pub fn percent(&self) -> u32 {
        self.progress.map_or(0, |p| p.percent)
    }

    /// Returns whether a stop was sent; it uses capacity until its end is read.
    pub fn is_stopping(&self) -> bool {
        matches!(self.stage, RunStage::StopSent | RunStage::StopAccepted)
    }
}

/// A reading of an executor's clock, from a reply.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Time on the executor's clock.
    pub clock_ms: Millis,
    /// When the reply arrived, on the owner's monotonic clock.
    pub at: Millis,
}

/// One executor of the cell. Times are in ms on the owner's monotonic clock unless stated.
#[derive(Debug)]
pub struct Executor {
    pub info: Arc<ExecutorInfo>,
    /// Most of each resource that it has had, as far as this owner and the roster know.
    pub max_capacity: Resources,
    /// When its address was last set; replies to earlier commands are of the previous address.
    pub address_since: Millis,
    /// Whether the platform's list names it.
    pub listed: bool,
    /// Since when a full list, read after a gap in the watch, has not named it.
    pub missing_since: Option<Millis>,
    /// Earliest time at which it exits; `None` unless it drains and stated that.
    pub exits_at: Option<Millis>,
    /// Whether it is left out of the roster: it drains, and nothing is left there that the next owner must
    /// read. Nothing starts there before a roster that names it is durable.
    pub retired: bool,
    pub session: Session,
    /// Start of the incarnation in Unix ms, if it was reported.
    pub started_unix_ms: Option<u64>,
    /// Restarts that this owner has seen. A new incarnation has seen no fencing token, so commands
    /// to it carry a higher token than those to the previous one, which may still be in transit.
    pub incarnations: u64,
    pub clock: Option<ClockReading>,
    /// Latest lease end ever sent to this incarnation, in ms on its clock.
    pub max_lease_end_ms: Millis,
    /// When that was sent, or when the session was opened: no lease was granted later, by this owner
    /// or an earlier one.
    pub last_grant_at: Millis,
    pub runs: HashMap<TaskId, Run>,
    /// Runs of jobs that are not known here (yet).
    pub unknown_runs: HashMap<TaskId, RunNumber>,
    /// Ends of such jobs, by sequence number; they are in `unacked` too and block it.
    pub unknown_ends: BTreeMap<u64, EndedRow>,
    /// Sum of the needs of `runs`; kept by `add_run` and `remove_run`.
    pub used: Resources,
    /// The renewal in flight and when it was sent; at most one.
    pub pending_renewal: Option<(CallId, Millis)>,
    pub next_renewal_at: Millis,
    /// How long the last renewal was to wait for an end, in ms.
    pub pending_wait_ms: Millis,
    /// How long the last renewal that waited for no end took, in ms.
    pub reply_ms: Millis,
    /// Up to when it is known to have lived, by its last successful renewal.
    pub alive_at: Millis,
    /// Highest sequence number of an end that was read.
    pub last_end_seq: u64,
    /// Whether the last list of ends was cut, so that more may follow.
    pub has_unread_ends: bool,
    /// Ends read but not acknowledged, by sequence number; the record of the task's job must be durable
    /// first.
    pub unacked: BTreeMap<u64, TaskId>,
    /// Failed renewals, and replies from another incarnation, since the last successful renewal.
    pub failed_calls: u32,
    /// What failures here mean for new work.
    pub suspicion: Suspicion,
    /// Run times here in relation to their estimates.
    pub run_time: RunTimeFactor,
    /// Tasks done here since the executor was added.
    pub done_count: u64,
}

impl Executor {
    /// Creates an executor without a session; its first renewal is due at `now`.
    pub fn new(info: ExecutorInfo, listed: bool, now: Millis) -> Self {
        Self {
            max_capacity: info.capacity,
            info: Arc::new(info),
            address_since: now,
            listed,
            missing_since: None,
            exits_at: None,
            retired: false,
            session: Session::Opening,
            started_unix_ms: None,
            incarnations: 0,
            clock: None,
            max_lease_end_ms: 0,
            last_grant_at: now,
            runs: HashMap::new(),
            unknown_runs: HashMap::new(),
            unknown_ends: BTreeMap::new(),
            used: Resources::default(),
            pending_renewal: None,
            next_renewal_at: now,
            pending_wait_ms: 0,
            reply_ms: 0,
            alive_at: 0,
            last_end_seq: 0,
            has_unread_ends: false,
            unacked: BTreeMap::new(),
            failed_calls: 0,
            suspicion: Suspicion::default(),
            run_time: RunTimeFactor::default(),
            done_count: 0,
        }
    }

    /// Returns the free capacity; none while there is an unknown run, whose need is not known.
    pub fn free(&self) -> Resources {
        self.free_beside(&self.used)
    }

    /// Sums the needs of the runs for which `leaves` is false.
    fn used_without(&self, leaves: impl Fn(&Run) -> bool) -> Resources {
        let mut used = self.used;
        self.runs
            .values()
            .filter(|r| leaves(r))
            .for_each(|r| used = used.saturating_sub(&r.need));
        used
    }

    /// Returns what the given runs leave free: nothing of any resource if they exceed the capacity,
    /// as they may after it has shrunk, or while there is an unknown run.
    fn free_beside(&self, used: &Resources) -> Resources {
        let capacity = &self.info.capacity;
        if self.unknown_runs.is_empty() && capacity.covers(used) {
            capacity.saturating_sub(used)
        } else {
            Resources::default()
        }
    }

    /// Returns whether runs are or may be active here, of jobs known here or not.
    pub fn may_run_tasks(&self) -> bool {
        !self.runs.is_empty() || !self.unknown_runs.is_empty()
    }

    /// Returns whether a run has been alive for long enough not to be the cause of a later crash.
    pub fn is_cleared(&self, run: &Run) -> bool {
        let since = match run.stage {
            RunStage::StartSent => return false,
            RunStage::Confirmed => run.stage_since,
            RunStage::StopSent | RunStage::StopAccepted => run.started_at,
        };
        self.alive_at >= since + START_WATCH_MS
    }

    /// Returns how long beyond its wait the next renewal may take, in ms: twice the time that replies
    /// took, within bounds.
    pub fn renew_margin_ms(&self) -> Millis {
        if self.failed_calls % PATIENT_RENEWAL_PERIOD == PATIENT_RENEWAL_PERIOD - 1 {
            return MAX_RENEW_MARGIN_MS;
        }
        (2 * self.reply_ms).clamp(MIN_RENEW_MARGIN_MS, MAX_RENEW_MARGIN_MS)
    }

    /// Returns whether a run is expected to end by itself.
    pub fn has_finishing_runs(&self) -> bool {
        self.runs.values().any(|r| r.finishes_independently)
    }

    /// Returns whether a command in flight was sent after the address was last set; false if it is
    /// not known when it was sent.
    pub fn sent_to_current_address(&self, call: CallId) -> bool {
        let renewal = self.pending_renewal.filter(|(c, _)| *c == call);
        let run = self.runs.values().find(|r| r.call == Some(call));
        let sent = renewal.map(|(_, sent)| sent);
        let sent = sent.or_else(|| run.map(|r| r.stage_since));
        sent.is_some_and(|at| at >= self.address_since)
    }

    /// Returns whether the session is open and the last renewal succeeded.
    pub fn is_responsive(&self) -> bool {
        self.session == Session::Open && self.failed_calls == 0
    }

    /// Returns the first reason why no new task may start here; `None` if one may. The text is
    /// shown to operators.
    pub fn unschedulable_reason(&self, now: Millis) -> Option<&'static str> {
        match () {
            () if !self.listed => Some("not listed"),
            () if self.session == Session::Opening => Some("not opened"),
            () if !self.is_responsive() => Some("silent"),
            () if self.info.draining => Some("draining"),
            () if self.suspicion.is_active(now) => Some("suspected"),
            () => None,
        }
    }

    /// Returns whether new tasks may start here.
    pub fn is_schedulable(&self, now: Millis) -> bool {
        self.unschedulable_reason(now).is_none()
    }

    /// Estimates the executor's clock, never ahead of it; `None` before its first reading.
    pub fn estimate_clock(&self, now: Millis) -> Option<Millis> {
        let reading = self.clock?;
        let elapsed = now.saturating_sub(reading.at);
        let lag_ms = (elapsed * MAX_CLOCK_LAG_MILLI).div_ceil(1000);
        Some(reading.clock_ms + elapsed - lag_ms)
    }

    /// Returns whether the first end that is not acknowledged can be: its job is known, and durable
    /// according to `is_durable`. `None` if all ends are acknowledged.
    pub fn can_acknowledge_next(&self, is_durable: impl Fn(JobId) -> bool) -> Option<bool> {
        let (seq, task) = self.unacked.first_key_value()?;
        Some(!self.unknown_ends.contains_key(seq) && is_durable(task.step.job))
    }

    /// Returns whether no end is left that the next owner would have to read.
    pub fn has_no_open_ends(&self, is_durable: impl Fn(JobId) -> bool) -> bool {
        let all_read = !self.has_unread_ends && self.unknown_ends.is_empty();
        all_read && self.unacked.values().all(|t| is_durable(t.step.job))
    }

    /// Lists the tasks that run or may run here, and those whose ends were read but are not durable, in
    /// order; `None` if there may be ends that were not read.
    pub fn possible_runs(&self, is_durable: impl Fn(JobId) -> bool) -> Option<Vec<TaskId>> {
        if self.has_unread_ends {
            return None;
        }
        let ends = self.unacked.iter().filter(|(seq, task)| {
            self.unknown_ends.contains_key(seq) || !is_durable(task.step.job)
        });
        let runs = self.runs.keys().chain(self.unknown_runs.keys());
        let mut tasks: Vec<TaskId> = runs.chain(ends.map(|(_, task)| task)).copied().collect();
        tasks.sort_unstable();
        tasks.dedup();
        Some(tasks)
    }

    /// Returns whether every lease ever sent has certainly expired, and its runs are killed.
    pub fn leases_expired(&self, now: Millis, kill_grace_ms: Millis) -> bool {
        let Some(clock) = self.estimate_clock(now) else {
            return self.max_lease_end_ms == 0;
        };
        clock > self.max_lease_end_ms + kill_grace_ms
    }

    /// Adds a run, in place of an earlier one of the task, and counts its need as used.
    pub fn add_run(&mut self, task: TaskId, run: Run) {
        self.used.add(&run.need);
        if let Some(old) = self.runs.insert(task, run) {
            self.used = self.used.saturating_sub(&old.need);
        }
    }

    /// Removes a run and frees the capacity that it took.
    pub fn remove_run(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.saturating_sub(&run.need);
        Some(run)
    }

    /// Returns whether the runs here exceed the capacity, as they may after it has shrunk. A start
    /// that was not confirmed must not be sent again then.
    pub fn is_over_capacity(&self) -> bool {
        !self.info.capacity.covers(&self.used)
    }

    /// Returns the starts that no command confirms or awaits any more and that must be withdrawn so
    /// that the other runs fit once those being stopped have ended; the latest first.
    pub fn excess_starts(&self) -> Vec<TaskId> {
        let mut left = self.used_without(Run::is_stopping);
        let unanswered = |r: &Run| r.stage == RunStage::StartSent && r.call.is_none();
        let starts = self.runs.iter().filter(|(_, r)| unanswered(r));
        let mut starts: Vec<(TaskId, &Run)> = starts.map(|(task, r)| (*task, r)).collect();
        starts.sort_by_key(|(task, run)| std::cmp::Reverse((run.started_at, *task)));
        let is_excess = |(task, run): (TaskId, &Run)| {
            let over = !self.info.capacity.covers(&left);
            left = left.saturating_sub(&run.need);
            over.then_some(task)
        };
        starts.into_iter().map_while(is_excess).collect()
    }

    /// Returns the free capacity once all runs that are being stopped have ended; none while there is
    /// an unknown run.
    pub fn free_after_stops(&self) -> Resources {
        if self.unknown_runs.is_empty() {
            let capacity = &self.info.capacity;
            capacity.saturating_sub(&self.used_without(Run::is_stopping))
        } else {
            Resources::default()
        }
    }

    /// Returns by how much the runs exceed the capacity once all that are being stopped have ended.
    pub fn excess_after_stops(&self) -> Resources {
        let used = self.used_without(Run::is_stopping);
        used.saturating_sub(&self.info.capacity)
    }

    /// Returns the maximum free capacity that preemption can reach.
    pub fn free_after_preemption(&self) -> Resources {
        let stoppable =
            |r: &Run| r.is_stopping() || (r.preemptible && r.stage == RunStage::Confirmed);
        self.free_beside(&self.used_without(stoppable))
    }

    /// Counts the runs of one step here, whatever their stage.
    pub fn count_step_tasks(&self, step: &crate::fleet::StepId) -> u32 {
        let count = self.runs.keys().filter(|t| t.step == *step).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Counts a task done and ends any suspicion: the executor works.
    pub fn record_success(&mut self) {
        self.done_count += 1;
        self.suspicion.record_success();
    }

    /// Returns how many more tasks may start here on trial; `None` if it is not on trial.
    pub fn trial_tasks_left(&self, now: Millis) -> Option<u32> {
        self.suspicion.trial_tasks_left(self.runs.values(), now)
    }

    /// Returns whether a trial, if there is one, takes another task of a job: one task or gang of each at a
    /// time, so that a fault that goes on uses up few attempts.
    pub fn may_try(&self, job: JobId, now: Millis) -> bool {
        let Some(left) = self.trial_tasks_left(now) else {
            return true;
        };
        let tried = |(t, r): (&TaskId, &Run)| t.step.job == job && self.suspicion.is_trial(r);
        left > 0 && !self.runs.iter().any(tried)
    }

    /// Returns the stuck runs if no run here progresses, which means that the executor hangs.
    /// Gangs are left out, since a member elsewhere may delay them, and so are persistent runs,
    /// which do not end.
    pub fn stuck_runs(&self, now: Millis) -> Vec<TaskId> {
        let independent = |r: &&Run| {
            r.stage == RunStage::Confirmed && r.finishes_independently && r.percent() < 100
        };
        let is_stuck = |r: &Run| now.saturating_sub(r.progressed_at) > STUCK_TIMEOUT_MS;
        if !self.runs.values().filter(independent).all(is_stuck) {
            return Vec::new();
        }
        let runs = self.runs.iter().filter(|(_, r)| independent(r));
        runs.map(|(task, _)| *task).collect()
    }

    /// Discards the state of the previous incarnation. Removes and returns the runs for which
    /// `has_ended` holds; others stay, as commands without a reply may have reached the new
    /// incarnation or may still reach it.
    pub fn start_incarnation(
        &mut self,
        has_ended: impl Fn(&TaskId, &Run) -> bool,
    ) -> Vec<(TaskId, Run)> {
        let ended: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(task, run)| has_ended(task, run))
            .map(|(task, _)| *task)
            .collect();
        let runs = ended.iter().filter_map(|t| Some((*t, self.remove_run(t)?)));
        let runs = runs.collect();
        self.unknown_runs.clear();
        self.unknown_ends.clear();
        self.incarnations += 1;
        self.unacked.clear();
        self.last_end_seq = 0;
        self.has_unread_ends = false;
        self.max_lease_end_ms = 0;
        self.clock = None;
        runs
    }
}
