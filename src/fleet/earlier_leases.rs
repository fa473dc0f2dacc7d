//! Leases that earlier owners granted on executors which this owner has not opened: when they have
//! certainly expired, and what the next owner may conclude from that.
//!
//! Used by the cell. Nothing here sends a command or writes to the store.

use {
    crate::{
        core::Millis,
        fleet::{ExecutorId, LeaseWaits},
    },
    std::collections::{HashMap, HashSet},
};

/// Interval of writes of the waits, in ms. Bounds how much of a wait the next owner repeats.
const WRITE_INTERVAL_MS: Millis = 1_000;

/// The waits of one owner. Times are in ms on its monotonic clock.
#[derive(Debug, Default)]
pub struct EarlierLeases {
    took_over_at: Millis,
    /// How long a lease of an earlier owner lasts after the claim at most, in ms.
    full_wait_ms: Millis,
    /// Executors of the roster that were not opened, and how long earlier owners have waited for
    /// each, in ms. This owner has granted no lease there.
    unopened: HashMap<ExecutorId, Millis>,
    /// Executors that the record in the store may name, whichever of the writes with an unknown
    /// outcome took effect. No lease may be granted there: the next owner would not wait for it.
    stored: HashSet<ExecutorId>,
    /// Executors that the write in flight names.
    sent: HashSet<ExecutorId>,
    next_write_at: Millis,
}

impl EarlierLeases {
    /// Creates the waits of an owner that took over at `now`. `earlier` is what the store holds of
    /// an earlier owner's waits; it counts only if no other owner came between.
    pub fn new(
        token: u64,
        roster: &[ExecutorId],
        earlier: Option<LeaseWaits>,
        full_wait_ms: Millis,
        now: Millis,
    ) -> Self {
        let earlier = earlier.filter(|e| e.token + 1 == token);
        let waited: HashMap<ExecutorId, Millis> =
            earlier.map_or_else(HashMap::new, |e| e.waited.into_iter().collect());
        let unopened = roster.iter().map(|id| {
            let waited_ms = waited.get(id).copied().unwrap_or(0);
            (id.clone(), waited_ms.min(full_wait_ms))
        });
        Self {
            took_over_at: now,
            full_wait_ms,
            unopened: unopened.collect(),
            next_write_at: now + WRITE_INTERVAL_MS,
            ..Self::default()
        }
    }

    /// Returns when every lease that an earlier owner may have granted on an executor has expired.
    pub fn expired_at(&self, id: &ExecutorId) -> Millis {
        let waited_ms = self.unopened.get(id).copied().unwrap_or(0);
        self.took_over_at + self.full_wait_ms - waited_ms
    }

    /// Records that an executor was opened or has left the roster.
    pub fn remove(&mut self, id: &ExecutorId) {
        if self.unopened.remove(id).is_some() && self.stored.contains(id) {
            self.next_write_at = 0;
        }
    }

    /// Returns whether a lease may be granted on an executor.
    pub fn may_grant(&self, id: &ExecutorId) -> bool {
        !self.stored.contains(id)
    }

    /// Returns whether the record in the store must be written.
    pub fn needs_write(&self, now: Millis) -> bool {
        let empty = self.unopened.is_empty() && self.stored.is_empty();
        !empty && now >= self.next_write_at
    }

    /// Returns the record to write; the write may take effect although no reply comes.
    pub fn write(&mut self, token: u64, now: Millis) -> LeaseWaits {
        let elapsed_ms = now.saturating_sub(self.took_over_at);
        let wait = |(id, earlier_ms): (&ExecutorId, &Millis)| {
            (id.clone(), (earlier_ms + elapsed_ms).min(self.full_wait_ms))
        };
        let waited: Vec<_> = self.unopened.iter().map(wait).collect();
        self.sent = self.unopened.keys().cloned().collect();
        self.stored.extend(self.sent.iter().cloned());
        let complete = waited.iter().all(|(_, ms)| *ms == self.full_wait_ms);
        self.next_write_at = if complete {
            Millis::MAX
        } else {
            now + WRITE_INTERVAL_MS
        };
        LeaseWaits { token, waited }
    }

    /// Handles the result of the last write. A failed one may have taken effect.
    pub fn on_written(&mut self, ok: bool) {
        let sent = std::mem::take(&mut self.sent);
        if ok {
            self.stored = sent;
        }
        let opened = self.stored.iter().any(|id| !self.unopened.contains_key(id));
        if !ok || opened {
            self.next_write_at = 0;
        }
    }
}
