//! One daemon of the worker protocol: binds the sockets, starts the core task and the HTTP servers,
//! and stops them. `dragonflyferryd` and the cluster tests run it. It holds no scheduling state.

use {
    crate::{
        app::{
            admin_api, caller_api,
            core_task::CoreTask,
            shared::{CoreHandle, Shared},
        },
        conf::Settings,
        core::{LogEvent, Node, NodeId, NodeRecord, Tuning},
        net::{NetError, PeerMesh, PlatformClient, TlsCredentials},
        server::{self, Connections, HttpServer},
    },
    axum::{Router, error_handling::HandleErrorLayer, http::StatusCode, middleware},
    slog::info,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::JoinHandle,
    },
    tower::{BoxError, ServiceBuilder},
};

/// Maximum number of operators' calls handled at once; further ones are refused.
const MAX_ADMIN_CALLS: usize = 64;

/// Maximum body of an operator's call, in bytes.
const MAX_ADMIN_BODY: usize = 2 << 20;

/// Maximum number of peers' messages that wait for the core; beyond it, reading from peers pauses.
const PEER_QUEUE_LENGTH: usize = 16_384;

/// Delay between the handover of the shards and the end of the tasks, so that the last replies are
/// sent.
const REPLY_FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Addresses that a daemon listens on, with the ports that the system assigned.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// HTTP, callers' interface.
    pub callers: SocketAddr,
    /// HTTP, operators' interface.
    pub admin: SocketAddr,
    /// QUIC over UDP, other nodes.
    pub peers: SocketAddr,
}

/// A running daemon. Dropping it leaves its tasks running; end it with [`Self::stop`] or
/// [`Self::kill`].
#[derive(Debug)]
pub struct Daemon {
    pub addresses: Addresses,
    /// Name from the settings and a random suffix: each start is a new node.
    pub id: NodeId,
    shared: Arc<Shared>,
    /// Becomes true when a graceful stop is complete.
    done: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon; it joins the cluster in the background.
    ///
    /// Fails with [`NetError::Listen`] if an address cannot be bound and with
    /// [`NetError::Certificate`] if the TLS credentials are refused.
    #[expect(clippy::unused_async, reason = "it needs a running runtime")]
    pub async fn start(
        settings: Settings,
        tuning: Tuning,
        log: slog::Logger,
    ) -> Result<Self, NetError> {
        let callers = bind(settings.caller_address)?;
        let admin = bind(settings.admin_address)?;
        let id = NodeId::from(format!("{}-{:08x}", settings.name, rand::random::<u32>()));
        let tls = TlsCredentials {
            authority: settings.authority_pem.clone(),
            certificate: settings.certificate_pem.clone(),
            key: settings.key_pem.clone(),
        };
        let (peer_tx, peer_rx) = mpsc::channel(PEER_QUEUE_LENGTH);
        let mesh = PeerMesh::start(id.clone(), settings.peer_address, &tls, peer_tx)?;
        let addresses = Addresses {
            callers: local_address(&callers, settings.caller_address)?,
            admin: local_address(&admin, settings.admin_address)?,
            peers: mesh.address,
        };
        let record = NodeRecord {
            id: id.clone(),
            zone: settings.zone.clone(),
            peer_address: Arc::from(addresses.peers.to_string()),
            admin_address: Arc::from(addresses.admin.to_string()),
            leaving: false,
        };
        let platform = PlatformClient::new(settings.store_address, settings.vm_list_address);
        let (core, core_rx) = CoreHandle::new();
        let shared = Arc::new(Shared::new(settings, core, log));
        let (done_tx, done) = watch::channel(false);
        let tick_ms = tuning.tick_ms;
        let node = Node::new(record, tuning, rand::random());
        let task = CoreTask::new(node, shared.clone(), mesh, platform, done_tx);
        let event = LogEvent::DaemonStarted;
        info!(shared.log, "{}", event.name(); "event" => event.number());
        let operator_routes = limit_concurrency(admin_api::router(shared.clone()));
        let (caller_routes, log) = (caller_api::router(shared.clone()), &shared.log);
        let tasks = vec![
            tokio::spawn(task.run(core_rx, peer_rx, tick_ms)),
            tokio::spawn(serve(callers, caller_routes, &shared.callers, log)),
            tokio::spawn(serve(admin, operator_routes, &shared.operators, log)),
        ];
        Ok(Self {
            addresses,
            id,
            shared,
            done,
            tasks,
        })
    }

    /// Stops gracefully: hands shards over and waits for pending requests, for at most `drain_ms`
    /// of the settings.
    pub async fn stop(mut self) {
        self.shared.start_stop();
        let limit = Duration::from_millis(self.shared.settings.drain_ms);
        let _ = tokio::time::timeout(limit, self.done.wait_for(|done| *done)).await;
        tokio::time::sleep(REPLY_FLUSH_DELAY).await;
        self.kill();
    }

    /// Waits until a drain started by an operator is complete; never returns if the core task ends
    /// without one.
    pub async fn wait_until_drained(&self) {
        let mut done = self.done.clone();
        if done.wait_for(|done| *done).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Stops at once, without a handover, as a failed process would.
    pub fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
        let event = LogEvent::DaemonStopped;
        info!(self.shared.log, "{}", event.name(); "event" => event.number());
    }

    /// Returns the state shared by the daemon's parts, for inspection while it runs.
    pub fn shared(&self) -> Arc<Shared> {
        self.shared.clone()
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, NetError> {
    server::listen(address).map_err(|source| NetError::Listen { address, source })
}

fn local_address(listener: &TcpListener, requested: SocketAddr) -> Result<SocketAddr, NetError> {
    listener.local_addr().map_err(|source| NetError::Listen {
        address: requested,
        source,
    })
}

/// Serves a listener until the future is dropped, with all its connections.
fn serve(
    listener: TcpListener,
    router: Router,
    connections: &Arc<Connections>,
    log: &slog::Logger,
) -> impl Future<Output = ()> + use<> {
    let log = log.clone();
    let server = HttpServer::new(listener, router, connections.clone());
    let server = server.report_to(move |news| {
        let event = LogEvent::CallersRejected;
        info!(log, "{}", event.name(); "event" => event.number(), "detail" => news.to_string());
    });
    server.run()
}

/// Limits how many calls are handled at once; further ones are refused without waiting.
fn limit_concurrency(router: Router) -> Router {
    let overloaded = async |_: BoxError| (StatusCode::SERVICE_UNAVAILABLE, "too many calls\n");
    let buffer = middleware::from_fn_with_state(MAX_ADMIN_BODY, caller_api::buffer_body);
    let layers = ServiceBuilder::new()
        .layer(HandleErrorLayer::new(overloaded))
        .load_shed()
        .concurrency_limit(MAX_ADMIN_CALLS);
    // A body that is incomplete takes no place among the calls.
    router.layer(layers).layer(buffer)
}
