//! The inputs of the core: time, messages, results of calls, and local requests.
//!
//! `app` creates an [`Event`] for each and passes it to [`crate::core::Node::step`]. Nothing here
//! performs input or output.

use {
    crate::core::{
        AdminCall, CallId, FencingToken, JobCall, Message, Millis, NodeId, OrganisationName,
        QueueName, RefuseReason, ReplyId, StoreReply, StoreUnavailable, TaskId, TaskSpec, VmRecord,
        WorkerId, WorkerReply,
    },
    std::sync::Arc,
};

/// A caller's request that needs a worker.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub queue: QueueName,
    pub organisation: OrganisationName,
    /// Maximum time to wait for a worker, in ms.
    pub timeout_ms: Millis,
    /// Hash of organisation and idempotency key, if the caller sent one.
    pub idempotency_key: Option<TaskId>,
}

/// How a request that the core dispatched ended at the entry node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The worker replied with this HTTP status.
    Completed(u16),
    /// The worker refused the request or could not be reached: it did not run.
    NotRun,
    /// The caller disconnected, or the entry node timed out, before a worker had the request.
    Abandoned,
    /// The connection broke when the worker may have started on the request.
    Unknown,
}

/// The core's reply to a [`CallerRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestReply {
    /// Forward the request to the worker at `address`, with `fence`; then send
    /// [`Event::RequestEnded`].
    Dispatch {
        spec: TaskSpec,
        worker: WorkerId,
        address: Arc<str>,
        fence: FencingToken,
    },
    /// The request did not run; the caller may retry after `retry_after_ms`.
    Refused {
        reason: RefuseReason,
        retry_after_ms: Millis,
    },
    /// The idempotency key was used before; the earlier request ended with this HTTP status.
    KeyUsed { status: u16 },
    /// The idempotency key was used before; the outcome of the earlier request is not known.
    KeyUsedUnknown,
}

/// One input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Drives all timers; sent every [`crate::core::Tuning::tick_ms`].
    Tick,
    /// A message from another node.
    Message { from: NodeId, message: Message },
    /// The result of [`crate::core::Effect::Store`].
    Store {
        call: CallId,
        result: Result<StoreReply, StoreUnavailable>,
    },
    /// The result of [`crate::core::Effect::Worker`]; `None` if the worker did not reply, in which
    /// case the call may have taken effect.
    Worker {
        call: CallId,
        reply: Option<WorkerReply>,
    },
    /// The platform's current list of worker VMs, in full.
    VmList(Vec<VmRecord>),
    /// A caller's request; the core replies with [`RequestReply`].
    Request {
        reply: ReplyId,
        request: CallerRequest,
    },
    /// The end of a request, dispatched or abandoned by its caller.
    RequestEnded {
        reply: ReplyId,
        outcome: RequestOutcome,
    },
    /// A local call about jobs; the core replies with [`crate::core::JobReply`].
    Job { reply: ReplyId, call: JobCall },
    /// An operator's call; the core replies with [`crate::core::AdminReply`].
    Admin { reply: ReplyId, call: AdminCall },
    /// Starts a graceful stop: the node drains and hands its shards over.
    Stop,
}
