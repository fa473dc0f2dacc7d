//! Accepts connections of a listener and serves each within the limits of its
//! [`Connections`]. `app` and `entry` start one for each listener.

use {
    crate::server::{
        Connections, Rejection, RejectionCounts,
        connections::ConnectionGuard,
        request_body::{RETRY_AFTER_S, TrackedBody},
        response_body::TrackedResponse,
    },
    axum::{Router, body::Body},
    hyper::{
        Request, Response, StatusCode, body::Body as _, body::Incoming, header,
        server::conn::http1, service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible, fmt, future::poll_fn, io, net::SocketAddr, pin::Pin, sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
        task::JoinSet,
        time::Instant,
    },
    tower::ServiceExt,
};

/// Maximum size of a head, in bytes.
const MAX_HEAD_BYTES: usize = 24 << 10;

/// Time from the last response, or the beginning of the connection, to the end of a head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Receive buffer of a connection, in bytes; the system may double it.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 256;

/// What is read and discarded after the last response, so that the client can read it before the
/// connection is reset.
const LINGER_BYTES: usize = 1 << 20;
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 4_096;

/// Interval at which time limits are checked and rejections reported, and during a stop.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
const STOP_SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a failed accept, as without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Response to a connection for which there is no room.
const NO_ROOM: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

type ServiceFuture = Pin<Box<dyn Future<Output = Result<Response<Body>, Infallible>> + Send>>;
type Report = Box<dyn Fn(RejectionCounts) + Send>;

/// Binds an address with buffers that bound what the system holds for connections.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit it. Where it is not supported, the system's own limit holds.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A listener with its routes and limits.
pub struct HttpServer {
    listener: TcpListener,
    router: Router,
    connections: Arc<Connections>,
    stop: Option<watch::Receiver<bool>>,
    report: Option<Report>,
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer")
            .field("listener", &self.listener)
            .field("connections", &self.connections)
            .finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Creates a server that runs until it is dropped.
    pub fn new(listener: TcpListener, router: Router, connections: Arc<Connections>) -> Self {
        Self {
            listener,
            router,
            connections,
            stop: None,
            report: None,
        }
    }

    /// Stops once this becomes true: accepts no connection, serves complete requests to their end.
    #[must_use]
    pub fn stop_on(mut self, stop: watch::Receiver<bool>) -> Self {
        self.stop = Some(stop);
        self
    }

    /// Calls `report` with what was rejected since the last call, at most once a second.
    #[must_use]
    pub fn report_to(mut self, report: impl Fn(RejectionCounts) + Send + 'static) -> Self {
        self.report = Some(Box::new(report));
        self
    }

    /// Serves until a stop is complete; without [`Self::stop_on`] it never returns.
    pub async fn run(self) {
        let (_never_tx, never) = watch::channel(false);
        let mut stop = self.stop.unwrap_or(never);
        let connections = self.connections;
        let mut sweeper = Sweeper::new(connections.clone(), self.report);
        let mut tasks = JoinSet::new();
        let mut listener = Some(self.listener);
        // Accepted, but not admitted yet.
        let mut pending = None;
        while listener.is_some() || !tasks.is_empty() {
            let stopping = listener.is_none();
            tokio::select! {
                // A closed channel also means that the daemon is stopping.
                () = wait_for_stop(&mut stop), if !stopping => {
                    listener = None;
                    pending = None;
                    connections.start_stop();
                }
                stream = accept(listener.as_ref()), if pending.is_none() => pending = Some(stream),
                guard = connections.admit(), if pending.is_some() => {
                    let Some(stream) = pending.take() else { continue };
                    match guard {
                        Some(guard) => {
                            let router = self.router.clone();
                            tasks.spawn(serve_connection(stream, router, guard, stop.clone()));
                        }
                        // The connection is new, so its send buffer takes the response.
                        None => drop(stream.try_write(NO_ROOM)),
                    }
                }
                Some(_) = tasks.join_next() => {}
                () = sweeper.tick(stopping) => {}
            }
        }
    }
}

/// Waits until the value is true, or its sender is gone.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|s| *s).await;
}

/// Returns the next connection; never without a listener.
async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            // Out of descriptors: waits for some to be closed.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Applies time limits and reports rejections.
struct Sweeper {
    connections: Arc<Connections>,
    report: Option<Report>,
    reported: RejectionCounts,
    reported_at: Instant,
    last_tick_at: Instant,
}

impl Sweeper {
    fn new(connections: Arc<Connections>, report: Option<Report>) -> Self {
        let now = Instant::now();
        Self {
            connections,
            report,
            reported: RejectionCounts::default(),
            reported_at: now,
            last_tick_at: now,
        }
    }

    async fn tick(&mut self, stopping: bool) {
        let interval = if stopping {
            STOP_SWEEP_INTERVAL
        } else {
            SWEEP_INTERVAL
        };
        tokio::time::sleep_until(self.last_tick_at + interval).await;
        let now = Instant::now();
        let paused = now > self.last_tick_at + 2 * SWEEP_INTERVAL;
        self.last_tick_at = now;
        self.connections.sweep(paused);
        if now < self.reported_at + SWEEP_INTERVAL {
            return;
        }
        self.reported_at = now;
        let counts = self.connections.rejections();
        let news = counts.since(&self.reported);
        self.reported = counts;
        if let Some(report) = self.report.as_ref().filter(|_| !news.is_empty()) {
            report(news);
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    guard: ConnectionGuard,
    mut stop: watch::Receiver<bool>,
) {
    let handle = guard.handle.clone();
    let service = service_fn(move |mut req: Request<Incoming>| -> ServiceFuture {
        let handle = handle.clone();
        let started = handle.start(!req.body().is_end_stream());
        req.extensions_mut().insert(handle.clone());
        let req = req.map(|body| Body::new(TrackedBody::new(body, handle.clone())));
        let router = router.clone();
        Box::pin(async move {
            let mut resp = match started {
                Ok(()) => router.oneshot(req).await?,
                Err(_) => unavailable(),
            };
            if handle.is_rejected() {
                let close = header::HeaderValue::from_static("close");
                resp.headers_mut().insert(header::CONNECTION, close);
            }
            Ok(resp.map(|body| Body::new(TrackedResponse::new(body, handle))))
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut stopping = false;
    let outcome = loop {
        tokio::select! {
            biased;
            () = guard.closed() => return,
            () = wait_for_stop(&mut stop), if !stopping => {
                stopping = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            outcome = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break outcome,
        }
    };
    if let Err(e) = outcome {
        let connections = guard.handle.connections();
        if e.is_timeout() {
            connections.count_rejection(Rejection::HeadTimeout);
        } else if e.is_parse_too_large() {
            connections.count_rejection(Rejection::HeadSize);
        } else if !e.is_parse() {
            return;
        }
    }
    guard.linger();
    let stream = connection.into_parts().io.into_inner();
    tokio::select! {
        biased;
        () = guard.closed() => {}
        _ = tokio::time::timeout(LINGER_TIMEOUT, linger(stream)) => {}
    }
}

/// Closes the sending half and discards what still arrives.
async fn linger(mut stream: TcpStream) -> io::Result<()> {
    tokio::io::AsyncWriteExt::shutdown(&mut stream).await?;
    let mut discarded = 0;
    while discarded < LINGER_BYTES {
        stream.readable().await?;
        match discard(&stream) {
            Ok(0) => break,
            Ok(bytes) => discarded += bytes,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads bytes into a buffer that does not outlive the call.
fn discard(stream: &TcpStream) -> io::Result<usize> {
    stream.try_read(&mut [0; DISCARD_BYTES])
}

/// Refuses a request before anything was done.
fn unavailable() -> Response<Body> {
    let mut resp = Response::new(Body::empty());
    *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let seconds = header::HeaderValue::from(RETRY_AFTER_S);
    resp.headers_mut().insert(header::RETRY_AFTER, seconds);
    resp
}
