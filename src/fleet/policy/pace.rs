//! Pause between placement rounds.

use crate::core::Millis;

/// Pairs of waiting step and executor per 1 ms of pause after a round, for each thousandth of a core.
/// A pair costs about 30 ns of a whole core (`measure cell`), so rounds take at most about an eighth
/// of a node's processor time.
const PAIRS_PER_CPU_MILLI: usize = 4;

/// Cost of a round beside its pairs, in waiting steps: the snapshot of the capacity.
const SNAPSHOT_STEPS: usize = 4;

/// Processor time of a node that does not state it, in thousandths of a core.
const DEFAULT_CPU_MILLI: u32 = 125;

/// Maximum pause between rounds, in ms: far below the tightest objective, 250 ms.
const MAX_ROUND_PAUSE_MS: Millis = 20;

/// Returns the pause before the next round of placement decisions, in ms.
///
/// Limits the CPU time of rounds on a small node with a long queue and a large fleet: changes that
/// arrive during the pause share one round. A short queue is placed without a pause.
pub fn round_pause_ms(waiting_steps: usize, executors: usize, cpu_milli: u32) -> Millis {
    let cpu_milli = if cpu_milli == 0 {
        DEFAULT_CPU_MILLI
    } else {
        cpu_milli
    };
    let pairs_per_ms = usize::try_from(cpu_milli).unwrap_or(1) * PAIRS_PER_CPU_MILLI;
    let pairs = (waiting_steps + SNAPSHOT_STEPS) * executors;
    let pause = Millis::try_from(pairs / pairs_per_ms);
    pause.unwrap_or(MAX_ROUND_PAUSE_MS).min(MAX_ROUND_PAUSE_MS)
}
