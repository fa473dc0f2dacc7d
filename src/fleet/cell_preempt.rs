//! Room for the most urgent work: patient runs are stopped at a checkpoint.

use crate::{
    core::Resources,
    fleet::{
        Cell, Executor, ExecutorId, Now, Run, RunStage, TaskId,
        cell_plan::{Candidate, eligible},
        policy::{self, Victim},
    },
};

/// Priority of queues that may preempt others.
const PREEMPTING_PRIORITY: u32 = 0;

/// Executors on which room is made for one step at a time.
const MOST_EXECUTORS: usize = 4;

impl Cell {
    /// Stops patient runs so that a waiting task of an urgent step fits.
    pub(super) fn preempt(&mut self, candidate: &Candidate, now: Now) {
        if candidate.rank.priority != PREEMPTING_PRIORITY {
            return;
        }
        let Some((job, spec, step)) = self.lookup(&candidate.step) else {
            return;
        };
        let rule = self.rule(job);
        let need = spec.counted();
        let mut missing = step
            .tasks
            .iter()
            .filter(|t| !t.done && t.active.is_empty())
            .count()
            .min(MOST_EXECUTORS);
        let mut stops: Vec<(ExecutorId, TaskId)> = Vec::new();
        for (name, executor) in &self.executors {
            if missing == 0 {
                break;
            }
            if executor.info.pool != rule.pool || !reachable_room(executor).holds(&need) {
                continue;
            }
            let good = rule.advice.is_none() || step.advice.good.contains_key(name);
            let full = spec.max_per_executor > 0
                && executor.count_step(&candidate.step) >= spec.max_per_executor;
            let usable = executor.usable(now.mono) && eligible(executor, &rule.pool, spec);
            if !good || !usable || full {
                continue;
            }
            let (tasks, victims) = self.victims(executor, now);
            let coming = coming_room(executor);
            let chosen = policy::make_room(&need, &coming, candidate.rank.priority, &victims);
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
                checkpoints: run.yields,
                priority: self.rule(job).priority,
                age: now.mono.saturating_sub(run.since),
            };
            Some((*task, victim))
        });
        victims.unzip()
    }
}

/// Returns what is free, and what runs that are being stopped will free.
fn coming_room(executor: &Executor) -> Resources {
    let mut room = executor.free();
    let stopping = |s| matches!(s, RunStage::Stopping | RunStage::Stopped);
    for run in executor.runs.values().filter(|r| stopping(r.stage)) {
        room.add(&run.need);
    }
    room
}

/// Returns the most room that stopping runs can make.
fn reachable_room(executor: &Executor) -> Resources {
    let mut room = coming_room(executor);
    let yields = |r: &&Run| r.yields && r.stage == RunStage::Confirmed;
    for run in executor.runs.values().filter(yields) {
        room.add(&run.need);
    }
    room
}
