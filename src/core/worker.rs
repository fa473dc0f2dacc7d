//! A worker as its shard owner sees it, and the calls of the worker protocol.
//!
//! A worker is an upstream VM that runs tasks under the project's own worker protocol. It is not
//! an executor of `fleet`, which is a process registered with the platform. `worker_registry`
//! holds the workers, and `node_workers` makes the calls; nothing is decided or sent here.

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
    /// Incarnation of the VM, not its name.
    pub id: WorkerId,
    /// IP address and port of the worker's HTTP service.
    pub address: Arc<str>,
    /// The pool whose queues it serves.
    pub pool: PoolName,
    /// Decides the shard that the worker belongs to.
    pub rack: RackName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Resources for tasks when nothing runs.
    pub capacity: Resources,
    /// The VM is about to be removed; it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A call to a worker; one with a lower fencing token than the worker has seen has no effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum WorkerOp {
    /// Opens the lease under a new fencing token and returns what runs.
    Open {
        fence: FencingToken,
        ttl_ms: Millis,
        /// End of the lease by the worker's clock; `None` counts `ttl_ms` from arrival.
        #[serde(rename = "until")]
        lease_expires_at: Option<Millis>,
    },
    /// Renews the lease; a long poll, which returns when a task ends or `long_poll_ms` passes.
    Renew {
        fence: FencingToken,
        /// End of the lease by the worker's clock, so that a delayed call does not extend it.
        #[serde(rename = "until")]
        lease_expires_at: Millis,
        #[serde(rename = "hold_ms")]
        long_poll_ms: Millis,
        /// Number of the last ended task that the owner has received.
        #[serde(rename = "after")]
        last_event: u64,
        /// Ended tasks up to this number are acknowledged; the worker may drop them.
        #[serde(rename = "acked")]
        acked_event: u64,
    },
    /// Starts a task; idempotent.
    Start { fence: FencingToken, task: TaskSpec },
    /// Stops a task and refuses any later start of it.
    Stop { fence: FencingToken, task: TaskId },
}

/// The reply to a [`WorkerOp`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(
    rename_all = "snake_case",
    tag = "answer",
    expecting = "internally tagged enum WorkerAnswer"
)]
pub enum WorkerReply {
    /// The lease is open; with the running tasks and those ended without acknowledgement.
    Opened {
        /// The worker's monotonic clock.
        #[serde(rename = "clock")]
        clock_ms: Millis,
        running: Vec<TaskSpec>,
        ended: Vec<EndedTask>,
        last_event: u64,
    },
    /// The lease was renewed; with the tasks that ended after the call's `last_event`.
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
    /// The worker has seen a higher fencing token; the call had no effect.
    Fenced {
        #[serde(rename = "seen")]
        highest_fence: FencingToken,
    },
    /// The lease has expired; all tasks were stopped.
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
    /// The lease is valid; the worker's tasks are known.
    Open,
    /// The lease expired while the worker could not be reached; it runs nothing.
    Lapsed,
}

/// Progress of a task on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostedStage {
    /// Reserved for a gang until all of its tasks are reserved.
    Reserved,
    /// Placed for an entry node, which forwards the request to the worker.
    Dispatched,
    /// A start is to be sent, or was sent and has no reply yet.
    Starting,
    /// The worker has confirmed that it runs.
    Running,
    /// A stop is to be sent, or was sent and has no reply yet.
    Stopping,
}

/// A task to which resources of a worker are committed.
#[derive(Clone, Debug)]
pub struct HostedTask {
    pub spec: TaskSpec,
    pub stage: HostedStage,
    /// When this node placed or adopted it.
    pub placed_at: Millis,
    /// The fencing token under which it may be started.
    pub fence: FencingToken,
    /// When the last start or stop was sent; 0 makes the next one due at once.
    pub sent_at: Millis,
}

/// A worker of an owned shard.
#[derive(Clone, Debug)]
pub struct Worker {
    pub vm: VmRecord,
    pub shard: ShardId,
    pub state: WorkerState,
    /// Token of the last lease call; `lease_seq` rises with each open call.
    pub fence: FencingToken,
    /// Sum over `tasks`; not above `vm.capacity`, except for tasks adopted from an earlier owner.
    pub committed: Resources,
    pub tasks: BTreeMap<TaskId, HostedTask>,
    pub health: WorkerHealth,
    /// When the current open or renew call was sent; `None` if none is in flight.
    pub lease_call_sent_at: Option<Millis>,
    /// No call is sent before this time.
    pub retry_at: Millis,
    /// When the lease has certainly expired: no call sent with a known worker's clock can extend
    /// it beyond this time. `None` before the first reply.
    pub lease_expired_by: Option<Millis>,
    /// The worker's clock in the last reply, and when that reply arrived by this node's clock.
    pub clock_sample: Option<(Millis, Millis)>,
    /// End of the lease by the worker's clock in the last renewal sent.
    pub lease_expires_at: Millis,
    /// Number of the last ended task received.
    pub last_event: u64,
    /// Number up to which the job coordinators have acknowledged the ended tasks; never above
    /// `last_event`.
    pub acked_event: u64,
    /// The last lease call failed or was refused, or the worker reported its lease as expired; no
    /// starts and stops are sent.
    pub unreachable: bool,
    /// Since when the VM list has not shown it; later while the worker still replies.
    pub unlisted_since: Option<Millis>,
}

impl Worker {
    /// Returns the free capacity: what is not committed to tasks, zero if overcommitted.
    pub fn free(&self) -> Resources {
        self.vm.capacity.saturating_sub(&self.committed)
    }

    /// Returns whether new work may be placed on the worker.
    pub fn is_schedulable(&self, now: Millis) -> bool {
        self.state == WorkerState::Open
            && !self.vm.leaving
            && self.unlisted_since.is_none()
            && !self.unreachable
            && self.health.is_available(now)
    }
}
