//! The table of shard owners, kept as one value in the store.

use {
    crate::core::{Epoch, NodeId, SHARD_COUNT, ShardId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Who owns one shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardEntry {
    /// `None` until a first node takes the shard.
    pub owner: Option<NodeId>,
    /// Grows by one whenever `owner` changes.
    pub epoch: Epoch,
}

/// Owners of all shards at one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardTable {
    /// Store version of the value; nodes move only to a higher one.
    pub revision: u64,
    /// Identifies the write, so that a lost answer can be settled by reading.
    pub write_id: u64,
    /// Indexed by shard; always [`SHARD_COUNT`] long.
    pub shards: Vec<ShardEntry>,
}

impl Default for ShardTable {
    fn default() -> Self {
        Self {
            revision: 0,
            write_id: 0,
            shards: vec![ShardEntry::default(); usize::from(SHARD_COUNT)],
        }
    }
}

impl ShardTable {
    /// Returns the entry of a shard.
    pub fn entry(&self, shard: ShardId) -> &ShardEntry {
        &self.shards[usize::from(shard.0)]
    }

    /// Returns the owner of a shard.
    pub fn owner(&self, shard: ShardId) -> Option<&NodeId> {
        self.entry(shard).owner.as_ref()
    }

    /// Iterates over the shards of a node with their epochs.
    pub fn owned_by<'a>(&'a self, node: &'a NodeId) -> impl Iterator<Item = (ShardId, Epoch)> + 'a {
        ShardId::all()
            .filter(move |s| self.owner(*s) == Some(node))
            .map(|s| (s, self.entry(s).epoch))
    }

    /// Tells whether a node owns a shard at an epoch.
    pub fn owns(&self, node: &NodeId, shard: ShardId, epoch: Epoch) -> bool {
        let entry = self.entry(shard);
        entry.owner.as_ref() == Some(node) && entry.epoch == epoch
    }

    /// Returns a table in which only `members` own shards, spread by `weights`.
    ///
    /// Shards stay where they are unless their owner is no member or carries more than
    /// its part; `None` when nothing would change.
    pub fn rebalanced(&self, members: &[NodeId], weights: &[u32]) -> Option<Self> {
        if members.is_empty() {
            return None;
        }
        let mut next = self.clone();
        let mut load: BTreeMap<&NodeId, u32> = members.iter().map(|m| (m, 0)).collect();
        let mut homeless = Vec::new();
        for shard in ShardId::all() {
            match self.owner(shard).and_then(|o| load.get_mut(o)) {
                Some(l) => *l += weight(weights, shard),
                None => homeless.push(shard),
            }
        }
        homeless.sort_by_key(|s| (std::cmp::Reverse(weight(weights, *s)), *s));
        for shard in homeless {
            if let Some(target) = lightest(&load) {
                *load.entry(target).or_default() += weight(weights, shard);
                next.assign(shard, target);
            }
        }
        while let Some((shard, to)) = next.best_move(&load, weights) {
            if let Some(from) = members.iter().find(|m| next.owner(shard) == Some(m)) {
                *load.entry(from).or_default() -= weight(weights, shard);
            }
            *load.entry(to).or_default() += weight(weights, shard);
            next.assign(shard, to);
        }
        next.raise_epochs(self);
        (next.shards != self.shards).then_some(next)
    }

    fn assign(&mut self, shard: ShardId, to: &NodeId) {
        self.shards[usize::from(shard.0)].owner = Some(to.clone());
    }

    /// Raises the epoch of every shard whose owner differs from that in `old`.
    fn raise_epochs(&mut self, old: &Self) {
        for (new, old) in self.shards.iter_mut().zip(&old.shards) {
            new.epoch.0 = old.epoch.0 + u64::from(new.owner != old.owner);
        }
    }

    /// Finds a shard whose move from the heaviest to the lightest member narrows their gap.
    fn best_move<'a>(
        &self,
        load: &BTreeMap<&'a NodeId, u32>,
        weights: &[u32],
    ) -> Option<(ShardId, &'a NodeId)> {
        let to = lightest(load)?;
        let (from, heavy) = load.iter().max_by_key(|(_, l)| **l)?;
        let gap = heavy - load[to];
        let shard = ShardId::all()
            .filter(|s| self.owner(*s) == Some(*from))
            .filter(|s| 2 * weight(weights, *s) <= gap && weight(weights, *s) > 0)
            .max_by_key(|s| weight(weights, *s))?;
        (2 * weight(weights, shard) <= gap && gap > MOVE_GAP).then_some((shard, to))
    }
}

/// Smallest difference in weight between two members that is worth moving a shard for.
const MOVE_GAP: u32 = 8;

fn weight(weights: &[u32], shard: ShardId) -> u32 {
    1 + weights.get(usize::from(shard.0)).copied().unwrap_or(0)
}

fn lightest<'a>(load: &BTreeMap<&'a NodeId, u32>) -> Option<&'a NodeId> {
    load.iter().min_by_key(|(_, l)| **l).map(|(n, _)| *n)
}
