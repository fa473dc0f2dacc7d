//! Jobs whose records must be written, batched into one commit at a time.
//!
//! Used by the cell: it marks jobs, sends each batch as one commit, and asks whether a job is
//! durable. Nothing here writes to the store or knows what a record holds.

use {
    crate::{
        core::{CallId, Millis},
        fleet::JobId,
    },
    std::collections::{BTreeMap, HashMap},
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

/// Why a job's record must be written.
///
/// Variants are in the order in which records are written: callers wait for ends, executors keep
/// listing what is not durable, and deletions are not urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RecordChange {
    End,
    Progress,
    Deletion,
}

/// Position in the queue; the number rises with each job queued.
type Position = (RecordChange, u64);

/// Queue of records to write; at most one commit is under way.
///
/// Answers hundreds of ends a second: ends of jobs go first, then by age, and a commit that leaves
/// records behind is followed by the next one at once.
#[derive(Debug, Default)]
pub struct CommitQueue {
    /// Jobs whose records differ from those in the store, with their positions in `order`.
    dirty: HashMap<JobId, Position>,
    /// The same jobs, in the order of writing.
    order: BTreeMap<Position, JobId>,
    /// Jobs of the commit under way; one that changes meanwhile is also dirty again.
    in_flight: HashMap<JobId, Position>,
    last_number: u64,
    /// Whether the commit under way left jobs behind.
    has_more: bool,
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
    pub fn mark_dirty(&mut self, job: JobId, change: RecordChange) {
        self.last_number += 1;
        self.queue(job, (change, self.last_number));
    }

    /// Queues a job at a position, or moves it there if that is earlier.
    fn queue(&mut self, job: JobId, position: Position) {
        match self.dirty.get(&job) {
            Some(old) if *old <= position => return,
            Some(old) => self.order.remove(old),
            None => None,
        };
        self.dirty.insert(job, position);
        self.order.insert(position, job);
    }

    /// Returns whether all changes of a job that were marked are durable.
    pub fn is_durable(&self, job: JobId) -> bool {
        !self.dirty.contains_key(&job) && !self.in_flight.contains_key(&job)
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
        self.in_flight.clear();
        while let Some(first) = self.order.first_entry() {
            let job = *first.get();
            let size = entry_count(job);
            if size > free_entries {
                break;
            }
            free_entries -= size;
            batch.push(job);
            self.in_flight.insert(job, *first.key());
            first.remove();
            self.dirty.remove(&job);
        }
        self.has_more = !self.order.is_empty();
        self.roster.in_flight = std::mem::take(&mut self.roster.dirty);
        self.waits.in_flight = std::mem::take(&mut self.waits.dirty);
        Some(batch)
    }

    /// Records that the last batch was sent.
    pub fn on_sent(&mut self, call: CallId) {
        self.pending_call = Some(call);
    }

    /// Ends the commit under way and returns what it had in it; `None` for an unknown call. A failed
    /// commit is queued again.
    pub fn on_result(&mut self, call: CallId, ok: bool, now: Millis) -> Option<CommittedBatch> {
        if self.pending_call != Some(call) {
            return None;
        }
        self.pending_call = None;
        let in_flight = std::mem::take(&mut self.in_flight);
        let batch = CommittedBatch {
            ok,
            jobs: in_flight.keys().copied().collect(),
            roster: std::mem::take(&mut self.roster.in_flight),
            waits: std::mem::take(&mut self.waits.in_flight),
        };
        if ok {
            let interval_ms = if self.has_more { 0 } else { COMMIT_INTERVAL_MS };
            self.next_commit_at = now + interval_ms;
        } else {
            self.next_commit_at = now + COMMIT_RETRY_MS;
            for (job, position) in in_flight {
                self.queue(job, position);
            }
            self.roster.dirty |= batch.roster;
            self.waits.dirty |= batch.waits;
        }
        Some(batch)
    }
}
