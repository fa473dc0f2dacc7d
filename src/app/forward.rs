//! Forwards callers' requests to workers and streams the answers back.

use {
    crate::{
        app::{
            ApiError, ErrorKind, ExecutionStatus,
            meter::RequestSample,
            shared::{CoreReply, Shared},
        },
        conf::QueuePolicy,
        core::{
            CallerRequest, Event, FencingToken, Millis, OrganisationName, QueueName, ReplyId,
            RequestOutcome, RequestReply, TaskId, TaskSpec,
        },
        net::{HttpClient, SendError},
    },
    axum::{
        body::{Body, BodyDataStream},
        http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode, request::Parts},
    },
    bytes::Bytes,
    futures_util::StreamExt,
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, mpsc},
};

/// Header that carries the task to the worker, as JSON.
pub const TASK_HEADER: HeaderName = HeaderName::from_static("x-dragonflyferry-task");

/// Header that carries the fence to the worker, as `EPOCH.OPENING`.
pub const FENCE_HEADER: HeaderName = HeaderName::from_static("x-dragonflyferry-fence");

/// Header by which a worker says that a request did not run.
pub const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-dragonflyferry-not-run");

/// Headers of one connection that are not passed on.
const HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
    "authorization",
];

/// A checked request on its way to a worker.
pub struct RequestForwarder {
    pub shared: Arc<Shared>,
    pub queue: QueueName,
    pub organisation: OrganisationName,
    pub policy: QueuePolicy,
    pub wait_ms: Millis,
    pub idempotency_key: Option<TaskId>,
    pub parts: Parts,
    pub path: String,
}

/// Longest body kept in memory for a further attempt, in bytes.
const MAX_KEPT_BODY: usize = 65_536;

/// The body of a request.
enum RequestBody {
    Kept(Bytes),
    /// Can be sent once.
    Stream(Option<Body>),
}

impl RequestBody {
    fn take(&mut self) -> Option<Body> {
        match self {
            Self::Kept(bytes) => Some(Body::from(bytes.clone())),
            Self::Stream(body) => body.take(),
        }
    }
}

/// A worker granted to a request.
struct Grant {
    spec: TaskSpec,
    address: Arc<str>,
    fence: FencingToken,
}

impl RequestForwarder {
    /// Finds a worker, sends it the request and returns its answer.
    pub async fn run(self, body: Body) -> Result<Response<Body>, ApiError> {
        let request = CallerRequest {
            queue: self.queue.clone(),
            organisation: self.organisation.clone(),
            wait_ms: self.wait_ms,
            idempotency_key: self.idempotency_key.clone(),
        };
        let shared = self.shared.clone();
        let (reply, mut rx) = shared
            .core
            .send_with_replies(|reply| Event::Request { reply, request });
        let mut guard = EndGuard::new(&self, reply);
        let mut body = self.keep(body).await?;
        loop {
            let grant = match self.grant(&mut rx).await {
                Ok(grant) => grant,
                Err(e) => {
                    guard.refused(&e);
                    return Err(e);
                }
            };
            guard.granted();
            let permits = shared.connection_permits(&grant.address);
            let Ok(permit) = permits.try_acquire_owned() else {
                guard.not_run();
                continue;
            };
            let Some(taken) = body.take() else {
                return Err(body_spent());
            };
            guard.dispatched = true;
            match self.send(&grant, taken).await {
                Ok(resp) if resp.headers().contains_key(NOT_RUN_HEADER) => guard.not_run(),
                Ok(resp) => return Ok(stream_back(resp, guard, permit)),
                Err(e) if !e.maybe_sent => guard.not_run(),
                Err(e) => {
                    guard.unknown();
                    return Err(unknown(&e.message));
                }
            }
        }
    }

    /// Reads a short body into memory, so that a further worker can be tried.
    async fn keep(&self, body: Body) -> Result<RequestBody, ApiError> {
        let header = |name: &str| self.parts.headers.get(name);
        let length = header("content-length").map(|v| v.to_str().ok()?.parse::<usize>().ok());
        let short = match length {
            Some(length) => length.is_some_and(|l| l <= MAX_KEPT_BODY),
            None => header("transfer-encoding").is_none(),
        };
        if !short {
            return Ok(RequestBody::Stream(Some(body)));
        }
        let bytes = axum::body::to_bytes(body, MAX_KEPT_BODY).await;
        bytes
            .map(RequestBody::Kept)
            .map_err(|e| ApiError::new(ErrorKind::BadBody, format!("body broke off: {e}")))
    }

    async fn grant(&self, rx: &mut mpsc::UnboundedReceiver<CoreReply>) -> Result<Grant, ApiError> {
        match rx.recv().await {
            Some(CoreReply::Request(RequestReply::Dispatch {
                spec,
                address,
                fence,
                ..
            })) => Ok(Grant {
                spec,
                address,
                fence,
            }),
            Some(CoreReply::Request(RequestReply::Refused {
                reason,
                retry_after_ms,
            })) => Err(ApiError::refused(reason, retry_after_ms)),
            Some(CoreReply::Request(RequestReply::KeyUsed { status })) => Err(ApiError::new(
                ErrorKind::KeyUsed,
                format!("the idempotency key was used; that request was answered with {status}"),
            )),
            Some(CoreReply::Request(RequestReply::KeyUsedUnknown)) => Err(ApiError::new(
                ErrorKind::KeyUsedUnknown,
                "the idempotency key was used; the outcome of that request is not known",
            )),
            _ => Err(ApiError::new(ErrorKind::Stopping, "the node is stopping")),
        }
    }

    async fn send(&self, grant: &Grant, body: Body) -> Result<Response<Body>, SendError> {
        let uri = format!("http://{}/work/{}", grant.address, self.path);
        let mut req = Request::builder()
            .method(self.parts.method.clone())
            .uri(uri);
        if let Some(headers) = req.headers_mut() {
            copy_headers(&self.parts.headers, headers);
        }
        let fence = format!("{}.{}", grant.fence.epoch.0, grant.fence.lease_seq);
        let task = serde_json::to_string(&grant.spec).unwrap_or_default();
        let req = req
            .header(TASK_HEADER, task)
            .header(FENCE_HEADER, fence)
            .body(body)
            .map_err(|e| SendError {
                maybe_sent: false,
                message: e.to_string(),
            })?;
        self.client().send(req).await
    }

    fn client(&self) -> &HttpClient {
        if self.policy.idempotent {
            &self.shared.pooled_client
        } else {
            &self.shared.unpooled_client
        }
    }
}

fn body_spent() -> ApiError {
    let message = "the worker left before it ran the request, whose body was already read";
    let mut e = ApiError::new(ErrorKind::NoRoom, message);
    e.retry_after_ms = Some(1_000);
    e
}

fn unknown(message: &str) -> ApiError {
    ApiError::new(
        ErrorKind::OutcomeUnknown,
        format!("the worker may have run the request: {message}"),
    )
}

fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        let own = name.as_str().starts_with("x-dragonflyferry");
        if !own && !HOP_HEADERS.contains(&name.as_str()) && name.as_str() != "host" {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Streams a worker's answer to the caller; the guard ends with its last byte.
fn stream_back(
    resp: Response<Body>,
    guard: EndGuard,
    permit: OwnedSemaphorePermit,
) -> Response<Body> {
    let (mut parts, body) = resp.into_parts();
    for name in HOP_HEADERS {
        parts.headers.remove(name);
    }
    let relay = Relay {
        left: bytes_to_come(&parts, &guard),
        status: parts.status,
        chunks: body.into_data_stream(),
        guard: Some(guard),
        _permit: permit,
    };
    let chunks = futures_util::stream::unfold(relay.checked(), async |mut relay| {
        let chunk = relay.next().await?;
        Some((chunk, relay))
    });
    Response::from_parts(parts, Body::from_stream(chunks))
}

/// Returns how long an answer's body is, if its head says so.
fn bytes_to_come(parts: &hyper::http::response::Parts, guard: &EndGuard) -> Option<u64> {
    let empty = guard.head
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    let length = parts.headers.get("content-length");
    let length = length.and_then(|v| v.to_str().ok()?.parse().ok());
    if empty { Some(0) } else { length }
}

/// Passes the body of an answer on.
///
/// The server drops a body of known length without asking for its end, so the end is
/// told from the count of bytes.
struct Relay {
    chunks: BodyDataStream,
    left: Option<u64>,
    status: StatusCode,
    /// Taken when the answer has ended.
    guard: Option<EndGuard>,
    _permit: OwnedSemaphorePermit,
}

impl Relay {
    /// Ends an answer that has no body.
    fn checked(mut self) -> Self {
        if self.left == Some(0) {
            self.end();
        }
        self
    }

    fn end(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            guard.answered(self.status);
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, axum::Error>> {
        let Some(chunk) = self.chunks.next().await else {
            self.end();
            return None;
        };
        match &chunk {
            Ok(bytes) => {
                let left = self.left.map(|l| l.saturating_sub(bytes.len() as u64));
                self.left = left;
                if left == Some(0) {
                    self.end();
                }
            }
            Err(_) => {
                if let Some(mut guard) = self.guard.take() {
                    guard.unknown();
                }
            }
        }
        Some(chunk)
    }
}

/// Tells the core and the meter exactly once how a request ended, also when it is dropped.
struct EndGuard {
    shared: Arc<Shared>,
    queue: QueueName,
    organisation: OrganisationName,
    objective_ms: Option<Millis>,
    reply: ReplyId,
    began: Millis,
    granted_at: Option<Millis>,
    attempts: u32,
    /// The answer has no body, whatever its length says.
    head: bool,
    /// The request may have reached a worker that has not turned it down.
    dispatched: bool,
    ended: bool,
}

impl EndGuard {
    fn new(forward: &RequestForwarder, reply: ReplyId) -> Self {
        Self {
            shared: forward.shared.clone(),
            queue: forward.queue.clone(),
            organisation: forward.organisation.clone(),
            objective_ms: forward.policy.objective.map(|o| o.within_ms),
            reply,
            began: forward.shared.now(),
            granted_at: None,
            attempts: 0,
            head: forward.parts.method == Method::HEAD,
            dispatched: false,
            ended: false,
        }
    }

    fn granted(&mut self) {
        self.attempts += 1;
        self.granted_at = Some(self.shared.now());
    }

    fn tell(&self, outcome: RequestOutcome) {
        let reply = self.reply;
        self.shared
            .core
            .send(Event::RequestEnded { reply, outcome });
    }

    fn not_run(&mut self) {
        self.dispatched = false;
        self.granted_at = None;
        self.tell(RequestOutcome::NotRun);
    }

    fn unknown(&mut self) {
        self.tell(RequestOutcome::Unknown);
        self.count(None, ExecutionStatus::Unknown);
    }

    fn answered(&mut self, status: StatusCode) {
        self.tell(RequestOutcome::Answered(status.as_u16()));
        self.count(Some(status.as_u16()), ExecutionStatus::Run);
    }

    fn refused(&mut self, e: &ApiError) {
        let seen = matches!(e.kind, ErrorKind::KeyUsed | ErrorKind::KeyUsedUnknown);
        if seen {
            self.ended = true;
        } else {
            self.count(None, ExecutionStatus::NotRun);
        }
    }

    fn count(&mut self, status: Option<u16>, run: ExecutionStatus) {
        self.ended = true;
        let now = self.shared.now();
        let end = RequestSample {
            wait_ms: self.granted_at.unwrap_or(now) - self.began,
            objective_ms: self.objective_ms,
            attempts: self.attempts,
            status,
            run,
        };
        self.shared
            .meter
            .record(&self.queue, &self.organisation, &end, now);
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if self.dispatched {
            self.unknown();
        } else {
            self.tell(RequestOutcome::Abandoned);
        }
    }
}
