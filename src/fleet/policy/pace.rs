//! Pause between placement rounds.

use crate::core::Millis;

/// Pairs of waiting step and executor per 1 ms of pause after a round. A pair costs about 30 ns
/// (`measure cell`), or 240 ns on a node with an eighth of a core, so rounds take at most about
/// an eighth of such a node.
const PAIRS_PER_PAUSE_MS: usize = 500;

/// Maximum pause between rounds, in ms: far below the tightest objective, 250 ms.
const MAX_ROUND_PAUSE_MS: Millis = 20;

/// Returns the pause before the next round of placement decisions, in ms.
///
/// Limits the CPU time of rounds on a small node with a long queue and a large fleet: changes that
/// arrive during the pause share one round. A short queue is placed without a pause.
pub fn round_pause_ms(waiting_steps: usize, executors: usize) -> Millis {
    let pause = Millis::try_from(waiting_steps * executors / PAIRS_PER_PAUSE_MS);
    pause.unwrap_or(MAX_ROUND_PAUSE_MS).min(MAX_ROUND_PAUSE_MS)
}
