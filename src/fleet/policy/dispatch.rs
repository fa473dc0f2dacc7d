//! Which node sends the owner's commands to an executor.
//!
//! Answers a fleet of hundreds of executors, whose exchange one node cannot carry: a call to an
//! executor costs far more processor time than the decision behind it.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// A node that can send commands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatcher {
    pub node: Arc<str>,
    pub zone: Arc<str>,
    /// CPU time granted to its VM, in thousandths of a core.
    pub cpu_milli: u32,
}

/// Chooses the node for an executor by weighted rendezvous hashing and returns its index; `None` if
/// there is no node.
///
/// Nodes of the executor's zone go first. Each gets a part of the executors in proportion to its
/// CPU, and the loss or return of one moves only the executors that it had.
pub fn choose_dispatcher(executor: &str, zone: &str, nodes: &[Dispatcher]) -> Option<usize> {
    let score = |node: &Dispatcher| {
        let mut hasher = DefaultHasher::new();
        (executor, &*node.node).hash(&mut hasher);
        // The upper 53 bits fit in the mantissa.
        #[allow(clippy::cast_precision_loss)]
        let uniform = ((hasher.finish() >> 11) as f64 + 1.0) / 9_007_199_254_740_994.0;
        f64::from(node.cpu_milli.max(1)) / -uniform.ln()
    };
    let ranked = nodes.iter().enumerate().map(|(i, node)| {
        let rank = (*node.zone == *zone, score(node));
        (i, rank)
    });
    let best = ranked.max_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|(i, _)| i)
}
