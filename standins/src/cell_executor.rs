//! An executor as the platform's page describes it, in simulated time.

use {
    dragonflyferry::{
        core::{Millis, Resources},
        fleet::{
            CommandError, CommandReply, EndedRow, ExecutorCommand, ExecutorInfo, FleetConfig,
            JobId, RenewReply, RunEnd, RunningRow, StartCommand, StepSpec, Submission, TaskId,
        },
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// How long a crashed executor is down, in ms, longer than the cell goes without a look; what
/// was on its way to it is lost.
const DOWN_MS: Millis = 1_000;

/// How long a stop takes, in ms.
const STOP_MS: Millis = 50;

/// A run on an executor.
#[derive(Clone, Debug)]
pub struct ExecutorRun {
    pub run: u64,
    pub need: Resources,
    pub duplicates: bool,
    started: Millis,
    ends: Millis,
    how: RunEnd,
}

/// An executor.
#[derive(Debug)]
pub struct CellExecutor {
    pub info: ExecutorInfo,
    /// Whether nothing reaches it.
    pub cut: bool,
    /// Whether nothing that runs on it moves.
    pub hung: bool,
    /// Whether the platform lists it.
    pub listed: bool,
    pub running: BTreeMap<TaskId, ExecutorRun>,
    pub ended: Vec<EndedRow>,
    /// Promises found broken here.
    pub broken: Vec<String>,
    /// Ends of each task as failed, those that a crash hid included.
    pub failed: HashMap<TaskId, u32>,
    /// Tasks whose end as done is listed or was acknowledged.
    pub done: HashSet<TaskId>,
    /// Tasks that were ever done here.
    pub ever_done: HashSet<TaskId>,
    down_until: Millis,
    token: u64,
    deadline: Millis,
    last_number: u64,
    /// Highest run of a task that ended or was stopped here.
    over: HashMap<TaskId, u64>,
    start: Millis,
}

/// What an executor does with an order.
#[derive(Debug)]
pub enum Heard {
    Answer(Result<CommandReply, CommandError>),
    /// The answer waits this long for an end.
    Waits(Millis),
}

impl CellExecutor {
    /// Creates an executor that runs nothing and has seen no fencing token.
    pub fn new(info: ExecutorInfo, now: Millis) -> Self {
        Self {
            info,
            cut: false,
            hung: false,
            listed: true,
            running: BTreeMap::new(),
            ended: Vec::new(),
            broken: Vec::new(),
            failed: HashMap::new(),
            done: HashSet::new(),
            ever_done: HashSet::new(),
            down_until: 0,
            token: 0,
            deadline: 0,
            last_number: 0,
            over: HashMap::new(),
            start: now,
        }
    }

    /// Crashes and starts again under the same id.
    pub fn restart(&mut self, now: Millis) {
        let mut info = self.info.clone();
        info.started_unix_ms = info.started_unix_ms.map(|b| b + 1 + now);
        let failed = std::mem::take(&mut self.failed);
        let mut done = std::mem::take(&mut self.done);
        let ever_done = std::mem::take(&mut self.ever_done);
        for row in &self.ended {
            done.remove(&row.task);
        }
        *self = Self::new(info, now);
        self.failed = failed;
        self.done = done;
        self.ever_done = ever_done;
        self.down_until = now + DOWN_MS;
    }

    /// Tells whether orders reach it.
    pub fn reachable(&self, now: Millis) -> bool {
        !self.cut && now >= self.down_until
    }

    fn clock(&self, now: Millis) -> Millis {
        now - self.start
    }

    /// Ends what has run its time or whose lease has expired.
    pub fn advance(&mut self, now: Millis) {
        if self.clock(now) > self.deadline {
            let tasks: Vec<TaskId> = self.running.keys().copied().collect();
            for task in tasks {
                self.end(task, RunEnd::Lapsed);
            }
            // Ends that were not acknowledged before the lease expired bind nobody.
            for row in &self.ended {
                self.done.remove(&row.task);
            }
        }
        if self.hung {
            let moving = self
                .running
                .values_mut()
                .filter(|r| r.how != RunEnd::Stopped);
            for run in moving {
                run.started += 1;
                run.ends += 1;
            }
        }
        let over =
            |(task, run): (&TaskId, &ExecutorRun)| (run.ends <= now).then_some((*task, run.how));
        let over: Vec<_> = self.running.iter().filter_map(over).collect();
        for (task, how) in over {
            self.end(task, how);
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
        self.last_number += 1;
        self.ended.push(EndedRow {
            seq: self.last_number,
            task,
            run: run.run,
            end,
            checkpoint: Arc::from(""),
        });
        self.over.insert(task, run.run);
    }

    /// Carries out an order.
    pub fn hear(
        &mut self,
        command: &ExecutorCommand,
        now: Millis,
        config: &FleetConfig,
        jobs: &BTreeMap<JobId, Submission>,
        fails: bool,
    ) -> Heard {
        let token = match command {
            ExecutorCommand::Renew(renewal) => renewal.token,
            ExecutorCommand::Start(start) => start.token,
            ExecutorCommand::Throttle { token, .. } | ExecutorCommand::Stop { token, .. } => *token,
        };
        if token < self.token {
            return Heard::Answer(Err(CommandError::Fenced));
        }
        self.token = token;
        match command {
            ExecutorCommand::Renew(renewal) => {
                self.extend(renewal.deadline_ms.unwrap_or(0), now);
                self.ended.retain(|row| row.seq > renewal.ack_cursor);
                if renewal.wait_ms > 0 && self.ended.is_empty() {
                    return Heard::Waits(renewal.wait_ms);
                }
                Heard::Answer(Ok(CommandReply::Renewed(self.lists(now))))
            }
            ExecutorCommand::Start(start) => {
                Heard::Answer(self.begin(start, now, config, jobs, fails))
            }
            ExecutorCommand::Stop { task, run, .. } => {
                let over = self.over.entry(*task).or_default();
                *over = (*over).max(*run);
                if let Some(running) = self.running.get_mut(task)
                    && running.run <= *run
                    && running.how != RunEnd::Stopped
                {
                    running.ends = now + STOP_MS;
                    running.how = RunEnd::Stopped;
                }
                Heard::Answer(Ok(CommandReply::Accepted))
            }
            ExecutorCommand::Throttle { .. } => Heard::Answer(Ok(CommandReply::Accepted)),
        }
    }

    fn extend(&mut self, deadline: Millis, now: Millis) {
        let longest = self.clock(now) + crate::cell_world::BOUNDS.lease_ms;
        self.deadline = self.deadline.max(deadline.min(longest));
    }

    fn lists(&self, now: Millis) -> RenewReply {
        let row = |(task, run): (&TaskId, &ExecutorRun)| RunningRow {
            task: *task,
            run: run.run,
            checkpoint: Arc::from(""),
            percent: percent(run, now),
            load: 0,
        };
        RenewReply {
            clock_ms: self.clock(now),
            started_unix_ms: self.info.started_unix_ms,
            running: self.running.iter().map(row).collect(),
            ended: self.ended.iter().take(500).cloned().collect(),
        }
    }

    fn begin(
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
        if self.over.get(&start.task).is_some_and(|r| *r >= start.run) {
            return Err(CommandError::OldRun);
        }
        if start.deadline_ms < self.clock(now) {
            return Err(CommandError::Late);
        }
        let Some(submission) = jobs.get(&start.task.step.job) else {
            self.broken.push(format!("UNASKED: {}", start.task));
            return Err(CommandError::Refused);
        };
        let spec = &submission.spec.steps[usize::from(start.task.step.step)];
        let ticket = format!("{}@{}", start.task.step, self.info.id);
        let queue = config.queue(&submission.queue.name);
        let advised = queue.is_some_and(|q| q.advice.is_some());
        if advised && start.ticket.as_deref() != Some(&*ticket) {
            return Err(CommandError::BadTicket);
        }
        self.extend(start.deadline_ms, now);
        self.place(start, spec, now, fails);
        Ok(CommandReply::Accepted)
    }

    fn place(&mut self, start: &StartCommand, spec: &StepSpec, now: Millis, fails: bool) {
        let need = spec.allocation();
        let mut used = need;
        self.running.values().for_each(|r| used.add(&r.need));
        if !self.info.capacity.covers(&used) {
            self.broken
                .push(format!("LIMIT: {} on {}", start.task, self.info.id));
        }
        let ends = match () {
            () if spec.persistent => now + 1_000_000,
            () if fails => now + spec.estimate_ms / 2 + 1,
            () => now + spec.estimate_ms + 1,
        };
        let run = ExecutorRun {
            run: start.run,
            need,
            duplicates: spec.allow_duplicates,
            started: now,
            ends,
            how: if fails { RunEnd::Failed } else { RunEnd::Done },
        };
        self.running.insert(start.task, run);
    }
}

/// Returns how much of a run is done, in percent.
fn percent(run: &ExecutorRun, now: Millis) -> u32 {
    let whole = run.ends.saturating_sub(run.started).max(1);
    let gone = now.saturating_sub(run.started);
    u32::try_from(gone * 100 / whole).unwrap_or(100).min(100)
}
