//! Preemption: stops lower-priority runs that save checkpoints, to free capacity for
//! priority 0. Called by placement for steps that do not fit; it starts nothing itself.

use crate::{
    core::Resources,
    fleet::{
        Cell, Executor, ExecutorId, Now, RunStage, TaskId,
        cell_capacity::CapacitySnapshot,
        cell_plan::{Candidate, eligible},
        policy::{self, Victim},
    },
};

/// Priority of queues that may preempt others; 0 is the highest.
const PREEMPTING_PRIORITY: u32 = 0;

/// Bounds the executors on which one round stops runs for one step.
const MAX_EXECUTORS_PER_STEP: usize = 4;

impl Cell {
    /// Stops lower-priority runs so that waiting tasks of a step of priority 0 fit.
    pub(super) fn preempt(&mut self, candidate: &Candidate, snapshot: &CapacitySnapshot, now: Now) {
        if candidate.rank.priority != PREEMPTING_PRIORITY {
            return;
        }
        let Some((job, spec, _)) = self.lookup_step(&candidate.step) else {
            return;
        };
        let rule = self.queue_rule(job);
        let need = spec.allocation();
        let (waiting, _) = self.placeable_tasks(&candidate.step, MAX_EXECUTORS_PER_STEP, now);
        let mut remaining = waiting.len();
        let mut stops: Vec<(ExecutorId, TaskId)> = Vec::new();
        for entry in self.advised_executors(&candidate.step, snapshot) {
            if remaining == 0 {
                break;
            }
            let name = &entry.info.id;
            let Some(executor) = self.executors.get(name) else {
                continue;
            };
            if !executor.free_after_preemption().covers(&need) {
                continue;
            }
            let at_step_limit = spec.max_per_executor > 0
                && executor.count_step_tasks(&candidate.step) >= spec.max_per_executor;
            let open = entry.is_open_to(&candidate.step);
            if !open || !eligible(&executor.info, &rule.pool, spec) || at_step_limit {
                continue;
            }
            let (tasks, victims) = self.victims(executor, now);
            let available = executor.free_after_stops();
            // Runs beyond a capacity that has shrunk must end too before the task fits.
            let mut target = need;
            target.add(&executor.excess_after_stops());
            let chosen =
                policy::choose_victims(&target, &available, candidate.rank.priority, &victims);
            if let Some(chosen) = chosen {
                remaining -= 1;
                stops.extend(chosen.into_iter().map(|i| (name.clone(), tasks[i])));
            }
        }
        for (executor, task) in stops {
            self.stop_run(&executor, task, now);
        }
    }

    /// Stops lower-priority runs on the executors reserved for a gang, if all its members fit
    /// there then.
    pub(super) fn preempt_for_gang(
        &mut self,
        candidate: &Candidate,
        reserved: &[ExecutorId],
        now: Now,
    ) {
        let Some((_, spec, _)) = self.lookup_step(&candidate.step) else {
            return;
        };
        if !spec.gang {
            return;
        }
        let need = spec.allocation();
        let mut missing = spec.count;
        let mut stops: Vec<(ExecutorId, TaskId)> = Vec::new();
        for name in reserved {
            let executor = self.executors.get(name);
            let within_capacity = |e: &&Executor| e.excess_after_stops() == Resources::default();
            let Some(executor) = executor.filter(within_capacity) else {
                continue;
            };
            let (tasks, victims) = self.victims(executor, now);
            let available = executor.free_after_stops();
            let (members, chosen) = policy::choose_gang_victims(
                &need,
                missing,
                &available,
                candidate.rank.priority,
                &victims,
            );
            missing -= members;
            stops.extend(chosen.into_iter().map(|i| (name.clone(), tasks[i])));
            if missing == 0 {
                break;
            }
        }
        if missing > 0 {
            return;
        }
        for (executor, task) in stops {
            self.stop_run(&executor, task, now);
        }
    }

    /// Lists the confirmed runs of an executor with the facts that decide whether to stop them,
    /// index by index.
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
