//! Tests of the HTTP server: which request gives way when room is short, and what its client is told.

use {
    axum::{
        Router,
        extract::{Request, State},
        http::StatusCode,
    },
    dragonflyferry::server::{
        Connections, HttpServer, Rejection, RequestHandle, ServerLimits, listen, read_body,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::{Semaphore, watch},
    },
};

const LIMITS: ServerLimits = ServerLimits {
    connections: 3,
    held_bytes: 40_000,
    requests: 2,
};

/// Largest body that the handler takes, in bytes.
const MAX_BODY: usize = 100_000;

/// Checks of a condition before a test fails, 20 ms apart.
const MAX_TRIES: usize = 500;

/// A server whose handler replies to complete requests as far as it is permitted.
struct Scene {
    address: SocketAddr,
    connections: Arc<Connections>,
    /// Replies that the handler may send.
    replies: Arc<Semaphore>,
    stop: watch::Sender<bool>,
    server: tokio::task::JoinHandle<()>,
}

async fn handle(State(replies): State<Arc<Semaphore>>, req: Request) -> StatusCode {
    let handle = req.extensions().get::<RequestHandle>().cloned();
    match read_body(handle, req.into_body(), MAX_BODY).await {
        Ok(_body) => {
            replies.acquire().await.expect("open").forget();
            StatusCode::OK
        }
        Err(e) => e.status(),
    }
}

impl Scene {
    fn start() -> Self {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("address");
        let address = listener.local_addr().expect("address");
        let connections = Arc::new(Connections::new(LIMITS));
        let replies = Arc::new(Semaphore::new(0));
        let router = Router::new().fallback(handle).with_state(replies.clone());
        let (stop, stop_rx) = watch::channel(false);
        let server = HttpServer::new(listener, router, connections.clone()).stop_on(stop_rx);
        Self {
            address,
            connections,
            replies,
            stop,
            server: tokio::spawn(server.run()),
        }
    }

    /// Connects and sends the head of a request and the beginning of its body.
    async fn send(&self, declared: usize, sent: usize) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("connects");
        let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {declared}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("writes");
        let body = vec![b'x'; sent];
        stream.write_all(&body).await.expect("writes");
        stream
    }

    async fn wait_until(&self, condition: impl Fn(&Connections) -> bool) {
        for _ in 0..MAX_TRIES {
            if condition(&self.connections) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("timed out: {:?}", self.connections);
    }

    fn rejected(&self, reason: Rejection) -> u64 {
        self.connections.rejections().get(reason)
    }
}

/// Returns the status line of a response; empty if there is none.
async fn status_line(stream: &mut TcpStream) -> String {
    let mut buf = [0; 4_096];
    let length = stream.read(&mut buf).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&buf[..length]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

const SERVED: &str = "HTTP/1.1 200 OK";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable";

#[tokio::test]
async fn a_new_connection_displaces_the_one_that_stands_still_longest() {
    let scene = Scene::start();
    let mut complete = scene.send(10, 10).await;
    scene.wait_until(|c| c.held_bytes() > 0).await;
    let mut oldest = scene.send(10, 5).await;
    scene.wait_until(|c| c.count() == 2).await;
    let _other = scene.send(10, 5).await;
    scene.wait_until(|c| c.count() == 3).await;
    let mut new = scene.send(10, 10).await;
    assert_eq!(status_line(&mut oldest).await, "");
    scene.replies.add_permits(2);
    assert_eq!(status_line(&mut complete).await, SERVED);
    assert_eq!(status_line(&mut new).await, SERVED);
    assert_eq!(scene.rejected(Rejection::ConnectionLimit), 1);
}

#[tokio::test]
async fn a_connection_is_refused_if_all_others_are_in_work() {
    let scene = Scene::start();
    let mut complete = Vec::new();
    for count in 1..=2 {
        complete.push(scene.send(10, 10).await);
        scene
            .wait_until(|c| c.count() == count && c.held_bytes() > 0)
            .await;
    }
    // A third complete request is refused, and its connection then gives way.
    let mut third = scene.send(10, 10).await;
    assert_eq!(status_line(&mut third).await, UNAVAILABLE);
    assert_eq!(scene.rejected(Rejection::RequestLimit), 1);
    let _fourth = scene.send(10, 5).await;
    scene
        .wait_until(|c| c.rejections().get(Rejection::ConnectionLimit) == 1)
        .await;
    scene.replies.add_permits(2);
    for stream in &mut complete {
        assert_eq!(status_line(stream).await, SERVED);
    }
}

#[tokio::test]
async fn a_body_that_stands_still_makes_room_and_its_client_is_told() {
    let scene = Scene::start();
    let mut stalled = scene.send(39_000, 38_999).await;
    scene.wait_until(|c| c.held_bytes() >= 38_999).await;
    let mut ordinary = scene.send(3_000, 3_000).await;
    assert_eq!(status_line(&mut stalled).await, UNAVAILABLE);
    scene.replies.add_permits(1);
    assert_eq!(status_line(&mut ordinary).await, SERVED);
    scene.wait_until(|c| c.held_bytes() == 0).await;
    assert_eq!(scene.rejected(Rejection::NoMemory), 1);
}

#[tokio::test]
async fn one_request_alone_may_exceed_the_memory_of_all() {
    let scene = Scene::start();
    let mut large = scene.send(MAX_BODY, MAX_BODY).await;
    scene.replies.add_permits(1);
    assert_eq!(status_line(&mut large).await, SERVED);
}

#[tokio::test]
async fn the_refusal_of_a_body_that_is_sent_on_is_received() {
    let scene = Scene::start();
    let mut large = scene.send(MAX_BODY + 1, 60_000).await;
    assert_eq!(
        status_line(&mut large).await,
        "HTTP/1.1 413 Payload Too Large"
    );
}

#[tokio::test]
async fn a_stop_answers_complete_requests_and_refuses_incomplete_ones() {
    let scene = Scene::start();
    let mut complete = scene.send(10, 10).await;
    let mut incomplete = scene.send(10, 5).await;
    scene
        .wait_until(|c| c.count() == 2 && c.held_bytes() > 60)
        .await;
    scene.stop.send_replace(true);
    assert_eq!(status_line(&mut incomplete).await, UNAVAILABLE);
    assert!(!scene.server.is_finished());
    scene.replies.add_permits(1);
    assert_eq!(status_line(&mut complete).await, SERVED);
    scene.server.await.expect("the server ends");
}

#[test]
fn limits_follow_from_the_machine() {
    let machines = [
        (None, None),
        (Some(260), Some(4_100)),
        (Some(120), Some(3_075)),
    ];
    let limits = machines.map(|(memory, descriptors)| {
        let limits = ServerLimits::for_callers(memory, descriptors);
        (limits.connections, limits.held_bytes, limits.requests)
    });
    insta::assert_debug_snapshot!(limits, @r"
    [
        (
            488,
            32000000,
            389,
        ),
        (
            495,
            32500000,
            390,
        ),
        (
            228,
            15000000,
            287,
        ),
    ]
    ");
}
