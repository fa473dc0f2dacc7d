//! Jobs whose records must be written, and the one commit under way.

use {
    crate::{
        core::{CallId, Millis},
        fleet::JobId,
    },
    std::collections::BTreeSet,
};

/// Changes in one commit; the platform takes 32 entries, two are the guard.
const COMMIT_ENTRIES: usize = 30;

/// Time between commits, in ms: ends that arrive together share a write, since each call to
/// the store has a price; the tightest objective leaves 250 ms beside the work.
const COMMIT_GAP_MS: Millis = 50;

/// Time until a failed commit is tried again, in ms.
const COMMIT_RETRY_MS: Millis = 200;

/// What waits to be written; one commit is under way at a time.
#[derive(Debug, Default)]
pub struct CommitQueue {
    /// Jobs whose records differ from the store's.
    dirty: BTreeSet<JobId>,
    /// Jobs of the commit under way; one that changes meanwhile is also dirty again.
    in_flight: Vec<JobId>,
    call: Option<CallId>,
    next_at: Millis,
    /// Whether the roster must be written.
    pub roster_dirty: bool,
    pub roster_in_flight: bool,
}

impl CommitQueue {
    /// Notes that a job's record must be written.
    pub fn mark_dirty(&mut self, job: JobId) {
        self.dirty.insert(job);
    }

    /// Tells whether all that was marked of a job is durable.
    pub fn is_durable(&self, job: JobId) -> bool {
        !self.dirty.contains(&job) && !self.in_flight.contains(&job)
    }

    /// Takes the jobs of the next commit; none while one is under way or the gap lasts.
    pub fn next_batch(
        &mut self,
        now: Millis,
        entries: impl Fn(JobId) -> usize,
    ) -> Option<Vec<JobId>> {
        let idle = self.dirty.is_empty() && !self.roster_dirty;
        if self.call.is_some() || now < self.next_at || idle {
            return None;
        }
        let mut left = COMMIT_ENTRIES - usize::from(self.roster_dirty);
        let mut taken = Vec::new();
        for job in &self.dirty {
            let size = entries(*job);
            if size > left {
                break;
            }
            left -= size;
            taken.push(*job);
        }
        for job in &taken {
            self.dirty.remove(job);
        }
        self.roster_in_flight = std::mem::take(&mut self.roster_dirty);
        Some(taken)
    }

    /// Notes that the commit was sent.
    pub fn on_sent(&mut self, call: CallId, jobs: Vec<JobId>) {
        self.call = Some(call);
        self.in_flight = jobs;
    }

    /// Notes the outcome; returns the jobs that are durable now, and whether the roster is.
    pub fn on_result(&mut self, call: CallId, ok: bool, now: Millis) -> Option<(Vec<JobId>, bool)> {
        if self.call != Some(call) {
            return None;
        }
        self.call = None;
        let jobs = std::mem::take(&mut self.in_flight);
        let roster = std::mem::take(&mut self.roster_in_flight);
        if ok {
            self.next_at = now + COMMIT_GAP_MS;
            return Some((jobs, roster));
        }
        self.next_at = now + COMMIT_RETRY_MS;
        self.dirty.extend(jobs);
        self.roster_dirty |= roster;
        None
    }
}
