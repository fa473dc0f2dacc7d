//! Lanes to the advice service: it works on one call at a time for each calling node.

use {
    crate::core::CallId,
    std::{collections::HashMap, sync::Arc},
};

/// Lanes that slow calls leave free for quick ones.
const QUICK_LANES: usize = 1;

/// Calls longer than this leave a lane free, in ms; a longer wait would eat the slack of the
/// most urgent queues (objective 250 ms).
const SLOW_CALL_MS: u64 = 100;

/// The lane of each live node and the call that occupies it.
#[derive(Debug, Default)]
pub struct AdviceSlots {
    lanes: HashMap<Arc<str>, Option<CallId>>,
}

impl AdviceSlots {
    /// Sets the nodes that can ask; calls of nodes that left are forgotten by their timeout.
    pub fn set_nodes(&mut self, nodes: Vec<Arc<str>>) {
        let old = std::mem::take(&mut self.lanes);
        for node in nodes {
            let call = old.get(&node).copied().flatten();
            self.lanes.insert(node, call);
        }
    }

    /// Tells whether a lane is free.
    pub fn has_free(&self) -> bool {
        self.lanes.values().any(Option::is_none)
    }

    /// Finds a free lane for a call of this length.
    pub fn find_free(&self, cost_ms: u64) -> Option<Arc<str>> {
        let mut free: Vec<&Arc<str>> = self
            .lanes
            .iter()
            .filter(|(_, call)| call.is_none())
            .map(|(node, _)| node)
            .collect();
        let kept = if cost_ms > SLOW_CALL_MS && self.lanes.len() > QUICK_LANES {
            QUICK_LANES
        } else {
            0
        };
        if free.len() <= kept {
            return None;
        }
        free.sort();
        free.first().map(|n| (*n).clone())
    }

    /// Occupies a lane.
    pub fn acquire(&mut self, node: &Arc<str>, call: CallId) {
        if let Some(lane) = self.lanes.get_mut(node) {
            *lane = Some(call);
        }
    }

    /// Frees the lane of a call.
    pub fn release(&mut self, call: CallId) {
        for lane in self.lanes.values_mut() {
            if *lane == Some(call) {
                *lane = None;
            }
        }
    }
}
