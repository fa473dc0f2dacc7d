//! Executors that announced their exit: their persistent tasks move away before it, and what cannot
//! end in time is stopped, so that its end is read instead of a lease's.
//!
//! Answers planned departures under load, where many executors leave in a row. Called by the handling
//! of the platform's list and in each round; where tasks go is decided by placement.

use {
    crate::{
        core::Millis,
        fleet::{
            Cell, Executor, ExecutorId, ExecutorInfo, FleetEvent, Now, Run, RunStage, Step, StepId,
            TaskId, cell_capacity::CapacitySnapshot, policy,
        },
    },
    std::collections::BTreeMap,
};

impl Cell {
    /// Takes in whether an executor drains and when it exits; called before its entry is replaced.
    pub(super) fn on_drain_state(&mut self, info: &ExecutorInfo, written_after: Millis, now: Now) {
        let Some(executor) = self.executors.get_mut(&info.id) else {
            return;
        };
        let begins = info.draining && !executor.info.draining;
        executor.exits_at = exit_time(executor.exits_at, info, written_after, now);
        if !begins {
            return;
        }
        let runs = executor.runs.len();
        let tasks: Vec<TaskId> = executor.runs.keys().copied().collect();
        let persistent = tasks.iter().filter(|t| self.is_persistent(t)).count();
        let detail = format!(
            "executor={} runs={runs} persistent={persistent} min_remaining_ms={:?} max_age_ms={}",
            info.id,
            info.min_remaining_ms,
            now.mono.saturating_sub(written_after)
        );
        self.log(FleetEvent::ExecutorDraining, detail);
    }

    /// Stops persistent tasks on executors that drain, each once another executor is known that may
    /// run it. Returns the steps for which none is known.
    pub(super) fn move_departing(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        now: Now,
    ) -> Vec<StepId> {
        let mut unplaced = Vec::new();
        for (step, tasks) in self.departing_tasks() {
            let Some((job, spec, _)) = self.lookup_step(&step) else {
                continue;
            };
            let (need, max_per_executor) = (spec.allocation(), spec.max_per_executor);
            let pool = self.queue_rule(job).pool.clone();
            let (ids, mut options) = self.placement_options(&step, snapshot, now);
            for (from, task) in tasks {
                let Some(i) = policy::choose_spread(&need, options.iter().copied()) else {
                    unplaced.push(step);
                    break;
                };
                if !self.may_stop(&task) && !self.must_stop_soon(&from, now) {
                    continue;
                }
                self.stop_run(&from, task, now);
                self.moves.insert(task, ids[i].clone());
                snapshot.allocate(&pool, &ids[i], &need);
                options[i].take(&need, max_per_executor);
            }
        }
        unplaced
    }

    /// Keeps the capacity free for tasks that are being stopped to start there. Once a stop has ended,
    /// its task is placed as any other.
    pub(super) fn reserve_moves(&mut self, snapshot: &mut CapacitySnapshot) {
        let executors = &self.executors;
        self.moves.retain(|task, _| {
            let mut runs = executors.values().filter_map(|e| e.runs.get(task));
            runs.any(Run::is_stopping)
        });
        for (task, to) in &self.moves {
            if let Some((job, spec, _)) = self.lookup_step(&task.step) {
                snapshot.allocate(&self.queue_rule(job).pool, to, &spec.allocation());
            }
        }
    }

    /// Stops the runs that will not end before their executor exits, shortly before it does.
    pub(super) fn stop_exiting(&mut self, now: Now) {
        self.stop_exiting_within(policy::exit_lead_ms(self.bounds.kill_grace_ms), now);
    }

    /// Stops the runs that will not end before their executor exits, where it may exit within `lead_ms`. A
    /// gang is stopped as a whole, unless it is persistent.
    pub(super) fn stop_exiting_within(&mut self, lead_ms: Millis, now: Now) {
        let exiting = self.executors.iter();
        let exiting = exiting.filter(|(_, e)| e.may_exit_within(lead_ms, now.mono));
        let exiting: Vec<ExecutorId> = exiting.map(|(id, _)| id.clone()).collect();
        for id in exiting {
            let tasks = self.unfinishable_runs(&id, now);
            self.log_exiting(&id, &tasks, now);
            for task in tasks {
                // Stopped with another member before, in this round.
                if !self.is_confirmed(&id, &task) {
                    continue;
                }
                if self.step_spec(&task).is_some_and(|s| s.gang) {
                    self.stop_gang(&task, now);
                } else {
                    self.stop_run(&id, task, now);
                }
            }
        }
    }

    /// Logs the runs of an executor that are stopped because it exits.
    fn log_exiting(&mut self, id: &ExecutorId, tasks: &[TaskId], now: Now) {
        let executor = self.executors.get(id);
        let left_ms = executor.and_then(|e| e.time_left(now.mono));
        if let (Some(left_ms), Some(first)) = (left_ms, tasks.first()) {
            let runs = tasks.len();
            let detail = format!("executor={id} runs={runs} first={first} left_ms={left_ms}");
            self.log(FleetEvent::ExitingRunsStopped, detail);
        }
    }

    /// Takes the executors that drain and on which nothing is left out of the roster.
    pub(super) fn retire_departing(&mut self) {
        let draining = self
            .executors
            .iter()
            .filter(|(_, e)| e.info.draining && !e.retired);
        let draining: Vec<ExecutorId> = draining.map(|(id, _)| id.clone()).collect();
        for id in draining {
            self.review_retirement(&id);
        }
    }

    /// Takes an executor out of the roster or puts it back, as it drains or not and anything may be left
    /// there that the next owner must read.
    pub(super) fn review_retirement(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let empty = !executor.may_run_tasks()
            && !executor.has_unread_ends
            && executor.unacked.is_empty()
            && !self.unread.contains(id);
        // Only what an executor itself lists shows that it is empty.
        let may_retire = executor.retired || executor.is_responsive();
        let retired = executor.info.draining && empty && may_retire;
        if retired != executor.retired {
            self.commit_queue.roster.dirty = true;
        }
        if let Some(executor) = self.executors.get_mut(id) {
            executor.retired = retired;
        }
    }

    fn is_confirmed(&self, id: &ExecutorId, task: &TaskId) -> bool {
        let run = self.executors.get(id).and_then(|e| e.runs.get(task));
        run.is_some_and(|r| r.stage == RunStage::Confirmed)
    }

    /// Lists the confirmed runs of an executor that probably do not end before it exits, without those of
    /// persistent gangs.
    fn unfinishable_runs(&self, id: &ExecutorId, now: Now) -> Vec<TaskId> {
        let Some(executor) = self.executors.get(id) else {
            return Vec::new();
        };
        let time_left = executor.time_left(now.mono).unwrap_or(Millis::MAX);
        let unfinishable = |(task, run): (&TaskId, &Run)| {
            let ends = self.remaining_run_ms(task, run, now)? <= time_left;
            let spec = self.step_spec(task);
            let stays = spec.is_some_and(|s| s.gang && s.persistent);
            (!stays && run.stage == RunStage::Confirmed && !ends).then_some(*task)
        };
        let mut tasks: Vec<TaskId> = executor.runs.iter().filter_map(unfinishable).collect();
        tasks.sort_unstable();
        tasks
    }

    /// Lists the persistent tasks without a gang that run on executors which drain, by step.
    fn departing_tasks(&self) -> BTreeMap<StepId, Vec<(ExecutorId, TaskId)>> {
        let mut departing: BTreeMap<StepId, Vec<(ExecutorId, TaskId)>> = BTreeMap::new();
        let draining = self.executors.iter().filter(|(_, e)| e.is_departing());
        for (id, executor) in draining {
            let confirmed = executor
                .runs
                .iter()
                .filter(|(_, r)| r.stage == RunStage::Confirmed);
            let single = |t: &TaskId| self.step_spec(t).is_some_and(|s| s.persistent && !s.gang);
            for (task, _) in confirmed.filter(|(t, _)| single(t)) {
                let of_step = departing.entry(task.step).or_default();
                of_step.push((id.clone(), *task));
            }
        }
        for tasks in departing.values_mut() {
            tasks.sort();
        }
        departing
    }

    /// Counts the tasks of a persistent step that run on executors which drain.
    pub(super) fn count_departing(&self, id: &StepId, step: &Step) -> u32 {
        let departs = |(index, name): (u32, &ExecutorId)| {
            let executor = self.executors.get(name).filter(|e| e.is_departing());
            let run = executor.and_then(|e| e.runs.get(&TaskId { step: *id, index }));
            run.is_some_and(|r| r.stage == RunStage::Confirmed)
        };
        let runs = step.active_tasks();
        let runs = runs.flat_map(|(i, t)| t.active_on.iter().map(move |name| (i, name)));
        u32::try_from(runs.filter(|r| departs(*r)).count()).unwrap_or(u32::MAX)
    }

    fn must_stop_soon(&self, id: &ExecutorId, now: Now) -> bool {
        let executor = self.executors.get(id);
        let time_left = executor.and_then(|e| e.time_left(now.mono));
        time_left.is_some_and(|ms| ms <= policy::exit_lead_ms(self.bounds.kill_grace_ms))
    }
}

/// Returns when an executor exits at the earliest, on the owner's monotonic clock; `None` unless it
/// drains and has stated that. `known` is what its earlier entries say.
pub(super) fn exit_time(
    known: Option<Millis>,
    info: &ExecutorInfo,
    written_after: Millis,
    now: Now,
) -> Option<Millis> {
    match (info.draining, info.min_remaining_ms) {
        (false, _) => None,
        (true, None) => known,
        (true, Some(ms)) => Some(policy::earliest_exit(known, ms, written_after, now.mono)),
    }
}

impl Executor {
    /// Returns whether it drains and replies, so that its runs can be stopped in order.
    fn is_departing(&self) -> bool {
        self.info.draining && self.is_responsive()
    }

    /// Returns whether it may exit within `lead_ms` and replies until then.
    pub(super) fn may_exit_within(&self, lead_ms: Millis, now: Millis) -> bool {
        self.is_departing() && self.time_left(now).is_some_and(|ms| ms <= lead_ms)
    }

    /// Returns the minimum time until it exits, in ms; `None` if it announced none.
    fn time_left(&self, now: Millis) -> Option<Millis> {
        self.exits_at.map(|at| at.saturating_sub(now))
    }
}
