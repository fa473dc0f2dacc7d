//! The entry node's pending requests, and its calls and releases that have no reply yet.
//!
//! Plain data: `node_requests` alone changes it and decides what to send again, except that `node`
//! removes acknowledged releases and resets `in_flight` at a heartbeat.

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
    /// By this time it must be placed, or it is refused.
    pub deadline: Millis,
    /// Number of placement attempts so far; each has its own task id.
    pub attempt: u32,
    /// Task id of the current attempt.
    pub task: Option<TaskId>,
    /// The shard owner that the last placement request was sent to.
    pub owner: Option<NodeId>,
    /// The task in the last placement request.
    pub spec: Option<TaskSpec>,
    /// When the last placement request was sent, or one was tried without an available owner.
    pub sent_at: Millis,
    /// Where the owner has placed the task; `None` until then.
    pub placement: Option<(ShardId, WorkerId, FencingToken)>,
    /// Owners that refused or are gone; tried again only after no owner was left to try.
    pub refused_by: BTreeSet<NodeId>,
    /// Random id of this request's claim on the idempotency key.
    pub claim: u64,
    /// The idempotency key is claimed, or there is none; no placement is requested before.
    pub claimed: bool,
}

/// What the reply to a coordinator call is for.
#[derive(Clone, Debug)]
pub enum CallPurpose {
    /// A local caller waits for the reply.
    Caller(ReplyId),
    /// A request waits for its idempotency key.
    IdempotencyKey(ReplyId),
    /// Nothing; the reply is dropped.
    Detached,
}

/// A call to the coordinator of a job or idempotency key, sent again until a reply arrives.
#[derive(Clone, Debug)]
pub struct PendingCall {
    pub purpose: CallPurpose,
    /// The coordinator's shard.
    pub shard: ShardId,
    pub body: JobCall,
    /// When the call was last sent.
    pub sent_at: Millis,
    /// When the call times out.
    pub expires_at: Millis,
}

/// The release of a task, sent again until the shard owner acknowledges it.
#[derive(Clone, Debug)]
pub struct PendingRelease {
    /// The shard of the task's worker; `None` if it was not placed yet.
    pub shard: Option<ShardId>,
    /// The owner that the placement request was sent to; used when `shard` has no known owner.
    pub owner: NodeId,
    /// The task has ended; otherwise it is stopped first.
    pub finished: bool,
    /// When the release was last sent.
    pub sent_at: Millis,
    /// When the release is dropped, acknowledged or not.
    pub expires_at: Millis,
}

/// State of a node as entry node.
#[derive(Clone, Debug, Default)]
pub struct RequestRegistry {
    /// Requests without an outcome yet.
    pub pending: BTreeMap<ReplyId, EntryRequest>,
    /// The request of each current attempt.
    pub by_task: BTreeMap<TaskId, ReplyId>,
    /// Coordinator calls by message id.
    pub calls: BTreeMap<u64, PendingCall>,
    /// Releases that are not acknowledged yet.
    pub releases: BTreeMap<TaskId, PendingRelease>,
    /// Number of placement attempts at each node since its last heartbeat, which the free capacity
    /// and queue length in that heartbeat don't include.
    pub in_flight: BTreeMap<NodeId, u32>,
}
