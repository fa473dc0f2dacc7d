//! Decides which node should own the cell: the live node with the most processor time. Called by
//! the election in `membership`; pure functions without access to the store.
//!
//! Nodes of a fleet may differ: the owner of 350 executors needs about 0.35 of a core, and nodes
//! with an eighth of a core lose their lease again and again under that load.

use {crate::fleet::NodeRecord, std::cmp::Reverse};

/// How many times the owner's processor time another node must have for the owner to step
/// down. A change of owner briefly interrupts starts, so small differences are ignored.
const STEP_DOWN_FACTOR: u32 = 2;

/// Returns how many live nodes should claim before this one: those with more processor time,
/// then those with equal time and a smaller name; 0 if `me` is not in the list.
pub fn claim_rank(nodes: &[NodeRecord], me: &str) -> usize {
    let mut ranking: Vec<_> = nodes
        .iter()
        .map(|n| (Reverse(n.cpu_milli), &*n.node))
        .collect();
    ranking.sort_unstable();
    ranking.iter().position(|(_, n)| *n == me).unwrap_or(0)
}

/// Returns whether an owner should step down for a much stronger node; false if its own
/// processor time is unknown.
pub fn should_step_down(nodes: &[NodeRecord], me: &str) -> bool {
    let cpu = |n: &NodeRecord| n.cpu_milli;
    let Some(own_cpu) = nodes.iter().find(|n| &*n.node == me).map(cpu) else {
        return false;
    };
    let max_cpu = nodes.iter().map(cpu).max().unwrap_or(0);
    own_cpu > 0 && max_cpu >= own_cpu * STEP_DOWN_FACTOR
}
