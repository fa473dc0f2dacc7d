//! Tests of the owner's watch of the platform's list of executors, against a stand-in of the store.

use {
    axum::{Json, Router, extract::State, routing::get},
    base64::{Engine, engine::general_purpose::STANDARD},
    dragonflyferry::{
        entry::{EventLog, ListPosition, OwnerInput, Shared, watch_executors},
        fleet::CellEvent,
        platform::NodeSettings,
    },
    serde_json::{Value, json},
    slog::{Discard, Logger, o},
    std::{
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, sync::mpsc},
};

/// Heartbeats of all executors a second, as of 350 executors each 1.5 s.
const HEARTBEATS_PER_SECOND: u64 = 233;

/// Replies at once with one change, as executors report all the time.
async fn watch(State(calls): State<Arc<AtomicU64>>) -> Json<Value> {
    let revision = calls.fetch_add(1, Ordering::Relaxed) + 2;
    tokio::time::sleep(Duration::from_millis(1_000 / HEARTBEATS_PER_SECOND)).await;
    let entry = json!({
        "service": "pool", "address": "10.0.0.1:80", "zone": "z0", "version": "1", "slots": 8,
        "state": "ready", "coldLeftMs": 0, "sequence": revision, "born": 1_000,
        "capacity": {"cpu": 1_000, "memMb": 1_000, "gpu": 0}, "labels": [],
    });
    let value = STANDARD.encode(entry.to_string());
    let event = json!({"key": "servers/e0", "value": value, "revision": revision});
    Json(json!({"events": [event], "storeRevision": revision}))
}

/// Position before all changes.
const FROM_START: ListPosition = ListPosition {
    revision: 1,
    sent_at: 0,
};

/// Guards against a call to the store for each heartbeat of each executor.
#[tokio::test]
async fn heartbeats_of_hundreds_of_executors_are_read_together() {
    let calls = Arc::new(AtomicU64::new(0));
    let router = Router::new()
        .route("/-/kv-watch", get(watch))
        .with_state(calls.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/node.toml");
    let mut settings = NodeSettings::read(Path::new(sample)).expect("settings");
    settings.store_address = listener.local_addr().expect("address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    let log = EventLog::new(Logger::root(Discard, o!()), Arc::new(AtomicU64::new(0)));
    let shared = Arc::new(Shared::new(settings, Arc::from("owner"), log));

    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(watch_executors(shared, tx, FROM_START));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = calls.load(Ordering::Relaxed);
    assert!((5..=22).contains(&calls), "{calls} calls in 2 s");
    let input = rx.recv().await.expect("a change");
    assert!(
        matches!(input, OwnerInput::Cell(CellEvent::Listed { .. })),
        "{input:?}"
    );
}
