//! Runs the core: feeds it events in turn and carries out its effects.

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

/// Period of reads of the VM list.
const VM_LIST_PERIOD: Duration = Duration::from_secs(2);

/// Owns the core and its channels.
pub struct CoreTask {
    pub node: Node,
    pub shared: Arc<Shared>,
    pub mesh: PeerMesh,
    pub platform: PlatformClient,
    /// Set to true when a graceful stop is complete.
    pub done: watch::Sender<bool>,
    out: EffectBuffer,
    replies: BTreeMap<ReplyId, mpsc::UnboundedSender<CoreReply>>,
    /// Configuration revision and withdrawn keys last copied to `shared`.
    copied: (u64, usize),
}

impl CoreTask {
    /// Creates the task of a node.
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
            out: EffectBuffer::default(),
            replies: BTreeMap::new(),
            copied: (0, 0),
        }
    }

    /// Runs until the channels close.
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
                    Some(input) => self.input(input),
                    None => return,
                },
                Some((from, message)) = peers.recv() => {
                    self.step(Event::Message { from, message });
                }
                _ = ticker.tick() => self.tick(),
            }
        }
    }

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

    fn input(&mut self, input: CoreInput) {
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
        let effects = self.node.step(event, now, &mut self.out);
        for effect in effects {
            self.carry_out(effect);
        }
        self.copy_config();
    }

    /// Copies a changed configuration to the interfaces, without withdrawn keys.
    fn copy_config(&mut self) {
        let cluster = &self.node.cluster;
        let version = (cluster.config.revision, cluster.revoked_keys.len());
        if version == self.copied {
            return;
        }
        self.copied = version;
        let mut config = Config::clone(&cluster.config);
        config
            .keys
            .retain(|digest, _| !cluster.revoked_keys.contains(digest));
        self.shared.set_config(Arc::new(config));
    }

    fn carry_out(&mut self, effect: Effect) {
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
                    let answer = platform.call_worker(&address, &op).await;
                    core.send(Event::Worker { call, answer });
                });
            }
            Effect::RequestReply { reply, body } => self.reply(reply, CoreReply::Request(body)),
            Effect::JobReply { reply, body } => self.reply(reply, CoreReply::Job(body)),
            Effect::AdminReply { reply, body } => self.reply(reply, CoreReply::Admin(body)),
            Effect::Log { event, detail } => self.log(event, &detail),
        }
    }

    fn reply(&mut self, reply: ReplyId, body: CoreReply) {
        if let Some(tx) = self.replies.get(&reply) {
            let _ = tx.send(body);
        }
    }

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
