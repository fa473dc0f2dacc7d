//! Ends of runs: taken in once, counted, and acknowledged when durable.

use crate::fleet::{
    Cell, EndedRow, ExecutorId, FleetEvent, JobEnd, Now, RunEnd, TaskId,
    cell_executors::UNKNOWN_JOB_GRACE_MS, cell_runs::task_index,
};

impl Cell {
    /// Takes in an end; false if it can't be judged yet, as its job may be on its way.
    pub(super) fn process_ended_row(&mut self, id: &ExecutorId, row: &EndedRow, now: Now) -> bool {
        let job = row.task.step.job;
        let known = self.jobs.contains_key(&job) || self.ended.contains_key(&job);
        if !known && now.mono < self.took_over_at + UNKNOWN_JOB_GRACE_MS {
            return false;
        }
        let Some(executor) = self.executors.get_mut(id) else {
            return false;
        };
        if row.seq <= executor.last_end_seq {
            return true;
        }
        executor.last_end_seq = row.seq;
        executor.unknown_runs.remove(&row.task);
        let counted = self.take_end(id, row, now);
        if let Some(executor) = self.executors.get_mut(id) {
            // Also an end that changed nothing waits for the record: another end of the same
            // gang may have changed it a moment before.
            executor.unacked.insert(row.seq, Some(job));
        }
        if counted {
            self.commit_queue.mark_dirty(job);
        }
        self.try_finish_job(job, now);
        true
    }

    /// Applies an end to its run and task; tells whether the job's record changed.
    fn take_end(&mut self, id: &ExecutorId, row: &EndedRow, now: Now) -> bool {
        let executor = self.executors.get_mut(id);
        let matching =
            executor.filter(|e| e.runs.get(&row.task).is_some_and(|r| r.number == row.run));
        let run = matching.and_then(|e| e.remove_run(&row.task));
        if let Some(run) = &run {
            let need = run.need;
            self.update_tenant_usage(row.task.step.job, &need, false);
            self.clear_active(id, &row.task);
            let ran_ms = now.mono.saturating_sub(run.started_at);
            self.log(
                FleetEvent::RunEnded,
                format!(
                    "task={} run={} executor={id} end={:?} ran_ms={ran_ms}",
                    row.task, row.run, row.end
                ),
            );
        }
        self.record_checkpoint(row.task, &row.checkpoint);
        match row.end {
            RunEnd::Done => {
                if let Some(executor) = self.executors.get_mut(id) {
                    executor.record_success();
                }
                self.task_done(&row.task, now)
            }
            RunEnd::Failed => self.task_failed(id, row, now),
            RunEnd::Broken | RunEnd::Lapsed | RunEnd::Orphaned | RunEnd::Stopped => false,
        }
    }

    fn task_done(&mut self, task: &TaskId, now: Now) -> bool {
        let Some(spec) = self.step_spec(task) else {
            return false;
        };
        if spec.persistent {
            return false;
        }
        let gang = spec.gang;
        let Some(step) = self.step_mut(task) else {
            return false;
        };
        let mut others = Vec::new();
        let mut changed = false;
        for (i, t) in step.tasks.iter_mut().enumerate() {
            let mine = i == task_index(task);
            if (mine || gang) && !t.done {
                t.done = true;
                step.done_count += 1;
                changed = true;
            }
            if mine {
                others.extend(t.active_on.iter().cloned());
            }
        }
        for id in others {
            self.stop_run(&id, *task, now);
        }
        changed
    }

    fn task_failed(&mut self, id: &ExecutorId, row: &EndedRow, now: Now) -> bool {
        let job = row.task.step.job;
        if let Some(executor) = self.executors.get_mut(id)
            && executor.record_failure(job, now.mono)
        {
            self.log(
                FleetEvent::ExecutorSuspected,
                format!("executor={id}; failures of several jobs in a row"),
            );
        }
        let Some(spec) = self.step_spec(&row.task) else {
            return false;
        };
        if spec.persistent {
            return false;
        }
        let most = self
            .jobs
            .get(&job)
            .map_or(1, |j| self.queue_rule(j).max_attempts);
        let Some(t) = self.task_mut(&row.task) else {
            return false;
        };
        if t.failed_runs.contains(&row.run) {
            return false;
        }
        t.failed_runs.push(row.run);
        t.failed_on.push(id.clone());
        let failures = u32::try_from(t.failed_runs.len()).unwrap_or(u32::MAX);
        let done = t.done;
        if failures >= most && !done {
            self.end_job(job, JobEnd::Failed, now);
        }
        true
    }
}
