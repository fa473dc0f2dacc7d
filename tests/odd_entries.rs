//! Tests of entries, records and replies of other writers that cannot be understood: each costs itself
//! alone, and what stands beside it is read.

use {
    axum::{Router, extract::Query, routing::any},
    base64::{Engine, engine::general_purpose::STANDARD},
    dragonflyferry::{
        entry::{PeerMessage, run_peer_server},
        fleet::{
            CommandReply, ExecutorCommand, ExecutorId, JobId, RenewCommand, RenewReply, StepId,
        },
        platform::{
            ExecutorClient, MachineClient, StoreChange, StoreClient, config_from_bytes,
            executor_from_entry, job_from_bytes, wave_from_request, zone_from_evacuation,
        },
    },
    serde_json::json,
    standins::{
        platform_host::PlatformHost,
        run_journal::{JobRecord, StepPlan},
        soak_clients::{QUEUES, SoakClient},
        soak_nodes::SoakNodes,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        path::Path,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Returns JSON that is nested more deeply than a stack bears.
fn deep() -> String {
    "[".repeat(100_000) + &"]".repeat(100_000)
}

fn entry(address: &str, capacity: &str, extra: &str) -> String {
    format!(
        r#"{{"service":"a","address":"{address}","zone":"z0","state":"ready",
        "capacity":{capacity},"labels":["k"],"born":5{extra}}}"#
    )
}

const CAPACITY: &str = r#"{"cpu":16000,"memMb":64000,"gpu":0}"#;

/// Entries that name no executor to use.
fn odd_entries() -> Vec<String> {
    vec![
        deep(),
        entry("10.0.0.1:80", &deep(), ""),
        entry("10.0.0.1:80", CAPACITY, r#","remainingMs":1e400"#),
        entry("10.0.0.1:80", r#"{"cpu":1e300,"memMb":1,"gpu":0}"#, ""),
        entry("10.0.0.1:80", r#"{"cpu":-5,"memMb":1,"gpu":0}"#, ""),
        entry("10.0.0.1:99999", CAPACITY, ""),
        entry("10.0.0.1:0", CAPACITY, ""),
        entry("0.0.0.0:80", CAPACITY, ""),
        "x".repeat(1 << 20),
        String::new(),
    ]
}

#[test]
fn an_odd_entry_names_no_executor() {
    for text in odd_entries() {
        let error = executor_from_entry("servers/odd", text.as_bytes());
        let error = error.expect_err(&text[..text.len().min(200)]);
        assert!(error.to_string().starts_with("E5005"));
    }
    let good = entry("10.0.0.1:80", CAPACITY, r#","other":[[[1e400]]]"#);
    assert!(executor_from_entry("servers/", good.as_bytes()).is_err());
    assert!(executor_from_entry("servers/e0", good.as_bytes()).is_ok());
}

#[test]
fn odd_requests_of_operators_and_callers_are_refused() {
    let deep = deep();
    assert!(zone_from_evacuation("op/evacuate/z0", deep.as_bytes()).is_err());
    assert!(wave_from_request("op/wave/1", deep.as_bytes()).is_err());
    let wave = r#"{"wave":1,"machines":["m"],"withinS":1e300,"cap":1}"#;
    assert!(wave_from_request("op/wave/1", wave.as_bytes()).is_ok());
    assert!(job_from_bytes(deep.as_bytes()).is_err());
    let odd = r#"{"steps":[{"count":1e10,"cpu":1}]}"#;
    assert!(job_from_bytes(odd.as_bytes()).is_err());
    let large = r#"{"steps":[{"count":1,"cpu":1e300,"estimateMs":1e300},
        {"count":1,"estimateMs":1e300,"after":[0]}],"repeatCount":1e300,"intervalMs":1e300}"#;
    let spec = job_from_bytes(large.as_bytes()).expect("job");
    assert!(spec.critical_path_ms() > 0);
}

/// Guards against a configuration that is not applied because of one route or tenant in it.
#[test]
fn an_odd_route_or_tenant_costs_itself_alone() {
    let deep = deep();
    let route = r#"{"name":"r","host":"h","prefix":"/p/","service":"s","stretch":1e300}"#;
    let tenant = r#"{"name":"t","apiKeys":["k"],"weight":10}"#;
    let text = format!(
        r#"{{"version":7,"routes":[{deep},{{"name":"x"}},{route},3],
        "tenants":[{{"name":"u","apiKeys":7}},{tenant}],"limits":{{"bodyBytes":"many"}}}}"#
    );
    let (config, skipped) = config_from_bytes(text.as_bytes()).expect("configuration");
    assert_eq!(config.version, 7);
    assert_eq!(config.queues.len(), 1);
    assert_eq!(config.api_keys.len(), 1);
    assert_eq!(skipped.count, 5, "{skipped}");
    assert!(config.queues[0].objective_of(u64::MAX) > 0);
}

/// Serves the same reply to every request; a query that names `after` gets an empty page.
async fn serve(reply: String) -> SocketAddr {
    let handler = move |Query(query): Query<HashMap<String, String>>| {
        let reply = reply.clone();
        async move {
            match query.get("after") {
                Some(after) if after != "0" => json!({"items": [{"key": after}]}).to_string(),
                _ => reply,
            }
        }
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move { axum::serve(listener, Router::new().fallback(any(handler))).await });
    address
}

/// Guards against a list that is not followed because of one item, also over pages.
#[tokio::test]
async fn an_odd_item_of_the_store_costs_itself_alone() {
    let deep = deep();
    let value = STANDARD.encode("v");
    let items = format!(
        r#"[{deep},{{"key":"servers/a","value":"!"}},{{"key":7}},{{"key":"servers/b","value":"{value}",
        "revision":"x"}},{{"key":"servers/c d&e=é","value":"{value}","revision":3}}]"#
    );
    let text = format!(r#"{{"items":{items},"hasMore":true,"storeRevision":9}}"#);
    let client = StoreClient::new(serve(text).await);
    let page = client.range("servers/", TIMEOUT).await.expect("page");
    // The second page has the key after which it was asked for.
    let keys: Vec<&str> = page.items.iter().map(|i| &*i.key).collect();
    assert_eq!(keys, ["servers/c d&e=é", "servers/c d&e=é"]);
    assert_eq!(
        (page.revision, page.skipped.count),
        (9, 4),
        "{}",
        page.skipped
    );

    let text = format!(r#"{{"events":{items},"storeRevision":9}}"#);
    let client = StoreClient::new(serve(text).await);
    let page = client.watch("servers/", 0, Duration::ZERO, TIMEOUT).await;
    let page = page.expect("changes");
    assert!(matches!(&page.items[..], [StoreChange::Set(item)] if item.revision == 3));
    assert_eq!((page.revision, page.skipped.count), (9, 4));
}

async fn renew(reply: String) -> Option<RenewReply> {
    let address = serve(reply).await.to_string();
    let command = ExecutorCommand::Renew(RenewCommand {
        token: 1,
        deadline_ms: None,
        ack_cursor: 0,
        wait_ms: 0,
    });
    let id: ExecutorId = Arc::from("e0");
    let client = ExecutorClient::default();
    let reply = client.send_command(&id, &address, &command, TIMEOUT, false);
    match reply.await {
        Ok(CommandReply::Renewed(reply)) => Some(reply),
        _ => None,
    }
}

/// Guards against an executor that counts as silent because of one row of its lists, and against rows
/// that are never acknowledged.
#[tokio::test]
async fn an_odd_row_of_an_executor_costs_itself_alone() {
    let deep = deep();
    let job = "00000000000000aa";
    let long = "x".repeat(5_000);
    let reply = renew(format!(
        r#"{{"clockMs":50,"born":5,"running":[[{deep},1],["{job}.0.0.1",1e400],["nothing",1,"",0],
        ["{job}.0.0.2",18446744073709551615,"",0],["{job}.0.0.3",2,"{long}",5],
        ["{job}.0.0.4",2,7,"fast",{{}}]],
        "ended":[[7,"{job}.0.0.5",1,"done",""],[8,"{job}.0.0.6",1,"exploded",""],[9,{deep},1,"done"],
        [10,"{job}.0.0.7",-1,"done",""],["x","{job}.0.0.8",1,"done",""],
        [18446744073709551615,"{job}.0.0.9",1,"done",""],[6,"{job}.0.0.10",1,"done",[]]]}}"#
    ));
    let reply = reply.await.expect("reply");
    let running: Vec<_> = reply
        .running
        .iter()
        .map(|r| (r.task.index, r.run))
        .collect();
    assert_eq!(running, [(3, 2), (4, 2)]);
    assert!(reply.running.iter().all(|r| r.checkpoint.is_empty()));
    let ended: Vec<_> = reply.ended.iter().map(|r| (r.seq, r.task.index)).collect();
    assert_eq!(ended, [(6, 10), (7, 5)]);
    assert_eq!(reply.skipped_ends, [8, 9, 10]);
    assert!(reply.skipped.count >= 8, "{}", reply.skipped);
    assert!(
        renew(r#"{"clockMs":1e300,"running":[],"ended":[]}"#.to_owned())
            .await
            .is_none()
    );
}

#[tokio::test]
async fn an_odd_row_of_the_advice_service_or_of_the_list_of_machines_costs_itself_alone() {
    let deep = deep();
    let text = format!(r#"{{"good":[{deep},["e0",7],["e1","t"],[]],"validMs":1e300}}"#);
    let step = StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    };
    let client = ExecutorClient::default();
    let reply = client.request_advice(serve(text).await, step, &[], TIMEOUT);
    let reply = reply.await.expect("reply");
    assert_eq!(reply.advised.len(), 1);
    assert_eq!(reply.skipped.count, 3);
    assert!(reply.valid_ms.is_some_and(|ms| ms < 1 << 40));

    let text = format!(
        r#"{{"machines":[{deep},{{"machineId":7}},{{"machineId":"m","state":"up","id":"e0"}}]}}"#
    );
    let client = MachineClient::new(serve(text).await);
    let page = client.list_page(None, TIMEOUT).await.expect("page");
    assert_eq!((page.machines.len(), page.skipped.count), (1, 2));
}

/// Guards against a daemon that ends, or stops following a list, because of entries of other writers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_serve_beside_odd_entries_in_every_list() {
    let folder = std::env::temp_dir().join(format!("dff-odd-{}", std::process::id()));
    let daemon = Path::new(env!("CARGO_BIN_EXE_dragonflyferryd"));
    let nodes = SoakNodes::new(daemon, &folder, 2).expect("nodes");
    let peers = (0..2).map(|n| nodes.addresses(n).peer).collect();
    let host = PlatformHost::start(1, peers, &[("a", "z0"), ("a", "z0")]);
    host.put("op/config", &standins::soak::sample_config(1, "a"));
    let put_odd = |round: usize| {
        for (i, text) in odd_entries().iter().enumerate() {
            for list in [
                "servers/",
                "w/j/",
                "w/c/",
                "p/",
                "m/node/",
                "op/evacuate/",
                "c/wave/",
            ] {
                host.put(&format!("{list}odd {round} {i}"), text.as_bytes());
            }
            host.put(&format!("w/j/{round:08x}{i:08x}"), text.as_bytes());
            host.put(&format!("p/{round:08x}{i:08x}"), text.as_bytes());
        }
    };
    put_odd(0);
    for node in 0..2 {
        let store = host.store_address(node).expect("address");
        nodes.configure(node, store).expect("settings");
        nodes.start(node).expect("daemon");
    }
    let callers = (0..2).map(|n| nodes.addresses(n).caller).collect();
    let client = SoakClient::new(callers, host.journal.clone(), host.started_at);
    let plan = JobRecord {
        queue: QUEUES[0],
        steps: vec![StepPlan {
            count: 3,
            run_ms: 100,
            after_previous: false,
            allow_duplicates: false,
            persistent: false,
        }],
        accepted_at: None,
        cancelled: false,
        withdrawn_at: None,
        completed_at: None,
    };
    for round in 1..=3 {
        let id = format!("ff{round:014x}");
        host.journal.add_job(&id, plan.clone());
        let started_at = Instant::now();
        let mut state = None;
        while state.as_deref() != Some("completed") {
            assert!(started_at.elapsed() < Duration::from_secs(20), "{state:?}");
            client.submit_to(1, &id, &plan).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
            state = client.ask(0, &id, QUEUES[0]).await;
        }
        put_odd(round);
        if let (2, Some(owner)) = (round, host.owner()) {
            nodes.kill(owner);
            nodes.start(owner).expect("daemon");
        }
    }
    assert!((0..2).all(|n| nodes.process_id(n).is_some()));
    let log = std::fs::read_to_string(folder.join("node-0.log")).expect("log");
    assert!(
        log.contains("BadEntry") || log.contains("221"),
        "no line names an odd entry"
    );
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a connection between nodes that is lost with a message of a later version.
#[tokio::test]
async fn a_message_that_is_not_understood_does_not_end_the_connection() {
    use {
        futures_util::{SinkExt, StreamExt},
        tokio_util::codec::{Framed, LengthDelimitedCodec},
    };
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/node.toml");
    let settings = dragonflyferry::platform::NodeSettings::read(Path::new(sample));
    let log = dragonflyferry::entry::EventLog::new(
        slog::Logger::root(slog::Discard, slog::o!()),
        Arc::default(),
    );
    let settings = settings.expect("settings");
    let shared = dragonflyferry::entry::Shared::new(settings, Arc::from("owner"), log);
    let shared = Arc::new(shared);
    let (tx, _rx) = tokio::sync::mpsc::unbounded_channel();
    shared.set_local_owner(Some(tx));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(run_peer_server(shared, listener));
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connected");
    let mut link = Framed::new(stream, LengthDelimitedCodec::new());
    let odd = bytes::Bytes::from_static(&[250, 250, 250]);
    link.send(odd).await.expect("sent");
    link.send(PeerMessage::Ping.encode().expect("message"))
        .await
        .expect("sent");
    let reply = tokio::time::timeout(TIMEOUT, link.next())
        .await
        .expect("a reply in time");
    let reply = reply.expect("connection").expect("frame");
    assert!(matches!(
        PeerMessage::decode(&reply),
        Some(PeerMessage::Pong)
    ));
}
