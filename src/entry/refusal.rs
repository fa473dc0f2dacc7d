//! Whether the store rejects only this node, and when a refused caller may come back. Used by the
//! callers' interface and the store relay.

use crate::core::Millis;

/// Maximum time that a caller is told to wait, in seconds.
const MAX_RETRY_AFTER_S: u64 = 4;

/// Time for which the success of another node at the store says that it serves, in ms: nodes
/// report it every 300 ms.
const PEER_HEALTH_MS: Millis = 1_000;

/// Returns whether the store rejects this node while it serves another one: that one has reached it
/// since the first of this node's calls failed. Times are in ms since boot.
///
/// Answers outages that hit a part of the nodes. In one that hits all, no node succeeds after the
/// first failure.
pub fn another_node_serves(
    failing_since: Option<Millis>,
    peer_success_at: Millis,
    now: Millis,
) -> bool {
    let recent = now.saturating_sub(peer_success_at) < PEER_HEALTH_MS;
    recent && failing_since.is_some_and(|since| peer_success_at > since)
}

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
