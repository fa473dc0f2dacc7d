//! Runs the cell while this node is the owner: feeds it events and executes its effects. Called
//! by the election in `membership` after a successful claim. One task owns the cell; it must not
//! block or wait for I/O, which runs in tasks of its own.

use {
    crate::{
        core::{CallId, Millis},
        entry::{
            CellQuery, Commit, Dispatch, LoadPublisher, PeerMessage, RemoteCall, RemoteCommand,
            Shared, advice, clock, committer, event_log::Latency, owner_watch,
            peer_message::DispatchOffer, takeover, upkeep,
        },
        fleet::{
            AdvisedExecutor, Cell, CellBounds, CellEffect, CellEvent, CommandError, CommandReply,
            EpochRecord, ExecutorCommand, ExecutorId, FleetEvent, JobId, Now, Submission,
            policy::{Dispatcher, OwnershipProof},
        },
        platform::StoreError,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::{sync::mpsc, task::JoinSet},
};

/// Time between ticks of the cell, for state that changes only with time.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Max number of inputs processed before the next round.
const MAX_BATCH: usize = 256;

/// Number of executors from which other nodes send the commands. With fewer the owner's exchange
/// takes a few percent of a core, and the loss of a node would delay a larger part of them.
const MIN_DISPATCH_EXECUTORS: usize = 100;

/// Time after which another node must not send a command that it was passed, in ms; the owner waits
/// as much longer for the reply.
const MAX_DISPATCH_DELAY_MS: Millis = 250;

/// Timeout of a call for advice, in ms, including the time that the advice service takes.
const ADVICE_TIMEOUT_MS: Millis = 2_000;

/// One input of the owner task.
#[derive(Debug)]
pub enum OwnerInput {
    Cell(CellEvent),
    /// A job was stored; may be repeated.
    Submitted(Box<Submission>),
    /// A cancellation was stored; may be repeated.
    Cancelled(JobId),
    Query(CellQuery),
    /// An entry node connected; `tx` sends messages to it.
    PeerUp {
        node: Arc<str>,
        tx: mpsc::Sender<PeerMessage>,
    },
    /// A connection of an entry node ended; the node may already have a newer one.
    PeerDown {
        node: Arc<str>,
    },
    /// Result of a call for advice; `advised` is none if the call failed.
    AdviceReply {
        call: CallId,
        advised: Option<Vec<AdvisedExecutor>>,
        /// How long the tickets are valid, in ms; 0 if unknown.
        valid_ms: Millis,
    },
    /// An entry node read its clock, and offers to send commands or, if none, no longer does.
    DispatchOffer {
        node: Arc<str>,
        /// The node's time since boot, in ms.
        node_ms: Millis,
        offer: Option<DispatchOffer>,
    },
    /// An entry node sent a command for this one and passes the reply on.
    RemoteReply {
        call: CallId,
        result: Result<CommandReply, CommandError>,
    },
    /// This node gives up ownership as planned.
    HandOver,
    /// There is a newer owner, or a hand-over takes too long.
    StepDown,
}

/// Result of a successful claim.
#[derive(Clone, Debug)]
pub struct OwnershipClaim {
    /// The epoch record as this node wrote it.
    pub epoch: EpochRecord,
    /// Revision of the epoch record.
    pub revision: u64,
    /// Store lease to which the owner key is tied: once it has ended, another node may own the
    /// cell.
    pub lease: u64,
}

/// A command of the cell that is to be sent.
#[derive(Debug)]
struct OutgoingCommand {
    call: CallId,
    executor: ExecutorId,
    address: Arc<str>,
    command: ExecutorCommand,
    timeout_ms: Millis,
    /// Whether to open a new connection.
    new_connection: bool,
}

struct OwnerTask {
    shared: Arc<Shared>,
    cell: Cell,
    tx: mpsc::UnboundedSender<OwnerInput>,
    commits: mpsc::UnboundedSender<Commit>,
    peers: HashMap<Arc<str>, mpsc::Sender<PeerMessage>>,
    dispatch: Dispatch,
    load: LoadPublisher,
    /// End of the last proof of ownership, in ms since boot.
    proved_until: Millis,
    /// Store lease of the claim.
    lease: u64,
    /// Whether no other node could own the cell at the last check.
    sole_owner: bool,
    stepped_down: bool,
    tasks: JoinSet<()>,
}

/// Takes over the cell and runs it until [`OwnerInput::StepDown`] or until all senders of `rx` are
/// gone.
///
/// # Errors
///
/// If the state of the previous owner cannot be read from the store.
pub async fn run(
    shared: Arc<Shared>,
    claim: OwnershipClaim,
    tx: mpsc::UnboundedSender<OwnerInput>,
    mut rx: mpsc::UnboundedReceiver<OwnerInput>,
) -> Result<(), StoreError> {
    let state = takeover::load(&shared).await?;
    let bounds = CellBounds {
        max_lease_ms: shared.settings.bounds.max_lease_ms,
        kill_grace_ms: shared.settings.bounds.kill_grace_ms,
        ended_retention_ms: shared.settings.bounds.ended_retention_ms,
        max_value_bytes: shared.settings.max_value_bytes,
        rate_burst: shared.settings.bounds.rate_burst(),
        cpu_milli: shared.settings.cpu_milli,
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
        dispatch: Dispatch::default(),
        load: LoadPublisher::new(shared.settings.bounds.refuses_overload(), token),
        proved_until: 0,
        lease: claim.lease,
        sole_owner: true,
        stepped_down: false,
        tasks: JoinSet::new(),
    };
    task.tasks
        .spawn(upkeep::run(shared.clone(), claim.clone(), tx.clone()));
    let commit = committer::run(
        shared.clone(),
        claim.epoch,
        claim.revision,
        commit_rx,
        tx.clone(),
    );
    task.tasks.spawn(commit);
    let position = state.executors_position;
    let written_after = owner_watch::list_written_after(&shared, position.sent_at);
    for info in state.executors {
        let event = CellEvent::Listed {
            info,
            written_after,
        };
        task.cell.step(event, now);
    }
    let executor_watch = owner_watch::watch_executors(shared.clone(), tx.clone(), position);
    task.tasks.spawn(executor_watch);
    let work = owner_watch::watch_work(shared.clone(), tx.clone(), state.work_revision);
    task.tasks.spawn(work);
    task.tasks
        .spawn(owner_watch::watch_config(shared.clone(), tx.clone()));
    task.tasks
        .spawn(owner_watch::watch_evacuations(shared.clone(), tx.clone()));
    task.set_advice_nodes(now);
    shared.set_local_owner(Some(tx));
    shared.log_event(FleetEvent::OwnerClaimed, &format!("token={token}"));
    task.serve(&mut rx).await;
    shared.set_local_owner(None);
    let known = task.cell.describe_stop(clock::now());
    shared.log_event(FleetEvent::OwnerStopping, &format!("token={token} {known}"));
    shared.log_event(FleetEvent::OwnerLost, &format!("token={token}"));
    task.tasks.shutdown().await;
    Ok(())
}

/// Waits until `due`, in ms since boot; for ever if it is none.
async fn next_round_due(due: Option<Millis>) {
    match due {
        Some(at) => {
            let delay = at.saturating_sub(clock::mono());
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        None => std::future::pending().await,
    }
}

impl OwnerTask {
    async fn serve(&mut self, rx: &mut mpsc::UnboundedReceiver<OwnerInput>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MAX_BATCH);
        while !self.stepped_down {
            let due = self.cell.next_round_due().filter(|_| self.sole_owner);
            tokio::select! {
                count = rx.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 { return }
                    let now = clock::now();
                    for input in batch.drain(..) {
                        self.on_input(input, now);
                    }
                }
                _ = tick.tick() => {
                    let now = clock::now();
                    self.cell.step(CellEvent::Tick, now);
                    for (call, remote) in self.dispatch.expire(now.mono) {
                        self.on_no_reply(call, remote.executor);
                    }
                    self.publish_load(now);
                }
                () = next_round_due(due) => {}
            }
            // Commands carry lease ends that are computed from the time of this check, so one that
            // is sent late extends nothing.
            let now = clock::now();
            match self.check_ownership(now) {
                Some(_) if self.sole_owner => self.cell.plan(now),
                Some(_) => {}
                None => self.stepped_down = true,
            }
            for effect in self.cell.take_effects() {
                self.execute_effect(effect);
            }
            while self.tasks.try_join_next().is_some() {}
        }
    }

    /// Returns the last proof of ownership; none once the store lease of the claim has ended, since
    /// the owner key went with it.
    fn check_ownership(&mut self, now: Now) -> Option<OwnershipProof> {
        let proof = self.shared.ownership_proof(self.lease);
        let sole_owner = proof.is_some_and(|p| p.is_sole_owner(now.mono));
        self.proved_until = proof.map_or(0, |p| p.sent_at + p.ttl_ms);
        if sole_owner != self.sole_owner {
            self.sole_owner = sole_owner;
            let age_ms = proof.map(|p| now.mono.saturating_sub(p.sent_at));
            let detail = format!("age_ms={age_ms:?} sends_commands={sole_owner}");
            self.shared
                .log_event(FleetEvent::OwnershipUnconfirmed, &detail);
        }
        proof
    }

    fn on_input(&mut self, input: OwnerInput, now: Now) {
        match input {
            OwnerInput::Cell(event) => self.cell.step(event, now),
            OwnerInput::Submitted(submission) => {
                self.cell.step(CellEvent::Submitted(submission), now);
            }
            OwnerInput::Cancelled(job) => self.cell.step(CellEvent::Cancelled(job), now),
            OwnerInput::Query(query) => query.run(&self.cell, now),
            OwnerInput::PeerUp { node, tx } => {
                self.remove_dispatcher(&node);
                self.peers.insert(node, tx);
                self.set_advice_nodes(now);
            }
            OwnerInput::PeerDown { node } => {
                if self.peers.get(&node).is_some_and(mpsc::Sender::is_closed) {
                    self.peers.remove(&node);
                    self.remove_dispatcher(&node);
                }
                self.set_advice_nodes(now);
            }
            OwnerInput::DispatchOffer {
                node,
                node_ms,
                offer,
            } => match offer {
                Some(offer) => self.set_dispatcher(node, node_ms, offer, now),
                None => self.remove_dispatcher(&node),
            },
            OwnerInput::RemoteReply { call, result } => {
                // A command that was not sent says nothing of the way to the executor. Renewals go to
                // the node again; the cell sends the others again as after any lost reply.
                let answered = !matches!(result, Err(CommandError::Unknown));
                let expired = matches!(result, Err(CommandError::Expired));
                let result = result.map_err(|e| match e {
                    CommandError::Expired => CommandError::Unknown,
                    other => other,
                });
                if let Some(remote) = self.dispatch.complete(call, answered, now.mono) {
                    let executor = remote.executor;
                    let resend = expired && self.sole_owner;
                    if let Some(command) = remote.renewal.filter(|_| resend) {
                        return self.send_command(OutgoingCommand {
                            call,
                            executor,
                            address: remote.address,
                            command,
                            timeout_ms: remote.timeout_ms,
                            new_connection: false,
                        });
                    }
                    let event = CellEvent::CommandResult {
                        call,
                        executor,
                        result,
                    };
                    self.cell.step(event, now);
                }
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
            OwnerInput::HandOver => self.cell.step(CellEvent::HandOver, now),
            OwnerInput::StepDown => self.stepped_down = true,
        }
    }

    fn set_advice_nodes(&mut self, now: Now) {
        let mut nodes: Vec<Arc<str>> = self.peers.keys().cloned().collect();
        nodes.push(self.shared.node.clone());
        self.cell.step(CellEvent::AdviceNodes(nodes), now);
    }

    fn set_dispatcher(&mut self, node: Arc<str>, node_ms: Millis, offer: DispatchOffer, now: Now) {
        let dispatcher = Dispatcher {
            node,
            zone: offer.zone,
            cpu_milli: offer.cpu_milli,
        };
        if self.dispatch.set_node(dispatcher, node_ms, now.mono) {
            self.log_dispatchers();
        }
    }

    /// Stops passing commands to a node. Renewals that it has in flight are sent again at once; the
    /// cell sends the other commands again.
    fn remove_dispatcher(&mut self, node: &str) {
        let before = self.dispatch.node_count();
        for (call, remote) in self.dispatch.remove_node(node) {
            match remote.renewal {
                Some(command) => {
                    self.send_directly(OutgoingCommand {
                        call,
                        executor: remote.executor,
                        address: remote.address,
                        command,
                        timeout_ms: remote.timeout_ms,
                        new_connection: true,
                    });
                }
                None => self.on_no_reply(call, remote.executor),
            }
        }
        if self.dispatch.node_count() != before {
            self.log_dispatchers();
        }
    }

    fn log_dispatchers(&self) {
        let detail = format!("nodes={}", self.dispatch.node_count());
        self.shared.log_event(FleetEvent::DispatchChanged, &detail);
    }

    /// Sends the load summary to all connected nodes, if one is due.
    fn publish_load(&mut self, now: Now) {
        if !self.sole_owner {
            return;
        }
        if let Some(summary) = self.load.next(&self.cell, now) {
            for peer in self.peers.values() {
                // A full queue loses it; another one follows while there is a wait.
                let _ = peer.try_send(PeerMessage::Load(Box::new(summary.clone())));
            }
            self.shared.set_load(summary);
        }
    }

    /// Reports to the cell that a command got no reply.
    fn on_no_reply(&self, call: CallId, executor: ExecutorId) {
        let event = CellEvent::CommandResult {
            call,
            executor,
            result: Err(CommandError::Unknown),
        };
        let _ = self.tx.send(OwnerInput::Cell(event));
    }

    fn execute_effect(&mut self, effect: CellEffect) {
        match effect {
            CellEffect::Command {
                call,
                executor,
                address,
                command,
                timeout_ms,
                new_connection,
            } => self.send_command(OutgoingCommand {
                call,
                executor,
                address,
                command,
                timeout_ms,
                new_connection,
            }),
            CellEffect::RequestAdvice {
                call,
                node,
                step,
                executors,
            } => self.request_advice(call, &node, step, executors),
            CellEffect::Commit { call, writes } => {
                if self.commits.send(Commit { call, writes }).is_err() {
                    self.stepped_down = true;
                }
            }
            CellEffect::FirstStart { wait_ms } => {
                self.shared
                    .event_log
                    .record_latency(Latency::FirstStart, wait_ms);
            }
            CellEffect::Log { event, detail } => self.shared.log_event(event, &detail),
            CellEffect::ReadJob(job) => {
                let read = owner_watch::read_job(self.shared.clone(), self.tx.clone(), job);
                self.tasks.spawn(read);
            }
            CellEffect::HandedOver | CellEffect::StepDown => self.stepped_down = true,
        }
    }

    /// Sends a command through the node that has the executor, or directly if the fleet is small,
    /// there is no node, or the last call failed.
    fn send_command(&mut self, outgoing: OutgoingCommand) {
        let start = matches!(outgoing.command, ExecutorCommand::Start(_));
        if start && self.shared.is_evacuated(&self.zone_of(&outgoing.executor)) {
            // The cell decided before it learned of the request.
            let event = CellEvent::CommandResult {
                call: outgoing.call,
                executor: outgoing.executor,
                result: Err(CommandError::Evacuated),
            };
            let _ = self.tx.send(OwnerInput::Cell(event));
            return;
        }
        let direct = outgoing.new_connection || self.cell.executors.len() < MIN_DISPATCH_EXECUTORS;
        if direct || !self.send_remotely(&outgoing) {
            self.send_directly(outgoing);
        }
    }

    /// Returns the availability zone of an executor; empty if it is not known.
    fn zone_of(&self, executor: &ExecutorId) -> Arc<str> {
        let known = self.cell.executors.get(executor);
        known.map_or_else(|| Arc::from(""), |e| e.info.zone.clone())
    }

    /// Passes a command to the node that has the executor; false if there is none or it takes no
    /// more messages.
    fn send_remotely(&mut self, outgoing: &OutgoingCommand) -> bool {
        let now = clock::mono();
        let OutgoingCommand {
            call,
            executor,
            address,
            command,
            timeout_ms,
            ..
        } = outgoing;
        let zone = self.zone_of(executor);
        let Some(node) = self.dispatch.route(executor, &zone, now) else {
            return false;
        };
        let mut send_before = now + MAX_DISPATCH_DELAY_MS;
        if command.grants_lease() {
            send_before = send_before.min(self.proved_until);
        }
        let Some(send_before) = self.dispatch.to_node_clock(&node, send_before) else {
            return false;
        };
        let message = PeerMessage::CommandRequest(Box::new(RemoteCommand {
            call: *call,
            executor: executor.clone(),
            address: address.clone(),
            command: command.clone(),
            timeout_ms: *timeout_ms,
            send_before,
            zone,
        }));
        let peer = self.peers.get(&node);
        if peer.is_none_or(|tx| tx.try_send(message).is_err()) {
            return false;
        }
        let renewal = matches!(command, ExecutorCommand::Renew(_)).then(|| command.clone());
        let remote = RemoteCall {
            node,
            executor: executor.clone(),
            address: address.clone(),
            renewal,
            timeout_ms: *timeout_ms,
            times_out_at: now + timeout_ms + MAX_DISPATCH_DELAY_MS,
        };
        self.dispatch.add_call(*call, remote);
        true
    }

    fn send_directly(&mut self, outgoing: OutgoingCommand) {
        let (client, tx) = (self.shared.executor_client.clone(), self.tx.clone());
        self.tasks.spawn(async move {
            let OutgoingCommand {
                call,
                executor,
                address,
                command,
                timeout_ms,
                new_connection,
            } = outgoing;
            let timeout = Duration::from_millis(timeout_ms);
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
