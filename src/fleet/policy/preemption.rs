//! Choice of the runs to stop for urgent work.

use crate::core::{Millis, Resources};

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

/// Chooses the runs to stop on one executor so that as many members of a gang fit as possible, up
/// to `members`; returns their number and the runs as indexes into `victims`.
///
/// Meant for a pool full of patient work that saves its progress: a gang needs its room at one
/// moment, and the work that it displaces can wait.
pub fn choose_gang_victims(
    need: &Resources,
    members: u32,
    free_after_stops: &Resources,
    priority: u32,
    victims: &[Victim],
) -> (u32, Vec<usize>) {
    let mut best = (0, Vec::new());
    let mut total = Resources::default();
    for count in 1..=members {
        total.add(need);
        match choose_victims(&total, free_after_stops, priority, victims) {
            Some(chosen) => best = (count, chosen),
            None => break,
        }
    }
    best
}
