//! Where there is room, gathered once for a round of decisions.
//!
//! Answers fleets of hundreds of executors with a long queue: each waiting step looks only at
//! executors that have room, and at none if its need exceeds the largest room of its pool.

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

/// An executor that may take tasks.
#[derive(Debug)]
pub(super) struct ExecutorCapacity {
    pub info: Arc<ExecutorInfo>,
    /// What is left in this round.
    pub free: Resources,
    /// Upper bound of what stopping runs can free.
    reach: Resources,
    /// The last task that ended there failed.
    pub recently_failed: bool,
}

/// Executors of one pool that are usable and in the roster, by name.
#[derive(Debug, Default)]
struct PoolRooms {
    executors: Vec<ExecutorCapacity>,
    /// Upper bound of the room on any of them, by resource; room only shrinks in a round.
    largest: Resources,
}

/// Room of all pools in one round of decisions.
#[derive(Debug, Default)]
pub(super) struct CapacitySnapshot {
    pools: HashMap<Arc<str>, PoolRooms>,
    /// Pools with executors on which unknown runs of an earlier owner may be.
    unreconciled: HashSet<Arc<str>>,
    /// The most that may run on executors whose lists this owner has not read.
    pub unreconciled_capacity: Resources,
}

impl CapacitySnapshot {
    /// Lists the executors of a pool that may take tasks.
    pub fn in_pool(&self, pool: &str) -> &[ExecutorCapacity] {
        self.pools.get(pool).map_or(&[], |p| &p.executors)
    }

    /// Lists the executors of a pool that hold `need`.
    pub fn with_free(
        &self,
        pool: &str,
        need: &Resources,
    ) -> impl Iterator<Item = &ExecutorCapacity> {
        let rooms = self.pools.get(pool).filter(|r| r.largest.covers(need));
        let executors = rooms.into_iter().flat_map(|r| &r.executors);
        executors.filter(|e| e.free.covers(need))
    }

    /// Lists the executors of a pool on which stopping runs may make room for `need`.
    pub fn with_preemptible(
        &self,
        pool: &str,
        need: &Resources,
    ) -> impl Iterator<Item = &ExecutorCapacity> {
        let executors = self.in_pool(pool).iter();
        executors.filter(|e| e.reach.covers(need))
    }

    /// Notes that a task was started.
    pub fn allocate(&mut self, pool: &str, executor: &ExecutorId, need: &Resources) {
        let rooms = self.pools.get_mut(pool);
        let mut executors = rooms.into_iter().flat_map(|r| &mut r.executors);
        if let Some(room) = executors.find(|e| e.info.id == *executor) {
            room.free = room.free.saturating_sub(need);
        }
    }

    /// Tells whether runs of an earlier owner may exist that have not been seen.
    pub fn unreconciled(&self, pool: &str) -> bool {
        self.unreconciled.contains(pool)
    }
}

impl Cell {
    /// Gathers the room of all pools.
    pub(super) fn capacity_snapshot(&self, now: Now) -> CapacitySnapshot {
        let mut all = CapacitySnapshot::default();
        for (id, executor) in &self.executors {
            if !executor.is_schedulable(now.mono) || !self.roster.contains(id) {
                continue;
            }
            let free = executor.free();
            let rooms = all.pools.entry(executor.info.pool.clone()).or_default();
            rooms.executors.push(ExecutorCapacity {
                info: executor.info.clone(),
                free,
                reach: executor.free_after_preemption(),
                recently_failed: executor.recently_failed(),
            });
            rooms.largest.max_assign(&free);
        }
        for id in &self.unreconciled {
            if let Some(executor) = self.executors.get(id) {
                all.unreconciled.insert(executor.info.pool.clone());
                all.unreconciled_capacity.add(&executor.info.capacity);
            }
        }
        all
    }
}
