//! What the crashes of executors say about the tasks that ran there, and where a task that may have
//! caused one starts next.

use crate::core::Millis;

/// Time for which a run must have been alive to be cleared of a later crash of its executor, in ms.
pub const START_WATCH_MS: Millis = 300;

/// Time for which an executor is held for a suspect task that does not start, in ms; then
/// another one is chosen.
pub const MAX_HOLD_MS: Millis = 2_000;

/// Crashes after which a task starts no more, whoever caused them.
const MAX_CRASHES: usize = 3;

/// Crashes after which a task is given up if its job certainly caused one of them.
const MAX_CERTAIN_CRASHES: usize = 2;

/// Bounds the executors of a pool that are held for suspect tasks at a time: a quarter.
const HELD_DIVISOR: usize = 4;

/// What follows from the crashes under a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// It starts only where nothing else could cause a crash.
    Suspect,
    /// It starts no more, and its job has failed.
    GiveUp,
}

/// Judges a task by the crashes of executors soon after it had started there; for each, whether
/// no task of another job could have caused it.
pub fn judge_crashes(certain: &[bool]) -> CrashVerdict {
    let caused_one = certain.contains(&true);
    match certain.len() {
        MAX_CRASHES.. => CrashVerdict::GiveUp,
        MAX_CERTAIN_CRASHES.. if caused_one => CrashVerdict::GiveUp,
        _ => CrashVerdict::Suspect,
    }
}

/// Returns how many executors of a pool may be held for suspect tasks at a time.
pub fn max_held(pool_size: usize) -> usize {
    (pool_size / HELD_DIVISOR).max(1)
}

/// An executor with room for a suspect task.
#[derive(Clone, Copy, Debug)]
pub struct SuspectPlace {
    /// All runs there are cleared, so that the task can start at once.
    pub is_quiet: bool,
    /// Runs there, which a crash would end too.
    pub runs: usize,
    pub recently_failed: bool,
}

/// Chooses the executor for a suspect task, by index: where a crash would end the fewest runs, and
/// of these one that need not be waited for.
pub fn choose_suspect_place(places: &[SuspectPlace]) -> Option<usize> {
    let cost = |p: &SuspectPlace| (p.recently_failed, p.runs, !p.is_quiet);
    let indexed = places.iter().enumerate();
    indexed.min_by_key(|(_, p)| cost(p)).map(|(i, _)| i)
}
