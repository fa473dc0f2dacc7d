//! Executors that drain: what runs there when they announce that they will exit.
//!
//! Called by the handling of the platform's list.

use crate::fleet::{Cell, ExecutorInfo, FleetEvent};

impl Cell {
    /// Logs that an executor has begun to drain.
    pub(super) fn on_drain_state(&mut self, info: &ExecutorInfo) {
        let known = self.executors.get(&info.id);
        let Some(executor) = known.filter(|e| info.draining && !e.info.draining) else {
            return;
        };
        let persistent = executor
            .runs
            .keys()
            .filter(|t| self.is_persistent(t))
            .count();
        let detail = format!(
            "executor={} runs={} persistent={persistent} min_remaining_ms={:?}",
            info.id,
            executor.runs.len(),
            info.min_remaining_ms
        );
        self.log(FleetEvent::ExecutorDraining, detail);
    }
}
