//! Callers of a node that the store rejects while it serves the owner's node: what they get, and
//! what is stored.

use {
    axum::{
        Json, Router,
        body::Body,
        extract::State,
        http::{Request, StatusCode, header},
        response::{IntoResponse, Response},
        routing::{any, post},
    },
    dragonflyferry::{
        entry::{EventLog, Shared, caller_router, run_owner_link, run_peer_server},
        fleet::OwnerRecord,
        platform::NodeSettings,
    },
    rustix::time::{ClockId, clock_gettime},
    serde_json::{Value, json},
    slog::{Discard, Logger, o},
    standins::cell_sample::config,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::mpsc},
    tower::ServiceExt,
};

/// Keys and values of the store, which two servers share: one serves, the other rejects.
type Items = Arc<Mutex<BTreeMap<String, String>>>;

#[derive(Clone, Default)]
struct Store {
    items: Items,
    rejects: Arc<AtomicBool>,
    /// Carries out writes and loses the replies.
    mute: Arc<AtomicBool>,
}

impl Store {
    fn set(flag: &AtomicBool, value: bool) {
        flag.store(value, std::sync::atomic::Ordering::SeqCst);
    }

    fn is(flag: &AtomicBool) -> bool {
        flag.load(std::sync::atomic::Ordering::SeqCst)
    }

    async fn serve(&self) -> SocketAddr {
        let router = Router::new()
            .route("/-/kv-txn", post(transact))
            .fallback(any(read))
            .with_state(self.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        address
    }
}

async fn transact(State(store): State<Store>, Json(txn): Json<Value>) -> Response {
    if Store::is(&store.rejects) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let mut items = store.items.lock().expect("items");
    let rows = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    for row in rows("expectRev") {
        let key = text(&row["key"]);
        if let Some(value) = items.get(&key) {
            let item = json!({"key": key, "value": value, "revision": 7});
            let body = Json(json!({"items": [item]}));
            return (StatusCode::PRECONDITION_FAILED, body).into_response();
        }
    }
    for row in rows("setKeys") {
        items.insert(text(&row["key"]), text(&row["value"]));
    }
    if Store::is(&store.mute) {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    Json(json!({"revision": 7})).into_response()
}

async fn read(State(store): State<Store>) -> Response {
    if Store::is(&store.rejects) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    StatusCode::NOT_FOUND.into_response()
}

fn now_ms() -> u64 {
    let t = clock_gettime(ClockId::Boottime);
    u64::try_from(t.tv_sec).expect("time") * 1_000
        + u64::try_from(t.tv_nsec).expect("time") / 1_000_000
}

/// Creates a node whose configuration is in force.
fn node(name: &str, store: SocketAddr) -> Arc<Shared> {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/node.toml");
    let mut settings = NodeSettings::read(Path::new(sample)).expect("settings");
    settings.store_address = store;
    let log = EventLog::new(Logger::root(Discard, o!()), Arc::new(AtomicU64::new(0)));
    let shared = Arc::new(Shared::new(settings, Arc::from(name), log));
    shared.config.send_replace(Some(Arc::new(config())));
    shared.record_config_confirmed(now_ms());
    shared
}

/// Calls the store as a node does all the time, so that its failures and successes are known.
fn poll_store(shared: &Arc<Shared>) {
    let shared = shared.clone();
    tokio::spawn(async move {
        loop {
            let _ = shared.get("any", Duration::from_millis(200)).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// An entry node and the owner's node, with a server of the store for each.
struct Pair {
    entry: Arc<Shared>,
    entry_store: Store,
    owner_store: Store,
}

impl Pair {
    async fn start() -> Self {
        let entry_store = Store::default();
        let owner_store = Store {
            items: entry_store.items.clone(),
            ..Store::default()
        };
        let entry = node("entry", entry_store.serve().await);
        let owner = node("owner", owner_store.serve().await);
        let (tx, mut rx) = mpsc::unbounded_channel();
        owner.set_local_owner(Some(tx));
        tokio::spawn(async move { while rx.recv().await.is_some() {} });
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address").to_string();
        tokio::spawn(run_peer_server(owner.clone(), listener));
        entry.owner.send_replace(Some(OwnerRecord {
            token: 1,
            node: Arc::from("owner"),
            address: Arc::from(address),
        }));
        tokio::spawn(run_owner_link(entry.clone()));
        poll_store(&entry);
        poll_store(&owner);
        Self {
            entry,
            entry_store,
            owner_store,
        }
    }

    /// Rejects the entry node and waits until it knows that the owner's node is served.
    async fn reject_entry(&self) {
        Store::set(&self.entry_store.rejects, true);
        let started_at = Instant::now();
        while !self.entry.has_store_relay() {
            assert!(started_at.elapsed() < Duration::from_secs(5), "no relay");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Submits a job to the entry node; returns the status and `retry-after`.
    async fn submit(&self, id: &str) -> (StatusCode, Option<String>) {
        self.entry.record_config_confirmed(now_ms());
        let body =
            r#"{"spec":"text","steps":[{"count":1,"cpu":500,"memMb":100,"estimateMs":100}]}"#;
        let req = Request::post(format!("/urgent/{id}"))
            .header(header::HOST, "h")
            .body(Body::from(body))
            .expect("request");
        let reply = caller_router(self.entry.clone()).oneshot(req).await;
        let reply = reply.expect("reply");
        let retry_after = reply.headers().get(header::RETRY_AFTER);
        let retry_after = retry_after.map(|v| v.to_str().expect("text").to_owned());
        (reply.status(), retry_after)
    }

    fn stored(&self) -> usize {
        self.entry_store.items.lock().expect("items").len()
    }
}

#[tokio::test]
async fn a_job_at_a_rejected_node_is_stored_through_the_owners_node() {
    let pair = Pair::start().await;
    pair.reject_entry().await;
    let reply = pair.submit("00000000000000aa").await;
    assert_eq!(reply, (StatusCode::OK, None));
    assert_eq!(pair.stored(), 1);
    // The caller repeats the request: it stays one job.
    let reply = pair.submit("00000000000000aa").await;
    assert_eq!(reply, (StatusCode::OK, None));
    assert_eq!(pair.stored(), 1);
}

/// The store carries out the entry node's write but the reply is lost, and it rejects the owner's
/// node: the caller must not be told that the job does not run.
#[tokio::test]
async fn a_write_with_an_unknown_outcome_is_not_refused() {
    let pair = Pair::start().await;
    pair.reject_entry().await;
    Store::set(&pair.entry_store.rejects, false);
    Store::set(&pair.entry_store.mute, true);
    Store::set(&pair.owner_store.rejects, true);
    let (status, _) = pair.submit("00000000000000ab").await;
    assert_eq!(pair.stored(), 1);
    assert!(
        status == StatusCode::OK || status == StatusCode::GATEWAY_TIMEOUT,
        "{status}"
    );
}

/// Both ways are closed: the refusal comes at once, says when to come back, and is true.
#[tokio::test]
async fn a_job_that_no_node_can_store_is_refused_at_once() {
    let pair = Pair::start().await;
    pair.reject_entry().await;
    Store::set(&pair.owner_store.rejects, true);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let started_at = Instant::now();
    let (status, retry_after) = pair.submit("00000000000000ac").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(started_at.elapsed() < Duration::from_millis(500));
    let seconds: u64 = retry_after.expect("retry-after").parse().expect("seconds");
    assert!((1..=4).contains(&seconds), "{seconds}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(pair.stored(), 0);
}
