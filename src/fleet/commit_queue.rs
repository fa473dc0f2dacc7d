//! Jobs whose records must be written, batched into commits.
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

/// Maximum changes in one commit: the platform takes 32 entries, and up to two of them are the
/// guard on the epoch record.
const MAX_COMMIT_ENTRIES: usize = 30;

/// Weight of the heaviest record: a commit of it alone has room for the records that are written whole.
pub const MAX_RECORD_WEIGHT: usize = MAX_COMMIT_ENTRIES - 2;

/// Maximum commits under way. The store takes up to some 300 ms for each when it is slow.
const MAX_IN_FLIGHT: usize = 4;

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
    /// Whether a commit under way writes it.
    in_flight: bool,
}

impl SingleWrite {
    /// Returns whether the next commit may write it: two writes under way could take effect in
    /// either order.
    fn is_due(self) -> bool {
        self.dirty && !self.in_flight
    }

    /// Takes it for a commit if it is due; returns whether it was.
    fn take(&mut self) -> bool {
        let due = self.is_due();
        if due {
            *self = Self {
                dirty: false,
                in_flight: true,
            };
        }
        due
    }

    fn on_result(&mut self, written: bool, ok: bool) {
        if written {
            self.in_flight = false;
            self.dirty |= !ok;
        }
    }
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

/// Records of one commit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CommitBatch {
    pub jobs: Vec<JobId>,
    pub roster: bool,
    pub waits: bool,
}

/// A commit under way.
#[derive(Debug)]
struct InFlight {
    call: CallId,
    /// Its jobs, with the positions that they had; one that changes meanwhile is also dirty again.
    jobs: BTreeMap<JobId, Position>,
    batch: CommitBatch,
    /// Whether it was sent after one that failed.
    is_retry: bool,
}

/// Queue of records to write.
///
/// Answers hundreds of ends a second, also while the store is slow: ends of jobs go first, then by age,
/// a commit that leaves records behind is followed by the next one at once, and several commits
/// may be under way. They never write the same record, so the order in which they take effect does not
/// matter. After a failed commit, which may still take effect, the next one goes alone.
#[derive(Debug, Default)]
pub struct CommitQueue {
    /// Jobs whose records differ from those in the store, with their positions in `order`.
    dirty: HashMap<JobId, Position>,
    /// The same jobs, in the order of writing.
    order: BTreeMap<Position, JobId>,
    last_number: u64,
    /// Commits under way; at most [`MAX_IN_FLIGHT`].
    in_flight: Vec<InFlight>,
    /// Whether a commit failed and none that was sent after it has succeeded.
    retrying: bool,
    /// Earliest next commit, in ms on the owner's monotonic clock.
    next_commit_at: Millis,
    pub roster: SingleWrite,
    /// Waits for the leases of earlier owners.
    pub waits: SingleWrite,
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

    fn is_in_flight(&self, job: JobId) -> bool {
        self.in_flight.iter().any(|c| c.jobs.contains_key(&job))
    }

    /// Returns whether all changes of a job that were marked are durable.
    pub fn is_durable(&self, job: JobId) -> bool {
        !self.dirty.contains_key(&job) && !self.is_in_flight(job)
    }

    /// Takes the records of the commit `call`, which is sent at `now`. Returns `None` while enough
    /// commits are under way, before the interval has passed, or if there is nothing to write.
    /// `weight` is the number of changes that a job needs, or more if its record is long.
    pub fn next_batch(
        &mut self,
        call: CallId,
        now: Millis,
        weight: impl Fn(JobId) -> usize,
    ) -> Option<CommitBatch> {
        let max_in_flight = if self.retrying { 1 } else { MAX_IN_FLIGHT };
        if self.in_flight.len() >= max_in_flight || now < self.next_commit_at {
            return None;
        }
        let singles = usize::from(self.roster.is_due()) + usize::from(self.waits.is_due());
        let mut free_entries = MAX_COMMIT_ENTRIES - singles;
        let mut jobs = BTreeMap::new();
        let mut has_more = false;
        for (position, job) in &self.order {
            if self.is_in_flight(*job) {
                continue;
            }
            let weight = weight(*job);
            if weight > free_entries {
                has_more = true;
                break;
            }
            free_entries -= weight;
            jobs.insert(*job, *position);
        }
        if jobs.is_empty() && singles == 0 {
            return None;
        }
        for (job, position) in &jobs {
            self.order.remove(position);
            self.dirty.remove(job);
        }
        let batch = CommitBatch {
            jobs: jobs.keys().copied().collect(),
            roster: self.roster.take(),
            waits: self.waits.take(),
        };
        self.in_flight.push(InFlight {
            call,
            jobs,
            batch: batch.clone(),
            is_retry: self.retrying,
        });
        self.next_commit_at = now + if has_more { 0 } else { COMMIT_INTERVAL_MS };
        Some(batch)
    }

    /// Ends a commit under way and returns what it had in it; `None` for an unknown call. A failed
    /// commit is queued again.
    pub fn on_result(&mut self, call: CallId, ok: bool, now: Millis) -> Option<CommitBatch> {
        let index = self.in_flight.iter().position(|c| c.call == call)?;
        let commit = self.in_flight.remove(index);
        self.roster.on_result(commit.batch.roster, ok);
        self.waits.on_result(commit.batch.waits, ok);
        if ok {
            self.retrying &= !commit.is_retry;
        } else {
            self.retrying = true;
            self.next_commit_at = now + COMMIT_RETRY_MS;
            for (job, position) in commit.jobs {
                self.queue(job, position);
            }
        }
        Some(commit.batch)
    }
}
