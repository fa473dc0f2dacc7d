//! Errors answered to callers and operators; the numbers are in docs/ERRORS.md.

use {
    crate::core::{Millis, RefuseReason},
    axum::{
        Json,
        http::{HeaderValue, StatusCode, header},
        response::{IntoResponse, Response},
    },
    serde::{Deserialize, Serialize},
};

/// Whether the work of a failed call ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    NotRun,
    Unknown,
    Run,
}

/// What went wrong.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ErrorKind {
    KeyMissing,
    KeyUnknown,
    UnknownQueue,
    WrongKind,
    BadHeader,
    BadBody,
    BodyTooLarge,
    UnknownJob,
    NeverFits,
    NoRoom,
    TeamLimit,
    QueueFull,
    Deadline,
    Stopping,
    StoreDown,
    Isolated,
    OutcomeUnknown,
    KeyUsedUnknown,
    KeyUsed,
    Conflict,
    BadToken,
    BadDocument,
    UnknownPath,
    NoTasks,
}

impl ErrorKind {
    /// All kinds with their numbers, HTTP status and run state.
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

    /// Returns the number under which the error is listed.
    pub fn number(self) -> u16 {
        self.row().1
    }

    /// Returns the name under which the error is listed.
    pub fn name(self) -> String {
        format!("{self:?}")
    }
}

/// JSON body of an error.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ErrorBody {
    pub code: u16,
    pub name: String,
    pub message: String,
    pub run: ExecutionStatus,
    /// When to come back, in ms.
    pub retry_after_ms: Option<Millis>,
}

/// An error on its way to a caller.
#[derive(Clone, Debug)]
pub struct ApiError {
    pub kind: ErrorKind,
    pub message: String,
    pub retry_after_ms: Option<Millis>,
}

impl ApiError {
    /// Creates an error that repeating will not mend.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates the error of a refused placement.
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
        let again = reason != RefuseReason::NeverFits;
        Self {
            kind,
            message: message.to_owned(),
            retry_after_ms: again.then_some(retry_after_ms),
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
