//! Choice of executors for the tasks of a step.

use crate::core::Resources;

/// An executor as a candidate for a task.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOption {
    pub free: Resources,
    /// The last task that ended there failed, or the task to place has failed there.
    pub recently_failed: bool,
    /// It takes one task of the step only.
    pub takes_one: bool,
    /// It is on the preferred rack, or the task has none.
    pub on_preferred_rack: bool,
    /// Run time there in percent of the estimate; 0 if the speed does not matter to the task.
    pub run_time_percent: u32,
    /// Tasks of the same step that run there.
    pub same_step: u32,
}

impl PlacementOption {
    /// Counts a task of the step that was placed there; `max_per_executor` of 0 means no limit.
    pub fn take(&mut self, need: &Resources, max_per_executor: u32) {
        self.free = self.free.saturating_sub(need);
        self.same_step += 1;
        if self.takes_one || (max_per_executor > 0 && self.same_step >= max_per_executor) {
            self.free = Resources::default();
        }
    }
}

/// Chooses an executor for one task by best fit and returns its index; `None` if the task fits on
/// no candidate.
///
/// Takes the executor with the least free capacity left over, weighted by the scarcity of the
/// resource, so that large gaps remain for large tasks when small and large tasks are mixed.
/// Executors without recent failures, those on the preferred rack and, for tasks that need speed, the
/// faster ones go first.
pub fn choose_best_fit(
    need: &Resources,
    options: impl Iterator<Item = PlacementOption>,
) -> Option<usize> {
    let fitting = options.enumerate().filter(|(_, o)| o.free.covers(need));
    let best = fitting.min_by_key(|(_, o)| {
        let remaining = o.free.saturating_sub(need);
        let remaining =
            remaining.accelerators * 100_000 + remaining.cpu_milli + remaining.memory_mib / 16;
        (
            o.recently_failed,
            !o.on_preferred_rack,
            o.run_time_percent,
            remaining,
        )
    });
    best.map(|(i, _)| i)
}

/// Chooses an executor for one task of a persistent step and returns its index; `None` if the
/// task fits on no candidate.
///
/// Spreads the tasks that serve users, so that the loss of one executor stops few of them.
/// Executors without recent failures go first, then those with the fewest tasks of the same step,
/// on the preferred rack, and with the least CPU left over.
pub fn choose_spread(
    need: &Resources,
    options: impl Iterator<Item = PlacementOption>,
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
