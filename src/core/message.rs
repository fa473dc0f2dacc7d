//! Messages between nodes.

use {
    crate::core::{
        Config, Epoch, FencingToken, JobCall, JobReply, Millis, OrganisationName, PoolName,
        QuotaHandover, QuotaStatus, RefuseReason, Resources, ShardId, ShardTable, TaskId, TaskKind,
        TaskOutcome, TaskSpec, WorkerId, ZoneName,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Free room of one pool on one shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardFreeCapacity {
    pub shard: ShardId,
    pub pool: PoolName,
    pub zone: ZoneName,
    pub free_slots: u32,
    /// Free resources of the emptiest worker.
    pub max_free: Resources,
    /// Capacity of a worker.
    pub worker_capacity: Resources,
}

/// Free slots from which on only multiples are told.
const SLOT_STEP: u32 = 8;

/// Parts of a worker in which its free resources are told.
const PARTS: u32 = 8;

impl ShardFreeCapacity {
    /// Rounds down, so that small changes need not be told.
    #[must_use]
    pub fn rounded_down(mut self) -> Self {
        if self.free_slots >= SLOT_STEP {
            self.free_slots -= self.free_slots % SLOT_STEP;
        }
        let round = |free: u32, whole: u32| free - free % (whole / PARTS).max(1);
        self.max_free.cpu_milli = round(self.max_free.cpu_milli, self.worker_capacity.cpu_milli);
        self.max_free.memory_mib = round(self.max_free.memory_mib, self.worker_capacity.memory_mib);
        self
    }
}

/// Sign of life with what the receiver needs to place work here; sent every second.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    pub table_revision: u64,
    pub config_revision: u64,
    /// Whether the sender reached the store lately.
    pub store_ok: bool,
    /// The sender is stopping and takes no new work.
    pub leaving: bool,
    /// How many key withdrawals not yet in the configuration it knows.
    pub revoked_count: u32,
    /// Asks that wait at the sender.
    pub queue_length: u32,
    /// Room by shard and pool; `None` when unchanged since the last beat.
    pub free_capacity: Option<Vec<ShardFreeCapacity>>,
}

/// Asks an owner to place a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementRequest {
    pub spec: TaskSpec,
    /// Restricts the placement to a shard at an epoch; `None` leaves the choice to the owner.
    pub shard: Option<(ShardId, Epoch)>,
    /// Reserve at once or refuse, and wait for [`Message::StartReserved`].
    pub reserve: bool,
    /// How long the ask may wait for room, in ms.
    pub wait_ms: Millis,
}

/// What an owner's fenced shards run, for the homes on one node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OwnerReport {
    /// Fenced shards and their epochs.
    pub shards: Vec<(ShardId, Epoch)>,
    /// Home shards addressed and their epochs.
    pub coordinators: Vec<(ShardId, Epoch)>,
    /// Non-zero allowances of teams whose home is in `coordinators`.
    pub quota_statuses: Vec<QuotaStatus>,
    /// Hosted tasks of jobs whose home is in `coordinators`.
    pub tasks: Vec<TaskId>,
}

/// One message between nodes. Any may be lost, repeated or overtaken by another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    Heartbeat(Heartbeat),
    Table(ShardTable),
    Config(Arc<Config>),
    /// Digests of withdrawn keys whose withdrawal may not be in the store yet.
    Revoked(Vec<Arc<str>>),
    Place(PlacementRequest),
    /// The task has a worker.
    Placed {
        task: TaskId,
        kind: TaskKind,
        shard: ShardId,
        worker: WorkerId,
        address: Arc<str>,
        fence: FencingToken,
    },
    /// The task was not placed here and never will be.
    Refused {
        task: TaskId,
        reason: RefuseReason,
    },
    /// Starts a held task.
    StartReserved {
        task: TaskId,
    },
    /// Gives a task up; unless `finished`, it is stopped first.
    Release {
        task: TaskId,
        shard: Option<ShardId>,
        /// Epoch under which a job's task may be there; `None` for requests.
        epoch: Option<Epoch>,
        finished: bool,
    },
    Released {
        task: TaskId,
    },
    /// A job's task ended; repeated until acknowledged where `coordinator` names the job's shard.
    TaskEnded {
        task: TaskId,
        outcome: TaskOutcome,
        coordinator: Option<ShardId>,
    },
    TaskEndedAck {
        task: TaskId,
    },
    /// The former home of a shard's teams passes its lends to the next one.
    QuotaHandover {
        shard: ShardId,
        state: QuotaHandover,
    },
    /// The owner of a shard wishes to run `demand` tasks of a team.
    QuotaRequest {
        organisation: OrganisationName,
        shard: ShardId,
        epoch: Epoch,
        coordinator_epoch: Epoch,
        demand: u32,
    },
    /// The home sets the allowance of a team on a shard.
    QuotaGrant {
        organisation: OrganisationName,
        shard: ShardId,
        epoch: Epoch,
        coordinator_epoch: Epoch,
        version: u64,
        amount: u32,
    },
    /// The owner acknowledges an allowance.
    QuotaStatus {
        epoch: Epoch,
        coordinator_epoch: Epoch,
        status: QuotaStatus,
    },
    OwnerReport {
        number: u64,
        report: OwnerReport,
    },
    OwnerReportAck {
        number: u64,
    },
    /// A call to the home of a job or an idempotency key.
    CoordinatorCall {
        call: u64,
        body: JobCall,
    },
    CoordinatorReply {
        call: u64,
        body: JobReply,
    },
}
