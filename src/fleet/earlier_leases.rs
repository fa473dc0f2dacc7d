//! Leases on executors that this owner cannot reach: when they have certainly expired, and what the
//! next owner may conclude from that. They were granted by earlier owners on executors which this
//! one has not opened, or by this one before the executor became silent.
//!
//! Used by the cell. Nothing here sends a command or writes to the store.

use {
    crate::{
        core::Millis,
        fleet::{ExecutorId, LeaseWaits, TaskId},
    },
    std::collections::{HashMap, HashSet},
};

/// Interval of writes of the waits, in ms. Bounds how much of a wait the next owner repeats.
const WRITE_INTERVAL_MS: Millis = 1_000;

/// The waits of one owner. Times are in ms on its monotonic clock; those of earlier owners may lie
/// before its zero.
#[derive(Debug, Default)]
pub struct EarlierLeases {
    took_over_at: i64,
    /// How long a lease lasts after it was granted at most, in ms.
    full_wait_ms: Millis,
    /// Executors without a session, and since when no owner has granted a lease there: those of the
    /// roster that were not opened, and those that became silent. This owner grants none.
    unreachable: HashMap<ExecutorId, i64>,
    /// Executors that the record in the store may name, whichever of the writes with an unknown
    /// outcome took effect. No lease may be granted there: the next owner would not wait for it.
    stored: HashSet<ExecutorId>,
    /// Executors that the write in flight names.
    sent: HashSet<ExecutorId>,
    next_write_at: Millis,
}

impl EarlierLeases {
    /// Creates the waits of an owner that took over at `now`. `earlier` is what the owner directly
    /// before it left.
    pub fn new(
        roster: &[ExecutorId],
        earlier: Option<LeaseWaits>,
        full_wait_ms: Millis,
        now: Millis,
    ) -> Self {
        let took_over_at = now.cast_signed();
        let waited: HashMap<ExecutorId, Millis> =
            earlier.map_or_else(HashMap::new, |e| e.waited.into_iter().collect());
        let unopened = roster.iter().map(|id| {
            let waited_ms = waited.get(id).copied().unwrap_or(0).min(full_wait_ms);
            (id.clone(), took_over_at - waited_ms.cast_signed())
        });
        Self {
            took_over_at,
            full_wait_ms,
            unreachable: unopened.collect(),
            next_write_at: now + WRITE_INTERVAL_MS,
            ..Self::default()
        }
    }

    /// Returns when every lease that was granted on an executor before its session ended has expired.
    pub fn expired_at(&self, id: &ExecutorId) -> Millis {
        let since = self.unreachable.get(id).copied();
        let since = since.unwrap_or(self.took_over_at);
        since
            .saturating_add_unsigned(self.full_wait_ms)
            .max(0)
            .cast_unsigned()
    }

    /// Records that an executor became silent, and when this owner last sent a command that grants a
    /// lease there. It must grant none until the executor is opened again.
    pub fn add_silent(&mut self, id: &ExecutorId, last_grant_at: Millis, now: Millis) {
        self.unreachable
            .entry(id.clone())
            .or_insert(last_grant_at.cast_signed());
        self.next_write_at = self.next_write_at.min(now + WRITE_INTERVAL_MS);
    }

    /// Records that an executor was opened or has left the roster.
    pub fn remove(&mut self, id: &ExecutorId) {
        if self.unreachable.remove(id).is_some() && self.stored.contains(id) {
            self.next_write_at = 0;
        }
    }

    /// Returns whether no lease is granted on an executor until it is opened.
    pub fn is_unreachable(&self, id: &ExecutorId) -> bool {
        self.unreachable.contains_key(id)
    }

    /// Returns whether a lease may be granted on an executor.
    pub fn may_grant(&self, id: &ExecutorId) -> bool {
        !self.stored.contains(id)
    }

    /// Returns whether the record in the store must be written.
    pub fn needs_write(&self, now: Millis) -> bool {
        let empty = self.unreachable.is_empty() && self.stored.is_empty();
        !empty && now >= self.next_write_at
    }

    /// Returns the record to write; the write may take effect although no reply comes. `tasks_on` returns
    /// the tasks that may run on an executor, if they are known.
    pub fn write(
        &mut self,
        token: u64,
        tasks_on: impl Fn(&ExecutorId) -> Option<Vec<TaskId>>,
        now: Millis,
    ) -> LeaseWaits {
        let wait = |(id, since): (&ExecutorId, &i64)| {
            let waited_ms = (now.cast_signed() - since).max(0).cast_unsigned();
            (id.clone(), waited_ms.min(self.full_wait_ms))
        };
        let waited: Vec<_> = self.unreachable.iter().map(wait).collect();
        self.sent = self.unreachable.keys().cloned().collect();
        self.stored.extend(self.sent.iter().cloned());
        let complete = waited.iter().all(|(_, ms)| *ms == self.full_wait_ms);
        self.next_write_at = if complete {
            Millis::MAX
        } else {
            now + WRITE_INTERVAL_MS
        };
        let possible_runs = waited.iter().map(|(id, _)| tasks_on(id)).collect();
        LeaseWaits {
            token,
            waited,
            possible_runs,
            leaving: Vec::new(),
        }
    }

    /// Handles the result of the last write. A failed one may have taken effect.
    pub fn on_written(&mut self, ok: bool) {
        let sent = std::mem::take(&mut self.sent);
        if ok {
            self.stored = sent;
        }
        let unreachable = &self.unreachable;
        let opened = self.stored.iter().any(|id| !unreachable.contains_key(id));
        if !ok || opened {
            self.next_write_at = 0;
        }
    }
}
