//! The models behind HTTP, for daemons in other tasks or processes.

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

/// Period at which held renewals look for news, in ms.
const LOOK_MS: u64 = 20;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn millis(start: Instant) -> Millis {
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

/// The key-value service and VM list behind HTTP.
#[derive(Clone)]
pub struct PlatformServer {
    pub store: Arc<Mutex<StoreModel>>,
    pub vms: Arc<Mutex<Vec<VmRecord>>>,
    /// Set to refuse every store call.
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
    /// Starts to serve; returns the address.
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
    let now = millis(server.start);
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

/// A worker behind HTTP.
#[derive(Clone)]
pub struct WorkerServer {
    pub model: Arc<Mutex<WorkerModel>>,
    start: Instant,
}

impl WorkerServer {
    /// Starts a worker; the returned record carries its address.
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
    let first = lock(&server.model).apply(&op, millis(server.start));
    if let Some(answer) = first {
        return Json(answer);
    }
    let WorkerOp::Renew {
        long_poll_ms,
        last_event,
        ..
    } = op
    else {
        return Json(WorkerReply::Lapsed);
    };
    let until = millis(server.start) + long_poll_ms;
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let now = millis(server.start);
        let mut model = lock(&server.model);
        model.tick(now);
        if model.has_news(last_event) || now >= until {
            return Json(model.renewed(last_event, now));
        }
    }
}

/// Ends a request's task when its answer has been sent or its caller is gone.
struct RunningRequest {
    server: WorkerServer,
    spec: TaskSpec,
}

impl RunningRequest {
    /// Tells whether the task still runs; a stopped one must not answer.
    fn runs(&self) -> bool {
        lock(&self.server.model).running.contains_key(&self.spec.id)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        lock(&self.server.model).end_request(&self.spec.id);
    }
}

async fn work(State(server): State<WorkerServer>, req: Request) -> Response {
    let Some((spec, fence)) = task_of(req.headers()) else {
        return (StatusCode::BAD_REQUEST, "no task").into_response();
    };
    let now = millis(server.start);
    if !lock(&server.model).start_request(fence, &spec, now) {
        let headers = [("x-dragonflyferry-not-run", "1")];
        return (StatusCode::CONFLICT, headers, "not run").into_response();
    }
    let running = RunningRequest { server, spec };
    let query = req.uri().query().unwrap_or_default().to_owned();
    let path = req.uri().path().to_owned();
    let body = axum::body::to_bytes(req.into_body(), 1 << 26).await;
    let body = body.unwrap_or_default();
    if let Some(ms) = number(&query, "ms") {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
    let status = number(&query, "status").and_then(|s| u16::try_from(s).ok());
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    if !running.runs() {
        return (StatusCode::GONE, "stopped").into_response();
    }
    if let Some(chunks) = number(&query, "chunks") {
        return stream(running, chunks);
    }
    let echo = format!("{path} {}", String::from_utf8_lossy(&body));
    (status.unwrap_or(StatusCode::OK), echo).into_response()
}

/// Answers with a chunk every 50 ms, as a live feed does.
fn stream(running: RunningRequest, chunks: u64) -> Response {
    let chunks = futures_util::stream::iter(0..chunks).then(move |n| {
        let _held = &running;
        async move {
            tokio::time::sleep(Duration::from_millis(50)).await;
            Ok::<_, std::io::Error>(format!("chunk {n}\n"))
        }
    });
    Body::from_stream(chunks).into_response()
}

fn task_of(headers: &HeaderMap) -> Option<(TaskSpec, FencingToken)> {
    let text = |name| headers.get(name)?.to_str().ok();
    let spec = serde_json::from_str(text("x-dragonflyferry-task")?).ok()?;
    let (epoch, opening) = text("x-dragonflyferry-fence")?.split_once('.')?;
    let fence = FencingToken {
        epoch: Epoch(epoch.parse().ok()?),
        lease_seq: opening.parse().ok()?,
    };
    Some((spec, fence))
}

fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name)?.1.parse().ok()
}
