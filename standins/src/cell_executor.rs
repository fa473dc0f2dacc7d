//! Simulates an executor of the users' platform, as the platform documents it, in simulated time.
//!
//! Used by `cell_world`, which passes it commands and the time. It must not read the cell's state:
//! it judges each command by its own lease, fencing token and runs, and records violations.

use {
    dragonflyferry::{
        core::{Millis, Resources},
        fleet::{
            CommandError, CommandReply, EndedRow, ExecutorCommand, ExecutorInfo, FleetConfig,
            JobId, RenewReply, RunEnd, RunningRow, SkippedRows, StartCommand, StepSpec, Submission,
            TaskId,
        },
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Default time that a crashed executor stays unreachable, in ms: longer than the interval at which
/// the cell contacts it. Commands in flight to it are lost.
const RESTART_MS: Millis = 1_000;

/// Time from a stop command to the end of the run, in ms.
const STOP_DURATION_MS: Millis = 50;

/// Time from the start of a persistent task until it works, in ms.
const PERSISTENT_START_MS: Millis = 500;

/// Interval at which an executor that drains writes its entry, in ms: the platform's `heartbeatMs`.
pub const REPORT_INTERVAL_MS: Millis = 1_500;

/// A run on an executor and when and how it will end.
#[derive(Clone, Debug)]
pub struct ExecutorRun {
    pub run: u64,
    pub need: Resources,
    pub allow_duplicates: bool,
    persistent: bool,
    started_at: Millis,
    ends_at: Millis,
    end: RunEnd,
}

/// An executor with its runs, lease and clock.
#[derive(Debug)]
pub struct CellExecutor {
    pub info: ExecutorInfo,
    /// While true, no command reaches it; its runs continue.
    pub unreachable: bool,
    /// Time by which its replies are later than usual, in ms.
    pub reply_delay_ms: Millis,
    /// While true, its runs make no progress; stops still take effect.
    pub hung: bool,
    /// Run time of tasks here in percent of their estimate.
    pub run_time_percent: Millis,
    /// When it exits, in ms of simulated time; it announced that it drains.
    pub exits_at: Option<Millis>,
    /// When it last wrote its entry; the remaining time there is of then.
    reported_at: Millis,
    /// Whether the platform includes it in the list of executors.
    pub listed: bool,
    pub running: BTreeMap<TaskId, ExecutorRun>,
    /// Ends not acknowledged yet.
    pub ended: Vec<EndedRow>,
    /// Violated guarantees that this executor observed.
    pub violations: Vec<String>,
    /// Number of failed runs of each task, including those whose end was lost in a crash.
    pub failed: HashMap<TaskId, u32>,
    /// Tasks whose end as done is in `ended` or was acknowledged.
    pub done: HashSet<TaskId>,
    /// Tasks that ever ended as done here, including ends lost in a crash.
    pub ever_done: HashSet<TaskId>,
    /// Time that it stays unreachable after a crash, in ms.
    pub restart_ms: Millis,
    /// When it becomes reachable after a crash, in ms.
    down_until: Millis,
    /// Highest fencing token received; commands with a lower one are refused.
    highest_token: u64,
    /// Expiry of the lease by its own clock, in ms.
    lease_deadline: Millis,
    last_seq: u64,
    /// Highest run number of each task that ended or was stopped here.
    closed_runs: HashMap<TaskId, u64>,
    /// Simulated time at which its own clock started, in ms.
    clock_origin: Millis,
    /// Earlier capacities, each with the time until which starts may rely on it, in ms.
    earlier_capacities: Vec<(Millis, Resources)>,
    /// Max time that the command being handled may have been in transit, in ms.
    pub transit_ms: Millis,
}

/// Result of a command.
#[derive(Debug)]
pub enum CommandOutcome {
    Reply(Result<CommandReply, CommandError>),
    /// A renewal waits up to this time for a run to end, in ms.
    Wait(Millis),
}

impl CellExecutor {
    /// Creates an executor that runs nothing and has seen no fencing token.
    pub fn new(info: ExecutorInfo, now: Millis) -> Self {
        Self {
            info,
            unreachable: false,
            reply_delay_ms: 0,
            hung: false,
            run_time_percent: 100,
            exits_at: None,
            reported_at: now,
            listed: true,
            running: BTreeMap::new(),
            ended: Vec::new(),
            violations: Vec::new(),
            failed: HashMap::new(),
            done: HashSet::new(),
            ever_done: HashSet::new(),
            restart_ms: RESTART_MS,
            down_until: 0,
            highest_token: 0,
            lease_deadline: 0,
            last_seq: 0,
            closed_runs: HashMap::new(),
            clock_origin: now,
            earlier_capacities: Vec::new(),
            transit_ms: 0,
        }
    }

    /// Changes the capacity; starts may rely on the earlier one for `grace_ms`.
    pub fn set_capacity(&mut self, capacity: Resources, grace_ms: Millis, now: Millis) {
        let earlier = std::mem::replace(&mut self.info.capacity, capacity);
        self.earlier_capacities.push((now + grace_ms, earlier));
    }

    /// Returns the capacity that a start may rely on.
    fn start_limit(&self, now: Millis) -> Resources {
        let mut limit = self.info.capacity;
        let earlier = self.earlier_capacities.iter();
        earlier
            .filter(|(until, _)| now <= until + self.transit_ms)
            .for_each(|(_, capacity)| limit.max_assign(capacity));
        limit
    }

    /// Crashes and restarts under the same id as a new incarnation.
    pub fn restart(&mut self, now: Millis) {
        let mut info = self.info.clone();
        info.started_unix_ms = info.started_unix_ms.map(|b| b + 1 + now);
        let failed = std::mem::take(&mut self.failed);
        let mut done = std::mem::take(&mut self.done);
        let ever_done = std::mem::take(&mut self.ever_done);
        let earlier_capacities = std::mem::take(&mut self.earlier_capacities);
        let restart_ms = self.restart_ms;
        for row in &self.ended {
            done.remove(&row.task);
        }
        *self = Self::new(info, now);
        self.failed = failed;
        self.done = done;
        self.ever_done = ever_done;
        self.earlier_capacities = earlier_capacities;
        self.restart_ms = restart_ms;
        self.down_until = now + restart_ms;
    }

    /// Returns whether a task that runs here has run for as long as it takes to crash its executor;
    /// `crash_after` holds these times, in ms.
    pub fn must_crash(&self, crash_after: &HashMap<TaskId, Millis>, now: Millis) -> bool {
        let due = |(task, run): (&TaskId, &ExecutorRun)| {
            let after = crash_after.get(task);
            after.is_some_and(|after| now >= run.started_at + after)
        };
        self.running.iter().any(due)
    }

    /// Returns whether commands reach it.
    pub fn is_reachable(&self, now: Millis) -> bool {
        !self.unreachable && now >= self.down_until
    }

    /// Announces that it drains and exits after `remaining_ms`.
    pub fn drain(&mut self, remaining_ms: Millis, now: Millis) {
        self.exits_at = Some(now + remaining_ms);
        self.info.draining = true;
        self.info.min_remaining_ms = Some(remaining_ms);
        self.reported_at = now;
    }

    /// Writes its entry again if it drains and that is due; returns whether it does.
    pub fn report_if_due(&mut self, now: Millis) -> bool {
        let due = self.listed && now >= self.reported_at + REPORT_INTERVAL_MS;
        let Some(exits_at) = self.exits_at.filter(|at| due && *at > now) else {
            return false;
        };
        self.info.min_remaining_ms = Some(exits_at - now);
        self.reported_at = now;
        true
    }

    /// Is ready again: it does not drain, and commands reach it.
    pub fn cancel_drain(&mut self) {
        self.exits_at = None;
        self.info.draining = false;
        self.info.min_remaining_ms = None;
        self.unreachable = false;
    }

    /// Exits if it is time; returns whether it does. What runs here ends with it, unreported.
    pub fn exit_if_due(&mut self, now: Millis) -> bool {
        let due = self.listed && self.exits_at.is_some_and(|at| at <= now);
        if due {
            self.running.clear();
            self.unreachable = true;
            self.listed = false;
        }
        due
    }

    fn clock_ms(&self, now: Millis) -> Millis {
        now - self.clock_origin
    }

    /// Ends the runs that are due, and all runs if the lease has expired.
    pub fn advance(&mut self, now: Millis) {
        if self.clock_ms(now) > self.lease_deadline {
            let tasks: Vec<TaskId> = self.running.keys().copied().collect();
            for task in tasks {
                self.end(task, RunEnd::Lapsed);
            }
            // Ends that were not acknowledged before the lease expired bind nobody: the owner may
            // start these tasks again.
            for row in &self.ended {
                self.done.remove(&row.task);
            }
        }
        if self.hung {
            let unstopped = self
                .running
                .values_mut()
                .filter(|r| r.end != RunEnd::Stopped);
            for run in unstopped {
                run.started_at += 1;
                run.ends_at += 1;
            }
        }
        let expired =
            |(task, run): (&TaskId, &ExecutorRun)| (run.ends_at <= now).then_some((*task, run.end));
        let expired: Vec<_> = self.running.iter().filter_map(expired).collect();
        for (task, end) in expired {
            self.end(task, end);
        }
    }

    fn end(&mut self, task: TaskId, end: RunEnd) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        if end == RunEnd::Failed {
            *self.failed.entry(task).or_default() += 1;
        }
        if end == RunEnd::Done {
            self.done.insert(task);
            self.ever_done.insert(task);
        }
        self.last_seq += 1;
        self.ended.push(EndedRow {
            seq: self.last_seq,
            task,
            run: run.run,
            end,
            checkpoint: Arc::from(""),
        });
        self.closed_runs.insert(task, run.run);
    }

    /// Fails what runs here.
    pub fn fail_runs(&mut self) {
        let tasks: Vec<TaskId> = self.running.keys().copied().collect();
        for task in tasks {
            self.end(task, RunEnd::Failed);
        }
    }

    /// Executes a command. A run that it starts will fail if `fails` is set.
    pub fn handle_command(
        &mut self,
        command: &ExecutorCommand,
        now: Millis,
        config: &FleetConfig,
        jobs: &BTreeMap<JobId, Submission>,
        fails: bool,
    ) -> CommandOutcome {
        let token = match command {
            ExecutorCommand::Renew(renewal) => renewal.token,
            ExecutorCommand::Start(start) => start.token,
            ExecutorCommand::Throttle { token, .. } | ExecutorCommand::Stop { token, .. } => *token,
        };
        if token < self.highest_token {
            return CommandOutcome::Reply(Err(CommandError::Fenced));
        }
        self.highest_token = token;
        match command {
            ExecutorCommand::Renew(renewal) => {
                self.extend_lease(renewal.deadline_ms.unwrap_or(0), now);
                self.ended.retain(|row| row.seq > renewal.ack_cursor);
                if renewal.wait_ms > 0 && self.ended.is_empty() {
                    return CommandOutcome::Wait(renewal.wait_ms);
                }
                CommandOutcome::Reply(Ok(CommandReply::Renewed(self.renew_reply(now))))
            }
            ExecutorCommand::Start(start) => {
                CommandOutcome::Reply(self.start_run(start, now, config, jobs, fails))
            }
            ExecutorCommand::Stop { task, run, .. } => {
                let closed_run = self.closed_runs.entry(*task).or_default();
                *closed_run = (*closed_run).max(*run);
                if let Some(running) = self.running.get_mut(task)
                    && running.run <= *run
                    && running.end != RunEnd::Stopped
                {
                    running.ends_at = now + STOP_DURATION_MS;
                    running.end = RunEnd::Stopped;
                }
                CommandOutcome::Reply(Ok(CommandReply::Accepted))
            }
            ExecutorCommand::Throttle { .. } => CommandOutcome::Reply(Ok(CommandReply::Accepted)),
        }
    }

    fn extend_lease(&mut self, deadline: Millis, now: Millis) {
        let max_deadline = self.clock_ms(now) + crate::cell_world::BOUNDS.max_lease_ms;
        self.lease_deadline = self.lease_deadline.max(deadline.min(max_deadline));
    }

    /// Counts the persistent tasks that work here.
    pub fn working_count(&self, now: Millis) -> usize {
        let works = |run: &&ExecutorRun| {
            run.persistent && run.end == RunEnd::Done && percent_done(run, now) == 100
        };
        self.running.values().filter(works).count()
    }

    fn renew_reply(&self, now: Millis) -> RenewReply {
        let row = |(task, run): (&TaskId, &ExecutorRun)| RunningRow {
            task: *task,
            run: run.run,
            checkpoint: Arc::from(""),
            percent: percent_done(run, now),
            load: 0,
        };
        RenewReply {
            clock_ms: self.clock_ms(now),
            started_unix_ms: self.info.started_unix_ms,
            running: self.running.iter().map(row).collect(),
            ended: self.ended.iter().take(500).cloned().collect(),
            skipped_ends: Vec::new(),
            skipped: SkippedRows::default(),
        }
    }

    fn start_run(
        &mut self,
        start: &StartCommand,
        now: Millis,
        config: &FleetConfig,
        jobs: &BTreeMap<JobId, Submission>,
        fails: bool,
    ) -> Result<CommandReply, CommandError> {
        if self
            .running
            .get(&start.task)
            .is_some_and(|r| r.run == start.run)
        {
            return Ok(CommandReply::Accepted);
        }
        if self
            .closed_runs
            .get(&start.task)
            .is_some_and(|r| *r >= start.run)
        {
            return Err(CommandError::OldRun);
        }
        if start.deadline_ms < self.clock_ms(now) {
            return Err(CommandError::Late);
        }
        let Some(submission) = jobs.get(&start.task.step.job) else {
            self.violations.push(format!("UNASKED: {}", start.task));
            return Err(CommandError::Refused);
        };
        let spec = &submission.spec.steps[usize::from(start.task.step.step)];
        let queue = config.queue(&submission.queue.name);
        let advised = queue.is_some_and(|q| q.advice.is_some());
        if advised && !self.accepts_ticket(start, now) {
            return Err(CommandError::BadTicket);
        }
        self.extend_lease(start.deadline_ms, now);
        self.add_run(start, spec, now, fails);
        Ok(CommandReply::Accepted)
    }

    /// Returns whether a start carries a ticket for this step and executor that has not expired.
    fn accepts_ticket(&self, start: &StartCommand, now: Millis) -> bool {
        let ticket = start.ticket.as_deref().unwrap_or("");
        let expected = format!("{}@{}@", start.task.step, self.info.id);
        let expiry = ticket.strip_prefix(&*expected).map(str::parse::<Millis>);
        matches!(expiry, Some(Ok(at)) if now <= at)
    }

    fn add_run(&mut self, start: &StartCommand, spec: &StepSpec, now: Millis, fails: bool) {
        let need = spec.allocation();
        let mut used = need;
        self.running.values().for_each(|r| used.add(&r.need));
        if !self.start_limit(now).covers(&used) {
            self.violations
                .push(format!("LIMIT: {} on {}", start.task, self.info.id));
        }
        let run_ms = spec.estimate_ms * self.run_time_percent / 100;
        let ends_at = match () {
            () if spec.persistent => now + 1_000_000,
            () if fails => now + run_ms / 2 + 1,
            () => now + run_ms + 1,
        };
        let run = ExecutorRun {
            run: start.run,
            need,
            allow_duplicates: spec.allow_duplicates,
            persistent: spec.persistent,
            started_at: now,
            ends_at,
            end: if fails { RunEnd::Failed } else { RunEnd::Done },
        };
        self.running.insert(start.task, run);
    }
}

/// Returns the progress of a run, in percent of its total time; of a persistent one, of the time until
/// it works.
fn percent_done(run: &ExecutorRun, now: Millis) -> u32 {
    let total = if run.persistent {
        PERSISTENT_START_MS
    } else {
        run.ends_at.saturating_sub(run.started_at).max(1)
    };
    let elapsed = now.saturating_sub(run.started_at);
    u32::try_from(elapsed * 100 / total).unwrap_or(100).min(100)
}
