//! Tests of executors whose capacity shrinks and grows while they run: no start brings one over the
//! capacity that it has said of itself for longer than the grace period.

use {
    dragonflyferry::{
        core::{Millis, Resources},
        fleet::{JobId, JobStatus, Roster, RosterEntry, StepSpec, Submission, TenantRule},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    standins::{
        CellWorld, Faults,
        cell_sample::{capacity, config, job, need, step, world, world_with_config},
    },
    std::sync::Arc,
};

/// Time until the list shows a change, in ms.
const LISTED_AFTER_MS: Millis = 500;

/// Time after which a shrunk capacity counts, in ms.
const GRACE_MS: Millis = 4_500;

fn with_cpu(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        ..capacity()
    }
}

fn set_capacity(world: &mut CellWorld, name: &str, capacity: Resources) {
    world.set_capacity(name, capacity, LISTED_AFTER_MS, GRACE_MS);
}

fn set_unreachable(world: &mut CellWorld, name: &str, unreachable: bool) {
    let executor = world.executors.get_mut(name).expect("executor");
    executor.unreachable = unreachable;
}

fn gang(count: u32, cpu_milli: u32, estimate_ms: Millis) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu_milli, estimate_ms)
    }
}

/// A shrunk executor does not reply to a new owner, but still runs more of the tenant's tasks than its
/// capacity says.
#[test]
fn a_cap_counts_what_an_unreachable_executor_ran_before_it_shrank() {
    let mut config = config();
    let cap = Resources {
        memory_mib: 0,
        ..need(8_000)
    };
    let rule = TenantRule { weight: 100, cap };
    config.tenants.insert(Arc::from("t"), rule);
    let mut world = world_with_config(1, 1, config);
    let tenant_job = |id, estimate_ms| Submission {
        tenant: Some(Arc::from("t")),
        ..job(id, "urgent", vec![step(8, 1_000, estimate_ms)])
    };
    world.submit(tenant_job(1, 20_000));
    world.run(200);
    world.add_executor("e1", "pool", "r0", capacity());
    set_capacity(&mut world, "e0", with_cpu(1_000));
    world.run(1_000);
    set_unreachable(&mut world, "e0", true);
    world.replace_owner();
    world.submit(tenant_job(2, 1_000));
    world.run(60_000);
    assert_sound(&world, 1..=2);
}

/// The roster with the larger capacity is not durable when the owner is lost.
#[test]
fn a_grown_executor_gets_no_more_work_before_the_next_owner_would_count_it() {
    let mut config = config();
    let cap = Resources {
        memory_mib: 0,
        ..need(8_000)
    };
    let rule = TenantRule { weight: 100, cap };
    config.tenants.insert(Arc::from("t"), rule);
    let mut world = world_with_config(1, 0, config);
    let tenant_job = |id, estimate_ms| Submission {
        tenant: Some(Arc::from("t")),
        ..job(id, "urgent", vec![step(8, 1_000, estimate_ms)])
    };
    world.add_executor("e0", "pool", "r0", with_cpu(1_000));
    world.run(1_000);
    world.store_up = false;
    set_capacity(&mut world, "e0", capacity());
    world.run(1_000);
    world.submit(tenant_job(1, 20_000));
    world.run(1_000);
    set_capacity(&mut world, "e0", with_cpu(1_000));
    world.run(LISTED_AFTER_MS + 100);
    set_unreachable(&mut world, "e0", true);
    world.store_up = true;
    world.replace_owner();
    world.add_executor("e1", "pool", "r0", capacity());
    world.submit(tenant_job(2, 1_000));
    world.run(60_000);
    assert_sound(&world, 1..=2);
}

/// Records of earlier versions hold no capacities.
#[test]
fn a_roster_of_an_earlier_version_is_decoded() {
    let record = postcard::to_stdvec(&vec![("e0", "10.0.0.1:80", "pool")]).expect("record");
    let roster = Roster::decode(&record).expect("roster");
    let entry = RosterEntry {
        id: Arc::from("e0"),
        address: Arc::from("10.0.0.1:80"),
        pool: Arc::from("pool"),
        max_capacity: Resources::default(),
    };
    assert_eq!(roster.executors, vec![entry.clone()]);
    let entry = RosterEntry {
        max_capacity: capacity(),
        ..entry
    };
    let roster = Roster::new(vec![entry]);
    let record = postcard::to_stdvec(&roster).expect("record");
    assert_eq!(Roster::decode(&record), Ok(roster));
}

fn assert_sound(world: &CellWorld, jobs: std::ops::RangeInclusive<u64>) {
    assert_eq!(world.violations, Vec::<String>::new(), "{:#?}", world.log);
    for id in jobs {
        let status = world.job_status(JobId(id));
        assert_eq!(status, Some(JobStatus::Completed), "{id}: {:#?}", world.log);
    }
}

/// Silence before a start in ms, of which some end the session before the start is sent again.
const SILENT_BEFORE_MS: [Millis; 6] = [0, 800, 900, 1_000, 1_100, 1_200];

/// Starts are sent to an executor that is silent and, until it replies again, shrinks.
fn shrink_while_silent(first: StepSpec, to: Resources, silent_before_ms: Millis) -> CellWorld {
    let mut world = world(1, 2);
    set_unreachable(&mut world, "e1", true);
    world.run(silent_before_ms);
    world.submit(job(1, "urgent", vec![first]));
    world.run(100);
    set_capacity(&mut world, "e1", to);
    world.run(GRACE_MS + 100);
    set_unreachable(&mut world, "e1", false);
    world.run(25_000);
    world
}

#[test]
fn an_unanswered_start_is_not_repeated_on_an_executor_that_shrank() {
    for before_ms in SILENT_BEFORE_MS {
        let world = shrink_while_silent(step(4, 4_000, 1_000), with_cpu(3_000), before_ms);
        assert_sound(&world, 1..=1);
    }
}

/// Only as many unanswered starts are withdrawn as no longer fit.
#[test]
fn unanswered_starts_that_still_fit_are_repeated() {
    let mut repeated = 0;
    for before_ms in SILENT_BEFORE_MS {
        let world = shrink_while_silent(step(8, 2_000, 1_000), with_cpu(4_000), before_ms);
        assert_sound(&world, 1..=1);
        let began = |l: &&String| l.contains("began") && l.contains("run 1 on e1");
        repeated = repeated.max(world.log.iter().filter(began).count());
    }
    assert_eq!(repeated, 2);
}

#[test]
fn a_gang_is_not_repeated_in_part_on_an_executor_that_shrank() {
    for before_ms in SILENT_BEFORE_MS {
        let world = shrink_while_silent(gang(2, 8_000, 1_000), with_cpu(4_000), before_ms);
        assert_eq!(
            world.violations,
            Vec::<String>::new(),
            "{before_ms}: {:#?}",
            world.log
        );
    }
}

#[test]
fn a_shrunk_executor_gets_no_more_work_than_it_holds() {
    let mut world = world(1, 1);
    for id in 1..=30 {
        world.submit(job(id, "urgent", vec![step(2, 2_000, 700)]));
    }
    world.run(200);
    set_capacity(&mut world, "e0", with_cpu(3_000));
    world.run(60_000);
    assert_sound(&world, 1..=30);
}

/// An executor over its capacity in memory alone gets no work that needs CPU alone.
#[test]
fn an_executor_over_one_resource_gets_no_start() {
    let mut world = world(1, 1);
    let mut large = step(1, 1_000, 8_000);
    large.need.memory_mib = 6_000;
    world.submit(job(1, "urgent", vec![large]));
    world.run(200);
    let shrunk = Resources {
        memory_mib: 4_000,
        ..capacity()
    };
    set_capacity(&mut world, "e0", shrunk);
    world.run(5_000);
    let mut small = step(2, 500, 300);
    small.need.memory_mib = 0;
    world.submit(job(2, "urgent", vec![small]));
    world.run(10_000);
    assert_sound(&world, 1..=2);
}

#[test]
fn work_starts_at_once_when_capacity_is_back() {
    let mut world = world(1, 1);
    set_capacity(&mut world, "e0", Resources::default());
    world.run(6_000);
    world.submit(job(1, "urgent", vec![step(1, 8_000, 200)]));
    world.submit(job(2, "urgent", vec![gang(2, 4_000, 200)]));
    world.run(6_000);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Pending));
    set_capacity(&mut world, "e0", capacity());
    world.run(LISTED_AFTER_MS + 20);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Active));
    world.run(1_500);
    assert_sound(&world, 1..=2);
}

/// A job larger than any executor was at its submission starts once one has grown.
#[test]
fn a_job_that_fitted_nowhere_starts_on_an_executor_that_grew() {
    let mut world = world(1, 2);
    world.submit(job(1, "urgent", vec![step(1, 12_000, 200)]));
    world.run(20_000);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Pending));
    set_capacity(&mut world, "e1", with_cpu(16_000));
    world.run(LISTED_AFTER_MS + 500);
    assert_sound(&world, 1..=1);
}

#[test]
fn a_new_owner_counts_runs_beyond_a_shrunk_capacity() {
    for stop in [false, true] {
        let mut world = world(1, 1);
        world.submit(job(1, "urgent", vec![step(4, 2_000, 9_000)]));
        world.run(200);
        set_capacity(&mut world, "e0", with_cpu(5_000));
        world.run(5_000);
        if stop {
            world.records.cancelled.insert(JobId(1));
        }
        world.replace_owner();
        for id in 2..=6 {
            world.submit(job(id, "urgent", vec![step(1, 2_000, 500)]));
        }
        world.run(20_000);
        assert_sound(&world, 2..=6);
    }
}

/// Stopping the lower-priority run of an executor over its capacity would not make the urgent task
/// fit: its work would be lost for nothing.
#[test]
fn preemption_stops_nothing_where_the_urgent_task_would_not_fit() {
    let mut world = world(1, 1);
    let mut patient = step(1, 4_000, 12_000);
    patient.checkpoints = true;
    world.submit(job(1, "urgent", vec![step(1, 4_000, 12_000)]));
    world.submit(job(2, "patient", vec![patient]));
    world.run(1_000);
    set_capacity(&mut world, "e0", with_cpu(4_000));
    world.run(5_000);
    world.submit(job(3, "urgent", vec![step(1, 2_000, 500)]));
    world.run(4_000);
    let executor = world.executors.values().next().expect("executor");
    assert_eq!(executor.running.len(), 2, "{:#?}", world.log);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// A gang waits with reservations on executors that shrink, and starts where it fits.
#[test]
fn a_gang_does_not_start_on_reserved_executors_that_shrank() {
    let mut world = world(1, 6);
    for id in 1..=6 {
        world.submit(job(id, "urgent", vec![step(2, 3_500, 3_000)]));
    }
    world.run(100);
    world.submit(job(7, "urgent", vec![gang(2, 6_000, 500)]));
    world.run(500);
    for name in ["e0", "e1", "e2", "e3"] {
        set_capacity(&mut world, name, with_cpu(5_000));
    }
    world.run(30_000);
    assert_sound(&world, 1..=7);
}

/// Seeded: lost replies, late commands, silent executors and changes of owner while capacities
/// shrink, in one resource or all, and grow again.
#[test]
fn no_start_exceeds_a_capacity_that_changes_under_faults() {
    let seeds: u64 = std::env::var("CELL_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(20);
    for seed in 0..seeds {
        let world = run_changing_capacities(seed);
        assert_eq!(
            world.violations,
            Vec::<String>::new(),
            "seed {seed}: {:#?}",
            world.log
        );
        for id in 1..=40 {
            let status = world.job_status(JobId(id));
            assert_eq!(
                status,
                Some(JobStatus::Completed),
                "seed {seed}: {:#?}",
                world.log
            );
        }
    }
}

fn run_changing_capacities(seed: u64) -> CellWorld {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = world(seed, 5);
    world.faults = Faults {
        late_commands: rng.random_range(0..60),
        lost_replies: rng.random_range(0..300),
        ..Faults::default()
    };
    let names: Vec<_> = world.executors.keys().cloned().collect();
    for id in 1..=40 {
        let mut first = step(
            rng.random_range(1..5),
            rng.random_range(1..5) * 1_000,
            rng.random_range(100..10_000),
        );
        first.need.memory_mib = rng.random_range(0..4) * 1_000;
        first.gang = rng.random_bool(0.2);
        first.checkpoints = rng.random_bool(0.5);
        let queue = if rng.random_bool(0.6) {
            "urgent"
        } else {
            "patient"
        };
        world.submit(job(id, queue, vec![first]));
        world.run(rng.random_range(0..800));
        let name = &names[rng.random_range(0..names.len())];
        let partial = [
            Resources::default(),
            with_cpu(rng.random_range(0..8) * 1_000),
            Resources {
                memory_mib: rng.random_range(0..10) * 1_000,
                ..need(8_000)
            },
        ];
        match rng.random_range(0..6) {
            0 | 1 => set_capacity(&mut world, name, partial[rng.random_range(0..3)]),
            2 => set_capacity(&mut world, name, capacity()),
            3 => {
                let silent = world.executors[name].unreachable;
                set_unreachable(&mut world, name, !silent);
            }
            4 if rng.random_bool(0.3) => world.replace_owner(),
            _ => {}
        }
    }
    world.faults = Faults::default();
    for name in &names {
        set_unreachable(&mut world, name, false);
        set_capacity(&mut world, name, capacity());
    }
    world.run(60_000);
    world
}
