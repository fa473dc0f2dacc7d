//! How long an owner may act on its last proof of ownership, and what the next one may conclude.
//!
//! The key of an owner is tied to its store lease, so no other node can claim the cell before that
//! lease has run out. An owner that cannot renew the lease goes on for a bounded time, since the
//! store may be down for everybody; the next owner takes that bound into account.

use crate::core::Millis;

/// How long an owner may send commands after it sent the last successful renewal of its store
/// lease, in ms. Bounds how long starts go on in an outage of the store, and by how much the next
/// owner waits longer for an executor that it cannot reach.
pub const MAX_UNCONFIRMED_MS: Millis = 3_000;

/// Maximum lag of an executor's clock, in thousandths: the platform's protocol allows 2%.
pub const MAX_CLOCK_LAG_MILLI: Millis = 20;

/// Returns whether an owner may send commands at `now`. `confirmed_at` is when the last successful
/// renewal of its store lease was sent; `None` if that lease has ended.
pub fn may_send_commands(confirmed_at: Option<Millis>, now: Millis) -> bool {
    confirmed_at.is_some_and(|at| now <= at + MAX_UNCONFIRMED_MS)
}

/// Returns how long after a claim an earlier owner may still send commands, in ms. Its store lease
/// of `ttl_ms` had run out before the claim, or it had stopped by itself.
pub fn earlier_owner_stops_after(ttl_ms: Millis) -> Millis {
    MAX_UNCONFIRMED_MS.saturating_sub(ttl_ms)
}

/// Returns how long after the last command of an owner a run may go on because of it, in ms: the
/// lease by a clock that lags, and the time to kill the run.
pub fn runs_end_after(max_lease_ms: Millis, kill_grace_ms: Millis) -> Millis {
    max_lease_ms * 1000 / (1000 - MAX_CLOCK_LAG_MILLI) + 1 + kill_grace_ms
}
