//! The owner role: placement of tasks and their release.

use crate::core::{
    EffectBuffer, Epoch, HostedStage, HostedTask, Message, Millis, Node, NodeId, OrganisationName,
    PlacementRequest, RefuseReason, Resources, ShardId, ShardQuota, TaskId, TaskKind, TaskOutcome,
    node::SETTLED_REQUEST_KEEP_MS,
    wait_queue::{QueuedPlacement, refusal},
};

/// How long a held task waits for its gang, in ms.
const HOLD_MS: Millis = 3_000;

/// How many asks of a lane are tried before the next lane.
const LANE_HEADS: usize = 4;

impl Node {
    /// Handles an ask for placement.
    pub(super) fn place(
        &mut self,
        from: &NodeId,
        ask: PlacementRequest,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let task = ask.spec.id.clone();
        if let Some((hosted, _)) = self.book.task_mut(&task) {
            hosted.spec.asker = ask.spec.asker;
            self.send_placed(&task, out);
            return;
        }
        if self.queue.contains(&task) {
            return;
        }
        if let Some(outcome) = self.settled.get(&task).copied() {
            answer_settled(from, &ask, outcome, out);
            return;
        }
        let refuse = self.refuse_at_once(&ask);
        let waiting = QueuedPlacement {
            from: from.clone(),
            expires_at: now + ask.wait_ms,
            ask,
        };
        if let Some(reason) = refuse {
            self.refuse(&waiting, reason, now, out);
            return;
        }
        if waiting.ask.hold {
            if let Err(reason) = self.try_place(&waiting.ask, now, out) {
                self.refuse(&waiting, reason, now, out);
            }
            return;
        }
        if !self.queue.push(waiting.clone()) {
            self.refuse(&waiting, RefuseReason::QueueFull, now, out);
        }
        self.queue_dirty = true;
    }

    pub(super) fn refuse_at_once(&self, ask: &PlacementRequest) -> Option<RefuseReason> {
        if let Some((id, epoch)) = ask.shard {
            let owned = self.shards.get(&id);
            if !owned.is_some_and(|s| s.epoch == epoch && s.fenced) {
                return Some(RefuseReason::NotOwner);
            }
        }
        if self.stopping() {
            return Some(RefuseReason::Stopping);
        }
        let shard = ask.shard.map(|(id, _)| id);
        let could = self.book.could_fit(&ask.spec.pool, &ask.spec.need, shard);
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
            self.settle(&waiting.ask.spec, TaskOutcome::NotRun, now);
        }
        out.send(&waiting.from, refusal(waiting, reason));
    }

    /// Refuses asks whose wait has ended.
    pub(super) fn expire_asks(&mut self, now: Millis, out: &mut EffectBuffer) {
        for waiting in self.queue.expired(now) {
            self.refuse(&waiting, RefuseReason::Deadline, now, out);
        }
    }

    /// Places waiting asks while room and tokens last.
    pub(super) fn drain_queue(&mut self, now: Millis, out: &mut EffectBuffer) {
        if !self.queue_dirty {
            return;
        }
        self.queue_dirty = false;
        while !self.queue.is_empty() && self.place_next(now, out) {}
    }

    pub(super) fn place_next(&mut self, now: Millis, out: &mut EffectBuffer) -> bool {
        let capacity = self.capacity;
        let (uses, config) = (&self.organisation_usage, &self.cluster.config);
        let order = self.queue.order(|organisation| {
            let amount = uses.get(organisation).copied().unwrap_or_default();
            amount.dominant_fraction(&capacity) / f64::from(config.share(organisation))
        });
        for lane in order {
            for task in self.queue.heads(&lane, LANE_HEADS) {
                let Some(ask) = self.queue.get(&task).map(|w| w.ask.clone()) else {
                    continue;
                };
                if self.try_place(&ask, now, out).is_ok() {
                    self.queue.remove(&task);
                    return true;
                }
            }
        }
        false
    }

    /// Commits a worker and a token to a task, or says what is missing.
    pub(super) fn try_place(
        &mut self,
        ask: &PlacementRequest,
        now: Millis,
        out: &mut EffectBuffer,
    ) -> Result<(), RefuseReason> {
        let spec = &ask.spec;
        let only = ask.shard.map(|(id, _)| id);
        let shards = &self.shards;
        let fenced =
            |id: ShardId| only.is_none_or(|o| o == id) && shards.get(&id).is_some_and(|s| s.fenced);
        let granted = |id: ShardId| {
            let quota = shards
                .get(&id)
                .and_then(|s| s.quotas.get(&spec.organisation));
            fenced(id) && quota.is_some_and(|a| a.used < a.amount)
        };
        let fit = self
            .book
            .fit(&spec.pool, &spec.need, spec.pack, now, granted);
        let Some(worker) = fit else {
            let room = self
                .book
                .fit(&spec.pool, &spec.need, spec.pack, now, fenced);
            let shard = room.map(|w| w.shard).ok_or(RefuseReason::NoRoom)?;
            let waiting = self
                .queue
                .counts()
                .get(&spec.organisation)
                .copied()
                .unwrap_or(1);
            self.request_quota(shard, &spec.organisation, waiting, now, out);
            return Err(RefuseReason::TeamLimit);
        };
        let (id, shard, fence) = (worker.record.id.clone(), worker.shard, worker.fence);
        let taken = self
            .shard_quota_mut(shard, &spec.organisation)
            .is_some_and(ShardQuota::try_acquire);
        out.invariant(taken, || format!("{} placed without a token", spec.id));
        let stage = match (ask.hold, spec.kind) {
            (true, _) => HostedStage::Held,
            (false, TaskKind::Job) => HostedStage::Starting,
            (false, TaskKind::Request) => HostedStage::Granted,
        };
        self.count(&spec.organisation, &spec.need);
        let hosted = HostedTask {
            spec: spec.clone(),
            stage,
            since: now,
            fence,
            sent_at: 0,
        };
        self.book.commit(&id, hosted);
        self.pump_tasks(&id, now, out);
        self.send_placed(&spec.id, out);
        Ok(())
    }

    pub(super) fn send_placed(&mut self, task: &TaskId, out: &mut EffectBuffer) {
        let Some(worker) = self.book.host_of(task) else {
            return;
        };
        let hosted = &worker.tasks[task];
        let message = Message::Placed {
            task: task.clone(),
            kind: hosted.spec.kind,
            shard: worker.shard,
            worker: worker.record.id.clone(),
            address: worker.record.address.clone(),
            fence: hosted.fence,
        };
        out.send(&hosted.spec.asker, message);
    }

    /// Starts a held task.
    pub(super) fn begin(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some((hosted, vm)) = self.book.task_mut(task) else {
            if let Some(outcome) = self.settled.get(task).copied() {
                out.send(from, ended(task, outcome));
            }
            return;
        };
        if hosted.stage == HostedStage::Held {
            hosted.stage = HostedStage::Starting;
            hosted.sent_at = 0;
            let id = vm.id.clone();
            self.pump_tasks(&id, now, out);
        }
        self.send_placed(task, out);
    }

    /// Gives a task up for its asker.
    pub(super) fn release_asked(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        (shard, epoch): (Option<ShardId>, Option<Epoch>),
        finished: bool,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if let Some(waiting) = self.queue.remove(task) {
            self.refuse(&waiting, RefuseReason::Deadline, now, out);
            out.send(from, Message::Released { task: task.clone() });
            return;
        }
        if shard.is_some_and(|id| !self.shards.get(&id).is_some_and(|s| s.fenced)) {
            return;
        }
        let Some((hosted, vm)) = self.book.task_mut(task) else {
            self.release_unknown(from, task, shard.zip(epoch), now, out);
            return;
        };
        let id = vm.id.clone();
        match hosted.stage {
            HostedStage::Held => self.free_task(task, TaskOutcome::NotRun, now, out),
            HostedStage::Granted if finished => self.free_task(task, TaskOutcome::Done, now, out),
            HostedStage::Stopping => {}
            HostedStage::Granted | HostedStage::Starting | HostedStage::Running => {
                hosted.stage = HostedStage::Stopping;
                hosted.sent_at = 0;
                self.pump_tasks(&id, now, out);
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
        let known = self.settled.get(task).copied();
        let current = assigned
            .is_none_or(|(id, epoch)| self.shards.get(&id).is_some_and(|s| s.epoch == epoch));
        if known.is_none() && !current {
            return;
        }
        let outcome = known.unwrap_or(TaskOutcome::NotRun);
        self.keep_settled(task, outcome, SETTLED_REQUEST_KEEP_MS, now);
        if assigned.is_some() {
            out.send(from, ended(task, outcome));
        } else {
            out.send(from, Message::Released { task: task.clone() });
        }
    }

    /// Stops requests whose entry node is gone and held tasks whose gang did not begin.
    pub(super) fn stop_orphans(&mut self, now: Millis, out: &mut EffectBuffer) {
        let mut orphans = Vec::new();
        for hosted in self.book.iter().flat_map(|w| w.tasks.values()) {
            let old = now >= hosted.since + HOLD_MS;
            let orphan = match hosted.stage {
                HostedStage::Held => old,
                HostedStage::Granted => old && !self.cluster.is_alive(&hosted.spec.asker, now),
                _ => false,
            };
            if orphan {
                orphans.push(hosted.spec.id.clone());
            }
        }
        for task in orphans {
            let me = self.id().clone();
            self.release_asked(&me, &task, (None, None), false, now, out);
        }
    }

    pub(super) fn count(&mut self, organisation: &OrganisationName, need: &Resources) {
        self.organisation_usage
            .entry(organisation.clone())
            .or_default()
            .add(need);
    }

    pub(super) fn uncount(&mut self, organisation: &OrganisationName, need: &Resources) {
        if let Some(used) = self.organisation_usage.get_mut(organisation) {
            *used = used.minus(need);
        }
    }

    /// Frees what a task holds and tells its asker how it ended.
    pub(super) fn free_task(
        &mut self,
        task: &TaskId,
        outcome: TaskOutcome,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let health_of = self.book.host_of(task).map(|w| w.record.id.clone());
        let Some((hosted, shard)) = self.book.release(task) else {
            return;
        };
        let spec = hosted.spec;
        self.queue_dirty = true;
        self.uncount(&spec.organisation, &spec.need);
        self.settle(&spec, outcome, now);
        self.release_quota(shard, &spec.organisation, out);
        if let Some(worker) = health_of {
            self.judge(&worker, &spec, outcome, now, out);
        }
        match (&spec.job, spec.kind) {
            (Some(job), TaskKind::Job) => {
                self.report_task_end(shard, job, &spec.id, outcome, now, out);
            }
            _ => out.send(&spec.asker, Message::Released { task: spec.id }),
        }
    }
}

/// Repeats the outcome of a task id that was settled before.
fn answer_settled(
    from: &NodeId,
    ask: &PlacementRequest,
    outcome: TaskOutcome,
    out: &mut EffectBuffer,
) {
    let task = &ask.spec.id;
    let message = match (ask.spec.kind, outcome) {
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
