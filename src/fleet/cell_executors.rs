//! Executors of the cell: the platform's list, sessions, and the renewal of leases.
//!
//! A renewal reply carries the executor's lists of running and ended runs, which this module
//! reconciles with the runs tracked here. A run counts as lost only when its lease has certainly
//! expired, its executor no longer lists it, or its incarnation has ended.

use {
    crate::{
        core::{CallId, Millis, Resources},
        fleet::{
            Cell, CellEffect, CommandError, CommandReply, Executor, ExecutorCommand, ExecutorId,
            ExecutorInfo, FleetEvent, JobId, Now, RenewCommand, RenewReply, RosterEntry, Run,
            RunLoss, RunStage, RunningRow, Session, TaskId,
            cell::UNREADABLE_ROSTER,
            cell_departures::exit_time,
            executor::ClockReading,
            policy::{self, FollowedProgress},
        },
    },
    std::{collections::HashSet, sync::Arc},
};

/// Maximum time that a renewal waits for an end on an executor without runs that finish, in ms; the
/// platform allows 2,000.
const MAX_RENEW_WAIT_MS: Millis = 1_000;

/// The same where runs finish, in ms: a lost reply hides their ends until the call times out.
const MAX_RENEW_WAIT_RUNNING_MS: Millis = 200;

/// The same where best-effort runs share an executor with a serving task, whose tail latency
/// must be checked more often, in ms.
const MAX_RENEW_WAIT_THROTTLED_MS: Millis = 400;

/// Interval of attempts to reach an executor that does not reply, in ms; the first follows at once.
const RENEW_RETRY_INTERVAL_MS: Millis = 300;

/// Number of ended runs at which the platform cuts the list of a renewal reply.
const MAX_ENDED_ROWS: usize = 500;

/// Consecutive failed calls after which an executor counts as silent.
const SILENT_FAILED_CALLS: u32 = 2;

/// Grace period for entries that expired in an outage of the store to be listed again, in ms;
/// the platform says about two seconds.
const RELIST_GRACE_MS: Millis = 2_000;

impl Cell {
    /// Adds an executor of an earlier owner; its capacity is 0 until the platform lists it.
    pub(super) fn add_from_roster(&mut self, entry: &RosterEntry, now: Now) {
        let info = ExecutorInfo {
            id: entry.id.clone(),
            pool: entry.pool.clone(),
            address: entry.address.clone(),
            zone: Arc::from(""),
            labels: Vec::new(),
            capacity: Resources::default(),
            draining: false,
            min_remaining_ms: None,
            started_unix_ms: None,
        };
        let mut executor = Executor::new(info, false, now.mono);
        executor.max_capacity = entry.max_capacity;
        self.executors.insert(entry.id.clone(), executor);
    }

    /// Adds or updates an executor that the platform lists; its entry was written after `written_after`.
    pub(super) fn on_listed(&mut self, info: ExecutorInfo, written_after: Millis, now: Now) {
        let id = info.id.clone();
        self.on_drain_state(&info, written_after, now);
        if let Some(known) = self.executors.get_mut(&id) {
            if matches!((known.started_unix_ms, info.started_unix_ms), (Some(a), Some(b)) if a < b)
            {
                // Renews at once: the reply lists what the new incarnation runs.
                known.next_renewal_at = now.mono;
            }
            if known.info.address != info.address {
                known.address_since = now.mono;
                self.commit_queue.roster.dirty = true;
            }
            if !known.max_capacity.covers(&info.capacity) {
                known.max_capacity.max_assign(&info.capacity);
                self.commit_queue.roster.dirty = true;
            }
            known.listed = true;
            known.missing_since = None;
            known.info = Arc::new(info);
            self.review_retirement(&id);
            return;
        }
        let exits_at = exit_time(None, &info, written_after, now);
        self.on_address_reused(&info, now);
        let mut executor = Executor::new(info, true, now.mono);
        executor.exits_at = exits_at;
        // No roster that the store may hold names it, so no owner has used it.
        executor.retired = executor.info.draining && !self.unread.contains(UNREADABLE_ROSTER);
        self.commit_queue.roster.dirty |= !executor.retired;
        executor.incarnations = self.removed_incarnations.remove(&id).unwrap_or(0);
        self.executors.insert(id, executor);
    }

    /// Handles the removal of an executor from the platform's list; its lease may still run.
    pub(super) fn on_unlisted(&mut self, id: &ExecutorId) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.listed = false;
        }
    }

    /// Handles the whole list. The entry of an executor that is responsive but not listed may
    /// have expired in an outage of the store: it counts as listed for [`RELIST_GRACE_MS`].
    pub(super) fn on_relisted(
        &mut self,
        infos: Vec<ExecutorInfo>,
        written_after: Millis,
        now: Now,
    ) {
        let listed_ids: HashSet<ExecutorId> = infos.iter().map(|i| i.id.clone()).collect();
        for info in infos {
            self.on_listed(info, written_after, now);
        }
        for (id, executor) in &mut self.executors {
            if !listed_ids.contains(id) {
                executor.missing_since.get_or_insert(now.mono);
            }
        }
        self.unlist_missing(now);
    }

    /// Marks executors as not listed that a whole list did not name and that are silent or past
    /// the grace period.
    pub(super) fn unlist_missing(&mut self, now: Now) {
        for executor in self.executors.values_mut() {
            let overdue = |since: Millis| now.mono >= since + RELIST_GRACE_MS;
            let silent = !executor.is_responsive();
            if executor.missing_since.is_some_and(|s| silent || overdue(s)) {
                executor.listed = false;
            }
        }
    }

    /// Drops the state of an incarnation that has certainly ended. Runs for which `has_ended` is
    /// true are lost, and their tasks may start elsewhere.
    fn on_restart(&mut self, id: &ExecutorId, has_ended: impl Fn(&TaskId, &Run) -> bool, now: Now) {
        let mut watched = self.watched_runs(id);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let runs = executor.start_incarnation(has_ended);
        for w in &mut watched {
            w.confirmed &= runs.iter().any(|(task, _)| *task == w.task);
        }
        self.log(
            FleetEvent::ExecutorRestarted,
            format!("executor={id} lost_runs={}", runs.len()),
        );
        for (task, run) in runs {
            self.on_run_lost(id, task, &run, RunLoss::IncarnationEnded, now);
        }
        for job in self.jobs.values_mut() {
            for step in job.steps.values_mut() {
                step.advice.advised.remove(id);
                step.advice.rejected.remove(id);
            }
        }
        self.unread.remove(id);
        self.withdraw_unconfirmed(id);
        self.on_executor_crashed(id, watched, now);
    }

    /// Handles the result of any command; requests a round if it may let a task start.
    pub(super) fn on_command_result(
        &mut self,
        call: CallId,
        id: &ExecutorId,
        result: Result<CommandReply, CommandError>,
        now: Now,
    ) {
        let may_free_capacity = match &result {
            Ok(CommandReply::Renewed(reply)) => !reply.ended.is_empty(),
            Ok(CommandReply::Accepted) => false,
            Err(_) => true,
        };
        let before = (self.placement_state(id), self.unread.len());
        self.apply_command_result(call, id, result, now);
        let after = (self.placement_state(id), self.unread.len());
        self.needs_placement |= may_free_capacity || before != after;
    }

    /// Returns the values whose change may let a task start on an executor.
    fn placement_state(&self, id: &ExecutorId) -> Option<(bool, usize, usize, Resources)> {
        let e = self.executors.get(id)?;
        Some((
            e.is_responsive(),
            e.runs.len(),
            e.unknown_runs.len(),
            e.used,
        ))
    }

    fn apply_command_result(
        &mut self,
        call: CallId,
        id: &ExecutorId,
        result: Result<CommandReply, CommandError>,
        now: Now,
    ) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        match result {
            Err(CommandError::Fenced)
                if executor.pending_renewal.is_some_and(|(c, _)| c == call) =>
            {
                self.effects.push(CellEffect::StepDown);
                return;
            }
            // May be a command to the previous incarnation, which carried a lower token. The next
            // renewal shows whether there is a newer owner.
            Err(CommandError::Fenced) => executor.next_renewal_at = now.mono,
            // A command to the previous address says nothing of the executor.
            Err(CommandError::OtherLife) if executor.sent_to_current_address(call) => {
                self.on_other_incarnation(id, now);
                return;
            }
            _ => {}
        }
        let renewal = executor.pending_renewal.filter(|(c, _)| *c == call);
        if let Some((_, sent)) = renewal {
            executor.pending_renewal = None;
            match result {
                Ok(CommandReply::Renewed(reply)) => self.on_renewed(id, sent, &reply, now),
                Ok(CommandReply::Accepted) => {}
                Err(_) => self.on_renewal_failed(id, now),
            }
            return;
        }
        self.on_run_command_result(call, id, result.map(|_| ()), now);
    }

    /// Handles the reply of another incarnation at the address: the known one has ended. The
    /// executor counts as not listed until the platform lists it again.
    fn on_other_incarnation(&mut self, id: &ExecutorId, now: Now) {
        self.on_restart(id, |_, _| true, now);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.session = Session::Opening;
        executor.pending_renewal = None;
        executor.listed = false;
        executor.failed_calls += 1;
        executor.next_renewal_at = now.mono + RENEW_RETRY_INTERVAL_MS;
    }

    fn on_renewal_failed(&mut self, id: &ExecutorId, now: Now) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.failed_calls += 1;
        let retry_ms = if executor.failed_calls == 1 {
            0
        } else {
            RENEW_RETRY_INTERVAL_MS
        };
        executor.next_renewal_at = now.mono + retry_ms;
        if executor.failed_calls == SILENT_FAILED_CALLS && executor.session == Session::Open {
            executor.session = Session::Silent;
            let runs = executor.runs.len();
            self.earlier_leases
                .add_silent(id, executor.last_grant_at, now.mono);
            self.log(
                FleetEvent::ExecutorSilent,
                format!("executor={id} runs={runs}"),
            );
        }
    }

    /// Reconciles the tracked runs with the lists of a renewal reply. `sent` is when the renewal
    /// was sent: the lists say nothing of what changed since then.
    fn on_renewed(&mut self, id: &ExecutorId, sent: Millis, reply: &RenewReply, now: Now) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let restarted = matches!((executor.started_unix_ms, reply.started_unix_ms), (Some(a), Some(b)) if a != b);
        if restarted {
            self.on_restart(
                id,
                |task, run| run.stage_since < sent && ended_with_incarnation(task, run, reply),
                now,
            );
        }
        self.settle_lapsed(id, reply.started_unix_ms, now);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let complete = reply.ended.len() + reply.skipped_ends.len() < MAX_ENDED_ROWS;
        executor.has_unread_ends = !complete;
        executor.started_unix_ms = reply.started_unix_ms.or(executor.started_unix_ms);
        executor.failed_calls = 0;
        if executor.pending_wait_ms == 0 {
            executor.reply_ms = now.mono.saturating_sub(sent);
        }
        executor.alive_at = sent.max(now.mono.saturating_sub(2 * executor.reply_ms));
        executor.clock = Some(ClockReading {
            clock_ms: reply.clock_ms,
            at: now.mono,
        });
        if restarted || executor.session != Session::Open {
            // An earlier owner may have renewed up to here, but not once this renewal has fenced it.
            let lease_end_ms = reply.clock_ms + self.bounds.max_lease_ms;
            executor.max_lease_end_ms = executor.max_lease_end_ms.max(lease_end_ms);
        }
        if executor.session != Session::Open {
            executor.session = Session::Open;
            executor.last_grant_at = now.mono;
            self.earlier_leases.remove(id);
            self.log(
                FleetEvent::ExecutorOpened,
                format!("executor={id} running={}", reply.running.len()),
            );
        }
        for row in &reply.ended {
            self.process_ended_row(id, row, now);
        }
        self.log_ended();
        self.skip_rows(id, reply);
        for row in &reply.running {
            self.process_running_row(id, row, sent, now);
        }
        // A run that is in neither list may have ended beyond the cut.
        if complete {
            self.drop_missing_runs(id, sent, &reply.running, now);
        }
        self.drop_unknown_runs(id, &reply.running);
        if complete {
            self.unread.remove(id);
        }
        self.stop_stuck_runs(id, now);
        let unacked_interval_ms = policy::unacked_interval_ms(self.next_short_end_ms(id, now));
        if let Some(executor) = self.executors.get_mut(id) {
            executor.next_renewal_at = if executor.unacked.is_empty() {
                now.mono
            } else {
                now.mono + unacked_interval_ms
            };
        }
        self.review_retirement(id);
        self.adjust_throttle(id);
        self.clear_survivors(id);
    }

    /// Passes over the rows of a reply that were not understood, so that their ends are acknowledged.
    fn skip_rows(&mut self, id: &ExecutorId, reply: &RenewReply) {
        if let Some(executor) = self.executors.get_mut(id) {
            let last = reply.skipped_ends.iter().copied().max().unwrap_or(0);
            executor.last_end_seq = executor.last_end_seq.max(last);
        }
        if reply.skipped.count > 0 {
            self.log(
                FleetEvent::BadEntry,
                format!("executor={id} {}", reply.skipped),
            );
        }
    }

    /// Estimates the time until the first short run on an executor ends, in ms; none if there is none.
    fn next_short_end_ms(&self, id: &ExecutorId, now: Now) -> Option<Millis> {
        let remaining_ms = |(task, run): (&TaskId, &Run)| {
            let spec = self.step_spec(task)?;
            if spec.persistent || !policy::is_short_run(spec.estimate_ms) {
                return None;
            }
            self.remaining_run_ms(task, run, now)
        };
        let runs = self.executors.get(id)?.runs.iter();
        runs.filter_map(remaining_ms).min()
    }

    fn process_running_row(&mut self, id: &ExecutorId, row: &RunningRow, sent: Millis, now: Now) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(run) = executor.runs.get_mut(&row.task) else {
            self.process_unexpected_row(id, row, now);
            return;
        };
        if run.number != row.run {
            return;
        }
        let confirmed = run.stage == RunStage::StartSent;
        if confirmed {
            run.stage = RunStage::Confirmed;
            run.stage_since = now.mono;
        }
        let first = FollowedProgress::new(now.mono, row.percent);
        let progress = run.progress.get_or_insert(first);
        if progress.percent != row.percent {
            progress.percent = row.percent;
            run.progressed_at = now.mono;
        }
        let (measured_at, measured_percent) = run.measured;
        let elapsed_ms = now.mono.saturating_sub(measured_at);
        if elapsed_ms >= policy::MIN_PROGRESS_MS {
            run.measured = (now.mono, row.percent);
            let percent = row.percent.saturating_sub(measured_percent);
            executor
                .run_time
                .record_progress(elapsed_ms, percent, run.measured_estimate_ms);
        }
        run.load = row.load;
        let resend_stop = run.stage == RunStage::StopAccepted && run.stage_since < sent;
        if confirmed {
            self.mark_started(row.task.step.job);
        }
        self.record_checkpoint(row.task, &row.checkpoint);
        if resend_stop {
            self.stop_run(id, row.task, now);
        }
    }

    /// Handles a run that is not tracked: adopts it if its job is known, stops it if it must not
    /// continue, and reads the job if it is unknown.
    fn process_unexpected_row(&mut self, id: &ExecutorId, row: &RunningRow, now: Now) {
        let known = self.jobs.contains_key(&row.task.step.job);
        let ended = self.ended_jobs.contains_key(&row.task.step.job);
        if known && self.adopt_run(id, row.task, row.run, now) {
            self.record_checkpoint(row.task, &row.checkpoint);
            return;
        }
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.unknown_runs.insert(row.task, row.run);
        if self.is_future(&row.task) {
            return;
        }
        if ended || known {
            self.send_stop(id, row.task, row.run);
        } else {
            self.read_unknown_job(row.task.step.job);
        }
    }

    /// Drops runs that the executor had confirmed before `sent` and that are in neither list.
    fn drop_missing_runs(&mut self, id: &ExecutorId, sent: Millis, rows: &[RunningRow], now: Now) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let missing = |(task, run): (&TaskId, &Run)| {
            let listed = rows.iter().any(|r| r.task == *task && r.run == run.number);
            let acknowledged = run.stage != RunStage::StartSent && run.stage != RunStage::StopSent;
            (acknowledged && run.stage_since < sent && !listed).then_some(*task)
        };
        let missing: Vec<TaskId> = executor.runs.iter().filter_map(missing).collect();
        for task in missing {
            let Some(executor) = self.executors.get_mut(id) else {
                return;
            };
            if let Some(run) = executor.remove_run(&task) {
                self.on_run_lost(id, task, &run, RunLoss::NotListed, now);
            }
        }
    }

    fn drop_unknown_runs(&mut self, id: &ExecutorId, rows: &[RunningRow]) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor
                .unknown_runs
                .retain(|task, _| rows.iter().any(|r| r.task == *task));
        }
    }

    /// Adopts the runs of a job that arrived after an executor had listed them.
    pub(super) fn adopt_unknown_runs(&mut self, job: JobId, now: Now) {
        let found: Vec<_> = self
            .executors
            .iter()
            .flat_map(|(id, e)| {
                let of_job = e.unknown_runs.iter().filter(|(t, _)| t.step.job == job);
                of_job.map(|(t, run)| (id.clone(), *t, *run))
            })
            .collect();
        for (id, task, run) in found {
            if self.adopt_run(&id, task, run, now)
                && let Some(executor) = self.executors.get_mut(&id)
            {
                executor.unknown_runs.remove(&task);
            }
        }
    }

    /// Sends the renewals that are due, first to the executors that exit first; an executor has at most
    /// one in flight.
    pub(super) fn send_renewals(&mut self, now: Now) {
        let due = |(id, e): (&ExecutorId, &Executor)| {
            let due = e.pending_renewal.is_none() && e.next_renewal_at <= now.mono;
            due.then(|| (e.exits_at.unwrap_or(Millis::MAX), id.clone()))
        };
        let mut due: Vec<_> = self.executors.iter().filter_map(due).collect();
        due.sort();
        for (_, id) in due {
            self.send_renewal(&id, now);
        }
    }

    fn send_renewal(&mut self, id: &ExecutorId, now: Now) {
        let call = self.next_call();
        let lease_ms = self.bounds.max_lease_ms;
        let token = self.command_token(id);
        let in_roster = self
            .executors
            .get(id)
            .is_some_and(|e| self.in_roster(&e.info));
        let ack_cursor = self.advance_ack_cursor(id);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let responsive = executor.is_responsive();
        // After a lost reply the executor may have gone; a grant would only extend the wait for it.
        let deadline_ms = if in_roster && responsive {
            executor.estimate_clock(now.mono).map(|c| c + lease_ms)
        } else {
            None
        };
        let wait_ms = match () {
            () if !responsive || !executor.unacked.is_empty() => 0,
            () if executor.has_finishing_runs() => MAX_RENEW_WAIT_RUNNING_MS,
            () if executor.needs_throttle() => MAX_RENEW_WAIT_THROTTLED_MS,
            () => MAX_RENEW_WAIT_MS,
        };
        if let Some(deadline_ms) = deadline_ms {
            executor.max_lease_end_ms = executor.max_lease_end_ms.max(deadline_ms);
            executor.last_grant_at = now.mono;
        }
        executor.pending_renewal = Some((call, now.mono));
        executor.pending_wait_ms = wait_ms;
        let command = RenewCommand {
            token,
            deadline_ms,
            ack_cursor,
            wait_ms,
        };
        let address = executor.info.address.clone();
        let new_connection = executor.failed_calls > 0;
        let margin_ms = executor.renew_margin_ms();
        self.effects.push(CellEffect::Command {
            call,
            executor: id.clone(),
            address,
            command: ExecutorCommand::Renew(command),
            timeout_ms: wait_ms + margin_ms,
            new_connection,
        });
    }

    /// Drops ends that are durable from the unacknowledged ones; returns the sequence number up
    /// to which the executor can forget its ends.
    fn advance_ack_cursor(&mut self, id: &ExecutorId) -> u64 {
        let commits = &self.commit_queue;
        let Some(executor) = self.executors.get_mut(id) else {
            return 0;
        };
        // A new incarnation at the same address would apply the old number to its own ends,
        // which count from 1 again.
        if !executor.is_responsive() {
            return 0;
        }
        while executor.can_acknowledge_next(|job| commits.is_durable(job)) == Some(true) {
            executor.unacked.pop_first();
        }
        match executor.unacked.first_key_value() {
            Some((number, _)) => number - 1,
            None => executor.last_end_seq,
        }
    }

    /// Renews at once, to acknowledge ends, where the first of them has become durable.
    pub(super) fn renew_after_commit(&mut self, now: Now) {
        let commits = &self.commit_queue;
        for executor in self.executors.values_mut() {
            if executor.can_acknowledge_next(|job| commits.is_durable(job)) == Some(true) {
                executor.next_renewal_at = executor.next_renewal_at.min(now.mono);
            }
        }
    }

    /// Drops runs whose lease has certainly expired, and unlisted executors on which nothing is left
    /// that the next owner must read: no run, and no end that is not durable.
    pub(super) fn expire_leases(&mut self, now: Now) {
        let grace = self.bounds.kill_grace_ms;
        let mut expired = Vec::new();
        let mut removable = Vec::new();
        for (id, executor) in &mut self.executors {
            if executor.failed_calls > 0
                && executor.may_run_tasks()
                && executor.leases_expired(now.mono, grace)
            {
                expired.push(id.clone());
            }
            // Ends that were not acknowledged before a lease expired bind nobody.
            let lapsed = executor.leases_expired(now.mono, grace);
            let commits = &self.commit_queue;
            let ends_closed = executor.has_no_open_ends(|job| commits.is_durable(job));
            let settled =
                !executor.may_run_tasks() && (lapsed || ends_closed) && !self.unread.contains(id);
            if !executor.listed && executor.failed_calls > 0 && settled {
                removable.push(id.clone());
            }
        }
        for id in expired {
            self.drop_expired_runs(&id, now);
        }
        for id in removable {
            if let Some(executor) = self.executors.remove(&id) {
                self.earlier_leases.remove(&id);
                let unacked = executor.unacked.len();
                let detail = format!("executor={id} unacked={unacked}");
                self.log(FleetEvent::ExecutorRemoved, detail);
                if executor.incarnations > 0 {
                    let restarts = executor.incarnations;
                    self.removed_incarnations.insert(id, restarts);
                }
                self.commit_queue.roster.dirty |= !executor.retired;
            }
        }
    }

    /// Drops all runs of an executor whose leases have expired.
    fn drop_expired_runs(&mut self, id: &ExecutorId, now: Now) {
        self.watch_lapsed(id, now);
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        executor.session = Session::Silent;
        executor.unknown_runs.clear();
        let tasks: Vec<TaskId> = executor.runs.keys().copied().collect();
        self.log(
            FleetEvent::ExecutorSilent,
            format!("executor={id} lease expired; lost_runs={}", tasks.len()),
        );
        for task in tasks {
            let Some(executor) = self.executors.get_mut(id) else {
                return;
            };
            if let Some(run) = executor.remove_run(&task) {
                self.on_run_lost(id, task, &run, RunLoss::LeaseExpired, now);
            }
        }
    }
}

/// Returns whether a run is certainly not on the new incarnation that sent these lists: the
/// previous one confirmed it, and the new one lists it neither as running nor as ended.
fn ended_with_incarnation(task: &TaskId, run: &Run, reply: &RenewReply) -> bool {
    let same = |t: &TaskId, number| t == task && number == run.number;
    let listed = reply.running.iter().any(|r| same(&r.task, r.run))
        || reply.ended.iter().any(|r| same(&r.task, r.run));
    let acknowledged = matches!(run.stage, RunStage::Confirmed | RunStage::StopAccepted);
    acknowledged && !listed
}
