//! Messages between an entry node and the owner: postcard in length-delimited frames. Used by
//! `owner_link` and `peer_server`. The encoding depends on the order of variants and fields, so
//! they must not be reordered.

use {
    crate::{
        core::{CallId, Millis},
        entry::{RelayedCall, RelayedOutcome, RemoteCommand},
        fleet::{
            AdvisedExecutor, CommandError, CommandReply, ExecutorId, JobId, JobStatus, StepId,
            Submission, policy::LoadSummary,
        },
    },
    bytes::Bytes,
    futures_util::{Sink, SinkExt},
    serde::{Deserialize, Serialize},
    std::{io, sync::Arc, time::Duration},
    tokio::sync::mpsc,
    tokio_util::codec::LengthDelimitedCodec,
};

/// Max size of a frame, in bytes: a job's text has up to 4,000, a step names up to 100 executors.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Max number of messages written before the connection is flushed.
const MAX_BATCH: usize = 256;

/// One message. The entry node opens the connection; `call` matches a reply to its request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// First message of the entry node, with its name.
    Hello {
        node: Arc<str>,
    },
    /// Sent by the entry node at intervals; the owner replies with `Pong`.
    Ping,
    Pong,
    /// A job was stored.
    Submitted(Box<Submission>),
    /// A job's cancellation was stored.
    Cancelled(JobId),
    StatusRequest {
        call: u64,
        job: JobId,
    },
    StatusReply {
        call: u64,
        /// None if the owner does not know the job.
        status: Option<JobStatus>,
    },
    QueueDepthRequest {
        call: u64,
        queue: Arc<str>,
    },
    QueueDepthReply {
        call: u64,
        /// Waiting jobs of the queue.
        count: u64,
    },
    /// The owner requests that the entry node calls the advice service, using its advice slot.
    AdviceRequest {
        call: u64,
        step: StepId,
        executors: Vec<ExecutorId>,
        /// Max time to wait for the advice service, in ms.
        timeout_ms: u64,
    },
    AdviceReply {
        call: u64,
        /// None if the call failed.
        advised: Option<Vec<AdvisedExecutor>>,
        /// How long the tickets are valid, in ms; 0 if unknown.
        valid_ms: u64,
    },
    /// Follows each ping and pong.
    Health {
        /// Time since the sender last reached the store, in ms.
        store_age_ms: Millis,
    },
    /// The entry node, which the store rejects, has the owner's node make a call to the store.
    RelayRequest {
        call: u64,
        relayed: RelayedCall,
    },
    RelayReply {
        call: u64,
        outcome: RelayedOutcome,
    },
    /// The owner asks for a reading of the entry node's clock. Earlier versions ignore it, and
    /// send no commands for the owner.
    ClockRequest,
    ClockReply {
        /// The node's time since boot, in ms.
        node_ms: Millis,
        /// What the node offers to do for the owner; none while it drains.
        offer: Option<DispatchOffer>,
    },
    /// The owner has the entry node send a command to an executor.
    CommandRequest(Box<RemoteCommand>),
    CommandReply {
        call: CallId,
        result: Result<CommandReply, CommandError>,
    },
    /// The owner's estimates of waits, for the entry nodes' admission decisions. Earlier versions
    /// ignore it.
    Load(Box<LoadSummary>),
}

/// Offer of an entry node to send commands to executors.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DispatchOffer {
    pub zone: Arc<str>,
    /// CPU time granted to the node's VM, in thousandths of a core.
    pub cpu_milli: u32,
}

impl PeerMessage {
    /// Encodes the message; none if it cannot be encoded.
    pub fn encode(&self) -> Option<Bytes> {
        postcard::to_stdvec(self).ok().map(Bytes::from)
    }

    /// Decodes a frame; none if it is not a valid message.
    pub fn decode(frame: &[u8]) -> Option<Self> {
        postcard::from_bytes(frame).ok()
    }
}

/// Returns the codec of peer connections: frames of up to `MAX_FRAME_BYTES` with their length.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Writes a message and those queued behind it, and flushes them together; none if the connection
/// failed or did not take them within `timeout`.
pub async fn send_queued<S>(
    sink: &mut S,
    first: PeerMessage,
    rx: &mut mpsc::Receiver<PeerMessage>,
    timeout: Duration,
) -> Option<()>
where
    S: Sink<Bytes, Error = io::Error> + Unpin,
{
    let write = async {
        let mut next = Some(first);
        for _ in 0..MAX_BATCH {
            let Some(message) = next else { break };
            if let Some(frame) = message.encode() {
                sink.feed(frame).await.ok()?;
            }
            next = rx.try_recv().ok();
        }
        if let Some(frame) = next.and_then(|m| m.encode()) {
            sink.feed(frame).await.ok()?;
        }
        sink.flush().await.ok()
    };
    tokio::time::timeout(timeout, write).await.ok()?
}
