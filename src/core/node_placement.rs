//! The shard owner's placement of tasks on workers, and their release.
//!
//! Called for `Place`, `StartReserved` and `Release` messages, for ended tasks and after each step
//! to drain the queue. Must not place without quota or on a shard whose fencing is not done.

use crate::core::{
    EffectBuffer, Epoch, HostedStage, HostedTask, Message, Millis, Node, NodeId, OrganisationName,
    PlacementRequest, RefuseReason, Resources, ShardId, ShardQuota, TaskId, TaskKind, TaskOutcome,
    node::REQUEST_OUTCOME_TTL_MS,
    wait_queue::{QueuedPlacement, refusal_message},
};

/// Grace period in ms before a reserved task whose gang has not started, or a dispatched one whose
/// entry node is gone, is released.
const ORPHAN_GRACE_MS: Millis = 3_000;

/// Max queued placements of one organisation and pool that are tried before the next queue.
const MAX_TRIED_PER_QUEUE: usize = 4;

impl Node {
    /// Handles a placement request: places or queues the task, or refuses it.
    ///
    /// A repeated request for a hosted or ended task gets the earlier outcome again.
    pub(super) fn handle_place(
        &mut self,
        from: &NodeId,
        request: PlacementRequest,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let task = request.spec.id.clone();
        if let Some((hosted, _)) = self.worker_registry.task_mut(&task) {
            hosted.spec.requester = request.spec.requester;
            self.send_placed(&task, out);
            return;
        }
        if self.wait_queue.contains(&task) {
            return;
        }
        if let Some(outcome) = self.outcomes.get(&task).copied() {
            send_recorded_outcome(from, &request, outcome, out);
            return;
        }
        let refusal = self.immediate_refusal(&request);
        let queued = QueuedPlacement {
            from: from.clone(),
            expires_at: now + request.timeout_ms,
            request,
        };
        if let Some(reason) = refusal {
            self.refuse(&queued, reason, now, out);
            return;
        }
        if queued.request.reserve {
            if let Err(reason) = self.try_place(&queued.request, now, out) {
                self.refuse(&queued, reason, now, out);
            }
            return;
        }
        if !self.wait_queue.push(queued.clone()) {
            self.refuse(&queued, RefuseReason::QueueFull, now, out);
        }
        self.queue_changed = true;
    }

    /// Returns why a request can be refused before it is queued: the shard is not owned and
    /// fenced under the requested epoch, the node is stopping, or no worker of the pool would fit
    /// the task even when empty.
    pub(super) fn immediate_refusal(&self, request: &PlacementRequest) -> Option<RefuseReason> {
        if let Some((id, epoch)) = request.shard {
            let owned = self.shards.get(&id);
            if !owned.is_some_and(|s| s.epoch == epoch && s.fencing_done) {
                return Some(RefuseReason::NotOwner);
            }
        }
        if self.is_stopping() {
            return Some(RefuseReason::Stopping);
        }
        let shard = request.shard.map(|(id, _)| id);
        let could_fit =
            self.worker_registry
                .any_could_fit(&request.spec.pool, &request.spec.need, shard);
        (!could_fit).then_some(RefuseReason::NeverFits)
    }

    /// Sends a refusal and records that the task did not run, so that a repeated request is refused
    /// too. After `NotOwner` nothing is recorded: this node may become able to place the task.
    pub(super) fn refuse(
        &mut self,
        queued: &QueuedPlacement,
        reason: RefuseReason,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if reason != RefuseReason::NotOwner {
            self.record_outcome(&queued.request.spec, TaskOutcome::NotRun, now);
        }
        out.send(&queued.from, refusal_message(queued, reason));
    }

    /// Refuses queued placements whose wait time has expired.
    pub(super) fn expire_queued_placements(&mut self, now: Millis, out: &mut EffectBuffer) {
        for queued in self.wait_queue.remove_expired(now) {
            self.refuse(&queued, RefuseReason::Deadline, now, out);
        }
    }

    /// Places queued tasks while free capacity and quota last, if anything has changed.
    pub(super) fn drain_queue(&mut self, now: Millis, out: &mut EffectBuffer) {
        if !self.queue_changed {
            return;
        }
        self.queue_changed = false;
        while !self.wait_queue.is_empty() && self.place_next(now, out) {}
    }

    /// Places one queued task, urgent queues first, then organisations by dominant share over their
    /// configured share; returns false if none could be placed.
    pub(super) fn place_next(&mut self, now: Millis, out: &mut EffectBuffer) -> bool {
        let capacity = self.capacity;
        let (usage, config) = (&self.organisation_usage, &self.cluster.config);
        let order = self.wait_queue.service_order(|organisation| {
            let amount = usage.get(organisation).copied().unwrap_or_default();
            amount.dominant_share(&capacity) / f64::from(config.share(organisation))
        });
        for key in order {
            for task in self.wait_queue.first_tasks(&key, MAX_TRIED_PER_QUEUE) {
                let Some(request) = self.wait_queue.get(&task).map(|w| w.request.clone()) else {
                    continue;
                };
                if self.try_place(&request, now, out).is_ok() {
                    self.wait_queue.remove(&task);
                    return true;
                }
            }
        }
        false
    }

    /// Commits a worker and a unit of quota to a task.
    ///
    /// Returns `NoRoom` if no allowed worker has the free capacity. If only quota is missing,
    /// requests more from the quota coordinator and returns `TeamLimit`.
    pub(super) fn try_place(
        &mut self,
        request: &PlacementRequest,
        now: Millis,
        out: &mut EffectBuffer,
    ) -> Result<(), RefuseReason> {
        let spec = &request.spec;
        let required_shard = request.shard.map(|(id, _)| id);
        let shards = &self.shards;
        let is_allowed = |id: ShardId| {
            required_shard.is_none_or(|s| s == id)
                && shards.get(&id).is_some_and(|s| s.fencing_done)
        };
        let has_quota = |id: ShardId| {
            let quota = shards
                .get(&id)
                .and_then(|s| s.quotas.get(&spec.organisation));
            is_allowed(id) && quota.is_some_and(|q| q.used < q.amount)
        };
        let fit = self
            .worker_registry
            .find_fit(&spec.pool, &spec.need, spec.pack, now, has_quota);
        let Some(worker) = fit else {
            let fit_without_quota = self
                .worker_registry
                .find_fit(&spec.pool, &spec.need, spec.pack, now, is_allowed);
            let shard = fit_without_quota
                .map(|w| w.shard)
                .ok_or(RefuseReason::NoRoom)?;
            let queued_count = self
                .wait_queue
                .counts_by_organisation()
                .get(&spec.organisation)
                .copied()
                .unwrap_or(1);
            self.request_quota(shard, &spec.organisation, queued_count, now, out);
            return Err(RefuseReason::TeamLimit);
        };
        let (id, shard, fence) = (worker.vm.id.clone(), worker.shard, worker.fence);
        let acquired = self
            .shard_quota_mut(shard, &spec.organisation)
            .is_some_and(ShardQuota::try_acquire);
        out.check_invariant(acquired, || {
            format!("task {} placed without quota", spec.id)
        });
        let stage = match (request.reserve, spec.kind) {
            (true, _) => HostedStage::Reserved,
            (false, TaskKind::Job) => HostedStage::Starting,
            (false, TaskKind::Request) => HostedStage::Dispatched,
        };
        self.add_usage(&spec.organisation, &spec.need);
        let hosted = HostedTask {
            spec: spec.clone(),
            stage,
            placed_at: now,
            fence,
            sent_at: 0,
        };
        self.worker_registry.add_task(&id, hosted);
        self.send_task_ops(&id, now, out);
        self.send_placed(&spec.id, out);
        Ok(())
    }

    /// Sends the requester of a hosted task its worker and fencing token.
    pub(super) fn send_placed(&mut self, task: &TaskId, out: &mut EffectBuffer) {
        let Some(worker) = self.worker_registry.host_of(task) else {
            return;
        };
        let hosted = &worker.tasks[task];
        let message = Message::Placed {
            task: task.clone(),
            kind: hosted.spec.kind,
            shard: worker.shard,
            worker: worker.vm.id.clone(),
            address: worker.vm.address.clone(),
            fence: hosted.fence,
        };
        out.send(&hosted.spec.requester, message);
    }

    /// Starts a reserved task; a repeated request gets the same reply.
    pub(super) fn handle_start_reserved(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some((hosted, vm)) = self.worker_registry.task_mut(task) else {
            if let Some(outcome) = self.outcomes.get(task).copied() {
                out.send(from, task_ended_message(task, outcome));
            }
            return;
        };
        if hosted.stage == HostedStage::Reserved {
            hosted.stage = HostedStage::Starting;
            hosted.sent_at = 0;
            let id = vm.id.clone();
            self.send_task_ops(&id, now, out);
        }
        self.send_placed(task, out);
    }

    /// Releases a task for its requester: dequeues it, frees what it has reserved, or stops it.
    ///
    /// Unless queued here, ignored for a shard that is not owned or whose fencing is not done: the
    /// task may run there unknown to this node.
    pub(super) fn handle_release(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        (shard, epoch): (Option<ShardId>, Option<Epoch>),
        finished: bool,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if let Some(queued) = self.wait_queue.remove(task) {
            self.refuse(&queued, RefuseReason::Deadline, now, out);
            out.send(from, Message::Released { task: task.clone() });
            return;
        }
        if shard.is_some_and(|id| !self.shards.get(&id).is_some_and(|s| s.fencing_done)) {
            return;
        }
        let Some((hosted, vm)) = self.worker_registry.task_mut(task) else {
            self.release_unknown(from, task, shard.zip(epoch), now, out);
            return;
        };
        let id = vm.id.clone();
        match hosted.stage {
            HostedStage::Reserved => self.finish_task(task, TaskOutcome::NotRun, now, out),
            HostedStage::Dispatched if finished => {
                self.finish_task(task, TaskOutcome::Done, now, out);
            }
            HostedStage::Stopping => {}
            HostedStage::Dispatched | HostedStage::Starting | HostedStage::Running => {
                hosted.stage = HostedStage::Stopping;
                hosted.sent_at = 0;
                self.send_task_ops(&id, now, out);
            }
        }
    }

    /// Replies to the release of a task that has nothing reserved here and never will.
    ///
    /// Gives no reply for a job's task of an earlier epoch whose outcome is not recorded here:
    /// only that owner and the worker know it, and the owner report to the job coordinator
    /// resolves it.
    pub(super) fn release_unknown(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        assigned: Option<(ShardId, Epoch)>,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let recorded = self.outcomes.get(task).copied();
        let epoch_current = assigned
            .is_none_or(|(id, epoch)| self.shards.get(&id).is_some_and(|s| s.epoch == epoch));
        if recorded.is_none() && !epoch_current {
            return;
        }
        let outcome = recorded.unwrap_or(TaskOutcome::NotRun);
        self.record_outcome_for(task, outcome, REQUEST_OUTCOME_TTL_MS, now);
        if assigned.is_some() {
            out.send(from, task_ended_message(task, outcome));
        } else {
            out.send(from, Message::Released { task: task.clone() });
        }
    }

    /// Releases requests whose entry node is gone and reserved tasks whose gang did not start.
    pub(super) fn stop_orphaned_tasks(&mut self, now: Millis, out: &mut EffectBuffer) {
        let mut orphans = Vec::new();
        for hosted in self.worker_registry.iter().flat_map(|w| w.tasks.values()) {
            let grace_expired = now >= hosted.placed_at + ORPHAN_GRACE_MS;
            let is_orphan = match hosted.stage {
                HostedStage::Reserved => grace_expired,
                HostedStage::Dispatched => {
                    grace_expired && !self.cluster.is_alive(&hosted.spec.requester, now)
                }
                _ => false,
            };
            if is_orphan {
                orphans.push(hosted.spec.id.clone());
            }
        }
        for task in orphans {
            let me = self.id().clone();
            self.handle_release(&me, &task, (None, None), false, now, out);
        }
    }

    /// Adds a placed task's resources to its organisation's usage, which orders the wait queue.
    pub(super) fn add_usage(&mut self, organisation: &OrganisationName, need: &Resources) {
        self.organisation_usage
            .entry(organisation.clone())
            .or_default()
            .add(need);
    }

    /// Subtracts a task's resources from its organisation's usage, when it ends or its shard moves.
    pub(super) fn sub_usage(&mut self, organisation: &OrganisationName, need: &Resources) {
        if let Some(used) = self.organisation_usage.get_mut(organisation) {
            *used = used.saturating_sub(need);
        }
    }

    /// Frees a task's resources and quota and reports its outcome to its requester.
    pub(super) fn finish_task(
        &mut self,
        task: &TaskId,
        outcome: TaskOutcome,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let worker_id = self.worker_registry.host_of(task).map(|w| w.vm.id.clone());
        let Some((hosted, shard)) = self.worker_registry.remove_task(task) else {
            return;
        };
        let spec = hosted.spec;
        self.queue_changed = true;
        self.sub_usage(&spec.organisation, &spec.need);
        self.record_outcome(&spec, outcome, now);
        self.release_quota(shard, &spec.organisation, out);
        if let Some(worker) = worker_id {
            self.record_health(&worker, &spec, outcome, now, out);
        }
        match (&spec.job, spec.kind) {
            (Some(job), TaskKind::Job) => {
                self.report_task_end(shard, job, &spec.id, outcome, now, out);
            }
            _ => out.send(&spec.requester, Message::Released { task: spec.id }),
        }
    }
}

/// Replies to a repeated placement request with the recorded outcome of its task.
fn send_recorded_outcome(
    from: &NodeId,
    request: &PlacementRequest,
    outcome: TaskOutcome,
    out: &mut EffectBuffer,
) {
    let task = &request.spec.id;
    let message = match (request.spec.kind, outcome) {
        (TaskKind::Job, TaskOutcome::NotRun) | (TaskKind::Request, _) => Message::Refused {
            task: task.clone(),
            reason: RefuseReason::Deadline,
        },
        (TaskKind::Job, _) => task_ended_message(task, outcome),
    };
    out.send(from, message);
}

/// Builds a direct reply with a task's outcome, which the job coordinator does not acknowledge.
fn task_ended_message(task: &TaskId, outcome: TaskOutcome) -> Message {
    Message::TaskEnded {
        task: task.clone(),
        outcome,
        coordinator: None,
    }
}
