//! Jobs of one shard at their coordinator: the state in memory, and the calls about jobs and keys.
//!
//! The durable records are in the shard's ledger; [`JobCoordinator`] is rebuilt from them after a
//! takeover. The `node_*` modules of the job coordinator role change it; it sends nothing itself.

use {
    crate::core::{
        Epoch, IdempotencyRecord, IdempotencyState, JobId, JobRecord, JobSpec, JobState, Millis,
        NodeId, OrganisationName, Priority, RefuseReason, ShardId, TaskId, WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Progress of an assigned task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// Waits until this change of the ledger is durable; no request was sent.
    Persisting(u64),
    /// Read from the ledger of an earlier owner; waits for the report of the assigned shard's
    /// owner.
    Recovering,
    /// A placement request was sent to the shard owner.
    Requested,
    /// The shard owner reserved capacity for it; it waits until its whole gang is reserved.
    Reserved,
    /// The shard owner was sent the request to start it with its gang.
    StartRequested,
    /// It runs, as far as is known.
    Running,
    /// The shard owner was sent the request to release it.
    Stopping,
}

/// A task assigned to a shard.
#[derive(Clone, Debug)]
pub struct AssignedRun {
    pub job: JobId,
    /// Index of the task in the job, from 0.
    pub index: usize,
    pub shard: ShardId,
    /// Epoch of the shard under which the task may run there.
    pub epoch: Epoch,
    pub phase: RunPhase,
    /// When the last message for the current phase was sent.
    pub sent_at: Millis,
    /// When its placement was requested, for a recovered run since the takeover; a gang that is
    /// not reserved in time after it is released.
    pub requested_at: Millis,
    pub worker: Option<WorkerId>,
}

/// A reply that is sent once a change is durable.
#[derive(Clone, Debug)]
pub enum PendingReply {
    /// The reply to a node's call.
    Call {
        to: NodeId,
        call: u64,
        body: JobReply,
    },
    /// The acknowledgement to the shard owner that reported a task's end.
    EndAck { to: NodeId, task: TaskId },
}

/// Position in an organisation's waiting tasks: priority, then order of arrival.
pub type QueueKey = (Priority, u64);

/// Jobs of one shard at their coordinator.
#[derive(Clone, Debug, Default)]
pub struct JobCoordinator {
    /// The state was rebuilt from the durable records.
    pub jobs_loaded: bool,
    /// Workers added to the roster, by the number of a change that may not be durable yet.
    pub unrecorded_workers: BTreeMap<WorkerId, u64>,
    /// Assigned tasks by the id of their run.
    pub assigned_runs: BTreeMap<TaskId, AssignedRun>,
    /// Tasks that run nowhere, by organisation, in order of service. A gang has one entry.
    pub waiting: BTreeMap<OrganisationName, BTreeMap<QueueKey, (JobId, usize)>>,
    /// Replies by the number of the change that must be durable first.
    pub pending_replies: Vec<(u64, PendingReply)>,
    /// Cancellations that wait for their job to end: job, calling node, its call.
    pub pending_cancels: Vec<(JobId, NodeId, u64)>,
    /// Per job: no task is assigned again before this time.
    pub retry_after: BTreeMap<JobId, Millis>,
    /// The last order of arrival in a [`QueueKey`].
    pub last_queue_seq: u64,
}

impl JobCoordinator {
    /// Appends a task to its organisation's waiting tasks of the same priority.
    pub fn enqueue(&mut self, job: &JobRecord, index: usize) {
        self.last_queue_seq += 1;
        let key = (job.spec.priority, self.last_queue_seq);
        let queue = self.waiting.entry(job.organisation.clone()).or_default();
        queue.insert(key, (job.id.clone(), index));
    }

    /// Returns true if a task of the job waits.
    pub fn is_queued(&self, job: &JobRecord) -> bool {
        let queue = self.waiting.get(&job.organisation);
        queue.is_some_and(|queue| queue.values().any(|(id, _)| *id == job.id))
    }

    /// Counts the assigned tasks of an organisation that are not known to run.
    pub fn unplaced_count(
        &self,
        jobs: &BTreeMap<JobId, JobRecord>,
        organisation: &OrganisationName,
    ) -> usize {
        let unplaced = self
            .assigned_runs
            .values()
            .filter(|run| run.phase != RunPhase::Running);
        unplaced
            .filter(|run| {
                jobs.get(&run.job)
                    .is_some_and(|job_record| job_record.organisation == *organisation)
            })
            .count()
    }

    /// Returns the run ids of a job's assigned tasks.
    pub fn runs_of_job(&self, job: &JobId) -> Vec<TaskId> {
        let runs = self.assigned_runs.iter().filter(|(_, run)| run.job == *job);
        runs.map(|(task, _)| task.clone()).collect()
    }
}

/// A call to the coordinator of a job or an idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobCall {
    /// Accepts a job; repeating it with the same id has no further effect.
    Submit {
        id: JobId,
        organisation: OrganisationName,
        spec: JobSpec,
    },
    /// Reads a job.
    Get {
        id: JobId,
        organisation: OrganisationName,
    },
    /// Cancels a job; the reply is sent once none of its tasks runs.
    Cancel {
        id: JobId,
        organisation: OrganisationName,
    },
    /// Lists an organisation's jobs of one shard, or cancels those with a label.
    List {
        shard: ShardId,
        organisation: OrganisationName,
        label: Option<Arc<str>>,
        cancel: bool,
    },
    /// Claims an idempotency key; the reply is sent once the claim is durable.
    ClaimKey { key: TaskId, claim: u64 },
    /// Records the HTTP status of the claimed request; `None` frees the key, as nothing ran.
    CompleteKey {
        key: TaskId,
        claim: u64,
        status: Option<u16>,
    },
}

impl JobCall {
    /// Returns the shard whose owner processes the call.
    pub fn coordinator(&self) -> ShardId {
        match self {
            Self::Submit { id, .. } | Self::Get { id, .. } | Self::Cancel { id, .. } => {
                ShardId::of(id.as_str())
            }
            Self::List { shard, .. } => *shard,
            Self::ClaimKey { key, .. } | Self::CompleteKey { key, .. } => ShardId::of(key.as_str()),
        }
    }
}

/// The reply to a [`JobCall`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobReply {
    /// The job is durable.
    Accepted { id: JobId },
    /// Reply to `Get` and `Cancel`.
    Job(JobSummary),
    /// Reply to `List`.
    Jobs(Vec<JobSummary>),
    /// The organisation has no such job.
    NotFound,
    /// Nothing was changed.
    Refused(RefuseReason),
    /// No reply arrived in time; the call may have taken effect.
    TimedOut,
    /// The key is claimed for this call's `claim`.
    KeyClaimed,
    /// The key was used before.
    KeyUsed(IdempotencyState),
    /// The record is durable, or belongs to another claim and was not changed.
    KeyCompleted,
}

/// A job as callers see it, in JSON; the counts are of tasks in each stage.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSummary {
    pub id: JobId,
    #[serde(rename = "team")]
    pub organisation: OrganisationName,
    pub queue: crate::core::QueueName,
    pub label: Arc<str>,
    pub state: JobState,
    pub tasks: usize,
    pub waiting: usize,
    #[serde(rename = "marked")]
    pub assigned: usize,
    pub done: usize,
    pub failed: usize,
    /// Workers that run its tasks, as far as is known.
    pub workers: Vec<WorkerId>,
}

/// Maximum number of idempotency records that one shard keeps.
const MAX_IDEMPOTENCY_RECORDS: usize = 2_000;

/// Removes the oldest records beyond [`MAX_IDEMPOTENCY_RECORDS`], whatever their state.
pub fn trim_idempotency_records(idempotency_records: &mut BTreeMap<TaskId, IdempotencyRecord>) {
    while idempotency_records.len() > MAX_IDEMPOTENCY_RECORDS {
        let oldest = idempotency_records
            .iter()
            .min_by_key(|(_, record)| record.seq);
        let Some(key) = oldest.map(|(key, _)| key.clone()) else {
            return;
        };
        idempotency_records.remove(&key);
    }
}
