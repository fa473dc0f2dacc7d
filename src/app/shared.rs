//! What the parts of a daemon share.

use {
    crate::{
        app::Meter,
        conf::Settings,
        core::{Config, Event, Millis, Node, OrganisationName, ReplyId},
        net::HttpClient,
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

/// An inspection of the core between two steps.
pub type InspectFn = Box<dyn FnOnce(&Node, Millis) + Send>;

/// Input of the core task.
pub enum CoreInput {
    Event(Event),
    /// An event whose replies go to a channel.
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

/// Sends events to the core task.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    tx: mpsc::UnboundedSender<CoreInput>,
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

    /// Sends an event that nobody waits for.
    pub fn send(&self, event: Event) {
        let _ = self.tx.send(CoreInput::Event(event));
    }

    /// Sends an event and returns the number and channel of its replies.
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

    /// Reads from the core; `None` if the core task has ended.
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

/// State that the interfaces of one daemon read.
#[derive(Debug)]
pub struct Shared {
    pub settings: Settings,
    pub core: CoreHandle,
    pub meter: Meter,
    pub log: slog::Logger,
    /// Pooled connections, for idempotent requests.
    pub pooled_client: HttpClient,
    /// Connections used once, for requests that must not run twice.
    pub unpooled_client: HttpClient,
    /// Copy of the core's configuration, keys withdrawn ahead of the store left out.
    config: Mutex<Arc<Config>>,
    /// Connections in use by worker address.
    connection_permits: Mutex<BTreeMap<Arc<str>, Arc<Semaphore>>>,
    pub stopping: AtomicBool,
    pub started: Instant,
}

/// Most connections that a node opens to one worker.
const WORKER_CONNECTIONS: usize = 64;

impl Shared {
    /// Creates the shared state of a daemon.
    pub fn new(settings: Settings, core: CoreHandle, log: slog::Logger) -> Self {
        Self {
            settings,
            core,
            meter: Meter::default(),
            log,
            pooled_client: HttpClient::new(crate::net::Pooling::Reuse),
            unpooled_client: HttpClient::new(crate::net::Pooling::PerRequest),
            config: Mutex::default(),
            connection_permits: Mutex::default(),
            stopping: AtomicBool::new(false),
            started: Instant::now(),
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config.clone()
    }

    /// Replaces the configuration.
    pub fn set_config(&self, config: Arc<Config>) {
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = config;
    }

    /// Returns the team of a key.
    pub fn organisation_of_key(&self, key: &str) -> Option<OrganisationName> {
        let digest = crate::conf::digest(key);
        self.config()
            .keys
            .get(&digest)
            .map(|g| g.organisation.clone())
    }

    /// Returns the permits for connections to a worker.
    pub fn connection_permits(&self, address: &Arc<str>) -> Arc<Semaphore> {
        let mut all = self
            .connection_permits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        all.entry(address.clone())
            .or_insert_with(|| Arc::new(Semaphore::new(WORKER_CONNECTIONS)))
            .clone()
    }

    /// Milliseconds since the daemon started.
    pub fn now(&self) -> Millis {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
