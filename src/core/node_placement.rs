//! The owner role: placement of tasks and their release.

use crate::core::{
    EffectBuffer, Epoch, HostedStage, HostedTask, Message, Millis, Node, NodeId, OrganisationName,
    PlacementRequest, RefuseReason, Resources, ShardId, ShardQuota, TaskId, TaskKind, TaskOutcome,
    node::REQUEST_OUTCOME_TTL_MS,
    wait_queue::{QueuedPlacement, refusal_message},
};

/// How long a held task waits for its gang, in ms.
const HOLD_MS: Millis = 3_000;

/// How many asks of a lane are tried before the next lane.
const LANE_HEADS: usize = 4;

impl Node {
    /// Handles an ask for placement.
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
            answer_settled(from, &request, outcome, out);
            return;
        }
        let refuse = self.refuse_at_once(&request);
        let waiting = QueuedPlacement {
            from: from.clone(),
            expires_at: now + request.wait_ms,
            request,
        };
        if let Some(reason) = refuse {
            self.refuse(&waiting, reason, now, out);
            return;
        }
        if waiting.request.reserve {
            if let Err(reason) = self.try_place(&waiting.request, now, out) {
                self.refuse(&waiting, reason, now, out);
            }
            return;
        }
        if !self.wait_queue.push(waiting.clone()) {
            self.refuse(&waiting, RefuseReason::QueueFull, now, out);
        }
        self.queue_dirty = true;
    }

    pub(super) fn refuse_at_once(&self, request: &PlacementRequest) -> Option<RefuseReason> {
        if let Some((id, epoch)) = request.shard {
            let owned = self.shards.get(&id);
            if !owned.is_some_and(|s| s.epoch == epoch && s.fencing_done) {
                return Some(RefuseReason::NotOwner);
            }
        }
        if self.stopping() {
            return Some(RefuseReason::Stopping);
        }
        let shard = request.shard.map(|(id, _)| id);
        let could =
            self.worker_registry
                .any_could_fit(&request.spec.pool, &request.spec.need, shard);
        (!could).then_some(RefuseReason::NeverFits)
    }

    pub(super) fn refuse(
        &mut self,
        waiting: &QueuedPlacement,
        reason: RefuseReason,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if reason != RefuseReason::NotOwner {
            self.record_outcome(&waiting.request.spec, TaskOutcome::NotRun, now);
        }
        out.send(&waiting.from, refusal_message(waiting, reason));
    }

    /// Refuses asks whose wait has ended.
    pub(super) fn expire_queued_placements(&mut self, now: Millis, out: &mut EffectBuffer) {
        for waiting in self.wait_queue.remove_expired(now) {
            self.refuse(&waiting, RefuseReason::Deadline, now, out);
        }
    }

    /// Places waiting asks while room and tokens last.
    pub(super) fn drain_queue(&mut self, now: Millis, out: &mut EffectBuffer) {
        if !self.queue_dirty {
            return;
        }
        self.queue_dirty = false;
        while !self.wait_queue.is_empty() && self.place_next(now, out) {}
    }

    pub(super) fn place_next(&mut self, now: Millis, out: &mut EffectBuffer) -> bool {
        let capacity = self.capacity;
        let (uses, config) = (&self.organisation_usage, &self.cluster.config);
        let order = self.wait_queue.service_order(|organisation| {
            let amount = uses.get(organisation).copied().unwrap_or_default();
            amount.dominant_share(&capacity) / f64::from(config.share(organisation))
        });
        for lane in order {
            for task in self.wait_queue.first_tasks(&lane, LANE_HEADS) {
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

    /// Commits a worker and a token to a task, or says what is missing.
    pub(super) fn try_place(
        &mut self,
        request: &PlacementRequest,
        now: Millis,
        out: &mut EffectBuffer,
    ) -> Result<(), RefuseReason> {
        let spec = &request.spec;
        let only = request.shard.map(|(id, _)| id);
        let shards = &self.shards;
        let fenced = |id: ShardId| {
            only.is_none_or(|o| o == id) && shards.get(&id).is_some_and(|s| s.fencing_done)
        };
        let granted = |id: ShardId| {
            let quota = shards
                .get(&id)
                .and_then(|s| s.quotas.get(&spec.organisation));
            fenced(id) && quota.is_some_and(|a| a.used < a.amount)
        };
        let fit = self
            .worker_registry
            .find_fit(&spec.pool, &spec.need, spec.pack, now, granted);
        let Some(worker) = fit else {
            let room = self
                .worker_registry
                .find_fit(&spec.pool, &spec.need, spec.pack, now, fenced);
            let shard = room.map(|w| w.shard).ok_or(RefuseReason::NoRoom)?;
            let waiting = self
                .wait_queue
                .counts_by_organisation()
                .get(&spec.organisation)
                .copied()
                .unwrap_or(1);
            self.request_quota(shard, &spec.organisation, waiting, now, out);
            return Err(RefuseReason::TeamLimit);
        };
        let (id, shard, fence) = (worker.vm.id.clone(), worker.shard, worker.fence);
        let taken = self
            .shard_quota_mut(shard, &spec.organisation)
            .is_some_and(ShardQuota::try_acquire);
        out.check_invariant(taken, || format!("{} placed without a token", spec.id));
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
        self.worker_registry.commit(&id, hosted);
        self.send_task_ops(&id, now, out);
        self.send_placed(&spec.id, out);
        Ok(())
    }

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

    /// Starts a held task.
    pub(super) fn handle_start_reserved(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some((hosted, vm)) = self.worker_registry.task_mut(task) else {
            if let Some(outcome) = self.outcomes.get(task).copied() {
                out.send(from, ended(task, outcome));
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

    /// Gives a task up for its asker.
    pub(super) fn handle_release(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        (shard, epoch): (Option<ShardId>, Option<Epoch>),
        finished: bool,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if let Some(waiting) = self.wait_queue.remove(task) {
            self.refuse(&waiting, RefuseReason::Deadline, now, out);
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

    /// Answers a release of a task that holds nothing here and never will.
    ///
    /// What became of a job's task under an earlier epoch only that owner and the worker
    /// know; the report to the job's home settles it.
    pub(super) fn release_unknown(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        assigned: Option<(ShardId, Epoch)>,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let known = self.outcomes.get(task).copied();
        let current = assigned
            .is_none_or(|(id, epoch)| self.shards.get(&id).is_some_and(|s| s.epoch == epoch));
        if known.is_none() && !current {
            return;
        }
        let outcome = known.unwrap_or(TaskOutcome::NotRun);
        self.record_outcome_for(task, outcome, REQUEST_OUTCOME_TTL_MS, now);
        if assigned.is_some() {
            out.send(from, ended(task, outcome));
        } else {
            out.send(from, Message::Released { task: task.clone() });
        }
    }

    /// Stops requests whose entry node is gone and held tasks whose gang did not begin.
    pub(super) fn stop_orphans(&mut self, now: Millis, out: &mut EffectBuffer) {
        let mut orphans = Vec::new();
        for hosted in self.worker_registry.iter().flat_map(|w| w.tasks.values()) {
            let old = now >= hosted.placed_at + HOLD_MS;
            let orphan = match hosted.stage {
                HostedStage::Reserved => old,
                HostedStage::Dispatched => {
                    old && !self.cluster.is_alive(&hosted.spec.requester, now)
                }
                _ => false,
            };
            if orphan {
                orphans.push(hosted.spec.id.clone());
            }
        }
        for task in orphans {
            let me = self.id().clone();
            self.handle_release(&me, &task, (None, None), false, now, out);
        }
    }

    pub(super) fn add_usage(&mut self, organisation: &OrganisationName, need: &Resources) {
        self.organisation_usage
            .entry(organisation.clone())
            .or_default()
            .add(need);
    }

    pub(super) fn sub_usage(&mut self, organisation: &OrganisationName, need: &Resources) {
        if let Some(used) = self.organisation_usage.get_mut(organisation) {
            *used = used.saturating_sub(need);
        }
    }

    /// Frees what a task holds and tells its asker how it ended.
    pub(super) fn finish_task(
        &mut self,
        task: &TaskId,
        outcome: TaskOutcome,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let health_of = self.worker_registry.host_of(task).map(|w| w.vm.id.clone());
        let Some((hosted, shard)) = self.worker_registry.remove_task(task) else {
            return;
        };
        let spec = hosted.spec;
        self.queue_dirty = true;
        self.sub_usage(&spec.organisation, &spec.need);
        self.record_outcome(&spec, outcome, now);
        self.release_quota(shard, &spec.organisation, out);
        if let Some(worker) = health_of {
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

/// Repeats the outcome of a task id that was settled before.
fn answer_settled(
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
        (TaskKind::Job, _) => ended(task, outcome),
    };
    out.send(from, message);
}

/// Tells a home directly how a task ended; such an answer is not acknowledged.
fn ended(task: &TaskId, outcome: TaskOutcome) -> Message {
    Message::TaskEnded {
        task: task.clone(),
        outcome,
        coordinator: None,
    }
}
