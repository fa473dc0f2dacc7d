//! Requests that entered at this node and calls on their way to other nodes.

use {
    crate::core::{
        CallerRequest, FencingToken, JobCall, Millis, NodeId, ReplyId, ShardId, TaskId, TaskSpec,
        WorkerId,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A request that waits for a worker or is being forwarded.
#[derive(Clone, Debug)]
pub struct EntryRequest {
    pub request: CallerRequest,
    pub deadline: Millis,
    /// Number of the current attempt; each has a task id of its own.
    pub attempt: u32,
    pub task: Option<TaskId>,
    /// The owner that was asked last.
    pub owner: Option<NodeId>,
    /// What the owner was asked to place.
    pub spec: Option<TaskSpec>,
    pub sent_at: Millis,
    pub placement: Option<(ShardId, WorkerId, FencingToken)>,
    /// Owners that refused.
    pub refused_by: BTreeSet<NodeId>,
    /// Claim on the idempotency key.
    pub claim: u64,
    /// The idempotency key is claimed, or there is none; nothing is placed before.
    pub claimed: bool,
}

/// Why a call to another node's ledger was made.
#[derive(Clone, Debug)]
pub enum CallPurpose {
    /// A local caller waits for the reply.
    Caller(ReplyId),
    /// A request waits for its idempotency key.
    IdempotencyKey(ReplyId),
    /// Nobody waits.
    Detached,
}

/// A call to the home of a job or key, repeated until answered.
#[derive(Clone, Debug)]
pub struct PendingCall {
    pub purpose: CallPurpose,
    pub shard: ShardId,
    pub body: JobCall,
    pub sent_at: Millis,
    pub expires_at: Millis,
}

/// A task given back to its owner, repeated until acknowledged.
#[derive(Clone, Debug)]
pub struct PendingRelease {
    pub shard: Option<ShardId>,
    /// The owner asked, when the shard is not known.
    pub owner: NodeId,
    pub finished: bool,
    pub sent_at: Millis,
    pub expires_at: Millis,
}

/// State of the entry role.
#[derive(Clone, Debug, Default)]
pub struct RequestRegistry {
    pub pending: BTreeMap<ReplyId, EntryRequest>,
    pub by_task: BTreeMap<TaskId, ReplyId>,
    pub calls: BTreeMap<u64, PendingCall>,
    pub releases: BTreeMap<TaskId, PendingRelease>,
    /// Requests sent to each node and not answered since its last beat.
    pub in_flight: BTreeMap<NodeId, u32>,
}
