//! Snapshot of the free capacity of all pools, taken once for each round.
//!
//! Keeps rounds short with hundreds of executors and a long queue: each waiting step considers
//! only executors with enough free capacity, and none if its need exceeds the maximum of its
//! pool. Used by placement, preemption and advice requests; it must not outlive its round.

use {
    crate::{
        core::Resources,
        fleet::{
            Cell, ExecutorId, ExecutorInfo, Job, JobId, Now, StepId, TaskId,
            unread_executors::TenantNeeds,
        },
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// A schedulable executor and its free capacity.
#[derive(Debug)]
pub(super) struct ExecutorCapacity {
    pub info: Arc<ExecutorInfo>,
    /// What is still free in this round.
    pub free: Resources,
    /// The last task that ended there failed.
    pub recently_failed: bool,
    /// It was suspected, and is not known to work again.
    pub on_trial: bool,
    /// Run time there in percent of the estimate.
    pub run_time_percent: u32,
    /// Step for whose tasks it is kept free in this round.
    reserved_for: Option<StepId>,
}

impl ExecutorCapacity {
    /// Returns whether it is not reserved for another step.
    pub fn is_open_to(&self, step: &StepId) -> bool {
        self.reserved_for.is_none_or(|s| s == *step)
    }
}

/// Executors of one pool that are schedulable and in the durable roster, in order of their ids.
#[derive(Debug, Default)]
struct PoolCapacity {
    executors: Vec<ExecutorCapacity>,
    /// Upper bound, for each resource, of what is free on any of them; free capacity only
    /// shrinks in a round.
    max_free: Resources,
    /// Number of reserved executors.
    reserved: usize,
}

impl PoolCapacity {
    fn position(&self, executor: &ExecutorId) -> Option<usize> {
        let found = self.executors.binary_search_by(|e| e.info.id.cmp(executor));
        found.ok()
    }
}

/// Free capacity of all pools in one round.
#[derive(Debug, Default)]
pub(super) struct CapacitySnapshot {
    pools: HashMap<Arc<str>, PoolCapacity>,
    /// Sum of the maximum capacities of unread executors for which the needs of the possible runs are not
    /// known: upper bound of what runs there. One whose capacity is unknown counts as the largest executor.
    pub unread_capacity: Resources,
}

impl CapacitySnapshot {
    /// Lists the schedulable executors of a pool, also those without free capacity.
    pub fn in_pool(&self, pool: &str) -> &[ExecutorCapacity] {
        self.pools.get(pool).map_or(&[], |p| &p.executors)
    }

    /// Returns a schedulable executor of a pool.
    pub fn get(&self, pool: &str, executor: &ExecutorId) -> Option<&ExecutorCapacity> {
        let pool = self.pools.get(pool)?;
        pool.executors.get(pool.position(executor)?)
    }

    /// Returns whether no executor of a pool has `need` free.
    pub fn lacks(&self, pool: &str, need: &Resources) -> bool {
        let pool = self.pools.get(pool);
        pool.is_none_or(|p| !p.max_free.covers(need))
    }

    /// Subtracts the need of a task that was started from the free capacity of its executor.
    pub fn allocate(&mut self, pool: &str, executor: &ExecutorId, need: &Resources) {
        if let Some(entry) = self.get_mut(pool, executor) {
            entry.free = entry.free.saturating_sub(need);
        }
    }

    /// Leaves no free capacity on an executor for the rest of the round.
    pub fn close(&mut self, pool: &str, executor: &ExecutorId) {
        if let Some(entry) = self.get_mut(pool, executor) {
            entry.free = Resources::default();
        }
    }

    /// Keeps an executor free for a step for the rest of the round.
    pub fn reserve(&mut self, pool: &str, executor: &ExecutorId, step: StepId) {
        let newly = self
            .get_mut(pool, executor)
            .is_some_and(|e| e.reserved_for.replace(step).is_none());
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.reserved += usize::from(newly);
        }
    }

    /// Counts the reserved executors of a pool.
    pub fn reserved_count(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |p| p.reserved)
    }

    fn get_mut(&mut self, pool: &str, executor: &ExecutorId) -> Option<&mut ExecutorCapacity> {
        let pool = self.pools.get_mut(pool)?;
        let position = pool.position(executor)?;
        pool.executors.get_mut(position)
    }
}

impl Cell {
    /// Takes the snapshot for one round.
    pub(super) fn capacity_snapshot(&self, now: Now) -> CapacitySnapshot {
        let mut snapshot = CapacitySnapshot::default();
        for executor in self.executors.values() {
            let info = &executor.info;
            if !executor.is_schedulable(now.mono)
                || !self.in_roster(info)
                || !self.roster_covers(info)
                || !self.leaving.may_start(&info.id)
                || self.is_evacuated(info)
                || self.is_in_upkeep(&info.id)
            {
                continue;
            }
            let free = if self.crash_watch.holds.contains_key(&info.id) {
                Resources::default()
            } else {
                executor.free()
            };
            let pool = snapshot
                .pools
                .entry(executor.info.pool.clone())
                .or_default();
            pool.executors.push(ExecutorCapacity {
                info: executor.info.clone(),
                free,
                recently_failed: executor.suspicion.recently_failed(),
                on_trial: executor.trial_tasks_left(now.mono).is_some(),
                run_time_percent: executor.run_time.percent(),
                reserved_for: None,
            });
            pool.max_free.max_assign(&free);
        }
        let mut largest = Resources::default();
        let executors = self.executors.values();
        executors.for_each(|e| largest.max_assign(&e.max_capacity));
        for id in self.unread.without_needs() {
            if let Some(executor) = self.executors.get(id) {
                let known = executor.max_capacity != Resources::default();
                let capacity = if known {
                    &executor.max_capacity
                } else {
                    &largest
                };
                snapshot.unread_capacity.add(capacity);
            }
        }
        snapshot
    }
}

/// Sums what tasks need by the tenants of their jobs; `None` if a task is not known.
pub(super) fn tenant_needs(jobs: &BTreeMap<JobId, Job>, tasks: &[TaskId]) -> Option<TenantNeeds> {
    let mut needs: BTreeMap<Arc<str>, Resources> = BTreeMap::new();
    for task in tasks {
        let job = jobs.get(&task.step.job)?;
        let need = job.spec(task.step.step)?.allocation();
        if let Some(tenant) = &job.submission.tenant {
            needs.entry(tenant.clone()).or_default().add(&need);
        }
    }
    Some(needs.into_iter().collect())
}
