//! The entry node's handling of callers' requests, from the placement request to the release.
//!
//! Called for local callers' requests and job calls, for the replies of shard owners and
//! coordinators, and on every tick. Must not request a placement before the request's
//! idempotency key is claimed.

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

/// Interval after which a message without a reply is sent again, in ms.
const RESEND_INTERVAL_MS: Millis = 200;

/// Timeout of a call to a coordinator, in ms.
const CALL_TIMEOUT_MS: Millis = 5_000;

/// How long an unacknowledged release is sent again, in ms.
const RELEASE_TIMEOUT_MS: Millis = 60_000;

/// Max placement attempts of one request.
const MAX_ATTEMPTS: u32 = 12;

/// When a caller refused for lack of free capacity, or any reason but the store, may retry, in ms.
const RETRY_AFTER_CAPACITY_MS: Millis = 1_000;

/// When a caller may retry that was refused for an unreachable store or cluster, in ms.
const RETRY_AFTER_STORE_MS: Millis = 5_000;

impl Node {
    /// Accepts a caller's request: claims its idempotency key, if any, and requests a placement.
    pub(super) fn handle_request(
        &mut self,
        reply: ReplyId,
        request: CallerRequest,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if let Some(reason) = self.entry_refusal(&request, now) {
            refuse(reply, reason, out);
            return;
        }
        let key = request.idempotency_key.clone();
        let claim = self.rng.random();
        let entry = EntryRequest {
            deadline: now + request.timeout_ms,
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
            None => self.request_placement(reply, now, out),
        }
    }

    /// Returns why a request is refused on arrival, if it is: the node is stopping or isolated, the
    /// queue is unknown, the organisation's limit is 0, or its key needs the store, which is down.
    fn entry_refusal(&self, request: &CallerRequest, now: Millis) -> Option<RefuseReason> {
        let config = &self.cluster.config;
        if self.is_stopping() {
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

    /// Sends a placement request under a new task id to the best owner.
    ///
    /// Refuses the caller's request with `NoRoom` after its deadline or `MAX_ATTEMPTS`, or if the
    /// configuration no longer has its queue.
    fn request_placement(&mut self, reply: ReplyId, now: Millis, out: &mut EffectBuffer) {
        let Some(entry) = self.request_registry.pending.get(&reply) else {
            return;
        };
        let config = self.cluster.config.clone();
        let remaining_ms = entry.deadline.saturating_sub(now);
        let policy = config.document.queues.get(&entry.request.queue);
        let exhausted = remaining_ms == 0 || entry.attempt >= MAX_ATTEMPTS;
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

    /// Keeps a request until a shard owner is available or its deadline passes.
    fn wait_for_owner(&mut self, reply: ReplyId, now: Millis) {
        if let Some(entry) = self.request_registry.pending.get_mut(&reply) {
            entry.owner = None;
            entry.sent_at = now;
            entry.refused_by.clear();
        }
    }

    /// Sends the placement request of the current attempt, or sends it again.
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
        let timeout_ms = entry.deadline.saturating_sub(now);
        let placement = PlacementRequest {
            spec,
            shard: None,
            reserve: false,
            timeout_ms,
        };
        out.send(&owner.clone(), Message::Place(placement));
    }

    /// Chooses the owner to send a placement request to.
    ///
    /// Prefers this node if a worker here has the free capacity, else the one with more free
    /// slots of two random nodes that have any, else the one with the shortest queue. Requests sent
    /// to a node since its last heartbeat count as queued there and as used slots. Returns `None`
    /// if every node that could fit the task has refused it or is unavailable.
    fn choose_owner(
        &mut self,
        pool: &PoolName,
        need: &Resources,
        refused_by: &BTreeSet<NodeId>,
        now: Millis,
    ) -> Option<NodeId> {
        let me = self.id().clone();
        let shards = &self.shards;
        let is_fenced = |id: ShardId| shards.get(&id).is_some_and(|s| s.fencing_done);
        if !refused_by.contains(&me)
            && self
                .worker_registry
                .find_fit(pool, need, false, now, is_fenced)
                .is_some()
        {
            return Some(me);
        }
        let mut candidates: Vec<(u32, u32, NodeId)> = Vec::new();
        for (id, view) in &self.cluster.peers {
            if refused_by.contains(id)
                || view.heartbeat.leaving
                || !self.cluster.heard_recently(id, now)
            {
                continue;
            }
            let pool_entries = view
                .free_capacity
                .iter()
                .filter(|f| f.pool == *pool && f.worker_capacity.covers(need));
            let (mut could_fit, mut slots) = (false, 0);
            for free in pool_entries {
                could_fit = true;
                slots += if free.max_free.covers(need) {
                    free.free_slots
                } else {
                    0
                };
            }
            let in_flight = self
                .request_registry
                .in_flight
                .get(id)
                .copied()
                .unwrap_or(0);
            if could_fit {
                candidates.push((
                    slots.saturating_sub(in_flight),
                    view.heartbeat.queue_length + in_flight,
                    id.clone(),
                ));
            }
        }
        let own_could_fit =
            self.worker_registry.any_could_fit(pool, need, None) && !refused_by.contains(&me);
        if own_could_fit {
            let queued = u32::try_from(self.wait_queue.len()).unwrap_or(u32::MAX);
            candidates.push((0, queued, me));
        }
        let with_free_slots: Vec<&(u32, u32, NodeId)> =
            candidates.iter().filter(|c| c.0 > 0).collect();
        if with_free_slots.is_empty() {
            return candidates.into_iter().min_by_key(|c| c.1).map(|c| c.2);
        }
        let mut pick = || with_free_slots[self.rng.random_range(0..with_free_slots.len())];
        let (a, b) = (pick(), pick());
        Some(if a.0 >= b.0 { a.2.clone() } else { b.2.clone() })
    }

    /// Handles a placement by a shard owner and dispatches the request to the worker.
    ///
    /// A placement for a request that is no longer pending is released. A job's task is left
    /// alone: its job coordinator may have moved from this node to another one.
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

    /// Handles a refusal by a shard owner.
    ///
    /// Tries another owner if one may still have free capacity; otherwise refuses the caller.
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
            | RefuseReason::NoRoom => self.request_placement(reply, now, out),
            _ => self.fail_request(reply, reason, now, out),
        }
    }

    /// Refuses a request that was not dispatched, with no further attempt.
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
        self.send_complete_key(&entry.request, entry.claim, None, now, out);
        refuse(reply, reason, out);
    }

    /// Handles the outcome of a request that was dispatched to a worker.
    ///
    /// `NotRun` leads to another attempt. `Unknown` leaves the idempotency key claimed, as the
    /// worker may have run the request.
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
        let finished = matches!(outcome, RequestOutcome::Completed(_));
        let task = entry.task.take();
        let owner = entry.owner.clone();
        let placement = entry.placement.take();
        if let (Some(task), Some(owner)) = (task, owner) {
            let shard = placement.map(|(shard, _, _)| shard);
            self.request_registry.by_task.remove(&task);
            self.release_task(&owner, &task, shard, finished, now, out);
        }
        if outcome == RequestOutcome::NotRun {
            self.request_placement(reply, now, out);
            return;
        }
        let Some(entry) = self.request_registry.pending.remove(&reply) else {
            return;
        };
        match outcome {
            RequestOutcome::Completed(status) => {
                self.send_complete_key(&entry.request, entry.claim, Some(status), now, out);
            }
            RequestOutcome::Abandoned => {
                self.send_complete_key(&entry.request, entry.claim, None, now, out);
            }
            RequestOutcome::NotRun | RequestOutcome::Unknown => {}
        }
    }

    /// Ends the claim on a request's idempotency key: completes it with the status of the response,
    /// or frees it if `status` is `None`. The reply is not awaited.
    fn send_complete_key(
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

    /// Releases a task at its owner; sent again until acknowledged.
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
            expires_at: now + RELEASE_TIMEOUT_MS,
        };
        self.request_registry.releases.insert(task.clone(), release);
        self.send_release(task, now, out);
    }

    /// Sends a release to the shard's owner by the shard table, else to the owner of the placement.
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

    /// Calls the coordinator of a job or an idempotency key.
    ///
    /// Sent again until a reply arrives or `CALL_TIMEOUT_MS` has passed, which counts as the reply
    /// `TimedOut`.
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
            expires_at: now + CALL_TIMEOUT_MS,
        };
        self.request_registry.calls.insert(call, pending);
        self.send_call(call, now, out);
    }

    /// Sends a pending call to the current owner of its shard, if there is one.
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

    /// Forwards a local caller's job call to the coordinator.
    ///
    /// Refused with `Isolated` while the configuration is not trusted, and a submission with
    /// `StoreDown` while the store is unreachable.
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

    /// Handles a coordinator's reply; one to an unknown or completed call is ignored.
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
            CallPurpose::IdempotencyKey(reply) => self.handle_key_reply(reply, &body, now, out),
        }
    }

    /// Handles the reply to the claim of an idempotency key: requests a placement if it was
    /// claimed, else replies to the caller.
    fn handle_key_reply(
        &mut self,
        reply: ReplyId,
        body: &JobReply,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        match body {
            JobReply::KeyClaimed => {
                if let Some(entry) = self.request_registry.pending.get_mut(&reply) {
                    entry.claimed = true;
                }
                self.request_placement(reply, now, out);
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

    /// Sends messages without a reply again, and fails requests and calls past their deadline.
    pub(super) fn retry_requests(&mut self, now: Millis, out: &mut EffectBuffer) {
        self.retry_placement_requests(now, out);
        self.retry_calls(now, out);
        self.retry_releases(now, out);
    }

    /// Sends unplaced requests again, or to another owner if theirs is gone; refuses those past
    /// their deadline.
    fn retry_placement_requests(&mut self, now: Millis, out: &mut EffectBuffer) {
        let overdue: Vec<ReplyId> = self
            .request_registry
            .pending
            .iter()
            .filter(|(_, r)| r.placement.is_none() && now >= r.sent_at + RESEND_INTERVAL_MS)
            .map(|(reply, _)| *reply)
            .collect();
        for reply in overdue {
            let entry = &self.request_registry.pending[&reply];
            let owner = entry.owner.as_ref();
            let owner_alive = owner.is_some_and(|o| self.cluster.is_alive(o, now));
            let claimed = entry.claimed;
            if now >= entry.deadline {
                self.fail_request(reply, RefuseReason::Deadline, now, out);
            } else if claimed && owner_alive {
                self.send_placement_request(reply, now, out);
            } else if claimed {
                self.try_another_owner(reply, now, out);
            }
        }
    }

    /// Releases the task at an owner that is gone and sends the request to another one.
    fn try_another_owner(&mut self, reply: ReplyId, now: Millis, out: &mut EffectBuffer) {
        let Some(entry) = self.request_registry.pending.get_mut(&reply) else {
            return;
        };
        if let (Some(task), Some(owner)) = (entry.task.take(), entry.owner.clone()) {
            entry.refused_by.insert(owner.clone());
            self.request_registry.by_task.remove(&task);
            self.release_task(&owner, &task, None, false, now, out);
        }
        self.request_placement(reply, now, out);
    }

    /// Sends calls without a reply again; those past their timeout get the reply `TimedOut`.
    fn retry_calls(&mut self, now: Millis, out: &mut EffectBuffer) {
        let overdue: Vec<u64> = self
            .request_registry
            .calls
            .iter()
            .filter(|(_, c)| now >= c.sent_at + RESEND_INTERVAL_MS)
            .map(|(call, _)| *call)
            .collect();
        for call in overdue {
            if now >= self.request_registry.calls[&call].expires_at {
                self.handle_coordinator_reply(call, JobReply::TimedOut, now, out);
            } else {
                self.send_call(call, now, out);
            }
        }
    }

    /// Sends unacknowledged releases again; drops those past their timeout.
    fn retry_releases(&mut self, now: Millis, out: &mut EffectBuffer) {
        self.request_registry
            .releases
            .retain(|_, r| now < r.expires_at);
        let overdue: Vec<TaskId> = self
            .request_registry
            .releases
            .iter()
            .filter(|(_, r)| now >= r.sent_at + RESEND_INTERVAL_MS)
            .map(|(task, _)| task.clone())
            .collect();
        for task in overdue {
            self.send_release(&task, now, out);
        }
    }
}

/// Refuses a caller's request and says when to retry, in ms.
fn refuse(reply: ReplyId, reason: RefuseReason, out: &mut EffectBuffer) {
    let retry_after_ms = match reason {
        RefuseReason::StoreDown | RefuseReason::Isolated => RETRY_AFTER_STORE_MS,
        _ => RETRY_AFTER_CAPACITY_MS,
    };
    out.request_reply(
        reply,
        RequestReply::Refused {
            reason,
            retry_after_ms,
        },
    );
}
