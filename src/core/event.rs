//! What the core reacts to.

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
    /// How long the caller waits for a worker, in ms.
    pub wait_ms: Millis,
    /// Hash of team and idempotency key, if the caller gave one.
    pub idempotency_key: Option<TaskId>,
}

/// How a granted request ended at the entry node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The worker answered with this status.
    Answered(u16),
    /// The worker refused it or could not be reached: it did not run.
    NotRun,
    /// The caller left, or the entry node gave up, while no worker had the request.
    Abandoned,
    /// The connection broke after the request may have been acted on.
    Unknown,
}

/// The core's answer to a [`CallerRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestReply {
    /// Forward the request to this worker.
    Dispatch {
        spec: TaskSpec,
        worker: WorkerId,
        address: Arc<str>,
        fence: FencingToken,
    },
    /// It did not run.
    Refused {
        reason: RefuseReason,
        retry_after_ms: Millis,
    },
    /// The idempotency key was used before; the earlier request ended with this status.
    KeyUsed { status: u16 },
    /// The idempotency key was used before and its outcome is not known.
    KeyUsedUnknown,
}

/// One input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent every [`crate::core::Tuning::tick_ms`].
    Tick,
    Message {
        from: NodeId,
        message: Message,
    },
    Store {
        call: CallId,
        result: Result<StoreReply, StoreUnavailable>,
    },
    /// `None`: the worker did not answer; the call may have taken effect.
    Worker {
        call: CallId,
        answer: Option<WorkerReply>,
    },
    /// The platform's list of workers.
    VmList(Vec<VmRecord>),
    Request {
        reply: ReplyId,
        request: CallerRequest,
    },
    RequestEnded {
        reply: ReplyId,
        outcome: RequestOutcome,
    },
    Job {
        reply: ReplyId,
        call: JobCall,
    },
    Admin {
        reply: ReplyId,
        call: AdminCall,
    },
    /// The node is asked to stop gracefully.
    Stop,
}
