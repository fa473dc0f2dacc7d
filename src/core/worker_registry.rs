//! The workers of the shards that this node owns, and the search for one that fits a task.
//!
//! Used by `Node`'s placement and lease handling. Only records commitments: quota, fencing and the
//! calls to workers are the caller's part.

use {
    crate::core::{
        Epoch, FencingToken, HostedTask, Millis, PoolName, Resources, ShardFreeCapacity, ShardId,
        TaskId, VmRecord, Worker, WorkerHealth, WorkerId, WorkerState,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Max workers examined for one placement.
const MAX_PROBES: usize = 64;

/// Key of the index: pool, free part of the scarcest resource in thousandths of capacity, worker.
type FreeKey = (PoolName, u32, WorkerId);

/// The workers of owned shards, with an index by their scarcest free resource.
#[derive(Clone, Debug, Default)]
pub struct WorkerRegistry {
    workers: BTreeMap<WorkerId, Worker>,
    /// One key for each worker, as of its current free capacity.
    by_free: BTreeSet<FreeKey>,
    /// Max of each resource over all workers of a pool ever inserted; never lowered.
    max_capacity: BTreeMap<PoolName, Resources>,
    /// The worker that hosts each task.
    by_task: BTreeMap<TaskId, WorkerId>,
}

impl WorkerRegistry {
    /// Adds a worker without tasks or lease, in state `Listed` or `Opening`.
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
        let max_capacity = self.max_capacity.entry(worker.vm.pool.clone()).or_default();
        max_capacity.max_assign(&worker.vm.capacity);
        self.workers.insert(id, worker);
    }

    /// Removes a worker with its tasks and returns it; `None` if it is unknown.
    pub fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        let worker = self.workers.remove(id)?;
        self.by_free.remove(&free_key(&worker));
        for task in worker.tasks.keys() {
            self.by_task.remove(task);
        }
        Some(worker)
    }

    /// Returns a worker; `None` if no owned shard has it.
    pub fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Returns a worker for changes.
    ///
    /// These must leave `tasks`, `committed` and the VM's pool and capacity unchanged, on which
    /// the indexes depend.
    pub fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(id)
    }

    /// Iterates over all workers, in order of id.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns the ids of a shard's workers.
    pub fn ids_in_shard(&self, shard: ShardId) -> Vec<WorkerId> {
        let in_shard = self.workers.values().filter(|w| w.shard == shard);
        in_shard.map(|w| w.vm.id.clone()).collect()
    }

    /// Returns the worker that hosts a task; `None` if none here does.
    pub fn host_of(&self, task: &TaskId) -> Option<&Worker> {
        self.workers.get(self.by_task.get(task)?)
    }

    /// Returns a hosted task, for changes that leave its id and `need` unchanged, and its VM.
    pub fn task_mut(&mut self, task: &TaskId) -> Option<(&mut HostedTask, &VmRecord)> {
        let worker = self.workers.get_mut(self.by_task.get(task)?)?;
        Some((worker.tasks.get_mut(task)?, &worker.vm))
    }

    /// Adds a task to a worker and commits its resources; no effect if the worker is unknown.
    pub fn add_task(&mut self, id: &WorkerId, hosted: HostedTask) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        self.by_free.remove(&free_key(worker));
        worker.committed.add(&hosted.spec.need);
        self.by_task.insert(hosted.spec.id.clone(), id.clone());
        worker.tasks.insert(hosted.spec.id.clone(), hosted);
        self.by_free.insert(free_key(worker));
    }

    /// Removes a task and frees its resources; returns it and the shard of its worker.
    pub fn remove_task(&mut self, task: &TaskId) -> Option<(HostedTask, ShardId)> {
        let id = self.by_task.remove(task)?;
        let worker = self.workers.get_mut(&id)?;
        self.by_free.remove(&free_key(worker));
        let hosted = worker.tasks.remove(task)?;
        worker.committed = worker.committed.saturating_sub(&hosted.spec.need);
        self.by_free.insert(free_key(worker));
        Some((hosted, worker.shard))
    }

    /// Finds a schedulable worker with enough free capacity on a shard for which `allowed` is true.
    ///
    /// Starts with the fullest worker if `pack` is set, else with the emptiest one. Examines at
    /// most `MAX_PROBES` workers, so it may return `None` although one fits.
    pub fn find_fit(
        &self,
        pool: &PoolName,
        need: &Resources,
        pack: bool,
        now: Millis,
        allowed: impl Fn(ShardId) -> bool,
    ) -> Option<&Worker> {
        let max_capacity = self.max_capacity.get(pool)?;
        let min_free = need.min_permille_of(max_capacity);
        let start = (pool.clone(), min_free, WorkerId::from(""));
        let end = (pool.clone(), u32::MAX, WorkerId::from("\u{10ffff}"));
        let fitting = |key: &FreeKey| {
            let worker = &self.workers[&key.2];
            let fits = worker.free().covers(need) && worker.is_schedulable(now);
            (fits && allowed(worker.shard)).then_some(worker)
        };
        let mut range = self.by_free.range(start..=end);
        if pack {
            range.take(MAX_PROBES).find_map(fitting)
        } else {
            std::iter::from_fn(|| range.next_back())
                .take(MAX_PROBES)
                .find_map(fitting)
        }
    }

    /// Returns whether the task would fit any worker of the pool if that ran nothing, on `shard`
    /// or, if `None`, on any.
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

    /// Returns the free capacity of the schedulable workers by shard and pool, rounded down, for
    /// the heartbeats to other nodes.
    ///
    /// `worker_capacity` is that of whichever worker of the pool was visited last.
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

    /// Checks that `committed` is the sum over the tasks and within capacity for each worker;
    /// describes the first violation.
    pub fn check_invariants(&self) -> Option<String> {
        for worker in self.workers.values() {
            let mut sum = Resources::default();
            for hosted in worker.tasks.values() {
                sum.add(&hosted.spec.need);
            }
            if sum != worker.committed {
                return Some(format!(
                    "worker {}: committed resources differ from the sum of its tasks",
                    worker.vm.id
                ));
            }
            if !worker.vm.capacity.covers(&worker.committed) {
                return Some(format!(
                    "worker {}: committed resources exceed its capacity",
                    worker.vm.id
                ));
            }
        }
        None
    }
}

/// Builds a worker's key of the index; recomputed on every change of its commitments.
fn free_key(worker: &Worker) -> FreeKey {
    let free = worker.free().min_permille_of(&worker.vm.capacity);
    (worker.vm.pool.clone(), free, worker.vm.id.clone())
}
