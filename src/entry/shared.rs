//! What the tasks of one node share.

use {
    crate::{
        core::Millis,
        entry::{EventLog, NodeStatus, OwnerInput, OwnerLink, clock},
        fleet::{FleetConfig, FleetEvent, NodeRecord, OwnerRecord},
        platform::{ExecutorClient, NodeSettings, StoreClient},
    },
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::{mpsc, watch},
};

/// Time without a successful call to the store after which the node takes no new work, in
/// ms: the platform counts a request as not owed after 0.6 of its 5 s for withdrawn keys.
const STORE_AWAY_MS: Millis = 2_500;

/// Time that a hidden change of the configuration may add to its age, in ms: a watch can
/// miss changes for a second before its history is dropped.
const HIDDEN_CHANGE_MS: Millis = 1_500;

/// State of one node.
#[derive(Debug)]
pub struct Shared {
    /// Name of this life of the node.
    pub node: Arc<str>,
    pub settings: NodeSettings,
    pub event_log: EventLog,
    pub store: StoreClient,
    pub executor_client: ExecutorClient,
    /// Connection to the owner, if it is another node.
    pub owner_link: OwnerLink,
    /// The owner as the store names it.
    pub owner: watch::Sender<Option<OwnerRecord>>,
    /// Configuration in force here.
    pub config: watch::Sender<Option<Arc<FleetConfig>>>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Sent at this time, a read confirmed the configuration.
    config_at: Millis,
    store_at: Millis,
    /// Whether the loss of the store was logged.
    store_lost: bool,
    draining: bool,
    local_owner: Option<mpsc::UnboundedSender<OwnerInput>>,
    nodes: Vec<NodeRecord>,
}

impl Shared {
    /// Creates the state of a node that has not read anything yet.
    pub fn new(settings: NodeSettings, node: Arc<str>, event_log: EventLog) -> Self {
        Self {
            node,
            store: StoreClient::new(settings.store_address),
            executor_client: ExecutorClient::default(),
            owner_link: OwnerLink::default(),
            owner: watch::channel(None).0,
            config: watch::channel(None).0,
            state: Mutex::new(State::default()),
            settings,
            event_log,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a successful call to the store.
    pub fn record_store_success(&self) {
        let mut state = self.state();
        state.store_at = clock::mono();
        if std::mem::take(&mut state.store_lost) {
            drop(state);
            self.log_event(FleetEvent::StoreRegained, "");
        }
    }

    /// Notes a failed call to the store.
    pub fn record_store_failure(&self) {
        let mut state = self.state();
        let age = clock::mono().saturating_sub(state.store_at);
        if age > STORE_AWAY_MS && !state.store_lost {
            state.store_lost = true;
            drop(state);
            self.log_event(FleetEvent::StoreLost, &format!("age_ms={age}"));
        }
    }

    /// Returns how long ago the store last answered, in ms.
    pub fn store_age(&self) -> Millis {
        clock::mono().saturating_sub(self.state().store_at)
    }

    /// Returns how long ago a read confirmed the configuration, in ms.
    pub fn config_age(&self) -> Millis {
        clock::mono().saturating_sub(self.state().config_at)
    }

    /// Notes that a read sent at `sent` confirmed the configuration.
    pub fn record_config_confirmed(&self, sent: Millis) {
        let mut state = self.state();
        state.config_at = state.config_at.max(sent);
    }

    /// Returns the configuration in force unless it is too old to tell which keys hold.
    pub fn fresh_config(&self) -> Option<Arc<FleetConfig>> {
        let limit = self
            .settings
            .bounds
            .revocation_grace_ms
            .saturating_sub(HIDDEN_CHANGE_MS);
        if self.config_age() > limit {
            return None;
        }
        self.config.borrow().clone()
    }

    /// Tells whether the balancer may send connections.
    pub fn is_ready(&self) -> bool {
        !self.state().draining && self.store_age() < STORE_AWAY_MS && self.fresh_config().is_some()
    }

    /// Returns the node's view of itself.
    pub fn node_status(&self) -> NodeStatus {
        let state = self.state();
        let now = clock::mono();
        NodeStatus {
            node: self.node.clone(),
            zone: self.settings.zone.clone(),
            owner: self.owner.borrow().as_ref().map(|o| o.node.clone()),
            is_owner: state.local_owner.is_some(),
            config_version: self.config.borrow().as_ref().map_or(0, |c| c.version),
            config_age_ms: now.saturating_sub(state.config_at),
            store_age_ms: now.saturating_sub(state.store_at),
            nodes: state.nodes.len(),
            draining: state.draining,
        }
    }

    /// Returns the node's figures in the usual text format of metrics.
    pub fn metrics(&self) -> String {
        let status = self.node_status();
        self.event_log.render_metrics(&[
            ("config_version", status.config_version),
            ("config_age_ms", status.config_age_ms),
            ("store_age_ms", status.store_age_ms),
            ("nodes", status.nodes as u64),
            ("is_owner", u64::from(status.is_owner)),
            ("draining", u64::from(status.draining)),
        ])
    }

    /// Begins a graceful stop.
    pub fn start_drain(&self) {
        self.state().draining = true;
    }

    /// Tells whether a graceful stop began.
    pub fn is_draining(&self) -> bool {
        self.state().draining
    }

    /// Sets the way to the cell, if this node owns it.
    pub fn set_local_owner(&self, tx: Option<mpsc::UnboundedSender<OwnerInput>>) {
        self.state().local_owner = tx;
    }

    /// Returns the way to the cell, if this node owns it.
    pub fn local_owner(&self) -> Option<mpsc::UnboundedSender<OwnerInput>> {
        self.state().local_owner.clone()
    }

    /// Sets the live nodes.
    pub fn set_nodes(&self, nodes: Vec<NodeRecord>) {
        self.state().nodes = nodes;
    }

    /// Returns the live nodes, by name.
    pub fn nodes(&self) -> Vec<NodeRecord> {
        self.state().nodes.clone()
    }

    /// Logs a numbered event.
    pub fn log_event(&self, event: FleetEvent, detail: &str) {
        self.event_log.write(event, detail);
    }
}
