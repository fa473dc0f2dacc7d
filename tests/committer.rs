//! Tests of the owner's writes to the store, whose replies may be lost and which may be carried out late.

use {
    axum::{
        Json, Router,
        extract::{Query, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    dragonflyferry::{
        entry::{Commit, EventLog, OwnerInput, Shared, run_committer},
        fleet::{CellEvent, EpochRecord, JobId, LeaseWaits, StoreWrite},
        platform::NodeSettings,
    },
    serde_json::{Value, json},
    slog::{Discard, Logger, o},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        path::Path,
        sync::{Arc, Mutex, atomic::AtomicU64},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::mpsc},
};

const EPOCH: &str = "c/epoch";
const PROGRESS: &str = "p/0000000000000001";

/// Values with their revisions, and how the next writes go.
#[derive(Default)]
struct Items {
    values: BTreeMap<String, (String, u64)>,
    revision: u64,
    /// Number of writes that get no reply; they are kept, to be carried out late.
    unanswered: usize,
    kept: Vec<Value>,
    /// Writes received, and the most of them that were under way at once.
    under_way: usize,
    max_under_way: usize,
}

#[derive(Clone, Default)]
struct Store(Arc<Mutex<Items>>);

impl Store {
    /// Carries out a write if its conditions hold; returns the new revision.
    fn transact(&self, txn: &Value) -> Option<u64> {
        let mut items = self.0.lock().expect("items");
        let rows = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let holds = |row: &Value| {
            let found = items.values.get(&text(&row["key"]));
            found.map_or(0, |(_, revision)| *revision) == row["revision"].as_u64().unwrap_or(0)
        };
        if !rows("expectRev").iter().all(holds) {
            return None;
        }
        items.revision += 1;
        let revision = items.revision;
        for row in rows("setKeys") {
            let value = (text(&row["value"]), revision);
            items.values.insert(text(&row["key"]), value);
        }
        Some(revision)
    }

    fn value(&self, key: &str) -> Option<String> {
        let items = self.0.lock().expect("items");
        items.values.get(key).map(|(value, _)| value.clone())
    }

    fn set(&self, key: &str, value: &[u8]) -> u64 {
        let row = json!({"key": key, "value": STANDARD.encode(value)});
        let txn = json!({"setKeys": [row]});
        self.transact(&txn).expect("no condition")
    }

    async fn serve(&self) -> SocketAddr {
        let router = Router::new()
            .route("/-/kv-txn", post(transact))
            .route("/-/kv-key", get(read))
            .with_state(self.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        address
    }
}

async fn transact(State(store): State<Store>, Json(txn): Json<Value>) -> Response {
    let answered = {
        let mut items = store.0.lock().expect("items");
        items.under_way += 1;
        items.max_under_way = items.max_under_way.max(items.under_way);
        let answered = items.unanswered == 0;
        if !answered {
            items.unanswered -= 1;
            items.kept.push(txn.clone());
        }
        answered
    };
    if !answered {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.0.lock().expect("items").under_way -= 1;
    if let Some(revision) = store.transact(&txn) {
        return Json(json!({ "revision": revision })).into_response();
    }
    let body = Json(json!({"items": []}));
    (StatusCode::PRECONDITION_FAILED, body).into_response()
}

async fn read(
    State(store): State<Store>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    let items = store.0.lock().expect("items");
    let key = &query["key"];
    let Some((value, revision)) = items.values.get(key) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    Json(json!({"key": key, "value": value, "revision": revision})).into_response()
}

struct Committer {
    store: Store,
    tx: mpsc::UnboundedSender<Commit>,
    results: mpsc::UnboundedReceiver<OwnerInput>,
}

impl Committer {
    async fn start() -> Self {
        let store = Store::default();
        let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/node.toml");
        let mut settings = NodeSettings::read(Path::new(sample)).expect("settings");
        settings.store_address = store.serve().await;
        let log = EventLog::new(Logger::root(Discard, o!()), Arc::new(AtomicU64::new(0)));
        let shared = Arc::new(Shared::new(settings, Arc::from("owner"), log));
        let epoch = epoch(1);
        let revision = store.set(EPOCH, &postcard::to_stdvec(&epoch).expect("record"));
        let (tx, rx) = mpsc::unbounded_channel();
        let (owner, results) = mpsc::unbounded_channel();
        tokio::spawn(run_committer(shared, epoch, revision, rx, owner));
        Self { store, tx, results }
    }

    fn send(&self, call: u64, write: StoreWrite) {
        let writes = vec![write];
        self.tx.send(Commit { call, writes }).expect("committer");
    }

    /// Returns the call of the next result and whether it succeeded; none if the owner must step down.
    async fn result(&mut self) -> Option<(u64, bool)> {
        let input = tokio::time::timeout(Duration::from_secs(5), self.results.recv()).await;
        match input.expect("a result in time").expect("committer") {
            OwnerInput::Cell(CellEvent::CommitResult { call, ok }) => Some((call, ok)),
            OwnerInput::StepDown => None,
            other => panic!("{other:?}"),
        }
    }
}

fn epoch(token: u64) -> EpochRecord {
    EpochRecord {
        token,
        node: Arc::from("owner"),
    }
}

/// A write of the progress of job 1, which differs by `done`.
fn progress(done: u32) -> StoreWrite {
    StoreWrite::Progress {
        job: JobId(1),
        value: vec![u8::try_from(done).expect("small")],
        record: None,
    }
}

fn waits() -> StoreWrite {
    StoreWrite::LeaseWaits(LeaseWaits::default())
}

#[tokio::test]
async fn commits_do_not_wait_for_one_another() {
    let mut committer = Committer::start().await;
    for call in 1..=4 {
        committer.send(call, waits());
    }
    for _ in 1..=4 {
        assert!(committer.result().await.expect("a result").1);
    }
    let max_under_way = committer.store.0.lock().expect("items").max_under_way;
    assert!(max_under_way > 1, "{max_under_way}");
}

/// A write whose reply was lost is carried out after the one that replaced it.
#[tokio::test]
async fn a_late_write_does_not_replace_a_newer_one() {
    let mut committer = Committer::start().await;
    committer.store.0.lock().expect("items").unanswered = 1;
    committer.send(1, progress(1));
    tokio::time::sleep(Duration::from_millis(200)).await;
    committer.send(2, waits());
    assert_eq!(committer.result().await, Some((2, true)));
    assert_eq!(committer.result().await, Some((1, false)));
    committer.send(3, progress(2));
    assert_eq!(committer.result().await, Some((3, true)));

    let newer = committer.store.value(PROGRESS);
    assert!(newer.is_some());
    let late = committer.store.0.lock().expect("items").kept.remove(0);
    assert_eq!(committer.store.transact(&late), None);
    assert_eq!(committer.store.value(PROGRESS), newer);
}

/// Another node claims while a write is under way: none of the earlier owner's takes effect any more.
#[tokio::test]
async fn no_write_takes_effect_after_a_newer_owner_has_claimed() {
    let mut committer = Committer::start().await;
    let record = postcard::to_stdvec(&epoch(2)).expect("record");
    committer.store.0.lock().expect("items").unanswered = 1;
    committer.send(1, progress(1));
    tokio::time::sleep(Duration::from_millis(200)).await;
    committer.store.set(EPOCH, &record);
    committer.send(2, progress(2));
    assert_eq!(committer.result().await, Some((2, false)));
    assert_eq!(committer.result().await, Some((1, false)));
    committer.send(3, progress(3));
    assert_eq!(committer.result().await, None);

    let late = committer.store.0.lock().expect("items").kept.remove(0);
    assert_eq!(committer.store.transact(&late), None);
    assert_eq!(committer.store.value(PROGRESS), None);
}

/// Guards against a write that the store never takes and that is taken for one which may take effect.
#[tokio::test]
async fn a_write_that_the_store_refuses_for_good_is_reported_as_such() {
    let mut committer = Committer::start().await;
    let too_long = StoreWrite::Progress {
        job: JobId(1),
        value: vec![0; 4 << 20],
        record: None,
    };
    committer.send(1, too_long);
    let input = committer.results.recv().await;
    let is_refused =
        matches!(input, Some(OwnerInput::Cell(CellEvent::CommitRefused { call })) if call == 1);
    assert!(is_refused, "{input:?}");
    committer.send(2, progress(2));
    assert_eq!(committer.result().await, Some((2, true)));
}
