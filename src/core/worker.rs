//! A worker as its owner sees it, and the calls it answers.

use {
    crate::core::{
        EndedTask, FencingToken, Millis, PoolName, RackName, Resources, ShardId, TaskId, TaskSpec,
        WorkerHealth, WorkerId, ZoneName,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// One worker VM on the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecord {
    pub id: WorkerId,
    /// IP address and port of the worker's HTTP service.
    pub address: Arc<str>,
    pub pool: PoolName,
    pub rack: RackName,
    pub zone: ZoneName,
    pub capacity: Resources,
    /// The VM is about to go; it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// One call to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum WorkerOp {
    /// Opens the lease under a new fence and reads what runs.
    Open {
        fence: FencingToken,
        ttl_ms: Millis,
        /// End of the lease by the worker's clock; `None` counts `ttl_ms` from arrival.
        #[serde(rename = "until")]
        lease_expires_at: Option<Millis>,
    },
    /// Renews the lease; held open until a task ends or `long_poll_ms` passes.
    Renew {
        fence: FencingToken,
        /// End of the lease by the worker's clock, so that a late arrival adds nothing.
        #[serde(rename = "until")]
        lease_expires_at: Millis,
        #[serde(rename = "hold_ms")]
        long_poll_ms: Millis,
        /// Number of the last ended task that was taken in.
        #[serde(rename = "after")]
        last_event: u64,
        /// Ended tasks up to this number need not be kept.
        #[serde(rename = "acked")]
        acked_event: u64,
    },
    /// Starts a task; repeating it has no further effect.
    Start { fence: FencingToken, task: TaskSpec },
    /// Stops a task and refuses any later start of it.
    Stop { fence: FencingToken, task: TaskId },
}

/// The answer to a [`WorkerOp`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum WorkerReply {
    /// The lease is open; what runs and what ended without acknowledgement.
    Opened {
        /// The worker's monotonic clock.
        #[serde(rename = "clock")]
        clock_ms: Millis,
        running: Vec<TaskSpec>,
        ended: Vec<EndedTask>,
        last_event: u64,
    },
    /// The lease was renewed; tasks that ended since `last_event` of the call.
    Renewed {
        /// The worker's monotonic clock.
        #[serde(rename = "clock")]
        clock_ms: Millis,
        ended: Vec<EndedTask>,
        last_event: u64,
    },
    /// The task runs or has run.
    Started,
    /// The task does not run and never will again.
    Stopped { outcome: crate::core::TaskOutcome },
    /// A higher fence has been seen; nothing was done.
    Fenced {
        #[serde(rename = "seen")]
        highest_fence: FencingToken,
    },
    /// The lease has lapsed; all tasks were stopped.
    Lapsed,
}

/// State of a worker's lease; the transitions are in `resources/charts/worker.yaml`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// Known, not yet recorded in the shard's durable roster.
    Listed,
    /// Recorded; its lease is being opened and what it runs is unknown.
    Opening,
    /// The lease is held; its tasks are known.
    Open,
    /// The lease lapsed while the worker could not be reached; it runs nothing.
    Lapsed,
}

/// Progress of a task on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostedStage {
    /// Reserved for a gang until all of its tasks are reserved.
    Reserved,
    /// Granted to an entry node, which forwards the request.
    Dispatched,
    /// A start was sent and is not answered yet.
    Starting,
    /// It runs.
    Running,
    /// A stop was sent and is not answered yet.
    Stopping,
}

/// A task that holds resources of a worker.
#[derive(Clone, Debug)]
pub struct HostedTask {
    pub spec: TaskSpec,
    pub stage: HostedStage,
    pub placed_at: Millis,
    /// The fence under which it may be started.
    pub fence: FencingToken,
    /// When the last start or stop was sent.
    pub sent_at: Millis,
}

/// A worker of an owned shard.
#[derive(Clone, Debug)]
pub struct Worker {
    pub vm: VmRecord,
    pub shard: ShardId,
    pub state: WorkerState,
    pub fence: FencingToken,
    /// Sum over `tasks`; never more than `vm.capacity`, save for tasks inherited
    /// from an earlier owner.
    pub committed: Resources,
    pub tasks: BTreeMap<TaskId, HostedTask>,
    pub health: WorkerHealth,
    /// When the current open or renew call was sent; `None` if none is in flight.
    pub lease_call_sent_at: Option<Millis>,
    /// No call is sent before this time.
    pub retry_at: Millis,
    /// When the lease has surely lapsed: by every call sent under a known clock, none of
    /// which the worker can honour for longer. `None` before the first answer.
    pub lease_expired_by: Option<Millis>,
    /// The worker's clock in the last answer, and when that answer arrived.
    pub clock_sample: Option<(Millis, Millis)>,
    /// End of the lease by the worker's clock in the last renewal sent.
    pub lease_expires_at: Millis,
    /// Last ended task that was taken in.
    pub last_event: u64,
    /// Last ended task that every home has noted; never above `last_event`.
    pub acked_event: u64,
    /// The last call got no answer.
    pub unreachable: bool,
    /// Since when the VM list has not shown it.
    pub unlisted_since: Option<Millis>,
}

impl Worker {
    /// Returns what is not committed.
    pub fn free(&self) -> Resources {
        self.vm.capacity.saturating_sub(&self.committed)
    }

    /// Tells whether new work may be placed on it.
    pub fn is_schedulable(&self, now: Millis) -> bool {
        self.state == WorkerState::Open
            && !self.vm.leaving
            && self.unlisted_since.is_none()
            && !self.unreachable
            && self.health.is_available(now)
    }
}
