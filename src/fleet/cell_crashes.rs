//! Tasks that crash their executors: which crashes count against which task, where a suspect task
//! starts, and when it is given up.
//!
//! A task is suspect if an executor crashed soon after the task had started there. It starts only
//! on an executor that is held for the suspect tasks of its job: every other run there is cleared
//! and nothing else starts, until they have run on for a while, which clears them, or the
//! executor crashes again.

use {
    crate::fleet::{
        BlockReason, Cell, ExecutorId, ExecutorInfo, FleetEvent, Hold, JobEnd, JobId, JobProgress,
        Now, RecordChange, RunStage, StepId, StepSpec, TaskId, WatchedRun,
        cell_capacity::CapacitySnapshot,
        cell_plan::eligible,
        cell_runs::MAX_START_ATTEMPTS,
        policy::{self, CrashVerdict, MAX_HOLD_MS, PlacementOption, SuspectPlace},
    },
    std::{collections::HashSet, sync::Arc},
};

impl Cell {
    /// Lists the runs on an executor that could be the cause of a crash now; none if the executor
    /// is about to end by plan.
    pub(super) fn watched_runs(&self, id: &ExecutorId) -> Vec<WatchedRun> {
        let Some(executor) = self.executors.get(id) else {
            return Vec::new();
        };
        if executor.info.draining || self.is_in_upkeep(id) {
            return Vec::new();
        }
        let runs = executor.runs.iter();
        let watched: Vec<_> = runs.filter(|(_, r)| !executor.is_cleared(r)).collect();
        let jobs: HashSet<JobId> = watched.iter().map(|(t, _)| t.step.job).collect();
        let sole_cause = jobs.len() == 1 && executor.unknown_runs.is_empty();
        let mut list: Vec<WatchedRun> = watched
            .into_iter()
            .map(|(task, run)| WatchedRun {
                task: *task,
                run: run.number,
                confirmed: run.stage == RunStage::Confirmed,
                sole_cause,
            })
            .collect();
        list.sort_by_key(|w| w.task);
        list
    }

    /// Counts the certain crash of an executor against the watched runs there, and against those
    /// that were lost before with its lease.
    pub(super) fn on_executor_crashed(
        &mut self,
        id: &ExecutorId,
        mut watched: Vec<WatchedRun>,
        now: Now,
    ) {
        watched.extend(self.crash_watch.take_lapsed(id));
        watched.retain(|w| self.is_open_task(&w.task));
        if watched.is_empty() {
            return;
        }
        let runs: Vec<String> = watched
            .iter()
            .map(|w| format!("{}/{}", w.task, w.run))
            .collect();
        let sole_cause = watched.iter().all(|w| w.sole_cause);
        let runs = runs.join(",");
        self.log(
            FleetEvent::ExecutorCrashed,
            format!("executor={id} sole_cause={sole_cause} runs={runs}"),
        );
        for w in watched {
            if !w.confirmed {
                self.crash_watch.suspect(w.task);
                continue;
            }
            let verdict = self.crash_watch.record(&w);
            self.commit_queue
                .mark_dirty(w.task.step.job, RecordChange::Progress);
            // The first task of a job that is given up ends it.
            if verdict == Some(CrashVerdict::GiveUp) && self.is_open_task(&w.task) {
                self.give_up_task(&w.task, now);
            }
        }
    }

    /// Ends the job of a task that crashes its executors.
    fn give_up_task(&mut self, task: &TaskId, now: Now) {
        let runs = self.crash_watch.crashed_runs(task);
        self.log(
            FleetEvent::TaskGivenUp,
            format!("task={task} runs={runs:?}"),
        );
        self.end_job(task.step.job, JobEnd::Failed, now);
    }

    /// Keeps what an executor ran whose lease expired; its tasks are suspect until they run on
    /// elsewhere.
    pub(super) fn watch_lapsed(&mut self, id: &ExecutorId, now: Now) {
        let watched = self.watched_runs(id);
        for w in &watched {
            self.crash_watch.suspect(w.task);
        }
        if let Some(e) = self.executors.get(id) {
            let address = e.info.address.clone();
            self.crash_watch
                .add_lapsed(id, address, e.started_unix_ms, watched, now.mono);
        }
    }

    /// Counts a crash if an executor that replied is another incarnation than the one whose lease
    /// expired.
    pub(super) fn settle_lapsed(&mut self, id: &ExecutorId, started: Option<u64>, now: Now) {
        let watched = self.crash_watch.take_replied(id, started);
        self.on_executor_crashed(id, watched, now);
    }

    /// Counts the crash of an executor that was lost with its lease and whose address has a new
    /// executor.
    pub(super) fn on_address_reused(&mut self, info: &ExecutorInfo, now: Now) {
        for (id, watched) in self.crash_watch.take_replaced(&info.id, &info.address) {
            self.on_executor_crashed(&id, watched, now);
        }
    }

    /// Sends the unconfirmed starts on a restarted executor no more: they may have crashed it.
    pub(super) fn withdraw_unconfirmed(&mut self, id: &ExecutorId) {
        if let Some(executor) = self.executors.get_mut(id) {
            let runs = executor.runs.values_mut();
            let unconfirmed = runs.filter(|r| r.stage == RunStage::StartSent);
            unconfirmed.for_each(|r| r.start_attempts = MAX_START_ATTEMPTS);
        }
    }

    /// Clears the suspect tasks whose runs on an executor have been alive for long enough.
    pub(super) fn clear_survivors(&mut self, id: &ExecutorId) {
        self.needs_placement |= self.crash_watch.holds.contains_key(id);
        if !self.crash_watch.has_suspects() {
            return;
        }
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let runs = executor.runs.iter();
        let survived = runs.filter(|(task, run)| {
            self.crash_watch.is_suspect(task)
                && run.stage == RunStage::Confirmed
                && executor.is_cleared(run)
        });
        let survived: Vec<TaskId> = survived.map(|(task, _)| *task).collect();
        for task in survived {
            if self.crash_watch.clear(&task) {
                self.commit_queue
                    .mark_dirty(task.step.job, RecordChange::Progress);
            }
        }
    }

    /// Restores the crashes under tasks of a job; gives up a task that the last owner had not.
    pub(super) fn restore_crashes(&mut self, job: JobId, progress: &JobProgress, now: Now) {
        for crashed in &progress.crashed_tasks {
            let task = TaskId {
                step: StepId {
                    job,
                    occurrence: crashed.occurrence,
                    step: crashed.step,
                },
                index: crashed.index,
            };
            self.crash_watch.restore(task, &crashed.runs);
            let certain: Vec<bool> = crashed.runs.iter().map(|(_, sole)| *sole).collect();
            if policy::judge_crashes(&certain) == CrashVerdict::GiveUp {
                self.give_up_task(&task, now);
            }
        }
    }

    /// Drops the suspicions against tasks that are done or whose job has ended.
    pub(super) fn drop_closed_suspects(&mut self) {
        let mut watch = std::mem::take(&mut self.crash_watch);
        watch.retain(|task| self.is_open_task(task));
        self.crash_watch = watch;
    }

    /// Returns whether a task is not done and its job has not ended.
    fn is_open_task(&self, task: &TaskId) -> bool {
        let open = self.jobs.get(&task.step.job).filter(|j| j.end.is_none());
        let step = open.and_then(|j| j.steps.get(&(task.step.occurrence, task.step.step)));
        step.is_some_and(|s| s.is_open(task.index))
    }

    /// Releases the executors whose suspect tasks are cleared, run elsewhere, or did not start in time.
    pub(super) fn release_holds(&mut self, now: Now) {
        let mut watch = std::mem::take(&mut self.crash_watch);
        let mut holds = std::mem::take(&mut watch.holds);
        holds.retain(|id, hold| {
            let Some(executor) = self.executors.get(id) else {
                return false;
            };
            let mut runs = executor.runs.iter();
            if runs.any(|(t, r)| t.step.job == hold.job && !executor.is_cleared(r)) {
                return true;
            }
            let is_waiting = |t: &TaskId| {
                let step = self.lookup_step(&t.step).map(|(_, _, step)| step);
                step.is_some_and(|s| s.is_startable(t.index, now.mono))
            };
            let mut suspects = watch.suspects_of(hold.job);
            let waits = suspects.any(|t| is_waiting(t) && self.is_open_task(t));
            waits && now.mono < hold.since + MAX_HOLD_MS
        });
        watch.holds = holds;
        self.crash_watch = watch;
    }

    /// Splits waiting tasks of a step into those that are not suspect and those that are.
    pub(super) fn split_suspects(&self, step: StepId, waiting: Vec<u32>) -> (Vec<u32>, Vec<u32>) {
        if !self.crash_watch.has_suspects() {
            return (waiting, Vec::new());
        }
        let is_clear = |index: &u32| {
            let task = TaskId {
                step,
                index: *index,
            };
            !self.crash_watch.is_suspect(&task)
        };
        waiting.into_iter().partition(is_clear)
    }

    /// Lists the suspect tasks of a step that are not done.
    pub(super) fn suspects_of_step(&self, step: &StepId) -> Vec<u32> {
        let suspects = self.crash_watch.suspects_of(step.job);
        let of_step = suspects.filter(|t| t.step == *step && self.is_open_task(t));
        of_step.map(|t| t.index).collect()
    }

    /// Places suspect tasks one by one; returns what blocked any of them.
    pub(super) fn place_suspects(
        &mut self,
        id: StepId,
        spec: &StepSpec,
        suspects: &[u32],
        snapshot: &mut CapacitySnapshot,
        now: Now,
    ) -> Option<BlockReason> {
        let need = spec.allocation();
        let mut blocked = None;
        for index in suspects {
            let task = TaskId {
                step: id,
                index: *index,
            };
            if !self.crash_watch.is_durable(&task) {
                blocked = Some(BlockReason::CrashSuspect);
                continue;
            }
            if !self.within_cap(&id, &need, snapshot) {
                return Some(BlockReason::Cap);
            }
            match self.find_suspect_place(&task, spec, snapshot, now) {
                Ok(executor) => {
                    let number = self.next_run_number(&id, &[*index]);
                    self.start(&executor, id, *index, number, now);
                }
                Err(reason) => blocked = Some(reason),
            }
        }
        blocked
    }

    /// Returns the executor on which a suspect task starts now. Holds one for it if there is none
    /// yet; the task starts there once all other runs are cleared.
    fn find_suspect_place(
        &mut self,
        task: &TaskId,
        spec: &StepSpec,
        snapshot: &mut CapacitySnapshot,
        now: Now,
    ) -> Result<ExecutorId, BlockReason> {
        let pool = self.pool_of(&task.step);
        let holds = self.crash_watch.holds.iter();
        let mut held = holds.filter(|(_, h)| h.job == task.step.job);
        if let Some((name, _)) =
            held.find(|(name, _)| self.can_start_on(task, spec, name, snapshot, now))
        {
            return self.once_quiet(name.clone(), task.step.job);
        }
        if !self.may_hold(&pool, snapshot) {
            return Err(BlockReason::CrashSuspect);
        }
        let (ids, options) = self.placement_options(&task.step, snapshot, now);
        let places: Vec<SuspectPlace> = ids
            .iter()
            .zip(&options)
            .map(|(name, option)| {
                let executor = self.executors.get(name);
                SuspectPlace {
                    is_quiet: self.is_quiet_for(name, task.step.job),
                    runs: executor.map_or(0, |e| e.runs.len()),
                    recently_failed: option.recently_failed,
                }
            })
            .collect();
        let Some(chosen) = policy::choose_suspect_place(&places) else {
            return Err(self.no_capacity_reason(&task.step, snapshot));
        };
        let name = ids[chosen].clone();
        self.hold(&name, task.step.job, &pool, snapshot, now);
        self.once_quiet(name, task.step.job)
    }

    fn once_quiet(&self, name: ExecutorId, job: JobId) -> Result<ExecutorId, BlockReason> {
        if self.is_quiet_for(&name, job) {
            Ok(name)
        } else {
            Err(BlockReason::CrashSuspect)
        }
    }

    /// Returns whether no run on an executor could be the cause of a later crash but those of a job.
    fn is_quiet_for(&self, name: &ExecutorId, job: JobId) -> bool {
        self.executors.get(name).is_some_and(|e| {
            let mut others = e.runs.iter().filter(|(t, _)| t.step.job != job);
            e.unknown_runs.is_empty() && others.all(|(_, r)| e.is_cleared(r))
        })
    }

    /// Returns whether a suspect task can start on the executor that is held for it.
    fn can_start_on(
        &self,
        task: &TaskId,
        spec: &StepSpec,
        name: &ExecutorId,
        snapshot: &CapacitySnapshot,
        now: Now,
    ) -> bool {
        let Some((job, _, step)) = self.lookup_step(&task.step) else {
            return false;
        };
        let rule = self.queue_rule(job);
        let limit = spec.max_per_executor;
        let executor = self.executors.get(name);
        let fits = executor.is_some_and(|e| {
            e.free().covers(&spec.allocation())
                && eligible(&e.info, &rule.pool, spec)
                && (limit == 0 || e.count_step_tasks(&task.step) < limit)
        });
        fits && snapshot.get(&rule.pool, name).is_some()
            && step.advice.is_allowed(rule, name, now.mono)
    }

    /// Returns whether another executor of a pool may be held.
    fn may_hold(&self, pool: &Arc<str>, snapshot: &CapacitySnapshot) -> bool {
        let in_pool = |id: &&ExecutorId| {
            let executor = self.executors.get(*id);
            executor.is_some_and(|e| e.info.pool == *pool)
        };
        let held = self.crash_watch.holds.keys().filter(in_pool).count();
        held < policy::max_held(snapshot.in_pool(pool).len())
    }

    /// Holds an executor for the suspect tasks of a job, or for the gang of one.
    pub(super) fn hold(
        &mut self,
        name: &ExecutorId,
        job: JobId,
        pool: &str,
        snapshot: &mut CapacitySnapshot,
        now: Now,
    ) {
        let hold = Hold {
            job,
            since: now.mono,
        };
        self.crash_watch.holds.insert(name.clone(), hold);
        snapshot.close(pool, name);
    }

    /// Returns whether a gang may start: none of its members is suspect, or the crashes under
    /// them are durable and executors of the pool may be held.
    pub(super) fn may_place_gang(
        &self,
        id: &StepId,
        suspects: &[u32],
        snapshot: &CapacitySnapshot,
    ) -> bool {
        let is_durable = |index: &u32| {
            let task = TaskId {
                step: *id,
                index: *index,
            };
            self.crash_watch.is_durable(&task)
        };
        let pool = self.pool_of(id);
        suspects.is_empty() || (suspects.iter().all(is_durable) && self.may_hold(&pool, snapshot))
    }

    /// Removes the options on executors where another run could be the cause of a crash.
    pub(super) fn keep_quiet_options(
        &self,
        job: JobId,
        (ids, options): (Vec<ExecutorId>, Vec<PlacementOption>),
    ) -> (Vec<ExecutorId>, Vec<PlacementOption>) {
        let pairs = ids.into_iter().zip(options);
        pairs.filter(|(id, _)| self.is_quiet_for(id, job)).unzip()
    }
}
