//! State shared by all tasks of one node: clients, the current owner and configuration, and when
//! the store was last reached. The daemon creates it. It decides only whether the node is ready
//! for callers; it starts no tasks and writes nothing to the store.

use {
    crate::{
        core::Millis,
        entry::{
            EventLog, NodeStatus, OwnerInput, OwnerLink, PeerMessage, another_node_serves, clock,
        },
        fleet::{
            Evacuations, FleetConfig, FleetEvent, MachinePhase, NodeRecord, OwnerRecord,
            policy::{LoadSummary, OwnershipProof},
        },
        platform::{ExecutorClient, NodeSettings, StoreClient},
        server::{Connections, Rejection, ServerLimits},
    },
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::{mpsc, watch},
};

/// Time without a successful call to the store after which the node takes no new work, in
/// ms. The platform no longer requires a reply after 0.6 of its 5 s grace period for revoked
/// keys.
const STORE_LOST_MS: Millis = 2_500;

/// Allowance for a configuration change that a watch has not reported, in ms. A watch can miss
/// changes for a second before its history is dropped.
const MISSED_CHANGE_MS: Millis = 1_500;

/// A lease in the store, to which the keys of this node and of the owner are tied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreLease {
    pub id: u64,
    /// The last successful call that granted or renewed it, in ms since boot. Its reply may have
    /// been processed much later.
    pub proof: OwnershipProof,
}

/// State of one node; one per process, behind an `Arc`.
#[derive(Debug)]
pub struct Shared {
    /// Name of this incarnation of the node: the VM's name and a random suffix.
    pub node: Arc<str>,
    /// Settings as read at the start.
    pub settings: NodeSettings,
    pub event_log: EventLog,
    /// Connections of callers.
    pub callers: Arc<Connections>,
    pub store: StoreClient,
    pub executor_client: ExecutorClient,
    /// Connection to the owner, used while the owner is another node.
    pub owner_link: OwnerLink,
    /// The owner according to the store; none while there is no owner.
    pub owner: watch::Sender<Option<OwnerRecord>>,
    /// This node's lease in the store; none while there is none.
    pub store_lease: watch::Sender<Option<StoreLease>>,
    /// Configuration in force on this node; none until the first read.
    pub config: watch::Sender<Option<Arc<FleetConfig>>>,
    /// Zones to evacuate, as far as this node has read them.
    pub evacuations: watch::Sender<Arc<Evacuations>>,
    /// Machines of active waves by phase, in the order of [`MachinePhase::LABELS`]; none while this
    /// node is not the owner.
    pub wave_machines: watch::Sender<[u64; MachinePhase::LABELS.len()]>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the latest read that confirmed the configuration was sent.
    config_confirmed_at: Millis,
    /// When a call to the store last succeeded; the start of the process before the first one.
    store_success_at: Millis,
    /// When the first call to the store failed since the last success.
    store_failing_since: Option<Millis>,
    /// When another node last reached the store, as far as nodes connected to this one reported.
    peer_store_success_at: Millis,
    /// Whether `StoreLost` was logged and `StoreRegained` was not yet.
    store_lost: bool,
    draining: bool,
    /// Input of the owner task, while this node is the owner.
    local_owner: Option<mpsc::UnboundedSender<OwnerInput>>,
    nodes: Vec<NodeRecord>,
    /// The latest load summary and when it arrived.
    load: Option<(Arc<LoadSummary>, Millis)>,
}

impl Shared {
    /// Creates the state of a node that has not read anything yet.
    pub fn new(settings: NodeSettings, node: Arc<str>, event_log: EventLog) -> Self {
        let limits = ServerLimits::for_callers(settings.memory_mb, settings.descriptors);
        Self {
            node,
            callers: Arc::new(Connections::new(limits)),
            store: StoreClient::new(settings.store_address),
            executor_client: ExecutorClient::default(),
            owner_link: OwnerLink::default(),
            owner: watch::channel(None).0,
            store_lease: watch::channel(None).0,
            config: watch::channel(None).0,
            evacuations: watch::channel(Arc::default()).0,
            wave_machines: watch::channel(Default::default()).0,
            state: Mutex::new(State {
                store_success_at: clock::mono(),
                ..State::default()
            }),
            settings,
            event_log,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a successful call to the store; logs `StoreRegained` after a logged loss.
    pub fn record_store_success(&self) {
        let mut state = self.state();
        state.store_success_at = clock::mono();
        state.store_failing_since = None;
        if std::mem::take(&mut state.store_lost) {
            drop(state);
            self.log_event(FleetEvent::StoreRegained, "");
        }
    }

    /// Records a failed call to the store; logs `StoreLost` once no call has succeeded for
    /// `STORE_LOST_MS`.
    pub fn record_store_failure(&self) {
        let mut state = self.state();
        let now = clock::mono();
        state.store_failing_since.get_or_insert(now);
        let age = now.saturating_sub(state.store_success_at);
        if age > STORE_LOST_MS && !state.store_lost {
            state.store_lost = true;
            drop(state);
            self.log_event(FleetEvent::StoreLost, &format!("age_ms={age}"));
        }
    }

    /// Returns the time since a call to the store last succeeded, in ms.
    pub fn store_age_ms(&self) -> Millis {
        clock::mono().saturating_sub(self.state().store_success_at)
    }

    /// Returns the message that reports this node's access to the store to another node.
    pub fn health(&self) -> PeerMessage {
        let store_age_ms = self.store_age_ms();
        PeerMessage::Health { store_age_ms }
    }

    /// Returns the last proof that a lease of this node is live; none if it has ended.
    pub fn ownership_proof(&self, lease: u64) -> Option<OwnershipProof> {
        let current = self.store_lease.borrow();
        current.filter(|l| l.id == lease).map(|l| l.proof)
    }

    /// Records that a connected node reached the store `store_age_ms` ago.
    pub fn record_peer_health(&self, store_age_ms: Millis) {
        let success_at = clock::mono().saturating_sub(store_age_ms);
        let mut state = self.state();
        state.peer_store_success_at = state.peer_store_success_at.max(success_at);
    }

    /// Returns whether the store rejects this node while it serves another one.
    pub fn another_node_serves(&self) -> bool {
        let state = self.state();
        let peer_success_at = state.peer_store_success_at;
        another_node_serves(state.store_failing_since, peer_success_at, clock::mono())
    }

    /// Returns the age of the latest confirmation of the configuration, in ms.
    pub fn config_age_ms(&self) -> Millis {
        clock::mono().saturating_sub(self.state().config_confirmed_at)
    }

    /// Records that a read sent at `sent_at` (ms since boot) confirmed the configuration.
    pub fn record_config_confirmed(&self, sent_at: Millis) {
        let mut state = self.state();
        state.config_confirmed_at = state.config_confirmed_at.max(sent_at);
    }

    /// Returns the configuration in force; none if it is too old to know which API keys are valid.
    pub fn fresh_config(&self) -> Option<Arc<FleetConfig>> {
        let max_age = self
            .settings
            .bounds
            .revocation_grace_ms
            .saturating_sub(MISSED_CHANGE_MS);
        if self.config_age_ms() > max_age {
            return None;
        }
        self.config.borrow().clone()
    }

    /// Returns whether a zone is being evacuated, as far as this node knows.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.borrow().includes(zone)
    }

    /// Returns whether the load balancer may send connections to this node.
    pub fn is_ready(&self) -> bool {
        !self.state().draining
            && self.store_age_ms() < STORE_LOST_MS
            && self.fresh_config().is_some()
    }

    /// Keeps a load summary that has just arrived, unless a newer one is kept.
    pub fn set_load(&self, summary: LoadSummary) {
        let mut state = self.state();
        let kept = state.load.as_ref();
        if kept.is_none_or(|(kept, _)| kept.version < summary.version) {
            state.load = Some((Arc::new(summary), clock::mono()));
        }
    }

    /// Returns the latest load summary of the present owner and its age in ms; drops one of an
    /// earlier owner.
    pub fn load(&self) -> Option<(Arc<LoadSummary>, Millis)> {
        let owner = self.owner.borrow().as_ref().map(|o| o.token);
        let mut state = self.state();
        let (summary, arrived_at) = state.load.clone()?;
        let token = summary.owner_token();
        if owner.is_some_and(|owner| token < owner) {
            state.load = None;
        }
        let age_ms = clock::mono().saturating_sub(arrived_at);
        (owner == Some(token)).then_some((summary, age_ms))
    }

    /// Returns the node's status for operators.
    pub fn node_status(&self) -> NodeStatus {
        let state = self.state();
        let now = clock::mono();
        NodeStatus {
            node: self.node.clone(),
            zone: self.settings.zone.clone(),
            owner: self.owner.borrow().as_ref().map(|o| o.node.clone()),
            is_owner: state.local_owner.is_some(),
            config_version: self.config.borrow().as_ref().map_or(0, |c| c.version),
            config_age_ms: now.saturating_sub(state.config_confirmed_at),
            store_age_ms: now.saturating_sub(state.store_success_at),
            nodes: state.nodes.len(),
            draining: state.draining,
        }
    }

    /// Returns the node's metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let status = self.node_status();
        let evacuated_zones = self.evacuations.borrow().zones.len();
        let backlogged_queues = self.load().map_or(0, |(load, _)| load.queues.len());
        let mut gauges = vec![
            ("config_version", status.config_version),
            ("config_age_ms", status.config_age_ms),
            ("store_age_ms", status.store_age_ms),
            ("nodes", status.nodes as u64),
            ("is_owner", u64::from(status.is_owner)),
            ("draining", u64::from(status.draining)),
            ("evacuated_zones", evacuated_zones as u64),
            ("backlogged_queues", backlogged_queues as u64),
            ("caller_connections", self.callers.count() as u64),
            ("caller_held_bytes", self.callers.held_bytes() as u64),
        ];
        let rejections = self.callers.rejections();
        let rejected = Rejection::ALL.map(|reason| {
            let name = format!("callers_rejected_total{{reason=\"{}\"}}", reason.name());
            (name, rejections.get(reason))
        });
        gauges.extend(rejected.iter().map(|(name, count)| (name.as_str(), *count)));
        let machine_gauges =
            MachinePhase::LABELS.map(|l| format!("wave_machines{{state=\"{l}\"}}"));
        if self.settings.upkeep.is_some() {
            let counts = *self.wave_machines.borrow();
            gauges.extend(machine_gauges.iter().map(String::as_str).zip(counts));
        }
        self.event_log.render_metrics(&gauges)
    }

    /// Starts a graceful stop: the node is no longer ready and gives up ownership.
    pub fn start_drain(&self) {
        self.state().draining = true;
    }

    /// Returns whether a graceful stop has started.
    pub fn is_draining(&self) -> bool {
        self.state().draining
    }

    /// Sets the input of the owner task; none when this node stops being the owner.
    pub fn set_local_owner(&self, tx: Option<mpsc::UnboundedSender<OwnerInput>>) {
        self.state().local_owner = tx;
    }

    /// Returns the input of the owner task; none if this node is not the owner.
    pub fn local_owner(&self) -> Option<mpsc::UnboundedSender<OwnerInput>> {
        self.state().local_owner.clone()
    }

    /// Replaces the list of live nodes.
    pub fn set_nodes(&self, nodes: Vec<NodeRecord>) {
        self.state().nodes = nodes;
    }

    /// Returns whether every live node reads the records of large jobs; an owner of an earlier version
    /// would leave such a job alone.
    pub fn all_nodes_read_large_jobs(&self) -> bool {
        let state = self.state();
        !state.nodes.is_empty() && state.nodes.iter().all(NodeRecord::reads_large_jobs)
    }

    /// Returns the live nodes, sorted by name.
    pub fn nodes(&self) -> Vec<NodeRecord> {
        self.state().nodes.clone()
    }

    /// Counts a numbered event and logs it, subject to the rate limit of [`EventLog::log`].
    pub fn log_event(&self, event: FleetEvent, detail: &str) {
        self.event_log.log(event, detail);
    }
}
