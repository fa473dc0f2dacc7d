//! How long an owner may act on its last proof of ownership, and what the next one may conclude.
//!
//! The key of an owner is tied to its store lease, so no other node can claim the cell before that
//! lease has run out. Until then the owner is the only one, and only until then it sends commands
//! that start tasks or renew the leases of runs.

use crate::core::Millis;

/// Maximum lag of an executor's clock, in thousandths: the platform's protocol allows 2%. That of a node's
/// clock is assumed to be no larger.
pub const MAX_CLOCK_LAG_MILLI: Millis = 20;

/// Proof of ownership: the last successful renewal of the store lease to which the owner's key is
/// tied. Times are in ms on the owner's monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnershipProof {
    /// When the renewal was sent; the store counts the TTL from its arrival.
    pub sent_at: Millis,
    /// TTL of the lease, in ms.
    pub ttl_ms: Millis,
}

impl OwnershipProof {
    /// Returns whether no other node can have claimed the cell at `now`.
    pub fn is_sole_owner(&self, now: Millis) -> bool {
        now < self.sent_at + self.ttl_ms
    }
}

/// Returns how long after a claim runs may go on because of an earlier owner, in ms: the lease by a
/// clock that lags, and the time to kill the run.
pub fn earlier_runs_end_after(max_lease_ms: Millis, kill_grace_ms: Millis) -> Millis {
    let lease_ms = (max_lease_ms * 1000).div_ceil(1000 - MAX_CLOCK_LAG_MILLI);
    lease_ms + kill_grace_ms
}
