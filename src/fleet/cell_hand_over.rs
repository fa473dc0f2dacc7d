//! Hand-over of the cell at a planned stop of its owner, and what an owner leaves to the next one about
//! executors on which it grants no lease.
//!
//! An owner that stops as planned first stops the runs on executors that are about to exit, so that it
//! reads their ends. Then it starts nothing and renews no lease any more, and writes one record of what
//! may run on each executor, so that the next owner waits only for runs that it cannot read.

use crate::{
    core::{CallId, Millis},
    fleet::{
        Cell, CellEffect, ExecutorId, FleetEvent, LeaseWaits, Now, Run, StoreWrite, TaskId,
        cell::UNREADABLE_ROSTER, executor::Session, policy,
    },
};

/// Maximum time for the stops on executors about to exit, and for attempts to write the record, in ms.
const MAX_SETTLE_MS: Millis = 700;

/// Time in which the next owner reads the executors, in ms: what exits earlier is stopped by this one.
const TAKEOVER_MS: Millis = 1_500;

/// Time between attempts to write the record, in ms.
const RETRY_MS: Millis = 200;

/// A hand-over under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct HandOver {
    began_at: Millis,
    /// Whether the record was written, successfully or not: no start and no renewal is sent any more.
    recorded: bool,
    /// The commit of the record, while it is under way.
    commit: Option<CallId>,
    /// Earliest next attempt to write it, in ms on the owner's monotonic clock.
    not_before: Millis,
}

impl Cell {
    /// Begins to hand over to the next owner.
    pub(super) fn begin_hand_over(&mut self, now: Now) {
        self.hand_over.get_or_insert(HandOver {
            began_at: now.mono,
            recorded: false,
            commit: None,
            not_before: now.mono,
        });
    }

    /// Returns whether no start and no renewal may be sent any more.
    pub(super) fn has_recorded_hand_over(&self) -> bool {
        self.hand_over.is_some_and(|h| h.recorded)
    }

    /// Brings a hand-over on, if one has begun: stops what is about to be lost, then writes the record.
    /// Returns whether the cell must plan nothing else.
    pub(super) fn plan_hand_over(&mut self, now: Now) -> bool {
        let Some(hand_over) = self.hand_over else {
            return false;
        };
        if !hand_over.recorded {
            let lead_ms = TAKEOVER_MS + policy::exit_lead_ms(self.bounds.kill_grace_ms);
            self.stop_exiting_within(lead_ms, now);
            let overdue = now.mono >= hand_over.began_at + MAX_SETTLE_MS;
            let settled =
                !self.commit_queue.waits.is_in_flight() && !self.awaits_exit(lead_ms, now);
            if !settled && !overdue {
                return false;
            }
        }
        if hand_over.commit.is_none() && hand_over.not_before <= now.mono {
            self.write_hand_over(hand_over, now);
        }
        true
    }

    fn write_hand_over(&mut self, hand_over: HandOver, now: Now) {
        let waits = self.hand_over_record(now);
        let unknown = waits.possible_runs.iter().filter(|r| r.is_none()).count();
        let runs: usize = waits.possible_runs.iter().flatten().map(Vec::len).sum();
        let detail = format!(
            "handed over: executors={} unknown={unknown} runs={runs} max_bytes={} after_ms={}",
            waits.waited.len(),
            waits.max_bytes(),
            now.mono.saturating_sub(hand_over.began_at)
        );
        self.log(FleetEvent::OwnerStopping, detail);
        let call = self.next_call();
        self.hand_over = Some(HandOver {
            recorded: true,
            commit: Some(call),
            ..hand_over
        });
        let writes = vec![StoreWrite::LeaseWaits(waits)];
        self.effects.push(CellEffect::Commit { call, writes });
    }

    /// Ends the hand-over once its record is durable or cannot be written in time.
    pub(super) fn on_hand_over_written(&mut self, call: CallId, ok: bool, now: Now) {
        let Some(hand_over) = self.hand_over.filter(|h| h.commit == Some(call)) else {
            return;
        };
        let after_ms = now.mono.saturating_sub(hand_over.began_at);
        if !ok {
            let detail = format!("hand-over not confirmed; after_ms={after_ms}");
            self.log(FleetEvent::CommitFailed, detail);
        }
        if ok || after_ms >= MAX_SETTLE_MS {
            self.effects.push(CellEffect::HandedOver);
        } else {
            self.hand_over = Some(HandOver {
                commit: None,
                not_before: now.mono + RETRY_MS,
                ..hand_over
            });
        }
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
        waits.leaving = self.leaving_runs();
        while waits.max_bytes() > self.bounds.max_value_bytes {
            let runs = waits.possible_runs.iter_mut();
            let longest = runs.max_by_key(|r| r.as_ref().map_or(0, Vec::len));
            match longest {
                Some(longest) if longest.is_some() => *longest = None,
                _ if waits.leaving.pop().is_none() => break,
                _ => {}
            }
        }
        let leaving = waits.leaving.iter().map(|(id, _)| id.clone());
        self.leaving.on_sent(leaving.collect());
        waits
    }

    /// Has the record written if it does not name the executors that drain, or names others.
    pub(super) fn review_leaving(&mut self) {
        let leaving = self.leaving_runs().into_iter().map(|(id, _)| id);
        self.commit_queue.waits.dirty |= self.leaving.needs_write(&leaving.collect());
    }

    /// Lists the executors that drain and on which leases go on, with the tasks that may run there;
    /// without those of which they are not known.
    fn leaving_runs(&self) -> Vec<(ExecutorId, Vec<TaskId>)> {
        let draining = self.executors.iter();
        let draining = draining.filter(|(id, e)| {
            e.info.draining && !e.retired && !self.earlier_leases.is_unreachable(id)
        });
        let runs = draining.filter_map(|(id, _)| Some((id.clone(), self.possible_runs(id)?)));
        runs.collect()
    }

    /// Lists the tasks that may run on an executor, or whose ends there are not durable; `None` if they are
    /// not known.
    fn possible_runs(&self, id: &ExecutorId) -> Option<Vec<TaskId>> {
        let Some(executor) = self.executors.get(id) else {
            return Some(Vec::new());
        };
        if executor.session == Session::Opening {
            if let Some(tasks) = self.unread.tasks_on(id) {
                return Some(tasks.to_vec());
            }
            if self.unread.contains(id) || self.unread.contains(UNREADABLE_ROSTER) {
                return None;
            }
        }
        executor.possible_runs(|job| self.commit_queue.is_durable(job))
    }

    /// Returns whether runs are being stopped, or ends are not acknowledged, on executors that may exit
    /// within `lead_ms`.
    fn awaits_exit(&self, lead_ms: Millis, now: Now) -> bool {
        let mut exiting = self
            .executors
            .values()
            .filter(|e| e.may_exit_within(lead_ms, now.mono));
        exiting.any(|e| !e.unacked.is_empty() || e.runs.values().any(Run::is_stopping))
    }
}
