//! Errors returned to callers and operators as JSON; docs/ERRORS.md lists their numbers. The HTTP
//! handlers create them and the client reads them. Numbers, names and statuses are part of the
//! interface and never change their meaning.

use {
    crate::{
        core::{Millis, RefuseReason},
        server::BodyError,
    },
    axum::{
        Json,
        http::{HeaderValue, StatusCode, header},
        response::{IntoResponse, Response},
    },
    serde::{Deserialize, Serialize},
};

/// Whether the work of a failed call ran, so that the caller knows if it may repeat the call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// Nothing ran: a repeated call cannot run the work twice.
    NotRun,
    /// The work may have run.
    Unknown,
    /// The work ran, by an earlier call.
    Run,
}

/// The reason of an error.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ErrorKind {
    /// No API key was sent and the queue is not open to anonymous calls.
    KeyMissing,
    /// The API key is unknown or revoked.
    KeyUnknown,
    /// The configuration has no such queue.
    UnknownQueue,
    /// A request was sent to a queue for jobs, or a job to a queue for requests.
    WrongKind,
    /// A header is not text or its value is not valid.
    BadHeader,
    /// The body broke off or is not valid, or a required parameter is missing.
    BadBody,
    /// The declared size of the body is above the limit.
    BodyTooLarge,
    /// The organisation has no such job.
    UnknownJob,
    /// No worker could ever run this work; a retry will not help.
    NeverFits,
    /// Every worker that fits is full, or the worker left and the body cannot be sent again.
    NoRoom,
    /// The organisation is at its upper limit.
    TeamLimit,
    /// The queue of waiting work is full.
    QueueFull,
    /// No worker was free before the deadline.
    Deadline,
    /// The node is stopping.
    Stopping,
    /// The platform's store does not reply and the call needs it.
    StoreDown,
    /// The node has no contact with the store and its peers, or no configuration yet.
    Isolated,
    /// No reply came; the call may have taken effect.
    OutcomeUnknown,
    /// The idempotency key was used and the outcome of that request is not known.
    KeyUsedUnknown,
    /// The idempotency key was used and that request completed.
    KeyUsed,
    /// Another change of the configuration came first.
    Conflict,
    /// The operators' token is missing or wrong.
    BadToken,
    /// The document, or an organisation's share or limit, is not valid.
    BadDocument,
    /// No route has this path.
    UnknownPath,
    /// The number of tasks is out of range.
    NoTasks,
}

impl ErrorKind {
    /// All kinds with number, HTTP status and execution status.
    pub const ALL: [(Self, u16, StatusCode, ExecutionStatus); 24] = [
        (
            Self::KeyMissing,
            3001,
            StatusCode::UNAUTHORIZED,
            ExecutionStatus::NotRun,
        ),
        (
            Self::KeyUnknown,
            3002,
            StatusCode::FORBIDDEN,
            ExecutionStatus::NotRun,
        ),
        (
            Self::UnknownQueue,
            3003,
            StatusCode::NOT_FOUND,
            ExecutionStatus::NotRun,
        ),
        (
            Self::WrongKind,
            3004,
            StatusCode::BAD_REQUEST,
            ExecutionStatus::NotRun,
        ),
        (
            Self::BadHeader,
            3005,
            StatusCode::BAD_REQUEST,
            ExecutionStatus::NotRun,
        ),
        (
            Self::BadBody,
            3006,
            StatusCode::BAD_REQUEST,
            ExecutionStatus::NotRun,
        ),
        (
            Self::BodyTooLarge,
            3007,
            StatusCode::PAYLOAD_TOO_LARGE,
            ExecutionStatus::NotRun,
        ),
        (
            Self::UnknownJob,
            3008,
            StatusCode::NOT_FOUND,
            ExecutionStatus::NotRun,
        ),
        (
            Self::NeverFits,
            3010,
            StatusCode::UNPROCESSABLE_ENTITY,
            ExecutionStatus::NotRun,
        ),
        (
            Self::NoRoom,
            3011,
            StatusCode::SERVICE_UNAVAILABLE,
            ExecutionStatus::NotRun,
        ),
        (
            Self::TeamLimit,
            3012,
            StatusCode::TOO_MANY_REQUESTS,
            ExecutionStatus::NotRun,
        ),
        (
            Self::QueueFull,
            3013,
            StatusCode::SERVICE_UNAVAILABLE,
            ExecutionStatus::NotRun,
        ),
        (
            Self::Deadline,
            3014,
            StatusCode::SERVICE_UNAVAILABLE,
            ExecutionStatus::NotRun,
        ),
        (
            Self::Stopping,
            3015,
            StatusCode::SERVICE_UNAVAILABLE,
            ExecutionStatus::NotRun,
        ),
        (
            Self::StoreDown,
            3016,
            StatusCode::SERVICE_UNAVAILABLE,
            ExecutionStatus::NotRun,
        ),
        (
            Self::Isolated,
            3017,
            StatusCode::SERVICE_UNAVAILABLE,
            ExecutionStatus::NotRun,
        ),
        (
            Self::OutcomeUnknown,
            3020,
            StatusCode::BAD_GATEWAY,
            ExecutionStatus::Unknown,
        ),
        (
            Self::KeyUsedUnknown,
            3021,
            StatusCode::CONFLICT,
            ExecutionStatus::Unknown,
        ),
        (
            Self::KeyUsed,
            3022,
            StatusCode::CONFLICT,
            ExecutionStatus::Run,
        ),
        (
            Self::Conflict,
            3030,
            StatusCode::CONFLICT,
            ExecutionStatus::NotRun,
        ),
        (
            Self::BadToken,
            3031,
            StatusCode::FORBIDDEN,
            ExecutionStatus::NotRun,
        ),
        (
            Self::BadDocument,
            3032,
            StatusCode::UNPROCESSABLE_ENTITY,
            ExecutionStatus::NotRun,
        ),
        (
            Self::UnknownPath,
            3033,
            StatusCode::NOT_FOUND,
            ExecutionStatus::NotRun,
        ),
        (
            Self::NoTasks,
            3009,
            StatusCode::BAD_REQUEST,
            ExecutionStatus::NotRun,
        ),
    ];

    fn row(self) -> (Self, u16, StatusCode, ExecutionStatus) {
        let found = Self::ALL.iter().find(|r| r.0 == self);
        found.copied().unwrap_or(Self::ALL[0])
    }

    /// Returns the number under which docs/ERRORS.md lists the error.
    pub fn number(self) -> u16 {
        self.row().1
    }

    /// Returns the name that callers see, which is the name of the variant.
    pub fn name(self) -> String {
        format!("{self:?}")
    }
}

/// JSON body of an error response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ErrorBody {
    /// [`ErrorKind::number`].
    pub code: u16,
    /// [`ErrorKind::name`].
    pub name: String,
    pub message: String,
    pub run: ExecutionStatus,
    /// Delay before a retry, in ms; `None` if a retry will not help.
    pub retry_after_ms: Option<Millis>,
}

/// An error to be returned to a caller or operator.
#[derive(Clone, Debug)]
pub struct ApiError {
    pub kind: ErrorKind,
    pub message: String,
    /// Delay before a retry, in ms; also sent as `Retry-After`, rounded up to seconds.
    pub retry_after_ms: Option<Millis>,
}

impl ApiError {
    /// Creates an error that a retry will not resolve.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates the error of a placement that the core refused; every reason but
    /// [`RefuseReason::NeverFits`] permits a retry after `retry_after_ms`.
    pub fn refused(reason: RefuseReason, retry_after_ms: Millis) -> Self {
        let (kind, message) = match reason {
            RefuseReason::NeverFits => (ErrorKind::NeverFits, "no worker can hold this work"),
            RefuseReason::NoRoom => (ErrorKind::NoRoom, "no worker has room"),
            RefuseReason::TeamLimit => (ErrorKind::TeamLimit, "the team is at its upper limit"),
            RefuseReason::QueueFull => (ErrorKind::QueueFull, "the waiting queue is full"),
            RefuseReason::Deadline => (ErrorKind::Deadline, "no worker was free in time"),
            RefuseReason::NotOwner | RefuseReason::Stopping => {
                (ErrorKind::Stopping, "the node is stopping")
            }
            RefuseReason::StoreDown => (ErrorKind::StoreDown, "the platform's store is down"),
            RefuseReason::Isolated => (ErrorKind::Isolated, "the node is cut off"),
        };
        let retryable = reason != RefuseReason::NeverFits;
        Self {
            kind,
            message: message.to_owned(),
            retry_after_ms: retryable.then_some(retry_after_ms),
        }
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let (_, code, status, run) = self.kind.row();
        let body = ErrorBody {
            code,
            name: self.kind.name(),
            message: self.message,
            run,
            retry_after_ms: self.retry_after_ms,
        };
        let mut resp = (status, Json(body)).into_response();
        if let Some(ms) = self.retry_after_ms {
            let seconds = HeaderValue::from(ms.div_ceil(1_000).max(1));
            resp.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        resp
    }
}

impl From<BodyError> for ApiError {
    fn from(error: BodyError) -> Self {
        let kind = match error {
            BodyError::Broken => ErrorKind::BadBody,
            BodyError::Rejected { .. } => ErrorKind::NoRoom,
            BodyError::TooLarge => ErrorKind::BodyTooLarge,
        };
        let mut e = Self::new(kind, error.to_string());
        e.retry_after_ms = error.retry_after_s().map(|s| s * 1_000);
        e
    }
}
