//! Tests of writes that the store carries out seconds after their sender has given up: what callers were
//! told meanwhile holds.

use {
    axum::{
        body::Body,
        http::{Method, Request, header},
    },
    dragonflyferry::{
        core::Millis,
        entry::{EventLog, OwnerInput, Shared, caller_router, watch_work},
        fleet::{CellEvent, JobId, JobRecord, JobStatus, Now, Submission},
        platform::NodeSettings,
    },
    http_body_util::BodyExt,
    rustix::time::{ClockId, clock_gettime},
    serde_json::{Value, json},
    slog::{Discard, Logger, o},
    standins::{
        CellWorld,
        cell_sample::{config, job, step, world},
        cell_world::BOUNDS,
        platform_faults::{Fate, FaultRule, Party},
        platform_host::PlatformHost,
        run_journal::{JobRecord as JobPlan, StepPlan},
        soak::sample_config,
        soak_clients::{QUEUES, SoakClient},
        soak_nodes::SoakNodes,
    },
    std::{
        path::Path,
        sync::{Arc, atomic::AtomicU64},
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
    tower::ServiceExt,
};

/// Time after which the store carries out a write that got no reply, in ms.
const LATE_MS: Millis = 1_500;

/// Time that a client waits before it leaves, in ms: the node has not sent its write again by then.
const PATIENCE_MS: Millis = 200;

/// Returns the fault that makes writes of a node late.
fn late_writes(node: usize, ms: Millis) -> FaultRule {
    let of_node = move |from, to| from == Party::Node(node) && to == Party::Store;
    FaultRule::new("late writes", Fate::Late(ms), of_node).path("/-/kv-txn")
}

fn now_ms() -> Millis {
    let t = clock_gettime(ClockId::Boottime);
    u64::try_from(t.tv_sec).expect("time") * 1_000
        + u64::try_from(t.tv_nsec).expect("time") / 1_000_000
}

/// Two entry nodes without an owner, and the owner's watch of the work that they store.
struct Entries {
    host: Arc<PlatformHost>,
    nodes: Vec<Arc<Shared>>,
    work: mpsc::UnboundedReceiver<OwnerInput>,
}

impl Entries {
    fn start() -> Self {
        let host = PlatformHost::start(1, Vec::new(), &[]);
        let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/node.toml");
        let node = |i: usize| {
            let mut settings = NodeSettings::read(Path::new(sample)).expect("settings");
            settings.store_address = host.store_address(i).expect("store");
            let log = EventLog::new(Logger::root(Discard, o!()), Arc::new(AtomicU64::new(0)));
            let shared = Shared::new(settings, Arc::from(format!("edge-{i}")), log);
            shared.config.send_replace(Some(Arc::new(config())));
            Arc::new(shared)
        };
        let nodes: Vec<Arc<Shared>> = (0..2).map(node).collect();
        let (tx, work) = mpsc::unbounded_channel();
        tokio::spawn(watch_work(nodes[1].clone(), tx, 1));
        Self { host, nodes, work }
    }

    /// Sends a request for the job to a node; returns the status and the job's state, if there is one.
    async fn send(&self, node: usize, method: Method, id: u64) -> (u16, Option<String>) {
        let shared = &self.nodes[node];
        shared.record_config_confirmed(now_ms());
        let step = json!({"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 100});
        let req = Request::builder()
            .method(method)
            .uri(format!("/urgent/{id:016x}"))
            .header(header::HOST, "h")
            .body(Body::from(
                json!({"spec": "text", "steps": [step]}).to_string(),
            ));
        let reply = caller_router(shared.clone()).oneshot(req.expect("request"));
        let reply = reply.await.expect("reply");
        let status = reply.status().as_u16();
        let body = reply.into_body().collect().await.expect("body").to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        (status, body["state"].as_str().map(str::to_owned))
    }

    /// Submits a job over a node whose write is late; the client leaves before the reply.
    async fn submit_late(&self, id: u64) {
        let now = self.host.now();
        let fault = self.host.faults.add(late_writes(0, LATE_MS), now);
        let patience = Duration::from_millis(PATIENCE_MS);
        let reply = tokio::time::timeout(patience, self.send(0, Method::POST, id)).await;
        assert!(reply.is_err(), "{reply:?}");
        self.host.faults.end(fault, self.host.now());
    }

    /// Waits until the late write was carried out and the watch has read it; returns whether the owner
    /// learned of a job.
    async fn owner_learns_of_a_job(&mut self) -> bool {
        tokio::time::sleep(Duration::from_millis(LATE_MS + 1_500)).await;
        let mut inputs = std::iter::from_fn(|| self.work.try_recv().ok());
        inputs.any(|i| matches!(i, OwnerInput::Submitted(_)))
    }
}

/// Guards against a job that starts although a caller was told that it does not exist and was cancelled:
/// its write was on the way.
#[tokio::test]
async fn a_job_whose_cancellation_was_answered_is_not_stored_by_a_late_write() {
    let mut entries = Entries::start();
    entries.submit_late(1).await;
    assert_eq!(entries.send(1, Method::DELETE, 1).await, (410, None));
    assert!(!entries.owner_learns_of_a_job().await);
    assert_eq!(entries.send(0, Method::GET, 1).await, (410, None));
}

/// Guards against the same where the client or the network repeats the submission, and against a job that
/// was accepted and is not known afterwards.
#[tokio::test]
async fn a_submission_after_the_cancellation_is_a_cancelled_job() {
    let mut entries = Entries::start();
    assert_eq!(entries.send(1, Method::DELETE, 1).await, (410, None));
    for node in [0, 1] {
        assert_eq!(entries.send(node, Method::POST, 1).await, (200, None));
        let state = Some("cancelled".to_owned());
        assert_eq!(entries.send(node, Method::GET, 1).await, (200, state));
    }
    assert_eq!(entries.send(0, Method::DELETE, 1).await, (200, None));
    assert!(!entries.owner_learns_of_a_job().await);
}

/// Guards against a cancellation that is answered although its own write had no reply, or is lost if the
/// job was stored between the read and the write.
#[tokio::test]
async fn a_cancellation_holds_whichever_of_two_late_writes_is_first() {
    let mut entries = Entries::start();
    entries.submit_late(1).await;
    let fault = entries
        .host
        .faults
        .add(late_writes(1, LATE_MS / 2), entries.host.now());
    let reply = entries.send(1, Method::DELETE, 1).await;
    assert!(matches!(reply.0, 410 | 504), "{reply:?}");
    entries.host.faults.end(fault, entries.host.now());
    let reply = entries.send(1, Method::DELETE, 1).await;
    assert!(matches!(reply.0, 200 | 410), "{reply:?}");
    if reply.0 == 410 {
        assert!(!entries.owner_learns_of_a_job().await);
    }
}

fn stored_submission(id: u64) -> Submission {
    job(id, "urgent", vec![step(1, 1_000, 300)])
}

fn now(world: &CellWorld) -> Now {
    Now {
        mono: world.now,
        unix: 1_700_000_000_000 + world.now,
    }
}

/// Has a node store that a job was cancelled before it was stored; the owner's watch reports it.
fn withdraw(world: &mut CellWorld, id: u64) {
    let record = JobRecord::withdrawn(now(world).unix);
    world.records.jobs.insert(JobId(id), record.clone());
    let event = CellEvent::CancelledRecord {
        job: JobId(id),
        record: Box::new(record),
    };
    let now = now(world);
    world.cell.step(event, now);
}

/// Guards against records of such cancellations that stay in the store for ever, and against ones that
/// are dropped earlier than those of other jobs, whoever is the owner then.
#[test]
fn the_record_of_a_withdrawn_job_is_kept_as_long_as_that_of_an_ended_one() {
    for takes_over in [false, true] {
        let mut world = world(1, 2);
        withdraw(&mut world, 1);
        if takes_over {
            world.run(1_000);
            world.replace_owner();
        }
        world.run(BOUNDS.ended_retention_ms - 500);
        assert!(world.records.jobs.contains_key(&JobId(1)), "{takes_over}");
        assert_eq!(world.job_status(JobId(1)), None);
        world.run(1_000);
        assert!(!world.records.jobs.contains_key(&JobId(1)), "{takes_over}");
        assert_eq!(world.violations, Vec::<String>::new());
    }
}

/// Guards against a job that starts under a new owner, or by a message that arrives late, after it was
/// cancelled before it was stored; and against other jobs that the owner takes for cancelled.
#[test]
fn no_owner_starts_a_withdrawn_job() {
    let mut world = world(1, 2);
    withdraw(&mut world, 1);
    world.replace_owner();
    let event = CellEvent::Submitted(Box::new(stored_submission(1)));
    let now = now(&world);
    world.cell.step(event, now);
    world.submit(stored_submission(2));
    world.run(2_000);
    assert_eq!(world.first_start.keys().collect::<Vec<_>>(), [&JobId(2)]);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Cancelled));
}

/// Guards against an owner that forgets a job that was accepted after it was cancelled earlier than callers
/// may ask for it.
#[test]
fn a_withdrawn_job_that_is_submitted_again_is_kept_from_then_on() {
    let mut world = world(1, 2);
    withdraw(&mut world, 1);
    world.run(100_000);
    let record = JobRecord::Ended {
        end: dragonflyferry::fleet::JobEnd::Cancelled,
        queue: Arc::from("urgent"),
        tenant: None,
        ended_unix_ms: 0,
    };
    world.records.jobs.insert(JobId(1), record.clone());
    let event = CellEvent::CancelledRecord {
        job: JobId(1),
        record: Box::new(record),
    };
    let now = now(&world);
    world.cell.step(event, now);
    world.run(BOUNDS.ended_retention_ms - 500);
    assert!(world.records.jobs.contains_key(&JobId(1)));
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Cancelled));
    world.run(1_000);
    assert!(!world.records.jobs.contains_key(&JobId(1)));
}

fn plan(run_ms: Millis) -> JobPlan {
    JobPlan {
        queue: QUEUES[0],
        steps: vec![StepPlan {
            count: 2,
            run_ms,
            after_previous: false,
            allow_duplicates: false,
            persistent: false,
        }],
        accepted_at: None,
        cancelled: false,
        withdrawn_at: None,
        completed_at: None,
    }
}

/// Guards against the start of a cancelled job that was not stored, with real daemons: its write is carried
/// out after the owner was killed, and the client repeats it at another node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_before_the_write_outlives_the_owner() {
    let folder = std::env::temp_dir().join(format!("dff-late-{}", std::process::id()));
    let daemon = Path::new(env!("CARGO_BIN_EXE_dragonflyferryd"));
    let nodes = SoakNodes::new(daemon, &folder, 3).expect("nodes");
    let peers = (0..3).map(|n| nodes.addresses(n).peer).collect();
    let host = PlatformHost::start(1, peers, &[("a", "z0"); 2]);
    host.put("op/config", &sample_config(1, "a"));
    for node in 0..3 {
        let store = host.store_address(node).expect("address");
        nodes.configure(node, store).expect("settings");
        nodes.start(node).expect("daemon");
    }
    let callers = (0..3).map(|n| nodes.addresses(n).caller).collect();
    let client = SoakClient::new(callers, host.journal.clone(), host.started_at);
    let serve = async |id: &str, node: usize| {
        host.journal.add_job(id, plan(100));
        let started_at = Instant::now();
        while client.ask(node, id, QUEUES[0]).await.as_deref() != Some("completed") {
            assert!(started_at.elapsed() < Duration::from_secs(20), "{id}");
            client.submit_to(node, id, &plan(100)).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    serve("0000000000000001", 1).await;
    let owner = host.owner().expect("an owner");
    let (sender, other) = ((owner + 1) % 3, (owner + 2) % 3);
    let late = "c000000000000001";
    host.journal.add_job(late, plan(100));
    let fault = host.faults.add(late_writes(sender, 4_000), host.now());
    let patience = Duration::from_millis(PATIENCE_MS);
    let reply = client
        .submit_and_leave(sender, late, &plan(100), patience)
        .await;
    assert_eq!(reply, None);
    host.faults.end(fault, host.now());
    let cancelled = client.cancel_at(other, late, QUEUES[0]).await;
    assert_eq!(cancelled.map(|s| s.as_u16()), Some(410));
    nodes.kill(owner);
    nodes.start(owner).expect("daemon");
    tokio::time::sleep(Duration::from_secs(5)).await;
    let repeated = client.submit_to(other, late, &plan(100)).await;
    assert_eq!(repeated.map(|s| s.as_u16()), Some(200));
    serve("0000000000000002", other).await;
    let runs = host.journal.count_runs_of(late);
    let state = client.ask(owner, late, QUEUES[0]).await;
    assert_eq!((runs, state.as_deref()), (0, Some("cancelled")));
    let _ = std::fs::remove_dir_all(&folder);
}
