//! The owner role: worker leases, placement and the allowances of owned shards.

use {
    crate::{
        chart::{self, WorkerEvent},
        core::{
            Allowance, CallId, EndedTask, Epoch, Fence, Hosted, HostedStage, JobId, LogEvent,
            Message, Millis, Node, NodeId, Out, Outcome, PlaceAsk, RefuseReason, Report, Resources,
            ShardId, TaskId, TaskKind, TaskSpec, TeamName, TokenKey, TokenStand, VmRecord,
            WorkerAnswer, WorkerId, WorkerOp, WorkerState,
            node::{EndedNote, SETTLED_REQUEST_KEEP_MS, SentReport},
            wait_queue::{Waiting, refusal},
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Pause after a worker call without an answer, and between repeats, in ms.
const RETRY_MS: Millis = 1_000;

/// Allowance for clocks that run at different speeds, in ms.
const CLOCK_MARGIN_MS: Millis = 2_000;

/// How long a held task waits for its gang, in ms.
const HOLD_MS: Millis = 3_000;

/// Shortest time between two asks for tokens of one team on one shard, in ms.
const TOKEN_ASK_MS: Millis = 100;

/// How many asks of a lane are tried before the next lane.
const LANE_HEADS: usize = 4;

/// Most tokens asked for beyond what runs.
const TOKEN_AHEAD: u32 = 16;

impl Node {
    /// Brings the durable rosters in line with the VM list.
    pub(super) fn match_roster(&mut self, now: Millis, out: &mut Out) {
        let list = std::mem::take(&mut self.vm_list);
        for vm in &list {
            let id = ShardId::of(vm.rack.as_str());
            let Some(shard) = self.shards.get_mut(&id).filter(|s| s.ledger.ready()) else {
                continue;
            };
            match self.book.get_mut(&vm.id) {
                Some(worker) => worker.record.leaving = vm.leaving,
                None if vm.leaving => {}
                None => {
                    let epoch = shard.epoch;
                    shard.ledger.value.roster.insert(vm.id.clone(), vm.clone());
                    let change = shard.ledger.touch();
                    shard.jobs.listed.insert(vm.id.clone(), change);
                    self.book.insert(vm.clone(), id, epoch, WorkerState::Listed);
                }
            }
        }
        let listed: BTreeSet<&WorkerId> = list.iter().map(|vm| &vm.id).collect();
        self.drop_gone(&listed, now, out);
        self.vm_list = list;
    }

    /// Drops workers that the list no longer shows and that no call has reached since.
    fn drop_gone(&mut self, listed: &BTreeSet<&WorkerId>, now: Millis, out: &mut Out) {
        let wait = self.tuning.worker_ttl_ms + CLOCK_MARGIN_MS;
        let ids: Vec<WorkerId> = self.book.iter().map(|w| w.record.id.clone()).collect();
        for id in ids {
            let Some(worker) = self.book.get_mut(&id) else {
                continue;
            };
            if listed.contains(&id) {
                worker.unlisted_since = None;
                continue;
            }
            let since = *worker.unlisted_since.get_or_insert(now);
            let heard = worker.clock.is_some_and(|(_, at)| at >= since);
            if heard && !worker.silent {
                worker.unlisted_since = Some(now);
            }
            if now >= worker.unlisted_since.unwrap_or(now) + wait && worker.silent {
                self.worker_gone(&id, now, out);
            }
        }
    }

    fn worker_gone(&mut self, id: &WorkerId, now: Millis, out: &mut Out) {
        out.log(LogEvent::WorkerGone, id.to_string());
        self.lose_tasks(id, now, out);
        let Some(worker) = self.book.remove(id) else {
            return;
        };
        if let Some(shard) = self.shards.get_mut(&worker.shard) {
            shard.ledger.value.roster.remove(id);
            shard.ledger.touch();
        }
        self.check_fenced(worker.shard, out);
    }

    /// Ends all tasks of a worker that surely runs nothing.
    fn lose_tasks(&mut self, id: &WorkerId, now: Millis, out: &mut Out) {
        let Some(worker) = self.book.get(id) else {
            return;
        };
        let tasks: Vec<TaskId> = worker.tasks.keys().cloned().collect();
        for task in tasks {
            self.free_task(&task, Outcome::Lost, now, out);
        }
    }

    /// Opens workers of rosters that became durable and notes fenced shards.
    pub(super) fn follow_roster(&mut self, id: ShardId, out: &mut Out) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        if !shard.jobs.loaded {
            shard.jobs.loaded = true;
            let roster: Vec<VmRecord> = shard.ledger.value.roster.values().cloned().collect();
            let epoch = shard.epoch;
            for vm in roster {
                self.book.insert(vm, id, epoch, WorkerState::Opening);
            }
        }
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let ledger = &shard.ledger;
        let mut durable = Vec::new();
        shard.jobs.listed.retain(|worker, change| {
            let done = ledger.is_durable(*change);
            if done {
                durable.push(worker.clone());
            }
            !done
        });
        for worker in durable {
            if let Some(worker) = self.book.get_mut(&worker) {
                chart::worker().follow(&mut worker.state, WorkerEvent::Recorded);
            }
        }
        self.check_fenced(id, out);
    }

    /// Notes that no earlier owner can start anything on a shard, and reports it.
    fn check_fenced(&mut self, id: ShardId, out: &mut Out) {
        let opening = self.book.iter().any(|w| {
            w.shard == id && matches!(w.state, WorkerState::Opening | WorkerState::Listed)
        });
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        if shard.fenced || opening || !shard.jobs.loaded {
            return;
        }
        shard.fenced = true;
        self.reports_due = true;
        self.queue_dirty = true;
        out.log(LogEvent::ShardFenced, format!("shard {id}"));
    }

    /// Sends due lease calls, starts and stops.
    pub(super) fn pump_workers(&mut self, now: Millis, out: &mut Out) {
        let ids: Vec<WorkerId> = self.book.iter().map(|w| w.record.id.clone()).collect();
        for id in ids {
            self.check_lapse(&id, now, out);
            self.pump_lease(&id, now, out);
            self.pump_tasks(&id, now, out);
        }
    }

    fn check_lapse(&mut self, id: &WorkerId, now: Millis, out: &mut Out) {
        let Some(worker) = self.book.get_mut(id) else {
            return;
        };
        let lapsed = worker.lapses_at.is_some_and(|at| now >= at);
        if worker.state != WorkerState::Open || !lapsed {
            return;
        }
        chart::worker().follow(&mut worker.state, WorkerEvent::RanOut);
        out.log(LogEvent::WorkerLapsed, id.to_string());
        self.lose_tasks(id, now, out);
    }

    fn pump_lease(&mut self, id: &WorkerId, now: Millis, out: &mut Out) {
        let ttl_ms = self.tuning.worker_ttl_ms;
        let hold_ms = self.tuning.renew_hold_ms;
        let Some(worker) = self.book.get_mut(id) else {
            return;
        };
        if worker.call_sent_at.is_some() || now < worker.retry_at {
            return;
        }
        let fresh_until = worker.clock.map(|(clock, at)| clock + (now - at) + ttl_ms);
        let op = match worker.state {
            WorkerState::Listed => return,
            WorkerState::Open if !worker.silent => {
                worker.until = fresh_until.unwrap_or_default();
                worker.lapses_at = Some(now + ttl_ms + CLOCK_MARGIN_MS);
                WorkerOp::Renew {
                    fence: worker.fence,
                    until: worker.until,
                    hold_ms,
                    after: worker.last_event,
                    acked: worker.acked_event,
                }
            }
            WorkerState::Open => {
                worker.fence.opening += 1;
                let until = Some(worker.until);
                WorkerOp::Open {
                    fence: worker.fence,
                    ttl_ms,
                    until,
                }
            }
            WorkerState::Opening | WorkerState::Lapsed => {
                worker.fence.opening += 1;
                WorkerOp::Open {
                    fence: worker.fence,
                    ttl_ms,
                    until: None,
                }
            }
        };
        worker.call_sent_at = Some(now);
        let call = out.worker(id, &worker.record.address, op);
        self.worker_calls.insert(call, (id.clone(), None));
    }

    fn pump_tasks(&mut self, id: &WorkerId, now: Millis, out: &mut Out) {
        let Some(worker) = self.book.get_mut(id) else {
            return;
        };
        if worker.state != WorkerState::Open || worker.silent {
            return;
        }
        let address = worker.record.address.clone();
        let fence = worker.fence;
        for (task, hosted) in &mut worker.tasks {
            let op = match hosted.stage {
                HostedStage::Starting => WorkerOp::Start {
                    fence: hosted.fence,
                    task: hosted.spec.clone(),
                },
                HostedStage::Stopping => WorkerOp::Stop {
                    fence,
                    task: task.clone(),
                },
                HostedStage::Held | HostedStage::Granted | HostedStage::Running => continue,
            };
            if now < hosted.sent_at + RETRY_MS {
                continue;
            }
            hosted.sent_at = now;
            let call = out.worker(id, &address, op);
            self.worker_calls
                .insert(call, (id.clone(), Some(task.clone())));
        }
    }

    /// Takes the answer of a worker.
    pub(super) fn worker_answer(
        &mut self,
        call: CallId,
        answer: Option<WorkerAnswer>,
        now: Millis,
        out: &mut Out,
    ) {
        let Some((id, task)) = self.worker_calls.remove(&call) else {
            return;
        };
        match task {
            Some(task) => self.task_answer(&id, &task, answer.as_ref(), now, out),
            None => self.lease_answer(&id, answer, now, out),
        }
        self.queue_dirty = true;
    }

    fn task_answer(
        &mut self,
        id: &WorkerId,
        task: &TaskId,
        answer: Option<&WorkerAnswer>,
        now: Millis,
        out: &mut Out,
    ) {
        match answer {
            Some(WorkerAnswer::Started) => {
                if let Some((hosted, _)) = self.book.task_mut(task)
                    && hosted.stage == HostedStage::Starting
                {
                    hosted.stage = HostedStage::Running;
                }
            }
            Some(WorkerAnswer::Stopped { outcome }) => self.free_task(task, *outcome, now, out),
            Some(WorkerAnswer::Lapsed) => self.reopen(id),
            Some(WorkerAnswer::Fenced { seen }) => {
                out.log(
                    LogEvent::WorkerFenced,
                    format!("{id} by epoch {}", seen.epoch.0),
                );
            }
            Some(WorkerAnswer::Opened { .. } | WorkerAnswer::Renewed { .. }) | None => {}
        }
    }

    /// Has a lapsed lease opened anew, which settles what the worker ran.
    fn reopen(&mut self, id: &WorkerId) {
        if let Some(worker) = self.book.get_mut(id) {
            chart::worker().follow(&mut worker.state, WorkerEvent::AnsweredLapsed);
            worker.silent = true;
        }
    }

    fn lease_answer(
        &mut self,
        id: &WorkerId,
        answer: Option<WorkerAnswer>,
        now: Millis,
        out: &mut Out,
    ) {
        let Some(worker) = self.book.get_mut(id) else {
            return;
        };
        worker.call_sent_at = None;
        match answer {
            Some(WorkerAnswer::Opened {
                clock,
                running,
                ended,
                last_event,
            }) => {
                worker.clock = Some((clock, now));
                worker.silent = false;
                self.opened(id, running, &ended, last_event, now, out);
            }
            Some(WorkerAnswer::Renewed {
                clock,
                ended,
                last_event,
            }) => {
                worker.clock = Some((clock, now));
                worker.silent = false;
                worker.last_event = last_event;
                let shard = worker.shard;
                self.tasks_ended(shard, &ended, now, out);
                self.note_acked(id);
                self.pump_lease(id, now, out);
            }
            Some(WorkerAnswer::Lapsed) => self.reopen(id),
            Some(WorkerAnswer::Fenced { seen }) => {
                worker.silent = true;
                worker.retry_at = now + RETRY_MS;
                out.log(
                    LogEvent::WorkerFenced,
                    format!("{id} by epoch {}", seen.epoch.0),
                );
            }
            Some(WorkerAnswer::Started | WorkerAnswer::Stopped { .. }) | None => {
                worker.silent = true;
                worker.retry_at = now + RETRY_MS;
            }
        }
    }

    /// Compares what an opened worker runs with what is known.
    fn opened(
        &mut self,
        id: &WorkerId,
        running: Vec<TaskSpec>,
        ended: &[EndedTask],
        last_event: u64,
        now: Millis,
        out: &mut Out,
    ) {
        let ttl = self.tuning.worker_ttl_ms + CLOCK_MARGIN_MS;
        let Some(worker) = self.book.get_mut(id) else {
            return;
        };
        if worker.state != WorkerState::Open {
            worker.lapses_at = Some(now + ttl);
        }
        chart::worker().follow(&mut worker.state, WorkerEvent::Opened);
        worker.last_event = last_event;
        let (fence, shard) = (worker.fence, worker.shard);
        self.capacity = self.book.capacity();
        out.log(LogEvent::WorkerOpened, id.to_string());
        self.tasks_ended(shard, ended, now, out);
        let alive: BTreeSet<TaskId> = running.iter().map(|t| t.id.clone()).collect();
        for spec in running {
            self.inherit(id, shard, spec, fence, now);
        }
        let missing: Vec<(TaskId, HostedStage)> = self
            .book
            .get(id)
            .into_iter()
            .flat_map(|w| &w.tasks)
            .filter(|(task, _)| !alive.contains(*task))
            .map(|(task, hosted)| (task.clone(), hosted.stage))
            .collect();
        for (task, stage) in missing {
            match stage {
                HostedStage::Starting | HostedStage::Running | HostedStage::Stopping => {
                    self.free_task(&task, Outcome::Lost, now, out);
                }
                HostedStage::Held => self.refence(&task, fence),
                HostedStage::Granted => {}
            }
        }
        self.check_fenced(shard, out);
        self.pump_lease(id, now, out);
    }

    fn refence(&mut self, task: &TaskId, fence: Fence) {
        if let Some((hosted, _)) = self.book.task_mut(task) {
            hosted.fence = fence;
        }
    }

    /// Counts a running task that an earlier owner or lease started.
    fn inherit(
        &mut self,
        id: &WorkerId,
        shard: ShardId,
        spec: TaskSpec,
        fence: Fence,
        now: Millis,
    ) {
        if let Some((hosted, _)) = self.book.task_mut(&spec.id) {
            if hosted.stage == HostedStage::Starting {
                hosted.stage = HostedStage::Running;
            }
            return;
        }
        let stage = match spec.kind {
            TaskKind::Job => HostedStage::Running,
            TaskKind::Request => HostedStage::Granted,
        };
        let allowance = self.allowance_mut(shard, &spec.team);
        if let Some(allowance) = allowance {
            allowance.used += 1;
        }
        self.count(&spec.team, &spec.need);
        let hosted = Hosted {
            spec,
            stage,
            since: now,
            fence,
            sent_at: now,
        };
        self.book.commit(id, hosted);
    }

    fn tasks_ended(&mut self, shard: ShardId, ended: &[EndedTask], now: Millis, out: &mut Out) {
        for end in ended {
            if self.book.host_of(&end.task).is_some() {
                self.free_task(&end.task, end.outcome, now, out);
            } else if let Some(job) = &end.job {
                self.note_ended(shard, job, &end.task, end.outcome, now, out);
            }
        }
    }

    /// Lets the worker forget ended tasks once their homes have noted them.
    fn note_acked(&mut self, id: &WorkerId) {
        let Some(worker) = self.book.get_mut(id) else {
            return;
        };
        let pending = self.shards.get(&worker.shard).map_or(0, |s| s.ended.len());
        if pending == 0 {
            worker.acked_event = worker.last_event;
        }
    }

    pub(super) fn allowance_mut(&mut self, id: ShardId, team: &TeamName) -> Option<&mut Allowance> {
        let home_epoch = self.home_epoch(team);
        let shard = self.shards.get_mut(&id)?;
        Some(
            shard
                .allowances
                .entry(team.clone())
                .or_insert_with(|| Allowance {
                    home_epoch,
                    ..Allowance::default()
                }),
        )
    }

    fn home_epoch(&self, team: &TeamName) -> Epoch {
        self.cluster.table.entry(ShardId::of(team.as_str())).epoch
    }

    fn count(&mut self, team: &TeamName, need: &Resources) {
        self.team_use.entry(team.clone()).or_default().add(need);
    }

    pub(super) fn uncount(&mut self, team: &TeamName, need: &Resources) {
        if let Some(used) = self.team_use.get_mut(team) {
            *used = used.minus(need);
        }
    }

    /// Frees what a task holds and tells its asker how it ended.
    pub(super) fn free_task(
        &mut self,
        task: &TaskId,
        outcome: Outcome,
        now: Millis,
        out: &mut Out,
    ) {
        let health_of = self.book.host_of(task).map(|w| w.record.id.clone());
        let Some((hosted, shard)) = self.book.release(task) else {
            return;
        };
        let spec = hosted.spec;
        self.queue_dirty = true;
        self.uncount(&spec.team, &spec.need);
        self.settle(&spec, outcome, now);
        self.give_back_token(shard, &spec.team, out);
        if let Some(worker) = health_of {
            self.judge(&worker, &spec, outcome, now, out);
        }
        match (&spec.job, spec.kind) {
            (Some(job), TaskKind::Job) => {
                self.note_ended(shard, job, &spec.id, outcome, now, out);
            }
            _ => out.send(&spec.asker, Message::Released { task: spec.id }),
        }
    }

    /// Tells the home of a job that a task ended, until it is acknowledged.
    fn note_ended(
        &mut self,
        shard: ShardId,
        job: &JobId,
        task: &TaskId,
        outcome: Outcome,
        now: Millis,
        out: &mut Out,
    ) {
        let home = ShardId::of(job.as_str());
        let note = EndedNote {
            home,
            outcome,
            sent_at: now,
        };
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.ended.insert(task.clone(), note);
        }
        self.send_ended(home, task, outcome, out);
    }

    fn send_ended(&self, home: ShardId, task: &TaskId, outcome: Outcome, out: &mut Out) {
        if let Some(owner) = self.cluster.table.owner(home) {
            let task = task.clone();
            let home = Some(home);
            out.send(
                owner,
                Message::Ended {
                    task,
                    outcome,
                    home,
                },
            );
        }
    }

    fn judge(
        &mut self,
        id: &WorkerId,
        spec: &TaskSpec,
        outcome: Outcome,
        now: Millis,
        out: &mut Out,
    ) {
        let Some(worker) = self.book.get_mut(id) else {
            return;
        };
        match outcome {
            Outcome::Done => worker.health.succeeded(),
            Outcome::Failed => {
                let job = spec.job.clone().unwrap_or_else(|| spec.id.as_str().into());
                if worker.health.failed(job, now) {
                    out.log(LogEvent::WorkerSetAside, id.to_string());
                }
            }
            Outcome::Lost | Outcome::Stopped | Outcome::NotRun => {}
        }
    }

    fn give_back_token(&mut self, shard: ShardId, team: &TeamName, out: &mut Out) {
        let Some(allowance) = self.allowance_mut(shard, team) else {
            return;
        };
        let used = allowance.used;
        allowance.used = used.saturating_sub(1);
        let above = used > allowance.amount;
        out.invariant(used > 0, || format!("token of {team} given back twice"));
        if above {
            self.send_stand(shard, team, out);
        }
    }

    fn send_stand(&mut self, shard: ShardId, team: &TeamName, out: &mut Out) {
        let Some(owned) = self.shards.get(&shard).filter(|s| s.fenced) else {
            return;
        };
        let Some(allowance) = owned.allowances.get(team) else {
            return;
        };
        let key = TokenKey {
            team: team.clone(),
            shard,
        };
        let stand = TokenStand {
            key,
            version: allowance.version,
            ceiling: allowance.ceiling(),
        };
        let home = ShardId::of(team.as_str());
        if let Some(owner) = self.cluster.table.owner(home) {
            let message = Message::TokenStand {
                epoch: owned.epoch,
                home_epoch: allowance.home_epoch,
                stand,
            };
            out.send(owner, message);
        }
    }

    /// Restarts version counting for allowances whose home has a new owner.
    pub(super) fn reset_allowances(&mut self) {
        let table = &self.cluster.table;
        for shard in self.shards.values_mut() {
            for (team, allowance) in &mut shard.allowances {
                let epoch = table.entry(ShardId::of(team.as_str())).epoch;
                if allowance.home_epoch != epoch {
                    allowance.home_epoch = epoch;
                    allowance.version = 0;
                }
            }
        }
    }

    pub(super) fn token_allow(
        &mut self,
        team: &TeamName,
        (id, epoch): (ShardId, Epoch),
        home_epoch: Epoch,
        (version, amount): (u64, u32),
        out: &mut Out,
    ) {
        let current = self.home_epoch(team) == home_epoch;
        let fenced = self
            .shards
            .get(&id)
            .is_some_and(|s| s.epoch == epoch && s.fenced);
        if !current || !fenced {
            return;
        }
        if let Some(allowance) = self.allowance_mut(id, team) {
            allowance.adopt(version, amount);
        }
        self.queue_dirty = true;
        self.send_stand(id, team, out);
    }

    fn ask_tokens(
        &mut self,
        id: ShardId,
        team: &TeamName,
        waiting: usize,
        now: Millis,
        out: &mut Out,
    ) {
        let key = (team.clone(), id);
        let asked = self.token_asked.get(&key);
        if asked.is_some_and(|at| now < at + TOKEN_ASK_MS) {
            return;
        }
        self.token_asked.insert(key, now);
        let home_epoch = self.home_epoch(team);
        let ahead = u32::try_from(waiting)
            .unwrap_or(TOKEN_AHEAD)
            .clamp(1, TOKEN_AHEAD);
        let Some(shard) = self.shards.get(&id) else {
            return;
        };
        let used = shard.allowances.get(team).map_or(0, |a| a.used);
        let home = ShardId::of(team.as_str());
        if let Some(owner) = self.cluster.table.owner(home) {
            let message = Message::TokenAsk {
                team: team.clone(),
                shard: id,
                epoch: shard.epoch,
                home_epoch,
                wish: used + ahead,
            };
            out.send(owner, message);
        }
    }

    /// Handles an ask for placement.
    pub(super) fn place(&mut self, from: &NodeId, ask: PlaceAsk, now: Millis, out: &mut Out) {
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
        let waiting = Waiting {
            from: from.clone(),
            since: now,
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

    fn refuse_at_once(&self, ask: &PlaceAsk) -> Option<RefuseReason> {
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

    fn refuse(&mut self, waiting: &Waiting, reason: RefuseReason, now: Millis, out: &mut Out) {
        if reason != RefuseReason::NotOwner {
            self.settle(&waiting.ask.spec, Outcome::NotRun, now);
        }
        out.send(&waiting.from, refusal(waiting, reason));
    }

    /// Refuses asks whose wait has ended.
    pub(super) fn expire_asks(&mut self, now: Millis, out: &mut Out) {
        for waiting in self.queue.expired(now) {
            self.refuse(&waiting, RefuseReason::Deadline, now, out);
        }
    }

    /// Places waiting asks while room and tokens last.
    pub(super) fn drain_queue(&mut self, now: Millis, out: &mut Out) {
        if !self.queue_dirty {
            return;
        }
        self.queue_dirty = false;
        while !self.queue.is_empty() && self.place_next(now, out) {}
    }

    fn place_next(&mut self, now: Millis, out: &mut Out) -> bool {
        let capacity = self.capacity;
        let (uses, config) = (&self.team_use, &self.cluster.config);
        let order = self.queue.order(|team| {
            let amount = uses.get(team).copied().unwrap_or_default();
            amount.dominant_fraction(&capacity) / f64::from(config.share(team))
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
    fn try_place(
        &mut self,
        ask: &PlaceAsk,
        now: Millis,
        out: &mut Out,
    ) -> Result<(), RefuseReason> {
        let spec = &ask.spec;
        let only = ask.shard.map(|(id, _)| id);
        let shards = &self.shards;
        let fenced =
            |id: ShardId| only.is_none_or(|o| o == id) && shards.get(&id).is_some_and(|s| s.fenced);
        let lent = |id: ShardId| {
            let allowance = shards.get(&id).and_then(|s| s.allowances.get(&spec.team));
            fenced(id) && allowance.is_some_and(|a| a.used < a.amount)
        };
        let fit = self.book.fit(&spec.pool, &spec.need, spec.pack, now, lent);
        let Some(worker) = fit else {
            let room = self
                .book
                .fit(&spec.pool, &spec.need, spec.pack, now, fenced);
            let shard = room.map(|w| w.shard).ok_or(RefuseReason::NoRoom)?;
            let waiting = self.queue.counts().get(&spec.team).copied().unwrap_or(1);
            self.ask_tokens(shard, &spec.team, waiting, now, out);
            return Err(RefuseReason::TeamLimit);
        };
        let (id, shard, fence) = (worker.record.id.clone(), worker.shard, worker.fence);
        let taken = self
            .allowance_mut(shard, &spec.team)
            .is_some_and(Allowance::take);
        out.invariant(taken, || format!("{} placed without a token", spec.id));
        let stage = match (ask.hold, spec.kind) {
            (true, _) => HostedStage::Held,
            (false, TaskKind::Job) => HostedStage::Starting,
            (false, TaskKind::Request) => HostedStage::Granted,
        };
        self.count(&spec.team, &spec.need);
        let hosted = Hosted {
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

    fn send_placed(&mut self, task: &TaskId, out: &mut Out) {
        let Some(worker) = self.book.host_of(task) else {
            return;
        };
        let hosted = &worker.tasks[task];
        let message = Message::Placed {
            task: task.clone(),
            shard: worker.shard,
            worker: worker.record.id.clone(),
            address: worker.record.address.clone(),
            fence: hosted.fence,
        };
        out.send(&hosted.spec.asker, message);
    }

    /// Starts a held task.
    pub(super) fn begin(&mut self, from: &NodeId, task: &TaskId, now: Millis, out: &mut Out) {
        let Some((hosted, vm)) = self.book.task_mut(task) else {
            let outcome = self.settled.get(task).copied().unwrap_or(Outcome::NotRun);
            let task = task.clone();
            out.send(
                from,
                Message::Ended {
                    task,
                    outcome,
                    home: None,
                },
            );
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
        shard: Option<ShardId>,
        finished: bool,
        now: Millis,
        out: &mut Out,
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
            self.release_unknown(from, task, now, out);
            return;
        };
        let id = vm.id.clone();
        match hosted.stage {
            HostedStage::Held => self.free_task(task, Outcome::NotRun, now, out),
            HostedStage::Granted if finished => self.free_task(task, Outcome::Done, now, out),
            HostedStage::Stopping => {}
            HostedStage::Granted | HostedStage::Starting | HostedStage::Running => {
                hosted.stage = HostedStage::Stopping;
                hosted.sent_at = 0;
                self.pump_tasks(&id, now, out);
            }
        }
    }

    /// Answers a release of a task that holds nothing here and never will.
    fn release_unknown(&mut self, from: &NodeId, task: &TaskId, now: Millis, out: &mut Out) {
        let outcome = self.settled.get(task).copied().unwrap_or(Outcome::NotRun);
        self.keep_settled(task, outcome, SETTLED_REQUEST_KEEP_MS, now);
        let task = task.clone();
        if self.shards.values().any(|s| s.ended.contains_key(&task)) {
            out.send(
                from,
                Message::Ended {
                    task,
                    outcome,
                    home: None,
                },
            );
            return;
        }
        out.send(from, Message::Released { task: task.clone() });
        out.send(
            from,
            Message::Ended {
                task,
                outcome,
                home: None,
            },
        );
    }

    /// Stops requests whose entry node is gone and held tasks whose gang did not begin.
    pub(super) fn stop_orphans(&mut self, now: Millis, out: &mut Out) {
        let mut orphans = Vec::new();
        for hosted in self.book.iter().flat_map(|w| w.tasks.values()) {
            let old = now >= hosted.since + HOLD_MS;
            let orphan = match hosted.stage {
                HostedStage::Held => old,
                HostedStage::Granted => old && !self.cluster.alive(&hosted.spec.asker, now),
                _ => false,
            };
            if orphan {
                orphans.push(hosted.spec.id.clone());
            }
        }
        for task in orphans {
            let me = self.id().clone();
            self.release_asked(&me, &task, None, false, now, out);
        }
    }

    /// Sends reports that are due and repeats what was not acknowledged.
    pub(super) fn pump_reports(&mut self, now: Millis, out: &mut Out) {
        if self.reports_due {
            self.reports_due = false;
            self.send_reports(now, out);
        }
        let late: Vec<u64> = self
            .reports
            .iter()
            .filter(|(_, r)| now >= r.sent_at + RETRY_MS)
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            if let Some(sent) = self.reports.get_mut(&number) {
                sent.sent_at = now;
                let report = sent.report.clone();
                out.send(&sent.to, Message::Report { number, report });
            }
        }
        let mut again = Vec::new();
        for shard in self.shards.values_mut() {
            for (task, note) in &mut shard.ended {
                if now >= note.sent_at + RETRY_MS {
                    note.sent_at = now;
                    again.push((note.home, task.clone(), note.outcome));
                }
            }
        }
        for (home, task, outcome) in again {
            self.send_ended(home, &task, outcome, out);
        }
    }

    fn send_reports(&mut self, now: Millis, out: &mut Out) {
        let mut homes: BTreeMap<NodeId, Vec<(ShardId, Epoch)>> = BTreeMap::new();
        for id in ShardId::all() {
            let entry = self.cluster.table.entry(id);
            if let Some(owner) = &entry.owner {
                homes
                    .entry(owner.clone())
                    .or_default()
                    .push((id, entry.epoch));
            }
        }
        self.reports.clear();
        for (to, homes) in homes {
            let report = self.build_report(homes);
            if report.shards.is_empty() {
                continue;
            }
            self.last_number += 1;
            let number = self.last_number;
            let message = Message::Report {
                number,
                report: report.clone(),
            };
            out.send(&to, message);
            self.reports.insert(
                number,
                SentReport {
                    to,
                    report,
                    sent_at: now,
                },
            );
        }
    }

    fn build_report(&self, homes: Vec<(ShardId, Epoch)>) -> Report {
        let addressed: BTreeSet<ShardId> = homes.iter().map(|(id, _)| *id).collect();
        let mut report = Report {
            homes,
            ..Report::default()
        };
        for (id, shard) in self.shards.iter().filter(|(_, s)| s.fenced) {
            report.shards.push((*id, shard.epoch));
            for (team, allowance) in &shard.allowances {
                if !addressed.contains(&ShardId::of(team.as_str())) {
                    continue;
                }
                report.stands.push(TokenStand {
                    key: TokenKey {
                        team: team.clone(),
                        shard: *id,
                    },
                    version: allowance.version,
                    ceiling: allowance.ceiling(),
                });
            }
            let ended = shard.ended.iter();
            let ended = ended.filter(|(_, n)| addressed.contains(&n.home));
            report.tasks.extend(ended.map(|(task, _)| task.clone()));
        }
        for hosted in self.book.iter().flat_map(|w| w.tasks.values()) {
            let home = hosted.spec.job.as_ref().map(|j| ShardId::of(j.as_str()));
            if home.is_some_and(|h| addressed.contains(&h)) {
                report.tasks.push(hosted.spec.id.clone());
            }
        }
        report
    }

    /// Returns the address of a worker of an owned shard.
    pub fn worker_address(&self, id: &WorkerId) -> Option<Arc<str>> {
        self.book.get(id).map(|w| w.record.address.clone())
    }
}

/// Repeats the outcome of a task id that was settled before.
fn answer_settled(from: &NodeId, ask: &PlaceAsk, outcome: Outcome, out: &mut Out) {
    let task = ask.spec.id.clone();
    let message = match (ask.spec.kind, outcome) {
        (TaskKind::Job, Outcome::NotRun) | (TaskKind::Request, _) => Message::Refused {
            task,
            reason: RefuseReason::Deadline,
        },
        (TaskKind::Job, _) => Message::Ended {
            task,
            outcome,
            home: None,
        },
    };
    out.send(from, message);
}
