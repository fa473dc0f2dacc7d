//! Runs of the cell: start and stop commands, their results, and runs lost with an executor.
//!
//! Called by placement, preemption, the renewal of leases and the ends of jobs. It does not
//! choose executors.

use {
    crate::{
        core::{CallId, Millis},
        fleet::{
            Cell, CellEffect, CommandError, ExecutorCommand, ExecutorId, FleetEvent, JobId, Now,
            Run, RunLoss, RunNumber, RunStage, StartCommand, StepId, StepSpec, TaskId,
            policy::FollowedProgress,
            run_log::{StartedRun, format_started},
        },
    },
    std::{fmt::Write, sync::Arc},
};

/// Bounds the start commands sent for one run; then the run is stopped and starts elsewhere.
pub(super) const MAX_START_ATTEMPTS: u32 = 3;

/// Timeout of a start, stop or throttle command, in ms; executors reply at once.
const COMMAND_TIMEOUT_MS: Millis = 300;

/// Time until an unanswered stop command is sent again, in ms.
const STOP_RETRY_MS: Millis = 300;

/// Backoff of a task after a refused start, in ms.
const REFUSED_TASK_BACKOFF_MS: Millis = 100;

/// Time for which an executor that refused a start is suspected and gets no work, in ms.
const REFUSAL_SUSPECT_MS: Millis = 1_000;

impl Cell {
    /// Sends a command to an executor; returns the call id that its result will carry. Uses a new
    /// connection after failed calls and for repeated starts and stops.
    pub(super) fn send_command(&mut self, id: &ExecutorId, command: ExecutorCommand) -> CallId {
        let call = self.next_call();
        if let Some(executor) = self.executors.get(id) {
            let repeated = match &command {
                ExecutorCommand::Start(start) => executor
                    .runs
                    .get(&start.task)
                    .is_some_and(|r| r.start_attempts > 1),
                ExecutorCommand::Stop { task, .. } => {
                    executor.runs.get(task).is_some_and(|r| r.stop_attempts > 1)
                }
                _ => false,
            };
            self.effects.push(CellEffect::Command {
                call,
                executor: id.clone(),
                address: executor.info.address.clone(),
                command,
                timeout_ms: COMMAND_TIMEOUT_MS,
                new_connection: repeated || executor.failed_calls > 0,
            });
        }
        call
    }

    /// Starts a task on an executor under a new run number. The run uses capacity from now on,
    /// also while the command is unanswered.
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
        let mut run = new_run(number, RunStage::StartSent, spec, ticket, now.mono);
        let resumed = !self.checkpoint_of(&task).is_empty();
        if !resumed {
            run.progress = Some(FollowedProgress::new(now.mono, 0));
        }
        if run.finishes_independently && !resumed {
            run.measured_estimate_ms = spec.estimate_ms;
        }
        let job = self.jobs.get(&task.step.job);
        let wait_ms = job
            .filter(|j| !j.start_sent)
            .map(|j| j.age_ms(task.step.occurrence, now));
        if let Some(wait_ms) = wait_ms {
            self.first_wait_ms = Some(wait_ms);
            self.effects.push(CellEffect::FirstStart { wait_ms });
        }
        self.record_run(id, task, run);
        self.round_starts += 1;
        self.started_runs.push(StartedRun {
            task,
            run: number,
            executor: id.clone(),
        });
        self.send_start(id, task, now);
    }

    /// Logs the runs of a step that were started since the last call.
    pub(super) fn log_started(&mut self, step: &StepId) {
        let runs = std::mem::take(&mut self.started_runs);
        let wait_ms = self.first_wait_ms.take();
        if runs.is_empty() {
            return;
        }
        let mut detail = format_started(step, &runs);
        if let Some(ms) = wait_ms {
            let _ = write!(detail, " waited_ms={ms}");
        }
        if let Some(blocked) = self.jobs.get(&step.job).and_then(|j| j.blocked) {
            let _ = write!(detail, " blocked={blocked:?}");
        }
        self.log(FleetEvent::RunStarted, detail);
    }

    pub(super) fn step_spec(&self, task: &TaskId) -> Option<&StepSpec> {
        self.jobs.get(&task.step.job)?.spec(task.step.step)
    }

    /// Estimates how long a run still takes, in ms; persistent ones do not end. `None` if its job is
    /// not known.
    pub(super) fn remaining_run_ms(&self, task: &TaskId, run: &Run, now: Now) -> Option<Millis> {
        let spec = self.step_spec(task)?;
        if spec.persistent {
            return Some(Millis::MAX);
        }
        let unknown = FollowedProgress::new(run.started_at, 0);
        let progress = run.progress.unwrap_or(unknown);
        Some(progress.remaining_ms(now.mono, spec.estimate_ms))
    }

    /// Returns whether a task belongs to a persistent step.
    pub(super) fn is_persistent(&self, task: &TaskId) -> bool {
        self.step_spec(task).is_some_and(|s| s.persistent)
    }

    /// Records a run on its executor and its task, and in the usage of its tenant.
    fn record_run(&mut self, id: &ExecutorId, task: TaskId, run: Run) {
        let (number, stage, started_at) = (run.number, run.stage, run.started_at);
        self.update_tenant_usage(task.step.job, &run.need, true);
        if let Some(executor) = self.executors.get_mut(id) {
            executor.add_run(task, run);
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        job.start_sent = true;
        job.started |= stage == RunStage::Confirmed;
        let key = (task.step.occurrence, task.step.step);
        let Some(step) = job.steps.get_mut(&key) else {
            return;
        };
        step.last_start_at = started_at;
        if let Some(t) = step.task_mut(task.index) {
            t.active_on.push(id.clone());
            t.located = true;
            t.last_run_number = t.last_run_number.max(number);
        }
    }

    /// Records that an executor confirmed the start of a task of a job, or its end.
    pub(super) fn mark_started(&mut self, job: JobId) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.started = true;
        }
    }

    /// Sends the start command of a run, or sends it again; nothing while the executor's clock is
    /// unknown, since the lease end is a time on that clock.
    fn send_start(&mut self, id: &ExecutorId, task: TaskId, now: Now) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let checkpoint = self.checkpoint_of(&task);
        let payload = job.submission.spec.payload.clone();
        let lease_ms = self.bounds.max_lease_ms;
        let token = self.command_token(id);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(clock) = executor.estimate_clock(now.mono) else {
            return;
        };
        let deadline_ms = clock + lease_ms;
        executor.max_lease_end_ms = executor.max_lease_end_ms.max(deadline_ms);
        executor.last_grant_at = now.mono;
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

    /// Sends the stop command of a tracked run; it uses capacity until its end is read.
    pub(super) fn stop_run(&mut self, id: &ExecutorId, task: TaskId, now: Now) {
        let executor = self.executors.get_mut(id);
        let Some(run) = executor.and_then(|e| e.runs.get_mut(&task)) else {
            return;
        };
        run.stage = RunStage::StopSent;
        run.stage_since = now.mono;
        run.stop_attempts += 1;
        let number = run.number;
        let call = self.send_stop(id, task, number);
        self.set_call(id, task, call);
    }

    /// Sends a stop command; the run may be one that is not tracked.
    pub(super) fn send_stop(&mut self, id: &ExecutorId, task: TaskId, run: RunNumber) -> CallId {
        let token = self.command_token(id);
        self.send_command(id, ExecutorCommand::Stop { task, run, token })
    }

    /// Handles the result of a start, stop or throttle command; ignores calls of no run.
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
                self.mark_started(task.step.job);
            }
            (RunStage::StopSent, Ok(())) => {
                run.stage = RunStage::StopAccepted;
                run.stage_since = now.mono;
            }
            (RunStage::StartSent, Err(CommandError::Fenced | CommandError::Unknown)) => {}
            (RunStage::StartSent, Err(fault)) => {
                self.on_start_refused(id, task, fault, now);
            }
            _ => {}
        }
    }

    /// Handles the reply that a task was not started: frees its capacity and retries the task
    /// after a backoff. Stops the run instead if an earlier start command may still be carried out.
    fn on_start_refused(&mut self, id: &ExecutorId, task: TaskId, fault: CommandError, now: Now) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if fault == CommandError::Refused {
            executor.suspicion.pause(now.mono + REFUSAL_SUSPECT_MS);
        }
        let tries = executor.runs.get(&task).map_or(0, |r| r.start_attempts);
        self.log(
            FleetEvent::RunRefused,
            format!("task={task} executor={id} fault={fault:?} tries={tries}"),
        );
        if fault == CommandError::BadTicket
            && let Some(step) = self.step_mut(&task)
        {
            // The advice stands while the executor lives; the next call renews the ticket.
            if let Some(ticket) = step.advice.advised.get_mut(id) {
                ticket.expires_at = 0;
            }
        }
        if tries > 1 {
            // An earlier start command without a reply may still be carried out.
            self.stop_run(id, task, now);
            return;
        }
        let executor = self.executors.get_mut(id);
        if let Some(run) = executor.and_then(|e| e.remove_run(&task)) {
            self.on_run_lost(id, task, &run, RunLoss::StartRefused, now);
        }
        if let Some(t) = self.task_mut(&task) {
            t.not_before = now.mono + REFUSED_TASK_BACKOFF_MS;
        }
    }

    /// Sends unanswered start and stop commands again, to responsive executors; stops runs whose
    /// start attempts are used up, that no longer fit, or whose executor drains, is in a zone that is
    /// being evacuated or has maintenance.
    pub(super) fn resend_commands(&mut self, now: Now) {
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for (id, executor) in &self.executors {
            if !executor.is_responsive() {
                continue;
            }
            let in_roster = self.in_roster(&executor.info);
            let info = &executor.info;
            let withheld = info.draining || self.is_evacuated(info) || self.is_in_upkeep(id);
            let over_capacity = executor.is_over_capacity();
            let excess = if over_capacity {
                executor.excess_starts()
            } else {
                Vec::new()
            };
            for (task, run) in executor.runs.iter().filter(|(_, r)| r.call.is_none()) {
                match run.stage {
                    RunStage::StartSent
                        if run.start_attempts >= MAX_START_ATTEMPTS
                            || withheld
                            || excess.contains(task) =>
                    {
                        stops.push((id.clone(), *task));
                    }
                    RunStage::StartSent if in_roster && !over_capacity => {
                        starts.push((id.clone(), *task));
                    }
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

    /// Handles a run that certainly no longer runs but whose end was not reported; the caller has
    /// removed it from its executor. A gang loses all its members.
    pub(super) fn on_run_lost(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        run: &Run,
        loss: RunLoss,
        now: Now,
    ) {
        let (number, stage) = (run.number, run.stage);
        let evidence = self.executors.get(id).map_or_else(String::new, |e| {
            let clock = e.estimate_clock(now.mono).unwrap_or(0);
            let lease_end = e.max_lease_end_ms;
            let silent_ms = e.clock.map_or(0, |c| now.mono.saturating_sub(c.at));
            format!(
                " clock_ms={clock} lease_end_ms={lease_end} silent_ms={silent_ms} listed={} \
                 draining={}",
                e.listed, e.info.draining
            )
        });
        self.log(
            FleetEvent::RunLost,
            format!(
                "task={task} run={number} executor={id} loss={loss:?} stage={stage:?}{evidence}"
            ),
        );
        let need = run.need;
        self.update_tenant_usage(task.step.job, &need, false);
        self.clear_active(id, &task);
        let gang = self.step_spec(&task).is_some_and(|s| s.gang);
        if gang {
            self.stop_gang(&task, now);
        }
        self.try_finish_job(task.step.job, now);
    }

    /// Stops the remaining members of a gang that lost one.
    pub(super) fn stop_gang(&mut self, task: &TaskId, now: Now) {
        let step = task.step;
        let Some(state) = self.step_mut(task) else {
            return;
        };
        let members: Vec<_> = state
            .active_tasks()
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

    /// Adopts a run that an earlier owner started, and stops it if its job has ended; returns false if
    /// its job is not known, its task is done, or another run of the task is active.
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
        let ended = job.end.is_some();
        let Some(spec) = job.spec(task.step.step).cloned() else {
            return false;
        };
        let key = (task.step.occurrence, task.step.step);
        let Some(step) = job.steps.get(&key) else {
            return false;
        };
        let active = step
            .task(task.index)
            .is_some_and(|t| !t.active_on.is_empty());
        if !step.is_open(task.index) || (active && !spec.allow_duplicates) {
            return false;
        }
        let run = new_run(run, RunStage::Confirmed, &spec, None, now.mono);
        self.record_run(id, task, run);
        if ended {
            self.stop_run(id, task, now);
        }
        true
    }

    /// Records a checkpoint. An empty one changes nothing.
    pub(super) fn record_checkpoint(&mut self, task: TaskId, checkpoint: &Arc<str>) {
        if checkpoint.is_empty() {
            return;
        }
        let keeper = self.checkpoint_keeper(&task);
        if let Some(t) = self.task_mut(&keeper)
            && t.checkpoint != *checkpoint
        {
            t.checkpoint = checkpoint.clone();
        }
    }

    /// Returns the checkpoint from which a task starts; empty if there is none.
    fn checkpoint_of(&self, task: &TaskId) -> Arc<str> {
        let keeper = self.task(&self.checkpoint_keeper(task));
        keeper.map(|t| t.checkpoint.clone()).unwrap_or_default()
    }

    /// Returns the task that keeps the checkpoint of a task: the first one of a gang, as a checkpoint of any
    /// member serves all.
    fn checkpoint_keeper(&self, task: &TaskId) -> TaskId {
        let gang = self.step_spec(task).is_some_and(|s| s.gang);
        TaskId {
            index: if gang { 0 } else { task.index },
            ..*task
        }
    }

    pub(super) fn clear_active(&mut self, id: &ExecutorId, task: &TaskId) {
        if let Some(step) = self.step_mut(task) {
            step.clear_active(task.index, id);
        }
    }

    pub(super) fn step_mut(&mut self, task: &TaskId) -> Option<&mut crate::fleet::Step> {
        self.step_state_mut(&task.step)
    }

    pub(super) fn task(&self, task: &TaskId) -> Option<&crate::fleet::Task> {
        self.lookup_step(&task.step)?.2.task(task.index)
    }

    pub(super) fn task_mut(&mut self, task: &TaskId) -> Option<&mut crate::fleet::Task> {
        self.step_mut(task)?.task_mut(task.index)
    }
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
        stop_attempts: 0,
        ticket,
        progress: None,
        progressed_at: now,
        share_percent: 100,
        best_effort: spec.best_effort,
        finishes_independently: !spec.persistent && !spec.gang,
        measured: (now, 0),
        measured_estimate_ms: 0,
        preemptible: spec.checkpoints && !spec.gang && !spec.persistent,
        latency_target_ms: spec.latency_target_ms,
        load: 0,
    }
}
