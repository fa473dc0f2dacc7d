//! The job coordinator's assignment of waiting tasks to shards and its requests to place them.
//! Called by `Node` on ticks and ledger progress. No owner may be contacted before the assignment
//! is durable in the ledger.

use {
    crate::{
        chart::{self, JobEvent, TaskEvent},
        core::{
            EffectBuffer, JobId, JobKind, JobRecord, JobState, Message, Millis, Node, NodeId,
            OrganisationName, PlacementRequest, PoolName, Resources, ShardFreeCapacity, ShardId,
            TaskId, TaskKind, TaskRun, TaskSpec, TaskStage,
            job_coordinator::{AssignedRun, QueueKey, RunPhase},
            node_jobs::recovering_run,
        },
    },
    rand::Rng,
    std::collections::BTreeMap,
};

/// Max placement requests of one organisation that one job coordinator has open at owners, counted
/// as assigned runs that do not run yet.
const MAX_UNPLACED: usize = 32;

/// How long a placement request waits at an owner for free capacity, in ms.
const PLACEMENT_WAIT_MS: Millis = 10_000;

/// Interval at which a message without a reply is repeated, in ms.
const RESEND_INTERVAL_MS: Millis = 1_000;

/// Max age of the summary of the own workers' free capacity, in ms.
const FREE_CAPACITY_MAX_AGE_MS: Millis = 100;

impl Node {
    /// Sends placement requests for the tasks whose assignments became durable.
    pub(super) fn request_persisted_runs(
        &mut self,
        id: ShardId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let ledger = &shard.ledger;
        let ready: Vec<TaskId> = shard
            .jobs
            .assigned_runs
            .iter()
            .filter(|(_, s)| matches!(s.phase, RunPhase::Persisting(c) if ledger.is_durable(c)))
            .map(|(task, _)| task.clone())
            .collect();
        for task in ready {
            if let Some(assigned) = self.assigned_run_mut(id, &task) {
                assigned.phase = RunPhase::Requested;
                assigned.requested_at = now;
            }
            self.send_run_message(id, &task, now, out);
        }
    }

    /// Sends the shard's owner the message that the phase of an assigned run requires, if any.
    pub(super) fn send_run_message(
        &mut self,
        id: ShardId,
        task: &TaskId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let own_id = self.id().clone();
        let table = &self.cluster.table;
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(assigned) = shard.jobs.assigned_runs.get_mut(task) else {
            return;
        };
        let Some(job) = shard.ledger.value.jobs.get(&assigned.job) else {
            return;
        };
        let Some(owner) = table.owner(assigned.shard) else {
            return;
        };
        assigned.sent_at = now;
        let message = match assigned.phase {
            RunPhase::Requested => Message::Place(PlacementRequest {
                spec: task_spec(task, job, assigned.index, own_id),
                shard: Some((assigned.shard, assigned.epoch)),
                reserve: job.spec.kind == JobKind::Gang,
                timeout_ms: PLACEMENT_WAIT_MS,
            }),
            RunPhase::StartRequested => Message::StartReserved { task: task.clone() },
            RunPhase::Stopping => Message::Release {
                task: task.clone(),
                shard: Some(assigned.shard),
                epoch: Some(assigned.epoch),
                finished: false,
            },
            RunPhase::Persisting(_)
            | RunPhase::Recovering
            | RunPhase::Reserved
            | RunPhase::Running => {
                return;
            }
        };
        out.send(owner, message);
    }

    /// Repeats the messages of runs whose last one was sent [`RESEND_INTERVAL_MS`] ago.
    pub(super) fn resend_run_messages(&mut self, id: ShardId, now: Millis, out: &mut EffectBuffer) {
        let due: Vec<TaskId> = self.shards[&id]
            .jobs
            .assigned_runs
            .iter()
            .filter(|(_, s)| now >= s.sent_at + RESEND_INTERVAL_MS)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            self.send_run_message(id, &task, now, out);
        }
    }

    /// Recomputes the own free capacity if it is older than [`FREE_CAPACITY_MAX_AGE_MS`].
    pub(super) fn refresh_own_free_capacity(&mut self, now: Millis) {
        if now >= self.own_free_capacity_at + FREE_CAPACITY_MAX_AGE_MS {
            self.own_free_capacity_at = now;
            self.own_free_capacity = self.worker_registry.free_capacity(now);
        }
    }

    /// Assigns the waiting tasks of one shard's jobs in order of service, up to [`MAX_UNPLACED`]
    /// for each organisation, where a queued gang counts as one; skips jobs that back off.
    pub(super) fn assign_waiting(&mut self, id: ShardId, now: Millis) {
        if self.shards[&id].jobs.waiting.is_empty() {
            return;
        }
        let mut pending = self.pending_by_shard();
        let organisations: Vec<OrganisationName> =
            self.shards[&id].jobs.waiting.keys().cloned().collect();
        for organisation in organisations {
            let shard = &self.shards[&id];
            let unplaced = shard
                .jobs
                .unplaced_count(&shard.ledger.value.jobs, &organisation);
            let remaining = MAX_UNPLACED.saturating_sub(unplaced);
            if remaining == 0 {
                continue;
            }
            let candidates: Vec<(QueueKey, JobId, usize)> = shard.jobs.waiting[&organisation]
                .iter()
                .filter(|(_, (job, _))| shard.jobs.retry_after.get(job).is_none_or(|t| now >= *t))
                .take(remaining)
                .map(|(key, (job, index))| (*key, job.clone(), *index))
                .collect();
            for (queue_key, job, index) in candidates {
                if self.assign(id, &job, index, &mut pending, now)
                    && let Some(shard) = self.shards.get_mut(&id)
                    && let Some(queue) = shard.jobs.waiting.get_mut(&organisation)
                {
                    queue.remove(&queue_key);
                }
            }
            if let Some(shard) = self.shards.get_mut(&id) {
                shard.jobs.waiting.retain(|_, queue| !queue.is_empty());
            }
        }
    }

    /// Assigns a task, or all tasks of a gang. Returns true if its entry must leave the queue.
    pub(super) fn assign(
        &mut self,
        id: ShardId,
        job_id: &JobId,
        index: usize,
        pending: &mut BTreeMap<ShardId, u32>,
        now: Millis,
    ) -> bool {
        let Some(job) = self.shards[&id].ledger.value.jobs.get(job_id) else {
            return true;
        };
        let gang = job.spec.kind == JobKind::Gang;
        let indexes: Vec<usize> = if gang {
            (0..job.tasks.len()).collect()
        } else {
            vec![index]
        };
        let all_waiting = indexes
            .iter()
            .all(|i| job.tasks[*i].stage == TaskStage::Waiting);
        if job.state.is_terminal() || job.state == JobState::Cancelling {
            return true;
        }
        if !all_waiting {
            return !gang;
        }
        let spec = job.spec.clone();
        let mut targets = Vec::new();
        for _ in &indexes {
            let Some(target) = self.choose_shard(&spec.pool, &spec.need, pending, now) else {
                self.back_off(id, job_id, now);
                return false;
            };
            *pending.entry(target).or_default() += 1;
            targets.push(target);
        }
        self.persist_assignments(id, job_id, &indexes, &targets, now);
        true
    }

    /// Adds runs on the target shards to the ledger. They are requested once the change is durable.
    pub(super) fn persist_assignments(
        &mut self,
        id: ShardId,
        job_id: &JobId,
        indexes: &[usize],
        targets: &[ShardId],
        now: Millis,
    ) {
        let runs: Vec<TaskRun> = targets
            .iter()
            .map(|shard| TaskRun {
                id: self.new_task_id(),
                shard: *shard,
                epoch: self.cluster.table.entry(*shard).epoch,
            })
            .collect();
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let change = shard.ledger.record_change();
        let Some(job) = shard.ledger.value.jobs.get_mut(job_id) else {
            return;
        };
        chart::job().apply(&mut job.state, JobEvent::Assigned);
        for (index, run) in indexes.iter().zip(runs) {
            let assigned = AssignedRun {
                phase: RunPhase::Persisting(change),
                sent_at: now,
                ..recovering_run(job, *index, &run)
            };
            shard.jobs.assigned_runs.insert(run.id.clone(), assigned);
            chart::task().apply(&mut job.tasks[*index].stage, TaskEvent::Assigned);
            job.tasks[*index].run = Some(run);
        }
    }

    /// Returns a random id of 128 bits in hexadecimal.
    pub(super) fn new_task_id(&mut self) -> TaskId {
        let (a, b): (u64, u64) = (self.rng.random(), self.rng.random());
        TaskId::from(format!("{a:016x}{b:016x}"))
    }

    /// Counts the assigned runs without a placement by shard.
    pub(super) fn pending_by_shard(&self) -> BTreeMap<ShardId, u32> {
        let mut pending = BTreeMap::new();
        for assigned in self
            .shards
            .values()
            .flat_map(|s| s.jobs.assigned_runs.values())
        {
            if matches!(
                assigned.phase,
                RunPhase::Persisting(_) | RunPhase::Requested
            ) {
                *pending.entry(assigned.shard).or_default() += 1;
            }
        }
        pending
    }

    /// Chooses a shard for a task at random, weighted by the free slots in the owners' summaries
    /// less the runs in `pending`. A shard with no worker free for it now keeps a weight of 1.
    /// Returns `None` if no shard of the pool has a worker that is large enough.
    pub(super) fn choose_shard(
        &mut self,
        pool: &PoolName,
        need: &Resources,
        pending: &BTreeMap<ShardId, u32>,
        now: Millis,
    ) -> Option<ShardId> {
        self.refresh_own_free_capacity(now);
        let own_entries = &self.own_free_capacity;
        let table = &self.cluster.table;
        let own_id = &self.cluster.own_record.id;
        let peers = self.cluster.peers.iter();
        let peer_entries = peers.flat_map(|(id, v)| v.free_capacity.iter().map(move |f| (id, f)));
        let entries = own_entries.iter().map(|f| (own_id, f)).chain(peer_entries);
        let fitting: Vec<&ShardFreeCapacity> = entries
            .filter(|(id, f)| table.owner(f.shard) == Some(*id))
            .map(|(_, f)| f)
            .filter(|f| f.pool == *pool && f.worker_capacity.covers(need))
            .collect();
        let weight = |f: &ShardFreeCapacity| {
            let pending_tasks = pending.get(&f.shard).copied().unwrap_or(0);
            let free = f
                .free_slots
                .saturating_sub(pending_tasks * need.slots.max(1));
            if f.max_free.covers(need) {
                1 + 16 * free
            } else {
                1
            }
        };
        let total: u32 = fitting.iter().map(|f| weight(f)).sum();
        if total == 0 {
            return None;
        }
        let mut draw = self.rng.random_range(0..total);
        for f in fitting {
            let shard_weight = weight(f);
            if draw < shard_weight {
                return Some(f.shard);
            }
            draw -= shard_weight;
        }
        None
    }
}

/// Builds the spec of an assigned run that is sent to the owner; replies go to `requester`.
fn task_spec(task: &TaskId, job: &JobRecord, index: usize, requester: NodeId) -> TaskSpec {
    TaskSpec {
        id: task.clone(),
        organisation: job.organisation.clone(),
        pool: job.spec.pool.clone(),
        need: job.spec.need,
        kind: TaskKind::Job,
        priority: job.spec.priority,
        job: Some(job.id.clone()),
        task_index: u32::try_from(index).unwrap_or(u32::MAX),
        run_ms: job.spec.run_ms,
        pack: job.spec.pack,
        requester,
    }
}
