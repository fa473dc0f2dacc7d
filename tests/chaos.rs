//! Long seeded simulations of six cores with random failures. Every invariant is checked at every
//! step.

use standins::chaos::{Chaos, Plan};

/// Runs one seed and fails on any violated invariant.
fn run_seed(seed: u64, plan: Plan) {
    let mut chaos = Chaos::new(seed, plan);
    chaos.run();
    println!("seed {seed}: {:?}", chaos.event_counts);
    let violations = &chaos.fleet.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Returns the seeds of CI, or those that `CHAOS_FIRST` and `CHAOS_SEEDS` name.
fn seeds(first: u64, count: u64) -> std::ops::Range<u64> {
    let from_env = |name| std::env::var(name).ok()?.parse().ok();
    let first = from_env("CHAOS_FIRST").unwrap_or(first);
    first..first + from_env("CHAOS_SEEDS").unwrap_or(count)
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
        run_seed(seed, none);
    }
}

#[test]
fn everything_at_once() {
    for seed in seeds(1, 3) {
        run_seed(seed, Plan::ALL);
    }
}

/// Seeds of past failures: until the faults were fixed, they left a job running for ever or ran a
/// task twice.
#[test]
fn seeds_that_once_failed() {
    for seed in [1023, 1116, 1223, 1261, 1650, 1845, 1220, 1494, 1862, 3618] {
        run_seed(seed, Plan::ALL);
    }
}
