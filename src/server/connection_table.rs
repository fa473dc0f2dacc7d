//! The state of a listener's connections, and the rules of who gives way. `Connections` holds it
//! behind a lock; nothing here waits.

use {
    crate::server::{Rejection, RejectionCounts},
    std::{collections::HashMap, sync::Arc, task::Waker, time::Duration},
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

/// Part of a request that a connection is in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
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
pub(super) struct Entry {
    pub(super) phase: Phase,
    /// Last time that the phase changed or [`PROGRESS_BYTES`] of a body had arrived.
    progressed_at: Instant,
    /// Bytes of the body since then.
    unmarked_bytes: usize,
    /// Since when the server waits for bytes of the body; `None` while it does not read it.
    pub(super) awaits_body_since: Option<Instant>,
    /// Bytes reserved for the body and the work on it.
    pub(super) held_bytes: usize,
    /// Why and when the request was refused.
    pub(super) rejected: Option<(Rejection, Instant)>,
    /// The connection's task was told to end at its next turn, whatever it is doing.
    closing: bool,
    /// Wakes the task that reads the body when the request is refused.
    pub(super) body_waker: Option<Waker>,
    /// Ends the connection's task.
    close_tx: Arc<Notify>,
}

/// All connections of a listener.
#[derive(Debug, Default)]
pub(super) struct ConnectionTable {
    pub(super) entries: HashMap<u64, Entry>,
    /// Id of the latest connection.
    last_id: u64,
    /// Sum of the entries' `held_bytes`.
    pub(super) held_bytes: usize,
    /// Number of entries in [`Phase::Work`].
    pub(super) in_work: usize,
    pub(super) rejections: RejectionCounts,
    pub(super) stopping_since: Option<Instant>,
}

/// What a listener does with a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Room {
    Free,
    /// Another connection was told to close, or has been before.
    Soon,
    None,
}

/// Whether memory was reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reservation {
    Done,
    /// Other requests were refused; their memory is released soon.
    Soon,
    Failed(Rejection),
}

impl ConnectionTable {
    /// Adds a connection that waits for a head; returns its id.
    pub(super) fn add(&mut self, close_tx: Arc<Notify>) -> u64 {
        let entry = Entry {
            phase: Phase::Head,
            progressed_at: Instant::now(),
            unmarked_bytes: 0,
            awaits_body_since: None,
            held_bytes: 0,
            rejected: None,
            closing: false,
            body_waker: None,
            close_tx,
        };
        self.last_id += 1;
        self.entries.insert(self.last_id, entry);
        self.last_id
    }

    /// Removes a connection with all that it holds.
    pub(super) fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.held_bytes -= entry.held_bytes;
            self.in_work -= usize::from(entry.phase == Phase::Work);
        }
    }

    /// Returns whether a new connection fits in; tells another one to close if not.
    pub(super) fn make_room(&mut self, limit: usize) -> Room {
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
    pub(super) fn reserve(&mut self, id: u64, bytes: usize, limit: usize) -> Reservation {
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
    pub(super) fn sweep(&mut self, paused: bool) -> bool {
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

    pub(super) fn set_phase(&mut self, id: u64, phase: Phase) {
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

    /// Notes that bytes of the body have arrived.
    pub(super) fn received(&mut self, bytes: usize) {
        self.awaits_body_since = None;
        self.unmarked_bytes += bytes;
        if self.unmarked_bytes >= PROGRESS_BYTES {
            self.unmarked_bytes = 0;
            self.progressed_at = Instant::now();
        }
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
