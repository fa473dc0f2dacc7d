//! What the core asks its surroundings to do.

use {
    crate::core::{
        AdminReply, CallId, JobReply, Message, NodeId, ReplyId, RequestReply, StoreOp, WorkerId,
        WorkerOp,
    },
    std::sync::Arc,
};

/// A numbered event for the log; the catalogue is docs/EVENTS.md.
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
}

impl LogEvent {
    /// All events, in the order of their numbers.
    pub const ALL: [Self; 21] = [
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
    ];

    /// Returns the number under which the event is catalogued.
    pub fn number(self) -> u16 {
        let index = Self::ALL.iter().position(|e| *e == self).unwrap_or(0);
        100 + u16::try_from(index).unwrap_or(0)
    }

    /// Returns the name under which the event is catalogued.
    pub fn name(self) -> String {
        format!("{self:?}")
    }
}

/// One output of the core.
#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: NodeId,
        message: Message,
    },
    Store {
        call: CallId,
        op: StoreOp,
    },
    Worker {
        call: CallId,
        worker: WorkerId,
        address: Arc<str>,
        op: WorkerOp,
    },
    RequestReply {
        reply: ReplyId,
        body: RequestReply,
    },
    JobReply {
        reply: ReplyId,
        body: JobReply,
    },
    AdminReply {
        reply: ReplyId,
        body: AdminReply,
    },
    Log {
        event: LogEvent,
        detail: String,
    },
}

/// Collects the effects of one step.
#[derive(Debug, Default)]
pub struct EffectBuffer {
    effects: Vec<Effect>,
    last_call: CallId,
}

impl EffectBuffer {
    /// Takes the effects collected so far.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Sends a message to another node or to this one.
    pub fn send(&mut self, to: &NodeId, message: Message) {
        self.effects.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    /// Calls the store; the answer arrives under the returned number.
    pub fn store(&mut self, op: StoreOp) -> CallId {
        self.last_call += 1;
        self.effects.push(Effect::Store {
            call: self.last_call,
            op,
        });
        self.last_call
    }

    /// Calls a worker; the answer arrives under the returned number.
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

    /// Answers a local request.
    pub fn request_reply(&mut self, reply: ReplyId, body: RequestReply) {
        self.effects.push(Effect::RequestReply { reply, body });
    }

    /// Answers a local job call.
    pub fn job_reply(&mut self, reply: ReplyId, body: JobReply) {
        self.effects.push(Effect::JobReply { reply, body });
    }

    /// Answers a local operator's call.
    pub fn admin_reply(&mut self, reply: ReplyId, body: AdminReply) {
        self.effects.push(Effect::AdminReply { reply, body });
    }

    /// Logs an event.
    pub fn log(&mut self, event: LogEvent, detail: impl Into<String>) {
        self.effects.push(Effect::Log {
            event,
            detail: detail.into(),
        });
    }

    /// Reports a broken invariant unless `holds`.
    pub fn check_invariant(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.log(LogEvent::InvariantBroken, what());
        }
    }
}
