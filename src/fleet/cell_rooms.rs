//! Where there is room, gathered once for a round of decisions.
//!
//! Answers fleets of hundreds of executors with a long queue: each waiting step looks only at
//! executors that have room, and at none if its need exceeds the largest room of its pool.

use {
    crate::{
        core::Resources,
        fleet::{Cell, ExecutorId, Now},
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
};

/// Executors of one pool that may take tasks.
#[derive(Debug, Default)]
pub(super) struct PoolRooms {
    /// Usable and in the roster, by name, with room when the round began.
    pub executors: Vec<ExecutorId>,
    /// Upper bound of the room on any of them, by resource; room only shrinks in a round.
    largest: Resources,
}

/// Room of all pools in one round of decisions.
#[derive(Debug, Default)]
pub(super) struct PlanRooms {
    pools: HashMap<Arc<str>, PoolRooms>,
    /// Pools with executors on which unknown runs of an earlier owner may be.
    unsettled: HashSet<Arc<str>>,
    /// The most that may run on executors whose lists this owner has not read.
    pub unseen: Resources,
}

impl PlanRooms {
    /// Returns the executors of a pool that could hold `need`, if any could.
    pub fn with_room(&self, pool: &str, need: &Resources) -> &[ExecutorId] {
        match self.pools.get(pool) {
            Some(rooms) if rooms.largest.holds(need) => &rooms.executors,
            _ => &[],
        }
    }

    /// Tells whether runs of an earlier owner may exist that have not been seen.
    pub fn unsettled(&self, pool: &str) -> bool {
        self.unsettled.contains(pool)
    }
}

impl Cell {
    /// Gathers the room of all pools.
    pub(super) fn plan_rooms(&self, now: Now) -> PlanRooms {
        let mut all = PlanRooms::default();
        for (id, executor) in &self.executors {
            if !executor.usable(now.mono) || !self.roster.contains(id) {
                continue;
            }
            let free = executor.free();
            if free == Resources::default() {
                continue;
            }
            let rooms = all.pools.entry(executor.info.pool.clone()).or_default();
            rooms.executors.push(id.clone());
            rooms.largest.raise_to(&free);
        }
        for id in &self.unsettled {
            if let Some(executor) = self.executors.get(id) {
                all.unsettled.insert(executor.info.pool.clone());
                all.unseen.add(&executor.info.capacity);
            }
        }
        all
    }
}
