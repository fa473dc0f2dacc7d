//! Messages between nodes: sent by the core as effects, carried by `net` over UDP.
//!
//! The encoding is postcard, by position: fields and variants must not be added, removed or
//! reordered while nodes of two versions run together.

use {
    crate::core::{
        Config, Epoch, FencingToken, JobCall, JobReply, Millis, OrganisationName, PoolName,
        QuotaHandover, QuotaStatus, RefuseReason, Resources, ShardId, ShardTable, TaskId, TaskKind,
        TaskOutcome, TaskSpec, WorkerId, ZoneName,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Free capacity of one pool on one shard, summed over its schedulable workers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardFreeCapacity {
    pub shard: ShardId,
    pub pool: PoolName,
    pub zone: ZoneName,
    /// Free slots of all workers together.
    pub free_slots: u32,
    /// Free resources of the worker with the largest free part.
    pub max_free: Resources,
    /// Capacity of one worker of the pool.
    pub worker_capacity: Resources,
}

/// Free slots are rounded down to a multiple of this; smaller counts stay exact.
const SLOT_ROUNDING: u32 = 8;

/// Free CPU and memory are rounded down to a multiple of a worker's capacity divided by this.
const RESOURCE_ROUNDING_PARTS: u32 = 8;

impl ShardFreeCapacity {
    /// Rounds down, so that small changes do not cause a full heartbeat.
    #[must_use]
    pub fn rounded_down(mut self) -> Self {
        if self.free_slots >= SLOT_ROUNDING {
            self.free_slots -= self.free_slots % SLOT_ROUNDING;
        }
        let round_down =
            |free: u32, capacity: u32| free - free % (capacity / RESOURCE_ROUNDING_PARTS).max(1);
        self.max_free.cpu_milli =
            round_down(self.max_free.cpu_milli, self.worker_capacity.cpu_milli);
        self.max_free.memory_mib =
            round_down(self.max_free.memory_mib, self.worker_capacity.memory_mib);
        self
    }
}

/// Periodic message to every other member, sent each second: that the sender is alive, and what
/// the receiver needs to place work on it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    pub table_revision: u64,
    pub config_revision: u64,
    /// The store answered the sender within the last 5 s.
    pub store_ok: bool,
    /// The sender is stopping and takes no new work.
    pub leaving: bool,
    /// Number of key revocations that the sender knows and its configuration lacks.
    pub revoked_count: u32,
    /// Placement requests queued at the sender.
    pub queue_length: u32,
    /// By shard and pool; `None` if unchanged, except in every fifth heartbeat.
    pub free_capacity: Option<Vec<ShardFreeCapacity>>,
}

/// A request to a shard owner to place a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementRequest {
    pub spec: TaskSpec,
    /// Restricts the placement to a shard at an epoch; `None` leaves the choice to the owner.
    pub shard: Option<(ShardId, Epoch)>,
    /// For gangs: reserves capacity at once or refuses, and starts the task only on
    /// [`Message::StartReserved`].
    pub reserve: bool,
    /// How long the request may wait for free capacity, in ms.
    pub timeout_ms: Millis,
}

/// What an owner's fenced shards run, for the coordinators on one node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OwnerReport {
    /// Fenced shards and their epochs.
    pub shards: Vec<(ShardId, Epoch)>,
    /// Shards of the addressed coordinators and their epochs.
    pub coordinators: Vec<(ShardId, Epoch)>,
    /// Non-zero quotas of organisations whose coordinator is in `coordinators`.
    pub quota_statuses: Vec<QuotaStatus>,
    /// Hosted tasks of jobs whose coordinator is in `coordinators`.
    pub tasks: Vec<TaskId>,
}

/// One message between nodes. Any message may be lost, duplicated or reordered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    Heartbeat(Heartbeat),
    Table(ShardTable),
    Config(Arc<Config>),
    /// Digests of revoked keys whose revocation may not be in the store yet.
    Revoked(Vec<Arc<str>>),
    Place(PlacementRequest),
    /// The task was placed on a worker; the requester needs `fence` to dispatch it.
    Placed {
        task: TaskId,
        kind: TaskKind,
        shard: ShardId,
        worker: WorkerId,
        address: Arc<str>,
        fence: FencingToken,
    },
    /// The task was not placed here and never will be under this id.
    Refused {
        task: TaskId,
        reason: RefuseReason,
    },
    /// Starts a task whose capacity is reserved.
    StartReserved {
        task: TaskId,
    },
    /// Frees the capacity of a task; unless `finished`, the task is stopped first.
    Release {
        task: TaskId,
        shard: Option<ShardId>,
        /// Shard epoch under which a job's task may run; `None` for requests.
        epoch: Option<Epoch>,
        finished: bool,
    },
    /// Acknowledges a release.
    Released {
        task: TaskId,
    },
    /// A job's task ended; repeated until acknowledged if `coordinator` names the job's shard.
    TaskEnded {
        task: TaskId,
        outcome: TaskOutcome,
        coordinator: Option<ShardId>,
    },
    TaskEndedAck {
        task: TaskId,
    },
    /// The former quota coordinator of a shard's organisations passes its grants to the next one.
    QuotaHandover {
        shard: ShardId,
        state: QuotaHandover,
    },
    /// A shard owner requests quota to run `demand` tasks of an organisation at once.
    QuotaRequest {
        organisation: OrganisationName,
        shard: ShardId,
        epoch: Epoch,
        coordinator_epoch: Epoch,
        demand: u32,
    },
    /// The quota coordinator sets the quota of an organisation on a shard.
    QuotaGrant {
        organisation: OrganisationName,
        shard: ShardId,
        epoch: Epoch,
        coordinator_epoch: Epoch,
        version: u64,
        amount: u32,
    },
    /// The shard owner acknowledges a quota grant.
    QuotaStatus {
        epoch: Epoch,
        coordinator_epoch: Epoch,
        status: QuotaStatus,
    },
    /// Repeated until acknowledged by its number.
    OwnerReport {
        number: u64,
        report: OwnerReport,
    },
    /// Acknowledges the owner report with this number.
    OwnerReportAck {
        number: u64,
    },
    /// A call to the coordinator of a job or an idempotency key; `call` identifies the reply.
    CoordinatorCall {
        call: u64,
        body: JobCall,
    },
    /// The reply to a coordinator call.
    CoordinatorReply {
        call: u64,
        body: JobReply,
    },
}
