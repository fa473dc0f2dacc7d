//! Maintenance of machines: executors that are about to end get no new tasks, their persistent tasks
//! move away, and what runs on each of them is reported.
//!
//! Answers the load of planned maintenance under traffic: work ends by itself where time allows, and no
//! more tasks of a persistent step become unavailable than it permits. The upkeep task of the owner sets
//! the plan and reads the report; this module chooses no machines.

use {
    crate::fleet::{
        Cell, Executor, ExecutorId, Now, RunStage, Step, StepId, TaskId,
        cell::UNREADABLE_ROSTER,
        policy::{ExecutorWork, PersistentTasks, allowed_unavailable},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Executors that get no new tasks, because of maintenance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpkeepPlan {
    /// Executors whose maintenance is next, and whether their work that ends by itself is stopped, as
    /// time is short.
    pub drained: BTreeMap<ExecutorId, bool>,
    /// Executors of machines whose maintenance has or may have begun: nothing there counts as working.
    pub down: BTreeSet<ExecutorId>,
}

impl Cell {
    /// Replaces the plan. Stops persistent tasks on drained executors as far as their steps permit, so
    /// that they start elsewhere, and the other work there if time is short.
    pub(super) fn on_upkeep(&mut self, plan: UpkeepPlan, now: Now) {
        self.upkeep = plan;
        let drained: Vec<(ExecutorId, bool)> = self.upkeep.drained.clone().into_iter().collect();
        for (id, stops_work) in drained {
            for task in self.tasks_to_stop(&id, stops_work) {
                // Stops that were sent before in this loop count as unavailable here.
                if self.may_stop(&task) {
                    self.stop_run(&id, task, now);
                }
            }
        }
    }

    /// Returns whether an executor gets no new tasks because of maintenance.
    pub(super) fn is_in_upkeep(&self, executor: &ExecutorId) -> bool {
        self.upkeep.drained.contains_key(executor) || self.upkeep.down.contains(executor)
    }

    /// Lists the confirmed runs of a drained executor that should not wait for their end.
    fn tasks_to_stop(&self, id: &ExecutorId, stops_work: bool) -> Vec<TaskId> {
        let Some(executor) = self.executors.get(id) else {
            return Vec::new();
        };
        let confirmed = executor
            .runs
            .iter()
            .filter(|(_, r)| r.stage == RunStage::Confirmed);
        let mut tasks: Vec<TaskId> = confirmed
            .map(|(task, _)| *task)
            .filter(|t| stops_work || self.step_spec(t).is_some_and(|s| s.persistent))
            .collect();
        tasks.sort_unstable();
        tasks
    }

    /// Returns whether a running task may be stopped: fewer other tasks of its persistent step are
    /// unavailable than the step allows. A task that does not work counts at once, not only after the
    /// time that the platform allows, which may delay a stop by that time.
    pub(super) fn may_stop(&self, task: &TaskId) -> bool {
        let Some((_, spec, step)) = self.lookup_step(&task.step) else {
            return false;
        };
        if !spec.persistent {
            return true;
        }
        let working = step
            .active_tasks()
            .filter(|(index, _)| *index != task.index)
            .filter(|(index, _)| self.is_working(&task.step, step, *index))
            .count();
        let working = u32::try_from(working).unwrap_or(u32::MAX);
        let others = step.count.saturating_sub(1).saturating_sub(working);
        others < allowed_unavailable(spec.max_unavailable, false)
    }

    /// Returns whether a task of a persistent step works, on an executor that replies and stays.
    fn is_working(&self, id: &StepId, step: &Step, index: u32) -> bool {
        let task = TaskId { step: *id, index };
        let Some(state) = step.task(index) else {
            return false;
        };
        state.active_on.iter().any(|name| {
            let executor = self.executors.get(name);
            let executor =
                executor.filter(|e| e.is_responsive() && !self.upkeep.down.contains(name));
            let run = executor.and_then(|e| e.runs.get(&task));
            run.is_some_and(|r| r.stage == RunStage::Confirmed && r.percent() >= 100)
        })
    }

    /// Reports what runs on an executor, for the choice of the next machine. An executor that is not
    /// known runs nothing of this cell.
    pub fn executor_work(&self, id: &ExecutorId, now: Now) -> ExecutorWork {
        let is_unread = |id: &str| self.unread.contains(id);
        let mut work = ExecutorWork {
            is_unread: is_unread(id) || is_unread(UNREADABLE_ROSTER),
            ..ExecutorWork::default()
        };
        let Some(executor) = self.executors.get(id) else {
            return work;
        };
        work.is_unread |= !executor.unknown_runs.is_empty();
        let mut steps: BTreeSet<StepId> = BTreeSet::new();
        for (task, run) in &executor.runs {
            let Some(spec) = self.step_spec(task) else {
                work.is_unread = true;
                continue;
            };
            if spec.persistent {
                steps.insert(task.step);
                continue;
            }
            work.runs += 1;
            let remaining_ms = self.remaining_run_ms(task, run, now).unwrap_or(0).max(1);
            work.work_ms += remaining_ms * u64::from(run.need.cpu_milli.max(1)) / 1000;
        }
        for step in steps {
            work.persistent
                .extend(self.persistent_tasks(executor, step));
        }
        work
    }

    /// Counts the tasks of a persistent step on one executor, and those that do not work anywhere.
    fn persistent_tasks(&self, executor: &Executor, id: StepId) -> Option<PersistentTasks> {
        let (_, spec, step) = self.lookup_step(&id)?;
        let mut tasks = PersistentTasks {
            step: id,
            working_here: 0,
            not_working: spec.count,
            max_unavailable: spec.max_unavailable,
        };
        let active = step.active_tasks().map(|(index, _)| index);
        for index in active.filter(|i| self.is_working(&id, step, *i)) {
            let here = executor.runs.contains_key(&TaskId { step: id, index });
            tasks.working_here += u32::from(here);
            tasks.not_working -= 1;
        }
        Some(tasks)
    }
}
