//! Runs of the cell: ordered, confirmed, stopped, ended, lost.

use {
    crate::{
        core::{CallId, Millis},
        fleet::{
            Cell, CellEffect, CommandError, ExecutorCommand, ExecutorId, FleetEvent, JobId, Now,
            Run, RunNumber, RunStage, StartCommand, StepSpec, TaskId,
        },
    },
    std::sync::Arc,
};

/// Orders of one start before it is stopped and started elsewhere.
const START_TRIES: u32 = 3;

/// Time until an unanswered stop is ordered again, in ms.
const STOP_RETRY_MS: Millis = 300;

/// Time until a refused task is tried again, in ms.
const REFUSED_PAUSE_MS: Millis = 100;

/// Time for which an executor that refused an order gets no work, in ms.
const UNWELL_MS: Millis = 1_000;

impl Cell {
    /// Sends an order to an executor; returns the call's number.
    pub(super) fn send_command(&mut self, id: &ExecutorId, command: ExecutorCommand) -> CallId {
        let call = self.next_call();
        if let Some(executor) = self.executors.get(id) {
            let repeated = match &command {
                ExecutorCommand::Start(start) => executor
                    .runs
                    .get(&start.task)
                    .is_some_and(|r| r.start_attempts > 1),
                _ => false,
            };
            self.effects.push(CellEffect::Command {
                call,
                executor: id.clone(),
                address: executor.info.address.clone(),
                command,
                new_connection: repeated || executor.failed_calls > 0,
            });
        }
        call
    }

    /// Starts a task under a new run number.
    pub(super) fn start_run(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        number: RunNumber,
        ticket: Option<Arc<str>>,
        now: Now,
    ) {
        let Some(spec) = self.step_spec(&task) else {
            return;
        };
        let run = new_run(number, RunStage::StartSent, spec, ticket, now.mono);
        let job = self.jobs.get(&task.step.job);
        let wait_ms = job.filter(|j| !j.started).map(|j| now.mono - j.received_at);
        let waited = wait_ms.map_or_else(String::new, |ms| format!(" waited_ms={ms}"));
        let blocked = job.and_then(|j| j.blocked);
        let blocked = blocked.map_or_else(String::new, |b| format!(" blocked={b:?}"));
        let detail = format!("task={task} run={number} executor={id}{waited}{blocked}");
        if let Some(wait_ms) = wait_ms {
            self.effects.push(CellEffect::FirstStart { wait_ms });
        }
        self.track(id, task, run);
        self.log(FleetEvent::RunStarted, detail);
        self.send_start(id, task, now);
    }

    pub(super) fn step_spec(&self, task: &TaskId) -> Option<&StepSpec> {
        self.jobs.get(&task.step.job)?.spec(task.step.step)
    }

    /// Notes a run at its executor, its task and its organisation.
    fn track(&mut self, id: &ExecutorId, task: TaskId, run: Run) {
        let number = run.number;
        self.update_tenant_usage(task.step.job, &run.need, true);
        if let Some(executor) = self.executors.get_mut(id) {
            executor.add_run(task, run);
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        job.started = true;
        let key = (task.step.occurrence, task.step.step);
        let step = job.steps.get_mut(&key);
        if let Some(t) = step.and_then(|s| s.tasks.get_mut(task_index(&task))) {
            t.active_on.push(id.clone());
            t.last_run_number = t.last_run_number.max(number);
        }
    }

    /// Orders a start, or orders it again.
    fn send_start(&mut self, id: &ExecutorId, task: TaskId, now: Now) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let gang = job.spec(task.step.step).is_some_and(|s| s.gang);
        let key = (task.step.occurrence, task.step.step);
        let holder = if gang { 0 } else { task_index(&task) };
        let state = job.steps.get(&key).and_then(|s| s.tasks.get(holder));
        let checkpoint = state.map(|t| t.checkpoint.clone()).unwrap_or_default();
        let payload = job.submission.spec.payload.clone();
        let lease_ms = self.bounds.lease_ms;
        let token = self.command_token(id);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(clock) = executor.estimate_clock(now.mono) else {
            return;
        };
        let deadline_ms = clock + lease_ms;
        executor.max_lease_end_ms = executor.max_lease_end_ms.max(deadline_ms);
        let Some(run) = executor.runs.get_mut(&task) else {
            return;
        };
        run.start_attempts += 1;
        let command = ExecutorCommand::Start(StartCommand {
            task,
            run: run.number,
            payload,
            deadline_ms,
            token,
            checkpoint,
            ticket: run.ticket.clone(),
        });
        let call = self.send_command(id, command);
        self.set_call(id, task, call);
    }

    fn set_call(&mut self, id: &ExecutorId, task: TaskId, call: CallId) {
        let executor = self.executors.get_mut(id);
        if let Some(run) = executor.and_then(|e| e.runs.get_mut(&task)) {
            run.call = Some(call);
        }
    }

    /// Orders a stop of a run that is tracked.
    pub(super) fn stop_run(&mut self, id: &ExecutorId, task: TaskId, now: Now) {
        let executor = self.executors.get_mut(id);
        let Some(run) = executor.and_then(|e| e.runs.get_mut(&task)) else {
            return;
        };
        run.stage = RunStage::StopSent;
        run.stage_since = now.mono;
        let number = run.number;
        let call = self.send_stop(id, task, number);
        self.set_call(id, task, call);
    }

    /// Orders a stop.
    pub(super) fn send_stop(&mut self, id: &ExecutorId, task: TaskId, run: RunNumber) -> CallId {
        let token = self.command_token(id);
        self.send_command(id, ExecutorCommand::Stop { task, run, token })
    }

    /// Takes in the answer to a start, stop or pace order.
    pub(super) fn on_run_command_result(
        &mut self,
        call: CallId,
        id: &ExecutorId,
        result: Result<(), CommandError>,
        now: Now,
    ) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let mut runs = executor.runs.iter_mut();
        let Some((task, run)) = runs.find(|(_, r)| r.call == Some(call)) else {
            return;
        };
        let task = *task;
        run.call = None;
        match (run.stage, result) {
            (RunStage::StartSent, Ok(()) | Err(CommandError::OldRun)) => {
                run.stage = RunStage::Confirmed;
                run.stage_since = now.mono;
            }
            (RunStage::StopSent, Ok(())) => {
                run.stage = RunStage::StopAccepted;
                run.stage_since = now.mono;
            }
            (RunStage::StartSent, Err(CommandError::Fenced | CommandError::Unknown)) => {}
            (RunStage::StartSent, Err(fault)) => {
                self.start_refused(id, task, fault, now);
            }
            _ => {}
        }
    }

    /// The executor says that it did not start the task.
    fn start_refused(&mut self, id: &ExecutorId, task: TaskId, fault: CommandError, now: Now) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if fault == CommandError::Refused {
            executor.suspected_until = executor.suspected_until.max(now.mono + UNWELL_MS);
        }
        let tries = executor.runs.get(&task).map_or(0, |r| r.start_attempts);
        self.log(
            FleetEvent::RunRefused,
            format!("task={task} executor={id} fault={fault:?} tries={tries}"),
        );
        if fault == CommandError::BadTicket
            && let Some(step) = self.step_mut(&task)
        {
            step.advice.advised.remove(id);
        }
        if tries > 1 {
            // An earlier order without an answer may still be carried out.
            self.stop_run(id, task, now);
            return;
        }
        let executor = self.executors.get_mut(id);
        if let Some(run) = executor.and_then(|e| e.remove_run(&task)) {
            self.run_lost(id, task, &run, now);
        }
        if let Some(t) = self.task_mut(&task) {
            t.not_before = now.mono + REFUSED_PAUSE_MS;
        }
    }

    /// Orders again what got no answer.
    pub(super) fn resend_commands(&mut self, now: Now) {
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for (id, executor) in &self.executors {
            if !executor.is_responsive() {
                continue;
            }
            for (task, run) in executor.runs.iter().filter(|(_, r)| r.call.is_none()) {
                match run.stage {
                    RunStage::StartSent if run.start_attempts < START_TRIES => {
                        starts.push((id.clone(), *task));
                    }
                    RunStage::StartSent => stops.push((id.clone(), *task)),
                    RunStage::StopSent if run.stage_since + STOP_RETRY_MS <= now.mono => {
                        stops.push((id.clone(), *task));
                    }
                    _ => {}
                }
            }
        }
        for (id, task) in starts {
            self.send_start(&id, task, now);
        }
        for (id, task) in stops {
            self.stop_run(&id, task, now);
        }
    }

    /// A run is surely over, without an end that tells how.
    pub(super) fn run_lost(&mut self, id: &ExecutorId, task: TaskId, run: &Run, now: Now) {
        let need = run.need;
        self.update_tenant_usage(task.step.job, &need, false);
        self.clear_active(id, &task);
        let gang = self.step_spec(&task).is_some_and(|s| s.gang);
        if gang {
            self.stop_gang(&task, now);
        }
        self.try_finish_job(task.step.job, now);
    }

    /// Stops the members of a gang that lost one.
    fn stop_gang(&mut self, task: &TaskId, now: Now) {
        let step = task.step;
        let Some(state) = self.step_mut(task) else {
            return;
        };
        let members: Vec<_> = (0u32..)
            .zip(&state.tasks)
            .flat_map(|(i, t)| {
                t.active_on
                    .iter()
                    .map(move |e| (e.clone(), TaskId { step, index: i }))
            })
            .collect();
        for (id, member) in members {
            self.stop_run(&id, member, now);
        }
    }

    /// Takes over a run that an earlier owner ordered; false if it must not go on.
    pub(super) fn adopt_run(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: RunNumber,
        now: Now,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return false;
        };
        if job.end.is_some() {
            return false;
        }
        let Some(spec) = job.spec(task.step.step).cloned() else {
            return false;
        };
        let key = (task.step.occurrence, task.step.step);
        let Some(t) = job
            .steps
            .get(&key)
            .and_then(|s| s.tasks.get(task_index(&task)))
        else {
            return false;
        };
        if t.done || (!t.active_on.is_empty() && !spec.allow_duplicates) {
            return false;
        }
        let run = new_run(run, RunStage::Confirmed, &spec, None, now.mono);
        self.track(id, task, run);
        true
    }

    /// Notes a checkpoint; one of any member serves a whole gang.
    pub(super) fn record_checkpoint(&mut self, task: TaskId, checkpoint: &Arc<str>) {
        if checkpoint.is_empty() {
            return;
        }
        let gang = self.step_spec(&task).is_some_and(|s| s.gang);
        let holder = if gang { 0 } else { task_index(&task) };
        if let Some(t) = self.step_mut(&task).and_then(|s| s.tasks.get_mut(holder))
            && t.checkpoint != *checkpoint
        {
            t.checkpoint = checkpoint.clone();
        }
    }

    pub(super) fn clear_active(&mut self, id: &ExecutorId, task: &TaskId) {
        if let Some(t) = self.task_mut(task) {
            t.active_on.retain(|e| e != id);
        }
    }

    pub(super) fn step_mut(&mut self, task: &TaskId) -> Option<&mut crate::fleet::Step> {
        let job: JobId = task.step.job;
        let key = (task.step.occurrence, task.step.step);
        self.jobs.get_mut(&job)?.steps.get_mut(&key)
    }

    pub(super) fn task_mut(&mut self, task: &TaskId) -> Option<&mut crate::fleet::Task> {
        self.step_mut(task)?.tasks.get_mut(task_index(task))
    }
}

pub(super) fn task_index(task: &TaskId) -> usize {
    usize::try_from(task.index).unwrap_or(usize::MAX)
}

fn new_run(
    number: RunNumber,
    stage: RunStage,
    spec: &StepSpec,
    ticket: Option<Arc<str>>,
    now: Millis,
) -> Run {
    Run {
        number,
        stage,
        need: spec.allocation(),
        started_at: now,
        stage_since: now,
        call: None,
        start_attempts: 0,
        ticket,
        percent: 0,
        progressed_at: now,
        share_percent: 100,
        best_effort: spec.best_effort,
        finishes_independently: !spec.persistent && !spec.gang,
        preemptible: spec.checkpoints && !spec.gang && !spec.persistent,
        latency_target_ms: spec.latency_target_ms,
        load: 0,
    }
}
