//! Executors that drain, and which of them the record in the store names with what may run there. Nothing
//! starts on an executor that drains, so such a list stays an upper bound, also once its writer is killed.
//!
//! Used by the cell. Nothing here sends a command or writes to the store.

use {crate::fleet::ExecutorId, std::collections::HashSet};

/// The executors that one owner has named.
#[derive(Debug, Default)]
pub struct LeavingExecutors {
    /// Those that the record in the store may name, whichever of the writes with an unknown outcome took
    /// effect. Nothing may start there.
    stored: HashSet<ExecutorId>,
    /// Those that it certainly names.
    durable: HashSet<ExecutorId>,
    /// Those that the write in flight names.
    sent: HashSet<ExecutorId>,
}

impl LeavingExecutors {
    /// Returns whether a task may start on an executor.
    pub fn may_start(&self, id: &ExecutorId) -> bool {
        !self.stored.contains(id)
    }

    /// Returns whether the record must be written, given the executors that it must name.
    pub fn needs_write(&self, leaving: &HashSet<ExecutorId>) -> bool {
        !leaving.is_subset(&self.durable) || !self.stored.is_subset(leaving)
    }

    /// Records which executors a write names; it may take effect although no reply comes.
    pub fn on_sent(&mut self, leaving: HashSet<ExecutorId>) {
        self.stored.extend(leaving.iter().cloned());
        self.sent = leaving;
    }

    /// Handles the result of the last write. A failed one may have taken effect.
    pub fn on_written(&mut self, ok: bool) {
        let sent = std::mem::take(&mut self.sent);
        if ok {
            self.stored.clone_from(&sent);
            self.durable = sent;
        } else {
            self.durable.retain(|id| sent.contains(id));
        }
    }
}
