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
    pub keep_ended_ms: Millis,
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
    pub fn of_end(end: JobEnd) -> Self {
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
    pub early_cancels: HashMap<JobId, Millis>,
    /// Executors of the earlier owner whose runs are not yet known.
    pub unsettled: HashSet<ExecutorId>,
    /// When this owner took over.
    pub since: Millis,
    /// When the last lease ordered by an earlier owner has surely expired.
    pub quiet_at: Millis,
    /// What each organisation has running, on all executors.
    pub tenant_use: HashMap<Arc<str>, Resources>,
    /// Tokens of jobs owed to each organisation: thousandths, and when refilled.
    pub tenant_rate: HashMap<Arc<str>, (u64, Millis)>,
    pub commits: CommitQueue,
    /// Executors that the roster in the store names.
    pub roster: HashSet<ExecutorId>,
    pub roster_sent: Vec<ExecutorId>,
    pub lanes: AdviceSlots,
    /// Advice calls under way, and when each counts as lost.
    pub advice_calls: HashMap<CallId, (StepId, Vec<ExecutorId>, Millis)>,
    /// Whether something has happened since the last round that may let a task start.
    pub(super) changed: bool,
    /// When the next round may place tasks.
    pub(super) place_after: Millis,
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
            early_cancels: HashMap::new(),
            unsettled: HashSet::new(),
            since: now.mono,
            quiet_at: now.mono
                + OWNER_STEP_DOWN_MS
                + bounds.lease_ms * 51 / 50
                + bounds.kill_grace_ms,
            tenant_use: HashMap::new(),
            tenant_rate: HashMap::new(),
            commits: CommitQueue::default(),
            roster: HashSet::new(),
            roster_sent: Vec::new(),
            lanes: AdviceSlots::default(),
            advice_calls: HashMap::new(),
            changed: true,
            place_after: now.mono,
            effects: Vec::new(),
            last_call: 0,
        };
        for entry in old.roster {
            cell.roster.insert(entry.id.clone());
            cell.unsettled.insert(entry.id.clone());
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
            CellEvent::Answer { .. } | CellEvent::Committed { .. }
        );
        self.changed |= !quiet;
        match event {
            CellEvent::Tick => self.tick(now),
            CellEvent::Config(config) => {
                if config.version >= self.config.version {
                    self.config = config;
                }
            }
            CellEvent::Listed(info) => self.listed(info, now),
            CellEvent::Unlisted(id) => self.unlisted(&id),
            CellEvent::Relisted(infos) => self.relisted(infos, now),
            CellEvent::Submitted(submission) => {
                let fresh = self.unsettled.is_empty();
                self.add_job(*submission, None, !fresh, now);
            }
            CellEvent::Cancelled(id) => self.cancel(id, now),
            CellEvent::AdviceNodes(nodes) => self.lanes.set(nodes),
            CellEvent::Answer {
                call,
                executor,
                result,
            } => self.answered(call, &executor, result, now),
            CellEvent::Advice {
                call,
                good,
                valid_ms,
            } => self.advised(call, good, valid_ms, now),
            CellEvent::Committed { call, ok } => self.committed(call, ok, now),
        }
    }

    /// Takes the effects collected so far.
    pub fn take_effects(&mut self) -> Vec<CellEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the state of a job as callers may see it; none if it is not known here.
    pub fn view(&self, id: JobId) -> Option<JobStatus> {
        if let Some((end, _)) = self.ended.get(&id) {
            return Some(JobStatus::of_end(*end));
        }
        let job = self.jobs.get(&id)?;
        match job.end {
            Some(end) if job.end_durable => Some(JobStatus::of_end(end)),
            _ if job.started => Some(JobStatus::Active),
            _ => Some(JobStatus::Pending),
        }
    }

    /// Counts the jobs of a queue that have not started.
    pub fn waiting(&self, queue: &str) -> usize {
        let waits = |j: &&Job| &*j.submission.queue.name == queue && !j.started && j.end.is_none();
        self.jobs.values().filter(waits).count()
    }

    /// Returns the rule of a job's queue: the one in force, else the one it was accepted with.
    pub fn rule<'a>(&'a self, job: &'a Job) -> &'a QueueRule {
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
    pub(super) fn order_token(&self, id: &ExecutorId) -> FencingToken {
        let lives = self.executors.get(id).map_or(0, |e| e.lives);
        self.token * INCARNATIONS_PER_OWNER + lives
    }

    /// Returns the first run number of this owner.
    pub(super) fn first_run(&self) -> u64 {
        (self.token - 1) * RUN_NUMBERS_PER_OWNER
    }

    /// Stops waiting for executors that have surely ended.
    fn settle_unlisted(&mut self, now: Now) {
        if now.mono < self.since + UNLISTED_SETTLED_MS {
            return;
        }
        let executors = &self.executors;
        self.unsettled
            .retain(|id| executors.get(id).is_some_and(|e| e.listed));
    }

    fn tick(&mut self, now: Now) {
        self.settle_unlisted(now);
        if now.mono >= self.quiet_at && !self.unsettled.is_empty() {
            let left = std::mem::take(&mut self.unsettled);
            self.log(
                FleetEvent::ExecutorSilent,
                format!("leases of earlier owners expired; unreachable={left:?}"),
            );
        }
        self.unlist_missing(now);
        self.expire_silent(now);
        self.open_occurrences(now);
        self.expire_advice(now);
        self.forget_ended(now);
        self.early_cancels
            .retain(|_, at| now.mono < *at + self.bounds.keep_ended_ms);
    }

    fn open_occurrences(&mut self, now: Now) {
        let timed = self.jobs.values_mut().filter(|j| j.end.is_none());
        for job in timed {
            job.open_due(now.unix);
        }
    }

    /// Adds to or takes from what an organisation has running.
    pub(super) fn count_use(&mut self, job: JobId, need: &Resources, add: bool) {
        let tenant = self
            .jobs
            .get(&job)
            .and_then(|j| j.submission.tenant.clone());
        let Some(tenant) = tenant else { return };
        let used = self.tenant_use.entry(tenant).or_default();
        if add {
            used.add(need);
        } else {
            *used = used.minus(need);
        }
    }
}
