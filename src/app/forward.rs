//! Forwards callers' requests to workers and streams the responses back. The callers' interface
//! creates one [`RequestForwarder`] per request. A request is sent to a further worker only while
//! it is certain that no earlier worker ran it.

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
        server::{HeldBody, RequestHandle, read_body},
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

/// Header that carries the [`TaskSpec`] to the worker, as JSON.
pub const TASK_HEADER: HeaderName = HeaderName::from_static("x-dragonflyferry-task");

/// Header that carries the fencing token to the worker, as `EPOCH.LEASE_SEQ` in decimal.
pub const FENCE_HEADER: HeaderName = HeaderName::from_static("x-dragonflyferry-fence");

/// Response header that a worker sets, with any value, if it did not run the request.
pub const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-dragonflyferry-not-run");

/// Headers that are forwarded in neither direction: those of one connection, and `authorization`,
/// which is between the caller and the node.
const HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
    "authorization",
];

/// A validated request and everything needed to forward it.
pub struct RequestForwarder {
    pub shared: Arc<Shared>,
    pub queue: QueueName,
    pub organisation: OrganisationName,
    pub policy: QueuePolicy,
    /// Maximum wait for a worker, in ms.
    pub timeout_ms: Millis,
    /// Digest of the organisation and the caller's idempotency key.
    pub idempotency_key: Option<TaskId>,
    /// Method and headers as the caller sent them.
    pub parts: Parts,
    /// Path below the queue, without a leading slash, and the query string.
    pub path: String,
}

/// Maximum size of a body that is buffered so that it can be sent again, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 65_536;

/// The body of a request, by whether it can be sent again.
enum RequestBody {
    /// Can be sent any number of times.
    Buffered(HeldBody),
    /// Can be sent once; `None` afterwards.
    Stream(Option<Body>),
}

impl RequestBody {
    /// Returns the body for the next attempt; `None` if it cannot be sent again.
    fn next_body(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(body) => Some(body.to_body()),
            Self::Stream(body) => body.take(),
        }
    }
}

/// A worker that the core granted to a request.
struct Grant {
    spec: TaskSpec,
    address: Arc<str>,
    fence: FencingToken,
}

impl RequestForwarder {
    /// Waits for a worker, sends it the request and returns its response.
    ///
    /// Tries the next worker that the core grants as long as the request did not run and its
    /// body can be sent again. The body of the response is still streaming on return.
    /// [`ErrorKind::OutcomeUnknown`] means that a worker may have run the request.
    pub async fn run(self, body: Body) -> Result<Response<Body>, ApiError> {
        // Before the core knows of the request, so that one that stands still takes no place there.
        let mut body = self.buffer(body).await?;
        let request = CallerRequest {
            queue: self.queue.clone(),
            organisation: self.organisation.clone(),
            timeout_ms: self.timeout_ms,
            idempotency_key: self.idempotency_key.clone(),
        };
        let shared = self.shared.clone();
        let (reply, mut rx) = shared
            .core
            .send_with_replies(|reply| Event::Request { reply, request });
        let mut guard = CompletionGuard::new(&self, reply);
        loop {
            let grant = match self.wait_for_grant(&mut rx).await {
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
            let Some(next_body) = body.next_body() else {
                return Err(body_consumed());
            };
            guard.dispatched = true;
            match self.send(&grant, next_body).await {
                Ok(resp) if resp.headers().contains_key(NOT_RUN_HEADER) => guard.not_run(),
                Ok(resp) => return Ok(stream_response(resp, guard, permit)),
                Err(e) if !e.maybe_sent => guard.not_run(),
                Err(e) => {
                    guard.unknown();
                    return Err(outcome_unknown(&e.message));
                }
            }
        }
    }

    /// Reads a short body into memory, so that a further worker can be tried.
    async fn buffer(&self, body: Body) -> Result<RequestBody, ApiError> {
        let header = |name: &str| self.parts.headers.get(name);
        let length = header("content-length").map(|v| v.to_str().ok()?.parse::<usize>().ok());
        let short = match length {
            Some(length) => length.is_some_and(|l| l <= MAX_BUFFERED_BODY_BYTES),
            None => header("transfer-encoding").is_none(),
        };
        if !short {
            return Ok(RequestBody::Stream(Some(body)));
        }
        let handle = self.parts.extensions.get::<RequestHandle>().cloned();
        let body = read_body(handle, body, MAX_BUFFERED_BODY_BYTES).await?;
        Ok(RequestBody::Buffered(body))
    }

    /// Waits until the core grants a worker or refuses the request.
    async fn wait_for_grant(
        &self,
        rx: &mut mpsc::UnboundedReceiver<CoreReply>,
    ) -> Result<Grant, ApiError> {
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

    /// Requests that must not run twice use no idle connection, which may be dead unnoticed.
    fn client(&self) -> &HttpClient {
        if self.policy.idempotent {
            &self.shared.pooled_client
        } else {
            &self.shared.unpooled_client
        }
    }
}

/// The error of a request whose streamed body was consumed by an attempt that did not run.
fn body_consumed() -> ApiError {
    let message = "the worker left before it ran the request, whose body was already read";
    let mut e = ApiError::new(ErrorKind::NoRoom, message);
    e.retry_after_ms = Some(1_000);
    e
}

fn outcome_unknown(message: &str) -> ApiError {
    ApiError::new(
        ErrorKind::OutcomeUnknown,
        format!("the worker may have run the request: {message}"),
    )
}

/// Copies the caller's headers, without those of the connection and of this project, so that a
/// caller cannot set the task or the fencing token.
fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        let internal = name.as_str().starts_with("x-dragonflyferry");
        if !internal && !HOP_HEADERS.contains(&name.as_str()) && name.as_str() != "host" {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Streams a worker's response to the caller; the guard reports completion at its last byte.
fn stream_response(
    resp: Response<Body>,
    guard: CompletionGuard,
    permit: OwnedSemaphorePermit,
) -> Response<Body> {
    let (mut parts, body) = resp.into_parts();
    for name in HOP_HEADERS {
        parts.headers.remove(name);
    }
    let relay = Relay {
        remaining_bytes: expected_body_bytes(&parts, &guard),
        status: parts.status,
        chunks: body.into_data_stream(),
        guard: Some(guard),
        _permit: permit,
    };
    let chunks = futures_util::stream::unfold(relay.finish_if_empty(), async |mut relay| {
        let chunk = relay.next().await?;
        Some((chunk, relay))
    });
    Response::from_parts(parts, Body::from_stream(chunks))
}

/// Returns the size of a response's body in bytes, if status, method or headers determine it.
fn expected_body_bytes(
    parts: &hyper::http::response::Parts,
    guard: &CompletionGuard,
) -> Option<u64> {
    let empty = guard.head_request
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    let length = parts.headers.get("content-length");
    let length = length.and_then(|v| v.to_str().ok()?.parse().ok());
    if empty { Some(0) } else { length }
}

/// Streams the body of a response to the caller.
///
/// The server drops a body of known length without polling it to its end, so the end is
/// detected by counting bytes.
struct Relay {
    chunks: BodyDataStream,
    /// Bytes still to come; `None` if the size of the body is not known.
    remaining_bytes: Option<u64>,
    status: StatusCode,
    /// `None` once the response has ended.
    guard: Option<CompletionGuard>,
    /// Counts the connection to the worker until the relay is dropped.
    _permit: OwnedSemaphorePermit,
}

impl Relay {
    /// Finishes a response that has no body.
    fn finish_if_empty(mut self) -> Self {
        if self.remaining_bytes == Some(0) {
            self.finish();
        }
        self
    }

    /// Reports completion; later calls do nothing.
    fn finish(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            guard.completed(self.status);
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, axum::Error>> {
        let Some(chunk) = self.chunks.next().await else {
            self.finish();
            return None;
        };
        match &chunk {
            Ok(bytes) => {
                let remaining = self
                    .remaining_bytes
                    .map(|l| l.saturating_sub(bytes.len() as u64));
                self.remaining_bytes = remaining;
                if remaining == Some(0) {
                    self.finish();
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

/// Reports to the core and the meter exactly once how a request ended, also when it is dropped.
/// The meter does not count a request that ends before a worker has it, unless the core refused it.
struct CompletionGuard {
    shared: Arc<Shared>,
    queue: QueueName,
    organisation: OrganisationName,
    objective_ms: Option<Millis>,
    reply: ReplyId,
    started_at: Millis,
    /// When the core granted the current worker; `None` while there is none.
    granted_at: Option<Millis>,
    /// Number of workers granted so far.
    attempts: u32,
    /// The method is HEAD: the response has no body, whatever its content length says.
    head_request: bool,
    /// The request may have reached a worker that has not refused it.
    dispatched: bool,
    /// The end was reported; dropping the guard does nothing more.
    ended: bool,
}

impl CompletionGuard {
    fn new(forwarder: &RequestForwarder, reply: ReplyId) -> Self {
        Self {
            shared: forwarder.shared.clone(),
            queue: forwarder.queue.clone(),
            organisation: forwarder.organisation.clone(),
            objective_ms: forwarder.policy.objective.map(|o| o.within_ms),
            reply,
            started_at: forwarder.shared.now(),
            granted_at: None,
            attempts: 0,
            head_request: forwarder.parts.method == Method::HEAD,
            dispatched: false,
            ended: false,
        }
    }

    fn granted(&mut self) {
        self.attempts += 1;
        self.granted_at = Some(self.shared.now());
    }

    /// Reports the end of an attempt to the core.
    fn report_outcome(&self, outcome: RequestOutcome) {
        let reply = self.reply;
        self.shared
            .core
            .send(Event::RequestEnded { reply, outcome });
    }

    /// Reports that the granted worker did not run the request; the core grants another or refuses.
    fn not_run(&mut self) {
        self.dispatched = false;
        self.granted_at = None;
        self.report_outcome(RequestOutcome::NotRun);
    }

    fn unknown(&mut self) {
        self.report_outcome(RequestOutcome::Unknown);
        self.record(None, ExecutionStatus::Unknown);
    }

    fn completed(&mut self, status: StatusCode) {
        self.report_outcome(RequestOutcome::Completed(status.as_u16()));
        self.record(Some(status.as_u16()), ExecutionStatus::Run);
    }

    /// Handles a refusal by the core. The meter does not count a request whose idempotency key was
    /// used.
    fn refused(&mut self, e: &ApiError) {
        let key_used = matches!(e.kind, ErrorKind::KeyUsed | ErrorKind::KeyUsedUnknown);
        if key_used {
            self.ended = true;
        } else {
            self.record(None, ExecutionStatus::NotRun);
        }
    }

    /// Records the request in the meter and marks the guard as ended.
    fn record(&mut self, status: Option<u16>, run: ExecutionStatus) {
        self.ended = true;
        let now = self.shared.now();
        let sample = RequestSample {
            wait_ms: self.granted_at.unwrap_or(now) - self.started_at,
            objective_ms: self.objective_ms,
            attempts: self.attempts,
            status,
            run,
        };
        self.shared
            .meter
            .record(&self.queue, &self.organisation, &sample, now);
    }
}

impl Drop for CompletionGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if self.dispatched {
            self.unknown();
        } else {
            self.report_outcome(RequestOutcome::Abandoned);
        }
    }
}
