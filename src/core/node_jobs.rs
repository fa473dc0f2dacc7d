//! The job coordinator's progress of durable jobs: loads them from the ledger, applies what owners
//! report about their runs and ends them. Called by `Node` on ledger progress, owners' messages and
//! ticks. It must not acknowledge or reply before the change is durable.

use {
    crate::{
        chart::{self, JobEvent, TaskEvent},
        core::{
            EffectBuffer, JobId, JobKind, JobRecord, JobReply, JobSpec, JobState, Message, Millis,
            Node, NodeId, RefuseReason, ShardId, TaskId, TaskOutcome, TaskRecord, TaskRun,
            TaskStage, WorkerId,
            job_coordinator::{AssignedRun, PendingReply, RunPhase},
            node_coordinator_calls::job_summary,
        },
    },
    rand::Rng,
    std::collections::BTreeMap,
};

/// Min and (exclusive) max backoff of a job after a refusal or an unsuccessful run, in ms.
const BACKOFF_MS: std::ops::Range<Millis> = 100..800;

/// Max ended jobs that a shard keeps for callers to read, beside the one that ended last.
const MAX_ENDED_JOBS: usize = 200;

impl Node {
    /// Acts on a ledger that was loaded or whose changes became durable.
    pub(super) fn on_ledger_progress(&mut self, id: ShardId, now: Millis, out: &mut EffectBuffer) {
        let Some(shard) = self.shards.get_mut(&id).filter(|s| s.ledger.is_ready()) else {
            return;
        };
        let newly_loaded = !shard.jobs.jobs_loaded;
        self.open_recorded_workers(id, out);
        if newly_loaded {
            self.load_jobs(id);
        }
        self.send_durable_replies(id, out);
        self.request_persisted_runs(id, now, out);
    }

    /// Rebuilds the runs and the queue in memory from the durable job records. Runs start as
    /// [`RunPhase::Recovering`] until an owner reports on them.
    pub(super) fn load_jobs(&mut self, id: ShardId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let mut gangs = Vec::new();
        let jobs = std::mem::take(&mut shard.ledger.value.jobs);
        for job in jobs.values().filter(|j| !j.state.is_terminal()) {
            let gang = job.spec.kind == JobKind::Gang;
            if gang {
                gangs.push(job.id.clone());
            }
            for (index, task) in job.tasks.iter().enumerate() {
                if let Some(run) = &task.run {
                    let assigned = recovering_run(job, index, run);
                    shard.jobs.assigned_runs.insert(run.id.clone(), assigned);
                } else if task.stage == TaskStage::Waiting && !gang {
                    shard.jobs.enqueue(job, index);
                }
            }
        }
        shard.ledger.value.jobs = jobs;
        for gang in gangs {
            self.requeue_gang(id, &gang);
        }
    }

    /// Sends the replies whose change is durable. The reply to a cancellation is created here once
    /// the job has ended.
    pub(super) fn send_durable_replies(&mut self, id: ShardId, out: &mut EffectBuffer) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let ledger = &shard.ledger;
        let jobs = &ledger.value.jobs;
        let change = ledger.last_change();
        let pending_replies = &mut shard.jobs.pending_replies;
        shard.jobs.pending_cancels.retain(|(job, to, call)| {
            let ended = jobs.get(job).filter(|j| j.state.is_terminal());
            if let Some(job) = ended {
                let body = JobReply::Job(job_summary(job, &BTreeMap::new()));
                let pending = PendingReply::Call {
                    to: to.clone(),
                    call: *call,
                    body,
                };
                pending_replies.push((change, pending));
            }
            ended.is_none()
        });
        shard.jobs.pending_replies.retain(|(change, pending)| {
            let durable = ledger.is_durable(*change);
            if durable {
                send_reply(pending, out);
            }
            !durable
        });
    }

    /// Returns the run of a task id that the shard's job coordinator has assigned.
    pub(super) fn assigned_run_mut(
        &mut self,
        id: ShardId,
        task: &TaskId,
    ) -> Option<&mut AssignedRun> {
        self.shards.get_mut(&id)?.jobs.assigned_runs.get_mut(task)
    }

    /// Records that an owner placed a job's task; returns false if no job here has it assigned.
    pub(super) fn handle_job_placed(
        &mut self,
        task: &TaskId,
        worker: &WorkerId,
        now: Millis,
        out: &mut EffectBuffer,
    ) -> bool {
        let Some(id) = self.shard_of_run(task) else {
            return false;
        };
        let gang = self.gang_of(id, task);
        let Some(assigned) = self.assigned_run_mut(id, task) else {
            return false;
        };
        assigned.worker = Some(worker.clone());
        assigned.phase = match (assigned.phase, &gang) {
            (RunPhase::Requested, Some(_)) => RunPhase::Reserved,
            (RunPhase::Requested | RunPhase::StartRequested | RunPhase::Recovering, _) => {
                RunPhase::Running
            }
            (phase, _) => phase,
        };
        if let Some(job) = gang {
            self.start_reserved_gang(id, &job, now, out);
        }
        true
    }

    /// Finds the owned shard whose job coordinator has assigned a task.
    pub(super) fn shard_of_run(&self, task: &TaskId) -> Option<ShardId> {
        let entry = self
            .shards
            .iter()
            .find(|(_, s)| s.jobs.assigned_runs.contains_key(task));
        entry.map(|(id, _)| *id)
    }

    /// Handles a refusal; returns false if no job here has the task assigned.
    ///
    /// A refusal from a node that does not own the shard is ignored: the owner may have accepted an
    /// earlier copy of the request. The owner's report decides.
    pub(super) fn handle_job_refused(
        &mut self,
        task: &TaskId,
        reason: RefuseReason,
        now: Millis,
        out: &mut EffectBuffer,
    ) -> bool {
        let Some(id) = self.shard_of_run(task) else {
            return false;
        };
        let phase = self.shards[&id].jobs.assigned_runs[task].phase;
        if matches!(phase, RunPhase::Persisting(_)) || reason == RefuseReason::NotOwner {
            return true;
        }
        self.end_run(id, task, TaskOutcome::NotRun, now, out);
        true
    }

    /// Handles the end of a task as its owner reports it; acknowledges it once it is durable.
    pub(super) fn handle_task_ended(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        (outcome, coordinator): (TaskOutcome, Option<ShardId>),
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let task = task.clone();
        let Some(id) = self.shard_of_run(&task) else {
            self.ack_recorded_end(from, task, coordinator);
            return;
        };
        let change = self.end_run(id, &task, outcome, now, out);
        if let Some(shard) = self.shards.get_mut(&id) {
            let pending = PendingReply::EndAck {
                to: from.clone(),
                task,
            };
            shard.jobs.pending_replies.push((change, pending));
        }
    }

    /// Acknowledges the end of a task that is recorded already.
    ///
    /// Only the current job coordinator may do so, which another write of its ledger proves.
    pub(super) fn ack_recorded_end(
        &mut self,
        from: &NodeId,
        task: TaskId,
        coordinator: Option<ShardId>,
    ) {
        let owned = coordinator.and_then(|id| self.shards.get_mut(&id));
        let Some(shard) = owned.filter(|s| s.jobs.jobs_loaded) else {
            return;
        };
        let change = shard.ledger.record_change();
        let pending = PendingReply::EndAck {
            to: from.clone(),
            task,
        };
        shard.jobs.pending_replies.push((change, pending));
    }

    /// Records how a run ended and queues its task again, ends it or releases its gang. Returns the
    /// number of the ledger change, 0 if the run is not assigned here.
    pub(super) fn end_run(
        &mut self,
        id: ShardId,
        task: &TaskId,
        outcome: TaskOutcome,
        now: Millis,
        out: &mut EffectBuffer,
    ) -> u64 {
        let Some(shard) = self.shards.get_mut(&id) else {
            return 0;
        };
        let Some(assigned) = shard.jobs.assigned_runs.remove(task) else {
            return 0;
        };
        let change = shard.ledger.record_change();
        let Some(job) = shard.ledger.value.jobs.get_mut(&assigned.job) else {
            return change;
        };
        let cancelling = job.state == JobState::Cancelling;
        let record = &mut job.tasks[assigned.index];
        record.run = None;
        let event = event_after_run(&job.spec, record, outcome, cancelling);
        chart::task().apply(&mut record.stage, event);
        let (stage, gang) = (record.stage, job.spec.kind == JobKind::Gang);
        let requeue = stage == TaskStage::Waiting && !gang;
        if requeue {
            let job = job.clone();
            shard.jobs.enqueue(&job, assigned.index);
        }
        if outcome != TaskOutcome::Done && stage == TaskStage::Waiting {
            self.back_off(id, &assigned.job, now);
        }
        if gang && !cancelling {
            if outcome != TaskOutcome::Done {
                self.release_gang(id, &assigned.job, now, out);
            }
            self.requeue_gang(id, &assigned.job);
        }
        self.finish_job(id, &assigned.job);
        change
    }

    /// Requests the owner to release an assigned task. One whose assignment is not durable yet was
    /// never requested and ends at once. A recovering one waits for the owner's report.
    pub(super) fn stop_run(
        &mut self,
        id: ShardId,
        task: &TaskId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(assigned) = self.assigned_run_mut(id, task) else {
            return;
        };
        match assigned.phase {
            RunPhase::Stopping => return,
            RunPhase::Persisting(_) => {
                self.end_run(id, task, TaskOutcome::NotRun, now, out);
                return;
            }
            RunPhase::Recovering => {}
            _ => assigned.phase = RunPhase::Stopping,
        }
        self.send_run_message(id, task, now, out);
    }

    /// Ends a job whose tasks have all ended: as unknown if one is unknown, else as failed if one
    /// failed or was cancelled.
    pub(super) fn finish_job(&mut self, id: ShardId, job_id: &JobId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(job) = shard.ledger.value.jobs.get_mut(job_id) else {
            return;
        };
        let unfinished = job.count(TaskStage::Waiting) + job.count(TaskStage::Assigned);
        if unfinished > 0 || job.state.is_terminal() {
            return;
        }
        let event = if job.count(TaskStage::Unknown) > 0 {
            JobEvent::SomeUnknown
        } else if job.count(TaskStage::Failed) + job.count(TaskStage::Cancelled) > 0 {
            JobEvent::SomeFailed
        } else {
            JobEvent::AllDone
        };
        chart::job().apply(&mut job.state, event);
        shard.jobs.retry_after.remove(job_id);
        shard.ledger.record_change();
        trim_ended_jobs(&mut shard.ledger.value.jobs, job_id);
    }

    /// Delays the next assignments of a job by a random backoff.
    pub(super) fn back_off(&mut self, id: ShardId, job: &JobId, now: Millis) {
        let retry_at = now + self.rng.random_range(BACKOFF_MS);
        if let Some(shard) = self.shards.get_mut(&id) {
            shard.jobs.retry_after.insert(job.clone(), retry_at);
        }
    }

    /// Assigns waiting tasks of the shards whose ledgers are ready, unless the node is stopping.
    pub(super) fn assign_waiting_tasks(&mut self, now: Millis, _out: &mut EffectBuffer) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            if !self.shards[&id].ledger.is_ready() {
                continue;
            }
            if !self.is_stopping() {
                self.assign_waiting(id, now);
            }
        }
    }

    /// Repeats messages without a reply and releases gangs that wait too long for all their tasks.
    pub(super) fn retry_jobs(&mut self, now: Millis, out: &mut EffectBuffer) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            if self.shards[&id].ledger.is_ready() {
                self.resend_run_messages(id, now, out);
                self.release_stalled_gangs(id, now, out);
            }
        }
    }
}

/// Creates the in-memory state of a run that the ledger records.
pub(super) fn recovering_run(job: &JobRecord, index: usize, run: &TaskRun) -> AssignedRun {
    AssignedRun {
        job: job.id.clone(),
        index,
        shard: run.shard,
        epoch: run.epoch,
        phase: RunPhase::Recovering,
        sent_at: 0,
        requested_at: 0,
        worker: None,
    }
}

/// Returns the event for a task after a run; counts the failures of idempotent tasks.
///
/// A task that did not run is always retried; one that was lost, stopped or failed only if it is
/// idempotent, and after failures at most `spec.retries` times. A service's task runs again also
/// when it is done, and its failures have no max. While the job is being cancelled, no task is
/// retried.
fn event_after_run(
    spec: &JobSpec,
    record: &mut TaskRecord,
    outcome: TaskOutcome,
    cancelling: bool,
) -> TaskEvent {
    let service = spec.kind == JobKind::Service;
    match outcome {
        TaskOutcome::Done if !service => TaskEvent::Done,
        _ if cancelling => TaskEvent::Cancelled,
        TaskOutcome::NotRun | TaskOutcome::Done => TaskEvent::Retry,
        TaskOutcome::Lost | TaskOutcome::Stopped if spec.idempotent => TaskEvent::Retry,
        TaskOutcome::Lost | TaskOutcome::Stopped => TaskEvent::LostPermanently,
        TaskOutcome::Failed if !spec.idempotent => TaskEvent::FailedPermanently,
        TaskOutcome::Failed => {
            record.failures += 1;
            if service || record.failures <= spec.retries {
                TaskEvent::Retry
            } else {
                TaskEvent::FailedPermanently
            }
        }
    }
}

fn send_reply(pending: &PendingReply, out: &mut EffectBuffer) {
    match pending {
        PendingReply::Call { to, call, body } => {
            let body = body.clone();
            out.send(to, Message::CoordinatorReply { call: *call, body });
        }
        PendingReply::EndAck { to, task } => {
            out.send(to, Message::TaskEndedAck { task: task.clone() });
        }
    }
}

/// Removes ended jobs beyond [`MAX_ENDED_JOBS`], lowest ids first, never `keep`.
fn trim_ended_jobs(jobs: &mut BTreeMap<JobId, JobRecord>, keep: &JobId) {
    let ended: Vec<JobId> = jobs
        .values()
        .filter(|j| j.state.is_terminal() && j.id != *keep)
        .map(|j| j.id.clone())
        .collect();
    let excess = ended.len().saturating_sub(MAX_ENDED_JOBS);
    for id in ended.into_iter().take(excess) {
        jobs.remove(&id);
    }
}
