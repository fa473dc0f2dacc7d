//! Scheduling policy: order of waiting steps, choice of executors, preemption and throttling.
//!
//! Pure functions on plain data, called by the cell in every round. Nothing here keeps state,
//! reads a clock or sends a command.

use crate::core::{Millis, Resources};

/// Whether a job is within its objective, late, or so late that it no longer counts.
///
/// Variants are in scheduling order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timeliness {
    /// Within its objective.
    InTime,
    /// Past its objective; counts for a fifth.
    Late,
    /// Older than [`EXPIRED_TIMES`] times its objective; no longer counts for its callers.
    Expired,
}

/// Multiple of the objective beyond which a late job no longer counts.
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

/// Position of a step in the order of waiting work; the smaller rank is placed first.
///
/// Matters when the pool is full. Fields compare in the order of declaration: expired jobs go
/// last, and urgent queues go before less urgent ones. Within a priority, jobs in time go before
/// late ones, jobs within the tenant's rate before those over it, and then the earliest due
/// first. A late urgent job still goes before less urgent work, since its objective is based on
/// a rough estimate.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Whether `timeliness` is [`Timeliness::Expired`].
    pub expired: bool,
    /// Priority of the job's queue; 0 is the most urgent.
    pub priority: u32,
    pub timeliness: Timeliness,
    /// Beyond the tenant's permitted rate of jobs.
    pub over_rate: bool,
    /// End of the job's objective, in ms on the owner's monotonic clock.
    pub due: Millis,
}

/// A run that may be preempted to free capacity for urgent work.
#[derive(Clone, Copy, Debug)]
pub struct Victim {
    /// Capacity that stopping it frees.
    pub need: Resources,
    /// It saves its progress when it is stopped.
    pub preemptible: bool,
    /// Priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// Time since its start, in ms.
    pub age_ms: Millis,
}

/// Minimum age of a run before it may be preempted, in ms: stopping a younger run costs about as
/// much as the work that it has done.
const MIN_VICTIM_AGE_MS: Millis = 500;

/// Chooses the runs to stop on one executor so that `need` fits, as indexes into `victims`.
///
/// Returns `None` if no choice frees enough, and an empty list if `free_after_stops` is enough
/// already. Meant for a burst of urgent work on a pool full of less urgent work: it stops only
/// runs of less urgent queues that save their progress, and those with the largest CPU need
/// first.
pub fn choose_victims(
    need: &Resources,
    free_after_stops: &Resources,
    priority: u32,
    victims: &[Victim],
) -> Option<Vec<usize>> {
    let mut free = *free_after_stops;
    let mut chosen = Vec::new();
    let mut order: Vec<usize> = (0..victims.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse(victims[*i].need.cpu_milli));
    for i in order {
        if free.covers(need) {
            break;
        }
        let victim = &victims[i];
        let allowed = victim.preemptible && victim.priority > priority;
        if allowed && victim.age_ms >= MIN_VICTIM_AGE_MS {
            free.add(&victim.need);
            chosen.push(i);
        }
    }
    free.covers(need).then_some(chosen)
}

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

/// An executor as a candidate for a task.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOption {
    pub free: Resources,
    /// The last task that ended there failed, or the task to place has failed there.
    pub recently_failed: bool,
    /// It is on the preferred rack, or the task has none.
    pub on_preferred_rack: bool,
    /// Tasks of the same step that run there.
    pub same_step: u32,
}

/// Chooses an executor for one task by best fit and returns its index; `None` if the task fits on
/// no candidate.
///
/// Takes the executor with the least free capacity left over, weighted by the scarcity of the
/// resource, so that large gaps remain for large tasks when small and large tasks are mixed.
/// Executors without recent failures and those on the preferred rack go first.
pub fn choose_best_fit<'a>(
    need: &Resources,
    options: impl Iterator<Item = &'a PlacementOption>,
) -> Option<usize> {
    let fitting = options.enumerate().filter(|(_, o)| o.free.covers(need));
    let best = fitting.min_by_key(|(_, o)| {
        let remaining = o.free.saturating_sub(need);
        let remaining =
            remaining.accelerators * 100_000 + remaining.cpu_milli + remaining.memory_mib / 16;
        (o.recently_failed, !o.on_preferred_rack, remaining)
    });
    best.map(|(i, _)| i)
}

/// Chooses an executor for one task of a persistent step and returns its index; `None` if the
/// task fits on no candidate.
///
/// Spreads the tasks that serve users, so that the loss of one executor stops few of them.
/// Executors without recent failures go first, then those with the fewest tasks of the same step,
/// on the preferred rack, and with the least CPU left over.
pub fn choose_spread<'a>(
    need: &Resources,
    options: impl Iterator<Item = &'a PlacementOption>,
) -> Option<usize> {
    let fitting = options.enumerate().filter(|(_, o)| o.free.covers(need));
    let best = fitting.min_by_key(|(_, o)| {
        let remaining = o.free.saturating_sub(need).cpu_milli;
        (
            o.recently_failed,
            o.same_step,
            !o.on_preferred_rack,
            remaining,
        )
    });
    best.map(|(i, _)| i)
}

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
