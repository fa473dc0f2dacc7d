//! Share of best-effort runs beside tasks that serve users.

use crate::core::Millis;

/// Minimum share of a running best-effort run, in percent; below it the run is paused.
const MIN_SHARE_PERCENT: u32 = 10;

/// Increase of a best-effort share per adjustment, in percentage points.
const SHARE_INCREASE_PERCENT: u32 = 10;

/// Tail latency, in percent of the target, above which best-effort runs are slowed down.
const THROTTLE_ABOVE_PERCENT: u64 = 85;

/// Tail latency, in percent of the target, below which best-effort runs are sped up.
const RAISE_BELOW_PERCENT: u64 = 60;

/// Returns the new share of best-effort runs beside a task with a latency target, in percent.
///
/// Keeps best-effort runs from disturbing the serving task: the share is halved at once when the
/// tail latency nears the target, and raised slowly when it is far below.
pub fn best_effort_share(share: u32, tail_latency_ms: u64, target_ms: Millis) -> u32 {
    if tail_latency_ms * 100 > target_ms * THROTTLE_ABOVE_PERCENT {
        let half = share / 2;
        return if half < MIN_SHARE_PERCENT { 0 } else { half };
    }
    if tail_latency_ms * 100 < target_ms * RAISE_BELOW_PERCENT {
        return (share + SHARE_INCREASE_PERCENT).min(100);
    }
    share
}
