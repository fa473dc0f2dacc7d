//! Sends an entry node's notifications and requests to the owner: to the owner task in the same
//! process, or over a connection to the owner's node. Called by the callers' interface. Messages
//! may be lost, so a job or cancellation must be in the store before the owner is notified of it.

use {
    crate::{
        core::Millis,
        entry::{
            OwnerInput, PauseGuard, PeerMessage, RelayedCall, RelayedOutcome, RemoteCommand,
            Shared, advice, clock, dispatcher,
            peer_message::{DispatchOffer, frame_codec, send_queued},
            peer_server::log_unreadable,
        },
        fleet::{CommandError, FleetEvent, JobId, JobStatus, OwnerRecord, Submission},
        platform::StoreError,
    },
    futures_util::StreamExt,
    std::{
        collections::{HashMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot},
        task::JoinSet,
    },
    tokio_util::codec::Framed,
};

/// Timeout of connecting to the owner and of writing one message.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between the first attempts to connect to the owner.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Attempts at that interval: a new owner reads the store for up to 0.7 s before it serves.
const MIN_BACKOFF_ATTEMPTS: u32 = 8;

/// Max time between attempts. A node that cannot reach the store does not learn of a new owner and
/// keeps connecting to the old one.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_millis(1_600);

/// Time after which a connection counts as stable and resets the backoff, in ms.
const STABLE_AFTER_MS: Millis = 1_000;

/// Time between pings on a connection.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a message after which a connection is closed, in ms: four pings.
const IDLE_TIMEOUT_MS: Millis = 1_200;

/// Timeout of a request to the owner.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a notification is sent again over a new connection, in ms: until a connection that
/// has gone silent is closed and replaced.
const RESEND_WINDOW_MS: Millis = 3_000;

/// Max number of notifications kept to be sent again.
const MAX_RECENT: usize = 1_024;

/// Max number of messages queued for a connection that does not accept them.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Max number of the owner's commands in flight at this node.
const MAX_COMMANDS: usize = 1_024;

#[derive(Debug)]
enum Reply {
    Status(Option<JobStatus>),
    QueueDepth(u64),
    Relayed(RelayedOutcome),
}

/// The connection to the owner, and the requests that wait for a reply.
#[derive(Debug, Default)]
pub struct OwnerLink {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    tx: Option<mpsc::Sender<PeerMessage>>,
    last_call: u64,
    pending: HashMap<u64, oneshot::Sender<Reply>>,
    /// Notifications of the last [`RESEND_WINDOW_MS`] and when they were sent; the oldest first.
    recent: VecDeque<(Millis, PeerMessage)>,
}

impl OwnerLink {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_connected(&self) -> bool {
        self.inner().tx.is_some()
    }

    /// Sends a notification now and, if the connection is replaced soon, once more: a connection that
    /// has gone silent loses what is sent over it.
    fn notify(&self, message: PeerMessage) {
        let now = clock::mono();
        let mut inner = self.inner();
        if let Some(tx) = &inner.tx {
            // If the queue is full, the message is lost and the owner finds the job by its watch.
            let _ = tx.try_send(message.clone());
        }
        while inner.recent.len() >= MAX_RECENT {
            inner.recent.pop_front();
        }
        inner.recent.push_back((now, message));
        inner.drop_old(now);
    }

    async fn request(&self, message: impl FnOnce(u64) -> PeerMessage) -> Option<Reply> {
        let (tx, rx) = oneshot::channel();
        let call = {
            let mut inner = self.inner();
            let link = inner.tx.clone()?;
            inner.last_call += 1;
            let call = inner.last_call;
            link.try_send(message(call)).ok()?;
            inner.pending.insert(call, tx);
            call
        };
        let reply = tokio::time::timeout(REQUEST_TIMEOUT, rx).await;
        self.inner().pending.remove(&call);
        reply.ok()?.ok()
    }

    fn complete(&self, call: u64, reply: Reply) {
        if let Some(tx) = self.inner().pending.remove(&call) {
            let _ = tx.send(reply);
        }
    }

    fn set_sender(&self, tx: Option<mpsc::Sender<PeerMessage>>) {
        let mut inner = self.inner();
        if let Some(tx) = &tx {
            inner.drop_old(clock::mono());
            for (_, message) in &inner.recent {
                let _ = tx.try_send(message.clone());
            }
        }
        inner.tx = tx;
        inner.pending.clear();
    }
}

impl Inner {
    fn drop_old(&mut self, now: Millis) {
        while let Some((at, _)) = self.recent.front()
            && *at + RESEND_WINDOW_MS < now
        {
            self.recent.pop_front();
        }
    }
}

impl Shared {
    /// Notifies the owner of a job that is already in the store. The message may be lost; the
    /// owner also finds the job by its watch.
    pub fn notify_submitted(&self, submission: Submission) {
        let submission = Box::new(submission);
        match self.local_owner() {
            Some(tx) => {
                let _ = tx.send(OwnerInput::Submitted(submission));
            }
            None => self.owner_link.notify(PeerMessage::Submitted(submission)),
        }
    }

    /// Notifies the owner of a cancellation that is already in the store. The message may be lost;
    /// the owner also finds the cancellation by its watch.
    pub fn notify_cancelled(&self, job: JobId) {
        match self.local_owner() {
            Some(tx) => {
                let _ = tx.send(OwnerInput::Cancelled(job));
            }
            None => self.owner_link.notify(PeerMessage::Cancelled(job)),
        }
    }

    /// Requests a job's status from the owner. The outer `None` means that there was no reply, the
    /// inner one that the owner does not know the job.
    pub async fn query_job_status(&self, job: JobId) -> Option<Option<JobStatus>> {
        if self.local_owner().is_some() {
            let reply = self.query_cell(REQUEST_TIMEOUT, move |cell, _| cell.job_status(job));
            return reply.await.ok();
        }
        let request = |call| PeerMessage::StatusRequest { call, job };
        match self.owner_link.request(request).await? {
            Reply::Status(status) => Some(status),
            Reply::QueueDepth(_) | Reply::Relayed(_) => None,
        }
    }

    /// Returns whether the owner's node can make calls to the store for this one.
    pub fn has_store_relay(&self) -> bool {
        self.owner_link.is_connected() && self.local_owner().is_none() && self.another_node_serves()
    }

    /// Has the owner's node make a call to the store; none if it was not sent.
    pub async fn relay(&self, relayed: RelayedCall) -> Option<RelayedOutcome> {
        let unknown = match relayed {
            RelayedCall::Commit(_) => RelayedOutcome::Commit(Err(StoreError::Unknown)),
            RelayedCall::Get(_) => RelayedOutcome::Get(Err(StoreError::Unknown)),
        };
        if !self.owner_link.is_connected() {
            return None;
        }
        let request = |call| PeerMessage::RelayRequest { call, relayed };
        match self.owner_link.request(request).await {
            Some(Reply::Relayed(outcome)) => Some(outcome),
            _ => Some(unknown),
        }
    }

    /// Requests the number of waiting jobs of a queue from the owner; none if there was no reply.
    pub async fn query_queue_depth(&self, queue: Arc<str>) -> Option<u64> {
        if self.local_owner().is_some() {
            let reply = self.query_cell(REQUEST_TIMEOUT, move |cell, _| {
                cell.count_waiting(&queue) as u64
            });
            return reply.await.ok();
        }
        let request = |call| PeerMessage::QueueDepthRequest { call, queue };
        match self.owner_link.request(request).await? {
            Reply::QueueDepth(count) => Some(count),
            Reply::Relayed(_) | Reply::Status(_) => None,
        }
    }
}

/// Keeps a connection to the owner while it is another node; reconnects with backoff.
pub async fn run(shared: Arc<Shared>) {
    let mut owner = shared.owner.subscribe();
    let mut attempts = 0;
    loop {
        let record = owner.borrow_and_update().clone();
        let Some(record) = record.filter(|r| r.node != shared.node) else {
            if owner.changed().await.is_err() {
                return;
            }
            continue;
        };
        let started_at = clock::mono();
        tokio::select! {
            () = connect(&shared, &record) => attempts += 1,
            changed = owner.changed() => {
                if changed.is_err() { return }
                attempts = 0;
            }
        }
        shared.owner_link.set_sender(None);
        if clock::mono() > started_at + STABLE_AFTER_MS {
            attempts = 0;
        }
        tokio::select! {
            () = tokio::time::sleep(reconnect_backoff(attempts)) => {}
            _ = owner.changed() => attempts = 0,
        }
    }
}

/// Returns the wait after `attempts` connections in a row that failed or broke at once: constant
/// at first, then doubled up to a maximum.
pub fn reconnect_backoff(attempts: u32) -> Duration {
    let doublings = attempts.saturating_sub(MIN_BACKOFF_ATTEMPTS).min(8);
    (MIN_RECONNECT_BACKOFF * (1 << doublings)).min(MAX_RECONNECT_BACKOFF)
}

/// Connects to the owner and serves the connection until it breaks or is idle for too long.
async fn connect(shared: &Arc<Shared>, record: &OwnerRecord) {
    let dial = TcpStream::connect(&*record.address);
    let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, dial).await else {
        return;
    };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (mut sink, mut source) = Framed::new(stream, frame_codec()).split();
    let (tx, mut rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let node = shared.node.clone();
    if tx.send(PeerMessage::Hello { node }).await.is_err() {
        return;
    }
    shared.owner_link.set_sender(Some(tx.clone()));
    shared.log_event(FleetEvent::PeerConnected, &format!("owner={}", record.node));
    let mut ping = tokio::time::interval(PING_INTERVAL);
    let mut received_at = clock::mono();
    let mut pause_guard = PauseGuard::new(received_at);
    // Commands in flight end with the connection: nobody would read their replies.
    let mut commands = JoinSet::new();
    let mut offered = true;
    loop {
        tokio::select! {
            Some(message) = rx.recv() => {
                if send_queued(&mut sink, message, &mut rx, CONNECT_TIMEOUT).await.is_none() {
                    break;
                }
            }
            frame = source.next() => {
                let Some(Ok(frame)) = frame else { break };
                received_at = clock::mono();
                let recent = pause_guard.on_turn(received_at);
                on_frame(shared, &tx, &mut commands, &frame, recent);
                while commands.try_join_next().is_some() {}
            }
            _ = ping.tick() => {
                let now = clock::mono();
                pause_guard.on_turn(now);
                if now > received_at + IDLE_TIMEOUT_MS { break }
                let _ = tx.try_send(PeerMessage::Ping);
                let _ = tx.try_send(shared.health());
                if offered && shared.is_draining() {
                    offered = false;
                    let _ = tx.try_send(clock_reply(shared));
                }
            }
        }
    }
    shared.log_event(FleetEvent::PeerLost, &format!("owner={}", record.node));
}

/// Returns a reading of this node's clock, with its offer to send commands for the owner.
fn clock_reply(shared: &Shared) -> PeerMessage {
    let settings = &shared.settings;
    let offer = (!shared.is_draining()).then(|| DispatchOffer {
        zone: settings.zone.clone(),
        cpu_milli: settings.cpu_milli,
    });
    PeerMessage::ClockReply {
        node_ms: clock::mono(),
        offer,
    }
}

/// Sends a command of the owner to its executor in a task of its own.
fn start_command(
    shared: &Arc<Shared>,
    tx: &mpsc::Sender<PeerMessage>,
    commands: &mut JoinSet<()>,
    remote: Box<RemoteCommand>,
) {
    let (shared, tx) = (shared.clone(), tx.clone());
    let call = remote.call;
    if commands.len() >= MAX_COMMANDS {
        let detail = format!("executor={} too many commands in flight", remote.executor);
        shared.log_event(FleetEvent::CommandExpired, &detail);
        let result = Err(CommandError::Expired);
        // A full queue loses the reply; the owner then waits for its timeout.
        let _ = tx.try_send(PeerMessage::CommandReply { call, result });
        return;
    }
    commands.spawn(async move {
        let result = dispatcher::send_command(&shared, &remote).await;
        // Fails only if the connection is closed.
        let _ = tx.send(PeerMessage::CommandReply { call, result }).await;
    });
}

/// Handles a message of the owner; `recent` tells whether it was certainly sent recently.
fn on_frame(
    shared: &Arc<Shared>,
    tx: &mpsc::Sender<PeerMessage>,
    commands: &mut JoinSet<()>,
    frame: &[u8],
    recent: bool,
) {
    match PeerMessage::decode(frame) {
        Some(PeerMessage::ClockRequest) => {
            // A full queue loses the reply; the owner asks again.
            let _ = tx.try_send(clock_reply(shared));
        }
        Some(PeerMessage::CommandRequest(remote)) => start_command(shared, tx, commands, remote),
        Some(PeerMessage::StatusReply { call, status }) => {
            shared.owner_link.complete(call, Reply::Status(status));
        }
        Some(PeerMessage::Health { store_age_ms }) => shared.record_peer_health(store_age_ms),
        Some(PeerMessage::RelayReply { call, outcome }) => {
            shared.owner_link.complete(call, Reply::Relayed(outcome));
        }
        Some(PeerMessage::Load(summary)) if recent => shared.set_load(*summary),
        Some(PeerMessage::QueueDepthReply { call, count }) => {
            shared.owner_link.complete(call, Reply::QueueDepth(count));
        }
        Some(PeerMessage::AdviceRequest {
            call,
            step,
            executors,
            timeout_ms,
        }) => {
            let (shared, tx) = (shared.clone(), tx.clone());
            tokio::spawn(async move {
                let (advised, valid_ms) =
                    advice::request_advice(&shared, step, &executors, timeout_ms).await;
                let message = PeerMessage::AdviceReply {
                    call,
                    advised,
                    valid_ms,
                };
                let _ = tx.send(message).await;
            });
        }
        None => log_unreadable(shared, "owner", frame.len()),
        Some(_) => {}
    }
}
