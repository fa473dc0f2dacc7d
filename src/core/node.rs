//! One node: the roles of entry, shard owner, job home and team home in one state machine.

use {
    crate::{
        chart::{self, NodeEvent, NodeState},
        core::{
            CallId, Cluster, Config, Effect, EffectBuffer, Epoch, Event, JobCoordinator, Ledger,
            LogEvent, Message, Millis, NodeId, NodeRecord, OrganisationName, OwnerReport,
            QuotaCoordinator, QuotaHandover, RefuseReason, ReplyId, RequestRegistry, Resources,
            SHARD_COUNT, ShardFreeCapacity, ShardId, ShardQuota, ShardTable, StoreReply,
            StoreUnavailable, TaskId, TaskKind, TaskOutcome, TaskSpec, VmRecord, WaitQueue,
            WorkerId, WorkerRegistry, node_config::ConfigCall, wait_queue::refusal_message,
        },
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Store writes a second that all nodes together spend on ledgers.
const LEDGER_WRITES_PER_S: u64 = 160;

/// Ledger writes that a node may send at once after a pause, as at a takeover.
const LEDGER_BURST: u64 = 16;

/// How long the id of a settled job task is remembered, in ms.
const JOB_OUTCOME_TTL_MS: Millis = 600_000;

/// How long the id of a settled request is remembered, in ms.
pub(super) const REQUEST_OUTCOME_TTL_MS: Millis = 60_000;

/// Period at which leases, repeats and time-outs are looked at, in ms.
const REPEAT_TICK_MS: Millis = 200;

/// Period of the audit and of the table's balance, in ms.
const UPKEEP_MS: Millis = 1_000;

/// Durations that differ between production and tests.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Period of [`Event::Tick`], in ms.
    pub tick_ms: Millis,
    /// Life of a worker's lease without renewal, in ms.
    pub worker_ttl_ms: Millis,
    /// How long a worker holds a renewal open when nothing ends, in ms.
    pub renew_long_poll_ms: Millis,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            tick_ms: 50,
            worker_ttl_ms: 30_000,
            renew_long_poll_ms: 8_000,
        }
    }
}

/// What this node keeps for a shard that it owns.
#[derive(Debug)]
pub struct OwnedShard {
    pub epoch: Epoch,
    pub ledger: Ledger,
    pub jobs: JobCoordinator,
    pub quota_coordinator: QuotaCoordinator,
    /// Allowances by team, under the home epoch in `coordinator_epoch`.
    pub quotas: BTreeMap<OrganisationName, ShardQuota>,
    /// Every worker in the durable roster is open at this epoch or surely runs nothing.
    /// Never turns false again.
    pub fencing_done: bool,
    /// Ended job tasks whose homes have not acknowledged them.
    pub unacked_ends: BTreeMap<TaskId, UnackedEnd>,
}

/// An ended task that its home has yet to acknowledge.
#[derive(Clone, Debug)]
pub struct UnackedEnd {
    pub coordinator: ShardId,
    pub outcome: TaskOutcome,
    pub sent_at: Millis,
}

/// A report that the addressee has yet to acknowledge.
#[derive(Debug)]
pub(super) struct SentReport {
    pub to: NodeId,
    pub report: OwnerReport,
    pub sent_at: Millis,
}

/// Counts of a node, for operators and tests.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[allow(clippy::struct_excessive_bools)]
pub struct NodeView {
    pub state: NodeState,
    pub table_revision: u64,
    pub config_revision: u64,
    pub owned_shards: usize,
    pub fenced_shards: usize,
    pub workers: usize,
    pub open_workers: usize,
    pub hosted_tasks: usize,
    #[serde(rename = "waiting_asks")]
    pub queued_placements: usize,
    pub pending_requests: usize,
    pub jobs: usize,
    pub store_ok: bool,
    #[serde(rename = "fresh")]
    pub config_trusted: bool,
    pub leaving: bool,
}

/// The state machine of one node.
#[derive(Debug)]
pub struct Node {
    pub cluster: Cluster,
    pub(super) tuning: Tuning,
    pub(super) worker_registry: WorkerRegistry,
    pub(super) wait_queue: WaitQueue,
    pub(super) shards: BTreeMap<ShardId, OwnedShard>,
    pub(super) request_registry: RequestRegistry,
    pub(super) rng: SmallRng,
    /// Resources committed here by team.
    /// Room on the own workers, as of `own_free_capacity_at`.
    pub(super) own_free_capacity: Vec<ShardFreeCapacity>,
    pub(super) own_free_capacity_at: Millis,
    /// Capacity of the open workers, as of the last upkeep.
    pub(super) capacity: Resources,
    pub(super) organisation_usage: BTreeMap<OrganisationName, Resources>,
    /// Outcomes of tasks that may be asked for again.
    pub(super) outcomes: BTreeMap<TaskId, TaskOutcome>,
    outcome_expiries: BTreeSet<(Millis, TaskId)>,
    pub(super) worker_calls: BTreeMap<CallId, (WorkerId, Option<TaskId>)>,
    pub(super) vm_list: Vec<VmRecord>,
    pub(super) unacked_reports: BTreeMap<u64, SentReport>,
    pub(super) reports_due: bool,
    /// States of homes passed to this node ahead of the table.
    quota_handovers: BTreeMap<ShardId, QuotaHandover>,
    pub(super) quota_requested_at: BTreeMap<(OrganisationName, ShardId), Millis>,
    pub(super) config_calls: BTreeMap<CallId, ConfigCall>,
    pub(super) config_waiters: Vec<(Millis, ReplyId, u64)>,
    write_credit: u64,
    ledger_turn: u16,
    upkeep_at: Millis,
    repeat_at: Millis,
    known_table: u64,
    pub(super) state: NodeState,
    pub(super) last_message_id: u64,
    pub(super) queue_dirty: bool,
}

impl Node {
    /// Creates a node that knows nothing of the cluster yet.
    pub fn new(me: NodeRecord, tuning: Tuning, seed: u64) -> Self {
        Self {
            cluster: Cluster::new(me),
            tuning,
            worker_registry: WorkerRegistry::default(),
            wait_queue: WaitQueue::default(),
            shards: BTreeMap::new(),
            request_registry: RequestRegistry::default(),
            rng: SmallRng::seed_from_u64(seed),
            own_free_capacity: Vec::new(),
            own_free_capacity_at: 0,
            capacity: Resources::default(),
            organisation_usage: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            outcome_expiries: BTreeSet::new(),
            worker_calls: BTreeMap::new(),
            vm_list: Vec::new(),
            unacked_reports: BTreeMap::new(),
            reports_due: false,
            quota_handovers: BTreeMap::new(),
            quota_requested_at: BTreeMap::new(),
            config_calls: BTreeMap::new(),
            config_waiters: Vec::new(),
            write_credit: 0,
            ledger_turn: 0,
            upkeep_at: 0,
            repeat_at: 0,
            known_table: 0,
            state: chart::node().initial,
            last_message_id: 0,
            queue_dirty: false,
        }
    }

    /// Returns this node's id.
    pub fn id(&self) -> &NodeId {
        &self.cluster.me.id
    }

    /// Handles one event; messages to this node itself are handled in the same step.
    pub fn step(&mut self, event: Event, now: Millis, out: &mut EffectBuffer) -> Vec<Effect> {
        self.handle(event, now, out);
        self.sync_owned_shards(now, out);
        self.drain_queue(now, out);
        let mut effects = Vec::new();
        loop {
            let (own, others): (Vec<_>, Vec<_>) = out
                .take()
                .into_iter()
                .partition(|e| matches!(e, Effect::Send { to, .. } if to == self.id()));
            effects.extend(others);
            if own.is_empty() {
                return effects;
            }
            for effect in own {
                if let Effect::Send { message, .. } = effect {
                    let from = self.id().clone();
                    self.message(&from, message, now, out);
                }
            }
            self.sync_owned_shards(now, out);
            self.drain_queue(now, out);
        }
    }

    fn handle(&mut self, event: Event, now: Millis, out: &mut EffectBuffer) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Message { from, message } => self.message(&from, message, now, out),
            Event::Store { call, result } => self.store_answer(call, result, now, out),
            Event::Worker { call, answer } => self.handle_worker_reply(call, answer, now, out),
            Event::VmList(list) => self.vm_list = list,
            Event::Request { reply, request } => self.handle_request(reply, request, now, out),
            Event::RequestEnded { reply, outcome } => {
                self.handle_request_end(reply, outcome, now, out);
            }
            Event::Job { reply, call } => self.handle_job_call(reply, call, now, out),
            Event::Admin { reply, call } => self.handle_admin_call(reply, call, now, out),
            Event::Stop => self.stop(now, out),
        }
    }

    fn tick(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.cluster.poll_due(now) {
            let summary = self.worker_registry.free_capacity(now);
            let queued = u32::try_from(self.wait_queue.len()).unwrap_or(u32::MAX);
            self.cluster.poll(now, &summary, queued, out);
        }
        self.poll_ledgers(now, out);
        self.assign_waiting_tasks(now, out);
        self.retry_requests(now, out);
        if now >= self.repeat_at {
            self.repeat_at = now + REPEAT_TICK_MS;
            self.drive_workers(now, out);
            self.send_due_reports(now, out);
            self.resend_quota_grants(now, out);
            self.retry_jobs(now, out);
        }
        self.expire_queued_placements(now, out);
        if now >= self.upkeep_at {
            self.upkeep_at = now + UPKEEP_MS;
            self.upkeep(now, out);
        }
    }

    fn upkeep(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.cluster.config.revision > 0 {
            chart::node().apply(&mut self.state, NodeEvent::ConfigRead);
        }
        self.sync_roster(now, out);
        self.capacity = self.worker_registry.open_capacity();
        self.stop_orphans(now, out);
        self.forget_outcomes(now);
        self.answer_config_waiters(now, out);
        let broken = self.worker_registry.check_invariants();
        out.check_invariant(broken.is_none(), || broken.clone().unwrap_or_default());
        if !self.stopping() || self.ledgers_flushed() {
            let weights = self.shard_weights();
            let write_id = self.rng.random();
            self.cluster.propose_table(&weights, write_id, now, out);
        }
        self.queue_dirty = true;
    }

    /// Tells whether a graceful stop was asked for.
    pub(super) fn stopping(&self) -> bool {
        self.state == NodeState::Leaving
    }

    fn ledgers_flushed(&self) -> bool {
        self.shards.values().all(|s| s.ledger.is_flushed())
    }

    fn shard_weights(&self) -> Vec<u32> {
        let mut weights = vec![0; usize::from(SHARD_COUNT)];
        for vm in &self.vm_list {
            weights[usize::from(ShardId::of(vm.rack.as_str()).0)] += 8;
        }
        weights
    }

    fn stop(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.stopping() {
            return;
        }
        chart::node().apply(&mut self.state, NodeEvent::StopRequested);
        self.cluster.me.leaving = true;
        self.cluster.register(now, out);
        out.log(LogEvent::DaemonStopping, "");
        for waiting in self.wait_queue.remove_where(|_| true) {
            let message = refusal_message(&waiting, RefuseReason::Stopping);
            self.record_outcome(&waiting.request.spec, TaskOutcome::NotRun, now);
            out.send(&waiting.from, message);
        }
        self.upkeep_at = now;
    }

    /// Tells whether a graceful stop has nothing left to wait for.
    ///
    /// While the store is down the shards cannot be handed over; the workers' tasks
    /// then go on under their leases until a new owner opens them.
    pub fn shutdown_complete(&self, now: Millis) -> bool {
        let handed_over = self.shards.is_empty() || !self.cluster.store_ok(now);
        self.stopping()
            && handed_over
            && self.request_registry.pending.is_empty()
            && self.request_registry.releases.is_empty()
    }

    fn message(&mut self, from: &NodeId, message: Message, now: Millis, out: &mut EffectBuffer) {
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat, now, out),
            Message::Table(table) => {
                self.cluster.adopt_table(table, out);
            }
            Message::Config(config) => self.adopt_config(config, out),
            Message::Revoked(digests) => {
                for digest in digests {
                    self.revoke(&digest, out);
                }
            }
            Message::Place(request) => self.handle_place(from, request, now, out),
            Message::Placed {
                task,
                kind,
                shard,
                worker,
                address,
                fence,
            } => {
                self.handle_placed(from, &task, kind, (shard, worker, address, fence), now, out);
            }
            Message::Refused { task, reason } => self.handle_refused(from, &task, reason, now, out),
            Message::StartReserved { task } => self.handle_start_reserved(from, &task, now, out),
            Message::Release {
                task,
                shard,
                epoch,
                finished,
            } => {
                self.handle_release(from, &task, (shard, epoch), finished, now, out);
            }
            Message::Released { task } => {
                self.request_registry.releases.remove(&task);
            }
            Message::TaskEnded {
                task,
                outcome,
                coordinator,
            } => self.handle_task_ended(from, &task, (outcome, coordinator), now, out),
            Message::TaskEndedAck { task } => {
                for shard in self.shards.values_mut() {
                    shard.unacked_ends.remove(&task);
                }
            }
            Message::QuotaRequest {
                organisation,
                shard,
                epoch,
                coordinator_epoch,
                demand,
            } => {
                self.handle_quota_request(
                    &organisation,
                    (shard, epoch),
                    coordinator_epoch,
                    demand,
                    now,
                    out,
                );
            }
            Message::QuotaGrant {
                organisation,
                shard,
                epoch,
                coordinator_epoch,
                version,
                amount,
            } => {
                self.handle_quota_grant(
                    &organisation,
                    (shard, epoch),
                    coordinator_epoch,
                    (version, amount),
                    out,
                );
            }
            Message::QuotaStatus {
                epoch,
                coordinator_epoch,
                status,
            } => {
                self.handle_quota_status(epoch, coordinator_epoch, &status, now, out);
            }
            Message::QuotaHandover { shard, state } => self.handle_quota_handover(shard, state),
            Message::OwnerReport { number, report } => {
                self.handle_owner_report(from, number, &report, now, out);
            }
            Message::OwnerReportAck { number } => {
                self.unacked_reports.remove(&number);
            }
            Message::CoordinatorCall { call, body } => {
                self.handle_coordinator_call(from, call, body, now, out);
            }
            Message::CoordinatorReply { call, body } => {
                self.handle_coordinator_reply(call, body, now, out);
            }
        }
    }

    fn store_answer(
        &mut self,
        call: CallId,
        result: Result<StoreReply, StoreUnavailable>,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if self.cluster.handle_store_reply(call, &result, now, out) {
            return;
        }
        if let Some(config_call) = self.config_calls.remove(&call) {
            self.handle_config_store_reply(config_call, result, now, out);
            return;
        }
        for shard in self.shards.values_mut() {
            if shard.ledger.handle_store_reply(call, &result, now, out) {
                break;
            }
        }
        self.after_ledgers(now, out);
    }

    /// Adjusts the owned shards to the table.
    fn sync_owned_shards(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.known_table == self.cluster.table.revision {
            return;
        }
        self.known_table = self.cluster.table.revision;
        let table: ShardTable = self.cluster.table.clone();
        let me = self.id().clone();
        let lost: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(id, s)| !table.owns(&me, **id, s.epoch))
            .map(|(id, _)| *id)
            .collect();
        for shard in lost {
            self.lose_shard(shard, now, out);
        }
        self.quota_handovers
            .retain(|id, state| table.entry(*id).epoch.0 <= state.epoch.0 + 1);
        for (shard, epoch) in table.owned_by(&me) {
            self.shards.entry(shard).or_insert_with(|| OwnedShard {
                epoch,
                ledger: Ledger::new(shard, epoch),
                jobs: JobCoordinator::default(),
                quota_coordinator: QuotaCoordinator::new(epoch),
                quotas: BTreeMap::new(),
                fencing_done: false,
                unacked_ends: BTreeMap::new(),
            });
        }
        let passed: Vec<ShardId> = self.quota_handovers.keys().copied().collect();
        for shard in passed {
            self.apply_quota_handover(shard);
        }
        self.reset_quota_versions();
        self.reports_due = true;
        self.unacked_reports.clear();
    }

    /// Stops acting for a shard; its tasks go on under the new owner.
    pub(super) fn lose_shard(&mut self, shard: ShardId, now: Millis, out: &mut EffectBuffer) {
        let Some(owned) = self.shards.remove(&shard) else {
            return;
        };
        let next = self.cluster.table.owner(shard);
        if let (Some(next), Some(state)) = (next, owned.quota_coordinator.handover_state()) {
            out.send(next, Message::QuotaHandover { shard, state });
        }
        out.log(LogEvent::ShardLost, format!("shard {shard}"));
        for id in self.worker_registry.ids_in_shard(shard) {
            if let Some(worker) = self.worker_registry.remove(&id) {
                for hosted in worker.tasks.values() {
                    self.sub_usage(&hosted.spec.organisation, &hosted.spec.need);
                }
            }
        }
        let gone = self
            .wait_queue
            .remove_where(|w| w.request.shard.is_some_and(|(s, _)| s == shard));
        for waiting in gone {
            self.record_outcome(&waiting.request.spec, TaskOutcome::NotRun, now);
            out.send(
                &waiting.from,
                refusal_message(&waiting, RefuseReason::Stopping),
            );
        }
    }

    /// Keeps the state passed by a former home until this node owns the shard.
    fn handle_quota_handover(&mut self, shard: ShardId, state: QuotaHandover) {
        let newer = self
            .quota_handovers
            .get(&shard)
            .is_none_or(|s| s.epoch < state.epoch);
        if newer {
            self.quota_handovers.insert(shard, state);
        }
        self.apply_quota_handover(shard);
    }

    fn apply_quota_handover(&mut self, shard: ShardId) {
        let Some(owned) = self.shards.get_mut(&shard) else {
            return;
        };
        if let Some(state) = self.quota_handovers.remove(&shard) {
            owned.quota_coordinator.restore(&state);
        }
    }

    fn poll_ledgers(&mut self, now: Millis, out: &mut EffectBuffer) {
        let members = self.cluster.other_members().count() as u64 + 1;
        let gain = self.tuning.tick_ms * LEDGER_WRITES_PER_S;
        let price = 1_000 * members;
        self.write_credit = (self.write_credit + gain).min(LEDGER_BURST * price.max(gain));
        for step in 0..SHARD_COUNT {
            let id = ShardId((self.ledger_turn + step) % SHARD_COUNT);
            let Some(shard) = self.shards.get_mut(&id) else {
                continue;
            };
            let may_write = self.write_credit >= price;
            if shard.ledger.poll(now, may_write, out) {
                self.write_credit -= price;
                self.ledger_turn = (id.0 + 1) % SHARD_COUNT;
            }
        }
        self.after_ledgers(now, out);
    }

    /// Acts on ledgers that became ready, durable or lost.
    fn after_ledgers(&mut self, now: Millis, out: &mut EffectBuffer) {
        let lost: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, s)| s.ledger.is_superseded())
            .map(|(id, _)| *id)
            .collect();
        for shard in lost {
            self.lose_shard(shard, now, out);
        }
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            self.on_ledger_progress(id, now, out);
        }
    }

    fn handle_heartbeat(
        &mut self,
        from: &NodeId,
        heartbeat: crate::core::Heartbeat,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        self.request_registry.in_flight.remove(from);
        self.cluster.handle_heartbeat(from, heartbeat, now, out);
    }

    pub(super) fn adopt_config(&mut self, config: Arc<Config>, out: &mut EffectBuffer) {
        self.cluster.adopt_config(config, out);
    }

    pub(super) fn revoke(&mut self, digest: &Arc<str>, out: &mut EffectBuffer) {
        if !self.cluster.revoke(digest.clone(), out) {
            return;
        }
        let others: Vec<NodeId> = self.cluster.other_members().cloned().collect();
        for id in others {
            out.send(&id, Message::Revoked(vec![digest.clone()]));
        }
    }

    /// Notes the final outcome of a task id, so that a late repeat is not run.
    pub(super) fn record_outcome(&mut self, spec: &TaskSpec, outcome: TaskOutcome, now: Millis) {
        let keep = match spec.kind {
            TaskKind::Job => JOB_OUTCOME_TTL_MS,
            TaskKind::Request => REQUEST_OUTCOME_TTL_MS,
        };
        self.record_outcome_for(&spec.id, outcome, keep, now);
    }

    /// Notes an outcome for `keep` ms.
    pub(super) fn record_outcome_for(
        &mut self,
        task: &TaskId,
        outcome: TaskOutcome,
        keep: Millis,
        now: Millis,
    ) {
        self.outcomes.insert(task.clone(), outcome);
        self.outcome_expiries.insert((now + keep, task.clone()));
    }

    fn forget_outcomes(&mut self, now: Millis) {
        while let Some((until, task)) = self.outcome_expiries.first().cloned() {
            if until > now {
                break;
            }
            self.outcome_expiries.pop_first();
            self.outcomes.remove(&task);
        }
    }

    /// Summarises the node's state.
    pub fn view(&self, now: Millis) -> NodeView {
        let open = |w: &&crate::core::Worker| w.state == crate::core::WorkerState::Open;
        NodeView {
            state: self.state,
            table_revision: self.cluster.table.revision,
            config_revision: self.cluster.config.revision,
            owned_shards: self.shards.len(),
            fenced_shards: self.shards.values().filter(|s| s.fencing_done).count(),
            workers: self.worker_registry.iter().count(),
            open_workers: self.worker_registry.iter().filter(open).count(),
            hosted_tasks: self.worker_registry.iter().map(|w| w.tasks.len()).sum(),
            queued_placements: self.wait_queue.len(),
            pending_requests: self.request_registry.pending.len(),
            jobs: self
                .shards
                .values()
                .map(|s| s.ledger.value.jobs.len())
                .sum(),
            store_ok: self.cluster.store_ok(now),
            config_trusted: self.cluster.config_trusted(now),
            leaving: self.cluster.me.leaving,
        }
    }

    /// Returns the workers of the owned shards.
    pub fn workers(&self) -> &WorkerRegistry {
        &self.worker_registry
    }

    /// Iterates over the jobs whose home is here.
    pub fn jobs(&self) -> impl Iterator<Item = &crate::core::JobRecord> {
        let ready = self.shards.values().filter(|s| s.ledger.is_ready());
        ready.flat_map(|s| s.ledger.value.jobs.values())
    }
}
