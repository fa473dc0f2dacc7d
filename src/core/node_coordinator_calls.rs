//! The job coordinator's handling of calls from entry nodes about jobs and idempotency keys, called
//! by `Node::handle_message`. It changes the ledger in memory and must not confirm a change before
//! the ledger has made it durable: such replies go to `pending_replies`.

use {
    crate::{
        chart::{self, JobEvent},
        core::{
            EffectBuffer, IdempotencyRecord, IdempotencyState, JobCall, JobId, JobKind, JobRecord,
            JobReply, JobSpec, JobState, Message, Millis, Node, NodeId, OrganisationName,
            RefuseReason, ShardId, TaskId, TaskOutcome, TaskStage,
            job_coordinator::{AssignedRun, JobSummary, PendingReply, trim_idempotency_records},
        },
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Retention of a refused call, so that a late duplicate is not accepted, in ms.
const REFUSED_CALL_TTL_MS: Millis = 60_000;

impl Node {
    /// Handles a call about a job or key that this node coordinates.
    ///
    /// There is no reply unless this node owns the shard and its ledger is ready: the caller
    /// repeats the call. A change is refused while the store is down, the node is stopping or the
    /// ledger accepts no more records; the submission of a job that is stored already is not
    /// refused then, but ignored.
    pub(super) fn handle_coordinator_call(
        &mut self,
        from: &NodeId,
        call: u64,
        body: JobCall,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let id = body.coordinator();
        let store_ok = self.cluster.store_ok(now);
        let stopping = self.is_stopping();
        let call_key = TaskId::from(format!("call {call} of {from}"));
        let Some(shard) = self.shards.get_mut(&id).filter(|s| s.ledger.is_ready()) else {
            return;
        };
        let is_write = !matches!(
            body,
            JobCall::Get { .. } | JobCall::List { cancel: false, .. }
        );
        if is_write && (!store_ok || stopping || !shard.ledger.accepts_records()) {
            let reason = match (store_ok, stopping) {
                (false, _) => RefuseReason::StoreDown,
                (true, true) => RefuseReason::Stopping,
                (true, false) => RefuseReason::QueueFull,
            };
            if !is_repeated_submit(&shard.ledger.value.jobs, &body) {
                self.record_outcome_for(&call_key, TaskOutcome::NotRun, REFUSED_CALL_TTL_MS, now);
                let body = JobReply::Refused(reason);
                out.send(from, Message::CoordinatorReply { call, body });
            }
            return;
        }
        if self.outcomes.contains_key(&call_key) {
            return;
        }
        match body {
            JobCall::Submit {
                id: job,
                organisation,
                spec,
            } => self.submit_job(from, call, job, organisation, spec),
            JobCall::Get {
                id: job,
                organisation,
            } => {
                let body = find_job(&shard.ledger.value.jobs, &job, &organisation)
                    .map_or(JobReply::NotFound, |j| {
                        JobReply::Job(job_summary(j, &shard.jobs.assigned_runs))
                    });
                out.send(from, Message::CoordinatorReply { call, body });
            }
            JobCall::Cancel {
                id: job,
                organisation,
            } => {
                if find_job(&shard.ledger.value.jobs, &job, &organisation).is_none() {
                    let body = JobReply::NotFound;
                    out.send(from, Message::CoordinatorReply { call, body });
                    return;
                }
                if !shard
                    .jobs
                    .pending_cancels
                    .iter()
                    .any(|c| c.2 == call && c.1 == *from)
                {
                    shard
                        .jobs
                        .pending_cancels
                        .push((job.clone(), from.clone(), call));
                }
                self.cancel_job(id, &job, now, out);
            }
            JobCall::List {
                organisation,
                label,
                cancel,
                ..
            } => {
                self.list_jobs(
                    from,
                    call,
                    id,
                    &organisation,
                    label.as_ref(),
                    cancel,
                    now,
                    out,
                );
            }
            JobCall::ClaimKey { key, claim } => self.claim_key(from, call, id, key, claim, out),
            JobCall::CompleteKey { key, claim, status } => {
                self.complete_key(from, call, id, &key, claim, status);
            }
        }
        self.send_durable_replies(id, out);
    }

    /// Adds a job and queues its tasks, a gang as one entry; replies once the job is durable. A job
    /// that exists already is only confirmed.
    pub(super) fn submit_job(
        &mut self,
        from: &NodeId,
        call: u64,
        id: JobId,
        organisation: OrganisationName,
        spec: JobSpec,
    ) {
        let Some(shard) = self.shards.get_mut(&ShardId::of(id.as_str())) else {
            return;
        };
        let change = shard.ledger.record_change();
        if !shard.ledger.value.jobs.contains_key(&id) {
            let job = JobRecord::new(id.clone(), organisation, spec);
            if job.spec.kind == JobKind::Gang {
                shard.jobs.enqueue(&job, 0);
            } else {
                for index in 0..job.tasks.len() {
                    shard.jobs.enqueue(&job, index);
                }
            }
            shard.ledger.value.jobs.insert(id.clone(), job);
        }
        let body = JobReply::Accepted { id };
        let pending = PendingReply::Call {
            to: from.clone(),
            call,
            body,
        };
        shard.jobs.pending_replies.push((change, pending));
    }

    /// Cancels a job: waiting tasks end at once, tasks that may run are stopped first. Has no
    /// effect on a job that has ended or is being cancelled.
    pub(super) fn cancel_job(
        &mut self,
        id: ShardId,
        job_id: &JobId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(job) = shard.ledger.value.jobs.get_mut(job_id) else {
            return;
        };
        if job.state.is_terminal() || job.state == JobState::Cancelling {
            return;
        }
        chart::job().apply(&mut job.state, JobEvent::CancelRequested);
        job.cancel_waiting();
        if let Some(queue) = shard.jobs.waiting.get_mut(&job.organisation) {
            queue.retain(|_, (waiting, _)| waiting != job_id);
        }
        shard.ledger.record_change();
        for task in shard.jobs.runs_of_job(job_id) {
            self.stop_run(id, &task, now, out);
        }
        self.finish_job(id, job_id);
    }

    /// Lists an organisation's jobs in one shard, all or those with a label. With `cancel` it
    /// cancels them too and replies once that is durable.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn list_jobs(
        &mut self,
        from: &NodeId,
        call: u64,
        id: ShardId,
        organisation: &OrganisationName,
        label: Option<&Arc<str>>,
        cancel: bool,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(shard) = self.shards.get(&id) else {
            return;
        };
        let all_jobs = shard.ledger.value.jobs.values();
        let matching: Vec<JobId> = all_jobs
            .filter(|j| j.organisation == *organisation && label.is_none_or(|l| j.spec.label == *l))
            .map(|j| j.id.clone())
            .collect();
        if cancel {
            for job in &matching {
                self.cancel_job(id, job, now, out);
            }
        }
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let jobs = &shard.ledger.value.jobs;
        let records = matching.iter().filter_map(|job| jobs.get(job));
        let body = JobReply::Jobs(
            records
                .map(|j| job_summary(j, &shard.jobs.assigned_runs))
                .collect(),
        );
        if cancel {
            let change = shard.ledger.record_change();
            let pending = PendingReply::Call {
                to: from.clone(),
                call,
                body,
            };
            shard.jobs.pending_replies.push((change, pending));
        } else {
            out.send(from, Message::CoordinatorReply { call, body });
        }
    }

    /// Claims an idempotency key; replies once the claim is durable. The same claim may be
    /// repeated; for another one the reply is the state of the key's record.
    pub(super) fn claim_key(
        &mut self,
        from: &NodeId,
        call: u64,
        id: ShardId,
        key: TaskId,
        claim: u64,
        out: &mut EffectBuffer,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let existing = shard.ledger.value.idempotency_records.get(&key);
        if let Some(record) = existing.filter(|i| i.claim != claim) {
            let body = JobReply::KeyUsed(record.state);
            out.send(from, Message::CoordinatorReply { call, body });
            return;
        }
        if existing.is_none() {
            let last_seq = shard
                .ledger
                .value
                .idempotency_records
                .values()
                .map(|i| i.seq)
                .max();
            let seq = last_seq.unwrap_or(0) + 1;
            let record = IdempotencyRecord {
                claim,
                state: IdempotencyState::Claimed,
                seq,
            };
            shard.ledger.value.idempotency_records.insert(key, record);
            trim_idempotency_records(&mut shard.ledger.value.idempotency_records);
        }
        let change = shard.ledger.record_change();
        let pending = PendingReply::Call {
            to: from.clone(),
            call,
            body: JobReply::KeyClaimed,
        };
        shard.jobs.pending_replies.push((change, pending));
    }

    /// Records the status that a claimed request ended with, or with `None` frees its key, as
    /// nothing ran. Another claim's record stays; the reply is the same.
    pub(super) fn complete_key(
        &mut self,
        from: &NodeId,
        call: u64,
        id: ShardId,
        key: &TaskId,
        claim: u64,
        status: Option<u16>,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let idempotency_records = &mut shard.ledger.value.idempotency_records;
        let owns_key = idempotency_records
            .get(key)
            .is_some_and(|i| i.claim == claim);
        match status {
            Some(status) if owns_key => {
                if let Some(record) = idempotency_records.get_mut(key) {
                    record.state = IdempotencyState::Completed(status);
                }
            }
            None if owns_key => {
                idempotency_records.remove(key);
            }
            _ => {}
        }
        let change = shard.ledger.record_change();
        let pending = PendingReply::Call {
            to: from.clone(),
            call,
            body: JobReply::KeyCompleted,
        };
        shard.jobs.pending_replies.push((change, pending));
    }
}

/// Returns true for the submission of a job that is stored already.
fn is_repeated_submit(jobs: &BTreeMap<JobId, JobRecord>, call: &JobCall) -> bool {
    matches!(call, JobCall::Submit { id, .. } if jobs.contains_key(id))
}

/// Finds a job; another organisation's job counts as missing.
fn find_job<'a>(
    jobs: &'a BTreeMap<JobId, JobRecord>,
    id: &JobId,
    organisation: &OrganisationName,
) -> Option<&'a JobRecord> {
    jobs.get(id).filter(|j| j.organisation == *organisation)
}

/// Returns the summary of a job that callers receive. The workers come from `assigned_runs`.
pub fn job_summary(job: &JobRecord, assigned_runs: &BTreeMap<TaskId, AssignedRun>) -> JobSummary {
    let runs = job.tasks.iter().filter_map(|t| t.run.as_ref());
    JobSummary {
        id: job.id.clone(),
        organisation: job.organisation.clone(),
        queue: job.spec.queue.clone(),
        label: job.spec.label.clone(),
        state: job.state,
        tasks: job.tasks.len(),
        waiting: job.count(TaskStage::Waiting),
        assigned: job.count(TaskStage::Assigned),
        done: job.count(TaskStage::Done),
        failed: job.count(TaskStage::Failed),
        workers: runs
            .filter_map(|r| assigned_runs.get(&r.id)?.worker.clone())
            .collect(),
    }
}
