//! When a refused caller may come back. Used by the callers' interface.

use crate::core::Millis;

/// Maximum time that a caller is told to wait, in seconds.
const MAX_RETRY_AFTER_S: u64 = 4;

/// Returns the value of `retry-after`, in seconds.
///
/// Answers outages of the store. While only this node is affected, another one accepts the request
/// at once. While all are, an outage that has lasted for some time is likely to last as long
/// again, and a caller that returns too soon uses up its attempts.
pub fn retry_after_s(another_node_serves: bool, store_age_ms: Millis) -> u64 {
    if another_node_serves {
        return 0;
    }
    (store_age_ms / 1_000).clamp(1, MAX_RETRY_AFTER_S)
}
