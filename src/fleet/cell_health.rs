//! Health of executors: stops the runs of one that hangs, and throttles best-effort runs that
//! raise the tail latency of serving tasks beside them.
//!
//! Called after each renewal reply, with the progress and load that it reported.

use crate::fleet::{
    Cell, Executor, ExecutorCommand, ExecutorId, FleetEvent, Now, RunStage, policy,
};

impl Cell {
    /// Suspects an executor on which no run makes progress, and stops its runs so that they start
    /// elsewhere.
    pub(super) fn stop_stuck_runs(&mut self, id: &ExecutorId, now: Now) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let stuck = executor.stuck_runs(now.mono);
        if stuck.is_empty() {
            return;
        }
        executor.suspicion.begin(now.mono);
        self.log(
            FleetEvent::ExecutorSuspected,
            format!("executor={id} stopped={} cause=no run moves", stuck.len()),
        );
        for task in stuck {
            self.stop_run(id, task, now);
        }
    }

    /// Sets the share of best-effort runs by the serving task whose tail latency is the highest in
    /// relation to its target; commands go only to runs whose share changes.
    pub(super) fn adjust_throttle(&mut self, id: &ExecutorId) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if !executor.needs_throttle() {
            return;
        }
        let serving = executor.runs.values().filter(|r| r.latency_target_ms > 0);
        let highest = serving.max_by_key(|r| r.load * 1000 / r.latency_target_ms);
        let Some((tail_ms, target_ms)) = highest.map(|r| (r.load, r.latency_target_ms)) else {
            return;
        };
        let mut commands = Vec::new();
        for (task, run) in &mut executor.runs {
            let share = policy::best_effort_share(run.share_percent, tail_ms, target_ms);
            if run.best_effort && run.stage == RunStage::Confirmed && share != run.share_percent {
                run.share_percent = share;
                commands.push((*task, run.number, share));
            }
        }
        let token = self.command_token(id);
        for (task, run, percent) in commands {
            let command = ExecutorCommand::Throttle {
                task,
                run,
                percent,
                token,
            };
            self.send_command(id, command);
        }
    }
}

impl Executor {
    /// Returns whether a best-effort run shares the executor with a task that has a tail latency
    /// target.
    pub(super) fn needs_throttle(&self) -> bool {
        let serving = self.runs.values().any(|r| r.latency_target_ms > 0);
        serving && self.runs.values().any(|r| r.best_effort)
    }
}
