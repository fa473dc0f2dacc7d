//! Messages between an entry node and the owner: postcard in length-delimited frames.

use {
    crate::fleet::{AdvisedExecutor, ExecutorId, JobId, JobStatus, StepId, Submission},
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    tokio_util::codec::LengthDelimitedCodec,
};

/// Largest frame, in bytes: a job's text has up to 4,000, a step names up to 100 executors.
const LARGEST_FRAME: usize = 1 << 20;

/// One message; the entry node opens the connection.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// First message of the entry node.
    Hello {
        node: Arc<str>,
    },
    /// Sent at intervals; the owner answers.
    Ping,
    Pong,
    Submitted(Box<Submission>),
    Cancelled(JobId),
    StatusRequest {
        call: u64,
        job: JobId,
    },
    StatusReply {
        call: u64,
        view: Option<JobStatus>,
    },
    QueueDepthRequest {
        call: u64,
        queue: Arc<str>,
    },
    QueueDepthReply {
        call: u64,
        count: u64,
    },
    /// The owner asks the entry node to use its lane.
    AdviceRequest {
        call: u64,
        step: StepId,
        executors: Vec<ExecutorId>,
        /// Longest time to wait for the service, in ms.
        timeout_ms: u64,
    },
    AdviceReply {
        call: u64,
        advised: Option<Vec<AdvisedExecutor>>,
        valid_ms: u64,
    },
}

impl PeerMessage {
    /// Encodes the message; none if it cannot be encoded.
    pub fn encode(&self) -> Option<Bytes> {
        postcard::to_stdvec(self).ok().map(Bytes::from)
    }

    /// Decodes a frame; none if it is no message.
    pub fn decode(frame: &[u8]) -> Option<Self> {
        postcard::from_bytes(frame).ok()
    }
}

/// Returns the framing of peer connections.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(LARGEST_FRAME)
        .new_codec()
}
