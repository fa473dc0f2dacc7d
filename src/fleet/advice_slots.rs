//! Advice slots: the advice service works on one call at a time for each calling node.
//!
//! Used by the cell to choose the node for a call. Nothing here makes the call.

use {
    crate::core::CallId,
    std::{collections::HashMap, sync::Arc},
};

/// Part of the slots that slow calls leave free for quick ones: a fourth.
const RESERVED_DIVISOR: usize = 4;

/// Duration in ms above which a call counts as slow: a quick call that waits longer for a slot
/// would use up the slack of the most urgent queues (objective 250 ms).
const SLOW_CALL_MS: u64 = 100;

/// The slot of each live node, with the call in flight if there is one.
#[derive(Debug, Default)]
pub struct AdviceSlots {
    slots: HashMap<Arc<str>, Option<CallId>>,
}

impl AdviceSlots {
    /// Sets the nodes that have a slot. Calls of nodes that left are dropped by their timeout.
    pub fn set_nodes(&mut self, nodes: Vec<Arc<str>>) {
        let old = std::mem::take(&mut self.slots);
        for node in nodes {
            let call = old.get(&node).copied().flatten();
            self.slots.insert(node, call);
        }
    }

    /// Counts the slots, free or not.
    pub fn count(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether any slot is free.
    pub fn has_free(&self) -> bool {
        self.slots.values().any(Option::is_none)
    }

    /// Returns whether a slot is free for a call that takes `cost_ms`.
    pub fn is_free_for(&self, cost_ms: u64) -> bool {
        self.find_free(cost_ms).is_some()
    }

    /// Returns a node with a free slot for a call that takes `cost_ms`; `None` if all are in use or
    /// reserved for quicker calls.
    pub fn find_free(&self, cost_ms: u64) -> Option<Arc<str>> {
        let mut free: Vec<&Arc<str>> = self
            .slots
            .iter()
            .filter(|(_, call)| call.is_none())
            .map(|(node, _)| node)
            .collect();
        let reserved = if cost_ms > SLOW_CALL_MS && self.slots.len() > 1 {
            (self.slots.len() / RESERVED_DIVISOR).max(1)
        } else {
            0
        };
        if free.len() <= reserved {
            return None;
        }
        free.sort();
        free.first().map(|n| (*n).clone())
    }

    /// Marks a node's slot as used by a call.
    pub fn acquire(&mut self, node: &Arc<str>, call: CallId) {
        if let Some(slot) = self.slots.get_mut(node) {
            *slot = Some(call);
        }
    }

    /// Frees the slot that a call used, if it still has one.
    pub fn release(&mut self, call: CallId) {
        for slot in self.slots.values_mut() {
            if *slot == Some(call) {
                *slot = None;
            }
        }
    }
}
