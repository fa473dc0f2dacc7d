//! The table of shard owners, kept as one JSON value in the store.
//!
//! `cluster` reads, proposes and adopts tables; `Node` takes over and drops shards accordingly.
//! This module only computes tables: it neither reads nor writes the store.

use {
    crate::core::{Epoch, NodeId, SHARD_COUNT, ShardId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Owner and epoch of one shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct ShardOwner")]
pub struct ShardEntry {
    /// `None` until the shard has its first owner.
    pub owner: Option<NodeId>,
    /// Increases by one whenever `owner` changes.
    pub epoch: Epoch,
}

/// Owners of all shards at one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardTable {
    /// Store version of the value; nodes adopt only a higher one.
    pub revision: u64,
    /// Identifies the write, so that reading tells whether a write without a reply took effect.
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

    /// Returns the owner of a shard; `None` if it never had one.
    pub fn owner(&self, shard: ShardId) -> Option<&NodeId> {
        self.entry(shard).owner.as_ref()
    }

    /// Iterates over the shards that a node owns, with their epochs.
    pub fn owned_by<'a>(&'a self, node: &'a NodeId) -> impl Iterator<Item = (ShardId, Epoch)> + 'a {
        ShardId::all()
            .filter(move |s| self.owner(*s) == Some(node))
            .map(|s| (s, self.entry(s).epoch))
    }

    /// Returns true if a node owns a shard at exactly this epoch.
    pub fn owns(&self, node: &NodeId, shard: ShardId, epoch: Epoch) -> bool {
        let entry = self.entry(shard);
        entry.owner.as_ref() == Some(node) && entry.epoch == epoch
    }

    /// Returns a table in which only `members` own shards, balanced by `weights`.
    ///
    /// A shard keeps its owner unless that is not a member or carries more than its part of the
    /// load. `weights` is indexed by shard; missing entries count as 0. Returns `None` if nothing
    /// would change or there are no members.
    pub fn rebalanced(&self, members: &[NodeId], weights: &[u32]) -> Option<Self> {
        if members.is_empty() {
            return None;
        }
        let mut next = self.clone();
        let mut load: BTreeMap<&NodeId, u32> = members.iter().map(|m| (m, 0)).collect();
        let mut unowned = Vec::new();
        for shard in ShardId::all() {
            match self.owner(shard).and_then(|o| load.get_mut(o)) {
                Some(load) => *load += weight(weights, shard),
                None => unowned.push(shard),
            }
        }
        unowned.sort_by_key(|s| (std::cmp::Reverse(weight(weights, *s)), *s));
        for shard in unowned {
            if let Some(target) = least_loaded(&load) {
                *load.entry(target).or_default() += weight(weights, shard);
                next.set_owner(shard, target);
            }
        }
        while let Some((shard, to)) = next.find_move(&load, weights) {
            if let Some(from) = members.iter().find(|m| next.owner(shard) == Some(m)) {
                *load.entry(from).or_default() -= weight(weights, shard);
            }
            *load.entry(to).or_default() += weight(weights, shard);
            next.set_owner(shard, to);
        }
        next.increment_epochs(self);
        (next.shards != self.shards).then_some(next)
    }

    fn set_owner(&mut self, shard: ShardId, to: &NodeId) {
        self.shards[usize::from(shard.0)].owner = Some(to.clone());
    }

    /// Increments the epoch of every shard whose owner differs from that in `old`.
    fn increment_epochs(&mut self, old: &Self) {
        for (new, old) in self.shards.iter_mut().zip(&old.shards) {
            new.epoch.0 = old.epoch.0 + u64::from(new.owner != old.owner);
        }
    }

    /// Finds a shard whose move from the most to the least loaded member reduces their difference.
    fn find_move<'a>(
        &self,
        load: &BTreeMap<&'a NodeId, u32>,
        weights: &[u32],
    ) -> Option<(ShardId, &'a NodeId)> {
        let to = least_loaded(load)?;
        let (from, max_load) = load.iter().max_by_key(|(_, load)| **load)?;
        let difference = max_load - load[to];
        let shard = ShardId::all()
            .filter(|s| self.owner(*s) == Some(*from))
            .filter(|s| 2 * weight(weights, *s) <= difference && weight(weights, *s) > 0)
            .max_by_key(|s| weight(weights, *s))?;
        (2 * weight(weights, shard) <= difference && difference > MIN_MOVE_GAP)
            .then_some((shard, to))
    }
}

/// Minimum difference in load between two members above which a shard is moved; one worker VM
/// weighs 8.
const MIN_MOVE_GAP: u32 = 8;

/// Returns the load of a shard; the 1 spreads shards without workers too.
fn weight(weights: &[u32], shard: ShardId) -> u32 {
    1 + weights.get(usize::from(shard.0)).copied().unwrap_or(0)
}

fn least_loaded<'a>(load: &BTreeMap<&'a NodeId, u32>) -> Option<&'a NodeId> {
    load.iter()
        .min_by_key(|(_, load)| **load)
        .map(|(node, _)| *node)
}
