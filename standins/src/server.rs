//! Serves the store, VM list and worker models over HTTP on loopback.
//!
//! Used by trials and tests that run daemons in other tasks or processes. The handlers contain no
//! scheduling logic; behaviour belongs in the models.

use {
    crate::{StoreModel, WorkerModel},
    axum::{
        Json, Router,
        body::Body,
        extract::{Path, Request, State},
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
        routing::{any, get, post},
    },
    dragonflyferry::core::{
        Epoch, FencingToken, Millis, StoreOp, StoreReply, TaskSpec, VmRecord, WorkerOp, WorkerReply,
    },
    futures_util::StreamExt,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
};

/// Interval at which a long-polled renewal checks for ended tasks, in ms.
const RENEWAL_POLL_MS: u64 = 20;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn elapsed_ms(start: Instant) -> Millis {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

async fn serve(router: Router) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let _ = axum::serve(listener, router).await;
    });
    Ok(address)
}

/// The store under `/kv` and the VM list under `/vms`; `/down/on` makes the store unavailable.
#[derive(Clone)]
pub struct PlatformServer {
    pub store: Arc<Mutex<StoreModel>>,
    /// The VM list, which `PUT /vms` replaces.
    pub vms: Arc<Mutex<Vec<VmRecord>>>,
    /// While true, every store call gets status 503.
    pub down: Arc<Mutex<bool>>,
    start: Instant,
}

impl Default for PlatformServer {
    fn default() -> Self {
        Self {
            store: Arc::default(),
            vms: Arc::default(),
            down: Arc::default(),
            start: Instant::now(),
        }
    }
}

impl PlatformServer {
    /// Starts serving on a free port and returns the address.
    ///
    /// Fails if no port can be bound.
    pub async fn start(&self) -> std::io::Result<SocketAddr> {
        let router = Router::new()
            .route("/kv", post(kv))
            .route("/vms", get(vms).put(set_vms))
            .route("/down/{state}", post(set_down))
            .with_state(self.clone());
        serve(router).await
    }
}

async fn kv(
    State(server): State<PlatformServer>,
    Json(op): Json<StoreOp>,
) -> Result<Json<StoreReply>, StatusCode> {
    if *lock(&server.down) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let now = elapsed_ms(server.start);
    Ok(Json(lock(&server.store).apply(&op, now)))
}

async fn vms(State(server): State<PlatformServer>) -> Json<Vec<VmRecord>> {
    Json(lock(&server.vms).clone())
}

async fn set_vms(State(server): State<PlatformServer>, Json(vms): Json<Vec<VmRecord>>) {
    *lock(&server.vms) = vms;
}

async fn set_down(State(server): State<PlatformServer>, Path(state): Path<String>) {
    *lock(&server.down) = state == "on";
}

/// A worker: lease and tasks under `/control`, requests under `/work/`, starts under `/started`.
#[derive(Clone)]
pub struct WorkerServer {
    pub model: Arc<Mutex<WorkerModel>>,
    start: Instant,
}

impl WorkerServer {
    /// Starts a worker on a free port; the returned record contains its address.
    ///
    /// Fails if no port can be bound.
    pub async fn start(mut record: VmRecord) -> std::io::Result<(Self, VmRecord)> {
        let server = Self {
            model: Arc::new(Mutex::new(WorkerModel::new(record.clone()))),
            start: Instant::now(),
        };
        let router = Router::new()
            .route("/control", post(control))
            .route("/started", get(started))
            .route("/work/", any(work))
            .route("/work/{*path}", any(work))
            .with_state(server.clone());
        let address = serve(router).await?;
        record.address = Arc::from(address.to_string());
        lock(&server.model).record = record.clone();
        Ok((server, record))
    }
}

async fn started(State(server): State<WorkerServer>) -> Json<Vec<TaskSpec>> {
    Json(lock(&server.model).started.clone())
}

async fn control(
    State(server): State<WorkerServer>,
    Json(op): Json<WorkerOp>,
) -> Json<WorkerReply> {
    let immediate = lock(&server.model).apply(&op, elapsed_ms(server.start));
    if let Some(reply) = immediate {
        return Json(reply);
    }
    let WorkerOp::Renew {
        long_poll_ms,
        last_event,
        ..
    } = op
    else {
        return Json(WorkerReply::Lapsed);
    };
    let deadline = elapsed_ms(server.start) + long_poll_ms;
    loop {
        tokio::time::sleep(Duration::from_millis(RENEWAL_POLL_MS)).await;
        let now = elapsed_ms(server.start);
        let mut model = lock(&server.model);
        model.tick(now);
        if model.has_events_after(last_event) || now >= deadline {
            return Json(model.renewed_reply(last_event, now));
        }
    }
}

/// Ends a request's task on drop: when the response has been sent or the caller disconnected.
struct RunningRequest {
    server: WorkerServer,
    spec: TaskSpec,
}

impl RunningRequest {
    /// Returns whether the task still runs; a stopped task must not send a response.
    fn is_running(&self) -> bool {
        lock(&self.server.model).running.contains_key(&self.spec.id)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        lock(&self.server.model).end_request(&self.spec.id);
    }
}

async fn work(State(server): State<WorkerServer>, req: Request) -> Response {
    let Some((spec, fence)) = parse_task_headers(req.headers()) else {
        return (StatusCode::BAD_REQUEST, "no task").into_response();
    };
    let now = elapsed_ms(server.start);
    if !lock(&server.model).start_request(fence, &spec, now) {
        let headers = [("x-dragonflyferry-not-run", "1")];
        return (StatusCode::CONFLICT, headers, "not run").into_response();
    }
    let running = RunningRequest { server, spec };
    let query = req.uri().query().unwrap_or_default().to_owned();
    let path = req.uri().path().to_owned();
    let body = axum::body::to_bytes(req.into_body(), 1 << 26).await;
    let body = body.unwrap_or_default();
    if let Some(ms) = query_number(&query, "ms") {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
    let status = query_number(&query, "status").and_then(|s| u16::try_from(s).ok());
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    if !running.is_running() {
        return (StatusCode::GONE, "stopped").into_response();
    }
    if let Some(chunks) = query_number(&query, "chunks") {
        return stream(running, chunks);
    }
    let echo = format!("{path} {}", String::from_utf8_lossy(&body));
    (status.unwrap_or(StatusCode::OK), echo).into_response()
}

/// Streams a chunk every 50 ms, as a live feed does.
fn stream(running: RunningRequest, chunks: u64) -> Response {
    let chunks = futures_util::stream::iter(0..chunks).then(move |n| {
        let _running = &running;
        async move {
            tokio::time::sleep(Duration::from_millis(50)).await;
            Ok::<_, std::io::Error>(format!("chunk {n}\n"))
        }
    });
    Body::from_stream(chunks).into_response()
}

/// Parses the task and fencing token (`epoch.lease_seq`) of a request; `None` if malformed.
fn parse_task_headers(headers: &HeaderMap) -> Option<(TaskSpec, FencingToken)> {
    let text = |name| headers.get(name)?.to_str().ok();
    let spec = serde_json::from_str(text("x-dragonflyferry-task")?).ok()?;
    let (epoch, lease_seq) = text("x-dragonflyferry-fence")?.split_once('.')?;
    let fence = FencingToken {
        epoch: Epoch(epoch.parse().ok()?),
        lease_seq: lease_seq.parse().ok()?,
    };
    Some((spec, fence))
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name)?.1.parse().ok()
}
