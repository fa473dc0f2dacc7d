//! When an executor whose leases were just renewed is renewed again.
//!
//! Answers a slow store: while ends that an executor has listed are not durable, its replies no longer
//! wait for the next end, so ends are found only by asking again.

use crate::core::Millis;

/// Maximum time between two renewals of an executor with ends that are not durable, in ms.
const MAX_UNACKED_INTERVAL_MS: Millis = 250;

/// Minimum of the same, in ms.
const MIN_UNACKED_INTERVAL_MS: Millis = 50;

/// Run time up to which [`MAX_UNACKED_INTERVAL_MS`] is a large part of a run, in ms.
const MAX_SHORT_RUN_MS: Millis = 2_000;

/// Returns whether a run with this estimated run time is short enough for its end to be looked for.
pub fn is_short_run(estimate_ms: Millis) -> bool {
    estimate_ms <= MAX_SHORT_RUN_MS
}

/// Returns the time until the next renewal while ends are not durable, in ms; `next_end_ms` is the
/// estimated time until the first short run ends.
pub fn unacked_interval_ms(next_end_ms: Option<Millis>) -> Millis {
    let next_end_ms = next_end_ms.unwrap_or(MAX_UNACKED_INTERVAL_MS);
    next_end_ms.clamp(MIN_UNACKED_INTERVAL_MS, MAX_UNACKED_INTERVAL_MS)
}
