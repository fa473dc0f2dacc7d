//! Simulates the platform around one cell: executors, store and advice service in simulated time,
//! with seeded faults. Used by the tests of fleet and by `examples/measure.rs`.
//!
//! The scheduler's guarantees are checked on what the executors ran, never on the cell's state.

use {
    crate::cell_executor::{CellExecutor, CommandOutcome, REPORT_INTERVAL_MS},
    dragonflyferry::{
        core::{CallId, Millis, Resources},
        fleet::{
            AdvisedExecutor, Cell, CellBounds, CellEffect, CellEvent, CommandError, CommandReply,
            Evacuations, ExecutorCommand, ExecutorId, ExecutorInfo, FleetConfig, JobId,
            JobProgress, JobRecord, JobStatus, LeaseWaits, Now, RecoveredState, RosterEntry,
            StepId, StoreWrite, Submission, TaskId, UpkeepPlan, policy::RateBurst,
        },
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Platform bounds of the simulation: the values of the sites.
pub const BOUNDS: CellBounds = CellBounds {
    max_lease_ms: 6_000,
    kill_grace_ms: 200,
    ended_retention_ms: 120_000,
    max_value_bytes: 1 << 20,
    rate_burst: RateBurst {
        window_ms: 2_000,
        jobs: 0,
    },
    cpu_milli: 125,
};

/// Interval at which a waiting renewal checks for ended runs, in ms.
const RENEWAL_POLL_MS: Millis = 5;

/// Validity of a ticket of the advice service, in ms.
const TICKET_VALID_MS: Millis = 2_000;

/// Time that a call to the advice service spends in transit, in ms.
const ADVICE_TRANSIT_MS: Millis = 2;

/// Time in which the request to evacuate a zone must take effect, in ms.
const EVACUATION_MS: Millis = 5_000;

/// Time after which an owner that hands over is stopped, in ms.
const MAX_HAND_OVER_MS: Millis = 1_600;

/// Max delay of a late command, in ms.
const MAX_LATE_MS: Millis = 12_000;
/// Crashed executors after which a task must not start any more.
const MAX_CRASHES: u32 = 3;

/// Unix time at the start of the simulation, in ms.
const UNIX_START_MS: Millis = 1_700_000_000_000;

/// Probabilities of faults, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Commands that get no reply and are carried out 2 to 12 s late.
    pub late_commands: u32,
    /// Replies that are lost after the command was carried out.
    pub lost_replies: u32,
    /// Commits that fail, half of them after they were carried out.
    pub failed_commits: u32,
    /// Tasks that fail.
    pub failures: u32,
}

/// How one commit goes. Times are in ms after it was sent.
#[derive(Clone, Copy, Debug)]
pub struct CommitPlan {
    /// When it is carried out, unless a claim or the next commit after a failed one came first;
    /// `None`: never.
    pub carried_out_after: Option<Millis>,
    /// When its owner gets the result.
    pub result_after: Millis,
    pub ok: bool,
}

/// A call of an owner that awaits its reply.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: CallId,
    /// Fencing token of the owner.
    token: u64,
    times_out_at: Millis,
}

#[derive(Clone, Debug)]
enum Pending {
    /// A command arrives at an executor, with the call that awaits the reply, if any.
    Arrive(ExecutorId, ExecutorCommand, Option<PendingCall>),
    /// A waiting renewal or a late command; it reaches only this incarnation of the executor.
    Delayed(
        ExecutorId,
        Option<u64>,
        ExecutorCommand,
        Option<PendingCall>,
    ),
    /// Writes to the store that apply at this revision only, and whether they raise it.
    Write(Vec<StoreWrite>, u64, bool),
    /// A read of a job's record by the owner with this token; repeated while the store is down.
    ReadJob(JobId, u64),
    /// The present entry of an executor in the platform's list, for the present owner.
    List(ExecutorId),
    /// An event for the owner with this fencing token; a later owner does not receive it.
    Event(CellEvent, u64),
}

/// Records in the store.
#[derive(Clone, Debug, Default)]
pub struct Records {
    pub jobs: BTreeMap<JobId, JobRecord>,
    pub progress: BTreeMap<JobId, JobProgress>,
    pub cancelled: HashSet<JobId>,
    pub roster: Vec<RosterEntry>,
    pub lease_waits: Option<LeaseWaits>,
    pub evacuations: Evacuations,
}

/// One cell and the simulated platform around it.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, each documented"
)]
pub struct CellWorld {
    /// The present owner.
    pub cell: Cell,
    /// Fencing token of the last owner that handed over.
    handed_over: u64,
    /// Earlier owners that live on: they reach executors, but neither the store nor its lists.
    former: Vec<Cell>,
    /// Executors that get no commands of the owner with this fencing token.
    pub cut: HashSet<(u64, ExecutorId)>,
    /// How the next commits go, in order; the others go by `store_up` and `faults`.
    pub commit_plans: VecDeque<CommitPlan>,
    pub executors: BTreeMap<ExecutorId, CellExecutor>,
    /// Fencing token of the last owner that was killed: it handles no event.
    killed: u64,
    /// While true, owners hear of no change of executors that drain or exit; [`Self::relist`] tells them.
    pub watch_interrupted: bool,
    pub records: Records,
    /// Whether a takeover cannot decode the roster.
    pub roster_unreadable: bool,
    /// Jobs whose progress the store refuses for good.
    pub refused_progress: HashSet<JobId>,
    /// Size of the longest progress record sent to the store, in bytes.
    pub largest_value: usize,
    /// Jobs that a takeover does not find, as they were stored after its read.
    pub unread_jobs: HashSet<JobId>,
    /// Revision of the owner's epoch: rises with each claim and with the first commit after a failed
    /// one.
    revision: u64,
    /// Whether a commit has failed since the last one that raised the revision.
    commit_failed: bool,
    /// All jobs ever submitted.
    submissions: BTreeMap<JobId, Submission>,
    /// Simulated time, in ms.
    pub now: Millis,
    pub faults: Faults,
    /// Nodes that can call the advice service; one fewer after a change of owner.
    pub nodes: u32,
    /// While false, commits fail.
    pub store_up: bool,
    /// Percentage of executors that the advice service permits for a step.
    pub advised_percent: u32,
    pub config: Arc<FleetConfig>,
    /// When the evacuation of each zone was requested.
    evacuated_at: HashMap<Arc<str>, Millis>,
    /// Violated guarantees.
    pub violations: Vec<String>,
    /// Tasks that started once after their job was cancelled. One such start is allowed because its
    /// command was in flight; a second is a violation.
    started_after_cancel: HashSet<TaskId>,
    /// Tasks that crash their executor, and the time from their start to the crash, in ms.
    pub crash_after: HashMap<TaskId, Millis>,
    /// Executors that crashed while a task ran there, for each task.
    pub crashes: HashMap<TaskId, u32>,
    /// Time of the first start of each job, in ms of simulated time.
    pub first_start: HashMap<JobId, Millis>,
    /// Log lines of the cell and the simulation, each after its time in ms.
    pub log: Vec<String>,
    /// Interval between checks of the running tasks, in ms.
    pub check_interval_ms: Millis,
    /// Calls to the advice service.
    pub advice_calls: u64,
    /// Time that the advice service spent on them, in ms.
    pub advice_time: Millis,
    /// Wall-clock time spent in the cell.
    pub cell_time: Duration,
    /// Placement rounds.
    pub rounds: u64,
    pending: BTreeMap<(Millis, u64), Pending>,
    sequence: u64,
    rng: SmallRng,
}

impl CellWorld {
    /// Creates a simulation without executors whose owner recovered nothing from the store.
    pub fn new(seed: u64, config: FleetConfig) -> Self {
        let config = Arc::new(config);
        let recovered = RecoveredState::default();
        let now = cell_now(0);
        Self {
            cell: Cell::new(1, BOUNDS, config.clone(), recovered, now),
            handed_over: 0,
            former: Vec::new(),
            cut: HashSet::new(),
            commit_plans: VecDeque::new(),
            executors: BTreeMap::new(),
            killed: 0,
            watch_interrupted: false,
            records: Records::default(),
            roster_unreadable: false,
            refused_progress: HashSet::new(),
            largest_value: 0,
            unread_jobs: HashSet::new(),
            revision: 0,
            commit_failed: false,
            submissions: BTreeMap::new(),
            now: 0,
            faults: Faults::default(),
            nodes: 3,
            store_up: true,
            advised_percent: 100,
            config,
            evacuated_at: HashMap::new(),
            violations: Vec::new(),
            started_after_cancel: HashSet::new(),
            crash_after: HashMap::new(),
            crashes: HashMap::new(),
            first_start: HashMap::new(),
            log: Vec::new(),
            check_interval_ms: 1,
            advice_calls: 0,
            advice_time: 0,
            cell_time: Duration::ZERO,
            rounds: 0,
            pending: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds an executor in zone `a` and reports it to the owner.
    pub fn add_executor(&mut self, name: &str, pool: &str, rack: &str, capacity: Resources) {
        self.add_executor_in("a", name, pool, rack, capacity);
    }

    /// Like [`Self::add_executor`], in another zone.
    pub fn add_executor_in(
        &mut self,
        zone: &str,
        name: &str,
        pool: &str,
        rack: &str,
        capacity: Resources,
    ) {
        let info = ExecutorInfo {
            id: Arc::from(name),
            pool: Arc::from(pool),
            address: Arc::from("10.0.0.1:1"),
            zone: Arc::from(zone),
            labels: vec![Arc::from("k"), Arc::from(rack)],
            capacity,
            draining: false,
            min_remaining_ms: None,
            started_unix_ms: Some(1),
        };
        let executor = CellExecutor::new(info.clone(), self.now);
        self.executors.insert(info.id.clone(), executor);
        self.step(self.listed(info));
        self.step(CellEvent::AdviceNodes(advice_nodes(self.nodes)));
    }

    /// Stores a job as accepted now and notifies the owner.
    pub fn submit(&mut self, mut submission: Submission) {
        submission.accepted_unix_ms = UNIX_START_MS + self.now;
        let record = JobRecord::open(submission.clone());
        self.records.jobs.insert(submission.id, record);
        self.submissions.insert(submission.id, submission.clone());
        self.step(CellEvent::Submitted(Box::new(submission)));
    }

    /// Stores a cancellation and notifies the owner.
    pub fn cancel(&mut self, job: JobId) {
        self.records.cancelled.insert(job);
        self.step(CellEvent::Cancelled(job));
    }

    /// Kills the owner; the next one takes over `ms` later.
    pub fn kill_owner(&mut self, ms: Millis) {
        self.killed = self.cell.token;
        self.run(ms);
        self.replace_owner();
    }

    /// Replaces the owner by a new one that recovers its state from the store alone.
    pub fn replace_owner(&mut self) {
        self.add_owner();
        self.former.pop();
    }

    /// Stops the owner as planned, and has the next one take over.
    pub fn hand_over(&mut self) {
        self.step(CellEvent::HandOver);
        let gives_up_at = self.now + MAX_HAND_OVER_MS;
        while self.handed_over < self.cell.token && self.now < gives_up_at {
            self.run(1);
        }
        self.replace_owner();
    }

    /// Like [`Self::replace_owner`], but the replaced owner lives on.
    pub fn add_owner(&mut self) {
        let token = self.cell.token + 1;
        self.revision += 1;
        self.commit_failed = false;
        let jobs = self.records.jobs.iter();
        let jobs = jobs.filter(|(id, _)| !self.unread_jobs.contains(id));
        let recovered = RecoveredState {
            jobs: jobs
                .map(|(id, r)| (*id, r.clone(), self.records.progress.get(id).cloned()))
                .collect(),
            cancelled: self.records.cancelled.iter().copied().collect(),
            roster: self.records.roster.clone(),
            lease_waits: self.records.lease_waits.clone(),
            roster_unreadable: self.roster_unreadable,
            evacuations: self.records.evacuations.clone(),
        };
        self.log.push(format!("{} owner {token}", self.now));
        let cell = Cell::new(
            token,
            BOUNDS,
            self.config.clone(),
            recovered,
            cell_now(self.now),
        );
        self.former.push(std::mem::replace(&mut self.cell, cell));
        self.step(CellEvent::AdviceNodes(advice_nodes(self.nodes - 1)));
        let listed = self.executors.values().filter(|e| e.listed);
        let infos: Vec<_> = listed.map(|e| e.info.clone()).collect();
        for info in infos {
            self.step(CellEvent::Listed {
                info,
                written_after: self.list_written_after(),
            });
        }
    }

    /// Ends all owners but the present one.
    pub fn stop_former_owners(&mut self) {
        self.former.clear();
    }

    /// Requests the evacuation of exactly these zones; the owner is notified after `notified_after`,
    /// or not at all.
    pub fn evacuate(&mut self, zones: &[&str], notified_after: Option<Millis>) {
        let zones: BTreeSet<Arc<str>> = zones.iter().map(|z| Arc::from(*z)).collect();
        self.evacuated_at.retain(|zone, _| zones.contains(zone));
        for zone in &zones {
            self.evacuated_at.entry(zone.clone()).or_insert(self.now);
        }
        self.revision += 1;
        self.records.evacuations = Evacuations {
            revision: self.revision,
            zones,
        };
        if let Some(after) = notified_after {
            let event = CellEvent::Evacuations(Arc::new(self.records.evacuations.clone()));
            self.schedule(after, Pending::Event(event, self.cell.token));
        }
    }

    /// Gives the owner a plan of maintenance.
    pub fn set_upkeep(&mut self, plan: UpkeepPlan) {
        self.step(CellEvent::Upkeep(plan));
    }

    /// Sets the configuration and notifies the owner.
    pub fn set_config(&mut self, config: FleetConfig) {
        self.config = Arc::new(config);
        self.step(CellEvent::Config(self.config.clone()));
    }

    /// Adds an executor to the platform's list or removes it, and notifies the owner; the
    /// executor runs on.
    pub fn set_listed(&mut self, name: &str, listed: bool) {
        let Some(executor) = self.executors.get_mut(name) else {
            return;
        };
        executor.listed = listed;
        let info = executor.info.clone();
        self.step(if listed {
            self.listed(info)
        } else {
            CellEvent::Unlisted(info.id)
        });
    }

    /// Has an executor announce that it drains; it exits `remaining_ms` later.
    pub fn drain(&mut self, name: &str, remaining_ms: Millis) {
        let Some(executor) = self.executors.get_mut(name) else {
            return;
        };
        executor.drain(remaining_ms, self.now);
        let info = executor.info.clone();
        self.report(self.listed(info));
    }

    /// Has an executor that drains or has exited report that it is ready.
    pub fn set_ready(&mut self, name: &str) {
        if let Some(executor) = self.executors.get_mut(name) {
            executor.cancel_drain();
            self.set_listed(name, true);
        }
    }

    /// Changes the capacity of an executor; the list says so after `listed_after` ms, and starts that
    /// rely on the earlier capacity are violations after `grace_ms`.
    pub fn set_capacity(
        &mut self,
        name: &str,
        capacity: Resources,
        listed_after: Millis,
        grace_ms: Millis,
    ) {
        let now = self.now;
        if let Some(executor) = self.executors.get_mut(name) {
            executor.set_capacity(capacity, grace_ms, now);
            let cpu_milli = capacity.cpu_milli;
            self.log
                .push(format!("{now} capacity of {name}: {cpu_milli}"));
            self.schedule(listed_after, Pending::List(Arc::from(name)));
        }
    }

    /// Sends the owner the complete list of executors, as after an interrupted watch.
    pub fn relist(&mut self) {
        let listed = self.executors.values().filter(|e| e.listed);
        let infos = listed.map(|e| e.info.clone()).collect();
        self.step(CellEvent::Relisted {
            infos,
            written_after: self.list_written_after(),
        });
    }

    /// Returns the status of a job as callers see it; `None` if the cell does not know the job.
    pub fn job_status(&self, job: JobId) -> Option<JobStatus> {
        self.cell.job_status(job)
    }

    /// Advances simulated time by `ms`; the cell gets a tick every 100 ms.
    pub fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            self.advance_executors();
            while let Some(entry) = self.pending.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let pending = entry.remove();
                self.deliver(pending);
            }
            let owners: Vec<_> = std::iter::once(&self.cell)
                .chain(&self.former)
                .map(|c| (c.token, c.next_round_due()))
                .collect();
            for (token, round_due) in owners {
                if self.now.is_multiple_of(100) {
                    self.step_owner(token, CellEvent::Tick);
                } else if round_due.is_some_and(|due| due <= self.now) {
                    self.plan(token);
                }
            }
        }
    }

    /// Returns the owner with this fencing token; `None` if it was replaced or stopped.
    fn owner_mut(&mut self, token: u64) -> Option<&mut Cell> {
        let mut owners = std::iter::once(&mut self.cell).chain(&mut self.former);
        owners.find(|c| c.token == token)
    }

    fn advance_executors(&mut self) {
        let now = self.now;
        for executor in self.executors.values_mut() {
            executor.advance(now);
            if executor.must_crash(&self.crash_after, now) {
                for task in executor.running.keys() {
                    *self.crashes.entry(*task).or_default() += 1;
                }
                self.log.push(format!("{now} crash {}", executor.info.id));
                executor.restart(now);
            }
        }
        let executors = self.executors.values_mut();
        let exited = executors.filter_map(|e| e.exit_if_due(now).then(|| e.info.id.clone()));
        for id in exited.collect::<Vec<_>>() {
            self.log.push(format!("{now} exited {id}"));
            self.report(CellEvent::Unlisted(id));
        }
        let executors = self.executors.values_mut();
        let reports = executors.filter_map(|e| e.report_if_due(now).then(|| e.info.clone()));
        for info in reports.collect::<Vec<_>>() {
            self.report(self.listed(info));
        }
        if self.now.is_multiple_of(self.check_interval_ms) {
            self.check_invariants();
        }
    }

    fn deliver(&mut self, pending: Pending) {
        match pending {
            Pending::Event(event, token) => {
                let failed = matches!(event, CellEvent::CommitResult { ok: false, .. });
                self.commit_failed |= failed && token == self.cell.token;
                self.step_owner(token, event);
            }
            Pending::List(id) => {
                let listed = self.executors.get(&id).filter(|e| e.listed);
                if let Some(info) = listed.map(|e| e.info.clone()) {
                    self.step(CellEvent::Listed {
                        info,
                        written_after: self.list_written_after(),
                    });
                }
            }
            Pending::Write(writes, revision, raises) if revision == self.revision => {
                self.write(writes, raises);
            }
            Pending::Write(..) => {}
            Pending::Arrive(id, command, call) => self.deliver_command(&id, &command, call),
            Pending::ReadJob(job, token) if self.store_up => {
                let record = self.records.jobs.get(&job).cloned().map(Box::new);
                let event = CellEvent::JobRead { job, record };
                self.schedule(4, Pending::Event(event, token));
            }
            Pending::ReadJob(..) => self.schedule(200, pending),
            Pending::Delayed(id, incarnation, command, call) => {
                let same_incarnation = self
                    .executors
                    .get(&id)
                    .is_some_and(|e| e.info.started_unix_ms == incarnation);
                match call {
                    _ if same_incarnation => self.deliver_command(&id, &command, call),
                    Some(call) => self.schedule_reply(&id, call, Err(CommandError::Unknown), 1),
                    None => {}
                }
            }
        }
    }

    fn deliver_command(
        &mut self,
        id: &ExecutorId,
        command: &ExecutorCommand,
        call: Option<PendingCall>,
    ) {
        let fails = self.chance(self.faults.failures);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let cut = call.is_some_and(|c| self.cut.contains(&(c.token, id.clone())));
        if cut || !executor.is_reachable(self.now) {
            if let Some(call) = call {
                self.schedule_timeout(id, call);
            }
            return;
        }
        let running_before = executor.running.len();
        executor.transit_ms = if call.is_none() { MAX_LATE_MS } else { 0 };
        let outcome =
            executor.handle_command(command, self.now, &self.config, &self.submissions, fails);
        let started = executor.running.len() > running_before;
        if let ExecutorCommand::Start(start) = command
            && started
        {
            let line = format!(
                "{} began {} run {} on {id}",
                self.now, start.task, start.run
            );
            self.log.push(line);
            self.check_zone(start.task, id);
            self.check_start(start.task);
        }
        let result = match outcome {
            CommandOutcome::Wait(ms) => {
                let ExecutorCommand::Renew(renewal) = command else {
                    return;
                };
                let mut remaining = renewal.clone();
                let interval = ms.min(RENEWAL_POLL_MS);
                remaining.wait_ms = ms - interval;
                let remaining = ExecutorCommand::Renew(remaining);
                let incarnation = self.executors.get(id).and_then(|e| e.info.started_unix_ms);
                return self.schedule(
                    interval,
                    Pending::Delayed(id.clone(), incarnation, remaining, call),
                );
            }
            CommandOutcome::Reply(result) => result,
        };
        if let Some(call) = call {
            let executor = self.executors.get(id);
            let after = 1 + executor.map_or(0, |e| e.reply_delay_ms);
            if self.chance(self.faults.lost_replies) || self.now + after > call.times_out_at {
                self.schedule_timeout(id, call);
            } else {
                self.schedule_reply(id, call, result, after);
            }
        }
    }

    fn schedule_timeout(&mut self, id: &ExecutorId, call: PendingCall) {
        let after = call.times_out_at.saturating_sub(self.now);
        self.schedule_reply(id, call, Err(CommandError::Unknown), after);
    }

    fn schedule_reply(
        &mut self,
        id: &ExecutorId,
        call: PendingCall,
        result: Result<CommandReply, CommandError>,
        after: Millis,
    ) {
        let event = CellEvent::CommandResult {
            call: call.call,
            executor: id.clone(),
            result,
        };
        self.schedule(after, Pending::Event(event, call.token));
    }

    fn schedule(&mut self, after: Millis, pending: Pending) {
        self.sequence += 1;
        self.pending
            .insert((self.now + after.max(1), self.sequence), pending);
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.rng.random_range(0..1000) < thousandths
    }

    /// Returns the event of an entry that is written now.
    fn listed(&self, info: ExecutorInfo) -> CellEvent {
        CellEvent::Listed {
            info,
            written_after: self.now,
        }
    }

    /// Returns the earliest time at which an entry of a whole list may have been written.
    fn list_written_after(&self) -> Millis {
        self.now.saturating_sub(REPORT_INTERVAL_MS)
    }

    /// Tells the owner of a change of the list, unless its watch is interrupted.
    fn report(&mut self, event: CellEvent) {
        if !self.watch_interrupted {
            self.step(event);
        }
    }

    fn step(&mut self, event: CellEvent) {
        self.step_owner(self.cell.token, event);
    }

    fn step_owner(&mut self, token: u64, event: CellEvent) {
        if token == self.killed {
            return;
        }
        let now = cell_now(self.now);
        let started_at = Instant::now();
        if let Some(cell) = self.owner_mut(token) {
            cell.step(event, now);
        }
        self.cell_time += started_at.elapsed();
        self.plan(token);
    }

    fn plan(&mut self, token: u64) {
        if token == self.killed {
            return;
        }
        let now = cell_now(self.now);
        let started_at = Instant::now();
        let sole_owner = token == self.cell.token;
        let Some(cell) = self.owner_mut(token) else {
            return;
        };
        // An owner can be replaced only after its store lease has run out.
        if sole_owner {
            cell.plan(now);
        }
        let effects = cell.take_effects();
        self.cell_time += started_at.elapsed();
        self.rounds += 1;
        for effect in effects {
            self.apply_effect(token, effect);
        }
    }

    fn apply_effect(&mut self, token: u64, effect: CellEffect) {
        match effect {
            CellEffect::Command {
                call,
                executor,
                address,
                command,
                timeout_ms,
                ..
            } => {
                let call = PendingCall {
                    call,
                    token,
                    times_out_at: self.now + timeout_ms,
                };
                let known = self.executors.get(&executor);
                if known.is_some_and(|e| e.info.address != address) {
                    // Another executor replies at an address that this one had before.
                    return self.schedule_reply(&executor, call, Err(CommandError::OtherLife), 2);
                }
                let delay = self.rng.random_range(1..4);
                if self.chance(self.faults.late_commands) {
                    let late = self.rng.random_range(2_000..MAX_LATE_MS);
                    // A crash drops commands in flight to the incarnation that ends
                    // (docs/QUESTIONS.md).
                    let incarnation = self
                        .executors
                        .get(&executor)
                        .and_then(|e| e.info.started_unix_ms);
                    self.schedule(
                        late,
                        Pending::Delayed(executor.clone(), incarnation, command, None),
                    );
                    self.schedule_timeout(&executor, call);
                } else {
                    self.schedule(delay, Pending::Arrive(executor, command, Some(call)));
                }
            }
            CellEffect::RequestAdvice {
                call,
                step,
                executors,
                ..
            } => self.schedule_advice((call, token), step, &executors),
            CellEffect::Commit { call, writes } => self.commit((call, token), writes),
            CellEffect::FirstStart { .. } => {}
            CellEffect::ReadJob(job) => self.schedule(4, Pending::ReadJob(job, token)),
            CellEffect::Log { event, detail } => {
                let by = if token == self.cell.token {
                    String::new()
                } else {
                    format!(" by={token}")
                };
                self.log
                    .push(format!("{} {event:?} {detail}{by}", self.now));
            }
            CellEffect::HandedOver => self.handed_over = token,
            CellEffect::StepDown if token != self.cell.token => {
                self.former.retain(|c| c.token != token);
            }
            CellEffect::StepDown => self
                .violations
                .push("the only owner was deposed".to_owned()),
        }
    }

    fn schedule_advice(
        &mut self,
        (call, token): (CallId, u64),
        step: StepId,
        executors: &[ExecutorId],
    ) {
        let permitted = |e: &&ExecutorId| {
            let seed = step.job.0.wrapping_mul(31) ^ u64::from(step.step);
            let hash = e
                .bytes()
                .fold(seed, |h, b| h.wrapping_mul(33) ^ u64::from(b));
            hash % 100 < u64::from(self.advised_percent)
        };
        let submission = self.submissions.get(&step.job);
        let rule = submission.and_then(|s| self.config.queue(&s.queue.name)?.advice);
        let duration = rule.map_or(ADVICE_TRANSIT_MS, |r| {
            r.call_cost_ms(executors.len()) + ADVICE_TRANSIT_MS
        });
        self.advice_calls += 1;
        self.advice_time += duration;
        let expires_at = self.now + duration + TICKET_VALID_MS;
        let to_advised = |e: &ExecutorId| AdvisedExecutor {
            executor: e.clone(),
            ticket: Arc::from(format!("{step}@{e}@{expires_at}")),
        };
        let advised = executors.iter().filter(permitted).map(to_advised).collect();
        let event = CellEvent::AdviceResult {
            call,
            advised: Some(advised),
            valid_ms: TICKET_VALID_MS,
        };
        self.schedule(duration, Pending::Event(event, token));
    }

    fn commit(&mut self, (call, token): (CallId, u64), writes: Vec<StoreWrite>) {
        if token != self.cell.token {
            let event = CellEvent::CommitResult { call, ok: false };
            return self.schedule(4, Pending::Event(event, token));
        }
        let too_long = |w: &StoreWrite| match w {
            StoreWrite::Progress { job, value, .. } => {
                self.largest_value = self.largest_value.max(value.len());
                value.len() > BOUNDS.max_value_bytes || self.refused_progress.contains(job)
            }
            _ => false,
        };
        if writes
            .iter()
            .map(too_long)
            .fold(false, |any, long| any | long)
        {
            let event = CellEvent::CommitRefused { call };
            return self.schedule(4, Pending::Event(event, token));
        }
        let raises_revision = std::mem::take(&mut self.commit_failed);
        if let Some(plan) = self.commit_plans.pop_front() {
            if let Some(after) = plan.carried_out_after {
                let write = Pending::Write(writes, self.revision, raises_revision);
                self.schedule(after, write);
            }
            let event = CellEvent::CommitResult { call, ok: plan.ok };
            return self.schedule(plan.result_after, Pending::Event(event, token));
        }
        let fails = !self.store_up || self.chance(self.faults.failed_commits);
        let carried_out = !fails || (self.store_up && self.rng.random_bool(0.5));
        if carried_out {
            self.write(writes, raises_revision);
        }
        let event = CellEvent::CommitResult { call, ok: !fails };
        self.schedule(4, Pending::Event(event, token));
    }

    fn write(&mut self, writes: Vec<StoreWrite>, raises_revision: bool) {
        self.revision += u64::from(raises_revision);
        for write in writes {
            match write {
                StoreWrite::Progress { job, value, record } => {
                    if let Some(record) = record {
                        self.records.jobs.insert(job, *record);
                    }
                    let format = self.records.jobs[&job].progress_format();
                    let progress = JobProgress::decode(&value, format).expect("progress");
                    self.records.progress.insert(job, progress);
                }
                StoreWrite::Ended {
                    job,
                    record,
                    remove_progress,
                } => {
                    self.records.jobs.insert(job, *record);
                    if remove_progress {
                        self.records.progress.remove(&job);
                    }
                    let progress = self.records.progress.get(&job);
                    if progress.is_some() {
                        let violation = format!("LEFTOVER: progress of {job}, which has ended");
                        self.violations.push(violation);
                    }
                }
                StoreWrite::Delete { job } => {
                    self.records.jobs.remove(&job);
                }
                StoreWrite::LeaseWaits(waits) => self.records.lease_waits = Some(waits),
                StoreWrite::Roster(roster) => self.records.roster = roster.executors,
            }
        }
    }

    /// Checks that a task was not started in a zone that is being evacuated.
    fn check_zone(&mut self, task: TaskId, id: &ExecutorId) {
        let zone = self.executors.get(id).map(|e| e.info.zone.clone());
        let requested = zone.and_then(|z| self.evacuated_at.get(&z));
        if requested.is_some_and(|at| self.now > at + EVACUATION_MS) {
            self.violations
                .push(format!("EVAC: {task} was started on {id}"));
        }
    }

    /// Checks the guarantees for a task that just started.
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
            self.violations
                .push(format!("TWICE: {task} after it was done"));
        }
        if failed >= submission.queue.max_attempts && !spec.persistent {
            self.violations
                .push(format!("BUDGET: {task} after {failed} failures"));
        }
        let crashes = self.crashes.get(&task).copied().unwrap_or(0);
        if crashes >= MAX_CRASHES {
            self.violations
                .push(format!("BUDGET: {task} after {crashes} crashes"));
        }
        for step in &spec.depends_on {
            let before = StepId {
                step: *step,
                ..task.step
            };
            let dependency = &submission.spec.steps[usize::from(*step)];
            let finished = |index| {
                let step = before;
                let task = TaskId { step, index };
                self.executors.values().any(|e| e.ever_done.contains(&task))
            };
            // The end of one task counts as the end of the whole gang.
            let complete = if dependency.gang {
                (0..dependency.count).any(finished)
            } else {
                (0..dependency.count).all(finished)
            };
            if !complete {
                self.violations
                    .push(format!("ORDER: {task} before {before}"));
            }
        }
        if self.records.cancelled.contains(&job) && !self.started_after_cancel.insert(task) {
            self.violations
                .push(format!("UNASKED: {task} after a cancel"));
        }
    }

    /// Returns a violation for each tenant over its cap plus a tenth plus its largest task.
    fn quota_violations(&self) -> Vec<String> {
        let mut used: HashMap<Arc<str>, (u64, u64)> = HashMap::new();
        for executor in self.executors.values() {
            for (task, run) in &executor.running {
                let job = self.submissions.get(&task.step.job);
                let Some(tenant) = job.and_then(|j| j.tenant.clone()) else {
                    continue;
                };
                let (sum, max_task) = used.entry(tenant).or_default();
                *sum += u64::from(run.need.cpu_milli);
                *max_task = (*max_task).max(u64::from(run.need.cpu_milli));
            }
        }
        let over = |(tenant, (sum, max_task)): (Arc<str>, (u64, u64))| {
            let cap = u64::from(self.config.tenants.get(&tenant)?.cap.cpu_milli);
            let over = cap > 0 && sum > cap * 11 / 10 + max_task;
            over.then(|| format!("QUOTA: {tenant}"))
        };
        used.into_iter().filter_map(over).collect()
    }

    /// Checks the guarantees on the tasks that run on the executors.
    fn check_invariants(&mut self) {
        let mut locations: HashMap<TaskId, ExecutorId> = HashMap::new();
        let mut found = Vec::new();
        found.extend(self.quota_violations());
        for (id, executor) in &mut self.executors {
            found.append(&mut executor.violations);
            for (task, run) in &executor.running {
                let other = locations.insert(*task, id.clone());
                if let Some(other) = other.filter(|_| !run.allow_duplicates) {
                    found.push(format!("TWICE: {task} on {other} and {id}"));
                }
            }
        }
        for what in found {
            if !self.violations.contains(&what) {
                self.log.push(format!("{} BROKEN {what}", self.now));
                self.violations.push(what);
            }
        }
    }
}

fn advice_nodes(nodes: u32) -> Vec<Arc<str>> {
    (1..=nodes).map(|i| Arc::from(format!("n{i}"))).collect()
}

fn cell_now(mono: Millis) -> Now {
    Now {
        mono,
        unix: UNIX_START_MS + mono,
    }
}
