//! A seeded world around one cell: executors, store and advice service as plain models in
//! simulated time, with faults, and the promises checked on what the executors saw.

use {
    crate::cell_executor::{CellExecutor, Heard},
    dragonflyferry::{
        core::{CallId, Millis, Resources},
        fleet::{
            AdvisedExecutor, Cell, CellBounds, CellEffect, CellEvent, CommandError, CommandReply,
            ExecutorCommand, ExecutorId, ExecutorInfo, FleetConfig, JobId, JobProgress, JobRecord,
            JobStatus, Now, RecoveredState, RosterEntry, StepId, StoreWrite, Submission, TaskId,
        },
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Bounds used by the world: the sites' figures.
pub const BOUNDS: CellBounds = CellBounds {
    lease_ms: 6_000,
    kill_grace_ms: 200,
    ended_retention_ms: 120_000,
};

/// Time between looks of a waiting renewal for an end, in ms.
const HOLD_LOOK_MS: Millis = 5;

/// Unix time at the start of the world, in ms.
const UNIX_START: Millis = 1_700_000_000_000;

/// How often things go wrong, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Orders that get no answer and are carried out late.
    pub late_orders: u32,
    /// Answers that are lost after the order was carried out.
    pub lost_answers: u32,
    /// Commits that fail, half of them after they were carried out.
    pub failed_commits: u32,
    /// Tasks that fail.
    pub failures: u32,
}

#[derive(Clone, Debug)]
enum Pending {
    /// An order arrives at an executor; with the call that waits for the answer, if any, and
    /// the token of the owner that made it.
    Arrive(ExecutorId, ExecutorCommand, Option<(CallId, u64)>),
    /// An order that waits, or is late, at one life of an executor.
    Wait(
        ExecutorId,
        Option<u64>,
        ExecutorCommand,
        Option<(CallId, u64)>,
    ),
    /// An event for the owner with this token.
    Event(CellEvent, u64),
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct Records {
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub progress: BTreeMap<JobId, JobProgress>,
    pub cancelled: HashSet<JobId>,
    pub roster: Vec<RosterEntry>,
}

/// The world.
#[derive(Debug)]
pub struct CellWorld {
    pub cell: Cell,
    pub executors: BTreeMap<ExecutorId, CellExecutor>,
    pub records: Records,
    /// All jobs ever submitted.
    submissions: BTreeMap<JobId, Submission>,
    pub now: Millis,
    pub faults: Faults,
    /// Nodes that can ask for advice; one fewer after a change of owner.
    pub nodes: u32,
    /// While false, commits fail.
    pub store_up: bool,
    /// Share of executors that the advice service finds good, in percent.
    pub good_percent: u32,
    pub config: Arc<FleetConfig>,
    /// Promises found broken.
    pub broken: Vec<String>,
    /// Tasks of cancelled jobs that began once: an order was on its way.
    cancel_seen: HashSet<TaskId>,
    /// Longest time that a start waited, by job.
    pub first_start: HashMap<JobId, Millis>,
    pub log: Vec<String>,
    /// Time between checks of what the executors hold, in ms.
    pub check_ms: Millis,
    /// Processor time that the cell took, on this machine.
    pub spent: Duration,
    /// Rounds of decisions.
    pub plans: u64,
    queue: BTreeMap<(Millis, u64), Pending>,
    sequence: u64,
    rng: SmallRng,
}

impl CellWorld {
    /// Creates a world with an owner that has taken nothing over.
    pub fn new(seed: u64, config: FleetConfig) -> Self {
        let config = Arc::new(config);
        let old = RecoveredState::default();
        let now = now_of(0);
        Self {
            cell: Cell::new(1, BOUNDS, config.clone(), old, now),
            executors: BTreeMap::new(),
            records: Records::default(),
            submissions: BTreeMap::new(),
            now: 0,
            faults: Faults::default(),
            nodes: 3,
            store_up: true,
            good_percent: 100,
            config,
            broken: Vec::new(),
            cancel_seen: HashSet::new(),
            first_start: HashMap::new(),
            log: Vec::new(),
            check_ms: 1,
            spent: Duration::ZERO,
            plans: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds an executor and lists it.
    pub fn add_executor(&mut self, name: &str, pool: &str, rack: &str, capacity: Resources) {
        let info = ExecutorInfo {
            id: Arc::from(name),
            pool: Arc::from(pool),
            address: Arc::from("10.0.0.1:1"),
            zone: Arc::from("a"),
            labels: vec![Arc::from("k"), Arc::from(rack)],
            capacity,
            draining: false,
            started_unix_ms: Some(1),
        };
        let executor = CellExecutor::new(info.clone(), self.now);
        self.executors.insert(info.id.clone(), executor);
        self.step(CellEvent::Listed(info));
        self.step(CellEvent::AdviceNodes(lanes(self.nodes)));
    }

    /// Stores a job and tells the owner.
    pub fn submit(&mut self, submission: Submission) {
        let record = JobRecord::Open(submission.clone());
        self.records.jobs.insert(submission.id, record);
        self.submissions.insert(submission.id, submission.clone());
        self.step(CellEvent::Submitted(Box::new(submission)));
    }

    /// Stores a cancellation and tells the owner.
    pub fn cancel(&mut self, job: JobId) {
        self.records.cancelled.insert(job);
        self.step(CellEvent::Cancelled(job));
    }

    /// Replaces the owner by a new one that knows only what the store holds.
    pub fn replace_owner(&mut self) {
        let token = self.cell.token + 1;
        let jobs = self.records.jobs.iter();
        let old = RecoveredState {
            jobs: jobs
                .map(|(id, r)| (*id, r.clone(), self.records.progress.get(id).cloned()))
                .collect(),
            cancelled: self.records.cancelled.iter().copied().collect(),
            roster: self.records.roster.clone(),
        };
        self.log.push(format!("{} owner {token}", self.now));
        self.cell = Cell::new(token, BOUNDS, self.config.clone(), old, now_of(self.now));
        self.step(CellEvent::AdviceNodes(lanes(self.nodes - 1)));
        let listed = self.executors.values().filter(|e| e.listed);
        let infos: Vec<_> = listed.map(|e| e.info.clone()).collect();
        for info in infos {
            self.step(CellEvent::Listed(info));
        }
    }

    /// Gives the owner the whole list, as after a gap in its watch.
    pub fn relist(&mut self) {
        let listed = self.executors.values().filter(|e| e.listed);
        let infos = listed.map(|e| e.info.clone()).collect();
        self.step(CellEvent::Relisted(infos));
    }

    /// Returns the state of a job as callers see it.
    pub fn job_status(&self, job: JobId) -> Option<JobStatus> {
        self.cell.job_status(job)
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.end_tasks();
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let pending = entry.remove();
                self.deliver(pending);
            }
            if self.now.is_multiple_of(100) {
                self.step(CellEvent::Tick);
            } else if self
                .cell
                .next_round_due()
                .is_some_and(|due| due <= self.now)
            {
                self.plan();
            }
        }
    }

    fn end_tasks(&mut self) {
        let now = self.now;
        for executor in self.executors.values_mut() {
            executor.advance(now);
        }
        if self.now.is_multiple_of(self.check_ms) {
            self.check();
        }
    }

    fn deliver(&mut self, pending: Pending) {
        match pending {
            Pending::Event(event, token) if token == self.cell.token => self.step(event),
            Pending::Event(..) => {}
            Pending::Arrive(id, order, call) => self.arrive(&id, &order, call),
            Pending::Wait(id, born, order, call) => {
                let same = self
                    .executors
                    .get(&id)
                    .is_some_and(|e| e.info.started_unix_ms == born);
                match call {
                    _ if same => self.arrive(&id, &order, call),
                    Some(call) => self.answer(&id, call, Err(CommandError::Unknown), 1),
                    None => {}
                }
            }
        }
    }

    fn arrive(&mut self, id: &ExecutorId, command: &ExecutorCommand, call: Option<(CallId, u64)>) {
        let fails = self.chance(self.faults.failures);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if !executor.reachable(self.now) {
            if let Some(call) = call {
                self.answer(id, call, Err(CommandError::Unknown), 300);
            }
            return;
        }
        let before = executor.running.len();
        let heard = executor.hear(command, self.now, &self.config, &self.submissions, fails);
        let began = executor.running.len() > before;
        if let ExecutorCommand::Start(start) = command
            && began
        {
            let line = format!(
                "{} began {} run {} on {id}",
                self.now, start.task, start.run
            );
            self.log.push(line);
            self.check_start(start.task);
        }
        let result = match heard {
            Heard::Waits(ms) => {
                let ExecutorCommand::Renew(renewal) = command else {
                    return;
                };
                let mut again = renewal.clone();
                let pause = ms.min(HOLD_LOOK_MS);
                again.wait_ms = ms - pause;
                let again = ExecutorCommand::Renew(again);
                let born = self.executors.get(id).and_then(|e| e.info.started_unix_ms);
                return self.push(pause, Pending::Wait(id.clone(), born, again, call));
            }
            Heard::Answer(result) => result,
        };
        if let Some(call) = call {
            let lost = self.chance(self.faults.lost_answers);
            let result = if lost {
                Err(CommandError::Unknown)
            } else {
                result
            };
            self.answer(id, call, result, if lost { 300 } else { 1 });
        }
    }

    fn answer(
        &mut self,
        id: &ExecutorId,
        (call, token): (CallId, u64),
        result: Result<CommandReply, CommandError>,
        after: Millis,
    ) {
        let executor = id.clone();
        let event = CellEvent::CommandResult {
            call,
            executor,
            result,
        };
        self.push(after, Pending::Event(event, token));
    }

    fn push(&mut self, after: Millis, pending: Pending) {
        self.sequence += 1;
        self.queue
            .insert((self.now + after.max(1), self.sequence), pending);
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.rng.random_range(0..1000) < thousandths
    }

    fn step(&mut self, event: CellEvent) {
        let began = Instant::now();
        self.cell.step(event, now_of(self.now));
        self.spent += began.elapsed();
        self.plan();
    }

    fn plan(&mut self) {
        let began = Instant::now();
        self.cell.plan(now_of(self.now));
        self.spent += began.elapsed();
        self.plans += 1;
        for effect in self.cell.take_effects() {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Command {
                call,
                executor,
                command,
                ..
            } => {
                let call = (call, self.cell.token);
                let delay = self.rng.random_range(1..4);
                if self.chance(self.faults.late_orders) {
                    let late = self.rng.random_range(2_000..12_000);
                    // A crash drops what is on its way to the life that ends (docs/QUESTIONS.md).
                    let born = self
                        .executors
                        .get(&executor)
                        .and_then(|e| e.info.started_unix_ms);
                    self.push(late, Pending::Wait(executor.clone(), born, command, None));
                    self.answer(&executor, call, Err(CommandError::Unknown), 300);
                } else {
                    self.push(delay, Pending::Arrive(executor, command, Some(call)));
                }
            }
            CellEffect::RequestAdvice {
                call,
                step,
                executors,
                ..
            } => self.advise(call, step, &executors),
            CellEffect::Commit { call, writes } => self.commit(call, writes),
            CellEffect::FirstStart { .. } => {}
            CellEffect::Log { event, detail } => {
                self.log.push(format!("{} {event:?} {detail}", self.now));
            }
            CellEffect::StepDown => self.broken.push("the only owner was deposed".to_owned()),
        }
    }

    fn advise(&mut self, call: CallId, step: StepId, executors: &[ExecutorId]) {
        let good = |e: &&ExecutorId| {
            let mix = step.job.0.wrapping_mul(31) ^ u64::from(step.step);
            let sum = e
                .bytes()
                .fold(mix, |h, b| h.wrapping_mul(33) ^ u64::from(b));
            sum % 100 < u64::from(self.good_percent)
        };
        let advised = |e: &ExecutorId| AdvisedExecutor {
            executor: e.clone(),
            ticket: Arc::from(format!("{step}@{e}")),
        };
        let good = executors.iter().filter(good).map(advised).collect();
        let event = CellEvent::AdviceResult {
            call,
            advised: Some(good),
            valid_ms: 2_000,
        };
        self.push(30, Pending::Event(event, self.cell.token));
    }

    fn commit(&mut self, call: CallId, writes: Vec<StoreWrite>) {
        let fails = !self.store_up || self.chance(self.faults.failed_commits);
        let carried_out = !fails || (self.store_up && self.rng.random_bool(0.5));
        if carried_out {
            for write in writes {
                match write {
                    StoreWrite::Progress { job, progress } => {
                        self.records.progress.insert(job, progress);
                    }
                    StoreWrite::Ended { job, record } => {
                        self.records.jobs.insert(job, *record);
                        self.records.progress.remove(&job);
                    }
                    StoreWrite::Delete { job } => {
                        self.records.jobs.remove(&job);
                    }
                    StoreWrite::Roster(roster) => self.records.roster = roster.executors,
                }
            }
        }
        let event = CellEvent::CommitResult { call, ok: !fails };
        self.push(4, Pending::Event(event, self.cell.token));
    }

    /// Checks the promises on a task that just began.
    fn check_start(&mut self, task: TaskId) {
        let job = task.step.job;
        self.first_start.entry(job).or_insert(self.now);
        let Some(submission) = self.submissions.get(&job) else {
            return;
        };
        let spec = &submission.spec.steps[usize::from(task.step.step)];
        let done = |t: &TaskId| self.executors.values().any(|e| e.done.contains(t));
        let failed: u32 = self
            .executors
            .values()
            .filter_map(|e| e.failed.get(&task))
            .sum();
        if done(&task) && !spec.allow_duplicates && !spec.persistent {
            self.broken.push(format!("TWICE: {task} after it was done"));
        }
        if failed >= submission.queue.max_attempts && !spec.persistent {
            self.broken
                .push(format!("BUDGET: {task} after {failed} failures"));
        }
        for step in &spec.depends_on {
            let before = StepId {
                step: *step,
                ..task.step
            };
            let earlier = &submission.spec.steps[usize::from(*step)];
            let ended = |index| {
                let step = before;
                let task = TaskId { step, index };
                self.executors.values().any(|e| e.ever_done.contains(&task))
            };
            // The end of one member stands for the whole gang.
            let complete = if earlier.gang {
                (0..earlier.count).any(ended)
            } else {
                (0..earlier.count).all(ended)
            };
            if !complete {
                self.broken.push(format!("ORDER: {task} before {before}"));
            }
        }
        if self.records.cancelled.contains(&job) && !self.cancel_seen.insert(task) {
            self.broken.push(format!("UNASKED: {task} after a cancel"));
        }
    }

    /// Finds organisations that run more than their cap, a tenth and one task.
    fn over_cap(&self) -> Vec<String> {
        let mut used: HashMap<Arc<str>, (u64, u64)> = HashMap::new();
        for executor in self.executors.values() {
            for (task, run) in &executor.running {
                let job = self.submissions.get(&task.step.job);
                let Some(tenant) = job.and_then(|j| j.tenant.clone()) else {
                    continue;
                };
                let (sum, largest) = used.entry(tenant).or_default();
                *sum += u64::from(run.need.cpu_milli);
                *largest = (*largest).max(u64::from(run.need.cpu_milli));
            }
        }
        let over = |(tenant, (sum, largest)): (Arc<str>, (u64, u64))| {
            let cap = u64::from(self.config.tenants.get(&tenant)?.cap.cpu_milli);
            let over = cap > 0 && sum > cap * 11 / 10 + largest;
            over.then(|| format!("QUOTA: {tenant}"))
        };
        used.into_iter().filter_map(over).collect()
    }

    /// Checks the promises on what the executors hold.
    fn check(&mut self) {
        let mut places: HashMap<TaskId, ExecutorId> = HashMap::new();
        let mut found = Vec::new();
        found.extend(self.over_cap());
        for (id, executor) in &mut self.executors {
            found.append(&mut executor.broken);
            for (task, run) in &executor.running {
                let other = places.insert(*task, id.clone());
                if let Some(other) = other.filter(|_| !run.duplicates) {
                    found.push(format!("TWICE: {task} on {other} and {id}"));
                }
            }
        }
        for what in found {
            if !self.broken.contains(&what) {
                self.log.push(format!("{} BROKEN {what}", self.now));
                self.broken.push(what);
            }
        }
    }
}

fn lanes(nodes: u32) -> Vec<Arc<str>> {
    (1..=nodes).map(|i| Arc::from(format!("n{i}"))).collect()
}

fn now_of(mono: Millis) -> Now {
    Now {
        mono,
        unix: UNIX_START + mono,
    }
}
