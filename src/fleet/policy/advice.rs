//! Choice of the executors that calls to the advice service name for one step.
//!
//! Answers a pool of hundreds of executors of which the service advises a part: a call takes
//! longer with each executor named, and tickets expire before a gang that got too few has asked
//! for the rest.

use crate::core::Millis;

/// An executor that a call may name for a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdviceOption {
    /// Tasks of the step that fit there.
    pub fits: u32,
    /// Whether an earlier reply advised it and only its ticket has expired.
    pub advised: bool,
    /// Run time there in percent of the usual one.
    pub run_time_percent: u32,
    /// Nothing uses its accelerators, and a task would take only a part of them: it is left to work
    /// that needs whole executors.
    pub splits_idle: bool,
    /// Order among equal executors; differs by step, so that steps spread over the pool.
    pub spread_key: u64,
}

/// What a step needs of its next calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdviceNeed {
    /// Tasks for which no valid ticket exists.
    pub tasks: u32,
    /// All tasks must fit at once, or none starts.
    pub gang: bool,
    /// Share of executors that the service advises for the queue, in percent.
    pub yield_percent: u32,
    /// Executors named at no noticeable cost; the choice has at least as many.
    pub min_named: usize,
    /// Maximum number of executors to name.
    pub max_named: usize,
}

/// The executors to name, best first, and whether they will probably do.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdviceChoice {
    /// Indexes into the options.
    pub named: Vec<usize>,
    /// Whether the advised ones among them will probably hold all tasks.
    pub sufficient: bool,
}

/// Standard deviations by which the expected yield must exceed the need: nine calls of ten then
/// suffice.
const YIELD_MARGIN: f64 = 1.3;

/// Tasks of a step without a gang that count for one executor: more than that on one executor
/// rarely shortens the step.
const MAX_SPREAD_FITS: u32 = 3;

/// Chooses the executors to name, in the order of preference: those known to be advised, then
/// those with room for more tasks, those that are partly used, and the faster ones.
///
/// Stops once the expected number of tasks that fit on advised executors exceeds the need by a
/// margin. Executors on which nothing fits are left out.
pub fn choose_named(need: &AdviceNeed, options: &[AdviceOption]) -> AdviceChoice {
    let max_fits = if need.gang {
        need.tasks
    } else {
        need.tasks.min(MAX_SPREAD_FITS)
    };
    let mut order: Vec<usize> = (0..options.len()).collect();
    order.retain(|i| options[*i].fits > 0);
    order.sort_by_key(|i| {
        let option = &options[*i];
        let fits = std::cmp::Reverse(option.fits.min(max_fits));
        (
            !option.advised,
            fits,
            option.splits_idle,
            option.run_time_percent,
            option.spread_key,
        )
    });
    let mut choice = AdviceChoice::default();
    let (mut mean, mut variance) = (0.0, 0.0);
    let needed = f64::from(need.tasks);
    for i in order {
        let margin = YIELD_MARGIN * f64::sqrt(variance);
        choice.sufficient = mean - margin >= needed;
        let enough = choice.sufficient && choice.named.len() >= need.min_named;
        if enough || choice.named.len() >= need.max_named {
            return choice;
        }
        let option = &options[i];
        let fits = f64::from(option.fits.min(need.tasks));
        let chance = if option.advised {
            1.0
        } else {
            f64::from(need.yield_percent.clamp(1, 100)) / 100.0
        };
        mean += chance * fits;
        variance += chance * (1.0 - chance) * fits * fits;
        choice.named.push(i);
    }
    let margin = YIELD_MARGIN * f64::sqrt(variance);
    choice.sufficient = mean - margin >= needed;
    choice
}

/// Share of executors that the service advises for one queue, learned from its replies.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdviceYield {
    named: u32,
    advised: u32,
}

/// Executors named after which older replies count half.
const YIELD_WINDOW: u32 = 400;

/// Weight of the assumed share of a half, in executors named.
const YIELD_PRIOR: u32 = 10;

impl AdviceYield {
    /// Counts a reply that advised some of the executors named for the first time.
    pub fn record(&mut self, named: u32, advised: u32) {
        if self.named > YIELD_WINDOW {
            self.named /= 2;
            self.advised /= 2;
        }
        self.named += named;
        self.advised += advised.min(named);
    }

    /// Returns the share of advised executors in percent; half before any reply.
    pub fn percent(&self) -> u32 {
        (self.advised * 100 + YIELD_PRIOR * 50) / (self.named + YIELD_PRIOR)
    }
}

/// Part of its estimated run time, as a divisor, after which a step counts as ending soon.
const ENDING_SOON_DIVISOR: Millis = 2;

/// Returns whether a step will probably end before tickets that are requested now expire: all its
/// tasks run, and one is done or half of their estimated time has passed.
///
/// Answers short steps that follow one another: without a ticket at hand each of them waits for a
/// call, which takes a noticeable part of an urgent objective.
pub fn ends_soon(has_waiting: bool, done: u32, ran_ms: Millis, estimate_ms: Millis) -> bool {
    !has_waiting && (done > 0 || ran_ms >= estimate_ms / ENDING_SOON_DIVISOR)
}
