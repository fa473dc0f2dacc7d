//! Order, placement, room for urgent work and pace, without a network.

use dragonflyferry::{
    core::Resources,
    fleet::policy::{
        PlacementOption, Rank, Timeliness, Victim, best_effort_share, choose_best_fit,
        choose_spread, choose_victims, round_pause_ms,
    },
};

fn amount(cpu_milli: u32, accelerators: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mib: 1_000,
        accelerators,
        slots: 0,
    }
}

fn room(free: Resources) -> PlacementOption {
    PlacementOption {
        free,
        recently_failed: false,
        on_preferred_rack: true,
        same_step: 0,
    }
}

/// A short queue for a small fleet is decided at once; a long one for a large fleet after
/// at most 20 ms, far below the shortest objective.
#[test]
fn rounds_pause_only_for_long_queues_and_large_fleets() {
    assert_eq!(round_pause_ms(5, 48), 0);
    assert_eq!(round_pause_ms(40, 350), 20);
    assert_eq!(round_pause_ms(100_000, 1_300), 20);
}

#[test]
fn a_small_task_fills_the_smallest_gap() {
    let rooms = [
        room(amount(16_000, 0)),
        room(amount(2_000, 0)),
        room(amount(4_000, 0)),
    ];
    assert_eq!(choose_best_fit(&amount(1_500, 0), rooms.iter()), Some(1));
    assert_eq!(choose_best_fit(&amount(3_000, 0), rooms.iter()), Some(2));
    assert_eq!(choose_best_fit(&amount(20_000, 0), rooms.iter()), None);
}

#[test]
fn a_task_that_needs_no_accelerator_leaves_them_free() {
    let rooms = [room(amount(3_000, 8)), room(amount(8_000, 0))];
    assert_eq!(choose_best_fit(&amount(1_500, 0), rooms.iter()), Some(1));
}

#[test]
fn an_executor_that_failed_last_goes_last() {
    let mut rooms = [room(amount(2_000, 0)), room(amount(16_000, 0))];
    rooms[0].recently_failed = true;
    assert_eq!(choose_best_fit(&amount(1_500, 0), rooms.iter()), Some(1));
}

#[test]
fn members_that_serve_are_spread() {
    let mut rooms = [room(amount(8_000, 0)), room(amount(8_000, 0))];
    rooms[0].same_step = 1;
    assert_eq!(choose_spread(&amount(1_500, 0), rooms.iter()), Some(1));
}

/// Plays a burst: late patient work, in-time patient work, late and in-time urgent work.
#[test]
fn a_full_pool_serves_urgent_work_first_and_hopeless_work_last() {
    let rank = |priority, age| {
        let timeliness = Timeliness::new(age, 1_000);
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
    let order = [
        rank(0, 500),
        rank(0, 2_000),
        rank(2, 500),
        rank(2, 2_000),
        rank(0, 5_000),
    ];
    assert_eq!(ranks, order);
}

#[test]
fn room_is_made_only_from_patient_runs_that_save() {
    let victim = Victim {
        need: amount(4_000, 0),
        preemptible: true,
        priority: 2,
        age_ms: 1_000,
    };
    let unsaved = Victim {
        preemptible: false,
        ..victim
    };
    let urgent = Victim {
        priority: 0,
        ..victim
    };
    let need = amount(5_000, 0);
    let none = amount(0, 0);
    let chosen = choose_victims(&need, &none, 0, &[unsaved, victim, urgent, victim]);
    assert_eq!(chosen, Some(vec![1, 3]));
    assert_eq!(
        choose_victims(&need, &none, 0, &[unsaved, victim, urgent]),
        None
    );
    assert_eq!(
        choose_victims(&need, &amount(5_000, 0), 0, &[victim]),
        Some(vec![])
    );
}

/// Plays a serving task whose tail rises above its bound and recovers.
#[test]
fn fillers_are_halved_near_the_bound_and_raised_slowly_below() {
    let tails = [20, 38, 45, 45, 45, 20, 20];
    let mut share = 100;
    let shares: Vec<u32> = tails
        .iter()
        .map(|tail| {
            share = best_effort_share(share, *tail, 40);
            share
        })
        .collect();
    assert_eq!(shares, [100, 50, 25, 12, 0, 10, 20]);
}
