//! The shard owner's leases on the workers of its shards, and the runs on them.
//!
//! Called on every tick, for the worker calls' replies and when a ledger becomes durable. Must
//! not open a worker that is not in the durable roster: the next owner would not know of it.

use {
    crate::{
        chart::{self, WorkerEvent},
        core::{
            CallId, EffectBuffer, EndedTask, FencingToken, HostedStage, HostedTask, LogEvent,
            Millis, Node, ShardId, TaskId, TaskKind, TaskOutcome, TaskSpec, VmRecord, WorkerId,
            WorkerOp, WorkerReply, WorkerState,
        },
    },
    std::collections::BTreeSet,
};

/// Backoff after a failed lease call, and interval between repeated starts and stops, in ms.
const RETRY_MS: Millis = 1_000;

/// Margin added to a lease's TTL for clocks that run at different speeds, in ms.
const CLOCK_MARGIN_MS: Millis = 2_000;

impl Node {
    /// Adds the VMs of the platform's list to the durable rosters and removes unlisted workers.
    pub(super) fn sync_roster(&mut self, now: Millis, out: &mut EffectBuffer) {
        let list = std::mem::take(&mut self.vm_list);
        for vm in &list {
            let id = ShardId::of(vm.rack.as_str());
            let Some(shard) = self.shards.get_mut(&id).filter(|s| s.ledger.is_ready()) else {
                continue;
            };
            match self.worker_registry.get_mut(&vm.id) {
                Some(worker) => worker.vm.leaving = vm.leaving,
                None if vm.leaving => {}
                None => {
                    let epoch = shard.epoch;
                    shard.ledger.value.roster.insert(vm.id.clone(), vm.clone());
                    let change = shard.ledger.record_change();
                    shard.jobs.unrecorded_workers.insert(vm.id.clone(), change);
                    self.worker_registry
                        .insert(vm.clone(), id, epoch, WorkerState::Listed);
                }
            }
        }
        let listed: BTreeSet<&WorkerId> = list.iter().map(|vm| &vm.id).collect();
        self.remove_unlisted_workers(&listed, now, out);
        self.vm_list = list;
    }

    /// Removes workers that the list no longer shows and that no call has reached since.
    ///
    /// That must last for the lease's TTL plus the clock margin, so that the lease has expired; a
    /// reply in the meantime restarts the period.
    pub(super) fn remove_unlisted_workers(
        &mut self,
        listed: &BTreeSet<&WorkerId>,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let timeout = self.tuning.worker_ttl_ms + CLOCK_MARGIN_MS;
        let ids: Vec<WorkerId> = self
            .worker_registry
            .iter()
            .map(|w| w.vm.id.clone())
            .collect();
        for id in ids {
            let Some(worker) = self.worker_registry.get_mut(&id) else {
                continue;
            };
            if listed.contains(&id) {
                worker.unlisted_since = None;
                continue;
            }
            let since = *worker.unlisted_since.get_or_insert(now);
            let replied = worker.clock_sample.is_some_and(|(_, at)| at >= since);
            if replied && !worker.unreachable {
                worker.unlisted_since = Some(now);
            }
            if now >= worker.unlisted_since.unwrap_or(now) + timeout && worker.unreachable {
                self.remove_worker(&id, now, out);
            }
        }
    }

    /// Removes a worker from the registry and its durable roster; its tasks are lost.
    pub(super) fn remove_worker(&mut self, id: &WorkerId, now: Millis, out: &mut EffectBuffer) {
        out.log(LogEvent::WorkerGone, id.to_string());
        self.fail_tasks_as_lost(id, now, out);
        let Some(worker) = self.worker_registry.remove(id) else {
            return;
        };
        if let Some(shard) = self.shards.get_mut(&worker.shard) {
            shard.ledger.value.roster.remove(id);
            shard.ledger.record_change();
        }
        self.check_fencing_done(worker.shard, out);
    }

    /// Ends all tasks of a worker as lost; only for one that certainly runs nothing any more.
    pub(super) fn fail_tasks_as_lost(
        &mut self,
        id: &WorkerId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(worker) = self.worker_registry.get(id) else {
            return;
        };
        let tasks: Vec<TaskId> = worker.tasks.keys().cloned().collect();
        for task in tasks {
            self.finish_task(&task, TaskOutcome::Lost, now, out);
        }
    }

    /// Starts to open the workers whose roster entries have become durable.
    ///
    /// On the first call for a shard these are the workers of the recovered roster. Also checks
    /// whether the shard's fencing is done.
    pub(super) fn open_recorded_workers(&mut self, id: ShardId, out: &mut EffectBuffer) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        if !shard.jobs.jobs_loaded {
            shard.jobs.jobs_loaded = true;
            let roster: Vec<VmRecord> = shard.ledger.value.roster.values().cloned().collect();
            let epoch = shard.epoch;
            for vm in roster {
                self.worker_registry
                    .insert(vm, id, epoch, WorkerState::Opening);
            }
        }
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let ledger = &shard.ledger;
        let mut durable = Vec::new();
        shard.jobs.unrecorded_workers.retain(|worker, change| {
            let is_durable = ledger.is_durable(*change);
            if is_durable {
                durable.push(worker.clone());
            }
            !is_durable
        });
        for worker in durable {
            if let Some(worker) = self.worker_registry.get_mut(&worker) {
                chart::worker().apply(&mut worker.state, WorkerEvent::Recorded);
            }
        }
        self.check_fencing_done(id, out);
    }

    /// Marks a shard as fenced once no worker of it is left to open.
    ///
    /// From then on no earlier owner can start a task there, so that owner reports become due.
    pub(super) fn check_fencing_done(&mut self, id: ShardId, out: &mut EffectBuffer) {
        let unopened = self.worker_registry.iter().any(|w| {
            w.shard == id && matches!(w.state, WorkerState::Opening | WorkerState::Listed)
        });
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        if shard.fencing_done || unopened || !shard.jobs.jobs_loaded {
            return;
        }
        shard.fencing_done = true;
        self.owner_reports_due = true;
        self.queue_changed = true;
        out.log(LogEvent::ShardFenced, format!("shard {id}"));
    }

    /// Expires leases and sends the due lease calls, starts and stops of all workers.
    pub(super) fn drive_workers(&mut self, now: Millis, out: &mut EffectBuffer) {
        let ids: Vec<WorkerId> = self
            .worker_registry
            .iter()
            .map(|w| w.vm.id.clone())
            .collect();
        for id in ids {
            self.expire_lease(&id, now, out);
            self.send_lease_call(&id, now, out);
            self.send_task_ops(&id, now, out);
        }
    }

    /// Ends the tasks of a worker as lost once its lease has certainly expired.
    pub(super) fn expire_lease(&mut self, id: &WorkerId, now: Millis, out: &mut EffectBuffer) {
        let Some(worker) = self.worker_registry.get_mut(id) else {
            return;
        };
        let expired = worker.lease_expired_by.is_some_and(|at| now >= at);
        if worker.state != WorkerState::Open || !expired {
            return;
        }
        chart::worker().apply(&mut worker.state, WorkerEvent::LeaseExpired);
        out.log(LogEvent::WorkerLapsed, id.to_string());
        self.fail_tasks_as_lost(id, now, out);
    }

    /// Opens or renews a worker's lease unless a lease call is in flight or the backoff lasts.
    ///
    /// An open but unreachable worker is opened again under a higher `lease_seq`, with the end of
    /// its current lease, so that the call does not extend it.
    pub(super) fn send_lease_call(&mut self, id: &WorkerId, now: Millis, out: &mut EffectBuffer) {
        let ttl_ms = self.tuning.worker_ttl_ms;
        let long_poll_ms = self.tuning.renew_long_poll_ms;
        let Some(worker) = self.worker_registry.get_mut(id) else {
            return;
        };
        if worker.lease_call_sent_at.is_some() || now < worker.retry_at {
            return;
        }
        let new_expiry = worker
            .clock_sample
            .map(|(clock, at)| clock + (now - at) + ttl_ms);
        let op = match worker.state {
            WorkerState::Listed => return,
            WorkerState::Open if !worker.unreachable => {
                worker.lease_expires_at = new_expiry.unwrap_or_default();
                worker.lease_expired_by = Some(now + ttl_ms + CLOCK_MARGIN_MS);
                WorkerOp::Renew {
                    fence: worker.fence,
                    lease_expires_at: worker.lease_expires_at,
                    long_poll_ms,
                    last_event: worker.last_event,
                    acked_event: worker.acked_event,
                }
            }
            WorkerState::Open => {
                worker.fence.lease_seq += 1;
                let lease_expires_at = Some(worker.lease_expires_at);
                WorkerOp::Open {
                    fence: worker.fence,
                    ttl_ms,
                    lease_expires_at,
                }
            }
            WorkerState::Opening | WorkerState::Lapsed => {
                worker.fence.lease_seq += 1;
                WorkerOp::Open {
                    fence: worker.fence,
                    ttl_ms,
                    lease_expires_at: None,
                }
            }
        };
        worker.lease_call_sent_at = Some(now);
        let call = out.worker(id, &worker.vm.address, op);
        self.worker_calls.insert(call, (id.clone(), None));
    }

    /// Sends a reachable worker the starts and stops that it has not confirmed.
    pub(super) fn send_task_ops(&mut self, id: &WorkerId, now: Millis, out: &mut EffectBuffer) {
        let Some(worker) = self.worker_registry.get_mut(id) else {
            return;
        };
        if worker.state != WorkerState::Open || worker.unreachable {
            return;
        }
        let address = worker.vm.address.clone();
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
                HostedStage::Reserved | HostedStage::Dispatched | HostedStage::Running => continue,
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

    /// Handles the reply to a worker call; `None` if the call failed.
    pub(super) fn handle_worker_reply(
        &mut self,
        call: CallId,
        reply: Option<WorkerReply>,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some((id, task)) = self.worker_calls.remove(&call) else {
            return;
        };
        match task {
            Some(task) => self.handle_task_reply(&id, &task, reply.as_ref(), now, out),
            None => self.handle_lease_reply(&id, reply, now, out),
        }
        self.queue_changed = true;
    }

    /// Handles the reply to a start or stop; without one it is sent again.
    pub(super) fn handle_task_reply(
        &mut self,
        id: &WorkerId,
        task: &TaskId,
        reply: Option<&WorkerReply>,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        match reply {
            Some(WorkerReply::Started) => {
                if let Some((hosted, _)) = self.worker_registry.task_mut(task)
                    && hosted.stage == HostedStage::Starting
                {
                    hosted.stage = HostedStage::Running;
                }
            }
            Some(WorkerReply::Stopped { outcome }) => self.finish_task(task, *outcome, now, out),
            Some(WorkerReply::Lapsed) => self.handle_lease_expired(id),
            Some(WorkerReply::Fenced { highest_fence }) => {
                out.log(
                    LogEvent::WorkerFenced,
                    format!(
                        "{id} has seen the fencing token of epoch {}",
                        highest_fence.epoch.0
                    ),
                );
            }
            Some(WorkerReply::Opened { .. } | WorkerReply::Renewed { .. }) | None => {}
        }
    }

    /// Handles a worker's reply that its lease has expired.
    ///
    /// The lease is opened again, which shows what the worker still runs.
    pub(super) fn handle_lease_expired(&mut self, id: &WorkerId) {
        if let Some(worker) = self.worker_registry.get_mut(id) {
            chart::worker().apply(&mut worker.state, WorkerEvent::ReportedLapsed);
            worker.unreachable = true;
        }
    }

    /// Handles the reply to an open or renew call.
    ///
    /// A failed call makes the worker unreachable: it gets no new work until it is opened again.
    pub(super) fn handle_lease_reply(
        &mut self,
        id: &WorkerId,
        reply: Option<WorkerReply>,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(worker) = self.worker_registry.get_mut(id) else {
            return;
        };
        worker.lease_call_sent_at = None;
        match reply {
            Some(WorkerReply::Opened {
                clock_ms,
                running,
                ended,
                last_event,
            }) => {
                worker.clock_sample = Some((clock_ms, now));
                worker.unreachable = false;
                self.reconcile_opened(id, running, &ended, last_event, now, out);
            }
            Some(WorkerReply::Renewed {
                clock_ms,
                ended,
                last_event,
            }) => {
                worker.clock_sample = Some((clock_ms, now));
                worker.unreachable = false;
                worker.last_event = last_event;
                let shard = worker.shard;
                self.handle_ended_tasks(shard, &ended, now, out);
                self.advance_acked(id);
                self.send_lease_call(id, now, out);
            }
            Some(WorkerReply::Lapsed) => self.handle_lease_expired(id),
            Some(WorkerReply::Fenced { highest_fence }) => {
                worker.unreachable = true;
                worker.retry_at = now + RETRY_MS;
                out.log(
                    LogEvent::WorkerFenced,
                    format!(
                        "{id} has seen the fencing token of epoch {}",
                        highest_fence.epoch.0
                    ),
                );
            }
            Some(WorkerReply::Started | WorkerReply::Stopped { .. }) | None => {
                worker.unreachable = true;
                worker.retry_at = now + RETRY_MS;
            }
        }
    }

    /// Reconciles the hosted tasks with what a worker reports when its lease is opened.
    ///
    /// Unknown runs are adopted. Tasks that should run there but don't are lost; reserved ones get
    /// the new fencing token.
    pub(super) fn reconcile_opened(
        &mut self,
        id: &WorkerId,
        running: Vec<TaskSpec>,
        ended: &[EndedTask],
        last_event: u64,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let ttl = self.tuning.worker_ttl_ms + CLOCK_MARGIN_MS;
        let Some(worker) = self.worker_registry.get_mut(id) else {
            return;
        };
        if worker.state != WorkerState::Open {
            worker.lease_expired_by = Some(now + ttl);
        }
        chart::worker().apply(&mut worker.state, WorkerEvent::Opened);
        worker.last_event = last_event;
        let (fence, shard) = (worker.fence, worker.shard);
        self.capacity = self.worker_registry.open_capacity();
        out.log(LogEvent::WorkerOpened, id.to_string());
        self.handle_ended_tasks(shard, ended, now, out);
        let running_ids: BTreeSet<TaskId> = running.iter().map(|t| t.id.clone()).collect();
        for spec in running {
            self.adopt_running(id, shard, spec, fence, now);
        }
        let missing: Vec<(TaskId, HostedStage)> = self
            .worker_registry
            .get(id)
            .into_iter()
            .flat_map(|w| &w.tasks)
            .filter(|(task, _)| !running_ids.contains(*task))
            .map(|(task, hosted)| (task.clone(), hosted.stage))
            .collect();
        for (task, stage) in missing {
            match stage {
                HostedStage::Starting | HostedStage::Running | HostedStage::Stopping => {
                    self.finish_task(&task, TaskOutcome::Lost, now, out);
                }
                HostedStage::Reserved => self.update_fence(&task, fence),
                HostedStage::Dispatched => {}
            }
        }
        self.check_fencing_done(shard, out);
        self.send_lease_call(id, now, out);
    }

    /// Sets the fencing token under which a reserved task will be started.
    pub(super) fn update_fence(&mut self, task: &TaskId, fence: FencingToken) {
        if let Some((hosted, _)) = self.worker_registry.task_mut(task) {
            hosted.fence = fence;
        }
    }

    /// Adopts a running task that was started by an earlier owner or under an earlier lease.
    ///
    /// Counts against the quota even beyond its amount, as the task runs already.
    pub(super) fn adopt_running(
        &mut self,
        id: &WorkerId,
        shard: ShardId,
        spec: TaskSpec,
        fence: FencingToken,
        now: Millis,
    ) {
        if let Some((hosted, _)) = self.worker_registry.task_mut(&spec.id) {
            if hosted.stage == HostedStage::Starting {
                hosted.stage = HostedStage::Running;
            }
            return;
        }
        let stage = match spec.kind {
            TaskKind::Job => HostedStage::Running,
            TaskKind::Request => HostedStage::Dispatched,
        };
        let quota = self.shard_quota_mut(shard, &spec.organisation);
        if let Some(quota) = quota {
            quota.used += 1;
        }
        self.add_usage(&spec.organisation, &spec.need);
        let hosted = HostedTask {
            spec,
            stage,
            placed_at: now,
            fence,
            sent_at: now,
        };
        self.worker_registry.add_task(id, hosted);
    }

    /// Finishes the hosted tasks among those that ended on a worker.
    ///
    /// The end of a job's task not hosted here, as after a takeover, is reported to the job
    /// coordinator.
    pub(super) fn handle_ended_tasks(
        &mut self,
        shard: ShardId,
        ended: &[EndedTask],
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        for end in ended {
            if self.worker_registry.host_of(&end.task).is_some() {
                self.finish_task(&end.task, end.outcome, now, out);
            } else if let Some(job) = &end.job {
                self.report_task_end(shard, job, &end.task, end.outcome, now, out);
            }
        }
    }

    /// Lets the worker drop its ended tasks once the job coordinators have acknowledged every task
    /// end of the shard.
    pub(super) fn advance_acked(&mut self, id: &WorkerId) {
        let Some(worker) = self.worker_registry.get_mut(id) else {
            return;
        };
        let pending = self
            .shards
            .get(&worker.shard)
            .map_or(0, |s| s.unacked_ends.len());
        if pending == 0 {
            worker.acked_event = worker.last_event;
        }
    }

    /// Counts a task's outcome for its worker's health; may quarantine the worker.
    pub(super) fn record_health(
        &mut self,
        id: &WorkerId,
        spec: &TaskSpec,
        outcome: TaskOutcome,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(worker) = self.worker_registry.get_mut(id) else {
            return;
        };
        match outcome {
            TaskOutcome::Done => worker.health.record_success(),
            TaskOutcome::Failed => {
                let job = spec.job.clone().unwrap_or_else(|| spec.id.as_str().into());
                if worker.health.record_failure(job, now) {
                    out.log(LogEvent::WorkerSetAside, id.to_string());
                }
            }
            TaskOutcome::Lost | TaskOutcome::Stopped | TaskOutcome::NotRun => {}
        }
    }
}
