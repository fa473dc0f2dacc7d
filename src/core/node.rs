//! The state machine of one node, which combines the roles of entry node, shard owner, job
//! coordinator and quota coordinator. The app's core task and the tests' simulated cluster feed it
//! events through [`Node::step`] and execute the effects that it returns. It does no I/O, reads no
//! clock and takes randomness only from its seed.

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

/// Max ledger writes to the store by all nodes together, per second.
const LEDGER_WRITES_PER_S: u64 = 160;

/// Max ledger writes that a node sends at once after an idle time, as at a takeover.
const MAX_LEDGER_WRITE_BURST: u64 = 16;

/// Retention of the outcome of a job's task, by task id, in ms.
const JOB_OUTCOME_TTL_MS: Millis = 600_000;

/// Retention of the outcome of a request, by task id, in ms.
pub(super) const REQUEST_OUTCOME_TTL_MS: Millis = 60_000;

/// Interval at which leases, retries and timeouts are checked, in ms.
const RETRY_INTERVAL_MS: Millis = 200;

/// Interval of the invariant checks and of rebalancing the shard table, in ms.
const MAINTENANCE_INTERVAL_MS: Millis = 1_000;

/// Durations that differ between production and tests.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Interval of [`Event::Tick`], in ms.
    pub tick_ms: Millis,
    /// TTL of a worker's lease, in ms.
    pub worker_ttl_ms: Millis,
    /// How long a worker delays its reply to a renewal while no task ends, in ms.
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

/// State of a shard that this node owns. Dropped when the table names another owner or epoch, or
/// when a later owner has written the ledger.
#[derive(Debug)]
pub struct OwnedShard {
    /// Epoch at which the shard table names this node as the owner.
    pub epoch: Epoch,
    /// Durable state of the shard.
    pub ledger: Ledger,
    /// In-memory state of the jobs whose ids hash to this shard.
    pub jobs: JobCoordinator,
    /// Grants of the organisations whose names hash to this shard.
    pub quota_coordinator: QuotaCoordinator,
    /// Quotas that this shard was granted, by organisation; the version of each counts under its
    /// `coordinator_epoch`.
    pub quotas: BTreeMap<OrganisationName, ShardQuota>,
    /// Every worker in the durable roster is open at this epoch or certainly runs nothing.
    /// Once true, it stays true.
    pub fencing_done: bool,
    /// Ended tasks of jobs whose job coordinators have not acknowledged the end.
    pub unacked_ends: BTreeMap<TaskId, UnackedEnd>,
}

/// The end of a task that its job coordinator has not acknowledged yet.
#[derive(Clone, Debug)]
pub struct UnackedEnd {
    /// Shard whose owner is the job coordinator.
    pub coordinator: ShardId,
    pub outcome: TaskOutcome,
    /// When it was last sent.
    pub sent_at: Millis,
}

/// An owner report that its receiver has not acknowledged yet.
#[derive(Debug)]
pub(super) struct SentReport {
    pub to: NodeId,
    pub report: OwnerReport,
    /// When it was last sent.
    pub sent_at: Millis,
}

/// State and counts of a node, for operators, metrics and tests.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[allow(clippy::struct_excessive_bools)]
pub struct NodeView {
    pub state: NodeState,
    pub table_revision: u64,
    pub config_revision: u64,
    pub owned_shards: usize,
    /// Owned shards with [`OwnedShard::fencing_done`], which alone may place tasks.
    pub fenced_shards: usize,
    /// Workers of the owned shards, in any state.
    pub workers: usize,
    pub open_workers: usize,
    /// Tasks on the workers of the owned shards, reserved ones included.
    pub hosted_tasks: usize,
    /// Placements that wait for free capacity.
    #[serde(rename = "waiting_asks")]
    pub queued_placements: usize,
    /// Requests of callers that entered here and have not ended.
    pub pending_requests: usize,
    /// Jobs in the ledgers of the owned shards, kept ended ones included.
    pub jobs: usize,
    /// The store answered a recent call.
    pub store_ok: bool,
    /// See [`Cluster::config_trusted`].
    #[serde(rename = "fresh")]
    pub config_trusted: bool,
    /// The node is stopping gracefully.
    pub leaving: bool,
}

/// One node, driven by [`Node::step`].
#[derive(Debug)]
pub struct Node {
    /// Members, shard table and configuration as this node knows them.
    pub cluster: Cluster,
    pub(super) tuning: Tuning,
    /// Workers of the owned shards and the tasks on them.
    pub(super) worker_registry: WorkerRegistry,
    /// Placements that wait for free capacity here.
    pub(super) wait_queue: WaitQueue,
    pub(super) shards: BTreeMap<ShardId, OwnedShard>,
    /// Requests that entered here, and calls and releases without a reply.
    pub(super) request_registry: RequestRegistry,
    pub(super) rng: SmallRng,
    /// Free capacity of the own workers, as of `own_free_capacity_at`.
    pub(super) own_free_capacity: Vec<ShardFreeCapacity>,
    pub(super) own_free_capacity_at: Millis,
    /// Capacity of the open workers, as of the last maintenance or opening of a worker.
    pub(super) capacity: Resources,
    /// Resources committed on the own workers, by organisation.
    pub(super) organisation_usage: BTreeMap<OrganisationName, Resources>,
    /// Outcomes of tasks whose placement may be requested again.
    pub(super) outcomes: BTreeMap<TaskId, TaskOutcome>,
    /// When to remove the entries of `outcomes`.
    outcome_expiries: BTreeSet<(Millis, TaskId)>,
    /// Worker calls without a reply; the task is `None` for a call about the lease.
    pub(super) worker_calls: BTreeMap<CallId, (WorkerId, Option<TaskId>)>,
    /// The platform's latest list of workers.
    pub(super) vm_list: Vec<VmRecord>,
    /// Owner reports without an acknowledgement, by number.
    pub(super) unacked_reports: BTreeMap<u64, SentReport>,
    /// New owner reports must be sent: the shard table or the set of fenced shards has changed.
    pub(super) owner_reports_due: bool,
    /// Quota coordinators' states that arrived before the shard table named this node.
    quota_handovers: BTreeMap<ShardId, QuotaHandover>,
    /// When more quota was last requested, by organisation and shard.
    pub(super) quota_requested_at: BTreeMap<(OrganisationName, ShardId), Millis>,
    /// Store calls about configuration changes without a reply.
    pub(super) config_calls: BTreeMap<CallId, ConfigCall>,
    /// Operators' calls that wait until a revision is in force: deadline, call and revision.
    pub(super) config_waiters: Vec<(Millis, ReplyId, u64)>,
    /// Accumulated permission for ledger writes; a write costs 1000 for each member.
    ledger_write_credit: u64,
    /// Shard that is polled first for a write, so that all get their turn.
    next_ledger: u16,
    next_maintenance_at: Millis,
    next_retry_at: Millis,
    /// Table revision that `shards` corresponds to.
    synced_table_revision: u64,
    pub(super) state: NodeState,
    /// Last number given to an owner report or a coordinator call.
    pub(super) last_message_id: u64,
    /// A change may allow placements from `wait_queue`; reset when the queue is next drained.
    pub(super) queue_changed: bool,
}

impl Node {
    /// Creates a node without table, configuration or shards. The same seed and events give the
    /// same effects.
    pub fn new(record: NodeRecord, tuning: Tuning, seed: u64) -> Self {
        Self {
            cluster: Cluster::new(record),
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
            owner_reports_due: false,
            quota_handovers: BTreeMap::new(),
            quota_requested_at: BTreeMap::new(),
            config_calls: BTreeMap::new(),
            config_waiters: Vec::new(),
            ledger_write_credit: 0,
            next_ledger: 0,
            next_maintenance_at: 0,
            next_retry_at: 0,
            synced_table_revision: 0,
            state: chart::node().initial,
            last_message_id: 0,
            queue_changed: false,
        }
    }

    /// Returns this node's id.
    pub fn id(&self) -> &NodeId {
        &self.cluster.own_record.id
    }

    /// Handles one event and returns the effects for the caller to execute. Messages to this node
    /// itself are handled in the same step.
    pub fn step(&mut self, event: Event, now: Millis, out: &mut EffectBuffer) -> Vec<Effect> {
        self.handle_event(event, now, out);
        self.sync_owned_shards(now, out);
        self.drain_queue(now, out);
        let mut effects = Vec::new();
        loop {
            let (to_self, outgoing): (Vec<_>, Vec<_>) = out
                .take()
                .into_iter()
                .partition(|e| matches!(e, Effect::Send { to, .. } if to == self.id()));
            effects.extend(outgoing);
            if to_self.is_empty() {
                return effects;
            }
            for effect in to_self {
                if let Effect::Send { message, .. } = effect {
                    let from = self.id().clone();
                    self.handle_message(&from, message, now, out);
                }
            }
            self.sync_owned_shards(now, out);
            self.drain_queue(now, out);
        }
    }

    fn handle_event(&mut self, event: Event, now: Millis, out: &mut EffectBuffer) {
        match event {
            Event::Tick => self.handle_tick(now, out),
            Event::Message { from, message } => self.handle_message(&from, message, now, out),
            Event::Store { call, result } => self.handle_store_reply(call, result, now, out),
            Event::Worker { call, reply } => self.handle_worker_reply(call, reply, now, out),
            Event::VmList(list) => self.vm_list = list,
            Event::Request { reply, request } => self.handle_request(reply, request, now, out),
            Event::RequestEnded { reply, outcome } => {
                self.handle_request_end(reply, outcome, now, out);
            }
            Event::Job { reply, call } => self.handle_job_call(reply, call, now, out),
            Event::Admin { reply, call } => self.handle_admin_call(reply, call, now, out),
            Event::Stop => self.handle_stop(now, out),
        }
    }

    fn handle_tick(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.cluster.poll_due(now) {
            let summary = self.worker_registry.free_capacity(now);
            let queued = u32::try_from(self.wait_queue.len()).unwrap_or(u32::MAX);
            self.cluster.run_periodic(now, &summary, queued, out);
        }
        self.poll_ledgers(now, out);
        self.assign_waiting_tasks(now, out);
        self.retry_requests(now, out);
        if now >= self.next_retry_at {
            self.next_retry_at = now + RETRY_INTERVAL_MS;
            self.drive_workers(now, out);
            self.send_due_reports(now, out);
            self.resend_quota_grants(now, out);
            self.retry_jobs(now, out);
        }
        self.expire_queued_placements(now, out);
        if now >= self.next_maintenance_at {
            self.next_maintenance_at = now + MAINTENANCE_INTERVAL_MS;
            self.run_maintenance(now, out);
        }
    }

    fn run_maintenance(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.cluster.config.revision > 0 {
            chart::node().apply(&mut self.state, NodeEvent::ConfigRead);
        }
        self.sync_roster(now, out);
        self.capacity = self.worker_registry.open_capacity();
        self.stop_orphaned_tasks(now, out);
        self.forget_outcomes(now);
        self.answer_config_waiters(now, out);
        let violation = self.worker_registry.check_invariants();
        out.check_invariant(violation.is_none(), || {
            violation.clone().unwrap_or_default()
        });
        if !self.is_stopping() || self.ledgers_flushed() {
            let weights = self.shard_weights();
            let write_id = self.rng.random();
            self.cluster.propose_table(&weights, write_id, now, out);
        }
        self.queue_changed = true;
    }

    /// Returns true once a graceful stop was requested.
    pub(super) fn is_stopping(&self) -> bool {
        self.state == NodeState::Leaving
    }

    fn ledgers_flushed(&self) -> bool {
        self.shards.values().all(|s| s.ledger.is_flushed())
    }

    /// Weighs each shard by the listed workers, so that rebalancing spreads them over the nodes.
    fn shard_weights(&self) -> Vec<u32> {
        let mut weights = vec![0; usize::from(SHARD_COUNT)];
        for vm in &self.vm_list {
            weights[usize::from(ShardId::of(vm.rack.as_str()).0)] += 8;
        }
        weights
    }

    /// Starts a graceful stop: refuses all queued placements and schedules maintenance at once,
    /// which proposes a shard table without this node when the ledgers are flushed.
    fn handle_stop(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.is_stopping() {
            return;
        }
        chart::node().apply(&mut self.state, NodeEvent::StopRequested);
        self.cluster.own_record.leaving = true;
        self.cluster.write_own_record(now, out);
        out.log(LogEvent::DaemonStopping, "");
        for waiting in self.wait_queue.remove_where(|_| true) {
            let message = refusal_message(&waiting, RefuseReason::Stopping);
            self.record_outcome(&waiting.request.spec, TaskOutcome::NotRun, now);
            out.send(&waiting.from, message);
        }
        self.next_maintenance_at = now;
    }

    /// Returns true once a requested graceful stop has nothing left to wait for.
    ///
    /// While the store is down the shards cannot be handed over; the workers' tasks then continue
    /// under their leases until a new owner opens the workers.
    pub fn shutdown_complete(&self, now: Millis) -> bool {
        let handed_over = self.shards.is_empty() || !self.cluster.store_ok(now);
        self.is_stopping()
            && handed_over
            && self.request_registry.pending.is_empty()
            && self.request_registry.releases.is_empty()
    }

    fn handle_message(
        &mut self,
        from: &NodeId,
        message: Message,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
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

    fn handle_store_reply(
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
        self.apply_ledger_progress(now, out);
    }

    /// Drops and adds owned shards to match a new revision of the shard table.
    fn sync_owned_shards(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.synced_table_revision == self.cluster.table.revision {
            return;
        }
        self.synced_table_revision = self.cluster.table.revision;
        let table: ShardTable = self.cluster.table.clone();
        let own_id = self.id().clone();
        let not_owned: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(id, s)| !table.owns(&own_id, **id, s.epoch))
            .map(|(id, _)| *id)
            .collect();
        for shard in not_owned {
            self.remove_shard(shard, now, out);
        }
        // A handover only serves the epoch after its own.
        self.quota_handovers
            .retain(|id, state| table.entry(*id).epoch.0 <= state.epoch.0 + 1);
        for (shard, epoch) in table.owned_by(&own_id) {
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
        let handover_shards: Vec<ShardId> = self.quota_handovers.keys().copied().collect();
        for shard in handover_shards {
            self.apply_quota_handover(shard);
        }
        self.reset_quota_versions();
        self.owner_reports_due = true;
        self.unacked_reports.clear();
    }

    /// Stops acting as the owner of a shard. Its tasks continue under the new owner; its queued
    /// placements are refused.
    pub(super) fn remove_shard(&mut self, shard: ShardId, now: Millis, out: &mut EffectBuffer) {
        let Some(owned) = self.shards.remove(&shard) else {
            return;
        };
        let new_owner = self.cluster.table.owner(shard);
        if let (Some(new_owner), Some(state)) =
            (new_owner, owned.quota_coordinator.handover_state())
        {
            out.send(new_owner, Message::QuotaHandover { shard, state });
        }
        out.log(LogEvent::ShardLost, format!("shard {shard}"));
        for id in self.worker_registry.ids_in_shard(shard) {
            if let Some(worker) = self.worker_registry.remove(&id) {
                for hosted in worker.tasks.values() {
                    self.sub_usage(&hosted.spec.organisation, &hosted.spec.need);
                }
            }
        }
        let removed = self
            .wait_queue
            .remove_where(|w| w.request.shard.is_some_and(|(s, _)| s == shard));
        for waiting in removed {
            self.record_outcome(&waiting.request.spec, TaskOutcome::NotRun, now);
            out.send(
                &waiting.from,
                refusal_message(&waiting, RefuseReason::Stopping),
            );
        }
    }

    /// Keeps the state from a former quota coordinator until this node owns the shard.
    fn handle_quota_handover(&mut self, shard: ShardId, state: QuotaHandover) {
        let is_newer = self
            .quota_handovers
            .get(&shard)
            .is_none_or(|s| s.epoch < state.epoch);
        if is_newer {
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

    /// Polls the ledgers in turn. Each node earns credit at the rate of [`LEDGER_WRITES_PER_S`] and
    /// pays for a write once per member, so that all nodes together stay within that rate.
    fn poll_ledgers(&mut self, now: Millis, out: &mut EffectBuffer) {
        let members = self.cluster.other_members().count() as u64 + 1;
        let credit_per_tick = self.tuning.tick_ms * LEDGER_WRITES_PER_S;
        let credit_per_write = 1_000 * members;
        self.ledger_write_credit = (self.ledger_write_credit + credit_per_tick)
            .min(MAX_LEDGER_WRITE_BURST * credit_per_write.max(credit_per_tick));
        for offset in 0..SHARD_COUNT {
            let id = ShardId((self.next_ledger + offset) % SHARD_COUNT);
            let Some(shard) = self.shards.get_mut(&id) else {
                continue;
            };
            let may_write = self.ledger_write_credit >= credit_per_write;
            if shard.ledger.poll(now, may_write, out) {
                self.ledger_write_credit -= credit_per_write;
                self.next_ledger = (id.0 + 1) % SHARD_COUNT;
            }
        }
        self.apply_ledger_progress(now, out);
    }

    /// Acts on ledgers that became ready or durable, or that a later owner has superseded.
    fn apply_ledger_progress(&mut self, now: Millis, out: &mut EffectBuffer) {
        let superseded: Vec<ShardId> = self
            .shards
            .iter()
            .filter(|(_, s)| s.ledger.is_superseded())
            .map(|(id, _)| *id)
            .collect();
        for shard in superseded {
            self.remove_shard(shard, now, out);
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

    /// Replaces the configuration if the given one has a higher revision.
    pub(super) fn adopt_config(&mut self, config: Arc<Config>, out: &mut EffectBuffer) {
        self.cluster.adopt_config(config, out);
    }

    /// Revokes a caller's key by its digest and forwards a new revocation to all members.
    pub(super) fn revoke(&mut self, digest: &Arc<str>, out: &mut EffectBuffer) {
        if !self.cluster.revoke(digest.clone(), out) {
            return;
        }
        let others: Vec<NodeId> = self.cluster.other_members().cloned().collect();
        for id in others {
            out.send(&id, Message::Revoked(vec![digest.clone()]));
        }
    }

    /// Records the final outcome of a task id, so that a late duplicate request is not run.
    pub(super) fn record_outcome(&mut self, spec: &TaskSpec, outcome: TaskOutcome, now: Millis) {
        let ttl_ms = match spec.kind {
            TaskKind::Job => JOB_OUTCOME_TTL_MS,
            TaskKind::Request => REQUEST_OUTCOME_TTL_MS,
        };
        self.record_outcome_for(&spec.id, outcome, ttl_ms, now);
    }

    /// Records an outcome for `ttl_ms`.
    pub(super) fn record_outcome_for(
        &mut self,
        task: &TaskId,
        outcome: TaskOutcome,
        ttl_ms: Millis,
        now: Millis,
    ) {
        self.outcomes.insert(task.clone(), outcome);
        self.outcome_expiries.insert((now + ttl_ms, task.clone()));
    }

    fn forget_outcomes(&mut self, now: Millis) {
        while let Some((expires_at, task)) = self.outcome_expiries.first().cloned() {
            if expires_at > now {
                break;
            }
            self.outcome_expiries.pop_first();
            self.outcomes.remove(&task);
        }
    }

    /// Returns the node's state and counts as of `now`.
    pub fn view(&self, now: Millis) -> NodeView {
        let is_open = |w: &&crate::core::Worker| w.state == crate::core::WorkerState::Open;
        NodeView {
            state: self.state,
            table_revision: self.cluster.table.revision,
            config_revision: self.cluster.config.revision,
            owned_shards: self.shards.len(),
            fenced_shards: self.shards.values().filter(|s| s.fencing_done).count(),
            workers: self.worker_registry.iter().count(),
            open_workers: self.worker_registry.iter().filter(is_open).count(),
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
            leaving: self.cluster.own_record.leaving,
        }
    }

    /// Returns the workers of the owned shards and the tasks on them.
    pub fn workers(&self) -> &WorkerRegistry {
        &self.worker_registry
    }

    /// Iterates over the jobs that this node coordinates, as far as their ledgers are ready.
    pub fn jobs(&self) -> impl Iterator<Item = &crate::core::JobRecord> {
        let ready = self.shards.values().filter(|s| s.ledger.is_ready());
        ready.flat_map(|s| s.ledger.value.jobs.values())
    }
}
