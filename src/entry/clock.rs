//! The node's clocks: time since boot for intervals, time of day for stored and displayed times.
//! Used by all modules of the node; the cell gets its time from here as [`Now`].

use {
    crate::{core::Millis, fleet::Now},
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Returns the time since boot, suspended time included, in ms.
pub fn mono() -> Millis {
    let t = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(t.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(t.tv_nsec).unwrap_or(0);
    seconds * 1000 + nanos / 1_000_000
}

/// Returns the time of day, in Unix ms.
pub fn unix() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Converts a duration to whole ms.
pub fn millis(duration: Duration) -> Millis {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time of both clocks.
pub fn now() -> Now {
    Now {
        mono: mono(),
        unix: unix(),
    }
}
