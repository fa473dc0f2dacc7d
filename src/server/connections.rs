//! The open connections of one listener, what their requests hold, and which of them gives way when
//! room is short. The server adds and removes connections; bodies reserve memory here.

use {
    crate::server::{Rejection, RejectionCounts, ServerLimits},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Waker},
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Time without a byte of a body after which its request is refused.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a refused request has to send its response before its connection is closed.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for incomplete requests to become complete once a stop has begun.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of a body that count as progress; a client that sends less stands still.
const PROGRESS_BYTES: usize = 1_024;

/// Memory that the work on a body takes, in multiples of its size: the parsed job, its record, and
/// the call to the store with the record in base64.
const WORK_FACTOR: usize = 6;

/// Part of a request that a connection is in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The last response was sent and what the client still sends is discarded.
    Lingering,
    /// Waits for a head, or for the client to take the last response.
    Head,
    /// A head was read; its body is incomplete.
    Body,
    /// The request is complete and its response is not.
    Work,
}

/// One open connection.
#[derive(Debug)]
struct Entry {
    phase: Phase,
    /// Last time that the phase changed or [`PROGRESS_BYTES`] of a body had arrived.
    progressed_at: Instant,
    /// Bytes of the body since then.
    unmarked_bytes: usize,
    /// Since when the server waits for bytes of the body; `None` while it does not read it.
    awaits_body_since: Option<Instant>,
    /// Bytes reserved for the body and the work on it.
    held_bytes: usize,
    /// Why and when the request was refused.
    rejected: Option<(Rejection, Instant)>,
    /// The connection's task was told to end at its next turn, whatever it is doing.
    closing: bool,
    /// Wakes the task that reads the body when the request is refused.
    body_waker: Option<Waker>,
    /// Ends the connection's task.
    close_tx: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: HashMap<u64, Entry>,
    /// Id of the latest connection.
    last_id: u64,
    /// Sum of the entries' `held_bytes`.
    held_bytes: usize,
    /// Number of entries in [`Phase::Work`].
    in_work: usize,
    rejections: RejectionCounts,
    stopping_since: Option<Instant>,
}

/// Open connections of one listener and their limits.
#[derive(Debug)]
pub struct Connections {
    limits: ServerLimits,
    inner: Mutex<Inner>,
    /// Notified when a connection has ended, memory was released or a request was refused.
    changed: Notify,
}

/// What a listener does with a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Room {
    Free,
    /// Another connection was told to close, or has been before.
    Soon,
    None,
}

/// Whether memory was reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reservation {
    Done,
    /// Other requests were refused; their memory is released soon.
    Soon,
    Failed(Rejection),
}

impl Connections {
    /// Creates the table of a listener without connections.
    pub fn new(limits: ServerLimits) -> Self {
        Self {
            limits,
            inner: Mutex::default(),
            changed: Notify::new(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.inner().entries.len()
    }

    /// Returns the bytes reserved for bodies and the work on them.
    pub fn held_bytes(&self) -> usize {
        self.inner().held_bytes
    }

    /// Returns how often each reason to reject occurred.
    pub fn rejections(&self) -> RejectionCounts {
        self.inner().rejections
    }

    pub(super) fn count_rejection(&self, reason: Rejection) {
        self.inner().rejections.add(reason);
    }

    /// Adds a connection, once another one has given way if there is no room; `None` if none can.
    pub(super) async fn admit(self: &Arc<Self>) -> Option<ConnectionGuard> {
        loop {
            let changed = self.changed.notified();
            let room = self.inner().make_room(self.limits.connections);
            match room {
                Room::Free => return Some(self.add()),
                Room::Soon => changed.await,
                Room::None => {
                    self.count_rejection(Rejection::NoConnection);
                    return None;
                }
            }
        }
    }

    fn add(self: &Arc<Self>) -> ConnectionGuard {
        let now = Instant::now();
        let close = Arc::new(Notify::new());
        let entry = Entry {
            phase: Phase::Head,
            progressed_at: now,
            unmarked_bytes: 0,
            awaits_body_since: None,
            held_bytes: 0,
            rejected: None,
            closing: false,
            body_waker: None,
            close_tx: close.clone(),
        };
        let mut inner = self.inner();
        inner.last_id += 1;
        let id = inner.last_id;
        inner.entries.insert(id, entry);
        ConnectionGuard {
            handle: RequestHandle {
                connections: self.clone(),
                id,
            },
            close,
        }
    }

    /// Refuses incomplete requests from now on once they have had [`STOP_TIMEOUT`].
    pub fn start_stop(&self) {
        self.inner().stopping_since.get_or_insert_with(Instant::now);
    }

    /// Applies the time limits. `paused` means that the process did not run for a while, so that
    /// bytes may have arrived that were not read yet.
    pub(super) fn sweep(&self, paused: bool) {
        if self.inner().sweep(paused) {
            self.changed.notify_waiters();
        }
    }
}

impl Inner {
    fn make_room(&mut self, limit: usize) -> Room {
        if self.entries.len() < limit {
            return Room::Free;
        }
        let closing = self.entries.values().filter(|e| e.closing).count();
        if self.entries.len() - closing < limit {
            return Room::Soon;
        }
        // Connections of which the server awaits nothing any more go first.
        let is_done = |e: &Entry| match e.phase {
            Phase::Lingering => true,
            Phase::Head | Phase::Body => e.rejected.is_some(),
            Phase::Work => false,
        };
        let others = self.entries.values_mut();
        let candidates = others.filter(|e| !e.closing && (e.may_give_way() || is_done(e)));
        let Some(victim) = candidates.min_by_key(|e| (!is_done(e), e.progressed_at)) else {
            return Room::None;
        };
        if !is_done(victim) {
            self.rejections.add(Rejection::ConnectionLimit);
        }
        victim.close();
        Room::Soon
    }

    /// Reserves memory for a request. If there is too little, refuses the incomplete request that has
    /// made no progress for the longest time.
    fn reserve(&mut self, id: u64, bytes: usize, limit: usize) -> Reservation {
        let Some(own) = self.entries.get(&id) else {
            return Reservation::Failed(Rejection::NoMemory);
        };
        if let Some((reason, _)) = own.rejected {
            return Reservation::Failed(reason);
        }
        let alone = self.held_bytes == own.held_bytes;
        if alone || self.held_bytes + bytes <= limit {
            self.held_bytes += bytes;
            if let Some(own) = self.entries.get_mut(&id) {
                own.held_bytes += bytes;
            }
            return Reservation::Done;
        }
        let leaving = |e: &&Entry| e.closing || e.rejected.is_some();
        let rejected = self.entries.values().filter(leaving);
        let released: usize = rejected.map(|e| e.held_bytes).sum();
        if self.held_bytes - released + bytes <= limit {
            return Reservation::Soon;
        }
        let others = self
            .entries
            .iter_mut()
            .filter(|(i, e)| **i != id && e.held_bytes > 0 && e.may_give_way());
        let Some((_, victim)) = others.min_by_key(|(_, e)| e.progressed_at) else {
            self.rejections.add(Rejection::NoMemory);
            return Reservation::Failed(Rejection::NoMemory);
        };
        victim.reject(Rejection::NoMemory);
        self.rejections.add(Rejection::NoMemory);
        Reservation::Soon
    }

    /// Returns whether a request was refused.
    fn sweep(&mut self, paused: bool) -> bool {
        let now = Instant::now();
        let stopping = self
            .stopping_since
            .is_some_and(|at| now >= at + STOP_TIMEOUT);
        let mut refused = false;
        for entry in self.entries.values_mut() {
            if paused && entry.awaits_body_since.is_some() {
                entry.awaits_body_since = Some(now);
            }
            let reason = match (entry.phase, entry.awaits_body_since) {
                _ if entry.rejected.is_some() => None,
                (Phase::Body, Some(_)) if stopping => Some(Rejection::Stopping),
                (Phase::Body, Some(since)) if now >= since + BODY_TIMEOUT => {
                    Some(Rejection::BodyTimeout)
                }
                (Phase::Head, _) if stopping && now >= entry.progressed_at + STOP_TIMEOUT => {
                    entry.close();
                    None
                }
                _ => None,
            };
            if let Some(reason) = reason {
                entry.reject(reason);
                self.rejections.add(reason);
                refused = true;
            }
            let overdue = |(_, at): (_, Instant)| now >= at + REFUSAL_TIMEOUT;
            if entry.phase != Phase::Work && entry.rejected.is_some_and(overdue) {
                entry.close();
            }
        }
        refused
    }

    fn set_phase(&mut self, id: u64, phase: Phase) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        self.in_work -= usize::from(entry.phase == Phase::Work);
        self.in_work += usize::from(phase == Phase::Work);
        entry.phase = phase;
        entry.progressed_at = Instant::now();
        entry.awaits_body_since = None;
        entry.unmarked_bytes = 0;
    }
}

impl Entry {
    /// Returns whether the server waits for the client and for nothing else.
    fn may_give_way(&self) -> bool {
        let waits = match self.phase {
            Phase::Lingering | Phase::Head => true,
            Phase::Body => self.awaits_body_since.is_some(),
            Phase::Work => false,
        };
        waits && self.rejected.is_none() && !self.closing
    }

    fn close(&mut self) {
        self.closing = true;
        self.close_tx.notify_one();
    }

    /// Refuses the request whose body is being read.
    fn reject(&mut self, reason: Rejection) {
        self.rejected = Some((reason, Instant::now()));
        if let Some(waker) = self.body_waker.take() {
            waker.wake();
        }
    }
}

/// Keeps a connection in the table until it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    pub(super) handle: RequestHandle,
    close: Arc<Notify>,
}

impl ConnectionGuard {
    /// Waits until the connection has to close at once.
    pub(super) async fn closed(&self) {
        self.close.notified().await;
    }

    /// Notes that only what the client still sends is read from now on.
    pub(super) fn linger(&self) {
        self.handle.set_phase(Phase::Lingering);
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connections = &self.handle.connections;
        let mut inner = connections.inner();
        if let Some(entry) = inner.entries.remove(&self.handle.id) {
            inner.held_bytes -= entry.held_bytes;
            inner.in_work -= usize::from(entry.phase == Phase::Work);
        }
        drop(inner);
        connections.changed.notify_waiters();
    }
}

/// The request that a connection is serving; an extension of the request.
#[derive(Clone, Debug)]
pub struct RequestHandle {
    connections: Arc<Connections>,
    id: u64,
}

impl RequestHandle {
    /// Returns the table of the listener.
    pub(super) fn connections(&self) -> &Connections {
        &self.connections
    }

    fn set_phase(&self, phase: Phase) {
        self.connections.inner().set_phase(self.id, phase);
    }

    /// Begins a request; `has_body` tells whether a body follows. Fails if too many complete requests
    /// are in work.
    pub(super) fn start(&self, has_body: bool) -> Result<(), Rejection> {
        if has_body {
            self.set_phase(Phase::Body);
            return Ok(());
        }
        self.start_work()
    }

    fn start_work(&self) -> Result<(), Rejection> {
        let mut inner = self.connections.inner();
        inner.set_phase(self.id, Phase::Work);
        if inner.in_work > self.connections.limits.requests {
            inner.rejections.add(Rejection::RequestLimit);
            return Err(Rejection::RequestLimit);
        }
        Ok(())
    }

    /// Notes that the response was sent.
    pub(super) fn finish(&self) {
        self.set_phase(Phase::Head);
    }

    /// Returns whether the connection is to close after the response.
    pub(super) fn is_rejected(&self) -> bool {
        let inner = self.connections.inner();
        inner
            .entries
            .get(&self.id)
            .is_none_or(|e| e.rejected.is_some())
    }

    /// Notes that bytes of the body have arrived.
    pub(super) fn received(&self, bytes: usize) {
        let mut inner = self.connections.inner();
        let Some(entry) = inner.entries.get_mut(&self.id) else {
            return;
        };
        entry.awaits_body_since = None;
        entry.unmarked_bytes += bytes;
        if entry.unmarked_bytes >= PROGRESS_BYTES {
            entry.unmarked_bytes = 0;
            entry.progressed_at = Instant::now();
        }
    }

    /// Notes that all bytes of the body that have arrived were read, and that more are awaited.
    pub(super) fn awaits_body(&self) {
        let mut inner = self.connections.inner();
        if let Some(entry) = inner.entries.get_mut(&self.id) {
            entry.awaits_body_since.get_or_insert_with(Instant::now);
        }
    }

    /// Returns why the request was refused; registers the task to be woken when it is.
    pub(super) fn poll_rejected(&self, cx: &Context<'_>) -> Option<Rejection> {
        let mut inner = self.connections.inner();
        let entry = inner.entries.get_mut(&self.id)?;
        if entry.rejected.is_none() {
            entry.body_waker = Some(cx.waker().clone());
        }
        entry.rejected.map(|(reason, _)| reason)
    }

    /// Notes that the whole body was read and that work on the request begins. Memory for the work on
    /// a body of `bytes` is reserved first.
    pub(super) async fn complete(&self, bytes: usize) -> Result<(), Rejection> {
        self.reserve(bytes * (WORK_FACTOR - 1)).await?;
        self.start_work()
    }

    /// Notes that the body has ended without being kept.
    pub(super) fn body_ended(&self) {
        let mut inner = self.connections.inner();
        if inner
            .entries
            .get(&self.id)
            .is_some_and(|e| e.phase == Phase::Body)
        {
            inner.set_phase(self.id, Phase::Work);
        }
    }

    /// Reserves memory; waits for that of requests which give way.
    pub(super) async fn reserve(&self, bytes: usize) -> Result<(), Rejection> {
        loop {
            let changed = self.connections.changed.notified();
            let limit = self.connections.limits.held_bytes;
            let reservation = self.connections.inner().reserve(self.id, bytes, limit);
            match reservation {
                Reservation::Done => return Ok(()),
                Reservation::Soon => changed.await,
                Reservation::Failed(reason) => return Err(reason),
            }
        }
    }

    /// Releases all memory of the request.
    pub(super) fn release(&self) {
        let mut inner = self.connections.inner();
        let Some(entry) = inner.entries.get_mut(&self.id) else {
            return;
        };
        let released = std::mem::take(&mut entry.held_bytes);
        inner.held_bytes -= released;
        drop(inner);
        self.connections.changed.notify_waiters();
    }
}
