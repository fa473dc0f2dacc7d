//! State shared by the parts of a daemon, and the handle that sends events to the core task. The
//! HTTP interfaces, the forwarder and the core task use it. The core itself is not shared: it is
//! read by inspection and changed by events only.

use {
    crate::{
        app::Meter,
        conf::Settings,
        core::{Config, Event, Millis, Node, OrganisationName, ReplyId},
        net::HttpClient,
        server::{Connections, ServerLimits},
    },
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Instant,
    },
    tokio::sync::{Semaphore, mpsc, oneshot},
};

/// A read of the core between two steps. It runs on the core task and must be short.
pub type InspectFn = Box<dyn FnOnce(&Node, Millis) + Send>;

/// Input of the core task.
pub enum CoreInput {
    /// An event without replies.
    Event(Event),
    /// An event whose replies are sent to `tx` until its receiver is dropped.
    EventWithReplies {
        reply: ReplyId,
        event: Event,
        tx: mpsc::UnboundedSender<CoreReply>,
    },
    Inspect(InspectFn),
}

/// A reply of the core to a local caller.
#[derive(Clone, Debug)]
pub enum CoreReply {
    Request(crate::core::RequestReply),
    Job(crate::core::JobReply),
    Admin(crate::core::AdminReply),
}

/// Sends events to the core task; clones send to the same task.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    tx: mpsc::UnboundedSender<CoreInput>,
    /// Last reply id handed out; ids are unique within the daemon.
    last_reply: Arc<AtomicU64>,
}

impl CoreHandle {
    /// Creates a handle and the receiver for the core task.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<CoreInput>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let handle = Self {
            tx,
            last_reply: Arc::default(),
        };
        (handle, rx)
    }

    /// Sends an event without waiting; it is lost if the core task has ended.
    pub fn send(&self, event: Event) {
        let _ = self.tx.send(CoreInput::Event(event));
    }

    /// Sends the event that `make` creates and returns the id and channel of its replies. The
    /// channel is closed if the core task has ended.
    pub fn send_with_replies(
        &self,
        make: impl FnOnce(ReplyId) -> Event,
    ) -> (ReplyId, mpsc::UnboundedReceiver<CoreReply>) {
        let reply = self.last_reply.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = mpsc::unbounded_channel();
        let event = make(reply);
        let _ = self
            .tx
            .send(CoreInput::EventWithReplies { reply, event, tx });
        (reply, rx)
    }

    /// Runs `read` on the core task and returns its result; `None` if the core task has ended.
    pub async fn inspect<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Node, Millis) -> T + Send + 'static,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        let inspect: InspectFn = Box::new(move |node, now| {
            let _ = tx.send(read(node, now));
        });
        let _ = self.tx.send(CoreInput::Inspect(inspect));
        rx.await.ok()
    }
}

/// State of one daemon that its interfaces, forwarder and core task share.
#[derive(Debug)]
pub struct Shared {
    pub settings: Settings,
    pub core: CoreHandle,
    pub meter: Meter,
    pub log: slog::Logger,
    /// Connections of callers.
    pub callers: Arc<Connections>,
    /// Connections of operators.
    pub operators: Arc<Connections>,
    /// Reuses idle connections, for idempotent requests.
    pub pooled_client: HttpClient,
    /// Opens a connection per request, for requests that must not run twice.
    pub unpooled_client: HttpClient,
    /// Copy of the core's configuration, without keys whose revocation may not be in the store yet.
    config: Mutex<Arc<Config>>,
    /// Permits for connections, by worker address; entries are never removed.
    connection_permits: Mutex<BTreeMap<Arc<str>, Arc<Semaphore>>>,
    /// Set by a graceful stop or a drain: new jobs are refused and `/ready` fails.
    pub stopping: AtomicBool,
    /// Time origin of [`Self::now`].
    pub started_at: Instant,
}

/// Maximum number of connections for requests that a node opens to one worker.
const MAX_CONNECTIONS_PER_WORKER: usize = 64;

impl Shared {
    /// Creates the state with an empty configuration of revision 0.
    pub fn new(settings: Settings, core: CoreHandle, log: slog::Logger) -> Self {
        let limits = ServerLimits::for_callers(settings.memory_mb, settings.descriptors);
        // Requests may last for hours here, as live feeds do.
        let limits = ServerLimits {
            requests: limits.connections,
            ..limits
        };
        Self {
            settings,
            core,
            meter: Meter::default(),
            log,
            callers: Arc::new(Connections::new(limits)),
            operators: Arc::new(Connections::new(ServerLimits::for_operators())),
            pooled_client: HttpClient::new(crate::net::Pooling::Reuse),
            unpooled_client: HttpClient::new(crate::net::Pooling::PerRequest),
            config: Mutex::default(),
            connection_permits: Mutex::default(),
            stopping: AtomicBool::new(false),
            started_at: Instant::now(),
        }
    }

    /// Returns the configuration last published by the core task.
    pub fn config(&self) -> Arc<Config> {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config.clone()
    }

    /// Publishes a configuration to the interfaces; only the core task calls this.
    pub fn set_config(&self, config: Arc<Config>) {
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = config;
    }

    /// Returns the organisation of an API key; `None` if the key is unknown or revoked.
    pub fn organisation_of_key(&self, key: &str) -> Option<OrganisationName> {
        let digest = crate::conf::digest(key);
        self.config()
            .keys
            .get(&digest)
            .map(|g| g.organisation.clone())
    }

    /// Returns the permits for connections to a worker, `MAX_CONNECTIONS_PER_WORKER` in total.
    pub fn connection_permits(&self, address: &Arc<str>) -> Arc<Semaphore> {
        let mut all = self
            .connection_permits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        all.entry(address.clone())
            .or_insert_with(|| Arc::new(Semaphore::new(MAX_CONNECTIONS_PER_WORKER)))
            .clone()
    }

    /// Starts a graceful stop: new jobs are refused, and soon also requests that are incomplete.
    pub fn start_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.core.send(Event::Stop);
        self.callers.start_stop();
    }

    /// Returns the monotonic time since the daemon started, in ms.
    pub fn now(&self) -> Millis {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
