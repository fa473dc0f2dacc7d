//! The outputs of the core: messages, calls, replies and log events.
//!
//! [`crate::core::Node::step`] collects them in an [`EffectBuffer`]; `app` carries them out.
//! Nothing here performs input or output.

use {
    crate::core::{
        AdminReply, CallId, JobReply, Message, NodeId, ReplyId, RequestReply, StoreOp, WorkerId,
        WorkerOp,
    },
    std::sync::Arc,
};

/// A numbered event for the log; docs/EVENTS.md lists all of them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogEvent {
    DaemonStarted,
    DaemonStopping,
    DaemonStopped,
    InvariantBroken,
    TableAdopted,
    TableProposed,
    ShardTaken,
    ShardFenced,
    ShardLost,
    WorkerOpened,
    WorkerLapsed,
    WorkerGone,
    WorkerSetAside,
    WorkerFenced,
    MemberJoined,
    MemberLost,
    StoreUnreachable,
    StoreBack,
    ConfigAdopted,
    KeyRevoked,
    GangReleased,
    CallersRejected,
}

impl LogEvent {
    /// All events, in the order of their numbers; the index in this array gives the number.
    pub const ALL: [Self; 22] = [
        Self::DaemonStarted,
        Self::DaemonStopping,
        Self::DaemonStopped,
        Self::InvariantBroken,
        Self::TableAdopted,
        Self::TableProposed,
        Self::ShardTaken,
        Self::ShardFenced,
        Self::ShardLost,
        Self::WorkerOpened,
        Self::WorkerLapsed,
        Self::WorkerGone,
        Self::WorkerSetAside,
        Self::WorkerFenced,
        Self::MemberJoined,
        Self::MemberLost,
        Self::StoreUnreachable,
        Self::StoreBack,
        Self::ConfigAdopted,
        Self::KeyRevoked,
        Self::GangReleased,
        Self::CallersRejected,
    ];

    /// Returns the event's number in the log, from 100.
    pub fn number(self) -> u16 {
        let index = Self::ALL.iter().position(|e| *e == self).unwrap_or(0);
        100 + u16::try_from(index).unwrap_or(0)
    }

    /// Returns the event's name in the log, which is the name of its variant.
    pub fn name(self) -> String {
        format!("{self:?}")
    }
}

/// One output of the core.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to another node.
    Send { to: NodeId, message: Message },
    /// Call the store; the result returns as [`crate::core::Event::Store`] with this `call`.
    Store { call: CallId, op: StoreOp },
    /// Call a worker; the result returns as [`crate::core::Event::Worker`] with this `call`.
    Worker {
        call: CallId,
        worker: WorkerId,
        address: Arc<str>,
        op: WorkerOp,
    },
    /// Reply to a local [`crate::core::Event::Request`].
    RequestReply { reply: ReplyId, body: RequestReply },
    /// Reply to a local [`crate::core::Event::Job`].
    JobReply { reply: ReplyId, body: JobReply },
    /// Reply to a local [`crate::core::Event::Admin`].
    AdminReply { reply: ReplyId, body: AdminReply },
    /// Write a log line; `detail` is free text.
    Log { event: LogEvent, detail: String },
}

/// Collects the effects of one step and numbers the calls.
#[derive(Debug, Default)]
pub struct EffectBuffer {
    effects: Vec<Effect>,
    last_call: CallId,
}

impl EffectBuffer {
    /// Returns the effects collected so far and empties the buffer; call numbers go on.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Sends a message to another node; one to this node is handled within the same step.
    pub fn send(&mut self, to: &NodeId, message: Message) {
        self.effects.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    /// Calls the store; the returned id identifies the reply.
    pub fn store(&mut self, op: StoreOp) -> CallId {
        self.last_call += 1;
        self.effects.push(Effect::Store {
            call: self.last_call,
            op,
        });
        self.last_call
    }

    /// Calls a worker at `address`; the returned id identifies the reply.
    pub fn worker(&mut self, worker: &WorkerId, address: &Arc<str>, op: WorkerOp) -> CallId {
        self.last_call += 1;
        self.effects.push(Effect::Worker {
            call: self.last_call,
            worker: worker.clone(),
            address: address.clone(),
            op,
        });
        self.last_call
    }

    /// Replies to a local request.
    pub fn request_reply(&mut self, reply: ReplyId, body: RequestReply) {
        self.effects.push(Effect::RequestReply { reply, body });
    }

    /// Replies to a local job call.
    pub fn job_reply(&mut self, reply: ReplyId, body: JobReply) {
        self.effects.push(Effect::JobReply { reply, body });
    }

    /// Replies to a local operator's call.
    pub fn admin_reply(&mut self, reply: ReplyId, body: AdminReply) {
        self.effects.push(Effect::AdminReply { reply, body });
    }

    /// Logs an event; the name and number are added by the logger.
    pub fn log(&mut self, event: LogEvent, detail: impl Into<String>) {
        self.effects.push(Effect::Log {
            event,
            detail: detail.into(),
        });
    }

    /// Logs [`LogEvent::InvariantBroken`] unless `holds`; does not stop the step.
    pub fn check_invariant(&mut self, holds: bool, detail: impl FnOnce() -> String) {
        if !holds {
            self.log(LogEvent::InvariantBroken, detail());
        }
    }
}
