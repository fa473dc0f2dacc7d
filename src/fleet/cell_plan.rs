//! Placement: which waiting tasks of the cell start next, and on which executors.
//!
//! The owner loop calls [`Cell::plan`]; reservations for large steps are made here, preemption
//! in `cell_preempt`. The ranking and the choice of an executor are pure functions of `policy`.

use {
    crate::{
        core::{Millis, Resources},
        fleet::{
            BlockReason, Cell, ExecutorId, ExecutorInfo, Job, Now, RunNumber, Step, StepId,
            StepSpec, TaskId,
            cell_capacity::{CapacitySnapshot, ExecutorCapacity},
            policy::{self, PlacementOption, Rank, Room, Timeliness, WaitingJob},
        },
    },
    std::{
        collections::{BTreeSet, HashSet},
        sync::Arc,
    },
};

/// Bounds the executors of a pool that may be reserved for large tasks that do not fit yet: a
/// third of the pool.
const RESERVED_DIVISOR: usize = 3;

/// Bounds the tasks of one step that start in one round.
const MAX_STEP_STARTS: usize = 512;

/// Bounds the tasks that start in one round.
const MAX_ROUND_STARTS: usize = 2_048;

/// Runs on one executor from which no more tasks start there, however little they need: each takes
/// a line of every reply to a renewal.
const MAX_EXECUTOR_RUNS: usize = 512;

/// A step with waiting tasks, and its rank.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub rank: Rank,
    pub step: StepId,
}

impl Cell {
    /// Starts tasks, requests advice, commits records and renews leases as far as they are due;
    /// call after a batch of events, and only while no other node can own the cell.
    pub fn plan(&mut self, now: Now) {
        if self.plan_hand_over(now) {
            return;
        }
        if self.next_round_due().is_some_and(|due| due <= now.mono) {
            self.needs_placement = false;
            self.resend_commands(now);
            self.release_holds(now);
            self.place_waiting(now);
        }
        self.send_commits(now);
        self.send_renewals(now);
    }

    /// Returns the earliest time of the next round; `None` if there is nothing to place, and once the
    /// hand-over is recorded.
    pub fn next_round_due(&self) -> Option<Millis> {
        (self.needs_placement && !self.has_recorded_hand_over()).then_some(self.next_round_at)
    }

    /// Places waiting tasks in the order of their rank, and requests missing advice.
    fn place_waiting(&mut self, now: Now) {
        let candidates = self.candidates(now);
        let executor_count = self.executors.len();
        let pause_ms =
            policy::round_pause_ms(candidates.len(), executor_count, self.bounds.cpu_milli);
        self.next_round_at = now.mono + pause_ms;
        let mut snapshot = self.capacity_snapshot(now);
        self.reserve_moves(&mut snapshot);
        let mut unadvised = Vec::new();
        // Steps that differ in their occurrence only and found no room: the next ones find none either.
        let mut full = HashSet::new();
        self.round_starts = 0;
        // Most of the room is not known before the executors have replied for the first time.
        let opening = self.is_opening_roster();
        for candidate in &candidates {
            let kind = (candidate.step.job, candidate.step.step);
            if self.round_starts >= MAX_ROUND_STARTS {
                self.needs_placement = true;
                break;
            }
            if full.contains(&kind) {
                continue;
            }
            let reason = self.place_step(candidate.step, &mut snapshot, now);
            if matches!(reason, Some(BlockReason::Cap | BlockReason::Room)) {
                full.insert(kind);
            }
            self.log_started(&candidate.step);
            self.set_blocked(candidate.step, reason);
            if !matches!(reason, None | Some(BlockReason::Cap | BlockReason::Members)) {
                unadvised.push(candidate.step);
            }
            let lacks_capacity = reason.is_some_and(BlockReason::lacks_capacity);
            if lacks_capacity && !opening && candidate.rank.timeliness == Timeliness::InTime {
                let reserved = self.reserve(candidate.step, &mut snapshot, now);
                self.preempt(candidate, &snapshot, now);
                self.preempt_for_gang(candidate, &reserved, now);
            }
        }
        self.clear_takeover_waits(&candidates);
        unadvised.extend(self.move_departing(&mut snapshot, now));
        self.stop_exiting(now);
        self.request_advice(&unadvised, &snapshot, now);
        self.request_advice_ahead(&snapshot, now);
    }

    /// Lists the steps with waiting tasks whose dependencies are done, in the order of rank.
    fn candidates(&self, now: Now) -> Vec<Candidate> {
        let mut list = Vec::new();
        for job in self.jobs.values().filter(|j| j.end.is_none()) {
            let large = job.has_large_backlog();
            for (key, step) in &job.steps {
                if step.has_waiting() && job.dependencies_done(key.0, key.1) {
                    let rank = Rank::new(&WaitingJob {
                        age: job.age_ms(key.0, now),
                        remaining: job.remaining_ms(key.1),
                        objective: job.objective_ms,
                        due: now.mono.cast_signed() + job.due_in_ms(key.0, now),
                        priority: self.queue_rule(job).priority,
                        begun: job.start_sent,
                        over_rate: job.over_rate,
                        persistent: job.submission.spec.is_persistent(),
                        large,
                    });
                    let step = job.step_id(*key);
                    list.push(Candidate { rank, step });
                }
            }
        }
        list.sort_by_key(|c| (c.rank, c.step));
        list
    }

    fn set_blocked(&mut self, id: StepId, blocked: Option<BlockReason>) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.blocked = blocked;
        }
    }

    /// Places the tasks of a step that fit; returns what blocked the rest.
    fn place_step(
        &mut self,
        id: StepId,
        snapshot: &mut CapacitySnapshot,
        now: Now,
    ) -> Option<BlockReason> {
        let (_, spec, step) = self.lookup_step(&id)?;
        let spec = spec.clone();
        if spec.gang {
            let waiting = step.count_startable(now.mono);
            return match () {
                () if waiting == 0 => Some(BlockReason::Pause),
                () if self.holds_gang(&id) => Some(BlockReason::Takeover),
                () if waiting < step.count => Some(BlockReason::Members),
                () => self.place_whole_gang(id, &spec, snapshot, now),
            };
        }
        let (waiting, held) = self.placeable_tasks(&id, MAX_STEP_STARTS, now);
        if waiting.is_empty() {
            let reason = if held {
                BlockReason::Takeover
            } else {
                BlockReason::Pause
            };
            return Some(reason);
        }
        let has_more = waiting.len() == MAX_STEP_STARTS;
        let (waiting, suspects) = self.split_suspects(id, waiting);
        let blocked = self.place_each(id, &spec, &waiting, snapshot, now);
        let suspects_blocked = self.place_suspects(id, &spec, &suspects, snapshot, now);
        let blocked = blocked.or(suspects_blocked);
        self.needs_placement |= has_more && blocked.is_none();
        blocked.or(held.then_some(BlockReason::Takeover))
    }

    /// Returns whether a task of a step that was not located may run on an executor which this owner has
    /// not read. In any pool: the queue may have had another one when the task was started.
    fn may_run_unread(&self, job: &Job, spec: &StepSpec) -> bool {
        job.recovered && !spec.allow_duplicates && !self.unread.is_empty()
    }

    /// Lists the tasks of a step that are named as possible runs of executors which this owner has not
    /// read, by index.
    fn held_tasks(&self, id: &StepId, step: &Step) -> BTreeSet<u32> {
        let mut named = self.unread.named_of_step(id);
        named.retain(|index| !step.is_located(*index));
        named
    }

    /// Returns whether a member of a gang may run on an executor that this owner has not read.
    fn holds_gang(&self, id: &StepId) -> bool {
        let Some((job, spec, step)) = self.lookup_step(id) else {
            return false;
        };
        match () {
            () if !self.may_run_unread(job, spec) => false,
            () if self.unread.has_unknown() => !step.is_fully_located(),
            () => !self.held_tasks(id, step).is_empty(),
        }
    }

    /// Lists at most `max` tasks of a step that may start now, and returns whether others would but for
    /// executors that this owner has not read.
    pub(super) fn placeable_tasks(&self, id: &StepId, max: usize, now: Now) -> (Vec<u32>, bool) {
        let Some((job, spec, step)) = self.lookup_step(id) else {
            return (Vec::new(), false);
        };
        if !self.may_run_unread(job, spec) {
            return (step.startable(now.mono, max), false);
        }
        if self.unread.has_unknown() {
            let located = step.located_startable(now.mono, max);
            let holds = located.len() < max && !step.is_fully_located();
            return (located, holds);
        }
        let held = self.held_tasks(id, step);
        let mut tasks = step.startable(now.mono, max + held.len());
        let startable = tasks.len();
        tasks.retain(|index| !held.contains(index));
        let holds = tasks.len() < startable;
        tasks.truncate(max);
        (tasks, holds)
    }

    /// Places a gang of which all members wait, if its suspect members may start.
    fn place_whole_gang(
        &mut self,
        id: StepId,
        spec: &StepSpec,
        snapshot: &mut CapacitySnapshot,
        now: Now,
    ) -> Option<BlockReason> {
        let suspects = self.suspects_of_step(&id);
        if !self.may_place_gang(&id, &suspects, snapshot) {
            return Some(BlockReason::CrashSuspect);
        }
        self.place_gang(id, spec, !suspects.is_empty(), snapshot, now)
    }

    /// Returns the reason for a step that found no executor; if its queue needs advice, what keeps
    /// the advice.
    pub(super) fn no_capacity_reason(
        &self,
        id: &StepId,
        snapshot: &CapacitySnapshot,
    ) -> BlockReason {
        let Some((job, spec, step)) = self.lookup_step(id) else {
            return BlockReason::Room;
        };
        let Some(rule) = self.queue_rule(job).advice else {
            return BlockReason::Room;
        };
        let need = spec.allocation();
        let has_room = |e: &&ExecutorCapacity| e.is_open_to(id) && e.free.covers(&need);
        match () {
            () if step.advice.calls_pending > 0 => BlockReason::AdvicePending,
            () if self.advised_executors(id, snapshot).iter().any(has_room) => BlockReason::Ticket,
            () if !self.advice_slots.is_free_for(rule.call_cost_ms(1)) => BlockReason::AdviceSlots,
            () => BlockReason::Advice,
        }
    }

    pub(super) fn lookup_step(&self, id: &StepId) -> Option<(&Job, &StepSpec, &Step)> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.spec(id.step)?;
        let step = job.steps.get(&(id.occurrence, id.step))?;
        Some((job, spec, step))
    }

    /// Returns the pool of a step's queue.
    pub(super) fn pool_of(&self, id: &StepId) -> Arc<str> {
        let job = self.jobs.get(&id.job);
        job.map_or_else(|| Arc::from(""), |j| self.queue_rule(j).pool.clone())
    }

    /// Lists the schedulable executors that the advice service advises for a step, by expired
    /// tickets too; all of the pool if its queue needs no advice.
    pub(super) fn advised_executors<'a>(
        &'a self,
        id: &StepId,
        snapshot: &'a CapacitySnapshot,
    ) -> Vec<&'a ExecutorCapacity> {
        let Some((job, _, step)) = self.lookup_step(id) else {
            return Vec::new();
        };
        let rule = self.queue_rule(job);
        if rule.advice.is_none() {
            return snapshot.in_pool(&rule.pool).iter().collect();
        }
        let names = step.advice.advised.keys();
        names
            .filter_map(|name| snapshot.get(&rule.pool, name))
            .collect()
    }

    /// Lists the executors that may run a task of a step now: ids and options, index by index.
    pub(super) fn placement_options(
        &self,
        id: &StepId,
        snapshot: &CapacitySnapshot,
        now: Now,
    ) -> (Vec<ExecutorId>, Vec<PlacementOption>) {
        let mut ids = Vec::new();
        let mut options = Vec::new();
        let Some((job, spec, step)) = self.lookup_step(id) else {
            return (ids, options);
        };
        let rule = self.queue_rule(job);
        let need = spec.allocation();
        let limit = spec.max_per_executor;
        if snapshot.lacks(&rule.pool, &need) {
            return (ids, options);
        }
        let needs_speed = job.needs_speed((id.occurrence, id.step), now);
        for entry in self.advised_executors(id, snapshot) {
            let name = &entry.info.id;
            let runs = self.executors.get(name).map_or(0, |e| e.runs.len());
            let allowed = entry.is_open_to(id)
                && runs < MAX_EXECUTOR_RUNS
                && entry.free.covers(&need)
                && eligible(&entry.info, &rule.pool, spec)
                && step.advice.is_allowed(rule, name, now.mono);
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
            // A persistent task has no attempts to use up.
            let on_trial = entry.on_trial && !spec.persistent;
            let executor = self.executors.get(name);
            if on_trial && !executor.is_some_and(|e| e.may_try(id.job, now.mono)) {
                continue;
            }
            ids.push(name.clone());
            let on_preferred_rack =
                spec.preferred_rack.is_none() || spec.preferred_rack.as_ref() == entry.info.rack();
            options.push(PlacementOption {
                free: entry.free,
                recently_failed: entry.recently_failed,
                takes_one: on_trial && !spec.gang,
                on_preferred_rack,
                run_time_percent: if needs_speed {
                    entry.run_time_percent
                } else {
                    0
                },
                same_step,
            });
        }
        (ids, options)
    }

    /// Places tasks one by one; returns what blocked the rest.
    fn place_each(
        &mut self,
        id: StepId,
        spec: &StepSpec,
        waiting: &[u32],
        snapshot: &mut CapacitySnapshot,
        now: Now,
    ) -> Option<BlockReason> {
        let need = spec.allocation();
        let pool = self.pool_of(&id);
        let (ids, mut options) = self.placement_options(&id, snapshot, now);
        for index in waiting {
            if !self.within_cap(&id, &need, snapshot) {
                return Some(BlockReason::Cap);
            }
            let failed_on = self.failed_on(&id, *index);
            let task_options = options.iter().zip(&ids).map(|(option, e)| PlacementOption {
                recently_failed: option.recently_failed || failed_on.contains(e),
                ..*option
            });
            let chosen = if spec.persistent {
                policy::choose_spread(&need, task_options)
            } else {
                policy::choose_best_fit(&need, task_options)
            };
            let Some(chosen) = chosen else {
                return Some(self.no_capacity_reason(&id, snapshot));
            };
            options[chosen].take(&need, spec.max_per_executor);
            let number = self.next_run_number(&id, &[*index]);
            self.start(&ids[chosen], id, *index, number, now);
            snapshot.allocate(&pool, &ids[chosen], &need);
        }
        None
    }

    /// Places all members of a gang or none; returns what blocked them. With a suspect member, the
    /// executors are held for the gang.
    fn place_gang(
        &mut self,
        id: StepId,
        spec: &StepSpec,
        suspect: bool,
        snapshot: &mut CapacitySnapshot,
        now: Now,
    ) -> Option<BlockReason> {
        let need = spec.allocation();
        if !self.within_cap(&id, &need.times(spec.count), snapshot) {
            return Some(BlockReason::Cap);
        }
        let pool = self.pool_of(&id);
        let mut found = self.placement_options(&id, snapshot, now);
        if suspect {
            found = self.keep_quiet_options(id.job, found);
        }
        let (ids, options) = found;
        if !may_fit_gang(spec, &options) {
            return Some(self.no_capacity_reason(&id, snapshot));
        }
        let rack_of = |e: &ExecutorId| self.executors.get(e)?.info.rack().cloned();
        let racks: HashSet<_> = ids.iter().map(rack_of).collect();
        let mut places = None;
        if spec.prefer_same_rack {
            for rack in racks {
                let in_rack: Vec<bool> = ids.iter().map(|e| rack_of(e) == rack).collect();
                places = places.or_else(|| fit_gang(spec, &options, &in_rack));
            }
        }
        let all_executors = vec![true; ids.len()];
        let Some(places) = places.or_else(|| fit_gang(spec, &options, &all_executors)) else {
            return Some(self.no_capacity_reason(&id, snapshot));
        };
        let members: Vec<u32> = (0..spec.count).collect();
        let number = self.next_run_number(&id, &members);
        for (index, chosen) in members.iter().zip(places) {
            self.start(&ids[chosen], id, *index, number, now);
            snapshot.allocate(&pool, &ids[chosen], &need);
            if suspect {
                self.hold(&ids[chosen], id.job, &pool, snapshot, now);
            }
        }
        None
    }

    pub(super) fn start(
        &mut self,
        executor: &ExecutorId,
        step: StepId,
        index: u32,
        run: RunNumber,
        now: Now,
    ) {
        let ticket = self.lookup_step(&step).and_then(|(_, _, s)| {
            let ticket = s.advice.advised.get(executor)?;
            Some(ticket.value.clone())
        });
        self.start_run(executor, TaskId { step, index }, run, ticket, now);
    }

    /// Returns a run number above all that these tasks have used.
    pub(super) fn next_run_number(&self, id: &StepId, tasks: &[u32]) -> RunNumber {
        let base = self.base_run_number();
        let Some((_, _, step)) = self.lookup_step(id) else {
            return base + 1;
        };
        let used = tasks
            .iter()
            .filter_map(|i| step.task(*i))
            .map(|t| t.last_run_number);
        used.max().unwrap_or(0).max(base) + 1
    }

    fn failed_on(&self, id: &StepId, index: u32) -> &[ExecutorId] {
        let task = self.lookup_step(id).and_then(|(_, _, s)| s.task(index));
        task.map_or(&[], |t| &t.failed_on)
    }

    /// Returns whether the tenant's cap allows `need` in addition to what runs. Unread executors count
    /// with what may run there, or as fully used by each tenant if that is not known.
    pub(super) fn within_cap(
        &self,
        id: &StepId,
        need: &Resources,
        snapshot: &CapacitySnapshot,
    ) -> bool {
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
        used.add(&snapshot.unread_capacity);
        used.add(&self.unread.needs(tenant));
        rule.allows(&used, need)
    }

    /// Reserves executors for a large task or a gang that does not fit yet but would fit on empty
    /// executors, and returns them.
    fn reserve(&self, id: StepId, snapshot: &mut CapacitySnapshot, now: Now) -> Vec<ExecutorId> {
        let Some((job, spec, _)) = self.lookup_step(&id) else {
            return Vec::new();
        };
        let need = spec.allocation();
        let pool = &self.queue_rule(job).pool;
        let max_reserved = snapshot.in_pool(pool).len() / RESERVED_DIVISOR;
        let reservable = max_reserved.saturating_sub(snapshot.reserved_count(pool));
        if reservable == 0 {
            return Vec::new();
        }
        let mut suitable = self.advised_executors(&id, snapshot);
        suitable.retain(|e| e.is_open_to(&id) && eligible(&e.info, pool, spec));
        let fits = |capacity: &Resources| {
            let most = match spec.max_per_executor {
                0 => spec.count,
                limit => limit.min(spec.count),
            };
            capacity.times_covered(&need).min(most)
        };
        let room: Vec<Room> = suitable
            .iter()
            .map(|e| Room {
                fits_now: fits(&e.free),
                fits_empty: fits(&e.info.capacity),
                busy_ms: if spec.gang {
                    self.busy_ms(&e.info.id, now)
                } else {
                    0
                },
            })
            .collect();
        let chosen = if spec.gang {
            policy::reserve_for_gang(spec.count, &room)
        } else {
            policy::reserve_for_large(spec.count, &room)
        };
        let names: Vec<ExecutorId> = chosen
            .into_iter()
            .take(reservable)
            .map(|i| suitable[i].info.id.clone())
            .collect();
        for name in &names {
            snapshot.reserve(pool, name, id);
        }
        names
    }
}

/// Returns whether an executor could run a task of the step if nothing else ran there.
pub(super) fn eligible(executor: &ExecutorInfo, pool: &Arc<str>, spec: &StepSpec) -> bool {
    let labelled = |l: &Arc<str>| executor.labels.contains(l);
    executor.pool == *pool
        && executor.capacity.covers(&spec.allocation())
        && spec.required_label.as_ref().is_none_or(labelled)
}

/// Returns whether the options have room for as many tasks as a gang has members.
fn may_fit_gang(spec: &StepSpec, options: &[PlacementOption]) -> bool {
    let need = spec.allocation();
    let fits = options.iter().map(|o| {
        let fits = o.free.times_covered(&need);
        let limit = spec.max_per_executor;
        u64::from(if limit > 0 { fits.min(limit) } else { fits })
    });
    fits.sum::<u64>() >= u64::from(spec.count)
}

/// Chooses an executor for each member of a gang, by index; `None` if one does not fit.
fn fit_gang(spec: &StepSpec, options: &[PlacementOption], allowed: &[bool]) -> Option<Vec<usize>> {
    let need = spec.allocation();
    let mut options: Vec<PlacementOption> = options.to_vec();
    for (option, allowed) in options.iter_mut().zip(allowed) {
        if !allowed {
            option.free = Resources::default();
        }
    }
    let mut placement = Vec::new();
    for _ in 0..spec.count {
        let chosen = policy::choose_best_fit(&need, options.iter().copied())?;
        options[chosen].take(&need, spec.max_per_executor);
        placement.push(chosen);
    }
    Some(placement)
}
