//! Long seeded runs of six cores with failures, with every promise checked at every step.

use standins::chaos::{Chaos, Plan};

/// Runs one seed.
fn run(seed: u64, plan: Plan) {
    let mut chaos = Chaos::new(seed, plan);
    chaos.run();
    println!("seed {seed}: {:?}", chaos.acts);
    let violations = &chaos.fleet.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Returns the seeds of CI, or those that `CHAOS_FIRST` and `CHAOS_SEEDS` name.
fn seeds(first: u64, count: u64) -> std::ops::Range<u64> {
    let set = |name| std::env::var(name).ok()?.parse().ok();
    let first = set("CHAOS_FIRST").unwrap_or(first);
    first..first + set("CHAOS_SEEDS").unwrap_or(count)
}

#[test]
fn no_failures() {
    let none = Plan {
        kills: false,
        pauses: false,
        cuts: false,
        outages: false,
        worker_losses: false,
        ..Plan::ALL
    };
    for seed in seeds(100, 1) {
        run(seed, none);
    }
}

#[test]
fn everything_at_once() {
    for seed in seeds(1, 3) {
        run(seed, Plan::ALL);
    }
}

/// Seeds that left a job running for ever or ran a task twice, until that was mended.
#[test]
fn seeds_that_once_failed() {
    for seed in [1023, 1116, 1223, 1261, 1650, 1845, 1220, 1494, 1862, 3618] {
        run(seed, Plan::ALL);
    }
}
