//! The owner of a set of pools: takes events, decides, returns effects.
//!
//! Executors are the truth about what runs; the store is the truth about what was accepted
//! and how it ended. The cell joins both and decides what starts where.

use {
    crate::{
        core::{CallId, Millis, Resources},
        fleet::{
            AdviceSlots, CellEffect, CellEvent, CommitQueue, Executor, ExecutorId, FencingToken,
            FleetConfig, FleetEvent, INCARNATIONS_PER_OWNER, Job, JobEnd, JobId, JobRecord,
            QueueRule, RecoveredState, StepId, job::RUN_NUMBERS_PER_OWNER,
        },
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
    },
};

/// Bounds of the platform that the cell's timing rests on.
#[derive(Clone, Copy, Debug)]
pub struct CellBounds {
    /// Longest lease of an executor, in ms (platform's `holdMaxMs`).
    pub lease_ms: Millis,
    /// Longest time that a stop takes, in ms (platform's `killGraceMs`).
    pub kill_grace_ms: Millis,
    /// How long an ended job's state is kept, in ms (platform's `status_s`).
    pub ended_retention_ms: Millis,
}

/// The two clocks that a decision needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Time since boot, suspended time included, in ms.
    pub mono: Millis,
    /// Time of day, in Unix ms.
    pub unix: Millis,
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobStatus {
    Active,
    Cancelled,
    Completed,
    Failed,
    Pending,
}

impl JobStatus {
    /// Returns the view of an ended job.
    pub fn from_end(end: JobEnd) -> Self {
        match end {
            JobEnd::Cancelled => Self::Cancelled,
            JobEnd::Completed => Self::Completed,
            JobEnd::Failed => Self::Failed,
        }
    }
}

/// How long an earlier owner may go on ordering after a newer one has claimed, in ms: an
/// owner stops when it has had neither the store nor half of its peers for so long.
pub const OWNER_STEP_DOWN_MS: Millis = 1_500;

/// How long after a takeover an unreachable executor that the platform lists no more may
/// still run something, in ms: it was silent for three heartbeats (4.5 s) of the longest
/// lease (6.1 s by its own clock), and a listing that a store outage dropped is back in 2 s.
const UNLISTED_SETTLED_MS: Millis = 3_000;

/// The scheduler of a set of pools.
#[derive(Debug)]
pub struct Cell {
    /// Number of this owner, from 1.
    pub token: FencingToken,
    pub bounds: CellBounds,
    pub config: Arc<FleetConfig>,
    pub executors: BTreeMap<ExecutorId, Executor>,
    pub jobs: BTreeMap<JobId, Job>,
    /// Durable ends, for callers' questions, and when each was taken in.
    pub ended: HashMap<JobId, (JobEnd, Millis)>,
    /// Cancellations that arrived before their job.
    pub pending_cancels: HashMap<JobId, Millis>,
    /// Executors of the earlier owner whose runs are not yet known.
    pub unreconciled: HashSet<ExecutorId>,
    /// When this owner took over.
    pub took_over_at: Millis,
    /// When the last lease ordered by an earlier owner has surely expired.
    pub quiet_at: Millis,
    /// What each organisation has running, on all executors.
    pub tenant_usage: HashMap<Arc<str>, Resources>,
    /// Tokens of jobs owed to each organisation: thousandths, and when refilled.
    pub rate_buckets: HashMap<Arc<str>, (u64, Millis)>,
    pub commit_queue: CommitQueue,
    /// Executors that the roster in the store names.
    pub roster: HashSet<ExecutorId>,
    pub roster_sent: Vec<ExecutorId>,
    pub advice_slots: AdviceSlots,
    /// Advice calls under way, and when each counts as lost.
    pub advice_calls: HashMap<CallId, (StepId, Vec<ExecutorId>, Millis)>,
    /// Whether something has happened since the last round that may let a task start.
    pub(super) needs_placement: bool,
    /// When the next round may place tasks.
    pub(super) next_round_at: Millis,
    pub(super) effects: Vec<CellEffect>,
    last_call: CallId,
}

impl Cell {
    /// Takes over with a new fencing token.
    pub fn new(
        token: FencingToken,
        bounds: CellBounds,
        config: Arc<FleetConfig>,
        old: RecoveredState,
        now: Now,
    ) -> Self {
        let mut cell = Self {
            token,
            bounds,
            config,
            executors: BTreeMap::new(),
            jobs: BTreeMap::new(),
            ended: HashMap::new(),
            pending_cancels: HashMap::new(),
            unreconciled: HashSet::new(),
            took_over_at: now.mono,
            quiet_at: now.mono
                + OWNER_STEP_DOWN_MS
                + bounds.lease_ms * 51 / 50
                + bounds.kill_grace_ms,
            tenant_usage: HashMap::new(),
            rate_buckets: HashMap::new(),
            commit_queue: CommitQueue::default(),
            roster: HashSet::new(),
            roster_sent: Vec::new(),
            advice_slots: AdviceSlots::default(),
            advice_calls: HashMap::new(),
            needs_placement: true,
            next_round_at: now.mono,
            effects: Vec::new(),
            last_call: 0,
        };
        for entry in old.roster {
            cell.roster.insert(entry.id.clone());
            cell.unreconciled.insert(entry.id.clone());
            cell.add_from_roster(&entry, now);
        }
        for (id, record, progress) in old.jobs {
            match record {
                JobRecord::Open(submission) => {
                    cell.add_job(submission, progress.as_ref(), true, now);
                }
                JobRecord::Ended { end, .. } => {
                    cell.ended.insert(id, (end, now.mono));
                }
            }
        }
        for id in old.cancelled {
            cell.cancel(id, now);
        }
        cell
    }

    /// Takes in one event.
    pub fn step(&mut self, event: CellEvent, now: Now) {
        // Answers and commits tell by themselves; most change nothing.
        let quiet = matches!(
            event,
            CellEvent::CommandResult { .. } | CellEvent::CommitResult { .. }
        );
        self.needs_placement |= !quiet;
        match event {
            CellEvent::Tick => self.tick(now),
            CellEvent::Config(config) => {
                if config.version >= self.config.version {
                    self.config = config;
                }
            }
            CellEvent::Listed(info) => self.on_listed(info, now),
            CellEvent::Unlisted(id) => self.on_unlisted(&id),
            CellEvent::Relisted(infos) => self.on_relisted(infos, now),
            CellEvent::Submitted(submission) => {
                let fresh = self.unreconciled.is_empty();
                self.add_job(*submission, None, !fresh, now);
            }
            CellEvent::Cancelled(id) => self.cancel(id, now),
            CellEvent::AdviceNodes(nodes) => self.advice_slots.set_nodes(nodes),
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
            CellEvent::CommitResult { call, ok } => self.on_commit_result(call, ok, now),
        }
    }

    /// Takes the effects collected so far.
    pub fn take_effects(&mut self) -> Vec<CellEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the state of a job as callers may see it; none if it is not known here.
    pub fn job_status(&self, id: JobId) -> Option<JobStatus> {
        if let Some((end, _)) = self.ended.get(&id) {
            return Some(JobStatus::from_end(*end));
        }
        let job = self.jobs.get(&id)?;
        match job.end {
            Some(end) if job.end_durable => Some(JobStatus::from_end(end)),
            _ if job.started => Some(JobStatus::Active),
            _ => Some(JobStatus::Pending),
        }
    }

    /// Counts the jobs of a queue that have not started.
    pub fn count_waiting(&self, queue: &str) -> usize {
        let waits = |j: &&Job| &*j.submission.queue.name == queue && !j.started && j.end.is_none();
        self.jobs.values().filter(waits).count()
    }

    /// Returns the rule of a job's queue: the one in force, else the one it was accepted with.
    pub fn queue_rule<'a>(&'a self, job: &'a Job) -> &'a QueueRule {
        let name = &job.submission.queue.name;
        self.config.queue(name).map_or(&job.submission.queue, |q| q)
    }

    pub(super) fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        self.last_call
    }

    pub(super) fn log(&mut self, event: FleetEvent, detail: String) {
        self.effects.push(CellEffect::Log { event, detail });
    }

    /// Returns the fencing token of orders to an executor.
    pub(super) fn command_token(&self, id: &ExecutorId) -> FencingToken {
        let incarnations = self.executors.get(id).map_or(0, |e| e.incarnations);
        self.token * INCARNATIONS_PER_OWNER + incarnations
    }

    /// Returns the first run number of this owner.
    pub(super) fn base_run_number(&self) -> u64 {
        (self.token - 1) * RUN_NUMBERS_PER_OWNER
    }

    /// Stops waiting for executors that have surely ended.
    fn drop_unlisted_unreconciled(&mut self, now: Now) {
        if now.mono < self.took_over_at + UNLISTED_SETTLED_MS {
            return;
        }
        let executors = &self.executors;
        self.unreconciled
            .retain(|id| executors.get(id).is_some_and(|e| e.listed));
    }

    fn tick(&mut self, now: Now) {
        self.drop_unlisted_unreconciled(now);
        if now.mono >= self.quiet_at && !self.unreconciled.is_empty() {
            let left = std::mem::take(&mut self.unreconciled);
            self.log(
                FleetEvent::ExecutorSilent,
                format!("leases of earlier owners expired; unreachable={left:?}"),
            );
        }
        self.unlist_missing(now);
        self.expire_leases(now);
        self.open_occurrences(now);
        self.expire_advice_calls(now);
        self.purge_ended(now);
        self.pending_cancels
            .retain(|_, at| now.mono < *at + self.bounds.ended_retention_ms);
    }

    fn open_occurrences(&mut self, now: Now) {
        let timed = self.jobs.values_mut().filter(|j| j.end.is_none());
        for job in timed {
            job.add_due_occurrences(now.unix);
        }
    }

    /// Adds to or takes from what an organisation has running.
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
