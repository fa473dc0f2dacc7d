//! Ends of runs, as executors list them: applied once, counted, acknowledged when durable.
//!
//! Called with the rows of a renewal reply. An end must not be acknowledged before the record
//! of its job is durable: the executor forgets it then.

use crate::fleet::{
    Cell, EndedRow, ExecutorId, FleetEvent, JobEnd, JobId, Now, RecordChange, Run, RunEnd, TaskId,
    run_log::{EndedRun, format_ended},
};

impl Cell {
    /// Applies an end unless it was read before. An end of an unknown job is kept until the store
    /// tells whether there is such a job.
    pub(super) fn process_ended_row(&mut self, id: &ExecutorId, row: &EndedRow, now: Now) {
        let job = row.task.step.job;
        let known = self.jobs.contains_key(&job) || self.ended_jobs.contains_key(&job);
        let future = self.is_future(&row.task);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if row.seq <= executor.last_end_seq {
            return;
        }
        executor.last_end_seq = row.seq;
        executor.unknown_runs.remove(&row.task);
        // An end that changes nothing waits for the job's record too: another end of the same
        // gang may have changed it just before.
        executor.unacked.insert(row.seq, row.task);
        if known && !future {
            self.apply_end_and_finish(id, row, now);
            return;
        }
        executor.unknown_ends.insert(row.seq, row.clone());
        let (seq, task, run, end) = (row.seq, row.task, row.run, row.end);
        self.log(
            FleetEvent::EndDeferred,
            format!("executor={id} seq={seq} task={task} run={run} end={end:?}"),
        );
        if !known {
            self.read_unknown_job(job);
        }
    }

    /// Returns whether a task is of an occurrence that is not due here yet.
    pub(super) fn is_future(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.is_some_and(|j| j.end.is_none() && j.is_future_occurrence(task.step.occurrence))
    }

    /// Logs the runs that ended since the last call.
    pub(super) fn log_ended(&mut self) {
        let runs = std::mem::take(&mut self.ended_runs);
        for detail in format_ended(&runs) {
            self.log(FleetEvent::RunEnded, detail);
        }
    }

    /// Applies the ends of a job that executors had listed before it, or their occurrence, was known.
    pub(super) fn apply_unknown_ends(&mut self, job: JobId, now: Now) {
        for (id, row) in self.take_unknown_ends(job) {
            if !self.is_future(&row.task) {
                self.apply_end_and_finish(&id, &row, now);
                self.log_ended();
            } else if let Some(executor) = self.executors.get_mut(&id) {
                executor.unknown_ends.insert(row.seq, row);
            }
        }
    }

    /// Takes the ends of an unknown job from all executors; they can be acknowledged from now on.
    pub(super) fn take_unknown_ends(&mut self, job: JobId) -> Vec<(ExecutorId, EndedRow)> {
        let mut rows = Vec::new();
        for (id, executor) in &mut self.executors {
            let of_job = |_: &u64, row: &mut EndedRow| row.task.step.job == job;
            let taken = executor.unknown_ends.extract_if(.., of_job);
            rows.extend(taken.map(|(_, row)| (id.clone(), row)));
        }
        rows
    }

    fn apply_end_and_finish(&mut self, id: &ExecutorId, row: &EndedRow, now: Now) {
        let job = row.task.step.job;
        if self.apply_end(id, row, now) {
            self.commit_queue.mark_dirty(job, RecordChange::Progress);
        }
        self.try_finish_job(job, now);
    }

    /// Applies an end to its run and task; returns whether the job's record changed.
    fn apply_end(&mut self, id: &ExecutorId, row: &EndedRow, now: Now) -> bool {
        let executor = self.executors.get_mut(id);
        let matching =
            executor.filter(|e| e.runs.get(&row.task).is_some_and(|r| r.number == row.run));
        let run = matching.and_then(|e| e.remove_run(&row.task));
        if let Some(run) = &run {
            let need = run.need;
            self.update_tenant_usage(row.task.step.job, &need, false);
            self.clear_active(id, &row.task);
            let ran_ms = now.mono.saturating_sub(run.started_at);
            if row.end == RunEnd::Done
                && let Some(executor) = self.executors.get_mut(id)
            {
                executor.run_time.record(ran_ms, run.measured_estimate_ms);
            }
            self.ended_runs.push(EndedRun {
                task: row.task,
                run: row.run,
                executor: id.clone(),
                end: row.end,
                ran_ms,
            });
        }
        self.mark_started(row.task.step.job);
        self.record_checkpoint(row.task, &row.checkpoint);
        match row.end {
            RunEnd::Done => {
                if let Some(executor) = self.executors.get_mut(id) {
                    executor.record_success();
                }
                self.on_task_done(&row.task, now)
            }
            RunEnd::Failed => {
                if let Some(run) = &run {
                    self.record_failure(id, row.task.step.job, run, now);
                }
                self.on_task_failed(id, row, now)
            }
            RunEnd::Broken | RunEnd::Lapsed | RunEnd::Orphaned | RunEnd::Stopped => false,
        }
    }

    /// Marks a task as done, or all tasks of a gang, and stops duplicates of it. Returns whether
    /// the job's record changed.
    fn on_task_done(&mut self, task: &TaskId, now: Now) -> bool {
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
        let changed = if gang {
            step.mark_all_done()
        } else {
            step.mark_done(task.index)
        };
        let state = step.task(task.index);
        let duplicates = state.map_or_else(Vec::new, |t| t.active_on.clone());
        for id in duplicates {
            self.stop_run(&id, *task, now);
        }
        changed
    }

    /// Counts a failed run against its executor. Ends that an earlier owner left unread are not counted: the
    /// executor may have worked since.
    fn record_failure(&mut self, id: &ExecutorId, job: JobId, run: &Run, now: Now) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let on_trial = executor.trial_tasks_left(now.mono).is_some();
        if executor.suspicion.record_failure(job, run, now.mono) {
            let cause = if on_trial {
                "failure on trial"
            } else {
                "failures of several jobs in a row"
            };
            let detail = format!("executor={id} cause={cause}");
            self.log(FleetEvent::ExecutorSuspected, detail);
        }
    }

    /// Counts a failed run of a task; the job fails when the attempts of its queue are used up.
    /// Returns whether the job's record changed.
    fn on_task_failed(&mut self, id: &ExecutorId, row: &EndedRow, now: Now) -> bool {
        let job = row.task.step.job;
        let Some(spec) = self.step_spec(&row.task) else {
            return false;
        };
        if spec.persistent {
            return false;
        }
        let max_attempts = self
            .jobs
            .get(&job)
            .map_or(1, |j| self.queue_rule(j).max_attempts);
        let Some(step) = self.step_mut(&row.task) else {
            return false;
        };
        // Failures of a task that is done count for nothing.
        if !step.is_open(row.task.index) {
            return false;
        }
        let Some(t) = step.task_mut(row.task.index) else {
            return false;
        };
        if t.failed_runs.contains(&row.run) {
            return false;
        }
        t.failed_runs.push(row.run);
        t.failed_on.push(id.clone());
        // Executors that were not read may list failures of earlier runs.
        t.located = false;
        let failures = u32::try_from(t.failed_runs.len()).unwrap_or(u32::MAX);
        if failures >= max_attempts {
            self.end_job(job, JobEnd::Failed, now);
        }
        true
    }
}
