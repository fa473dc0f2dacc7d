//! Runs the cell while this node is the owner.

use {
    crate::{
        core::{CallId, Millis},
        entry::{
            CellQuery, Commit, PeerMessage, Shared, advice, clock, committer, event_log::Latency,
            owner_watch, takeover,
        },
        fleet::{
            AdvisedExecutor, Cell, CellBounds, CellEffect, CellEvent, EpochRecord, ExecutorCommand,
            ExecutorId, FleetEvent, JobId, Now, OWNER_STEP_DOWN_MS, Submission,
        },
        platform::StoreError,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::{sync::mpsc, task::JoinSet},
};

/// Time between looks at what time alone changes.
const TICK: Duration = Duration::from_millis(100);

/// Events taken in before the next decisions.
const BATCH: usize = 256;

/// Time until an unanswered start, stop or pace order counts as lost; executors answer at once.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(300);

/// Time beyond its own wait until an unanswered renewal counts as lost.
const RENEW_TIMEOUT: Duration = Duration::from_millis(500);

/// Time beyond the service's own until a call for advice counts as lost, in ms.
const ADVICE_TIMEOUT_MS: Millis = 2_000;

/// One input of the owner's task.
#[derive(Debug)]
pub enum OwnerInput {
    Cell(CellEvent),
    Submitted(Box<Submission>),
    Cancelled(JobId),
    Query(CellQuery),
    PeerUp {
        node: Arc<str>,
        tx: mpsc::Sender<PeerMessage>,
    },
    PeerDown {
        node: Arc<str>,
    },
    AdviceReply {
        call: CallId,
        advised: Option<Vec<AdvisedExecutor>>,
        valid_ms: Millis,
    },
    /// A newer owner exists.
    StepDown,
}

/// Proof of ownership: the epoch key as this node wrote it.
#[derive(Clone, Debug)]
pub struct OwnershipClaim {
    pub epoch: EpochRecord,
    pub revision: u64,
}

struct OwnerTask {
    shared: Arc<Shared>,
    cell: Cell,
    tx: mpsc::UnboundedSender<OwnerInput>,
    commits: mpsc::UnboundedSender<Commit>,
    peers: HashMap<Arc<str>, mpsc::Sender<PeerMessage>>,
    deposed: bool,
    tasks: JoinSet<()>,
}

/// Takes over and runs the cell until a newer owner exists or the sender side closes.
pub async fn run(
    shared: Arc<Shared>,
    claim: OwnershipClaim,
    tx: mpsc::UnboundedSender<OwnerInput>,
    mut rx: mpsc::UnboundedReceiver<OwnerInput>,
) -> Result<(), StoreError> {
    let state = takeover::load(&shared).await?;
    let bounds = CellBounds {
        lease_ms: shared.settings.bounds.max_lease_ms,
        kill_grace_ms: shared.settings.bounds.kill_grace_ms,
        ended_retention_ms: shared.settings.bounds.ended_retention_ms,
    };
    let config = shared.config.borrow().clone().unwrap_or_default();
    let token = claim.epoch.token;
    let now = clock::now();
    let cell = Cell::new(token, bounds, config, state.recovered, now);
    let (commits, commit_rx) = mpsc::unbounded_channel();
    let mut task = OwnerTask {
        shared: shared.clone(),
        cell,
        tx: tx.clone(),
        commits,
        peers: HashMap::new(),
        deposed: false,
        tasks: JoinSet::new(),
    };
    let commit = committer::run(
        shared.clone(),
        claim.epoch,
        claim.revision,
        commit_rx,
        tx.clone(),
    );
    task.tasks.spawn(commit);
    for info in state.executors {
        task.cell.step(CellEvent::Listed(info), now);
    }
    let servers =
        owner_watch::watch_executors(shared.clone(), tx.clone(), state.executors_revision);
    task.tasks.spawn(servers);
    let work = owner_watch::watch_work(shared.clone(), tx.clone(), state.work_revision);
    task.tasks.spawn(work);
    task.tasks
        .spawn(owner_watch::watch_config(shared.clone(), tx.clone()));
    task.set_advice_nodes(now);
    shared.set_local_owner(Some(tx));
    shared.log_event(FleetEvent::OwnerClaimed, &format!("token={token}"));
    task.serve(&mut rx).await;
    shared.set_local_owner(None);
    shared.log_event(FleetEvent::OwnerLost, &format!("token={token}"));
    task.tasks.shutdown().await;
    Ok(())
}

/// Waits until the cell has tasks to place; for ever if it has none.
async fn next_round_due(due: Option<Millis>) {
    match due {
        Some(at) => {
            let pause = at.saturating_sub(clock::mono());
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        None => std::future::pending().await,
    }
}

impl OwnerTask {
    async fn serve(&mut self, rx: &mut mpsc::UnboundedReceiver<OwnerInput>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH);
        while !self.deposed {
            let due = self.cell.next_round_due().filter(|_| !self.alone());
            tokio::select! {
                count = rx.recv_many(&mut batch, BATCH) => {
                    if count == 0 { return }
                    let now = clock::now();
                    for input in batch.drain(..) {
                        self.take(input, now);
                    }
                }
                _ = tick.tick() => self.cell.step(CellEvent::Tick, clock::now()),
                () = next_round_due(due) => {}
            }
            let now = clock::now();
            if !self.alone() {
                self.cell.plan(now);
            }
            for effect in self.cell.take_effects() {
                self.carry_out(effect);
            }
            while self.tasks.try_join_next().is_some() {}
        }
    }

    /// Tells whether another node may own the cell without this one hearing of it: neither
    /// the store nor half of the other nodes can be reached.
    fn alone(&self) -> bool {
        let others = self.shared.nodes().len().saturating_sub(1);
        let heard = self.peers.len();
        self.shared.store_age() > OWNER_STEP_DOWN_MS && heard * 2 < others.max(1)
    }

    fn take(&mut self, input: OwnerInput, now: Now) {
        match input {
            OwnerInput::Cell(event) => self.cell.step(event, now),
            OwnerInput::Submitted(submission) => {
                self.cell.step(CellEvent::Submitted(submission), now);
            }
            OwnerInput::Cancelled(job) => self.cell.step(CellEvent::Cancelled(job), now),
            OwnerInput::Query(question) => question.run(&self.cell, now),
            OwnerInput::PeerUp { node, tx } => {
                self.peers.insert(node, tx);
                self.set_advice_nodes(now);
            }
            OwnerInput::PeerDown { node } => {
                if self.peers.get(&node).is_some_and(mpsc::Sender::is_closed) {
                    self.peers.remove(&node);
                }
                self.set_advice_nodes(now);
            }
            OwnerInput::AdviceReply {
                call,
                advised,
                valid_ms,
            } => {
                let event = CellEvent::AdviceResult {
                    call,
                    advised,
                    valid_ms,
                };
                self.cell.step(event, now);
            }
            OwnerInput::StepDown => self.deposed = true,
        }
    }

    fn set_advice_nodes(&mut self, now: Now) {
        let mut nodes: Vec<Arc<str>> = self.peers.keys().cloned().collect();
        nodes.push(self.shared.node.clone());
        self.cell.step(CellEvent::AdviceNodes(nodes), now);
    }

    fn carry_out(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Command {
                call,
                executor,
                address,
                command,
                new_connection,
            } => self.send_command(call, executor, address, command, new_connection),
            CellEffect::RequestAdvice {
                call,
                node,
                step,
                executors,
            } => self.request_advice(call, &node, step, executors),
            CellEffect::Commit { call, writes } => {
                if self.commits.send(Commit { call, writes }).is_err() {
                    self.deposed = true;
                }
            }
            CellEffect::FirstStart { wait_ms } => {
                self.shared
                    .event_log
                    .record_latency(Latency::FirstStart, wait_ms);
            }
            CellEffect::Log { event, detail } => self.shared.log_event(event, &detail),
            CellEffect::StepDown => self.deposed = true,
        }
    }

    fn send_command(
        &mut self,
        call: CallId,
        executor: ExecutorId,
        address: Arc<str>,
        command: ExecutorCommand,
        new_connection: bool,
    ) {
        let (client, tx) = (self.shared.executor_client.clone(), self.tx.clone());
        let timeout = match &command {
            ExecutorCommand::Renew(renewal) => {
                RENEW_TIMEOUT + Duration::from_millis(renewal.wait_ms)
            }
            _ => COMMAND_TIMEOUT,
        };
        self.tasks.spawn(async move {
            let result = client
                .send_command(&executor, &address, &command, timeout, new_connection)
                .await;
            let event = CellEvent::CommandResult {
                call,
                executor,
                result,
            };
            let _ = tx.send(OwnerInput::Cell(event));
        });
    }

    fn request_advice(
        &mut self,
        call: CallId,
        node: &Arc<str>,
        step: crate::fleet::StepId,
        executors: Vec<ExecutorId>,
    ) {
        let timeout_ms = ADVICE_TIMEOUT_MS;
        if *node == self.shared.node {
            let (shared, tx) = (self.shared.clone(), self.tx.clone());
            self.tasks.spawn(async move {
                let (advised, valid_ms) =
                    advice::request_advice(&shared, step, &executors, timeout_ms).await;
                let input = OwnerInput::AdviceReply {
                    call,
                    advised,
                    valid_ms,
                };
                let _ = tx.send(input);
            });
            return;
        }
        let message = PeerMessage::AdviceRequest {
            call,
            step,
            executors,
            timeout_ms,
        };
        let sent = self
            .peers
            .get(node)
            .is_some_and(|tx| tx.try_send(message).is_ok());
        if !sent {
            let input = OwnerInput::AdviceReply {
                call,
                advised: None,
                valid_ms: 0,
            };
            let _ = self.tx.send(input);
        }
    }
}
