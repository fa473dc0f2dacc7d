//! Order of waiting work and choice of executors: pure functions on plain data.

use crate::core::{Millis, Resources};

/// What a job can still earn its callers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timeliness {
    InTime,
    /// Past its objective; worth a fifth.
    Late,
    /// Past [`EXPIRED_TIMES`] its objective; worth nothing to its callers any more.
    Expired,
}

/// Times the objective after which a late job is worth nothing.
pub const EXPIRED_TIMES: Millis = 3;

impl Timeliness {
    /// Returns the timeliness of a job of this age and objective, both in ms.
    pub fn new(age: Millis, objective: Millis) -> Self {
        match () {
            () if age <= objective => Self::InTime,
            () if age <= objective * EXPIRED_TIMES => Self::Late,
            () => Self::Expired,
        }
    }
}

/// Position of a step in the order of waiting work; smaller goes first.
///
/// Answers a full pool: hopeless work goes last, the urgent before the patient, and within a
/// priority what can still be in time before what is late, what is owed before what exceeds
/// an organisation's rate, then the earliest objective. A late urgent job stays before patient
/// work, since its objective rests on a rough estimate.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    pub expired: bool,
    pub priority: u32,
    pub timeliness: Timeliness,
    pub over_rate: bool,
    pub due: Millis,
}

/// A run as a candidate to make room for urgent work.
#[derive(Clone, Copy, Debug)]
pub struct Victim {
    pub need: Resources,
    /// It saves its progress when it is stopped.
    pub preemptible: bool,
    /// Priority of its queue.
    pub priority: u32,
    /// How long it has run, in ms.
    pub age_ms: Millis,
}

/// Shortest time that a run is left alone, in ms: below it, stopping costs about what it did.
const VICTIM_AGE_MS: Millis = 500;

/// Chooses the runs to stop on one executor so that `need` fits; `None` if that cannot be
/// reached, an empty list if the room is there or on its way.
///
/// Answers a burst of urgent work on a pool full of patient work: only runs that save their
/// progress when stopped, of a less urgent queue, are stopped, the largest first.
pub fn choose_victims(
    need: &Resources,
    coming: &Resources,
    priority: u32,
    victims: &[Victim],
) -> Option<Vec<usize>> {
    let mut room = *coming;
    let mut chosen = Vec::new();
    let mut order: Vec<usize> = (0..victims.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(victims[*i].need.cpu_milli));
    for i in order {
        if room.covers(need) {
            break;
        }
        let victim = &victims[i];
        let allowed = victim.preemptible && victim.priority > priority;
        if allowed && victim.age_ms >= VICTIM_AGE_MS {
            room.add(&victim.need);
            chosen.push(i);
        }
    }
    room.covers(need).then_some(chosen)
}

/// Pairs of waiting step and executor for which 1 ms is left after a round. A pair costs about
/// 30 ns (`measure cell`), 240 ns on a node with an eighth of a core, so rounds take at most
/// about an eighth of such a node.
const PAIRS_PER_PAUSE_MS: usize = 500;

/// Longest pause between rounds, in ms: far below the shortest objective, 250 ms.
const LONGEST_PAUSE_MS: Millis = 20;

/// Returns how long to collect changes before the next round of decisions, in ms.
///
/// Answers a long queue for a large fleet on a small node: changes that arrive meanwhile share one round. A
/// short queue is decided at once.
pub fn round_pause_ms(waiting_steps: usize, executors: usize) -> Millis {
    let pause = Millis::try_from(waiting_steps * executors / PAIRS_PER_PAUSE_MS);
    pause.unwrap_or(LONGEST_PAUSE_MS).min(LONGEST_PAUSE_MS)
}

/// An executor as a candidate for a task.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOption {
    pub free: Resources,
    /// The last task that ended there failed.
    pub recently_failed: bool,
    /// Right rack, if the task prefers one.
    pub on_preferred_rack: bool,
    /// Tasks of the same step already there.
    pub same_step: u32,
}

/// Chooses an executor for one task; `None` if no candidate holds the need.
///
/// Answers a mix of small and large tasks: the executor on which the least of the scarcest
/// resource is left over, so that large gaps stay for large tasks. Trusted executors and the
/// preferred rack go first.
pub fn choose_best_fit<'a>(
    need: &Resources,
    rooms: impl Iterator<Item = &'a PlacementOption>,
) -> Option<usize> {
    let fitting = rooms.enumerate().filter(|(_, r)| r.free.covers(need));
    let best = fitting.min_by_key(|(_, r)| {
        let left = r.free.saturating_sub(need);
        let left = left.accelerators * 100_000 + left.cpu_milli + left.memory_mib / 16;
        (r.recently_failed, !r.on_preferred_rack, left)
    });
    best.map(|(i, _)| i)
}

/// Chooses where copies that serve users should go: spread, then the emptiest.
///
/// Answers the loss of one executor: few members of a persistent step are on each.
pub fn choose_spread<'a>(
    need: &Resources,
    rooms: impl Iterator<Item = &'a PlacementOption>,
) -> Option<usize> {
    let fitting = rooms.enumerate().filter(|(_, r)| r.free.covers(need));
    let best = fitting.min_by_key(|(_, r)| {
        let left = r.free.saturating_sub(need).cpu_milli;
        (r.recently_failed, r.same_step, !r.on_preferred_rack, left)
    });
    best.map(|(i, _)| i)
}

/// Lowest share at which a filler is let work, in percent, before it is halted.
const PACE_FLOOR: u32 = 10;

/// Step by which a filler is let work more, in percent.
const PACE_RISE: u32 = 10;

/// Part of the bound, in percent, above which fillers are slowed.
const PACE_HIGH: u64 = 85;

/// Part of the bound, in percent, below which fillers may work more.
const PACE_LOW: u64 = 60;

/// Returns the share for fillers beside a serving task with this tail.
///
/// Answers fillers that disturb a serving task: halved at once when the tail nears its bound,
/// raised slowly when it is far below.
pub fn best_effort_share(share: u32, tail_ms: u64, target_ms: Millis) -> u32 {
    if tail_ms * 100 > target_ms * PACE_HIGH {
        let half = share / 2;
        return if half < PACE_FLOOR { 0 } else { half };
    }
    if tail_ms * 100 < target_ms * PACE_LOW {
        return (share + PACE_RISE).min(100);
    }
    share
}
