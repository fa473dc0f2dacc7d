//! Tests of clients that do not keep to the limits: crowds that send too much, too slowly or without
//! end, against real daemons whose settings state a small machine.
//!
//! Each test bounds the memory of the daemon, with what its sockets have received and nobody has
//! read, and its descriptors, and sends an ordinary request afterwards. No time and no share of
//! answered requests is checked.

#[allow(dead_code, reason = "other tests use the rest")]
mod cluster;

use {
    axum::body::Body,
    bytes::Bytes,
    cluster::{Cluster, Process},
    dragonflyferry::net::{HttpClient, Pooling},
    http_body_util::BodyExt,
    hyper::{Method, Request, StatusCode},
    serde_json::Value,
    standins::{
        crowd::{Crowd, Shape},
        platform_host::PlatformHost,
        process_usage::ProcessUsage,
        soak::sample_config,
        soak_clients::{HOST, QUEUES},
        soak_nodes::{MachineLimits, SoakNodes},
    },
    std::{net::SocketAddr, path::Path, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::{Mutex, MutexGuard},
    },
};

/// Limits of the machine that the settings state.
const MACHINE: MachineLimits = MachineLimits {
    memory_mb: 64,
    descriptors: 500,
};

/// Descriptors that the platform reserves for files; the others are for sockets.
const FILE_DESCRIPTORS: u64 = 200;

/// Largest memory of the project's own daemon under test, whose settings state no machine, in MB.
const OWN_DAEMON_MEMORY_MB: u64 = 256;

const CLIENTS: usize = 400;

/// Clients of the project's own daemon.
const OWN_DAEMON_CLIENTS: usize = 900;

/// Largest body that the configuration allows, in bytes.
const BODY_BYTES: usize = 262_144;

/// Time that a crowd stays once all of its clients have connected.
const STAY: Duration = Duration::from_secs(4);

/// Time between readings of a process' usage.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Tries of an ordinary request, as an ordinary client makes them.
const MAX_TRIES: usize = 40;

/// Pause before such a client tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time that such a client waits for one response.
const DEADLINE: Duration = Duration::from_secs(3);

/// Held by the test that runs: crowds would count against each other.
static TURN: Mutex<()> = Mutex::const_new(());

/// Two nodes on the platform.
struct Scene {
    nodes: SoakNodes,
    _host: Arc<PlatformHost>,
    folder: std::path::PathBuf,
    _turn: MutexGuard<'static, ()>,
}

impl Drop for Scene {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Scene {
    async fn start(name: &str) -> Self {
        Self::with_grace(name, 6).await
    }

    async fn with_grace(name: &str, termination_grace_s: u64) -> Self {
        let turn = TURN.lock().await;
        let folder = std::env::temp_dir().join(format!("dff-crowd-{name}-{}", std::process::id()));
        let daemon = Path::new(env!("CARGO_BIN_EXE_dragonflyferryd"));
        let nodes = SoakNodes::new(daemon, &folder, 2).expect("folder");
        let nodes = nodes
            .machine(MACHINE)
            .termination_grace_s(termination_grace_s);
        let peers = (0..2).map(|n| nodes.addresses(n).peer).collect();
        let host = PlatformHost::start(1, peers, &[("a", "z0"), ("a", "z1"), ("b", "z0")]);
        host.put("op/config", &config());
        for node in 0..2 {
            let store = host.store_address(node).expect("address");
            nodes.configure(node, store).expect("settings");
            nodes.start(node).expect("process");
        }
        let scene = Self {
            nodes,
            _host: host,
            folder,
            _turn: turn,
        };
        scene.assert_serves("0000000000000000").await;
        scene
    }

    fn caller(&self) -> SocketAddr {
        self.nodes.addresses(0).caller
    }

    /// Returns what the first node uses; fails if it has ended.
    fn usage(&self) -> ProcessUsage {
        let process = self.nodes.process_id(0).expect("the process lives");
        let at = self.nodes.addresses(0);
        ProcessUsage::read(process, &[at.caller, at.metrics, at.peer, at.ready]).expect("usage")
    }

    /// Lets a crowd come and stay, and returns the most that the first node used meanwhile.
    async fn usage_under(
        &self,
        address: SocketAddr,
        shape: impl Fn(usize) -> Shape,
    ) -> ProcessUsage {
        let arrival = Crowd::start(address, CLIENTS, shape);
        let (crowd, usage) = usage_while(|| self.usage(), arrival).await;
        self.assert_serves("00000000000000aa").await;
        let usage = usage.max(self.usage());
        drop(crowd);
        self.assert_serves("00000000000000bb").await;
        usage.max(self.usage())
    }

    /// Lets a crowd come to the callers' address and checks the limits of the machine.
    async fn assert_holds(&self, shape: &Shape) {
        assert_within(self.usage_under(self.caller(), |_| shape.clone()).await);
    }

    /// Checks that an ordinary job is accepted and can be read.
    async fn assert_serves(&self, id: &str) {
        let body = r#"{"spec":"x","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]}"#;
        let path = format!("/{}/{id}", QUEUES[0]);
        let (_, job) = (
            self.call(Method::POST, &path, body).await,
            self.call(Method::GET, &path, "").await,
        );
        assert!(job.contains("state"), "{job}");
    }

    /// Sends an ordinary request until it is answered, and returns the body of the response.
    async fn call(&self, method: Method, path: &str, body: &str) -> String {
        let client = HttpClient::new(Pooling::PerRequest);
        let mut last = String::new();
        for _ in 0..MAX_TRIES {
            let req = Request::builder()
                .method(method.clone())
                .uri(format!("http://{}{path}", self.caller()))
                .header("host", HOST)
                .header("deadline-ms", DEADLINE.as_millis().to_string())
                .body(Body::from(body.to_owned()))
                .expect("request");
            let call = async {
                let resp = client.send(req).await.map_err(|e| e.message)?;
                let status = resp.status();
                let bytes = resp.into_body().collect().await;
                let bytes = bytes.map_err(|e| e.to_string())?.to_bytes();
                let text = String::from_utf8_lossy(&bytes).into_owned();
                if status == StatusCode::OK {
                    Ok(text)
                } else {
                    Err(format!("{status} {text}"))
                }
            };
            match tokio::time::timeout(DEADLINE, call).await {
                Ok(Ok(text)) => return text,
                Ok(Err(e)) => last = e,
                Err(_) => "no response".clone_into(&mut last),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        panic!("an ordinary request is not answered: {last}");
    }
}

/// Returns a configuration with [`BODY_BYTES`] as the largest body.
fn config() -> Vec<u8> {
    let mut config: Value = serde_json::from_slice(&sample_config(1, "a")).expect("JSON");
    config["limits"]["bodyBytes"] = Value::from(BODY_BYTES);
    config.to_string().into_bytes()
}

/// Reads usage while a crowd arrives and stays; returns the crowd and the most that was used.
async fn usage_while(
    read: impl Fn() -> ProcessUsage,
    crowd: impl Future<Output = Crowd>,
) -> (Crowd, ProcessUsage) {
    let mut most = read();
    let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
    let stay = async {
        let crowd = crowd.await;
        tokio::time::sleep(STAY).await;
        crowd
    };
    tokio::pin!(stay);
    loop {
        tokio::select! {
            crowd = &mut stay => return (crowd, most.max(read())),
            _ = interval.tick() => most = most.max(read()),
        }
    }
}

/// Checks that usage is within the machine's limits.
fn assert_within(usage: ProcessUsage) {
    let memory_mb = usage.memory_kib().max(usage.peak_resident_kib) * 1_024 / 1_000_000;
    let sockets = usage.descriptors;
    println!("memory {memory_mb} MB, {sockets} descriptors: {usage:?}");
    assert!(
        memory_mb <= MACHINE.memory_mb && sockets <= MACHINE.descriptors - FILE_DESCRIPTORS,
        "memory {memory_mb} MB, {sockets} descriptors: {usage:?}"
    );
}

/// Returns the head of a submission; `headers` end with a line break each.
fn head(id: &str, headers: &str) -> String {
    format!(
        "POST /{}/{id} HTTP/1.1\r\nHost: {HOST}\r\n{headers}",
        QUEUES[0]
    )
}

/// Returns a job of this many bytes; the payload fills it.
fn job_of(bytes: usize) -> String {
    let (start, end) = (
        r#"{"steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}],"spec":""#,
        r#""}"#,
    );
    let filler = "x".repeat(bytes - start.len() - end.len());
    format!("{start}{filler}{end}")
}

fn with_length(id: &str, bytes: usize) -> String {
    head(id, &format!("Content-Length: {bytes}\r\n\r\n"))
}

fn chunked(id: &str) -> String {
    head(id, "Transfer-Encoding: chunked\r\n\r\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A body of the largest size whose last byte does not come, in pieces of `piece` bytes.
fn unfinished_body(piece: usize) -> Shape {
    let pieces = (BODY_BYTES - 1) / piece;
    let rest = BODY_BYTES - 1 - pieces * piece;
    let opening = with_length("00000000000000c0", BODY_BYTES) + &"x".repeat(rest);
    Shape::new(opening).pieces("x".repeat(piece), Some(pieces))
}

/// A chunked body that stops one chunk before its end.
fn unfinished_chunks(chunk_bytes: usize) -> Shape {
    let chunks = BODY_BYTES / chunk_bytes - 1;
    let piece = chunk(&"x".repeat(chunk_bytes));
    // Writes of whole chunks, in about 8 KB if they are small.
    let per_write = (8_192 / piece.len()).clamp(1, chunks);
    Shape::new(chunked("00000000000000c1"))
        .pieces(piece.repeat(per_write), Some(chunks / per_write))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_over_the_limit_that_stand_still() {
    let scene = Scene::start("long-heads").await;
    let opening = head("00000000000000c2", &format!("a: {}", "x".repeat(390_000)));
    scene.assert_holds(&Shape::new(opening)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_header_without_end() {
    let scene = Scene::start("endless-header").await;
    let opening = head("00000000000000c3", &format!("a: {}", "x".repeat(380_000)));
    let shape = Shape::new(opening).pieces("x".repeat(64), None);
    let shape = shape.pause(Duration::from_millis(100)).returns();
    scene.assert_holds(&shape).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_headers_without_end() {
    let scene = Scene::start("endless-headers").await;
    let line = format!("a: {}\r\n", "x".repeat(4_091));
    let shape = Shape::new(head("00000000000000c4", "")).pieces(line, None);
    scene.assert_holds(&shape.returns()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_lines_without_end() {
    let scene = Scene::start("empty-lines").await;
    let shape = Shape::new(Bytes::new()).pieces("\r\n".repeat(2_048), None);
    scene.assert_holds(&shape.returns()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_lines_that_come_slowly() {
    let scene = Scene::start("slow-lines").await;
    let shape = Shape::new("\r\n".repeat(190_000)).pieces("\r\n", None);
    scene
        .assert_holds(&shape.pause(Duration::from_millis(100)))
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_in_one_write() {
    let scene = Scene::start("bodies").await;
    scene.assert_holds(&unfinished_body(BODY_BYTES - 1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_in_small_pieces() {
    let scene = Scene::start("pieces").await;
    scene.assert_holds(&unfinished_body(512)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_that_come_again() {
    let scene = Scene::start("again").await;
    scene.assert_holds(&unfinished_body(16_384).returns()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_in_large_chunks() {
    let scene = Scene::start("chunks").await;
    scene.assert_holds(&unfinished_chunks(50_000)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_in_chunks_of_one_byte() {
    let scene = Scene::start("small-chunks").await;
    scene.assert_holds(&unfinished_chunks(1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_of_the_largest_size() {
    let scene = Scene::start("whole").await;
    let body = job_of(BODY_BYTES);
    let shape = |client| Shape::new(with_length(&format!("{client:016x}"), BODY_BYTES) + &body);
    assert_within(scene.usage_under(scene.caller(), shape).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_that_send_nothing() {
    let scene = Scene::start("silent").await;
    scene.assert_holds(&Shape::new(Bytes::new())).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_heads_at_the_other_listeners() {
    let scene = Scene::start("listeners").await;
    let at = scene.nodes.addresses(0);
    let opening = format!("GET /metrics HTTP/1.1\r\na: {}", "x".repeat(390_000));
    let shape = Shape::new(opening);
    for address in [at.ready, at.metrics] {
        assert_within(scene.usage_under(address, |_| shape.clone()).await);
        let line = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        assert!(exchange(at.ready, line).await.contains("200"));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_heads_at_the_project_s_own_daemon() {
    let _turn = TURN.lock().await;
    let cluster = Cluster::start("crowd").await;
    let node = &cluster.nodes[0];
    let addresses = [node.caller_address, node.admin_address];
    for address in addresses {
        let opening = format!("GET /live HTTP/1.1\r\na: {}", "x".repeat(390_000));
        let read = || own_usage(&node.process, &addresses);
        let shape = Shape::new(opening);
        let arrival = Crowd::start(address, OWN_DAEMON_CLIENTS, |_| shape.clone());
        let (_crowd, usage) = usage_while(read, arrival).await;
        let memory_mb = usage.memory_kib().max(usage.peak_resident_kib) * 1_024 / 1_000_000;
        assert!(
            memory_mb <= OWN_DAEMON_MEMORY_MB,
            "{memory_mb} MB: {usage:?}"
        );
        let (status, _) = cluster::get(&format!("http://{}/live", node.admin_address)).await;
        assert_eq!(status, 200);
    }
}

/// A stop that is planned waits for requests that are complete, not for those that stand still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_does_not_wait_for_unfinished_requests() {
    let scene = Scene::with_grace("stop", 120).await;
    let shapes = [
        unfinished_body(4_096),
        unfinished_chunks(1_000),
        Shape::new(head("00000000000000c6", "a: b\r\n")),
        Shape::new(with_length("00000000000000c7", 10_000))
            .pieces("x", Some(9_000))
            .pause(Duration::from_millis(200)),
    ];
    let mut crowds = Vec::new();
    for shape in &shapes {
        crowds.push(Crowd::start(scene.caller(), 5, |_| shape.clone()).await);
    }
    scene.nodes.signal(0, rustix::process::Signal::TERM);
    for _ in 0..600 {
        if scene.nodes.process_id(0).is_none() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the node waits for unfinished requests until it is killed");
}

/// Without a crowd every request within the limits is served, however it arrives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_within_the_limits_are_served_in_calm() {
    let scene = Scene::start("calm").await;
    let body = job_of(BODY_BYTES);
    let long_header = format!("a: {}\r\n", "x".repeat(15_900));
    let length = format!("Content-Length: {BODY_BYTES}\r\n");
    let close = "Connection: close\r\n";
    let requests = [
        head("0000000000000001", &format!("{length}{close}\r\n")) + &body,
        head(
            "0000000000000002",
            &format!("{long_header}{length}{close}\r\n"),
        ) + &body,
        head(
            "0000000000000003",
            &format!("Transfer-Encoding: chunked\r\n{close}\r\n"),
        ) + &chunk(&body)
            + "0\r\n\r\n",
        head(
            "0000000000000004",
            &format!("Transfer-Encoding: chunked\r\n{close}\r\n"),
        ) + &body
            .chars()
            .map(|c| chunk(&c.to_string()))
            .collect::<String>()
            + "0\r\n\r\n",
    ];
    for request in &requests {
        let reply = exchange(scene.caller(), request.as_bytes()).await;
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    }
    let slow = head("0000000000000005", &format!("{length}{close}\r\n")) + &body;
    let mut stream = TcpStream::connect(scene.caller()).await.expect("connects");
    for piece in slow.as_bytes().chunks(2_000) {
        stream.write_all(piece).await.expect("writes");
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    let reply = read_all(stream).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert_within(scene.usage());
}

/// Sends bytes and returns all that comes back.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(bytes).await.expect("writes");
    read_all(stream).await
}

async fn read_all(mut stream: TcpStream) -> String {
    let mut reply = Vec::new();
    // A reset after the response loses nothing that was read before it.
    let _ = stream.read_to_end(&mut reply).await;
    String::from_utf8_lossy(&reply).into_owned()
}

fn own_usage(process: &Process, addresses: &[SocketAddr]) -> ProcessUsage {
    ProcessUsage::read(process.id(), addresses).expect("usage")
}
