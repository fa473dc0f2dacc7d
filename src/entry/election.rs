//! Which node should own the cell: the strongest that lives.
//!
//! Answers fleets whose nodes differ: the owner of 350 executors needs about 0.35 of a core,
//! and nodes of an eighth of a core lose their lease over it again and again.

use {crate::fleet::NodeRecord, std::cmp::Reverse};

/// How many times stronger another node must be for an owner to cede: a change of owner
/// interrupts starts for a moment, so small differences are left alone.
const CEDE_FACTOR: u32 = 2;

/// Returns how many live nodes should claim before this one: the stronger ones, then by name.
pub fn claim_rank(nodes: &[NodeRecord], me: &str) -> usize {
    let mut order: Vec<_> = nodes
        .iter()
        .map(|n| (Reverse(n.cpu_milli), &*n.node))
        .collect();
    order.sort_unstable();
    order.iter().position(|(_, n)| *n == me).unwrap_or(0)
}

/// Tells whether an owner should give way to a much stronger node.
pub fn should_step_down(nodes: &[NodeRecord], me: &str) -> bool {
    let strength = |n: &NodeRecord| n.cpu_milli;
    let Some(mine) = nodes.iter().find(|n| &*n.node == me).map(strength) else {
        return false;
    };
    let strongest = nodes.iter().map(strength).max().unwrap_or(0);
    mine > 0 && strongest >= mine * CEDE_FACTOR
}
