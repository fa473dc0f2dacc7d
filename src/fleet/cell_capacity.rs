//! Snapshot of the free capacity of all pools, taken once for each round.
//!
//! Keeps rounds short with hundreds of executors and a long queue: each waiting step considers
//! only executors with enough free capacity, and none if its need exceeds the maximum of its
//! pool. Used by placement, preemption and advice requests; it must not outlive its round.

use {
    crate::{
        core::Resources,
        fleet::{Cell, ExecutorId, ExecutorInfo, Now},
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// A schedulable executor and its free capacity.
#[derive(Debug)]
pub(super) struct ExecutorCapacity {
    pub info: Arc<ExecutorInfo>,
    /// What is still free in this round.
    pub free: Resources,
    /// Upper bound of what is free once all preemptible runs are stopped.
    free_after_preemption: Resources,
    /// The last task that ended there failed.
    pub recently_failed: bool,
}

/// Executors of one pool that are schedulable and in the durable roster, in order of their ids.
#[derive(Debug, Default)]
struct PoolCapacity {
    executors: Vec<ExecutorCapacity>,
    /// Upper bound, for each resource, of what is free on any of them; free capacity only
    /// shrinks in a round.
    max_free: Resources,
}

/// Free capacity of all pools in one round.
#[derive(Debug, Default)]
pub(super) struct CapacitySnapshot {
    pools: HashMap<Arc<str>, PoolCapacity>,
    /// Pools with unreconciled executors, on which runs of an earlier owner may exist.
    unreconciled_pools: HashSet<Arc<str>>,
    /// Sum of the capacities of unreconciled executors: upper bound of what runs there.
    pub unreconciled_capacity: Resources,
}

impl CapacitySnapshot {
    /// Lists the schedulable executors of a pool, also those without free capacity.
    pub fn in_pool(&self, pool: &str) -> &[ExecutorCapacity] {
        self.pools.get(pool).map_or(&[], |p| &p.executors)
    }

    /// Lists the executors of a pool on which `need` is free.
    pub fn with_free(
        &self,
        pool: &str,
        need: &Resources,
    ) -> impl Iterator<Item = &ExecutorCapacity> {
        let capacity = self.pools.get(pool).filter(|r| r.max_free.covers(need));
        let executors = capacity.into_iter().flat_map(|r| &r.executors);
        executors.filter(|e| e.free.covers(need))
    }

    /// Lists the executors of a pool on which stopping runs may free `need`.
    pub fn with_preemptible(
        &self,
        pool: &str,
        need: &Resources,
    ) -> impl Iterator<Item = &ExecutorCapacity> {
        let executors = self.in_pool(pool).iter();
        executors.filter(|e| e.free_after_preemption.covers(need))
    }

    /// Subtracts the need of a task that was started from the free capacity of its executor.
    pub fn allocate(&mut self, pool: &str, executor: &ExecutorId, need: &Resources) {
        let capacity = self.pools.get_mut(pool);
        let mut executors = capacity.into_iter().flat_map(|r| &mut r.executors);
        if let Some(entry) = executors.find(|e| e.info.id == *executor) {
            entry.free = entry.free.saturating_sub(need);
        }
    }

    /// Returns whether runs of an earlier owner that this owner has not read may exist in a pool.
    pub fn has_unreconciled(&self, pool: &str) -> bool {
        self.unreconciled_pools.contains(pool)
    }
}

impl Cell {
    /// Takes the snapshot for one round.
    pub(super) fn capacity_snapshot(&self, now: Now) -> CapacitySnapshot {
        let mut snapshot = CapacitySnapshot::default();
        for (id, executor) in &self.executors {
            if !executor.is_schedulable(now.mono) || !self.roster.contains(id) {
                continue;
            }
            let free = executor.free();
            let pool = snapshot
                .pools
                .entry(executor.info.pool.clone())
                .or_default();
            pool.executors.push(ExecutorCapacity {
                info: executor.info.clone(),
                free,
                free_after_preemption: executor.free_after_preemption(),
                recently_failed: executor.recently_failed(),
            });
            pool.max_free.max_assign(&free);
        }
        for id in &self.unreconciled {
            if let Some(executor) = self.executors.get(id) {
                snapshot
                    .unreconciled_pools
                    .insert(executor.info.pool.clone());
                snapshot.unreconciled_capacity.add(&executor.info.capacity);
            }
        }
        snapshot
    }
}
