//! The workers of the shards that this node owns, and where tasks fit on them.

use {
    crate::core::{
        Epoch, FencingToken, HostedTask, Millis, PoolName, Resources, ShardFreeCapacity, ShardId,
        TaskId, VmRecord, Worker, WorkerHealth, WorkerId, WorkerState,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Most workers looked at for one placement.
const MAX_PROBES: usize = 64;

/// Key of the index: pool, scarcest free resource in thousandths of capacity, worker.
type FreeKey = (PoolName, u32, WorkerId);

/// Owned workers with an index by their scarcest free resource.
#[derive(Clone, Debug, Default)]
pub struct WorkerRegistry {
    workers: BTreeMap<WorkerId, Worker>,
    by_free: BTreeSet<FreeKey>,
    /// The largest worker seen of each pool, by each resource.
    max_capacity: BTreeMap<PoolName, Resources>,
    /// Where each task is hosted.
    by_task: BTreeMap<TaskId, WorkerId>,
}

impl WorkerRegistry {
    /// Adds a worker of a shard, before its lease is open.
    pub fn insert(&mut self, vm: VmRecord, shard: ShardId, epoch: Epoch, state: WorkerState) {
        let id = vm.id.clone();
        let worker = Worker {
            vm,
            shard,
            state,
            fence: FencingToken {
                epoch,
                lease_seq: 0,
            },
            committed: Resources::default(),
            tasks: BTreeMap::new(),
            health: WorkerHealth::default(),
            lease_call_sent_at: None,
            retry_at: 0,
            lease_expired_by: None,
            clock_sample: None,
            lease_expires_at: 0,
            last_event: 0,
            acked_event: 0,
            unreachable: false,
            unlisted_since: None,
        };
        self.by_free.insert(free_key(&worker));
        let largest = self.max_capacity.entry(worker.vm.pool.clone()).or_default();
        largest.max_assign(&worker.vm.capacity);
        self.workers.insert(id, worker);
    }

    /// Removes a worker and returns it.
    pub fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        let worker = self.workers.remove(id)?;
        self.by_free.remove(&free_key(&worker));
        for task in worker.tasks.keys() {
            self.by_task.remove(task);
        }
        Some(worker)
    }

    /// Returns a worker.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns a worker for changes that leave its tasks as they are.
    pub fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    /// Iterates over all workers.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Lists the workers of a shard.
    pub fn ids_in_shard(&self, shard: ShardId) -> Vec<WorkerId> {
        let of = self.workers.values().filter(|w| w.shard == shard);
        of.map(|w| w.vm.id.clone()).collect()
    }

    /// Returns the worker that hosts a task.
    pub fn host_of(&self, task: &TaskId) -> Option<&Worker> {
        self.workers.get(self.by_task.get(task)?)
    }

    /// Returns a hosted task for changes that leave its resources as they are.
    pub fn task_mut(&mut self, task: &TaskId) -> Option<(&mut HostedTask, &VmRecord)> {
        let worker = self.workers.get_mut(self.by_task.get(task)?)?;
        Some((worker.tasks.get_mut(task)?, &worker.vm))
    }

    /// Commits a task's resources on a worker.
    pub fn commit(&mut self, id: &WorkerId, hosted: HostedTask) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        self.by_free.remove(&free_key(worker));
        worker.committed.add(&hosted.spec.need);
        self.by_task.insert(hosted.spec.id.clone(), id.clone());
        worker.tasks.insert(hosted.spec.id.clone(), hosted);
        self.by_free.insert(free_key(worker));
    }

    /// Frees a task's resources; returns the task and its shard.
    pub fn remove_task(&mut self, task: &TaskId) -> Option<(HostedTask, ShardId)> {
        let id = self.by_task.remove(task)?;
        let worker = self.workers.get_mut(&id)?;
        self.by_free.remove(&free_key(worker));
        let hosted = worker.tasks.remove(task)?;
        worker.committed = worker.committed.saturating_sub(&hosted.spec.need);
        self.by_free.insert(free_key(worker));
        Some((hosted, worker.shard))
    }

    /// Finds a worker with room, on a given shard or any for which `allowed` holds.
    pub fn find_fit(
        &self,
        pool: &PoolName,
        need: &Resources,
        pack: bool,
        now: Millis,
        allowed: impl Fn(ShardId) -> bool,
    ) -> Option<&Worker> {
        let largest = self.max_capacity.get(pool)?;
        let least = need.min_permille_of(largest);
        let low = (pool.clone(), least, WorkerId::from(""));
        let high = (pool.clone(), u32::MAX, WorkerId::from("\u{10ffff}"));
        let usable = |key: &FreeKey| {
            let worker = &self.workers[&key.2];
            let fits = worker.free().covers(need) && worker.is_schedulable(now);
            (fits && allowed(worker.shard)).then_some(worker)
        };
        let mut range = self.by_free.range(low..=high);
        if pack {
            range.take(MAX_PROBES).find_map(usable)
        } else {
            std::iter::from_fn(|| range.next_back())
                .take(MAX_PROBES)
                .find_map(usable)
        }
    }

    /// Tells whether any worker of the pool could hold the task when empty.
    pub fn any_could_fit(&self, pool: &PoolName, need: &Resources, shard: Option<ShardId>) -> bool {
        self.workers.values().any(|w| {
            w.vm.pool == *pool && w.vm.capacity.covers(need) && shard.is_none_or(|s| s == w.shard)
        })
    }

    /// Sums the capacity of all workers whose lease is open.
    pub fn open_capacity(&self) -> Resources {
        let mut sum = Resources::default();
        for worker in self.workers.values() {
            if worker.state == WorkerState::Open {
                sum.add(&worker.vm.capacity);
            }
        }
        sum
    }

    /// Summarises free room by shard and pool, for other nodes.
    pub fn free_capacity(&self, now: Millis) -> Vec<ShardFreeCapacity> {
        let mut sums: BTreeMap<(ShardId, PoolName), ShardFreeCapacity> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| w.is_schedulable(now)) {
            let key = (worker.shard, worker.vm.pool.clone());
            let sum = sums.entry(key).or_insert_with(|| ShardFreeCapacity {
                shard: worker.shard,
                pool: worker.vm.pool.clone(),
                zone: worker.vm.zone.clone(),
                free_slots: 0,
                max_free: Resources::default(),
                worker_capacity: Resources::default(),
            });
            let free = worker.free();
            sum.free_slots += free.slots;
            if free.dominant_share(&worker.vm.capacity)
                > sum.max_free.dominant_share(&worker.vm.capacity)
            {
                sum.max_free = free;
            }
            sum.worker_capacity = worker.vm.capacity;
        }
        sums.into_values()
            .map(ShardFreeCapacity::rounded_down)
            .collect()
    }

    /// Checks that commitments are exact and within capacity; returns what is wrong.
    pub fn check_invariants(&self) -> Option<String> {
        for worker in self.workers.values() {
            let mut sum = Resources::default();
            for hosted in worker.tasks.values() {
                sum.add(&hosted.spec.need);
            }
            if sum != worker.committed {
                return Some(format!("worker {}: commitments differ", worker.vm.id));
            }
            if !worker.vm.capacity.covers(&worker.committed) {
                return Some(format!(
                    "worker {}: committed beyond capacity",
                    worker.vm.id
                ));
            }
        }
        None
    }
}

fn free_key(worker: &Worker) -> FreeKey {
    let free = worker.free().min_permille_of(&worker.vm.capacity);
    (worker.vm.pool.clone(), free, worker.vm.id.clone())
}
