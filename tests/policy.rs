//! Unit tests of the placement policy: length of the pause between rounds, order of waiting work,
//! choice of executors and victims, and the share of best-effort runs.

use dragonflyferry::{
    core::Resources,
    fleet::policy::{
        PlacementOption, Rank, Timeliness, Victim, best_effort_share, choose_best_fit,
        choose_spread, choose_victims, round_pause_ms,
    },
};

fn resources(cpu_milli: u32, accelerators: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mib: 1_000,
        accelerators,
        slots: 0,
    }
}

fn option(free: Resources) -> PlacementOption {
    PlacementOption {
        free,
        recently_failed: false,
        on_preferred_rack: true,
        run_time_percent: 0,
        same_step: 0,
    }
}

/// A short queue on a small fleet is placed at once, a long queue on a large fleet after at most
/// 20 ms, far below the shortest objective.
#[test]
fn rounds_pause_only_for_long_queues_and_large_fleets() {
    assert_eq!(round_pause_ms(5, 48), 0);
    assert_eq!(round_pause_ms(40, 350), 20);
    assert_eq!(round_pause_ms(100_000, 1_300), 20);
}

#[test]
fn a_small_task_takes_the_tightest_fit() {
    let options = [
        option(resources(16_000, 0)),
        option(resources(2_000, 0)),
        option(resources(4_000, 0)),
    ];
    assert_eq!(
        choose_best_fit(&resources(1_500, 0), options.iter().copied()),
        Some(1)
    );
    assert_eq!(
        choose_best_fit(&resources(3_000, 0), options.iter().copied()),
        Some(2)
    );
    assert_eq!(
        choose_best_fit(&resources(20_000, 0), options.iter().copied()),
        None
    );
}

#[test]
fn a_task_that_needs_no_accelerator_leaves_them_free() {
    let options = [option(resources(3_000, 8)), option(resources(8_000, 0))];
    assert_eq!(
        choose_best_fit(&resources(1_500, 0), options.iter().copied()),
        Some(1)
    );
}

#[test]
fn an_executor_that_failed_recently_is_chosen_last() {
    let mut options = [option(resources(2_000, 0)), option(resources(16_000, 0))];
    options[0].recently_failed = true;
    assert_eq!(
        choose_best_fit(&resources(1_500, 0), options.iter().copied()),
        Some(1)
    );
}

#[test]
fn tasks_of_a_persistent_step_are_spread() {
    let mut options = [option(resources(8_000, 0)), option(resources(8_000, 0))];
    options[0].same_step = 1;
    assert_eq!(
        choose_spread(&resources(1_500, 0), options.iter().copied()),
        Some(1)
    );
}

/// A burst of late and in-time work of low and of urgent priority, and of expired urgent work.
#[test]
fn a_full_pool_serves_urgent_work_first_and_expired_work_last() {
    let rank = |priority, age| {
        let timeliness = Timeliness::new(age, 0, 1_000);
        Rank {
            expired: timeliness == Timeliness::Expired,
            priority,
            timeliness,
            over_rate: false,
            due: 0,
        }
    };
    let mut ranks = [
        rank(0, 5_000),
        rank(2, 2_000),
        rank(2, 500),
        rank(0, 2_000),
        rank(0, 500),
    ];
    ranks.sort();
    let expected = [
        rank(0, 500),
        rank(0, 2_000),
        rank(2, 500),
        rank(2, 2_000),
        rank(0, 5_000),
    ];
    assert_eq!(ranks, expected);
}

#[test]
fn only_preemptible_runs_of_lower_priority_are_victims() {
    let victim = Victim {
        need: resources(4_000, 0),
        preemptible: true,
        priority: 2,
        age_ms: 1_000,
    };
    let not_preemptible = Victim {
        preemptible: false,
        ..victim
    };
    let urgent = Victim {
        priority: 0,
        ..victim
    };
    let need = resources(5_000, 0);
    let no_capacity = resources(0, 0);
    let chosen = choose_victims(
        &need,
        &no_capacity,
        0,
        &[not_preemptible, victim, urgent, victim],
    );
    assert_eq!(chosen, Some(vec![1, 3]));
    assert_eq!(
        choose_victims(&need, &no_capacity, 0, &[not_preemptible, victim, urgent]),
        None
    );
    assert_eq!(
        choose_victims(&need, &resources(5_000, 0), 0, &[victim]),
        Some(vec![])
    );
}

/// The tail latency of a serving task rises above its target of 40 ms and recovers.
#[test]
fn best_effort_share_is_halved_near_the_target_and_raised_slowly_below() {
    let tail_latencies = [20, 38, 45, 45, 45, 20, 20];
    let mut share = 100;
    let shares: Vec<u32> = tail_latencies
        .iter()
        .map(|tail_ms| {
            share = best_effort_share(share, *tail_ms, 40);
            share
        })
        .collect();
    assert_eq!(shares, [100, 50, 25, 12, 0, 10, 20]);
}
