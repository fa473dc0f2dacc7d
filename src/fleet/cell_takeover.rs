//! Takeover of a new owner: executors of the roster that it has not read, and what waits for them.
//!
//! Called in each tick and round of the cell.

use {
    crate::{
        core::Millis,
        fleet::{
            BlockReason, Cell, Executor, ExecutorId, FleetEvent, Job, JobId, Now, Run, RunStage,
            Session, Step, TaskId,
            cell::{MAX_LOGGED_IDS, list_ids},
            cell_plan::Candidate,
        },
    },
    std::collections::HashSet,
};

/// Interval of log lines of jobs that wait for unread executors, in ms.
pub(super) const WAIT_LOG_INTERVAL_MS: Millis = 1_000;

impl Cell {
    /// Stops waiting for executors on which every lease has expired, those of earlier owners and of
    /// this one: nothing runs there, and ends that were not read bind nobody.
    pub(super) fn give_up_unreachable(&mut self, now: Now) {
        let (executors, grace) = (&self.executors, self.bounds.kill_grace_ms);
        let earlier = &self.earlier_leases;
        let expired = |id: &ExecutorId| {
            let executor = executors.get(id);
            now.mono >= earlier.expired_at(id)
                && executor.is_none_or(|e| e.leases_expired(now.mono, grace))
        };
        let given_up: Vec<ExecutorId> = self.unread.remove_if(expired);
        if !given_up.is_empty() {
            self.log(
                FleetEvent::ExecutorSilent,
                format!(
                    "leases of earlier owners expired; unreachable={} after_ms={}",
                    list_ids(&given_up),
                    now.mono.saturating_sub(self.took_over_at)
                ),
            );
        }
    }

    /// Returns whether an executor of the roster may still reply to the first renewal.
    pub(super) fn is_opening_roster(&self) -> bool {
        self.unread.ids().any(|id| {
            let executor = self.executors.get(id);
            executor.is_some_and(|e| e.session == Session::Opening && e.failed_calls == 0)
        })
    }

    /// Ends the takeover once nothing is left that this owner has not read: gangs of which only some
    /// members were found can't become complete and start anew.
    pub(super) fn end_takeover(&mut self, now: Now) {
        if !self.unread.is_empty() || self.takeover_ended {
            return;
        }
        self.takeover_ended = true;
        let mut jobs = 0;
        for job in self.jobs.values_mut() {
            if job.blocked == Some(BlockReason::Takeover) {
                job.blocked = None;
                jobs += 1;
            }
        }
        let after_ms = now.mono.saturating_sub(self.took_over_at);
        let gangs = self.partial_gangs();
        let detail = format!(
            "after_ms={after_ms} jobs={jobs} partial_gangs={}",
            gangs.len()
        );
        self.log(FleetEvent::TakeoverEnded, detail);
        for member in gangs {
            self.stop_gang(&member, now);
        }
    }

    /// Lists a running member of each gang of an earlier owner of which others neither run nor are done.
    fn partial_gangs(&self) -> Vec<TaskId> {
        let recovered = self
            .jobs
            .values()
            .filter(|j| j.recovered && j.end.is_none());
        let steps = recovered.flat_map(|j| j.steps.iter().map(move |(key, step)| (j, key, step)));
        let member = |(job, key, step): (&Job, &(u32, u16), &Step)| {
            let gang = job.spec(key.1).is_some_and(|s| s.gang) && !step.is_complete();
            let active = step.active_tasks().count();
            let partial = gang && active > 0 && active < step.count as usize;
            let (index, _) = step.active_tasks().next().filter(|_| partial)?;
            Some(TaskId {
                step: job.step_id(*key),
                index,
            })
        };
        steps.filter_map(member).collect()
    }

    /// Clears the reason of jobs that no longer wait, as all their tasks were found.
    pub(super) fn clear_takeover_waits(&mut self, candidates: &[Candidate]) {
        if self.takeover_ended {
            return;
        }
        let waiting: HashSet<JobId> = candidates.iter().map(|c| c.step.job).collect();
        for (id, job) in &mut self.jobs {
            if job.blocked == Some(BlockReason::Takeover) && !waiting.contains(id) {
                job.blocked = None;
            }
        }
    }

    /// Logs which jobs wait for unread executors.
    pub(super) fn log_takeover_wait(&mut self, now: Now) {
        if self.unread.is_empty() || now.mono < self.next_wait_log_at {
            return;
        }
        self.next_wait_log_at = now.mono + WAIT_LOG_INTERVAL_MS;
        let waits = |j: &&Job| j.end.is_none() && j.blocked == Some(BlockReason::Takeover);
        let mut waiting = self.jobs.iter().filter(|(_, j)| waits(j)).map(|(id, _)| id);
        let Some(first) = waiting.next() else { return };
        let jobs = 1 + waiting.count();
        let expires = self
            .unread
            .ids()
            .map(|id| self.earlier_leases.expired_at(id));
        let left_ms = expires.max().unwrap_or(0).saturating_sub(now.mono);
        let unread = list_ids(self.unread.ids());
        let detail = format!("unread={unread} expire_in_ms={left_ms} jobs={jobs} first={first}");
        self.log(FleetEvent::TakeoverWait, detail);
    }

    /// Describes what this owner knows, for the log line of its stop.
    pub fn describe_stop(&self, now: Now) -> String {
        let runs = || self.executors.values().flat_map(|e| e.runs.values());
        let in_doubt = |r: &&Run| matches!(r.stage, RunStage::StartSent | RunStage::StopSent);
        let draining = self.executors.iter().filter(|(_, e)| e.info.draining);
        let draining_count = draining.clone().count();
        let describe = |(id, e): (&ExecutorId, &Executor)| {
            let left_ms = e.exits_at.map(|at| at.saturating_sub(now.mono));
            let left_ms = left_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string());
            format!("{id}/{}/{left_ms}", e.runs.len())
        };
        let draining: Vec<String> = draining.take(MAX_LOGGED_IDS).map(describe).collect();
        format!(
            "executors={} unread={} runs={} unconfirmed={} draining={draining_count}:{}",
            self.executors.len(),
            self.unread.len(),
            runs().count(),
            runs().filter(in_doubt).count(),
            draining.join(",")
        )
    }
}
