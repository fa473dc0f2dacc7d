//! Jobs whose records must be written, batched into one commit at a time.
//!
//! Used by the cell: it marks jobs, sends each batch as one commit, and asks whether a job is
//! durable. Nothing here writes to the store or knows what a record holds.

use {
    crate::{
        core::{CallId, Millis},
        fleet::JobId,
    },
    std::collections::BTreeSet,
};

/// Maximum changes in one commit: the platform takes 32 entries, and two of them are the guard
/// on the epoch record.
const MAX_COMMIT_ENTRIES: usize = 30;

/// Interval between commits, in ms. Each call to the store has a price, so ends that arrive
/// together share a write; the tightest objective leaves 250 ms beside the work.
const COMMIT_INTERVAL_MS: Millis = 50;

/// Backoff after a failed commit, in ms.
const COMMIT_RETRY_MS: Millis = 200;

/// State of a record that is written whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct SingleWrite {
    /// Whether it must be written.
    pub dirty: bool,
    /// Whether the commit under way writes it.
    pub in_flight: bool,
}

/// Queue of records to write; at most one commit is under way.
#[derive(Debug, Default)]
pub struct CommitQueue {
    /// Jobs whose records differ from those in the store.
    dirty: BTreeSet<JobId>,
    /// Jobs of the commit under way; one that changes meanwhile is also dirty again.
    in_flight: Vec<JobId>,
    /// The commit under way.
    pending_call: Option<CallId>,
    /// Earliest next commit, in ms on the owner's monotonic clock.
    next_commit_at: Millis,
    pub roster: SingleWrite,
    /// Waits for the leases of earlier owners.
    pub waits: SingleWrite,
}

/// What a commit that ended had in it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CommittedBatch {
    /// Whether it is durable; if not, all of it is queued again.
    pub ok: bool,
    pub jobs: Vec<JobId>,
    pub roster: bool,
    pub waits: bool,
}

impl CommitQueue {
    /// Queues a job whose record must be written.
    pub fn mark_dirty(&mut self, job: JobId) {
        self.dirty.insert(job);
    }

    /// Returns whether all changes of a job that were marked are durable.
    pub fn is_durable(&self, job: JobId) -> bool {
        !self.dirty.contains(&job) && !self.in_flight.contains(&job)
    }

    /// Takes the jobs of the next commit, empty if only the roster is to be written. Returns `None`
    /// while a commit is under way, before the interval has passed, or if nothing is dirty.
    /// `entry_count` is the number of changes that a job needs.
    pub fn next_batch(
        &mut self,
        now: Millis,
        entry_count: impl Fn(JobId) -> usize,
    ) -> Option<Vec<JobId>> {
        let idle = self.dirty.is_empty() && !self.roster.dirty && !self.waits.dirty;
        if self.pending_call.is_some() || now < self.next_commit_at || idle {
            return None;
        }
        let mut free_entries =
            MAX_COMMIT_ENTRIES - usize::from(self.roster.dirty) - usize::from(self.waits.dirty);
        let mut batch = Vec::new();
        for job in &self.dirty {
            let size = entry_count(*job);
            if size > free_entries {
                break;
            }
            free_entries -= size;
            batch.push(*job);
        }
        for job in &batch {
            self.dirty.remove(job);
        }
        self.roster.in_flight = std::mem::take(&mut self.roster.dirty);
        self.waits.in_flight = std::mem::take(&mut self.waits.dirty);
        Some(batch)
    }

    /// Records the commit that was sent with the jobs of the last batch.
    pub fn on_sent(&mut self, call: CallId, jobs: Vec<JobId>) {
        self.pending_call = Some(call);
        self.in_flight = jobs;
    }

    /// Ends the commit under way and returns what it had in it; `None` for an unknown call. A failed
    /// commit is queued again.
    pub fn on_result(&mut self, call: CallId, ok: bool, now: Millis) -> Option<CommittedBatch> {
        if self.pending_call != Some(call) {
            return None;
        }
        self.pending_call = None;
        let batch = CommittedBatch {
            ok,
            jobs: std::mem::take(&mut self.in_flight),
            roster: std::mem::take(&mut self.roster.in_flight),
            waits: std::mem::take(&mut self.waits.in_flight),
        };
        if ok {
            self.next_commit_at = now + COMMIT_INTERVAL_MS;
        } else {
            self.next_commit_at = now + COMMIT_RETRY_MS;
            self.dirty.extend(batch.jobs.iter().copied());
            self.roster.dirty |= batch.roster;
            self.waits.dirty |= batch.waits;
        }
        Some(batch)
    }
}
