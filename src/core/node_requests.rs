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
const MOST_ATTEMPTS: u32 = 12;

/// When a refused caller may come back, in ms: for want of room, and of the store.
const RETRY_ROOM_MS: Millis = 1_000;
const RETRY_STORE_MS: Millis = 5_000;

impl Node {
    /// Takes a caller's request in.
    pub(super) fn request(
        &mut self,
        reply: ReplyId,
        ask: CallerRequest,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if let Some(reason) = self.refuse_entry(&ask, now) {
            refuse(reply, reason, out);
            return;
        }
        let key = ask.key.clone();
        let claim = self.rng.random();
        let request = EntryRequest {
            deadline: now + ask.wait_ms,
            ask,
            attempt: 0,
            task: None,
            owner: None,
            spec: None,
            sent_at: now,
            granted: None,
            refused_by: BTreeSet::new(),
            claim,
            claimed: key.is_none(),
        };
        self.requests.requests.insert(reply, request);
        match key {
            Some(key) => {
                let body = JobCall::ClaimKey { key, claim };
                self.call_coordinator(CallPurpose::Key(reply), body, now, out);
            }
            None => self.attempt(reply, now, out),
        }
    }

    fn refuse_entry(&self, ask: &CallerRequest, now: Millis) -> Option<RefuseReason> {
        let config = &self.cluster.config;
        if self.stopping() {
            Some(RefuseReason::Stopping)
        } else if !self.cluster.config_trusted(now) {
            Some(RefuseReason::Isolated)
        } else if !config.document.queues.contains_key(&ask.queue) {
            Some(RefuseReason::NeverFits)
        } else if config.limit(&ask.organisation) == 0 {
            Some(RefuseReason::TeamLimit)
        } else if ask.key.is_some() && !self.cluster.store_ok(now) {
            Some(RefuseReason::StoreDown)
        } else {
            None
        }
    }

    /// Asks the most promising owner for a worker, or refuses the request.
    fn attempt(&mut self, reply: ReplyId, now: Millis, out: &mut EffectBuffer) {
        let Some(request) = self.requests.requests.get(&reply) else {
            return;
        };
        let config = self.cluster.config.clone();
        let left = request.deadline.saturating_sub(now);
        let policy = config.document.queues.get(&request.ask.queue);
        let exhausted = left == 0 || request.attempt >= MOST_ATTEMPTS;
        let refused_by = request.refused_by.clone();
        let Some(policy) = policy.filter(|_| !exhausted) else {
            self.give_up(reply, RefuseReason::NoRoom, now, out);
            return;
        };
        let Some(owner) = self.choose_owner(&policy.pool, &policy.need, &refused_by, now) else {
            self.wait_for_owner(reply, now);
            return;
        };
        let (a, b): (u64, u64) = (self.rng.random(), self.rng.random());
        let task = TaskId::from(format!("{a:016x}{b:016x}"));
        let Some(request) = self.requests.requests.get_mut(&reply) else {
            return;
        };
        request.attempt += 1;
        request.task = Some(task.clone());
        request.owner = Some(owner.clone());
        request.granted = None;
        self.requests.by_task.insert(task, reply);
        *self.requests.in_flight.entry(owner).or_default() += 1;
        self.send_request_ask(reply, now, out);
    }

    /// Keeps a request until shards have found their owners, or its deadline passes.
    fn wait_for_owner(&mut self, reply: ReplyId, now: Millis) {
        if let Some(request) = self.requests.requests.get_mut(&reply) {
            request.owner = None;
            request.sent_at = now;
            request.refused_by.clear();
        }
    }

    fn send_request_ask(&mut self, reply: ReplyId, now: Millis, out: &mut EffectBuffer) {
        let asker = self.id().clone();
        let config = self.cluster.config.clone();
        let Some(request) = self.requests.requests.get_mut(&reply) else {
            return;
        };
        let policy = config.document.queues.get(&request.ask.queue);
        let (Some(task), Some(owner), Some(policy)) = (&request.task, &request.owner, policy)
        else {
            return;
        };
        request.sent_at = now;
        let spec = TaskSpec {
            id: task.clone(),
            organisation: request.ask.organisation.clone(),
            pool: policy.pool.clone(),
            need: policy.need,
            kind: TaskKind::Request,
            priority: policy.priority,
            job: None,
            part: 0,
            run_ms: policy.run_ms,
            pack: policy.pack(),
            asker,
        };
        request.spec = Some(spec.clone());
        let wait_ms = request.deadline.saturating_sub(now);
        let ask = PlacementRequest {
            spec,
            shard: None,
            hold: false,
            wait_ms,
        };
        out.send(&owner.clone(), Message::Place(ask));
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
        let fenced = |id: ShardId| shards.get(&id).is_some_and(|s| s.fenced);
        if !refused_by.contains(&me) && self.book.fit(pool, need, false, now, fenced).is_some() {
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
                .filter(|f| f.pool == *pool && f.largest.holds(need));
            let (mut holds, mut slots) = (false, 0);
            for free in of_pool {
                holds = true;
                slots += if free.best.holds(need) {
                    free.free_slots
                } else {
                    0
                };
            }
            let sent = self.requests.in_flight.get(id).copied().unwrap_or(0);
            if holds {
                rooms.push((
                    slots.saturating_sub(sent),
                    view.heartbeat.queue_length + sent,
                    id.clone(),
                ));
            }
        }
        let own = self.book.could_fit(pool, need, None) && !refused_by.contains(&me);
        if own {
            let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
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
    pub(super) fn placed(
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
        let reply = self.requests.by_task.get(task).copied();
        let request = reply.and_then(|r| self.requests.requests.get_mut(&r));
        let (Some(reply), Some(request)) = (reply, request) else {
            if kind == TaskKind::Job {
                return;
            }
            self.give_back(from, task, Some(shard), false, now, out);
            return;
        };
        if request.granted.is_some() {
            return;
        }
        request.granted = Some((shard, worker.clone(), fence));
        if let Some(spec) = request.spec.clone() {
            let body = RequestReply::Go {
                spec,
                worker,
                address,
                fence,
            };
            out.request_reply(reply, body);
        }
    }

    /// Handles a refusal by an owner.
    pub(super) fn refused(
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
        let Some(reply) = self.requests.by_task.get(task).copied() else {
            return;
        };
        let Some(request) = self.requests.requests.get_mut(&reply) else {
            return;
        };
        if request.granted.is_some() {
            return;
        }
        self.requests.by_task.remove(task);
        request.task = None;
        request.refused_by.insert(from.clone());
        match reason {
            RefuseReason::NotOwner
            | RefuseReason::Stopping
            | RefuseReason::NeverFits
            | RefuseReason::NoRoom => self.attempt(reply, now, out),
            _ => self.give_up(reply, reason, now, out),
        }
    }

    /// Gives the final refusal of a request that was not dispatched.
    fn give_up(
        &mut self,
        reply: ReplyId,
        reason: RefuseReason,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(request) = self.requests.requests.remove(&reply) else {
            return;
        };
        if let (Some(task), Some(owner)) = (request.task, request.owner) {
            self.requests.by_task.remove(&task);
            self.give_back(&owner, &task, None, false, now, out);
        }
        self.settle_claim(&request.ask, request.claim, None, now, out);
        refuse(reply, reason, out);
    }

    /// Notes how a request ended that was sent to a worker.
    pub(super) fn request_ended(
        &mut self,
        reply: ReplyId,
        outcome: RequestOutcome,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(request) = self.requests.requests.get_mut(&reply) else {
            return;
        };
        let finished = matches!(outcome, RequestOutcome::Answered(_));
        let task = request.task.take();
        let owner = request.owner.clone();
        let granted = request.granted.take();
        if let (Some(task), Some(owner)) = (task, owner) {
            let shard = granted.map(|(shard, _, _)| shard);
            self.requests.by_task.remove(&task);
            self.give_back(&owner, &task, shard, finished, now, out);
        }
        if outcome == RequestOutcome::NotRun {
            self.attempt(reply, now, out);
            return;
        }
        let Some(request) = self.requests.requests.remove(&reply) else {
            return;
        };
        match outcome {
            RequestOutcome::Answered(status) => {
                self.settle_claim(&request.ask, request.claim, Some(status), now, out);
            }
            RequestOutcome::GivenUp => {
                self.settle_claim(&request.ask, request.claim, None, now, out);
            }
            RequestOutcome::NotRun | RequestOutcome::Unknown => {}
        }
    }

    fn settle_claim(
        &mut self,
        ask: &CallerRequest,
        claim: u64,
        status: Option<u16>,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        if let Some(key) = ask.key.clone() {
            let body = JobCall::CompleteKey { key, claim, status };
            self.call_coordinator(CallPurpose::Nobody, body, now, out);
        }
    }

    /// Gives a task back to its owner, until that is acknowledged.
    fn give_back(
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
            give_up_at: now + RELEASE_WAIT_MS,
        };
        self.requests.releases.insert(task.clone(), release);
        self.send_release(task, now, out);
    }

    fn send_release(&mut self, task: &TaskId, now: Millis, out: &mut EffectBuffer) {
        let Some(release) = self.requests.releases.get_mut(task) else {
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
        call_for: CallPurpose,
        body: JobCall,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        self.last_number += 1;
        let call = self.last_number;
        let pending = PendingCall {
            call_for,
            shard: body.coordinator(),
            body,
            sent_at: now,
            give_up_at: now + CALL_WAIT_MS,
        };
        self.requests.calls.insert(call, pending);
        self.send_call(call, now, out);
    }

    fn send_call(&mut self, call: u64, now: Millis, out: &mut EffectBuffer) {
        let Some(pending) = self.requests.calls.get_mut(&call) else {
            return;
        };
        pending.sent_at = now;
        if let Some(owner) = self.cluster.table.owner(pending.shard) {
            let body = pending.body.clone();
            out.send(owner, Message::CoordinatorCall { call, body });
        }
    }

    /// Handles a local caller's job call.
    pub(super) fn job_call(
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
        let Some(pending) = self.requests.calls.remove(&call) else {
            return;
        };
        match pending.call_for {
            CallPurpose::Nobody => {}
            CallPurpose::Caller(reply) => out.job_reply(reply, body),
            CallPurpose::Key(reply) => self.key_answer(reply, &body, now, out),
        }
    }

    fn key_answer(&mut self, reply: ReplyId, body: &JobReply, now: Millis, out: &mut EffectBuffer) {
        match body {
            JobReply::KeyClaimed => {
                if let Some(request) = self.requests.requests.get_mut(&reply) {
                    request.claimed = true;
                }
                self.attempt(reply, now, out);
            }
            JobReply::KeyUsed(state) => {
                self.requests.requests.remove(&reply);
                let body = match state {
                    IdempotencyState::Completed(status) => RequestReply::Seen { status: *status },
                    IdempotencyState::Claimed => RequestReply::SeenUnknown,
                };
                out.request_reply(reply, body);
            }
            JobReply::Refused(reason) => self.give_up(reply, *reason, now, out),
            _ => self.give_up(reply, RefuseReason::StoreDown, now, out),
        }
    }

    /// Repeats what was not answered and gives up what waited too long.
    pub(super) fn pump_requests(&mut self, now: Millis, out: &mut EffectBuffer) {
        self.pump_asks(now, out);
        self.pump_calls(now, out);
        self.pump_releases(now, out);
    }

    fn pump_asks(&mut self, now: Millis, out: &mut EffectBuffer) {
        let waiting: Vec<ReplyId> = self
            .requests
            .requests
            .iter()
            .filter(|(_, r)| r.granted.is_none() && now >= r.sent_at + REPEAT_MS)
            .map(|(reply, _)| *reply)
            .collect();
        for reply in waiting {
            let request = &self.requests.requests[&reply];
            let owner = request.owner.as_ref();
            let alive = owner.is_some_and(|o| self.cluster.is_alive(o, now));
            let claimed = request.claimed;
            if now >= request.deadline {
                self.give_up(reply, RefuseReason::Deadline, now, out);
            } else if claimed && alive {
                self.send_request_ask(reply, now, out);
            } else if claimed {
                self.ask_another(reply, now, out);
            }
        }
    }

    /// Turns from an owner that is gone to another one.
    fn ask_another(&mut self, reply: ReplyId, now: Millis, out: &mut EffectBuffer) {
        let Some(request) = self.requests.requests.get_mut(&reply) else {
            return;
        };
        if let (Some(task), Some(owner)) = (request.task.take(), request.owner.clone()) {
            request.refused_by.insert(owner.clone());
            self.requests.by_task.remove(&task);
            self.give_back(&owner, &task, None, false, now, out);
        }
        self.attempt(reply, now, out);
    }

    fn pump_calls(&mut self, now: Millis, out: &mut EffectBuffer) {
        let late: Vec<u64> = self
            .requests
            .calls
            .iter()
            .filter(|(_, c)| now >= c.sent_at + REPEAT_MS)
            .map(|(call, _)| *call)
            .collect();
        for call in late {
            if now >= self.requests.calls[&call].give_up_at {
                self.handle_coordinator_reply(call, JobReply::TimedOut, now, out);
            } else {
                self.send_call(call, now, out);
            }
        }
    }

    fn pump_releases(&mut self, now: Millis, out: &mut EffectBuffer) {
        self.requests.releases.retain(|_, r| now < r.give_up_at);
        let late: Vec<TaskId> = self
            .requests
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
