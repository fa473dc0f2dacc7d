//! The open connections of one listener and what their requests hold. The server adds and removes
//! connections; bodies reserve memory here, and wait until others have given way. Which ones do is
//! decided in `connection_table`.

use {
    crate::server::{
        Rejection, RejectionCounts, ServerLimits,
        connection_table::{ConnectionTable, Phase, Reservation, Room},
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::Context,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Memory that the work on a body takes, in multiples of its size: the parsed job, its record, and
/// the call to the store with the record in base64.
const WORK_FACTOR: usize = 6;

/// Open connections of one listener and their limits.
#[derive(Debug)]
pub struct Connections {
    limits: ServerLimits,
    inner: Mutex<ConnectionTable>,
    /// Notified when a connection has ended, memory was released or a request was refused.
    changed: Notify,
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

    fn inner(&self) -> MutexGuard<'_, ConnectionTable> {
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
        let close = Arc::new(Notify::new());
        let id = self.inner().add(close.clone());
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
        connections.inner().remove(self.handle.id);
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
        if let Some(entry) = inner.entries.get_mut(&self.id) {
            entry.received(bytes);
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
