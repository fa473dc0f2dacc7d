//! Tests of connections that go silent without a reset while new ones work: what the store or another
//! node says over them is lost, and must be learned over a new connection in time.

use {
    dragonflyferry::{
        entry::{
            EventLog, ListPosition, OwnerInput, PeerMessage, Shared, run_config_watch,
            run_owner_link, watch_executors, watch_members, watch_work,
        },
        fleet::{CellEvent, ExecutorInfo, JobId, OwnerRecord},
        platform::NodeSettings,
    },
    futures_util::{StreamExt, future::join_all},
    serde_json::json,
    slog::{Discard, Logger, o},
    standins::{
        platform_faults::{Fate, FaultRule, Party},
        platform_host::PlatformHost,
    },
    std::{
        path::Path,
        sync::{Arc, atomic::AtomicU64},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::mpsc},
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Time after a cancellation from which no task of the job may start (platform's `cancel_ms`).
const CANCEL_BOUND: Duration = Duration::from_secs(3);

/// Time after the connections have gone silent from which the platform holds a node to its bounds
/// again (platform's `stableMs`).
const STABLE_BOUND: Duration = Duration::from_secs(3);

/// Times from the first call of a watch until the connections go silent.
const PHASES_MS: [u64; 6] = [300, 650, 1_000, 1_350, 1_700, 2_050];

fn node(store: std::net::SocketAddr) -> Arc<Shared> {
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/node.toml");
    let mut settings = NodeSettings::read(Path::new(sample)).expect("settings");
    settings.store_address = store;
    let log = EventLog::new(Logger::root(Discard, o!()), Arc::new(AtomicU64::new(0)));
    Arc::new(Shared::new(settings, Arc::from("edge-0"), log))
}

/// A node and its store, with the store's connections under the test's control.
struct Scene {
    host: Arc<PlatformHost>,
    shared: Arc<Shared>,
}

impl Scene {
    fn start() -> Self {
        let host = PlatformHost::start(1, Vec::new(), &[]);
        let shared = node(host.store_address(0).expect("address"));
        Self { host, shared }
    }

    /// Silences all connections that are open now.
    fn silence(&self) {
        let rule = FaultRule::new("silent", Fate::Silent, |_, to| to == Party::Store);
        self.host.faults.add(rule.stale_only(), self.host.now());
    }
}

/// Runs `play` once for each phase, side by side; returns the time that each took.
async fn in_each_phase<F: Future<Output = ()>>(play: impl Fn(Duration) -> F) -> Vec<Duration> {
    let plays = PHASES_MS.map(|ms| {
        let phase = Duration::from_millis(ms);
        let play = play(phase);
        async move {
            let started_at = Instant::now();
            play.await;
            started_at.elapsed().saturating_sub(phase)
        }
    });
    join_all(plays).await
}

async fn receive(
    rx: &mut mpsc::UnboundedReceiver<OwnerInput>,
    is_expected: impl Fn(&OwnerInput) -> bool,
) {
    while let Some(input) = rx.recv().await {
        if is_expected(&input) {
            return;
        }
    }
    panic!("the watch has ended");
}

/// Position before all changes.
const FROM_START: ListPosition = ListPosition {
    revision: 1,
    sent_at: 0,
};

/// Guards against starts of tasks of a job whose cancellation the owner learns of too late.
#[tokio::test]
async fn a_cancellation_is_learned_in_time_although_the_watch_is_silent() {
    let times = in_each_phase(async |phase| {
        let scene = Scene::start();
        let (tx, mut rx) = mpsc::unbounded_channel();
        tokio::spawn(watch_work(scene.shared.clone(), tx, 1));
        tokio::time::sleep(phase).await;
        scene.silence();
        let job: JobId = "00000000000c0001".parse().expect("id");
        scene.host.put("w/c/00000000000c0001", b"");
        let is_cancelled = |i: &OwnerInput| matches!(i, OwnerInput::Cancelled(id) if *id == job);
        receive(&mut rx, is_cancelled).await;
    })
    .await;
    assert!(times.iter().all(|t| *t < CANCEL_BOUND), "{times:?}");
}

/// Guards against starts on an executor whose drain the owner learns of too late.
#[tokio::test]
async fn a_draining_executor_is_learned_in_time_although_the_watch_is_silent() {
    let times = in_each_phase(async |phase| {
        let scene = Scene::start();
        let (tx, mut rx) = mpsc::unbounded_channel();
        tokio::spawn(watch_executors(scene.shared.clone(), tx, FROM_START));
        tokio::time::sleep(phase).await;
        scene.silence();
        let entry = json!({
            "service": "pool", "address": "10.0.0.1:80", "zone": "z0", "state": "draining",
            "capacity": {"cpu": 1_000, "memMb": 1_000, "gpu": 0},
        });
        scene.host.put("servers/e0", entry.to_string().as_bytes());
        let drains = |info: &ExecutorInfo| &*info.id == "e0" && info.draining;
        receive(&mut rx, |input| match input {
            OwnerInput::Cell(CellEvent::Listed { info, .. }) => drains(info),
            OwnerInput::Cell(CellEvent::Relisted { infos, .. }) => infos.iter().any(drains),
            _ => false,
        })
        .await;
    })
    .await;
    assert!(times.iter().all(|t| *t < STABLE_BOUND), "{times:?}");
}

fn config(version: u64) -> Vec<u8> {
    let config = json!({"version": version, "routes": [], "tenants": []});
    config.to_string().into_bytes()
}

/// Guards against calls that are handled as an older configuration permits, and keys that stay in use.
#[tokio::test]
async fn a_configuration_is_learned_in_time_although_the_watch_is_silent() {
    let times = in_each_phase(async |phase| {
        let scene = Scene::start();
        scene.host.put("op/config", &config(1));
        tokio::spawn(run_config_watch(scene.shared.clone()));
        tokio::time::sleep(phase).await;
        scene.silence();
        scene.host.put("op/config", &config(4));
        let mut rx = scene.shared.config.subscribe();
        let newest = rx.wait_for(|c| c.as_ref().is_some_and(|c| c.version == 4));
        newest.await.expect("a configuration");
    })
    .await;
    assert!(times.iter().all(|t| *t < STABLE_BOUND), "{times:?}");
}

/// Guards against nodes that keep to an owner which has lost the cell.
#[tokio::test]
async fn a_new_owner_is_learned_in_time_although_the_watch_is_silent() {
    let times = in_each_phase(async |phase| {
        let scene = Scene::start();
        tokio::spawn(watch_members(scene.shared.clone()));
        tokio::time::sleep(phase).await;
        scene.silence();
        let record = OwnerRecord {
            token: 2,
            node: Arc::from("edge-1"),
            address: Arc::from("10.0.0.2:7180"),
        };
        let value = postcard::to_stdvec(&record).expect("record");
        scene.host.put("m/owner", &value);
        let mut rx = scene.shared.owner.subscribe();
        let owner = rx.wait_for(|o| o.as_ref() == Some(&record));
        owner.await.expect("an owner");
    })
    .await;
    assert!(times.iter().all(|t| *t < STABLE_BOUND), "{times:?}");
}

/// Guards against notifications that are lost with a connection to the owner that has gone silent.
#[tokio::test]
async fn a_cancellation_is_sent_again_over_the_next_connection_to_the_owner() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let shared = node(address);
    tokio::spawn(run_owner_link(shared.clone()));
    let record = OwnerRecord {
        token: 1,
        node: Arc::from("edge-1"),
        address: Arc::from(address.to_string()),
    };
    shared.owner.send_replace(Some(record));
    let (silent, _) = listener.accept().await.expect("connection");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let cancelled_at = Instant::now();
    let job: JobId = "00000000000c0001".parse().expect("id");
    shared.notify_cancelled(job);
    let (stream, _) = listener.accept().await.expect("connection");
    let mut source = Framed::new(stream, LengthDelimitedCodec::new());
    let received = async {
        while let Some(Ok(frame)) = source.next().await {
            if matches!(PeerMessage::decode(&frame), Some(PeerMessage::Cancelled(id)) if id == job)
            {
                return;
            }
        }
        panic!("the connection has ended");
    };
    let received = tokio::time::timeout(Duration::from_secs(1), received).await;
    assert!(received.is_ok(), "nothing was sent again");
    assert!(cancelled_at.elapsed() < CANCEL_BOUND);
    drop(silent);
}
