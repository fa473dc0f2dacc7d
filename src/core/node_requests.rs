//! The entry role: callers' requests, from the ask for a worker to its release.

use {
    crate::core::{
        CallerRequest, EffectBuffer, FencingToken, IdempotencyState, JobCall, JobReply, Message,
        Millis, Node, NodeId, PlacementRequest, PoolName, RefuseReason, ReplyId, RequestOutcome,
        RequestReply, Resources, ShardId, TaskId, TaskKind, TaskSpec, WorkerId,
        request_registry::{CallPurpose, EntryRequest, PendingCall, PendingRelease},
    },
    rand::Rng,
    std::{collections::BTreeSet, sync::Arc},
};

/// Period after which an unanswered message is repeated, in ms.
const REPEAT_MS: Millis = 200;

/// How long the answer to a call to a home is waited for, in ms.
const CALL_WAIT_MS: Millis = 5_000;

/// How long a release is repeated, in ms.
const RELEASE_WAIT_MS: Millis = 60_000;

/// Most owners that one request asks.
const MAX_ATTEMPTS: u32 = 12;

/// When a refused caller may come back, in ms: for want of room, and of the store.
const RETRY_ROOM_MS: Millis = 1_000;
const RETRY_STORE_MS: Millis = 5_000;

impl Node {
    /// Takes a caller's request in.
    pub(super) fn handle_request(
        &mut self,
        reply: ReplyId,
        request: CallerRequest,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if let Some(reason) = self.refuse_entry(&request, now) {
            refuse(reply, reason, out);
            return;
        }
        let key = request.idempotency_key.clone();
        let claim = self.rng.random();
        let entry = EntryRequest {
            deadline: now + request.wait_ms,
            request,
            attempt: 0,
            task: None,
            owner: None,
            spec: None,
            sent_at: now,
            placement: None,
            refused_by: BTreeSet::new(),
            claim,
            claimed: key.is_none(),
        };
        self.request_registry.pending.insert(reply, entry);
        match key {
            Some(key) => {
                let body = JobCall::ClaimKey { key, claim };
                self.call_coordinator(CallPurpose::IdempotencyKey(reply), body, now, out);
            }
            None => self.attempt(reply, now, out),
        }
    }

    fn refuse_entry(&self, request: &CallerRequest, now: Millis) -> Option<RefuseReason> {
        let config = &self.cluster.config;
        if self.stopping() {
            Some(RefuseReason::Stopping)
        } else if !self.cluster.config_trusted(now) {
            Some(RefuseReason::Isolated)
        } else if !config.document.queues.contains_key(&request.queue) {
            Some(RefuseReason::NeverFits)
        } else if config.limit(&request.organisation) == 0 {
            Some(RefuseReason::TeamLimit)
        } else if request.idempotency_key.is_some() && !self.cluster.store_ok(now) {
            Some(RefuseReason::StoreDown)
        } else {
            None
        }
    }

    /// Asks the most promising owner for a worker, or refuses the request.
    fn attempt(&mut self, reply: ReplyId, now: Millis, out: &mut EffectBuffer) {
        let Some(entry) = self.request_registry.pending.get(&reply) else {
            return;
        };
        let config = self.cluster.config.clone();
        let left = entry.deadline.saturating_sub(now);
        let policy = config.document.queues.get(&entry.request.queue);
        let exhausted = left == 0 || entry.attempt >= MAX_ATTEMPTS;
        let refused_by = entry.refused_by.clone();
        let Some(policy) = policy.filter(|_| !exhausted) else {
            self.fail_request(reply, RefuseReason::NoRoom, now, out);
            return;
        };
        let Some(owner) = self.choose_owner(&policy.pool, &policy.need, &refused_by, now) else {
            self.wait_for_owner(reply, now);
            return;
        };
        let (a, b): (u64, u64) = (self.rng.random(), self.rng.random());
        let task = TaskId::from(format!("{a:016x}{b:016x}"));
        let Some(entry) = self.request_registry.pending.get_mut(&reply) else {
            return;
        };
        entry.attempt += 1;
        entry.task = Some(task.clone());
        entry.owner = Some(owner.clone());
        entry.placement = None;
        self.request_registry.by_task.insert(task, reply);
        *self.request_registry.in_flight.entry(owner).or_default() += 1;
        self.send_placement_request(reply, now, out);
    }

    /// Keeps a request until shards have found their owners, or its deadline passes.
    fn wait_for_owner(&mut self, reply: ReplyId, now: Millis) {
        if let Some(entry) = self.request_registry.pending.get_mut(&reply) {
            entry.owner = None;
            entry.sent_at = now;
            entry.refused_by.clear();
        }
    }

    fn send_placement_request(&mut self, reply: ReplyId, now: Millis, out: &mut EffectBuffer) {
        let requester = self.id().clone();
        let config = self.cluster.config.clone();
        let Some(entry) = self.request_registry.pending.get_mut(&reply) else {
            return;
        };
        let policy = config.document.queues.get(&entry.request.queue);
        let (Some(task), Some(owner), Some(policy)) = (&entry.task, &entry.owner, policy) else {
            return;
        };
        entry.sent_at = now;
        let spec = TaskSpec {
            id: task.clone(),
            organisation: entry.request.organisation.clone(),
            pool: policy.pool.clone(),
            need: policy.need,
            kind: TaskKind::Request,
            priority: policy.priority,
            job: None,
            task_index: 0,
            run_ms: policy.run_ms,
            pack: policy.pack(),
            requester,
        };
        entry.spec = Some(spec.clone());
        let wait_ms = entry.deadline.saturating_sub(now);
        let placement = PlacementRequest {
            spec,
            shard: None,
            reserve: false,
            wait_ms,
        };
        out.send(&owner.clone(), Message::Place(placement));
    }

    /// Chooses this node if it has room, else the better of two others, else the shortest queue.
    fn choose_owner(
        &mut self,
        pool: &PoolName,
        need: &Resources,
        refused_by: &BTreeSet<NodeId>,
        now: Millis,
    ) -> Option<NodeId> {
        let me = self.id().clone();
        let shards = &self.shards;
        let fenced = |id: ShardId| shards.get(&id).is_some_and(|s| s.fencing_done);
        if !refused_by.contains(&me)
            && self
                .worker_registry
                .find_fit(pool, need, false, now, fenced)
                .is_some()
        {
            return Some(me);
        }
        let mut rooms: Vec<(u32, u32, NodeId)> = Vec::new();
        for (id, view) in &self.cluster.peers {
            if refused_by.contains(id)
                || view.heartbeat.leaving
                || !self.cluster.heard_recently(id, now)
            {
                continue;
            }
            let of_pool = view
                .free_capacity
                .iter()
                .filter(|f| f.pool == *pool && f.worker_capacity.covers(need));
            let (mut holds, mut slots) = (false, 0);
            for free in of_pool {
                holds = true;
                slots += if free.max_free.covers(need) {
                    free.free_slots
                } else {
                    0
                };
            }
            let sent = self
                .request_registry
                .in_flight
                .get(id)
                .copied()
                .unwrap_or(0);
            if holds {
                rooms.push((
                    slots.saturating_sub(sent),
                    view.heartbeat.queue_length + sent,
                    id.clone(),
                ));
            }
        }
        let own = self.worker_registry.any_could_fit(pool, need, None) && !refused_by.contains(&me);
        if own {
            let queued = u32::try_from(self.wait_queue.len()).unwrap_or(u32::MAX);
            rooms.push((0, queued, me));
        }
        let with_room: Vec<&(u32, u32, NodeId)> = rooms.iter().filter(|r| r.0 > 0).collect();
        if with_room.is_empty() {
            return rooms.into_iter().min_by_key(|r| r.1).map(|r| r.2);
        }
        let mut pick = || with_room[self.rng.random_range(0..with_room.len())];
        let (a, b) = (pick(), pick());
        Some(if a.0 >= b.0 { a.2.clone() } else { b.2.clone() })
    }

    /// Handles a worker found by an owner.
    ///
    /// A request that is no longer wanted is given back; a job's task may belong to a home
    /// that this node has handed over, and is left alone.
    pub(super) fn handle_placed(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        kind: TaskKind,
        (shard, worker, address, fence): (ShardId, WorkerId, Arc<str>, FencingToken),
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if self.handle_job_placed(task, &worker, now, out) {
            return;
        }
        let reply = self.request_registry.by_task.get(task).copied();
        let entry = reply.and_then(|r| self.request_registry.pending.get_mut(&r));
        let (Some(reply), Some(entry)) = (reply, entry) else {
            if kind == TaskKind::Job {
                return;
            }
            self.release_task(from, task, Some(shard), false, now, out);
            return;
        };
        if entry.placement.is_some() {
            return;
        }
        entry.placement = Some((shard, worker.clone(), fence));
        if let Some(spec) = entry.spec.clone() {
            let body = RequestReply::Dispatch {
                spec,
                worker,
                address,
                fence,
            };
            out.request_reply(reply, body);
        }
    }

    /// Handles a refusal by an owner.
    pub(super) fn handle_refused(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        reason: RefuseReason,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if self.handle_job_refused(task, reason, now, out) {
            return;
        }
        let Some(reply) = self.request_registry.by_task.get(task).copied() else {
            return;
        };
        let Some(entry) = self.request_registry.pending.get_mut(&reply) else {
            return;
        };
        if entry.placement.is_some() {
            return;
        }
        self.request_registry.by_task.remove(task);
        entry.task = None;
        entry.refused_by.insert(from.clone());
        match reason {
            RefuseReason::NotOwner
            | RefuseReason::Stopping
            | RefuseReason::NeverFits
            | RefuseReason::NoRoom => self.attempt(reply, now, out),
            _ => self.fail_request(reply, reason, now, out),
        }
    }

    /// Gives the final refusal of a request that was not dispatched.
    fn fail_request(
        &mut self,
        reply: ReplyId,
        reason: RefuseReason,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(entry) = self.request_registry.pending.remove(&reply) else {
            return;
        };
        if let (Some(task), Some(owner)) = (entry.task, entry.owner) {
            self.request_registry.by_task.remove(&task);
            self.release_task(&owner, &task, None, false, now, out);
        }
        self.settle_claim(&entry.request, entry.claim, None, now, out);
        refuse(reply, reason, out);
    }

    /// Notes how a request ended that was sent to a worker.
    pub(super) fn handle_request_end(
        &mut self,
        reply: ReplyId,
        outcome: RequestOutcome,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(entry) = self.request_registry.pending.get_mut(&reply) else {
            return;
        };
        let finished = matches!(outcome, RequestOutcome::Answered(_));
        let task = entry.task.take();
        let owner = entry.owner.clone();
        let placement = entry.placement.take();
        if let (Some(task), Some(owner)) = (task, owner) {
            let shard = placement.map(|(shard, _, _)| shard);
            self.request_registry.by_task.remove(&task);
            self.release_task(&owner, &task, shard, finished, now, out);
        }
        if outcome == RequestOutcome::NotRun {
            self.attempt(reply, now, out);
            return;
        }
        let Some(entry) = self.request_registry.pending.remove(&reply) else {
            return;
        };
        match outcome {
            RequestOutcome::Answered(status) => {
                self.settle_claim(&entry.request, entry.claim, Some(status), now, out);
            }
            RequestOutcome::Abandoned => {
                self.settle_claim(&entry.request, entry.claim, None, now, out);
            }
            RequestOutcome::NotRun | RequestOutcome::Unknown => {}
        }
    }

    fn settle_claim(
        &mut self,
        request: &CallerRequest,
        claim: u64,
        status: Option<u16>,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if let Some(key) = request.idempotency_key.clone() {
            let body = JobCall::CompleteKey { key, claim, status };
            self.call_coordinator(CallPurpose::Detached, body, now, out);
        }
    }

    /// Gives a task back to its owner, until that is acknowledged.
    fn release_task(
        &mut self,
        owner: &NodeId,
        task: &TaskId,
        shard: Option<ShardId>,
        finished: bool,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let release = PendingRelease {
            shard,
            owner: owner.clone(),
            finished,
            sent_at: now,
            expires_at: now + RELEASE_WAIT_MS,
        };
        self.request_registry.releases.insert(task.clone(), release);
        self.send_release(task, now, out);
    }

    fn send_release(&mut self, task: &TaskId, now: Millis, out: &mut EffectBuffer) {
        let Some(release) = self.request_registry.releases.get_mut(task) else {
            return;
        };
        release.sent_at = now;
        let table_owner = release.shard.and_then(|s| self.cluster.table.owner(s));
        let to = table_owner.unwrap_or(&release.owner);
        let message = Message::Release {
            task: task.clone(),
            shard: release.shard,
            epoch: None,
            finished: release.finished,
        };
        out.send(to, message);
    }

    /// Calls the home of a job or key, until it answers.
    pub(super) fn call_coordinator(
        &mut self,
        purpose: CallPurpose,
        body: JobCall,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        self.last_message_id += 1;
        let call = self.last_message_id;
        let pending = PendingCall {
            purpose,
            shard: body.coordinator(),
            body,
            sent_at: now,
            expires_at: now + CALL_WAIT_MS,
        };
        self.request_registry.calls.insert(call, pending);
        self.send_call(call, now, out);
    }

    fn send_call(&mut self, call: u64, now: Millis, out: &mut EffectBuffer) {
        let Some(pending) = self.request_registry.calls.get_mut(&call) else {
            return;
        };
        pending.sent_at = now;
        if let Some(owner) = self.cluster.table.owner(pending.shard) {
            let body = pending.body.clone();
            out.send(owner, Message::CoordinatorCall { call, body });
        }
    }

    /// Handles a local caller's job call.
    pub(super) fn handle_job_call(
        &mut self,
        reply: ReplyId,
        call: JobCall,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if !self.cluster.config_trusted(now) {
            out.job_reply(reply, JobReply::Refused(RefuseReason::Isolated));
            return;
        }
        if matches!(call, JobCall::Submit { .. }) && !self.cluster.store_ok(now) {
            out.job_reply(reply, JobReply::Refused(RefuseReason::StoreDown));
            return;
        }
        self.call_coordinator(CallPurpose::Caller(reply), call, now, out);
    }

    /// Takes the answer of a home.
    pub(super) fn handle_coordinator_reply(
        &mut self,
        call: u64,
        body: JobReply,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(pending) = self.request_registry.calls.remove(&call) else {
            return;
        };
        match pending.purpose {
            CallPurpose::Detached => {}
            CallPurpose::Caller(reply) => out.job_reply(reply, body),
            CallPurpose::IdempotencyKey(reply) => self.key_answer(reply, &body, now, out),
        }
    }

    fn key_answer(&mut self, reply: ReplyId, body: &JobReply, now: Millis, out: &mut EffectBuffer) {
        match body {
            JobReply::KeyClaimed => {
                if let Some(entry) = self.request_registry.pending.get_mut(&reply) {
                    entry.claimed = true;
                }
                self.attempt(reply, now, out);
            }
            JobReply::KeyUsed(state) => {
                self.request_registry.pending.remove(&reply);
                let body = match state {
                    IdempotencyState::Completed(status) => {
                        RequestReply::KeyUsed { status: *status }
                    }
                    IdempotencyState::Claimed => RequestReply::KeyUsedUnknown,
                };
                out.request_reply(reply, body);
            }
            JobReply::Refused(reason) => self.fail_request(reply, *reason, now, out),
            _ => self.fail_request(reply, RefuseReason::StoreDown, now, out),
        }
    }

    /// Repeats what was not answered and gives up what waited too long.
    pub(super) fn retry_requests(&mut self, now: Millis, out: &mut EffectBuffer) {
        self.retry_placement_requests(now, out);
        self.retry_calls(now, out);
        self.retry_releases(now, out);
    }

    fn retry_placement_requests(&mut self, now: Millis, out: &mut EffectBuffer) {
        let waiting: Vec<ReplyId> = self
            .request_registry
            .pending
            .iter()
            .filter(|(_, r)| r.placement.is_none() && now >= r.sent_at + REPEAT_MS)
            .map(|(reply, _)| *reply)
            .collect();
        for reply in waiting {
            let entry = &self.request_registry.pending[&reply];
            let owner = entry.owner.as_ref();
            let alive = owner.is_some_and(|o| self.cluster.is_alive(o, now));
            let claimed = entry.claimed;
            if now >= entry.deadline {
                self.fail_request(reply, RefuseReason::Deadline, now, out);
            } else if claimed && alive {
                self.send_placement_request(reply, now, out);
            } else if claimed {
                self.try_another_owner(reply, now, out);
            }
        }
    }

    /// Turns from an owner that is gone to another one.
    fn try_another_owner(&mut self, reply: ReplyId, now: Millis, out: &mut EffectBuffer) {
        let Some(entry) = self.request_registry.pending.get_mut(&reply) else {
            return;
        };
        if let (Some(task), Some(owner)) = (entry.task.take(), entry.owner.clone()) {
            entry.refused_by.insert(owner.clone());
            self.request_registry.by_task.remove(&task);
            self.release_task(&owner, &task, None, false, now, out);
        }
        self.attempt(reply, now, out);
    }

    fn retry_calls(&mut self, now: Millis, out: &mut EffectBuffer) {
        let late: Vec<u64> = self
            .request_registry
            .calls
            .iter()
            .filter(|(_, c)| now >= c.sent_at + REPEAT_MS)
            .map(|(call, _)| *call)
            .collect();
        for call in late {
            if now >= self.request_registry.calls[&call].expires_at {
                self.handle_coordinator_reply(call, JobReply::TimedOut, now, out);
            } else {
                self.send_call(call, now, out);
            }
        }
    }

    fn retry_releases(&mut self, now: Millis, out: &mut EffectBuffer) {
        self.request_registry
            .releases
            .retain(|_, r| now < r.expires_at);
        let late: Vec<TaskId> = self
            .request_registry
            .releases
            .iter()
            .filter(|(_, r)| now >= r.sent_at + REPEAT_MS)
            .map(|(task, _)| task.clone())
            .collect();
        for task in late {
            self.send_release(&task, now, out);
        }
    }
}

fn refuse(reply: ReplyId, reason: RefuseReason, out: &mut EffectBuffer) {
    let retry_after_ms = match reason {
        RefuseReason::StoreDown | RefuseReason::Isolated => RETRY_STORE_MS,
        _ => RETRY_ROOM_MS,
    };
    out.request_reply(
        reply,
        RequestReply::Refused {
            reason,
            retry_after_ms,
        },
    );
}
