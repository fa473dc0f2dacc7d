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

/// Backoff of a record after the store has refused it alone, in ms; doubled each time.
const REFUSED_RETRY_MS: Millis = 1_000;

/// Refusals after which a record that is written alone is given up.
const MAX_REFUSALS: u32 = 3;

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
    /// Returns whether a commit under way writes it.
    pub fn is_in_flight(self) -> bool {
        self.in_flight
    }

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

/// A record that was in a commit which the store refused for good.
#[derive(Debug, Default)]
struct RefusedRecord {
    /// Refusals of a commit of it alone.
    refusals: u32,
    /// Earliest next commit of it, in ms on the owner's monotonic clock.
    not_before: Millis,
    /// Whether another commit has succeeded since: the store does not refuse all of them.
    others_succeed: bool,
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
    /// Jobs of refused commits; each is written in a commit of its own.
    refused: HashMap<JobId, RefusedRecord>,
    /// Whether a commit with the roster or the waits was refused: they are written without jobs.
    singles_refused: bool,
    /// Commits under way; at most [`MAX_IN_FLIGHT`].
    in_flight: Vec<InFlight>,
    /// Whether a commit failed and none that was sent after it has succeeded.
    retrying: bool,
    /// Earliest next commit, in ms on the owner's monotonic clock.
    next_commit_at: Millis,
    pub roster: SingleWrite,
    /// Whether the roster must stay as it is in the store.
    pub roster_held: bool,
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
        let roster_due = self.roster.is_due() && !self.roster_held;
        let mut singles = usize::from(roster_due) + usize::from(self.waits.is_due());
        let alone = self.next_refused(now);
        let mut free_entries = MAX_COMMIT_ENTRIES - singles;
        let mut jobs = BTreeMap::new();
        let mut has_more = alone.is_some();
        if let Some((job, position)) = alone {
            singles = 0;
            jobs.insert(job, position);
        } else if singles == 0 || !self.singles_refused {
            for (position, job) in &self.order {
                if self.is_in_flight(*job) || self.refused.contains_key(job) {
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
            roster: singles > 0 && roster_due && self.roster.take(),
            waits: singles > 0 && self.waits.take(),
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
            for job in commit.jobs.keys() {
                self.refused.remove(job);
            }
            for refused in self.refused.values_mut() {
                refused.others_succeed = true;
            }
            if commit.batch.roster || commit.batch.waits {
                self.singles_refused = false;
            }
        } else {
            self.retrying = true;
            self.next_commit_at = now + COMMIT_RETRY_MS;
            for (job, position) in commit.jobs {
                self.queue(job, position);
            }
        }
        Some(commit.batch)
    }

    /// Returns the first refused record that may be written again.
    fn next_refused(&self, now: Millis) -> Option<(JobId, Position)> {
        let due = self.refused.iter().filter(|(_, r)| r.not_before <= now);
        let due = due.filter(|(job, _)| !self.is_in_flight(**job));
        let queued = due.filter_map(|(job, _)| Some((*job, *self.dirty.get(job)?)));
        queued.min_by_key(|(_, position)| *position)
    }

    /// Ends a commit under way that the store refused for good: nothing of it was written. Its records are
    /// queued again, each for a commit of its own. Returns a job whose record is to be given up, as it was
    /// refused alone again and again while others were written.
    pub fn on_refused(&mut self, call: CallId, now: Millis) -> Option<JobId> {
        let index = self.in_flight.iter().position(|c| c.call == call)?;
        let commit = self.in_flight.remove(index);
        self.roster.on_result(commit.batch.roster, false);
        self.waits.on_result(commit.batch.waits, false);
        self.singles_refused |= commit.batch.roster || commit.batch.waits;
        self.next_commit_at = now + COMMIT_RETRY_MS;
        let alone = commit.jobs.len() == 1 && !commit.batch.roster && !commit.batch.waits;
        let mut given_up = None;
        for (job, position) in commit.jobs {
            let record = self.refused.entry(job).or_default();
            if alone {
                record.refusals += 1;
                let doublings = record.refusals.min(5) - 1;
                record.not_before = now + (REFUSED_RETRY_MS << doublings);
                if record.refusals >= MAX_REFUSALS && record.others_succeed {
                    given_up = Some(job);
                }
            }
            self.queue(job, position);
        }
        if let Some(job) = given_up {
            self.refused.remove(&job);
        }
        given_up
    }

    /// Drops a job's record from the queue; nothing waits for it any more.
    pub fn forget(&mut self, job: JobId) {
        if let Some(position) = self.dirty.remove(&job) {
            self.order.remove(&position);
        }
        self.refused.remove(&job);
    }
}
