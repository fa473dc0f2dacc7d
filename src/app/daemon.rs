//! One daemon: starts the core, the listeners and the graceful stop.

use {
    crate::{
        app::{
            admin_api, caller_api,
            core_task::CoreTask,
            shared::{CoreHandle, Shared},
        },
        conf::Settings,
        core::{Event, LogEvent, Node, NodeId, NodeRecord, Tuning},
        net::{NetError, PeerMesh, PlatformClient, TlsCredentials},
    },
    axum::{Router, error_handling::HandleErrorLayer, http::StatusCode},
    slog::info,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        task::JoinHandle,
    },
    tower::{BoxError, ServiceBuilder},
};

/// Most operators' calls handled at once; further ones are refused.
const ADMIN_CALLS: usize = 64;

/// Messages of peers that wait for the core.
const PEER_QUEUE: usize = 16_384;

/// Time until a handed-over node's answers have surely left.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    pub peers: SocketAddr,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    pub addresses: Addresses,
    pub id: NodeId,
    shared: Arc<Shared>,
    done: watch::Receiver<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon; it joins the cluster in the background.
    pub async fn start(
        settings: Settings,
        tuning: Tuning,
        log: slog::Logger,
    ) -> Result<Self, NetError> {
        let callers = listen(settings.caller_address).await?;
        let admin = listen(settings.admin_address).await?;
        let id = NodeId::from(format!("{}-{:08x}", settings.name, rand::random::<u32>()));
        let tls = TlsCredentials {
            authority: settings.authority_pem.clone(),
            certificate: settings.certificate_pem.clone(),
            key: settings.key_pem.clone(),
        };
        let (peer_tx, peer_rx) = mpsc::channel(PEER_QUEUE);
        let mesh = PeerMesh::start(id.clone(), settings.peer_address, &tls, peer_tx)?;
        let addresses = Addresses {
            callers: address(&callers, settings.caller_address)?,
            admin: address(&admin, settings.admin_address)?,
            peers: mesh.address,
        };
        let me = NodeRecord {
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
        let node = Node::new(me, tuning, rand::random());
        let task = CoreTask::new(node, shared.clone(), mesh, platform, done_tx);
        let event = LogEvent::DaemonStarted;
        info!(shared.log, "{}", event.name(); "event" => event.number());
        let tasks = vec![
            tokio::spawn(task.run(core_rx, peer_rx, tick_ms)),
            tokio::spawn(serve(callers, caller_api::router(shared.clone()))),
            tokio::spawn(serve(admin, limited(admin_api::router(shared.clone())))),
        ];
        Ok(Self {
            addresses,
            id,
            shared,
            done,
            tasks,
        })
    }

    /// Stops gracefully: hands shards over and waits for open requests, up to the drain limit.
    pub async fn stop(mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.core.send(Event::Stop);
        let limit = Duration::from_millis(self.shared.settings.drain_ms);
        let _ = tokio::time::timeout(limit, self.done.wait_for(|done| *done)).await;
        tokio::time::sleep(LAST_WORDS).await;
        self.kill();
    }

    /// Waits until an operator's drain is complete.
    pub async fn wait_until_drained(&self) {
        let mut done = self.done.clone();
        if done.wait_for(|done| *done).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Stops at once, as a failed process would.
    pub fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
        let event = LogEvent::DaemonStopped;
        info!(self.shared.log, "{}", event.name(); "event" => event.number());
    }

    /// Returns the state shared by the daemon's parts.
    pub fn shared(&self) -> Arc<Shared> {
        self.shared.clone()
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, NetError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NetError::Listen { address, source })
}

fn address(listener: &TcpListener, asked: SocketAddr) -> Result<SocketAddr, NetError> {
    listener.local_addr().map_err(|source| NetError::Listen {
        address: asked,
        source,
    })
}

async fn serve(listener: TcpListener, router: Router) {
    let _ = axum::serve(listener, router).await;
}

/// Bounds how many calls are handled at once.
fn limited(router: Router) -> Router {
    let too_many = async |_: BoxError| (StatusCode::SERVICE_UNAVAILABLE, "too many calls\n");
    let layers = ServiceBuilder::new()
        .layer(HandleErrorLayer::new(too_many))
        .load_shed()
        .concurrency_limit(ADMIN_CALLS);
    router.layer(layers)
}
