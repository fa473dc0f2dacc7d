//! What becomes of a run on an executor that will exit.

use crate::core::Millis;

/// Time for the exchanges of a stop: its command, and the reply that lists the end, in ms.
const STOP_EXCHANGE_MS: Millis = 600;

/// Returns the time before an announced exit from which runs must be stopped, in ms, so that their
/// ends can still be read.
pub fn exit_lead_ms(kill_grace_ms: Millis) -> Millis {
    kill_grace_ms + STOP_EXCHANGE_MS
}
