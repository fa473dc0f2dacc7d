//! Whether what a connection delivers may have waited while this node was paused. Used by the owner
//! link for messages that are only valid for a short time.

use crate::core::Millis;

/// Time between two turns of a connection's loop from which the node counts as paused, in ms: the
/// loop pings every 300 ms and writes for up to 500 ms.
const PAUSE_MS: Millis = 1_000;

/// Time after a pause in which messages may be from before its end, in ms: a node reads its
/// buffers within this time, and the owner repeats its messages after it.
const SETTLE_MS: Millis = 500;

/// Detects pauses by the turns of a loop; times are in ms since boot.
#[derive(Clone, Copy, Debug)]
pub struct PauseGuard {
    turn_at: Millis,
    settled_at: Millis,
}

impl PauseGuard {
    /// Starts with a turn at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            turn_at: now,
            settled_at: 0,
        }
    }

    /// Records a turn of the loop; returns whether messages read in it were sent recently.
    pub fn on_turn(&mut self, now: Millis) -> bool {
        if now > self.turn_at + PAUSE_MS {
            self.settled_at = now + SETTLE_MS;
        }
        self.turn_at = now;
        now >= self.settled_at
    }
}
