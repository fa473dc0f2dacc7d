//! State of the cell on its owner: handles events and collects effects.
//!
//! Executors are authoritative for what runs; the store is authoritative for which jobs were
//! accepted and how they ended. The cell reconciles both and decides what starts where. The
//! owner loop in `entry` calls it; it must not do I/O or read a clock.

use {
    crate::{
        core::{CallId, Millis, Resources},
        fleet::{
            AdviceSlots, CellEffect, CellEvent, CommitQueue, CrashWatch, EarlierLeases,
            Evacuations, Executor, ExecutorId, ExecutorInfo, FencingToken, FleetConfig, FleetEvent,
            INCARNATIONS_PER_OWNER, Job, JobEnd, JobId, LeaseWaits, LeavingExecutors, QueueRule,
            RecoveredState, RosterEntry, StepId, TaskId, UnreadExecutors, UpkeepPlan,
            cell_capacity::tenant_needs,
            cell_hand_over::HandOver,
            cell_jobs::JobOrigin,
            cell_takeover::WAIT_LOG_INTERVAL_MS,
            job::RUN_NUMBERS_PER_OWNER,
            policy::{self, AdviceYield, RateBucket, RateBurst},
            run_log::{EndedRun, StartedRun},
        },
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Limits set by the platform on which the cell's timing depends.
#[derive(Clone, Copy, Debug)]
pub struct CellBounds {
    /// Maximum lease of an executor, in ms (platform's `holdMaxMs`).
    pub max_lease_ms: Millis,
    /// Maximum time that a stop takes, in ms (platform's `killGraceMs`).
    pub kill_grace_ms: Millis,
    /// Retention of an ended job's state, in ms (platform's `status_s`).
    pub ended_retention_ms: Millis,
    /// Maximum size of a value in the store, in bytes.
    pub max_value_bytes: usize,
    /// What a tenant may send at once beyond its rate.
    pub rate_burst: RateBurst,
    /// CPU time of the owner's VM, in thousandths of a core; 0: not stated.
    pub cpu_milli: u32,
}

/// Readings of both clocks, taken by the caller for one event or round.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Time since boot, suspended time included, in ms.
    pub mono: Millis,
    /// Time of day, in Unix ms.
    pub unix: Millis,
}

/// State of a job as callers see it; an end shows only once it is durable.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobStatus {
    /// A task was started and no end is durable.
    Active,
    Cancelled,
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// No task was started yet.
    Pending,
}

impl JobStatus {
    /// Returns the status of a job whose end is durable.
    pub fn from_end(end: JobEnd) -> Self {
        match end {
            JobEnd::Cancelled => Self::Cancelled,
            JobEnd::Completed => Self::Completed,
            JobEnd::Failed => Self::Failed,
        }
    }
}

/// Name in the place of the executors of a roster that could not be decoded.
pub(super) const UNREADABLE_ROSTER: &str = "(roster not readable)";

/// Ids that a log line names; the rest is counted.
pub(super) const MAX_LOGGED_IDS: usize = 20;

/// Formats ids for a log line: their number and the first of them, without spaces.
pub(super) fn list_ids<'a>(ids: impl IntoIterator<Item = &'a ExecutorId>) -> String {
    let ids: Vec<&str> = ids.into_iter().map(|id| &**id).collect();
    let named = &ids[..ids.len().min(MAX_LOGGED_IDS)];
    let more = if ids.len() > named.len() { ",..." } else { "" };
    format!("{}:{}{more}", ids.len(), named.join(","))
}

/// The scheduler of all pools. Memory only: a new owner builds it from [`RecoveredState`].
#[derive(Debug)]
pub struct Cell {
    /// Fencing token of this owner: 1 for the first owner, higher for each later one.
    pub token: FencingToken,
    pub bounds: CellBounds,
    pub config: Arc<FleetConfig>,
    /// Zones whose executors get no new tasks.
    pub evacuations: Arc<Evacuations>,
    /// When this owner learned of each of them.
    pub(super) evacuated_since: BTreeMap<Arc<str>, Millis>,
    /// Executors that get no new tasks, because of maintenance.
    pub(super) upkeep: UpkeepPlan,
    pub executors: BTreeMap<ExecutorId, Executor>,
    /// Restarts seen of executors that were removed, so that the tokens of commands never fall.
    pub(super) removed_incarnations: HashMap<ExecutorId, u64>,
    pub jobs: BTreeMap<JobId, Job>,
    /// Durable ends, to answer callers, and when each was recorded here.
    pub ended_jobs: HashMap<JobId, (JobEnd, Millis)>,
    /// Cancellations that arrived before their job, and when. The store has each of them; they are dropped
    /// there after the time for which ended jobs are kept.
    pub pending_cancels: HashMap<JobId, Millis>,
    /// Executors of the earlier owner's roster whose runs this owner has not read yet.
    pub unread: UnreadExecutors,
    /// The hand-over to the next owner, once it has begun.
    pub(super) hand_over: Option<HandOver>,
    /// When this owner took over.
    pub took_over_at: Millis,
    /// Earliest next log line of jobs that wait for unread executors, in ms on the monotonic clock.
    pub(super) next_wait_log_at: Millis,
    /// Whether the end of the takeover was logged.
    pub(super) takeover_ended: bool,
    /// Jobs whose record is being read, as an executor named them and they are not known.
    pub(super) job_reads: HashSet<JobId>,
    /// Leases that earlier owners granted on executors which were not opened since.
    pub earlier_leases: EarlierLeases,
    /// Executors that drain and that the record in the store names.
    pub(super) leaving: LeavingExecutors,
    /// Sum of the needs of the tracked runs of each tenant, on all executors.
    pub tenant_usage: HashMap<Arc<str>, Resources>,
    /// Token bucket of each tenant's job rate.
    pub rate_buckets: HashMap<Arc<str>, RateBucket>,
    pub commit_queue: CommitQueue,
    /// Tasks that may have crashed an executor.
    pub(super) crash_watch: CrashWatch,
    /// Executors that the roster in the store certainly names, whichever of the writes with an unknown
    /// outcome took effect: their address there, and the least of the maximum capacities.
    pub roster: HashMap<ExecutorId, RosterEntry>,
    /// The same of the roster write that is in flight; `roster` once it is durable.
    pub roster_sent: HashMap<ExecutorId, RosterEntry>,
    pub advice_slots: AdviceSlots,
    /// Advice calls in flight: step, executors named, and when each times out.
    pub advice_calls: HashMap<CallId, (StepId, Vec<ExecutorId>, Millis)>,
    /// Tasks that are being stopped on executors which drain, and where they will probably start.
    pub(super) moves: BTreeMap<TaskId, ExecutorId>,
    /// Share of executors that the advice service advises, by queue.
    pub advice_yields: HashMap<Arc<str>, AdviceYield>,
    /// Whether an event since the last round may let a task start.
    pub(super) needs_placement: bool,
    /// Earliest time of the next round.
    pub(super) next_round_at: Millis,
    /// Runs started in this round whose line is not logged yet, all of one step.
    pub(super) started_runs: Vec<StartedRun>,
    /// Runs started in the last round.
    pub(super) round_starts: usize,
    /// How long the job of `started_runs` waited, in ms, if they hold its first run.
    pub(super) first_wait_ms: Option<Millis>,
    /// Runs whose ends were read from the reply in work and whose line is not logged yet.
    pub(super) ended_runs: Vec<EndedRun>,
    pub(super) effects: Vec<CellEffect>,
    last_call: CallId,
}

impl Cell {
    /// Creates the cell of a new owner from what the store holds. All executors of the roster
    /// are unread at first; recovered jobs may have runs there.
    pub fn new(
        token: FencingToken,
        bounds: CellBounds,
        config: Arc<FleetConfig>,
        recovered: RecoveredState,
        now: Now,
    ) -> Self {
        let roster_ids: Vec<ExecutorId> = recovered.roster.iter().map(|e| e.id.clone()).collect();
        let left = recovered.lease_waits.filter(|w| w.token + 1 == token);
        let mut possible_runs = left
            .as_ref()
            .map_or_else(HashMap::new, LeaseWaits::known_runs);
        let mut cell = Self {
            token,
            bounds,
            config,
            evacuations: Arc::default(),
            evacuated_since: BTreeMap::new(),
            upkeep: UpkeepPlan::default(),
            executors: BTreeMap::new(),
            removed_incarnations: HashMap::new(),
            jobs: BTreeMap::new(),
            ended_jobs: HashMap::new(),
            pending_cancels: HashMap::new(),
            unread: UnreadExecutors::default(),
            hand_over: None,
            took_over_at: now.mono,
            next_wait_log_at: now.mono + WAIT_LOG_INTERVAL_MS,
            takeover_ended: false,
            job_reads: HashSet::new(),
            earlier_leases: EarlierLeases::new(
                &roster_ids,
                left,
                policy::earlier_runs_end_after(bounds.max_lease_ms, bounds.kill_grace_ms),
                now.mono,
            ),
            leaving: LeavingExecutors::default(),
            tenant_usage: HashMap::new(),
            rate_buckets: HashMap::new(),
            commit_queue: CommitQueue::default(),
            crash_watch: CrashWatch::default(),
            roster: HashMap::new(),
            roster_sent: HashMap::new(),
            advice_slots: AdviceSlots::default(),
            advice_calls: HashMap::new(),
            moves: BTreeMap::new(),
            advice_yields: HashMap::new(),
            needs_placement: true,
            next_round_at: now.mono,
            started_runs: Vec::new(),
            round_starts: 0,
            first_wait_ms: None,
            ended_runs: Vec::new(),
            effects: Vec::new(),
            last_call: 0,
        };
        for entry in recovered.roster {
            cell.roster.insert(entry.id.clone(), entry.clone());
            let tasks = possible_runs.remove(&entry.id);
            cell.unread.insert(entry.id.clone(), tasks);
            cell.add_from_roster(&entry, now);
        }
        if recovered.roster_unreadable {
            cell.unread.insert(Arc::from(UNREADABLE_ROSTER), None);
        }
        // The rate of a tenant depends on the order in which its jobs were accepted.
        let mut jobs = recovered.jobs;
        jobs.sort_by_key(|(id, record, _)| (record.accepted_unix_ms(), *id));
        for (id, record, progress) in jobs {
            cell.add_recovered(id, record, progress.as_ref(), now);
        }
        let jobs = &cell.jobs;
        cell.unread.set_needs(|tasks| tenant_needs(jobs, tasks));
        for id in recovered.cancelled {
            cell.cancel(id, now);
        }
        cell.on_evacuations(&Arc::new(recovered.evacuations), now);
        let (jobs, executors) = (cell.jobs.len(), list_ids(cell.unread.ids()));
        let known = cell.unread.known_count();
        let detail =
            format!("token={token} jobs={jobs} with_known_runs={known} executors={executors}");
        cell.log(FleetEvent::TakeoverRead, detail);
        cell
    }

    /// Applies one event; the effects are collected for [`Self::take_effects`].
    pub fn step(&mut self, event: CellEvent, now: Now) {
        // The handlers of command and commit results set `needs_placement` themselves: most
        // results change nothing, and neither does the record of a job that was not stored.
        let sets_flag_itself = matches!(
            event,
            CellEvent::CancelledRecord { .. }
                | CellEvent::CommandResult { .. }
                | CellEvent::CommitRefused { .. }
                | CellEvent::CommitResult { .. }
        );
        self.needs_placement |= !sets_flag_itself;
        match event {
            CellEvent::Tick => self.tick(now),
            CellEvent::Config(config) => {
                if config.version >= self.config.version {
                    self.config = config;
                }
            }
            CellEvent::Evacuations(evacuations) => self.on_evacuations(&evacuations, now),
            CellEvent::Upkeep(plan) => self.on_upkeep(plan, now),
            CellEvent::Listed {
                info,
                written_after,
            } => self.on_listed(info, written_after, now),
            CellEvent::Unlisted(id) => self.on_unlisted(&id),
            CellEvent::Relisted {
                infos,
                written_after,
            } => self.on_relisted(infos, written_after, now),
            CellEvent::Submitted(submission) => {
                // Stored after this owner's claim, so no earlier owner has started it.
                self.add_job(*submission, None, JobOrigin::Accepted, now);
            }
            CellEvent::CancelledRecord { job, record } => {
                self.add_recovered(job, *record, None, now);
            }
            CellEvent::JobRead { job, record } => self.on_job_read(job, record.map(|r| *r), now),
            CellEvent::Cancelled(id) => self.cancel(id, now),
            CellEvent::AdviceNodes(nodes) => self.advice_slots.set_nodes(nodes),
            CellEvent::HandOver => self.begin_hand_over(now),
            CellEvent::CommandResult {
                call,
                executor,
                result,
            } => self.on_command_result(call, &executor, result, now),
            CellEvent::AdviceResult {
                call,
                advised,
                valid_ms,
            } => self.on_advice_result(call, advised, valid_ms, now),
            CellEvent::CommitRefused { call } => self.on_commit_refused(call, now),
            CellEvent::CommitResult { call, ok } => self.on_commit_result(call, ok, now),
        }
    }

    /// Returns the effects collected since the last call, in order, and clears them.
    pub fn take_effects(&mut self) -> Vec<CellEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the state of a job as callers may see it; `None` if it is not known here. An end
    /// shows once it is durable; until then the job counts as active or pending.
    pub fn job_status(&self, id: JobId) -> Option<JobStatus> {
        if let Some((end, _)) = self.ended_jobs.get(&id) {
            return Some(JobStatus::from_end(*end));
        }
        let job = self.jobs.get(&id)?;
        match job.end {
            Some(end) if job.end_durable => Some(JobStatus::from_end(end)),
            _ if job.started => Some(JobStatus::Active),
            _ => Some(JobStatus::Pending),
        }
    }

    /// Counts the jobs of a queue that have neither started nor ended.
    pub fn count_waiting(&self, queue: &str) -> usize {
        let waits = |j: &&Job| &*j.submission.queue.name == queue && !j.started && j.end.is_none();
        self.jobs.values().filter(waits).count()
    }

    /// Returns the rule of a job's queue: the one in force, else the one it was accepted with.
    pub fn queue_rule<'a>(&'a self, job: &'a Job) -> &'a QueueRule {
        let name = &job.submission.queue.name;
        self.config.queue(name).map_or(&job.submission.queue, |q| q)
    }

    /// Returns whether leases may be granted on an executor: the roster in the store names it at
    /// its present address, so that the next owner will read it and wait for them.
    pub(super) fn in_roster(&self, executor: &ExecutorInfo) -> bool {
        let entry = self.roster.get(&executor.id);
        entry.is_some_and(|e| e.address == executor.address)
            && self.earlier_leases.may_grant(&executor.id)
    }

    /// Returns whether the roster in the store covers an executor's present capacity, so that the next
    /// owner will count all that may be started there.
    pub(super) fn roster_covers(&self, executor: &ExecutorInfo) -> bool {
        let entry = self.roster.get(&executor.id);
        entry.is_some_and(|e| e.max_capacity.covers(&executor.capacity))
    }

    pub(super) fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        self.last_call
    }

    pub(super) fn log(&mut self, event: FleetEvent, detail: String) {
        self.effects.push(CellEffect::Log { event, detail });
    }

    /// Returns the fencing token of commands to an executor; rises with its incarnations.
    pub(super) fn command_token(&self, id: &ExecutorId) -> FencingToken {
        let incarnations = self.executors.get(id).map_or(0, |e| e.incarnations);
        self.token * INCARNATIONS_PER_OWNER + incarnations
    }

    /// Returns the number above which the run numbers of this owner lie.
    pub(super) fn base_run_number(&self) -> u64 {
        (self.token - 1) * RUN_NUMBERS_PER_OWNER
    }

    fn tick(&mut self, now: Now) {
        self.give_up_unreachable(now);
        self.log_takeover_wait(now);
        self.end_takeover(now);
        self.drop_finished_jobs();
        self.drop_closed_suspects();
        self.unlist_missing(now);
        self.retire_departing();
        self.review_leaving();
        self.expire_leases(now);
        self.add_due_occurrences(now);
        self.expire_advice_calls(now);
        self.purge_ended(now);
    }

    fn add_due_occurrences(&mut self, now: Now) {
        let open_jobs = self.jobs.iter_mut().filter(|(_, j)| j.end.is_none());
        let grown: Vec<JobId> = open_jobs
            .filter_map(|(id, job)| job.add_due_occurrences(now.unix).then_some(*id))
            .collect();
        for id in grown {
            self.apply_unknown_ends(id, now);
            self.adopt_unknown_runs(id, now);
        }
    }

    /// Adds `need` to the usage of the job's tenant, or subtracts it; no effect without a tenant.
    pub(super) fn update_tenant_usage(&mut self, job: JobId, need: &Resources, add: bool) {
        let tenant = self
            .jobs
            .get(&job)
            .and_then(|j| j.submission.tenant.clone());
        let Some(tenant) = tenant else { return };
        let used = self.tenant_usage.entry(tenant).or_default();
        if add {
            used.add(need);
        } else {
            *used = used.saturating_sub(need);
        }
    }
}
