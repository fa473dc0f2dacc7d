//! Unit tests of the placement policy: length of the pause between rounds, order of waiting work,
//! choice of executors and victims, and the share of best-effort runs.

use dragonflyferry::{
    core::{Millis, Resources},
    entry::{another_node_serves, retry_after_s},
    fleet::policy::{
        AdviceNeed, AdviceOption, AdviceYield, FollowedProgress, PlacementOption, Rank, Room,
        RunTimeFactor, Timeliness, Victim, WaitingJob, best_effort_share, choose_best_fit,
        choose_gang_victims, choose_named, choose_spread, choose_victims, ends_soon, needs_speed,
        reserve_for_gang, reserve_for_large, round_pause_ms,
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
        takes_one: false,
        on_preferred_rack: true,
        run_time_percent: 0,
        same_step: 0,
    }
}

/// A short queue on a small fleet is placed at once, a long queue on a large fleet after at most
/// 20 ms, far below the shortest objective.
#[test]
fn rounds_pause_only_for_long_queues_and_large_fleets() {
    assert_eq!(round_pause_ms(5, 48, 125), 0);
    assert_eq!(round_pause_ms(40, 350, 125), 20);
    assert_eq!(round_pause_ms(100_000, 1_300, 500), 20);
}

/// Guards against a strong owner that waits as long between rounds as a weak one: each wait is part
/// of the delay of an urgent step.
#[test]
fn a_strong_node_pauses_less_between_rounds() {
    assert_eq!(round_pause_ms(36, 350, 500), 7);
    assert_eq!(round_pause_ms(36, 3_000, 500), 20);
    assert_eq!(round_pause_ms(40, 350, 0), round_pause_ms(40, 350, 125));
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
        Rank::new(&WaitingJob {
            priority,
            age,
            ..WAITING_JOB
        })
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

/// Guards against an organisation that sends several times what it may and takes the room of others:
/// its excess waits behind all work of its priority and of the next one that is within the rates, and
/// goes before what is less urgent still. An expired job counts for nobody, so it goes last.
#[test]
fn work_beyond_the_rate_of_its_tenant_counts_as_one_level_less_urgent() {
    let rank = |priority, age, over_rate| {
        Rank::new(&WaitingJob {
            priority,
            age,
            over_rate,
            ..WAITING_JOB
        })
    };
    let order = [
        rank(0, 500, false),
        rank(0, 2_000, false),
        rank(1, 500, false),
        rank(1, 2_000, false),
        rank(0, 500, true),
        rank(0, 2_000, true),
        rank(2, 500, false),
        rank(2, 500, true),
        rank(0, 5_000, false),
    ];
    assert!(order.is_sorted());
    assert!(order.windows(2).all(|pair| pair[0] < pair[1]));
}

/// Guards against a backlog of patient jobs in which each begins at the last moment and ends just
/// late: one that would need all of its time goes behind those with time to spare, and one that has
/// begun is finished first.
#[test]
fn patient_jobs_that_have_begun_go_before_those_that_have_not() {
    let rank = |age: Millis, begun| {
        Rank::new(&WaitingJob {
            age,
            remaining: 400,
            due: 1_000_000 - age.cast_signed(),
            begun,
            ..WAITING_JOB
        })
    };
    let ending_in_time_if_begun_now = rank(550, false);
    assert_eq!(ending_in_time_if_begun_now.timeliness, Timeliness::Late);
    assert_eq!(rank(550, true).timeliness, Timeliness::InTime);
    assert!(rank(100, true) < rank(300, false));
    assert!(rank(300, false) < ending_in_time_if_begun_now);
}

/// Guards against urgent jobs of several steps that hold back new ones whose objective ends earlier.
#[test]
fn urgent_jobs_go_by_their_due_time_whether_or_not_they_have_begun() {
    let rank = |due, begun| {
        Rank::new(&WaitingJob {
            priority: 0,
            due,
            begun,
            ..WAITING_JOB
        })
    };
    assert!(rank(1_000, false) < rank(2_000, true));
}

/// Guards against calls ahead that are too early, so that their tickets expire unused.
#[test]
fn a_step_ends_soon_once_all_its_tasks_run_and_half_its_time_has_passed() {
    assert!(!ends_soon(true, 3, 900, 1_000));
    assert!(!ends_soon(false, 0, 400, 1_000));
    assert!(ends_soon(false, 0, 500, 1_000));
    assert!(ends_soon(false, 1, 100, 1_000));
}

#[test]
fn the_rest_of_a_run_is_estimated_by_its_progress() {
    let remaining_ms = |elapsed_ms: Millis, from, percent| {
        let progress = FollowedProgress {
            since_ms: 500,
            from,
            percent,
        };
        progress.remaining_ms(500 + elapsed_ms, 1_000)
    };
    assert_eq!(remaining_ms(300, 0, 0), 700);
    assert_eq!(remaining_ms(1_300, 0, 0), 0);
    assert_eq!(remaining_ms(1_000, 0, 25), 3_000);
    assert_eq!(remaining_ms(1_000, 0, 100), 0);
    // Followed from 80 percent on: a twentieth of it in 500 ms.
    assert_eq!(remaining_ms(100, 80, 80), 100);
    assert_eq!(remaining_ms(500, 80, 85), 1_500);
}

const WAITING_JOB: WaitingJob = WaitingJob {
    age: 0,
    remaining: 0,
    objective: 1_000,
    due: 0,
    priority: 2,
    begun: false,
    over_rate: false,
    persistent: false,
    large: false,
};

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

fn advice_option(fits: u32, advised: bool, spread_key: u64) -> AdviceOption {
    AdviceOption {
        fits,
        advised,
        splits_idle: false,
        run_time_percent: 100,
        spread_key,
    }
}

const GANG_NEED: AdviceNeed = AdviceNeed {
    tasks: 20,
    gang: true,
    yield_percent: 30,
    min_named: 0,
    max_named: 300,
};

/// A gang of 20 with room for 3 members on each executor, of which three in ten are advised,
/// names about 35: their expected yield of 10 is the 7 that it needs and a margin.
#[test]
fn calls_name_what_a_gang_needs_and_a_margin() {
    let options: Vec<_> = (0..350).map(|i| advice_option(3, false, i)).collect();
    let choice = choose_named(&GANG_NEED, &options);
    assert!(choice.sufficient);
    assert!(
        (30..=40).contains(&choice.named.len()),
        "{}",
        choice.named.len()
    );
}

#[test]
fn calls_name_advised_executors_first_and_no_full_executor() {
    let mut options: Vec<_> = (0..10).map(|i| advice_option(5, false, i)).collect();
    options.extend((10..13).map(|i| advice_option(7, true, i)));
    options.push(advice_option(0, true, 13));
    let choice = choose_named(&GANG_NEED, &options);
    assert_eq!(choice.named, vec![10, 11, 12]);
    assert!(choice.sufficient);
}

/// Guards against single-GPU tasks that spread over idle executors, so that gangs which need whole ones
/// find none.
#[test]
fn small_tasks_leave_idle_executors_to_others() {
    let mut options: Vec<_> = (0..6).map(|i| advice_option(3, false, i)).collect();
    options[..3].iter_mut().for_each(|o| o.splits_idle = true);
    let need = AdviceNeed {
        tasks: 3,
        gang: false,
        yield_percent: 100,
        ..GANG_NEED
    };
    assert_eq!(choose_named(&need, &options).named, vec![3]);
    let need = AdviceNeed { tasks: 18, ..need };
    assert_eq!(choose_named(&need, &options).named, vec![3, 4, 5, 0, 1, 2]);
}

#[test]
fn a_choice_that_cannot_suffice_says_so() {
    let options: Vec<_> = (0..20).map(|i| advice_option(1, false, i)).collect();
    let choice = choose_named(&GANG_NEED, &options);
    assert!(!choice.sufficient);
    assert_eq!(choice.named.len(), 20);
}

#[test]
fn the_advised_share_is_learned_from_replies() {
    let mut share = AdviceYield::default();
    assert_eq!(share.percent(), 50);
    for _ in 0..20 {
        share.record(30, 9);
    }
    assert!((30..=32).contains(&share.percent()), "{}", share.percent());
    for _ in 0..60 {
        share.record(30, 21);
    }
    assert!((66..=71).contains(&share.percent()), "{}", share.percent());
}

fn room(fits_now: u32, fits_empty: u32) -> Room {
    Room {
        fits_now,
        fits_empty,
        busy_ms: 0,
    }
}

/// Guards against a gang that waits for the busiest executors while others are empty in a moment.
#[test]
fn a_gang_waits_for_the_executors_that_are_empty_first() {
    let busy = |busy_ms| Room {
        busy_ms,
        ..room(0, 1)
    };
    let pool = [busy(5_000), busy(300), busy(4_000), busy(200)];
    assert_eq!(reserve_for_gang(2, &pool), vec![3, 1]);
}

#[test]
fn a_gang_reserves_all_that_it_needs_or_nothing() {
    let pool = [room(0, 3), room(2, 3), room(1, 3), room(0, 3)];
    assert_eq!(reserve_for_gang(3, &pool), vec![1, 2]);
    assert_eq!(reserve_for_gang(9, &pool), vec![1, 2, 0]);
    assert_eq!(reserve_for_gang(13, &pool), Vec::<usize>::new());
}

#[test]
fn only_large_tasks_reserve_executors() {
    let pool = [room(0, 2), room(1, 2), room(0, 2)];
    assert_eq!(reserve_for_large(5, &pool), vec![1, 0]);
    assert_eq!(reserve_for_large(5, &[room(3, 8)]), Vec::<usize>::new());
}

#[test]
fn a_gang_displaces_no_more_than_its_members_need() {
    let victim = |cpu_milli| Victim {
        need: resources(cpu_milli, 0),
        preemptible: true,
        priority: 2,
        age_ms: 2_000,
    };
    let victims = [victim(1_000), victim(4_000), victim(3_000)];
    let none = resources(0, 0);
    let need = Resources {
        memory_mib: 0,
        ..resources(4_000, 0)
    };
    assert_eq!(
        choose_gang_victims(&need, 1, &none, 1, &victims),
        (1, vec![1])
    );
    let (members, chosen) = choose_gang_victims(&need, 4, &none, 1, &victims);
    assert_eq!((members, chosen.len()), (2, 3));
    assert_eq!(
        choose_gang_victims(&need, 4, &none, 2, &victims),
        (0, vec![])
    );
}

#[test]
fn the_speed_of_an_executor_is_learned_and_forgotten() {
    let mut factor = RunTimeFactor::default();
    assert_eq!(factor.percent(), 100);
    for _ in 0..40 {
        factor.record(1_250, 1_000);
    }
    assert!(
        (120..=130).contains(&factor.percent()),
        "{}",
        factor.percent()
    );
    for _ in 0..4 {
        factor.record_progress(1_000, 4, 4_000);
    }
    assert!(factor.percent() >= 300, "{}", factor.percent());
    for _ in 0..30 {
        factor.record(1_000, 1_000);
    }
    assert!(factor.percent() <= 120, "{}", factor.percent());
}

#[test]
fn steps_with_less_time_to_spare_than_they_run_need_speed() {
    assert!(needs_speed(750, 1_000));
    assert!(!needs_speed(13_000, 3_400));
}

#[test]
fn a_chain_that_cannot_end_in_time_counts_as_late() {
    assert_eq!(Timeliness::new(8_000, 2_000, 10_000), Timeliness::InTime);
    assert_eq!(Timeliness::new(8_000, 8_000, 10_000), Timeliness::Late);
    assert_eq!(Timeliness::new(28_000, 8_000, 10_000), Timeliness::Expired);
}

/// Another node accepts at once; in an outage for all, a caller does not use up its attempts.
#[test]
fn refused_callers_come_back_when_it_pays() {
    assert_eq!(retry_after_s(true, 6_000), 0);
    assert_eq!(retry_after_s(false, 300), 1);
    assert_eq!(retry_after_s(false, 2_500), 2);
    assert_eq!(retry_after_s(false, 60_000), 4);
}

/// In an outage for all nodes none succeeds after the first failure; in one for a part, others do.
#[test]
fn another_nodes_success_counts_after_the_first_failure_only() {
    assert!(!another_node_serves(None, 10_000, 10_100));
    assert!(!another_node_serves(Some(10_000), 9_900, 10_100));
    assert!(another_node_serves(Some(10_000), 10_050, 10_100));
    assert!(!another_node_serves(Some(10_000), 10_050, 11_500));
}
