//! Tests of executors that announce their exit: what becomes of the tasks that run there.

use {
    dragonflyferry::{
        core::Millis,
        fleet::{
            AdviceRule, FleetConfig, IndexSet, JobId, JobProgress, StepProgress, StepSpec, TaskId,
            TaskProgress,
            policy::{self, FollowedProgress},
        },
    },
    standins::{
        CellWorld,
        cell_executor::REPORT_INTERVAL_MS,
        cell_sample::{capacity, config, job, need, step, world, world_with_config},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Time in which a persistent task must run again after its run ended, in ms: the platform's.
const MAX_GAP_MS: Millis = 6_000;

/// Time that an executor announces before it exits, in ms.
const NOTICE_MS: Millis = 5_000;

/// Time from the last report of an executor to its exit, in ms: shorter than the interval of reports.
const LAST_REPORT_MS: Millis = 1_400;

/// Ages at which an owner reads that report, in ms.
const REPORT_AGES_MS: [Millis; 4] = [100, 600, 850, 1_000];

/// Returns a configuration whose patient queue needs advice that takes half a second.
fn config_with_advice() -> FleetConfig {
    let mut config = config();
    let queue = Arc::make_mut(&mut config.queues[1]);
    queue.advice = Some(AdviceRule {
        call_cost_us: 560_000,
        executor_cost_us: 8_000,
        valid_ms: 2_000,
    });
    config
}

fn persistent(count: u32) -> StepSpec {
    StepSpec {
        persistent: true,
        ..step(count, 2_000, 500)
    }
}

/// Advances the simulation and returns the longest time that each task of a job did not run.
fn longest_gaps(world: &mut CellWorld, job: u64, ms: Millis) -> BTreeMap<TaskId, Millis> {
    let mut last_run: BTreeMap<TaskId, Millis> = BTreeMap::new();
    let mut gaps: BTreeMap<TaskId, Millis> = BTreeMap::new();
    let end = world.now + ms;
    while world.now < end {
        world.run(10);
        for executor in world.executors.values() {
            let tasks = executor.running.keys();
            for task in tasks.filter(|t| t.step.job == JobId(job)) {
                last_run.insert(*task, world.now);
            }
        }
        for (task, at) in &last_run {
            let gap = gaps.entry(*task).or_default();
            *gap = (*gap).max(world.now - at);
        }
    }
    gaps
}

fn assert_sound(world: &CellWorld) {
    assert_eq!(world.violations, Vec::<String>::new());
}

fn tail(world: &CellWorld) -> &[String] {
    &world.log[world.log.len().saturating_sub(80)..]
}

/// Guards against waiting for the end of a lease where the exit was announced.
#[test]
fn a_persistent_task_does_not_wait_for_the_lease_of_an_executor_that_announced_its_exit() {
    for seed in 0..4 {
        let mut world = world_with_config(seed, 12, config_with_advice());
        world.advised_percent = 50;
        world.submit(job(1, "patient", vec![persistent(4)]));
        world.run(5_000);
        for i in 0..6 {
            world.drain(&format!("e{i}"), NOTICE_MS);
            world.add_executor(&format!("f{i}"), "pool", "r9", capacity());
            let gaps = longest_gaps(&mut world, 1, 500);
            assert!(gaps.values().all(|g| *g <= MAX_GAP_MS), "{gaps:?}");
        }
        let gaps = longest_gaps(&mut world, 1, 20_000);
        assert_eq!(gaps.len(), 4, "seed {seed}: {:#?}", tail(&world));
        let longest = gaps.values().max().copied().unwrap_or(0);
        assert!(longest <= MAX_GAP_MS, "seed {seed}: {:#?}", tail(&world));
        assert_sound(&world);
    }
}

/// Guards against losing a run, and a lease's time, on an executor whose exit is known.
#[test]
fn a_run_that_cannot_end_before_an_announced_exit_is_stopped_and_starts_elsewhere() {
    let mut world = world(1, 3);
    world.submit(job(1, "patient", vec![step(1, 7_000, 60_000)]));
    world.run(2_000);
    let host = host_of(&world, 1);
    world.drain(&host, NOTICE_MS);
    world.run(NOTICE_MS);
    assert!(was_stopped(&world), "{:#?}", tail(&world));
    world.run(1_000);
    assert_ne!(host_of(&world, 1), "", "{:#?}", tail(&world));
    assert_sound(&world);
}

/// Guards against stopping work that ends in time.
#[test]
fn a_run_that_ends_before_an_announced_exit_is_left_alone() {
    let mut world = world(1, 3);
    world.submit(job(1, "patient", vec![step(1, 7_000, 6_500)]));
    world.run(2_000);
    let host = host_of(&world, 1);
    world.drain(&host, NOTICE_MS);
    world.run(NOTICE_MS);
    assert_eq!(world.executors[&*host].ever_done.len(), 1);
    assert!(!was_stopped(&world));
    assert_sound(&world);
}

fn was_stopped(world: &CellWorld) -> bool {
    world.log.iter().any(|l| l.contains("end=Stopped"))
}

fn running(world: &CellWorld) -> usize {
    world.executors.values().map(|e| e.running.len()).sum()
}

/// Guards against stopping two persistent tasks in successive rounds for the same free capacity.
#[test]
fn a_second_task_is_not_stopped_for_capacity_that_a_move_already_uses() {
    let mut world = world(1, 2);
    let wide = || StepSpec {
        need: need(7_000),
        ..persistent(1)
    };
    world.submit(job(1, "patient", vec![wide()]));
    world.submit(job(2, "patient", vec![wide()]));
    world.run(2_000);
    world.add_executor("f0", "pool", "r9", capacity());
    world.run(1_000);
    assert_eq!(running(&world), 2, "{:#?}", tail(&world));
    world.drain("e0", 10_000);
    world.drain("e1", 10_000);
    world.run(3_000);
    assert_eq!(running(&world), 2, "{:#?}", tail(&world));
    assert_sound(&world);
}

/// Guards against ignoring an exit that was announced before the owner first saw the executor.
#[test]
fn an_exit_announced_before_a_takeover_without_a_roster_is_used() {
    let mut world = world(1, 3);
    world.submit(job(1, "patient", vec![step(1, 7_000, 60_000)]));
    world.run(2_000);
    let host = host_of(&world, 1);
    world.drain(&host, 20_000);
    world.roster_unreadable = true;
    world.replace_owner();
    world.run(19_990);
    assert!(was_stopped(&world), "{:#?}", tail(&world));
    assert_sound(&world);
}

/// Has the executor of a task that outlasts it announce its exit; its entry is written for the last time
/// `LAST_REPORT_MS` before that.
fn world_with_departure(announced: bool) -> CellWorld {
    let mut world = world(1, 3);
    world.submit(job(1, "patient", vec![step(1, 7_000, 60_000)]));
    world.run(2_000);
    let host = host_of(&world, 1);
    world.watch_interrupted = !announced;
    world.drain(&host, 2 * REPORT_INTERVAL_MS + LAST_REPORT_MS);
    world
}

/// Guards against counting the remaining time of an entry from when a new owner reads it.
#[test]
fn a_run_is_stopped_in_time_though_a_new_owner_reads_an_old_announcement() {
    for age_ms in REPORT_AGES_MS {
        let mut world = world_with_departure(true);
        world.run(2 * REPORT_INTERVAL_MS);
        world.kill_owner(age_ms);
        world.run(LAST_REPORT_MS - age_ms - 1);
        assert!(was_stopped(&world), "{age_ms}: {:#?}", tail(&world));
        assert_sound(&world);
    }
}

/// The same for an owner whose watch of the list was interrupted.
#[test]
fn a_run_is_stopped_in_time_though_the_owner_reads_an_old_announcement_in_a_whole_list() {
    for age_ms in REPORT_AGES_MS {
        let mut world = world_with_departure(false);
        world.run(2 * REPORT_INTERVAL_MS + age_ms);
        world.relist();
        world.run(LAST_REPORT_MS - age_ms - 1);
        assert!(was_stopped(&world), "{age_ms}: {:#?}", tail(&world));
        assert_sound(&world);
    }
}

/// Guards against estimating the rest of a run by the time since its adoption.
#[test]
fn an_adopted_run_that_cannot_end_before_an_announced_exit_is_stopped_in_time() {
    let mut world = world(1, 3);
    world.submit(job(1, "patient", vec![step(1, 7_000, 20_000)]));
    world.run(16_000);
    world.replace_owner();
    let host = host_of(&world, 1);
    world.drain(&host, 3_000);
    world.run(2_500);
    assert!(was_stopped(&world), "{:#?}", tail(&world));
    assert_sound(&world);
}

/// Guards against the progress of a gang that resumed from a checkpoint and counts as made since its start:
/// only the first member keeps the checkpoint.
#[test]
fn no_member_of_a_resumed_gang_starts_from_nothing() {
    let mut world = world(1, 0);
    let gang = StepSpec {
        gang: true,
        checkpoints: true,
        ..step(2, 7_000, 20_000)
    };
    world.submit(job(1, "patient", vec![gang]));
    let saved = TaskProgress {
        index: 0,
        checkpoint: Arc::from("c"),
        failed_runs: Vec::new(),
    };
    let progress = JobProgress {
        steps: vec![StepProgress {
            occurrence: 0,
            step: 0,
            done: IndexSet::default(),
            tasks: vec![saved],
        }],
        ..JobProgress::default()
    };
    world.records.progress.insert(JobId(1), progress);
    world.replace_owner();
    for name in ["e0", "e1"] {
        world.add_executor(name, "pool", "r0", capacity());
    }
    let runs = |world: &CellWorld| -> Vec<Option<FollowedProgress>> {
        let runs = world.cell.executors.values().flat_map(|e| e.runs.values());
        runs.map(|r| r.progress).collect()
    };
    let gives_up_at = world.now + 2_000;
    while runs(&world).is_empty() && world.now < gives_up_at {
        world.run(1);
    }
    assert_eq!(runs(&world), [None, None], "{:#?}", tail(&world));
}

/// An entry bounds the exit from both sides; of several the tightest bounds hold.
#[test]
fn the_exit_is_never_expected_later_than_an_entry_says() {
    let read = |known, remaining_ms, written_after, read_at| {
        policy::earliest_exit(known, remaining_ms, written_after, read_at)
    };
    assert_eq!(read(None, 5_000, 8_300, 10_000), 13_300);
    assert_eq!(read(Some(13_300), 4_000, 10_400, 10_500), 14_400);
    assert_eq!(read(Some(14_400), 4_000, 8_800, 10_500), 14_400);
    assert_eq!(read(Some(14_400), 500, 10_400, 10_500), 11_000);
    assert_eq!(read(None, u64::MAX, 8_300, 10_000), u64::MAX);
    assert_eq!(read(None, 5_000, 12_000, 10_000), 15_000);
}

fn host_of(world: &CellWorld, id: u64) -> String {
    let runs_job = |t: &TaskId| t.step.job == JobId(id);
    let host = world
        .executors
        .values()
        .find(|e| e.running.keys().any(runs_job));
    host.map(|e| e.info.id.to_string()).unwrap_or_default()
}
