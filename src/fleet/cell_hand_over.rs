//! Hand-over of the cell at a planned stop of its owner, and what an owner leaves to the next one about
//! executors on which it grants no lease.
//!
//! An owner that stops as planned starts nothing more, and stops the runs on executors that are about to
//! exit, so that it reads their ends. Then it renews no lease any more and writes one record of what may
//! run on each executor, so that the next owner waits only for runs that it cannot read.

use {
    crate::{
        core::{CallId, Millis},
        fleet::{
            Cell, CellEffect, ExecutorId, FleetEvent, LeaseWaits, Now, Run, StoreWrite, TaskId,
            cell::UNREADABLE_ROSTER, executor::Session, policy,
        },
    },
    std::collections::HashMap,
};

/// Maximum time for these stops, in ms.
const MAX_SETTLE_MS: Millis = 1_000;

/// Time in which the next owner reads the executors, in ms: what exits earlier is stopped by this one.
const TAKEOVER_MS: Millis = 1_500;

/// A hand-over under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct HandOver {
    began_at: Millis,
    /// Runs that were stopped as their executors are about to exit.
    stopped: usize,
    /// The commit of the record. No start and no renewal is sent once it is under way.
    commit: Option<CallId>,
}

impl Cell {
    /// Begins to hand over to the next owner.
    pub(super) fn begin_hand_over(&mut self, now: Now) {
        if self.hand_over.is_some() {
            return;
        }
        let lead_ms = TAKEOVER_MS + policy::exit_lead_ms(self.bounds.kill_grace_ms);
        let stopped = self.stop_exiting_within(lead_ms, now);
        self.hand_over = Some(HandOver {
            began_at: now.mono,
            stopped,
            commit: None,
        });
    }

    /// Brings a hand-over on: renews until the stops have ended, then writes the record.
    pub(super) fn plan_hand_over(&mut self, now: Now) {
        let Some(hand_over) = self.hand_over else {
            return;
        };
        if hand_over.commit.is_some() {
            return;
        }
        let overdue = now.mono >= hand_over.began_at + MAX_SETTLE_MS;
        if !overdue && self.is_stopping_departing() {
            self.send_commits(now);
            self.send_renewals(now);
            return;
        }
        let waits = self.hand_over_record(now);
        let unknown = waits.possible_runs.iter().filter(|r| r.is_none()).count();
        let runs: usize = waits.possible_runs.iter().flatten().map(Vec::len).sum();
        let detail = format!(
            "handed over: executors={} unknown={unknown} runs={runs} stopped={} max_bytes={} \
             after_ms={}",
            waits.waited.len(),
            hand_over.stopped,
            waits.max_bytes(),
            now.mono.saturating_sub(hand_over.began_at)
        );
        self.log(FleetEvent::OwnerStopping, detail);
        let call = self.next_call();
        self.hand_over = Some(HandOver {
            commit: Some(call),
            ..hand_over
        });
        let writes = vec![StoreWrite::LeaseWaits(waits)];
        self.effects.push(CellEffect::Commit { call, writes });
    }

    /// Ends the hand-over once the outcome of its commit is known: this owner stops either way.
    pub(super) fn on_hand_over_written(&mut self, call: CallId, ok: bool, now: Now) {
        let Some(hand_over) = self.hand_over.filter(|h| h.commit == Some(call)) else {
            return;
        };
        if !ok {
            let after_ms = now.mono.saturating_sub(hand_over.began_at);
            let detail = format!("hand-over not confirmed; after_ms={after_ms}");
            self.log(FleetEvent::CommitFailed, detail);
        }
        self.effects.push(CellEffect::HandedOver);
    }

    /// Returns the record of all executors, on which this owner grants no lease from now on.
    fn hand_over_record(&mut self, now: Now) -> LeaseWaits {
        for (id, executor) in &self.executors {
            self.earlier_leases
                .add_silent(id, executor.last_grant_at, now.mono);
        }
        // The roster in the store may still name executors that were removed here.
        for id in self.roster.keys().chain(self.roster_sent.keys()) {
            self.earlier_leases.add_silent(id, now.mono, now.mono);
        }
        self.lease_waits(now)
    }

    /// Returns what the next owner may conclude of the executors on which this one grants no lease.
    pub(super) fn lease_waits(&mut self, now: Now) -> LeaseWaits {
        let mut earlier = std::mem::take(&mut self.earlier_leases);
        let mut waits = earlier.write(self.token, |id| self.possible_runs(id), now.mono);
        self.earlier_leases = earlier;
        while waits.max_bytes() > self.bounds.max_value_bytes {
            let runs = waits.possible_runs.iter_mut();
            let longest = runs.max_by_key(|r| r.as_ref().map_or(0, Vec::len));
            match longest {
                Some(longest) if longest.is_some() => *longest = None,
                _ => break,
            }
        }
        waits
    }

    /// Lists the tasks that may run on an executor, or whose ends there are not durable; `None` if they are
    /// not known.
    fn possible_runs(&self, id: &ExecutorId) -> Option<Vec<TaskId>> {
        if self.unread.contains(id) {
            return self.unread.tasks_on(id).map(<[TaskId]>::to_vec);
        }
        let Some(executor) = self.executors.get(id) else {
            return Some(Vec::new());
        };
        if executor.session == Session::Opening && self.unread.contains(UNREADABLE_ROSTER) {
            return None;
        }
        executor.possible_runs(|job| self.commit_queue.is_durable(job))
    }

    /// Returns whether runs are being stopped on executors that drain.
    fn is_stopping_departing(&self) -> bool {
        let departing = self.executors.values().filter(|e| e.is_departing());
        let mut runs = departing.flat_map(|e| e.runs.values());
        runs.any(Run::is_stopping)
    }
}

/// Returns the tasks that may run on each executor for which an earlier owner knew them.
pub(super) fn possible_runs_by_id(waits: &LeaseWaits) -> HashMap<ExecutorId, Vec<TaskId>> {
    let named = waits.waited.iter().zip(&waits.possible_runs);
    let known = named.filter_map(|((id, _), tasks)| Some((id.clone(), tasks.clone()?)));
    known.collect()
}
