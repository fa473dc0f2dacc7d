//! An entry node's way to the owner: the cell in the same process or a connection.

use {
    crate::{
        core::Millis,
        entry::{OwnerInput, PeerMessage, Shared, advice, clock, peer_message::frame_codec},
        fleet::{FleetEvent, JobId, JobStatus, OwnerRecord, Submission},
    },
    futures_util::{SinkExt, StreamExt},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot},
    },
    tokio_util::codec::Framed,
};

/// Time to establish a connection to the owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between the first attempts to reach the owner.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Attempts at that pace: a new owner reads the store for up to 0.7 s before it serves.
const QUICK_ATTEMPTS: u32 = 8;

/// Longest time between attempts; a node that does not hear of a new owner, as its store is
/// cut off, goes on calling the old one.
const LONGEST_RECONNECT_PAUSE: Duration = Duration::from_millis(1_600);

/// Time after which a connection counts as good, in ms.
const SETTLED_MS: Millis = 1_000;

/// Time between messages that show the connection alive.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// Time without any message after which a connection is given up, in ms: four pings.
const SILENT_MS: Millis = 1_200;

/// Time until a question to the owner counts as unanswered.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Messages that wait for a connection that does not read.
const QUEUE: usize = 4_096;

#[derive(Debug)]
enum Reply {
    State(Option<JobStatus>),
    Waiting(u64),
}

/// The connection to the owner, and questions that wait for its answers.
#[derive(Debug, Default)]
pub struct OwnerLink {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    tx: Option<mpsc::Sender<PeerMessage>>,
    last_call: u64,
    asked: HashMap<u64, oneshot::Sender<Reply>>,
}

impl OwnerLink {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&self, message: PeerMessage) {
        let tx = self.inner().tx.clone();
        if let Some(tx) = tx {
            // A full queue loses the note; the owner finds the job by its watch.
            let _ = tx.try_send(message);
        }
    }

    async fn ask(&self, message: impl FnOnce(u64) -> PeerMessage) -> Option<Reply> {
        let (tx, rx) = oneshot::channel();
        let call = {
            let mut inner = self.inner();
            let link = inner.tx.clone()?;
            inner.last_call += 1;
            let call = inner.last_call;
            link.try_send(message(call)).ok()?;
            inner.asked.insert(call, tx);
            call
        };
        let reply = tokio::time::timeout(ASK_TIMEOUT, rx).await;
        self.inner().asked.remove(&call);
        reply.ok()?.ok()
    }

    fn answer(&self, call: u64, reply: Reply) {
        if let Some(tx) = self.inner().asked.remove(&call) {
            let _ = tx.send(reply);
        }
    }

    fn connected(&self, tx: Option<mpsc::Sender<PeerMessage>>) {
        let mut inner = self.inner();
        inner.tx = tx;
        inner.asked.clear();
    }
}

impl Shared {
    /// Tells the owner of an accepted job.
    pub fn notify_submitted(&self, submission: Submission) {
        let submission = Box::new(submission);
        match self.local_owner() {
            Some(tx) => {
                let _ = tx.send(OwnerInput::Submitted(submission));
            }
            None => self.owner_link.tell(PeerMessage::Submitted(submission)),
        }
    }

    /// Tells the owner of a cancelled job.
    pub fn notify_cancelled(&self, job: JobId) {
        match self.local_owner() {
            Some(tx) => {
                let _ = tx.send(OwnerInput::Cancelled(job));
            }
            None => self.owner_link.tell(PeerMessage::Cancelled(job)),
        }
    }

    /// Asks the owner for a job's state; the outer `None` means that it did not answer.
    pub async fn query_job_status(&self, job: JobId) -> Option<Option<JobStatus>> {
        if self.local_owner().is_some() {
            let reply = self.query_cell(ASK_TIMEOUT, move |cell, _| cell.job_status(job));
            return reply.await.ok();
        }
        let ask = |call| PeerMessage::StatusRequest { call, job };
        match self.owner_link.ask(ask).await? {
            Reply::State(view) => Some(view),
            Reply::Waiting(_) => None,
        }
    }

    /// Asks the owner how many jobs of a queue wait.
    pub async fn query_queue_depth(&self, queue: Arc<str>) -> Option<u64> {
        if self.local_owner().is_some() {
            let reply = self.query_cell(ASK_TIMEOUT, move |cell, _| {
                cell.count_waiting(&queue) as u64
            });
            return reply.await.ok();
        }
        let ask = |call| PeerMessage::QueueDepthRequest { call, queue };
        match self.owner_link.ask(ask).await? {
            Reply::Waiting(count) => Some(count),
            Reply::State(_) => None,
        }
    }
}

/// Keeps a connection to whichever node is the owner.
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
        let began = clock::mono();
        tokio::select! {
            () = connect(&shared, &record) => attempts += 1,
            changed = owner.changed() => {
                if changed.is_err() { return }
                attempts = 0;
            }
        }
        shared.owner_link.connected(None);
        if clock::mono() > began + SETTLED_MS {
            attempts = 0;
        }
        tokio::select! {
            () = tokio::time::sleep(reconnect_backoff(attempts)) => {}
            _ = owner.changed() => attempts = 0,
        }
    }
}

/// Returns how long to wait after so many connections in a row that broke at once.
pub fn reconnect_backoff(attempts: u32) -> Duration {
    let doublings = attempts.saturating_sub(QUICK_ATTEMPTS).min(8);
    (RECONNECT_PAUSE * (1 << doublings)).min(LONGEST_RECONNECT_PAUSE)
}

/// Connects and serves one connection until it breaks or goes silent.
async fn connect(shared: &Arc<Shared>, record: &OwnerRecord) {
    let dial = TcpStream::connect(&*record.address);
    let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, dial).await else {
        return;
    };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (mut sink, mut source) = Framed::new(stream, frame_codec()).split();
    let (tx, mut rx) = mpsc::channel(QUEUE);
    let node = shared.node.clone();
    if tx.send(PeerMessage::Hello { node }).await.is_err() {
        return;
    }
    shared.owner_link.connected(Some(tx.clone()));
    shared.log_event(FleetEvent::PeerConnected, &format!("owner={}", record.node));
    let mut ping = tokio::time::interval(PING_INTERVAL);
    let mut heard = clock::mono();
    loop {
        tokio::select! {
            Some(message) = rx.recv() => {
                let Some(frame) = PeerMessage::encode(&message) else { continue };
                let sent = tokio::time::timeout(CONNECT_TIMEOUT, sink.send(frame)).await;
                if !matches!(sent, Ok(Ok(()))) { break }
            }
            frame = source.next() => {
                let Some(Ok(frame)) = frame else { break };
                heard = clock::mono();
                received(shared, &tx, &frame);
            }
            _ = ping.tick() => {
                if clock::mono() > heard + SILENT_MS { break }
                let _ = tx.try_send(PeerMessage::Ping);
            }
        }
    }
    shared.log_event(FleetEvent::PeerLost, &format!("owner={}", record.node));
}

fn received(shared: &Arc<Shared>, tx: &mpsc::Sender<PeerMessage>, frame: &[u8]) {
    match PeerMessage::decode(frame) {
        Some(PeerMessage::StatusReply { call, view }) => {
            shared.owner_link.answer(call, Reply::State(view));
        }
        Some(PeerMessage::QueueDepthReply { call, count }) => {
            shared.owner_link.answer(call, Reply::Waiting(count));
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
        _ => {}
    }
}
