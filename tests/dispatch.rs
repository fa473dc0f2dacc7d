//! Tests of commands that other nodes send for the owner: which node sends them, until when, and
//! what the owner does when a node is lost.

use {
    axum::{Json, Router, routing::any},
    bytes::Bytes,
    dragonflyferry::{
        core::{CallId, Millis},
        entry::{
            Dispatch, EventLog, PeerMessage, RemoteCall, RemoteCommand, Shared, run_owner_link,
        },
        fleet::{
            CommandError, CommandReply, ExecutorCommand, ExecutorId, JobId, OwnerRecord,
            RenewCommand, StepId, TaskId,
            policy::{Dispatcher, choose_dispatcher},
        },
        platform::NodeSettings,
    },
    futures_util::{SinkExt, StreamExt},
    proptest::prelude::*,
    rustix::time::{ClockId, clock_gettime},
    serde_json::json,
    slog::{Discard, Logger, o},
    std::{
        collections::HashMap,
        net::SocketAddr,
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

fn dispatcher(name: &str, zone: &str, cpu_milli: u32) -> Dispatcher {
    Dispatcher {
        node: Arc::from(name),
        zone: Arc::from(zone),
        cpu_milli,
    }
}

fn executor(i: usize) -> ExecutorId {
    Arc::from(format!("e{i}"))
}

fn chosen(nodes: &[Dispatcher], zone: &str, executors: usize) -> Vec<Arc<str>> {
    let of = |i| {
        let index = choose_dispatcher(&executor(i), zone, nodes).expect("a node");
        nodes[index].node.clone()
    };
    (0..executors).map(of).collect()
}

#[test]
fn the_loss_of_a_node_moves_only_its_executors() {
    let nodes: Vec<_> = (0..20)
        .map(|i| dispatcher(&format!("n{i}"), "a", 120))
        .collect();
    let before = chosen(&nodes, "a", 600);
    let after = chosen(&nodes[1..], "a", 600);
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a);
    assert!(moved.clone().all(|(b, _)| **b == *"n0"));
    assert!(moved.count() > 10);
}

#[test]
fn executors_are_shared_by_processor_time_within_their_zone() {
    let mut nodes = vec![dispatcher("strong", "a", 500), dispatcher("far", "b", 500)];
    nodes.extend((0..4).map(|i| dispatcher(&format!("weak{i}"), "a", 125)));
    let chosen = chosen(&nodes, "a", 2_000);
    let share = |name: &str| chosen.iter().filter(|n| ***n == *name).count();
    assert_eq!(share("far"), 0);
    assert!(
        (900..1_100).contains(&share("strong")),
        "{}",
        share("strong")
    );
    assert!((190..310).contains(&share("weak0")), "{}", share("weak0"));
}

fn remote(node: &str, executor: &ExecutorId, times_out_at: Millis) -> RemoteCall {
    RemoteCall {
        node: Arc::from(node),
        executor: executor.clone(),
        address: Arc::from("10.0.0.1:1"),
        renewal: None,
        timeout_ms: 300,
        times_out_at,
    }
}

/// Guards against an executor that stays without commands because its node lost the way to it.
#[test]
fn the_owner_sends_directly_after_a_node_got_no_reply() {
    let mut dispatch = Dispatch::default();
    dispatch.set_node(dispatcher("n", "a", 120), 0, 0);
    let e = executor(1);
    assert_eq!(dispatch.route(&e, "a", 0).as_deref(), Some("n"));
    dispatch.add_call(1, remote("n", &e, 500));
    assert!(dispatch.complete(1, false, 100).is_some());
    assert_eq!(dispatch.route(&e, "a", 5_099), None);
    assert_eq!(dispatch.route(&executor(2), "a", 200).as_deref(), Some("n"));
    // Back at the node, it fails again: twice as long.
    assert_eq!(dispatch.route(&e, "a", 5_100).as_deref(), Some("n"));
    dispatch.add_call(2, remote("n", &e, 5_600));
    assert_eq!(dispatch.expire(5_600).len(), 1);
    assert_eq!(dispatch.route(&e, "a", 15_599), None);
    assert_eq!(dispatch.route(&e, "a", 15_600).as_deref(), Some("n"));
}

/// Guards against an owner that takes over the commands of all executors, and is too slow for them,
/// when a part of them leaves commands unanswered.
#[test]
fn another_node_sends_after_one_got_no_reply_and_the_owner_only_for_a_few() {
    let mut dispatch = Dispatch::default();
    for name in ["l", "m", "n"] {
        dispatch.set_node(dispatcher(name, "a", 120), 0, 0);
    }
    let mut direct = 0;
    for i in 0..100 {
        let e = executor(i);
        let first = dispatch.route(&e, "a", 0).expect("a node");
        dispatch.add_call(1, remote(&first, &e, 500));
        dispatch.complete(1, false, 100);
        let second = dispatch.route(&e, "a", 200).expect("another node");
        assert_ne!(first, second);
        dispatch.add_call(2, remote(&second, &e, 700));
        dispatch.complete(2, false, 300);
        match dispatch.route(&e, "a", 400) {
            None => direct += 1,
            Some(third) => assert!(third != first && third != second),
        }
        // Both nodes are tried again after the second time, twice the first.
        assert_eq!(dispatch.route(&e, "a", 10_300), Some(first));
    }
    assert_eq!(direct, 40);
}

/// Guards against a return to the node that lost the way, while another one reaches the executor.
#[test]
fn a_reply_through_another_node_ends_no_detour() {
    let mut dispatch = Dispatch::default();
    dispatch.set_node(dispatcher("m", "a", 120), 0, 0);
    dispatch.set_node(dispatcher("n", "a", 120), 0, 0);
    let e = executor(1);
    let first = dispatch.route(&e, "a", 0).expect("a node");
    dispatch.add_call(1, remote(&first, &e, 500));
    dispatch.complete(1, false, 100);
    let second = dispatch.route(&e, "a", 200).expect("another node");
    dispatch.add_call(2, remote(&second, &e, 700));
    dispatch.complete(2, true, 300);
    assert_eq!(dispatch.route(&e, "a", 400), Some(second));
    assert_eq!(dispatch.route(&e, "a", 5_100), Some(first));
}

/// Guards against applying the reply to a command that the owner has given up and sent again.
#[test]
fn a_reply_after_the_node_was_lost_is_ignored() {
    let mut dispatch = Dispatch::default();
    dispatch.set_node(dispatcher("n", "a", 120), 0, 0);
    dispatch.set_node(dispatcher("m", "a", 120), 0, 0);
    dispatch.add_call(1, remote("n", &executor(1), 500));
    dispatch.add_call(2, remote("m", &executor(2), 500));
    let lost: Vec<CallId> = dispatch.remove_node("n").iter().map(|(c, _)| *c).collect();
    assert_eq!(lost, [1]);
    assert!(dispatch.complete(1, true, 10).is_none());
    assert!(dispatch.complete(2, true, 10).is_some());
    assert_eq!(dispatch.route(&executor(1), "a", 10).as_deref(), Some("m"));
}

proptest! {
    /// Guards against a node that sends a command after the owner's permission has run out: whatever
    /// the clocks and delays, the node's time limit is not after the owner's.
    #[test]
    fn a_node_stops_sending_before_the_owner_may_no_longer(
        owner_start in 0u64..1_000_000,
        node_start in 0u64..1_000_000,
        reading_delay in 0u64..5_000,
        age in 0u64..10_000,
        permitted in 0u64..2_000,
        command_delay in 0u64..5_000,
    ) {
        let mut dispatch = Dispatch::default();
        // The node reads its clock at time 0; the reply arrives `reading_delay` later.
        let node_clock = |at: Millis| node_start + at;
        let owner_clock = |at: Millis| owner_start + at;
        dispatch.set_node(dispatcher("n", "a", 120), node_clock(0), owner_clock(reading_delay));
        let sent_at = reading_delay + age;
        let limit = owner_clock(sent_at) + permitted;
        let node_limit = dispatch.to_node_clock("n", limit).expect("known");
        let arrives_at = sent_at + command_delay;
        if node_clock(arrives_at) < node_limit {
            prop_assert!(owner_clock(arrives_at) < limit);
        }
    }

    /// The same for the best of several readings, of a clock that lags.
    #[test]
    fn the_best_of_several_clock_readings_is_not_ahead_of_the_clock(
        lag_micro in 0u64..=1_000,
        readings in prop::collection::vec((0u64..3_000, 0u64..3_000), 1..8),
    ) {
        let mut dispatch = Dispatch::default();
        // In thousandths of a ms; the owner's clock is the true time.
        let node_micro = |at: Millis| at * 1_000 - at * lag_micro / 1_000;
        let mut now = 0;
        for (pause, delay) in readings {
            let read_at = now + pause;
            now = read_at + delay;
            dispatch.set_node(dispatcher("n", "a", 120), node_micro(read_at) / 1_000, now);
            let bound = dispatch.to_node_clock("n", now).expect("known");
            prop_assert!(bound * 1_000 <= node_micro(now), "{bound} at {now}");
            prop_assert!(bound * 1_000 + 1_000 >= node_micro(read_at));
        }
    }
}

fn now_ms() -> u64 {
    let t = clock_gettime(ClockId::Boottime);
    u64::try_from(t.tv_sec).expect("time") * 1_000
        + u64::try_from(t.tv_nsec).expect("time") / 1_000_000
}

/// Serves an executor that accepts everything; returns its address and the number of calls.
async fn serve_executor() -> (SocketAddr, Arc<AtomicU64>) {
    let calls = Arc::new(AtomicU64::new(0));
    let counter = calls.clone();
    let accept = move || {
        counter.fetch_add(1, Ordering::SeqCst);
        async { Json(json!({"clockMs": 1, "running": [], "ended": []})) }
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let router = Router::new().fallback(any(accept));
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, calls)
}

/// The owner's end of an entry node's connection.
struct Owner {
    frames: Framed<TcpStream, LengthDelimitedCodec>,
    executor: SocketAddr,
    calls: Arc<AtomicU64>,
}

impl Owner {
    /// Starts an entry node and accepts its connection.
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/node.toml");
        let settings = NodeSettings::read(Path::new(sample)).expect("settings");
        let log = EventLog::new(Logger::root(Discard, o!()), Arc::new(AtomicU64::new(0)));
        let node = Arc::new(Shared::new(settings, Arc::from("entry"), log));
        node.owner.send_replace(Some(OwnerRecord {
            token: 1,
            node: Arc::from("owner"),
            address: Arc::from(listener.local_addr().expect("address").to_string()),
        }));
        tokio::spawn(run_owner_link(node));
        let (stream, _) = listener.accept().await.expect("connection");
        let (executor, calls) = serve_executor().await;
        Self {
            frames: Framed::new(stream, LengthDelimitedCodec::new()),
            executor,
            calls,
        }
    }

    async fn send(&mut self, frame: Bytes) {
        self.frames.send(frame).await.expect("sent");
    }

    async fn send_renewal(&mut self, call: CallId, send_before: Millis) {
        let remote = RemoteCommand {
            call,
            executor: Arc::from("e1"),
            address: Arc::from(self.executor.to_string()),
            command: ExecutorCommand::Renew(RenewCommand {
                token: 1,
                deadline_ms: Some(6_000),
                ack_cursor: 0,
                wait_ms: 0,
            }),
            timeout_ms: 500,
            send_before,
            zone: Arc::from("a"),
        };
        let message = PeerMessage::CommandRequest(Box::new(remote));
        self.send(message.encode().expect("encoded")).await;
    }

    /// Returns the next reply to a command.
    async fn reply(&mut self) -> (CallId, Result<CommandReply, CommandError>) {
        let read = async {
            loop {
                let frame = self.frames.next().await.expect("open").expect("frame");
                if let Some(PeerMessage::CommandReply { call, result }) =
                    PeerMessage::decode(&frame)
                {
                    return (call, result);
                }
            }
        };
        let reply = tokio::time::timeout(Duration::from_secs(5), read).await;
        reply.expect("a reply")
    }
}

/// Guards against a node that was paused and sends a command once its time has passed.
#[tokio::test]
async fn a_command_whose_time_has_passed_is_not_sent() {
    let mut owner = Owner::start().await;
    owner.send_renewal(1, now_ms()).await;
    assert_eq!(owner.reply().await, (1, Err(CommandError::Expired)));
    assert_eq!(owner.calls.load(Ordering::SeqCst), 0);
    owner.send_renewal(2, now_ms() + 2_000).await;
    let (call, result) = owner.reply().await;
    assert_eq!(call, 2);
    assert!(result.is_ok(), "{result:?}");
    assert_eq!(owner.calls.load(Ordering::SeqCst), 1);
}

/// Guards against a frame that ends the process or the connection because it is malformed.
#[tokio::test]
async fn malformed_frames_end_nothing() {
    let mut owner = Owner::start().await;
    for garbage in [&[][..], &[255; 40][..], &[17, 1, 2][..], &[13][..]] {
        owner.send(Bytes::copy_from_slice(garbage)).await;
    }
    owner.send_renewal(1, now_ms() + 2_000).await;
    let (call, result) = owner.reply().await;
    assert_eq!((call, result.is_ok()), (1, true));
}

/// Guards against an executor that gives an unusable reply to a node.
#[tokio::test]
async fn a_command_to_an_address_that_is_none_gets_a_reply() {
    let mut owner = Owner::start().await;
    let step = StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    };
    let remote = RemoteCommand {
        call: 9,
        executor: Arc::from("e1"),
        address: Arc::from("no address"),
        command: ExecutorCommand::Stop {
            task: TaskId { step, index: 0 },
            run: 1,
            token: 1,
        },
        timeout_ms: 300,
        send_before: now_ms() + 2_000,
        zone: Arc::from("a"),
    };
    let message = PeerMessage::CommandRequest(Box::new(remote));
    owner.send(message.encode().expect("encoded")).await;
    assert_eq!(owner.reply().await, (9, Err(CommandError::Unknown)));
}

/// Guards against commands that expire at a node, each sent again at once, as the last reading of its
/// clock waited at an owner that was paused or busy.
#[test]
fn a_clock_reading_that_waited_does_not_replace_a_better_one() {
    let mut dispatch = Dispatch::default();
    dispatch.set_node(dispatcher("n", "a", 120), 1_000, 5_000);
    dispatch.set_node(dispatcher("n", "a", 120), 3_000, 8_000);
    let limit = dispatch.to_node_clock("n", 8_250).expect("known");
    assert!(limit > 4_000 + 100, "the node's clock is at 4,000: {limit}");
}

/// Each executor keeps its node while the nodes stay the same.
#[test]
fn a_new_clock_reading_moves_no_executor() {
    let mut dispatch = Dispatch::default();
    for i in 0..10 {
        dispatch.set_node(dispatcher(&format!("n{i}"), "a", 120), 0, 0);
    }
    let route = |dispatch: &mut Dispatch| -> HashMap<usize, Option<Arc<str>>> {
        let routes = (0..100).map(|i| (i, dispatch.route(&executor(i), "a", 0)));
        routes.collect()
    };
    let before = route(&mut dispatch);
    assert!(!dispatch.set_node(dispatcher("n3", "a", 120), 2_000, 2_000));
    assert_eq!(route(&mut dispatch), before);
}
