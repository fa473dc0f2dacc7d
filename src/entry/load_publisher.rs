//! When the owner computes its load summary and whether it is sent. Called by the owner task at
//! each tick; without a backlog nothing is sent.

use crate::{
    core::Millis,
    fleet::{
        Cell, FencingToken, Now,
        policy::{LoadSummary, SUMMARIES_PER_OWNER},
    },
};

/// Time between summaries, in ms: bounds their cost, a pass over all jobs, to a few thousandths of
/// a core. A burst lasts 4 to 8 s.
const LOAD_INTERVAL_MS: Millis = 500;

/// State of one owner's load summaries.
#[derive(Debug)]
pub struct LoadPublisher {
    /// Whether nodes refuse jobs that cannot be served in time.
    enabled: bool,
    token: FencingToken,
    /// Summaries sent so far.
    sent: u64,
    next_at: Millis,
    /// Whether the last summary sent names a queue.
    backlogged: bool,
}

impl LoadPublisher {
    /// Creates the state of a new owner that has sent none.
    pub fn new(enabled: bool, token: FencingToken) -> Self {
        Self {
            enabled,
            token,
            sent: 0,
            next_at: 0,
            backlogged: false,
        }
    }

    /// Returns the summary to send now: at intervals while there is a wait, and once when there no
    /// longer is any.
    pub fn next(&mut self, cell: &Cell, now: Now) -> Option<LoadSummary> {
        if !self.enabled || now.mono < self.next_at {
            return None;
        }
        self.next_at = now.mono + LOAD_INTERVAL_MS;
        let version = self.token * SUMMARIES_PER_OWNER + self.sent + 1;
        let summary = cell.load_summary(version, now);
        let backlogged = !summary.queues.is_empty();
        if !backlogged && !self.backlogged {
            return None;
        }
        self.backlogged = backlogged;
        self.sent += 1;
        Some(summary)
    }
}
