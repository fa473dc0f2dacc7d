//! What the home of a shard's jobs keeps in memory beside their durable records.

use {
    crate::core::{
        Epoch, IdempotencyRecord, IdempotencyState, JobId, JobRecord, JobSpec, JobState, Millis,
        NodeId, OrganisationName, Priority, RefuseReason, ShardId, TaskId, WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Progress of a marked task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// Waits until this change of the ledger is durable; no ask was sent.
    Persisting(u64),
    /// Found in the ledger of an earlier owner; waits for the shard's report.
    Recovering,
    /// The shard's owner was asked.
    Requested,
    /// The owner holds it for a gang.
    Reserved,
    /// The owner was told to start it with its gang.
    StartRequested,
    /// It runs, as far as is known.
    Running,
    /// The owner was told to give it up.
    Stopping,
}

/// A marked task.
#[derive(Clone, Debug)]
pub struct AssignedRun {
    pub job: JobId,
    pub index: usize,
    pub shard: ShardId,
    /// Epoch of the shard under which the task may be there.
    pub epoch: Epoch,
    pub phase: RunPhase,
    pub sent_at: Millis,
    pub requested_at: Millis,
    pub worker: Option<WorkerId>,
}

/// Someone who waits for a change to become durable.
#[derive(Clone, Debug)]
pub enum PendingReply {
    /// A call from a node.
    Call {
        to: NodeId,
        call: u64,
        body: JobReply,
    },
    /// The owner that reported a task's end.
    EndAck { to: NodeId, task: TaskId },
}

/// A place in the order of a team's waiting tasks.
pub type QueueKey = (Priority, u64);

/// Jobs of one shard at their home.
#[derive(Clone, Debug, Default)]
pub struct JobCoordinator {
    /// The durable records have been read.
    pub loaded: bool,
    /// Workers added to the roster by a change that may not be durable yet.
    pub unrecorded_workers: BTreeMap<WorkerId, u64>,
    /// Marked tasks by the id of their run.
    pub assigned_runs: BTreeMap<TaskId, AssignedRun>,
    /// Tasks that run nowhere, by team, in order of service. A gang has one entry.
    pub waiting: BTreeMap<OrganisationName, BTreeMap<QueueKey, (JobId, usize)>>,
    /// Replies that wait for a change to become durable.
    pub pending_replies: Vec<(u64, PendingReply)>,
    /// Cancellations that wait for their job to end.
    pub pending_cancels: Vec<(JobId, NodeId, u64)>,
    /// Tasks are not asked for again before this time.
    pub retry_after: BTreeMap<JobId, Millis>,
    pub last: u64,
}

impl JobCoordinator {
    /// Adds a task to the waiting ones.
    pub fn enqueue(&mut self, job: &JobRecord, index: usize) {
        self.last += 1;
        let key = (job.spec.priority, self.last);
        let lane = self.waiting.entry(job.organisation.clone()).or_default();
        lane.insert(key, (job.id.clone(), index));
    }

    /// Tells whether a task of the job waits.
    pub fn is_queued(&self, job: &JobRecord) -> bool {
        let lane = self.waiting.get(&job.organisation);
        lane.is_some_and(|lane| lane.values().any(|(id, _)| *id == job.id))
    }

    /// Counts the marked tasks of a team that do not run yet.
    pub fn unplaced_count(
        &self,
        jobs: &BTreeMap<JobId, JobRecord>,
        organisation: &OrganisationName,
    ) -> usize {
        let unplaced = self
            .assigned_runs
            .values()
            .filter(|s| s.phase != RunPhase::Running);
        unplaced
            .filter(|s| {
                jobs.get(&s.job)
                    .is_some_and(|j| j.organisation == *organisation)
            })
            .count()
    }

    /// Lists the marked tasks of a job.
    pub fn runs_of_job(&self, job: &JobId) -> Vec<TaskId> {
        let of = self.assigned_runs.iter().filter(|(_, s)| s.job == *job);
        of.map(|(task, _)| task.clone()).collect()
    }
}

/// A call to the home of a job or an idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobCall {
    /// Accepts a job; repeating it with the same id has no further effect.
    Submit {
        id: JobId,
        organisation: OrganisationName,
        spec: JobSpec,
    },
    Get {
        id: JobId,
        organisation: OrganisationName,
    },
    /// Cancels a job; answered once none of its tasks runs.
    Cancel {
        id: JobId,
        organisation: OrganisationName,
    },
    /// Lists a team's jobs of one shard, or cancels those with a label.
    List {
        shard: ShardId,
        organisation: OrganisationName,
        label: Option<Arc<str>>,
        cancel: bool,
    },
    /// Claims an idempotency key.
    ClaimKey { key: TaskId, claim: u64 },
    /// Notes how the claimed request ended; `None` gives the key back, as nothing ran.
    CompleteKey {
        key: TaskId,
        claim: u64,
        status: Option<u16>,
    },
}

impl JobCall {
    /// Returns the shard whose owner answers the call.
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

/// The answer to a [`JobCall`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobReply {
    /// The job is durable.
    Accepted {
        id: JobId,
    },
    Job(JobSummary),
    Jobs(Vec<JobSummary>),
    /// No such job of this team.
    NotFound,
    /// Nothing was changed.
    Refused(RefuseReason),
    /// No answer came in time; the call may have taken effect.
    TimedOut,
    /// The key is claimed by this call.
    KeyClaimed,
    /// The key was used before.
    KeyUsed(IdempotencyState),
    /// The outcome was noted.
    KeyCompleted,
}

/// A job as callers see it.
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
    /// Where its tasks run, as far as is known.
    pub workers: Vec<WorkerId>,
}

/// Most used idempotency keys that one shard remembers.
const MAX_IDEMPOTENCY_RECORDS: usize = 2_000;

/// Forgets the oldest settled keys beyond [`MAX_IDEMPOTENCY_RECORDS`].
pub fn trim_idempotency_records(idempotency_records: &mut BTreeMap<TaskId, IdempotencyRecord>) {
    while idempotency_records.len() > MAX_IDEMPOTENCY_RECORDS {
        let oldest = idempotency_records.iter().min_by_key(|(_, i)| i.seq);
        let Some(key) = oldest.map(|(key, _)| key.clone()) else {
            return;
        };
        idempotency_records.remove(&key);
    }
}
