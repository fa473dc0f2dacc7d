//! What becomes of a run on an executor that will exit.

use crate::core::Millis;

/// Time for the exchanges of a stop: its command, and the reply that lists the end, in ms.
const STOP_EXCHANGE_MS: Millis = 600;

/// Returns the time before an announced exit from which runs must be stopped, in ms, so that their
/// ends can still be read.
pub fn exit_lead_ms(kill_grace_ms: Millis) -> Millis {
    kill_grace_ms + STOP_EXCHANGE_MS
}

/// Returns when an executor exits at the earliest, in ms on the reader's monotonic clock. Its entry was
/// written between `written_after` and `read_at`, and stated `remaining_ms` then; `known` is what earlier
/// entries say. An estimate that is too late loses what runs there; one that is too early only stops it
/// earlier than needed.
pub fn earliest_exit(
    known: Option<Millis>,
    remaining_ms: Millis,
    written_after: Millis,
    read_at: Millis,
) -> Millis {
    let latest = read_at.saturating_add(remaining_ms);
    let earliest = written_after.saturating_add(remaining_ms).min(latest);
    known.map_or(earliest, |at| at.clamp(earliest, latest))
}
