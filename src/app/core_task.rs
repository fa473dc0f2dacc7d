//! The task that owns the core: passes it one event at a time and carries out its effects. The
//! daemon starts it; all others reach the core through [`CoreHandle`](crate::app::CoreHandle).
//! It must not block: store, worker and VM list calls run in tasks of their own and come back as
//! events.

use {
    crate::{
        app::shared::{CoreInput, CoreReply, Shared},
        core::{Config, Effect, EffectBuffer, Event, LogEvent, Millis, Node, ReplyId},
        net::{InboundMessage, PeerMesh, PlatformClient},
    },
    slog::{info, warn},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::sync::{mpsc, watch},
};

/// Interval between reads of the VM list.
const VM_LIST_PERIOD: Duration = Duration::from_secs(2);

/// Owns the core, its connections and the channels of pending replies.
pub struct CoreTask {
    pub node: Node,
    pub shared: Arc<Shared>,
    pub mesh: PeerMesh,
    pub platform: PlatformClient,
    /// Set to true when a graceful stop is complete.
    pub done: watch::Sender<bool>,
    effects: EffectBuffer,
    /// Channels of local callers, removed at the first tick after the receiver is dropped.
    replies: BTreeMap<ReplyId, mpsc::UnboundedSender<CoreReply>>,
    /// Configuration revision and number of revoked keys last published to `shared`.
    published_version: (u64, usize),
}

impl CoreTask {
    /// Creates the task of a node; [`Self::run`] starts it.
    pub fn new(
        node: Node,
        shared: Arc<Shared>,
        mesh: PeerMesh,
        platform: PlatformClient,
        done: watch::Sender<bool>,
    ) -> Self {
        Self {
            node,
            shared,
            mesh,
            platform,
            done,
            effects: EffectBuffer::default(),
            replies: BTreeMap::new(),
            published_version: (0, 0),
        }
    }

    /// Runs until the task is aborted or the input channel closes. Ticks that are missed under load
    /// are skipped.
    pub async fn run(
        mut self,
        mut rx: mpsc::UnboundedReceiver<CoreInput>,
        mut peers: mpsc::Receiver<InboundMessage>,
        tick_ms: Millis,
    ) {
        let mut ticker = tokio::time::interval(Duration::from_millis(tick_ms));
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        self.poll_vm_list();
        loop {
            tokio::select! {
                input = rx.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                Some((from, message)) = peers.recv() => {
                    self.step(Event::Message { from, message });
                }
                _ = ticker.tick() => self.tick(),
            }
        }
    }

    /// Starts a task that reads the VM list at intervals; a failed read is left to the next one.
    fn poll_vm_list(&self) {
        let platform = self.platform.clone();
        let core = self.shared.core.clone();
        tokio::spawn(async move {
            loop {
                if let Ok(list) = platform.list_vms().await {
                    core.send(Event::VmList(list));
                }
                tokio::time::sleep(VM_LIST_PERIOD).await;
            }
        });
    }

    /// Steps the core's timers, and closes connections and reply channels no longer needed.
    fn tick(&mut self) {
        self.step(Event::Tick);
        let now = self.shared.now();
        if self.node.shutdown_complete(now) {
            self.done.send_replace(true);
        }
        let members: BTreeSet<_> = self.node.cluster.other_members().cloned().collect();
        self.mesh.retain(|id| members.contains(id));
        self.replies.retain(|_, tx| !tx.is_closed());
    }

    fn handle_input(&mut self, input: CoreInput) {
        match input {
            CoreInput::Event(event) => self.step(event),
            CoreInput::EventWithReplies { reply, event, tx } => {
                self.replies.insert(reply, tx);
                self.step(event);
            }
            CoreInput::Inspect(inspect) => inspect(&self.node, self.shared.now()),
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.shared.now();
        let effects = self.node.step(event, now, &mut self.effects);
        for effect in effects {
            self.apply_effect(effect);
        }
        self.publish_config();
    }

    /// Publishes a changed configuration to the interfaces, without revoked keys.
    fn publish_config(&mut self) {
        let cluster = &self.node.cluster;
        let version = (cluster.config.revision, cluster.revoked_keys.len());
        if version == self.published_version {
            return;
        }
        self.published_version = version;
        let mut config = Config::clone(&cluster.config);
        config
            .keys
            .retain(|digest, _| !cluster.revoked_keys.contains(digest));
        self.shared.set_config(Arc::new(config));
    }

    /// Carries out an effect; the results of calls come back as events.
    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                if let Some(address) = self.node.cluster.peer_address(&to) {
                    self.mesh.send(&to, &address, &message);
                }
            }
            Effect::Store { call, op } => {
                let (platform, core) = (self.platform.clone(), self.shared.core.clone());
                tokio::spawn(async move {
                    let result = platform.call_store(&op).await;
                    core.send(Event::Store { call, result });
                });
            }
            Effect::Worker {
                call, address, op, ..
            } => {
                let (platform, core) = (self.platform.clone(), self.shared.core.clone());
                tokio::spawn(async move {
                    let reply = platform.call_worker(&address, &op).await;
                    core.send(Event::Worker { call, reply });
                });
            }
            Effect::RequestReply { reply, body } => self.reply(reply, CoreReply::Request(body)),
            Effect::JobReply { reply, body } => self.reply(reply, CoreReply::Job(body)),
            Effect::AdminReply { reply, body } => self.reply(reply, CoreReply::Admin(body)),
            Effect::Log { event, detail } => self.log(event, &detail),
        }
    }

    /// Sends a reply to the local caller that waits for it, if there still is one.
    fn reply(&mut self, reply: ReplyId, body: CoreReply) {
        if let Some(tx) = self.replies.get(&reply) {
            let _ = tx.send(body);
        }
    }

    /// Writes a log line; a violated invariant is a warning and is counted.
    fn log(&self, event: LogEvent, detail: &str) {
        let number = event.number();
        let name = event.name();
        if event == LogEvent::InvariantBroken {
            self.shared
                .meter
                .invariant_violations
                .fetch_add(1, Ordering::Relaxed);
            warn!(self.shared.log, "{}", name; "event" => number, "detail" => detail);
        } else {
            info!(self.shared.log, "{}", name; "event" => number, "detail" => detail);
        }
    }
}
