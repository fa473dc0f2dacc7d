//! Room for the most urgent work: patient runs are stopped at a checkpoint.

use crate::fleet::{
    Cell, Executor, ExecutorId, Now, RunStage, TaskId,
    cell_capacity::CapacitySnapshot,
    cell_plan::{Candidate, eligible},
    policy::{self, Victim},
};

/// Priority of queues that may preempt others.
const PREEMPTING_PRIORITY: u32 = 0;

/// Executors on which room is made for one step at a time.
const MOST_EXECUTORS: usize = 4;

impl Cell {
    /// Stops patient runs so that a waiting task of an urgent step fits.
    pub(super) fn preempt(&mut self, candidate: &Candidate, rooms: &CapacitySnapshot, now: Now) {
        if candidate.rank.priority != PREEMPTING_PRIORITY {
            return;
        }
        let Some((job, spec, step)) = self.lookup_step(&candidate.step) else {
            return;
        };
        let rule = self.queue_rule(job);
        let need = spec.allocation();
        let mut missing = step
            .tasks
            .iter()
            .filter(|t| !t.done && t.active_on.is_empty())
            .count()
            .min(MOST_EXECUTORS);
        let mut stops: Vec<(ExecutorId, TaskId)> = Vec::new();
        for room in rooms.with_preemptible(&rule.pool, &need) {
            if missing == 0 {
                break;
            }
            let name = &room.info.id;
            let Some(executor) = self.executors.get(name) else {
                continue;
            };
            let good = rule.advice.is_none() || step.advice.advised.contains_key(name);
            let full = spec.max_per_executor > 0
                && executor.count_step_tasks(&candidate.step) >= spec.max_per_executor;
            if !good || !eligible(&executor.info, &rule.pool, spec) || full {
                continue;
            }
            let (tasks, victims) = self.victims(executor, now);
            let coming = executor.free_after_stops();
            let chosen = policy::choose_victims(&need, &coming, candidate.rank.priority, &victims);
            if let Some(chosen) = chosen {
                missing -= 1;
                stops.extend(chosen.into_iter().map(|i| (name.clone(), tasks[i])));
            }
        }
        for (executor, task) in stops {
            self.stop_run(&executor, task, now);
        }
    }

    fn victims(&self, executor: &Executor, now: Now) -> (Vec<TaskId>, Vec<Victim>) {
        let confirmed = executor
            .runs
            .iter()
            .filter(|(_, r)| r.stage == RunStage::Confirmed);
        let victims = confirmed.filter_map(|(task, run)| {
            let job = self.jobs.get(&task.step.job)?;
            let victim = Victim {
                need: run.need,
                preemptible: run.preemptible,
                priority: self.queue_rule(job).priority,
                age_ms: now.mono.saturating_sub(run.started_at),
            };
            Some((*task, victim))
        });
        victims.unzip()
    }
}
