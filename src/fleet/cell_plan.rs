//! What the cell starts next, and where.

use {
    crate::{
        core::{Millis, Resources},
        fleet::{
            BlockReason, Cell, ExecutorId, ExecutorInfo, Job, Now, RunNumber, Step, StepId,
            StepSpec, Task, TaskId,
            cell_capacity::{CapacitySnapshot, ExecutorCapacity},
            policy::{self, PlacementOption, Rank, Timeliness},
        },
    },
    std::{collections::HashSet, sync::Arc},
};

/// Part of a pool, as a divisor, that may be kept for large tasks that do not fit yet.
const RESERVED_DIVISOR: usize = 3;

/// Part of an executor, as a divisor, above which a task counts as large: it only fits if
/// small tasks are kept away.
const LARGE_DIVISOR: u32 = 4;

/// A waiting step with its place in the order.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub rank: Rank,
    pub step: StepId,
}

impl Cell {
    /// Decides what to start, ask, write and renew; call after a batch of events.
    pub fn plan(&mut self, now: Now) {
        if self.next_round_due().is_some_and(|due| due <= now.mono) {
            self.needs_placement = false;
            self.resend_commands(now);
            self.place_waiting(now);
        }
        self.send_commit(now);
        self.send_renewals(now);
    }

    /// Returns when [`Self::plan`] has tasks to place, if it has.
    pub fn next_round_due(&self) -> Option<Millis> {
        self.needs_placement.then_some(self.next_round_at)
    }

    /// Places what waits, in order, and asks for the advice that is missing.
    fn place_waiting(&mut self, now: Now) {
        let candidates = self.candidates(now);
        let size = self.executors.len();
        self.next_round_at = now.mono + policy::round_pause_ms(candidates.len(), size);
        let mut rooms = self.capacity_snapshot(now);
        let mut reserved = HashSet::new();
        for candidate in &candidates {
            let blocked = self.place_step(candidate.step, &mut rooms, &reserved, now);
            self.note_blocked(candidate.step, blocked);
            let lacks_room = matches!(
                blocked,
                Some(BlockReason::Advice | BlockReason::Members | BlockReason::Room)
            );
            if lacks_room && candidate.rank.timeliness == Timeliness::InTime {
                self.reserve(candidate.step, &rooms, &mut reserved);
                self.preempt(candidate, &rooms, now);
            }
        }
        self.request_advice(&candidates, &rooms, now);
    }

    /// Lists the steps whose turn has come and that have waiting tasks, in order.
    fn candidates(&self, now: Now) -> Vec<Candidate> {
        let mut list = Vec::new();
        for job in self.jobs.values().filter(|j| j.end.is_none()) {
            let timeliness = if job.submission.spec.persistent() {
                Timeliness::InTime
            } else {
                Timeliness::new(now.mono - job.received_at, job.due - job.received_at)
            };
            let rank = Rank {
                expired: timeliness == Timeliness::Expired,
                priority: self.queue_rule(job).priority,
                timeliness,
                over_rate: job.over_rate,
                due: job.due,
            };
            for (key, step) in &job.steps {
                if step.has_waiting() && job.dependencies_done(key.0, key.1) {
                    let step = job.step_id(*key);
                    list.push(Candidate { rank, step });
                }
            }
        }
        list.sort_by_key(|c| (c.rank, c.step));
        list
    }

    fn note_blocked(&mut self, id: StepId, blocked: Option<BlockReason>) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.blocked = blocked;
        }
    }

    /// Places what it can of a step; returns what kept the rest.
    fn place_step(
        &mut self,
        id: StepId,
        rooms: &mut CapacitySnapshot,
        reserved: &HashSet<ExecutorId>,
        now: Now,
    ) -> Option<BlockReason> {
        let (job, spec, step) = self.lookup_step(&id)?;
        if job.recovered && !spec.allow_duplicates && rooms.unreconciled(&self.queue_rule(job).pool)
        {
            return Some(BlockReason::Takeover);
        }
        let spec = spec.clone();
        let waiting: Vec<u32> = waiting_tasks(step, now.mono);
        if waiting.is_empty() {
            return Some(BlockReason::Pause);
        }
        match () {
            () if !spec.gang => self.place_each(id, &spec, &waiting, rooms, reserved, now),
            () if waiting.len() < step.tasks.len() => Some(BlockReason::Members),
            () => self.place_gang(id, &spec, rooms, reserved, now),
        }
    }

    /// Returns what a step lacks that found no executor.
    fn lacking(&self, id: &StepId) -> BlockReason {
        let advised = self
            .lookup_step(id)
            .map(|(job, _, _)| self.queue_rule(job).advice);
        if advised.flatten().is_some() {
            BlockReason::Advice
        } else {
            BlockReason::Room
        }
    }

    pub(super) fn lookup_step(&self, id: &StepId) -> Option<(&Job, &StepSpec, &Step)> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.spec(id.step)?;
        let step = job.steps.get(&(id.occurrence, id.step))?;
        Some((job, spec, step))
    }

    /// Returns the pool of a step's queue.
    fn pool_of(&self, id: &StepId) -> Arc<str> {
        let job = self.jobs.get(&id.job);
        job.map_or_else(|| Arc::from(""), |j| self.queue_rule(j).pool.clone())
    }

    /// Lists the executors that may run a step now.
    fn rooms(
        &self,
        id: &StepId,
        plan: &CapacitySnapshot,
        reserved: &HashSet<ExecutorId>,
        now: Now,
    ) -> (Vec<ExecutorId>, Vec<PlacementOption>) {
        let mut ids = Vec::new();
        let mut rooms = Vec::new();
        let Some((job, spec, step)) = self.lookup_step(id) else {
            return (ids, rooms);
        };
        let rule = self.queue_rule(job);
        let need = spec.allocation();
        let limit = spec.max_per_executor;
        for room in plan.with_free(&rule.pool, &need) {
            let name = &room.info.id;
            let allowed = !reserved.contains(name)
                && eligible(&room.info, &rule.pool, spec)
                && step.advice.allows(rule, name, now.mono);
            if !allowed {
                continue;
            }
            let same_step = if limit > 0 || spec.persistent {
                let executor = self.executors.get(name);
                executor.map_or(0, |e| e.count_step_tasks(id))
            } else {
                0
            };
            if limit > 0 && same_step >= limit {
                continue;
            }
            ids.push(name.clone());
            let on_preferred_rack =
                spec.preferred_rack.is_none() || spec.preferred_rack.as_ref() == room.info.rack();
            rooms.push(PlacementOption {
                free: room.free,
                recently_failed: room.recently_failed,
                on_preferred_rack,
                same_step,
            });
        }
        (ids, rooms)
    }

    /// Places single tasks; returns what kept the rest.
    fn place_each(
        &mut self,
        id: StepId,
        spec: &StepSpec,
        waiting: &[u32],
        plan: &mut CapacitySnapshot,
        reserved: &HashSet<ExecutorId>,
        now: Now,
    ) -> Option<BlockReason> {
        let need = spec.allocation();
        let pool = self.pool_of(&id);
        let (ids, mut rooms) = self.rooms(&id, plan, reserved, now);
        for index in waiting {
            if !self.within_cap(&id, &need, plan) {
                return Some(BlockReason::Cap);
            }
            let failed_on = self.failed_on(&id, *index);
            let seen: Vec<PlacementOption> = rooms
                .iter()
                .zip(&ids)
                .map(|(room, e)| PlacementOption {
                    recently_failed: room.recently_failed || failed_on.contains(e),
                    ..*room
                })
                .collect();
            let chosen = if spec.persistent {
                policy::choose_spread(&need, seen.iter())
            } else {
                policy::choose_best_fit(&need, seen.iter())
            };
            let Some(chosen) = chosen else {
                return Some(self.lacking(&id));
            };
            let room = &mut rooms[chosen];
            room.free = room.free.saturating_sub(&need);
            room.same_step += 1;
            if spec.max_per_executor > 0 && room.same_step >= spec.max_per_executor {
                room.free = Resources::default();
            }
            let number = self.next_run(&id, &[*index]);
            self.start(&ids[chosen], id, *index, number, now);
            plan.allocate(&pool, &ids[chosen], &need);
        }
        None
    }

    /// Places all members of a gang or none; returns what kept them.
    fn place_gang(
        &mut self,
        id: StepId,
        spec: &StepSpec,
        plan: &mut CapacitySnapshot,
        reserved: &HashSet<ExecutorId>,
        now: Now,
    ) -> Option<BlockReason> {
        let need = spec.allocation();
        let mut all = Resources::default();
        (0..spec.count).for_each(|_| all.add(&need));
        if !self.within_cap(&id, &all, plan) {
            return Some(BlockReason::Cap);
        }
        let pool = self.pool_of(&id);
        let (ids, rooms) = self.rooms(&id, plan, reserved, now);
        let rack_of = |e: &ExecutorId| self.executors.get(e)?.info.rack().cloned();
        let racks: HashSet<_> = ids.iter().map(rack_of).collect();
        let mut places = None;
        if spec.prefer_same_rack {
            for rack in racks {
                let inside: Vec<bool> = ids.iter().map(|e| rack_of(e) == rack).collect();
                places = places.or_else(|| fit_all(spec, &rooms, &inside));
            }
        }
        let any = vec![true; ids.len()];
        let Some(places) = places.or_else(|| fit_all(spec, &rooms, &any)) else {
            return Some(self.lacking(&id));
        };
        let members: Vec<u32> = (0..spec.count).collect();
        let number = self.next_run(&id, &members);
        for (index, chosen) in members.iter().zip(places) {
            self.start(&ids[chosen], id, *index, number, now);
            plan.allocate(&pool, &ids[chosen], &need);
        }
        None
    }

    fn start(&mut self, executor: &ExecutorId, step: StepId, index: u32, run: RunNumber, now: Now) {
        let ticket = self.lookup_step(&step).and_then(|(_, _, s)| {
            let ticket = s.advice.advised.get(executor)?;
            Some(ticket.value.clone())
        });
        self.start_run(executor, TaskId { step, index }, run, ticket, now);
    }

    /// Returns a run number above all used by these tasks.
    fn next_run(&self, id: &StepId, tasks: &[u32]) -> RunNumber {
        let first = self.base_run_number();
        let Some((_, _, step)) = self.lookup_step(id) else {
            return first + 1;
        };
        let used = tasks
            .iter()
            .filter_map(|i| task_of(step, *i))
            .map(|t| t.last_run_number);
        used.max().unwrap_or(0).max(first) + 1
    }

    fn failed_on(&self, id: &StepId, index: u32) -> Vec<ExecutorId> {
        let task = self.lookup_step(id).and_then(|(_, _, s)| task_of(s, index));
        task.map(|t| t.failed_on.clone()).unwrap_or_default()
    }

    /// Tells whether the organisation's cap allows more.
    fn within_cap(&self, id: &StepId, need: &Resources, plan: &CapacitySnapshot) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(tenant) = &job.submission.tenant else {
            return true;
        };
        let Some(rule) = self.config.tenants.get(tenant) else {
            return true;
        };
        let mut used = self.tenant_usage.get(tenant).copied().unwrap_or_default();
        used.add(&plan.unreconciled_capacity);
        rule.allows(&used, need)
    }

    /// Keeps executors free for a large step that does not fit yet but would fit into empty
    /// executors.
    fn reserve(&self, id: StepId, rooms: &CapacitySnapshot, reserved: &mut HashSet<ExecutorId>) {
        let Some((job, spec, step)) = self.lookup_step(&id) else {
            return;
        };
        let need = spec.allocation();
        let rule = self.queue_rule(job);
        let pool = rooms.in_pool(&rule.pool);
        let most = pool.len() / RESERVED_DIVISOR;
        if reserved.len() >= most {
            return;
        }
        let fits = |e: &&ExecutorCapacity| {
            let large = need.cpu_milli * LARGE_DIVISOR > e.info.capacity.cpu_milli
                || need.accelerators * LARGE_DIVISOR > e.info.capacity.accelerators.max(1);
            let good = || rule.advice.is_none() || step.advice.advised.contains_key(&e.info.id);
            large && eligible(&e.info, &rule.pool, spec) && good()
        };
        let mut list: Vec<&ExecutorCapacity> = pool.iter().filter(fits).collect();
        let empty: Vec<PlacementOption> =
            list.iter().map(|e| empty_room(e.info.capacity)).collect();
        if spec.gang && fit_all(spec, &empty, &vec![true; empty.len()]).is_none() {
            return;
        }
        list.sort_by_key(|e| std::cmp::Reverse((e.free.accelerators, e.free.cpu_milli)));
        let wanted = usize::try_from(spec.count).unwrap_or(1).min(2);
        for room in list.into_iter().take(wanted) {
            if reserved.len() < most {
                reserved.insert(room.info.id.clone());
            }
        }
    }
}

/// Tells whether an executor could ever run a task of the step.
pub(super) fn eligible(executor: &ExecutorInfo, pool: &Arc<str>, spec: &StepSpec) -> bool {
    let labelled = |l: &Arc<str>| executor.labels.contains(l);
    executor.pool == *pool
        && executor.capacity.covers(&spec.allocation())
        && spec.required_label.as_ref().is_none_or(labelled)
}

/// Returns what an executor with this capacity would offer if nothing ran there.
fn empty_room(capacity: Resources) -> PlacementOption {
    PlacementOption {
        free: capacity,
        recently_failed: false,
        on_preferred_rack: true,
        same_step: 0,
    }
}

fn task_of(step: &Step, index: u32) -> Option<&Task> {
    step.tasks.get(usize::try_from(index).ok()?)
}

fn waiting_tasks(step: &Step, now: Millis) -> Vec<u32> {
    let waits = |t: &Task| !t.done && t.active_on.is_empty() && t.not_before <= now;
    let tasks = (0u32..).zip(&step.tasks);
    tasks.filter(|(_, t)| waits(t)).map(|(i, _)| i).collect()
}

/// Finds an executor for each member of a gang.
fn fit_all(spec: &StepSpec, rooms: &[PlacementOption], allowed: &[bool]) -> Option<Vec<usize>> {
    let need = spec.allocation();
    let mut rooms: Vec<PlacementOption> = rooms.to_vec();
    for (room, allowed) in rooms.iter_mut().zip(allowed) {
        if !allowed {
            room.free = Resources::default();
        }
    }
    let mut plan = Vec::new();
    for _ in 0..spec.count {
        let chosen = policy::choose_best_fit(&need, rooms.iter())?;
        let room = &mut rooms[chosen];
        room.free = room.free.saturating_sub(&need);
        room.same_step += 1;
        if spec.max_per_executor > 0 && room.same_step >= spec.max_per_executor {
            room.free = Resources::default();
        }
        plan.push(chosen);
    }
    Some(plan)
}
