//! Tests of what a new owner starts at once, and what it must wait for, after planned and other stops
//! of the earlier one. Judged by what the executors ran, and by commands to them.

use {
    dragonflyferry::{
        core::{Millis, Resources},
        fleet::{
            CellEffect, CellEvent, ExecutorCommand, FleetConfig, JobId, JobStatus, LeaseWaits, Now,
            Schedule, StepSpec, StoreWrite, Submission, TaskId, TenantRule,
        },
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    standins::{
        CellWorld, CommitPlan, Faults,
        cell_sample::{capacity, config, job, need, step, world, world_with_config},
        cell_world::BOUNDS,
    },
    std::{collections::HashMap, ops::Range, sync::Arc},
};

/// Time in which a task must start after a claim if no executor may still run it, in ms.
const MAX_START_MS: Millis = 3_000;

/// Time after the first of several claims in which all leases of an unread executor have expired and
/// its tasks must have started, in ms.
const MAX_LEASE_WAIT_MS: Millis = 7_000;

/// Time in which a task that moves may not run, in ms.
const MAX_MOVE_MS: Millis = 500;

/// Longest simulated wait of a test for a start, in ms: longer than all leases.
const GIVE_UP_MS: Millis = 20_000;

/// Estimate of tasks that outlast every lease, in ms.
const LONG_MS: Millis = 60_000;

/// CPU of tasks that share no executor, in thousandths of a core.
const WIDE_MILLI: u32 = 7_000;

/// Unix time at the start of the simulation, in ms.
const UNIX_START_MS: Millis = 1_700_000_000_000;

/// How an owner ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stop {
    Killed,
    Planned,
}

const STOPS: [Stop; 2] = [Stop::Killed, Stop::Planned];

fn stop_owner(world: &mut CellWorld, stop: Stop) {
    match stop {
        Stop::Killed => world.replace_owner(),
        Stop::Planned => world.hand_over(),
    }
}

fn persistent(count: u32) -> StepSpec {
    StepSpec {
        persistent: true,
        ..step(count, 2_000, 500)
    }
}

fn wide_persistent() -> StepSpec {
    StepSpec {
        need: need(WIDE_MILLI),
        ..persistent(1)
    }
}

fn of_job(id: u64) -> impl Fn(&TaskId) -> bool {
    move |t| t.step.job == JobId(id)
}

/// Returns the executors that run tasks of a job.
fn hosts_of(world: &CellWorld, id: u64) -> Vec<String> {
    let executors = world.executors.values();
    let hosts = executors.filter(|e| e.running.keys().any(of_job(id)));
    hosts.map(|e| e.info.id.to_string()).collect()
}

/// Returns the first executor that runs a task of a job; empty if none does.
fn host_of(world: &CellWorld, id: u64) -> String {
    hosts_of(world, id).into_iter().next().unwrap_or_default()
}

fn runs(world: &CellWorld, id: u64) -> usize {
    let tasks = world.executors.values().flat_map(|e| e.running.keys());
    tasks.filter(|t| of_job(id)(t)).count()
}

/// Runs until so many tasks of a job run, and returns how long that took.
fn time_to_run(world: &mut CellWorld, id: u64, count: usize) -> Millis {
    let from = world.now;
    while runs(world, id) != count && world.now < from + GIVE_UP_MS {
        world.run(1);
    }
    world.now - from
}

/// Runs for `ms` and returns how long no task of a job ran.
fn time_without_run(world: &mut CellWorld, id: u64, ms: Millis) -> Millis {
    let mut idle_ms = 0;
    for _ in 0..ms {
        world.run(1);
        idle_ms += Millis::from(runs(world, id) == 0);
    }
    idle_ms
}

/// Returns an executor that runs nothing of the given jobs.
fn host_without(world: &CellWorld, jobs: &[u64]) -> String {
    let runs_none =
        |tasks: Vec<&TaskId>| !jobs.iter().any(|id| tasks.iter().any(|t| of_job(*id)(t)));
    let mut executors = world.executors.values();
    let found = executors.find(|e| runs_none(e.running.keys().collect()));
    found.map(|e| e.info.id.to_string()).expect("an executor")
}

/// Keeps the next owners from reaching an executor.
fn cut_next(world: &mut CellWorld, name: &str) {
    for token in 1..=3 {
        let link = (world.cell.token + token, Arc::from(name));
        world.cut.insert(link);
    }
}

fn set_unreachable(world: &mut CellWorld, name: &str, unreachable: bool) {
    let executor = world.executors.get_mut(name).expect("executor");
    executor.unreachable = unreachable;
}

fn fail_runs(world: &mut CellWorld, name: &str) {
    let executor = world.executors.get_mut(name).expect("executor");
    executor.fail_runs();
}

fn restart(world: &mut CellWorld, name: &str) {
    let now = world.now;
    world
        .executors
        .get_mut(name)
        .expect("executor")
        .restart(now);
}

/// Returns a world with one wide task of each job, on executors of their own.
fn world_with_jobs(seed: u64, executors: usize, steps: Vec<StepSpec>) -> CellWorld {
    let mut world = world(seed, executors);
    for (id, step) in (1..).zip(steps) {
        world.submit(job(id, "patient", vec![step]));
    }
    world.run(2_000);
    world
}

/// Returns a world with the persistent jobs 1 and 2, and the executors that run them.
fn world_with_two(seed: u64) -> (CellWorld, String, String) {
    let world = world_with_jobs(seed, 4, vec![wide_persistent(), wide_persistent()]);
    let (first, second) = (host_of(&world, 1), host_of(&world, 2));
    assert_ne!(first, second);
    (world, first, second)
}

fn tail(world: &CellWorld) -> &[String] {
    &world.log[world.log.len().saturating_sub(60)..]
}

fn assert_sound(world: &CellWorld) {
    assert_eq!(world.violations, Vec::<String>::new(), "{:#?}", tail(world));
}

fn assert_runs_within(world: &mut CellWorld, id: u64, count: usize, max_ms: Millis) {
    let took = time_to_run(world, id, count);
    assert!(
        took <= max_ms,
        "job {id} after {took} ms: {:#?}",
        tail(world)
    );
    assert_sound(world);
}

fn assert_runs_soon(world: &mut CellWorld, id: u64) {
    assert_runs_within(world, id, 1, MAX_START_MS);
}

/// Asserts that each of the jobs comes to run after the leases, and that nothing ran twice.
fn assert_recovers(world: &mut CellWorld, jobs: &[u64]) {
    world.run(MAX_LEASE_WAIT_MS);
    for id in jobs {
        assert_runs_within(world, *id, 1, MAX_START_MS);
    }
    world.run(MAX_START_MS);
    assert_sound(world);
}

/// Guards against waiting for the leases of an executor that ran nothing of the task.
#[test]
fn a_task_without_a_run_does_not_wait_for_an_executor_that_exited_around_a_planned_stop() {
    for seed in 0..4 {
        let mut world = world_with_jobs(seed, 4, vec![persistent(1)]);
        let host = host_of(&world, 1);
        let exiting = host_without(&world, &[1]);
        world.drain(&exiting, 1_500);
        world.run(1_450);
        fail_runs(&mut world, &host);
        cut_next(&mut world, &exiting);
        world.hand_over();
        assert_runs_soon(&mut world, 1);
    }
}

/// The same for a task that the earlier owner has stopped on an executor about to exit.
#[test]
fn a_task_stopped_before_a_planned_stop_starts_though_an_executor_is_unread() {
    for seed in 0..4 {
        let mut world = world_with_jobs(seed, 4, vec![persistent(1)]);
        let host = host_of(&world, 1);
        let exiting = host_without(&world, &[1]);
        cut_next(&mut world, &exiting);
        world.drain(&host, 5_000);
        time_to_run(&mut world, 1, 0);
        world.hand_over();
        assert_runs_soon(&mut world, 1);
    }
}

/// The executor that is about to exit at the planned stop runs the task itself.
#[test]
fn a_task_on_an_executor_that_exits_right_after_a_planned_stop_runs_elsewhere_in_time() {
    for left_ms in [50, 300, 700] {
        let mut world = world_with_jobs(1, 2, vec![wide_persistent()]);
        let host = host_of(&world, 1);
        let other = host_without(&world, &[1]);
        world.submit(job(2, "urgent", vec![step(1, WIDE_MILLI, 3_600)]));
        world.run(200);
        assert_eq!(host_of(&world, 2), other);
        world.drain(&host, 1_500);
        world.run(1_500 - left_ms);
        cut_next(&mut world, &host);
        world.hand_over();
        world.run(left_ms);
        assert_runs_within(&mut world, 1, 1, MAX_START_MS);
    }
}

/// Guards both ways: the task that may still run waits for its lease, the other one for nothing.
#[test]
fn only_the_tasks_of_an_unread_executor_wait_after_a_planned_stop() {
    for seed in 0..4 {
        let (mut world, host, unread) = world_with_two(seed);
        fail_runs(&mut world, &host);
        cut_next(&mut world, &unread);
        world.hand_over();
        let claimed_at = world.now;
        assert_runs_soon(&mut world, 1);
        assert_eq!(host_of(&world, 2), unread);
        time_to_run(&mut world, 2, 0);
        assert_runs_within(&mut world, 2, 1, MAX_START_MS);
        assert!(
            world.now - claimed_at <= MAX_LEASE_WAIT_MS,
            "{:#?}",
            tail(&world)
        );
    }
}

/// An executor that drains, is empty and exits while the owner is killed.
#[test]
fn nobody_waits_for_an_executor_that_drained_and_emptied_before_the_owner_was_killed() {
    for seed in 0..4 {
        let (mut world, host, exiting) = world_with_two(seed);
        world.drain(&exiting, 3_000);
        world.run(2_980);
        fail_runs(&mut world, &host);
        cut_next(&mut world, &exiting);
        world.replace_owner();
        assert_runs_soon(&mut world, 1);
        assert_runs_soon(&mut world, 2);
    }
}

/// The executor's end was read two seconds before: the record of the waits names what ran there.
#[test]
fn only_the_tasks_of_a_crashed_executor_wait_if_the_owner_is_killed_later() {
    for seed in 0..4 {
        let (mut world, host, crashed) = world_with_two(seed);
        set_unreachable(&mut world, &crashed, true);
        world.run(3_000);
        fail_runs(&mut world, &host);
        world.replace_owner();
        assert_runs_soon(&mut world, 1);
        assert_recovers(&mut world, &[1, 2]);
    }
}

/// Stops two owners in a row, the second after `second_ms`; an executor is unread by both successors.
fn stop_twice(first: Stop, second: Stop, second_ms: Millis) -> CellWorld {
    let (mut world, host, unread) = world_with_two(1);
    cut_next(&mut world, &unread);
    stop_owner(&mut world, first);
    world.run(second_ms);
    let host = match host_of(&world, 1) {
        moved if moved.is_empty() => host,
        moved => moved,
    };
    fail_runs(&mut world, &host);
    stop_owner(&mut world, second);
    world
}

#[test]
fn two_planned_stops_in_a_row_pass_on_what_the_first_owner_knew() {
    for second_ms in [20, 300, 2_000] {
        let mut world = stop_twice(Stop::Planned, Stop::Planned, second_ms);
        assert_runs_soon(&mut world, 1);
        assert_recovers(&mut world, &[1, 2]);
    }
}

#[test]
fn an_owner_killed_after_a_planned_stop_has_passed_on_what_it_was_told() {
    let mut world = stop_twice(Stop::Planned, Stop::Killed, 2_500);
    assert_runs_soon(&mut world, 1);
    assert_recovers(&mut world, &[1, 2]);
}

/// The second owner may stop before it wrote or read anything.
#[test]
fn two_stops_in_a_row_cause_no_second_run() {
    for first in STOPS {
        for second in STOPS {
            for second_ms in [1, 3, 5, 20, 300, 1_500, 2_500] {
                let mut world = stop_twice(first, second, second_ms);
                assert_recovers(&mut world, &[1, 2]);
            }
        }
    }
}

/// The second owner does not know what runs on the unread executor, but since when it may not.
#[test]
fn a_planned_stop_after_a_kill_does_not_begin_the_wait_anew() {
    let mut world = stop_twice(Stop::Killed, Stop::Planned, 900);
    let waited_ms = 900;
    assert_runs_within(&mut world, 1, 1, MAX_LEASE_WAIT_MS - waited_ms);
    assert_recovers(&mut world, &[1, 2]);
}

#[test]
fn batch_tasks_do_not_wait_for_an_unread_executor_that_ran_none_of_them() {
    let batch = step(1, WIDE_MILLI, LONG_MS);
    let mut world = world_with_jobs(1, 4, vec![batch.clone(), batch]);
    let (host, unread) = (host_of(&world, 1), host_of(&world, 2));
    assert_ne!(host, unread);
    fail_runs(&mut world, &host);
    cut_next(&mut world, &unread);
    world.hand_over();
    assert_runs_soon(&mut world, 1);
    assert_recovers(&mut world, &[1, 2]);
}

/// The step's dependency runs on an executor that is read.
#[test]
fn a_step_that_never_ran_does_not_wait_for_an_unread_executor() {
    let mut world = world_with_jobs(1, 3, vec![wide_persistent()]);
    let unread = host_of(&world, 1);
    let second = StepSpec {
        depends_on: vec![0],
        ..step(1, 1_000, LONG_MS)
    };
    world.submit(job(2, "patient", vec![step(1, 2_000, 600), second]));
    world.run(400);
    assert_eq!(runs(&world, 2), 1);
    cut_next(&mut world, &unread);
    world.hand_over();
    world.run(MAX_START_MS);
    let steps = world.executors.values().flat_map(|e| e.running.keys());
    let started = steps.filter(|t| of_job(2)(t) && t.step.step == 1).count();
    assert_eq!(started, 1, "{:#?}", tail(&world));
    assert_sound(&world);
}

#[test]
fn a_gang_does_not_wait_for_an_unread_executor_that_ran_no_member() {
    let gang = StepSpec {
        gang: true,
        ..step(2, WIDE_MILLI, LONG_MS)
    };
    let mut world = world_with_jobs(1, 5, vec![gang, wide_persistent()]);
    assert_eq!(runs(&world, 1), 2);
    let unread = host_of(&world, 2);
    for host in hosts_of(&world, 1) {
        fail_runs(&mut world, &host);
    }
    cut_next(&mut world, &unread);
    world.hand_over();
    assert_runs_within(&mut world, 1, 2, MAX_START_MS);
    assert_recovers(&mut world, &[2]);
}

/// Guards against a second run of a member.
#[test]
fn a_gang_waits_for_the_unread_executors_that_run_its_members() {
    for stop in STOPS {
        let gang = StepSpec {
            gang: true,
            ..step(2, WIDE_MILLI, LONG_MS)
        };
        let mut world = world_with_jobs(1, 5, vec![gang]);
        for unread in hosts_of(&world, 1) {
            cut_next(&mut world, &unread);
        }
        stop_owner(&mut world, stop);
        world.run(MAX_LEASE_WAIT_MS);
        assert_runs_within(&mut world, 1, 2, MAX_START_MS);
        world.run(MAX_START_MS);
        assert_sound(&world);
    }
}

fn config_with_cap(cpu_milli: u32) -> FleetConfig {
    let mut config = config();
    let cap = Resources {
        memory_mib: 0,
        ..need(cpu_milli)
    };
    let rule = TenantRule { weight: 100, cap };
    config.tenants.insert(Arc::from("t"), rule);
    config
}

/// Returns a job of the tenant `t` with tasks of one core.
fn tenant_job(id: u64, count: u32) -> Submission {
    Submission {
        tenant: Some(Arc::from("t")),
        ..job(id, "patient", vec![step(count, 1_000, LONG_MS)])
    }
}

/// Three of four tasks that the tenant may run are on the unread executor.
#[test]
fn a_cap_counts_what_may_run_on_an_unread_executor_after_a_planned_stop() {
    let mut world = world_with_config(1, 3, config_with_cap(4_000));
    world.submit(tenant_job(1, 3));
    world.run(1_000);
    let unread = host_of(&world, 1);
    assert_eq!(world.executors[&*unread].running.len(), 3);
    cut_next(&mut world, &unread);
    world.hand_over();
    world.submit(tenant_job(2, 8));
    world.run(MAX_START_MS);
    assert_eq!(runs(&world, 2), 1, "{:#?}", tail(&world));
    world.run(GIVE_UP_MS);
    assert_sound(&world);
}

/// Nothing is known of the unread executor: it counts with its capacity, as it may be full.
#[test]
fn a_cap_holds_while_an_executor_is_unread_after_any_stop() {
    for stop in STOPS {
        let mut world = world_with_config(1, 3, config_with_cap(8_000));
        world.submit(tenant_job(1, 8));
        world.run(1_000);
        let unread = host_of(&world, 1);
        cut_next(&mut world, &unread);
        stop_owner(&mut world, stop);
        world.submit(tenant_job(2, 8));
        world.run(MAX_START_MS);
        assert_eq!(runs(&world, 2), 0, "{:#?}", tail(&world));
        world.run(GIVE_UP_MS);
        assert_sound(&world);
    }
}

#[test]
fn a_task_moves_off_a_draining_executor_though_another_one_is_unread() {
    for drains_first in [false, true] {
        let (mut world, host, unread) = world_with_two(1);
        cut_next(&mut world, &unread);
        if drains_first {
            world.drain(&host, 5_000);
            world.hand_over();
        } else {
            world.hand_over();
            world.drain(&host, 5_000);
        }
        world.run(4_200);
        let moved = host_of(&world, 1);
        assert!(!moved.is_empty() && moved != host, "{:#?}", tail(&world));
        assert_recovers(&mut world, &[1, 2]);
    }
}

/// The run of the task was found, so it cannot run on the unread executor too.
#[test]
fn a_task_whose_run_was_found_moves_though_an_executor_is_unread_after_a_kill() {
    for drains_first in [false, true] {
        let (mut world, host, unread) = world_with_two(1);
        cut_next(&mut world, &unread);
        if drains_first {
            world.drain(&host, 5_000);
            world.run(100);
        }
        world.replace_owner();
        if !drains_first {
            world.drain(&host, 5_000);
        }
        let took = time_without_run(&mut world, 1, 6_000);
        assert!(took <= MAX_MOVE_MS, "{took} ms: {:#?}", tail(&world));
        assert_recovers(&mut world, &[1, 2]);
    }
}

/// The same for a run that ends as failed or is stopped after it was found.
#[test]
fn a_task_whose_run_was_found_starts_again_though_an_executor_is_unread_after_a_kill() {
    for seed in 0..4 {
        let (mut world, host, unread) = world_with_two(seed);
        cut_next(&mut world, &unread);
        world.replace_owner();
        world.run(200);
        fail_runs(&mut world, &host);
        assert_runs_soon(&mut world, 1);
        assert_recovers(&mut world, &[1, 2]);
    }
}

/// An executor with runs exits by plan before the next owner reads it. What may run there was written
/// when it began to drain.
#[test]
fn only_the_tasks_of_an_executor_that_drained_wait_if_the_owner_is_killed() {
    for left_ms in [2_500, 1_000, 50] {
        let steps = vec![step(1, WIDE_MILLI, LONG_MS), wide_persistent()];
        let mut world = world_with_jobs(1, 4, steps);
        let (leaving, host) = (host_of(&world, 1), host_of(&world, 2));
        cut_next(&mut world, &leaving);
        world.drain(&leaving, 5_000);
        world.run(5_000 - left_ms);
        world.replace_owner();
        fail_runs(&mut world, &host);
        assert_runs_soon(&mut world, 2);
        assert_recovers(&mut world, &[1, 2]);
    }
}

/// A start command of the earlier owner is carried out seconds after the claim.
#[test]
fn a_late_start_of_the_earlier_owner_causes_no_second_run() {
    for seed in 0..12 {
        for stop in STOPS {
            let mut world = world(seed, 1);
            world.faults.late_commands = 1_000;
            world.submit(job(1, "urgent", vec![step(1, 1_000, LONG_MS)]));
            world.submit(job(2, "urgent", vec![step(1, 1_000, 300)]));
            world.run(20);
            world.faults.late_commands = 0;
            world.add_executor("other", "pool", "r9", capacity());
            cut_next(&mut world, "e0");
            stop_owner(&mut world, stop);
            world.run(GIVE_UP_MS);
            assert_sound(&world);
            assert_eq!(runs(&world, 1), 1, "seed {seed}: {:#?}", tail(&world));
        }
    }
}

/// The same where every other call of the earlier owner fails while it hands over.
#[test]
fn commands_that_fail_during_a_planned_stop_cause_no_second_run() {
    for seed in 0..12 {
        let (mut world, host, unread) = world_with_two(seed);
        world.faults = Faults {
            late_commands: 300,
            lost_replies: 300,
            ..Faults::default()
        };
        world.submit(job(3, "urgent", vec![step(6, 1_000, 700)]));
        world.drain(&host, 1_000);
        world.run(100 + seed * 30);
        cut_next(&mut world, &unread);
        world.hand_over();
        world.faults = Faults::default();
        world.run(GIVE_UP_MS);
        assert_sound(&world);
        assert_eq!(
            (runs(&world, 1), runs(&world, 2)),
            (1, 1),
            "{:#?}",
            tail(&world)
        );
    }
}

/// Plans the next commits of the owner, all alike.
fn plan_commits(world: &mut CellWorld, carried_out_after: Option<Millis>, result_after: Millis) {
    let plan = CommitPlan {
        carried_out_after,
        result_after,
        ok: false,
    };
    world.commit_plans.extend([plan; 4]);
}

/// The record of a planned stop is refused, lost, late, or written without a reply.
#[test]
fn a_planned_stop_whose_commits_fail_causes_no_second_run() {
    for (carried_out_after, result_after) in [
        (None, 4),
        (None, 600),
        (None, 5_000),
        (Some(20), 600),
        (Some(20), 5_000),
        (Some(1_000), 600),
        (Some(3_000), 600),
    ] {
        let (mut world, host, unread) = world_with_two(1);
        world.submit(job(3, "urgent", vec![step(4, 1_000, 250)]));
        world.run(100);
        plan_commits(&mut world, carried_out_after, result_after);
        world.drain(&host, 1_500);
        cut_next(&mut world, &unread);
        world.hand_over();
        world.commit_plans.clear();
        assert_recovers(&mut world, &[1, 2]);
        assert_eq!(world.job_status(JobId(3)), Some(JobStatus::Completed));
    }
}

/// The same with a store that is down, also for the next owner.
#[test]
fn a_planned_stop_while_the_store_is_down_causes_no_second_run() {
    let (mut world, host, unread) = world_with_two(1);
    world.submit(job(3, "urgent", vec![step(4, 1_000, 250)]));
    world.run(100);
    world.store_up = false;
    world.run(300);
    cut_next(&mut world, &unread);
    fail_runs(&mut world, &host);
    world.hand_over();
    world.run(1_000);
    world.store_up = true;
    assert_recovers(&mut world, &[1, 2]);
    assert_eq!(world.job_status(JobId(3)), Some(JobStatus::Completed));
}

/// The first owner lives on, and only it reaches an executor.
#[test]
fn a_planned_stop_beside_an_earlier_owner_that_lives_on_causes_no_second_run() {
    for seed in 0..6 {
        let mut world = world_with_jobs(seed, 3, vec![wide_persistent()]);
        let host = host_of(&world, 1);
        world.faults.late_commands = 300;
        world.submit(job(2, "urgent", vec![step(4, 1_000, LONG_MS)]));
        world.run(20);
        world.faults.late_commands = 0;
        for name in ["e0", "e1"].into_iter().chain([&*host]) {
            cut_next(&mut world, name);
        }
        world.add_owner();
        world.run(seed * 400);
        world.hand_over();
        world.run(seed * 200);
        world.stop_former_owners();
        world.run(MAX_LEASE_WAIT_MS);
        world.cut.clear();
        assert_recovers(&mut world, &[1]);
        assert_runs_within(&mut world, 2, 4, MAX_START_MS);
        world.run(MAX_START_MS);
        assert_sound(&world);
    }
}

/// Drains `e0` and makes it ready again after `ready_after`; its work since then must count when the
/// owner ends `stop_after` after the start of a task there.
fn use_drained_again(ready_after: Millis, stop_after: Millis, restarts: bool, stop: Stop) {
    let world = world(1, 1);
    use_leaving_again(world, ready_after, stop_after, restarts, stop);
}

fn use_leaving_again(
    mut world: CellWorld,
    ready_after: Millis,
    stop_after: Millis,
    restarts: bool,
    stop: Stop,
) {
    world.drain("e0", 60_000);
    world.run(ready_after);
    if restarts {
        restart(&mut world, "e0");
    }
    world.set_ready("e0");
    world.submit(job(1, "urgent", vec![step(1, WIDE_MILLI, LONG_MS)]));
    world.submit(job(2, "urgent", vec![step(1, 1_000, 300)]));
    time_to_run(&mut world, 1, 1);
    world.run(stop_after);
    world.commit_plans.clear();
    world.add_executor("other", "pool", "r9", capacity());
    cut_next(&mut world, "e0");
    stop_owner(&mut world, stop);
    world.run(GIVE_UP_MS);
    assert_sound(&world);
    assert_eq!(runs(&world, 1), 1, "{:#?}", tail(&world));
}

/// Returns a world whose executor has a run when it begins to drain, so that the store names it.
fn world_with_busy_executor() -> CellWorld {
    let mut world = world(1, 1);
    world.submit(job(3, "urgent", vec![step(1, 500, LONG_MS)]));
    world.run(500);
    world
}

#[test]
fn new_work_on_an_executor_that_was_leaving_is_waited_for() {
    for ready_after in [5, 60, 200, 1_500] {
        for stop_after in [0, 10, 400] {
            for stop in STOPS {
                for restarts in [false, true] {
                    let world = world_with_busy_executor();
                    use_leaving_again(world, ready_after, stop_after, restarts, stop);
                }
            }
        }
    }
}

/// The same with commits that are late or have no reply, or both.
#[test]
fn new_work_on_an_executor_that_was_leaving_is_waited_for_though_commits_fail() {
    for (carried_out_after, result_after) in [(None, 600), (Some(20), 600), (Some(900), 1_000)] {
        for ready_after in [20, 200, 700, 2_500] {
            for stop_after in [0, 300, 1_200] {
                let mut world = world_with_busy_executor();
                plan_commits(&mut world, carried_out_after, result_after);
                use_leaving_again(world, ready_after, stop_after, false, Stop::Killed);
            }
        }
    }
}

/// A run whose start had no reply when its executor began to drain may be there.
#[test]
fn a_late_start_on_a_leaving_executor_is_waited_for() {
    for seed in 0..8 {
        let mut world = world(seed, 2);
        world.submit(job(
            1,
            "urgent",
            vec![step(1, 500, LONG_MS), step(1, 500, LONG_MS)],
        ));
        world.run(500);
        world.faults.late_commands = 1_000;
        world.submit(job(2, "urgent", vec![step(4, 1_000, LONG_MS)]));
        world.run(100);
        world.faults.late_commands = 0;
        for name in ["e0", "e1"] {
            world.drain(name, 60_000);
            cut_next(&mut world, name);
        }
        world.run(300 * seed);
        for name in ["f0", "f1"] {
            world.add_executor(name, "pool", "r9", capacity());
        }
        world.kill_owner(300);
        world.run(GIVE_UP_MS);
        assert_sound(&world);
        assert_eq!(runs(&world, 2), 4, "{:#?}", tail(&world));
    }
}

#[test]
fn the_work_of_an_executor_that_drained_and_is_ready_again_is_waited_for() {
    for ready_after in [5, 60, 200, 1_500] {
        for stop_after in [0, 10, 400] {
            for stop in STOPS {
                use_drained_again(ready_after, stop_after, false, stop);
            }
        }
    }
}

#[test]
fn the_work_of_an_executor_that_started_anew_under_its_id_is_waited_for() {
    for ready_after in [5, 60, 1_500] {
        for stop in STOPS {
            use_drained_again(ready_after, 10, true, stop);
        }
    }
}

/// The commits since the executor drained are late or have no reply, or both.
#[test]
fn late_commits_of_the_roster_do_not_hide_an_executor_that_is_ready_again() {
    for (carried_out_after, result_after) in [(None, 600), (Some(20), 600), (Some(900), 1_000)] {
        for ready_after in [20, 200, 700] {
            for stop_after in [0, 300, 1_200] {
                let mut world = world(1, 1);
                plan_commits(&mut world, carried_out_after, result_after);
                world.drain("e0", 60_000);
                world.run(ready_after);
                world.set_ready("e0");
                world.submit(job(1, "urgent", vec![step(1, WIDE_MILLI, LONG_MS)]));
                time_to_run(&mut world, 1, 1);
                world.run(stop_after);
                world.commit_plans.clear();
                world.add_executor("other", "pool", "r9", capacity());
                cut_next(&mut world, "e0");
                world.replace_owner();
                world.run(GIVE_UP_MS);
                assert_sound(&world);
                assert_eq!(runs(&world, 1), 1, "{:#?}", tail(&world));
            }
        }
    }
}

/// Ends that were read but are not durable while the executor drains: it must stay known.
#[test]
fn a_drained_executor_with_an_end_that_is_not_durable_is_waited_for() {
    for stop in STOPS {
        let mut world = world(1, 1);
        world.submit(job(1, "urgent", vec![step(1, 1_000, 500)]));
        world.run(300);
        world.drain("e0", 2_000);
        world.run(100);
        world.refused_progress.insert(JobId(1));
        plan_commits(&mut world, None, 300);
        world.run(700);
        world.commit_plans.clear();
        world.add_executor("other", "pool", "r9", capacity());
        cut_next(&mut world, "e0");
        stop_owner(&mut world, stop);
        world.run(4_000);
        assert_sound(&world);
        assert_eq!(runs(&world, 1), 0);
    }
}

/// Ends a task on `e0`, whose end `lose_end` keeps from becoming durable, and stops the owner.
fn stop_with_open_end(steps: &[StepSpec], lose_end: impl Fn(&mut CellWorld)) {
    for stop in STOPS {
        let mut world = world(1, 1);
        world.submit(job(1, "urgent", steps.to_vec()));
        world.run(200);
        lose_end(&mut world);
        world.run(600);
        set_unreachable(&mut world, "e0", true);
        world.add_executor("other", "pool", "r9", capacity());
        stop_owner(&mut world, stop);
        world.store_up = true;
        world.commit_plans.clear();
        world.run(GIVE_UP_MS);
        assert_sound(&world);
    }
}

#[test]
fn a_done_task_whose_end_the_store_did_not_take_is_not_started_again() {
    stop_with_open_end(&[step(1, 1_000, 500)], |world| world.store_up = false);
}

#[test]
fn a_done_task_whose_end_had_no_reply_is_not_started_again() {
    for (carried_out_after, result_after) in [(None, 300), (Some(5), 300), (Some(5), 3_000)] {
        stop_with_open_end(&[step(1, 1_000, 500)], |world| {
            plan_commits(world, carried_out_after, result_after);
        });
    }
}

/// Only the job's own record is refused; that of the planned stop is written.
#[test]
fn a_done_task_whose_progress_is_refused_is_not_started_again() {
    let second = StepSpec {
        depends_on: vec![0],
        ..step(1, 1_000, LONG_MS)
    };
    stop_with_open_end(&[step(2, 1_000, 500), second], |world| {
        world.refused_progress.insert(JobId(1));
    });
}

/// Takes over with an owner that does not know job 1 and cannot read it; its commits succeed.
fn replace_owner_without_job(world: &mut CellWorld) {
    world.unread_jobs.insert(JobId(1));
    world.store_up = false;
    let plan = CommitPlan {
        carried_out_after: Some(1),
        result_after: 4,
        ok: true,
    };
    world.commit_plans.extend([plan; 40]);
    world.replace_owner();
    world.unread_jobs.clear();
}

/// The owner that stops as planned knows the task of a run, but not its job.
#[test]
fn a_run_of_a_job_that_the_earlier_owner_did_not_know_is_waited_for() {
    for stop in STOPS {
        let mut world = world_with_jobs(1, 3, vec![wide_persistent()]);
        let host = host_of(&world, 1);
        replace_owner_without_job(&mut world);
        world.run(500);
        cut_next(&mut world, &host);
        stop_owner(&mut world, stop);
        world.commit_plans.clear();
        world.store_up = true;
        assert_recovers(&mut world, &[1]);
    }
}

/// The same for the end of a done task.
#[test]
fn an_end_of_a_job_that_the_earlier_owner_did_not_know_is_not_lost() {
    for stop in STOPS {
        let mut world = world(1, 2);
        world.submit(job(1, "urgent", vec![step(1, 1_000, 600)]));
        world.run(200);
        let host = host_of(&world, 1);
        replace_owner_without_job(&mut world);
        world.run(700);
        cut_next(&mut world, &host);
        stop_owner(&mut world, stop);
        world.commit_plans.clear();
        world.store_up = true;
        world.run(GIVE_UP_MS);
        assert_sound(&world);
    }
}

/// One reply lists 500 ends; the others have not been read at the planned stop.
#[test]
fn ends_beyond_those_of_one_reply_are_waited_for() {
    for after_ms in [2, 200] {
        for stop in STOPS {
            let mut world = world(1, 1);
            let small = StepSpec {
                need: Resources {
                    memory_mib: 1,
                    ..need(10)
                },
                ..step(600, 10, 500)
            };
            world.submit(job(1, "urgent", vec![small]));
            world.run(300);
            world.refused_progress.insert(JobId(1));
            time_to_run(&mut world, 1, 0);
            world.run(after_ms);
            world.add_executor("other", "pool", "r9", capacity());
            cut_next(&mut world, "e0");
            stop_owner(&mut world, stop);
            world.refused_progress.clear();
            world.run(GIVE_UP_MS);
            assert_sound(&world);
        }
    }
}

/// The record in the store still names the executor as one without new work, or may do so.
#[test]
fn new_work_on_an_executor_that_replies_again_is_waited_for() {
    for plan in [
        None,
        Some((None, 300)),
        Some((Some(20), 600)),
        Some((Some(800), 900)),
    ] {
        for first in STOPS {
            for second in STOPS {
                let mut world = world_with_jobs(1, 2, vec![wide_persistent(), wide_persistent()]);
                let unread = host_of(&world, 2);
                cut_next(&mut world, &unread);
                stop_owner(&mut world, first);
                // Fills the other executor.
                world.submit(job(3, "urgent", vec![step(1, 1_000, LONG_MS)]));
                world.run(2_300);
                if let Some((carried_out_after, result_after)) = plan {
                    plan_commits(&mut world, carried_out_after, result_after);
                }
                world.cut.clear();
                world.submit(job(4, "urgent", vec![step(1, 1_000, LONG_MS)]));
                time_to_run(&mut world, 4, 1);
                assert_eq!(host_of(&world, 4), unread);
                world.commit_plans.clear();
                world.add_executor("other", "pool", "r9", capacity());
                cut_next(&mut world, &unread);
                stop_owner(&mut world, second);
                world.run(MAX_LEASE_WAIT_MS);
                world.cut.clear();
                world.run(MAX_START_MS);
                assert_sound(&world);
            }
        }
    }
}

/// An executor loses its connection once more after it was read.
#[test]
fn an_executor_that_is_lost_again_holds_up_what_it_ran_last() {
    let (mut world, host, unread) = world_with_two(1);
    cut_next(&mut world, &unread);
    world.hand_over();
    world.run(1_500);
    world.cut.clear();
    world.run(2_000);
    world.submit(job(3, "urgent", vec![step(3, 1_000, LONG_MS)]));
    world.run(500);
    set_unreachable(&mut world, &unread, true);
    world.run(2_000);
    fail_runs(&mut world, &host);
    world.replace_owner();
    assert_runs_soon(&mut world, 1);
    assert_recovers(&mut world, &[1, 2]);
    assert_runs_within(&mut world, 3, 3, MAX_START_MS);
}

#[test]
fn an_occurrence_that_falls_due_after_a_planned_stop_does_not_wait() {
    let mut world = world_with_jobs(1, 3, vec![wide_persistent()]);
    let unread = host_of(&world, 1);
    let mut repeated = job(2, "urgent", vec![step(1, 1_000, 300)]);
    repeated.spec.schedule = Some(Schedule {
        count: 2,
        start_unix_ms: UNIX_START_MS + world.now + 100,
        interval_ms: 1_200,
    });
    world.submit(repeated);
    world.run(800);
    assert_eq!(runs(&world, 2), 0);
    cut_next(&mut world, &unread);
    world.hand_over();
    world.run(2_500);
    assert_eq!(
        world.job_status(JobId(2)),
        Some(JobStatus::Completed),
        "{:#?}",
        tail(&world)
    );
    assert_sound(&world);
}

/// The list of ends was cut, and none of them could be acknowledged.
#[test]
fn a_task_started_on_an_executor_that_was_read_in_part_is_waited_for() {
    let mut world = world(1, 1);
    let small = StepSpec {
        need: Resources {
            memory_mib: 1,
            ..need(10)
        },
        ..step(512, 10, 700)
    };
    world.submit(job(1, "urgent", vec![small]));
    world.run(400);
    assert_eq!(runs(&world, 1), 512);
    set_unreachable(&mut world, "e0", true);
    world.hand_over();
    world.run(550);
    for _ in 0..40 {
        plan_commits(&mut world, None, 100);
    }
    set_unreachable(&mut world, "e0", false);
    world.submit(job(2, "urgent", vec![step(1, 1_000, LONG_MS)]));
    world.run(700);
    assert_eq!(host_of(&world, 2), "e0");
    world.add_executor("other", "pool", "r9", capacity());
    cut_next(&mut world, "e0");
    world.commit_plans.clear();
    world.hand_over();
    world.run(GIVE_UP_MS);
    assert_sound(&world);
}

/// The owner that could not read the roster has written a new one, which does not name the executor.
#[test]
fn an_executor_of_a_roster_that_was_not_readable_is_waited_for_by_the_next_owner_too() {
    for stop in STOPS {
        let mut world = world_with_jobs(1, 3, vec![wide_persistent()]);
        let host = host_of(&world, 1);
        world.set_listed(&host, false);
        cut_next(&mut world, &host);
        world.records.roster.clear();
        world.roster_unreadable = true;
        world.replace_owner();
        world.run(1_000);
        world.roster_unreadable = world.records.roster.is_empty();
        stop_owner(&mut world, stop);
        world.run(GIVE_UP_MS);
        assert_sound(&world);
    }
}

/// One member runs on, the other was on the unread executor: all start anew after its lease.
#[test]
fn a_gang_that_lost_a_member_with_an_unread_executor_starts_anew() {
    for stop in STOPS {
        let gang = StepSpec {
            gang: true,
            ..step(2, WIDE_MILLI, LONG_MS)
        };
        let mut world = world_with_jobs(1, 5, vec![gang]);
        let unread = host_of(&world, 1);
        cut_next(&mut world, &unread);
        stop_owner(&mut world, stop);
        world.run(MAX_LEASE_WAIT_MS);
        assert_runs_within(&mut world, 1, 2, MAX_START_MS);
    }
}

/// Work arrives, and time passes, once the record is under way: its next reader relies on the silence.
#[test]
fn an_owner_that_hands_over_starts_and_renews_nothing_after_its_record() {
    let (mut world, ..) = world_with_two(1);
    let first_ms = world.now;
    let mut recorded = false;
    world.cell.step(CellEvent::HandOver, now_at(first_ms));
    let submission = Box::new(job(3, "urgent", vec![step(1, 1_000, 300)]));
    world
        .cell
        .step(CellEvent::Submitted(submission), now_at(first_ms));
    for ms in first_ms..first_ms + 3_000 {
        world.cell.step(CellEvent::Tick, now_at(ms));
        world.cell.plan(now_at(ms));
        for effect in world.cell.take_effects() {
            match effect {
                CellEffect::Commit { call, writes } => {
                    let waits = |w: &StoreWrite| matches!(w, StoreWrite::LeaseWaits(_));
                    recorded |= writes.iter().any(waits);
                    let result = CellEvent::CommitResult { call, ok: true };
                    world.cell.step(result, now_at(ms));
                }
                CellEffect::Command { command, .. } => {
                    let starts = matches!(command, ExecutorCommand::Start(_));
                    assert!(!starts && !recorded, "at {ms}: {command:?}");
                }
                _ => {}
            }
        }
    }
    assert!(recorded);
}

fn now_at(mono: Millis) -> Now {
    Now {
        mono,
        unix: UNIX_START_MS + mono,
    }
}

/// Returns what an earlier version would read and write of a record.
fn as_earlier_version(waits: &LeaseWaits) -> LeaseWaits {
    let fields = (waits.token, waits.waited.clone());
    let record = postcard::to_stdvec(&fields).expect("record");
    postcard::from_bytes(&record).expect("waits")
}

/// What every version reads of a record of waits: token, and executors with the time waited.
type EarlierFields = (u64, Vec<(Arc<str>, Millis)>);

/// The fields that versions before know come first, and they ignore the rest.
#[test]
fn an_earlier_version_reads_a_record_that_names_leaving_executors() {
    let mut world = world_with_busy_executor();
    world.drain("e0", 60_000);
    world.run(300);
    let waits = world.records.lease_waits.clone().expect("record");
    assert_eq!(waits.leaving.len(), 1);
    let record = waits.encode().expect("record");
    assert!(record.len() <= waits.max_bytes());
    assert_eq!(LeaseWaits::decode(&record).expect("waits"), waits);
    let (fields, rest): (EarlierFields, _) = postcard::take_from_bytes(&record).expect("fields");
    assert_eq!(fields, (waits.token, waits.waited));
    let runs: Vec<Option<Vec<TaskId>>> = postcard::from_bytes(rest).expect("runs");
    assert_eq!(runs, waits.possible_runs);
}

/// The owner between is of an earlier version: it writes no record, or one without the runs.
#[test]
fn what_an_owner_before_the_last_one_knew_is_not_used() {
    for writes in [false, true] {
        for stop in STOPS {
            let (mut world, _, unread) = world_with_two(1);
            world.hand_over();
            let earlier = world.records.lease_waits.clone();
            world.submit(job(3, "urgent", vec![step(4, 1_000, LONG_MS)]));
            world.drain(&unread, 20_000);
            world.run(1_500);
            for unread in [host_of(&world, 2), host_of(&world, 3)] {
                cut_next(&mut world, &unread);
            }
            stop_owner(&mut world, stop);
            let written = world.records.lease_waits.take();
            world.records.lease_waits = if writes {
                written.as_ref().map(as_earlier_version)
            } else {
                earlier
            };
            for name in ["f0", "f1"] {
                world.add_executor(name, "pool", "r9", capacity());
            }
            world.replace_owner();
            assert_recovers(&mut world, &[1, 2]);
            assert_runs_within(&mut world, 3, 4, MAX_START_MS);
        }
    }
}

/// A seeded schedule of stops of the owner, departures, crashes, cuts and lost replies under load.
struct RandomSchedule {
    world: CellWorld,
    rng: SmallRng,
    /// Executors that are cut off, and when they are reached again.
    cut_until: HashMap<String, Millis>,
    next_executor: u32,
    next_job: u64,
    crashes: u32,
    /// Whether owners end by a kill, with a time without an owner.
    kills: bool,
}

/// Persistent jobs of the schedule, and tasks of each.
const PERSISTENT_JOBS: u64 = 3;
const PERSISTENT_TASKS: u32 = 3;

/// Executors of the schedule that do not drain.
const MIN_READY: usize = 5;

/// Crashes in one schedule: after three of a task's executors it is given up.
const MAX_SCHEDULE_CRASHES: u32 = 2;

impl RandomSchedule {
    fn new(seed: u64) -> Self {
        let mut world = world(seed, 7);
        for id in 1..=PERSISTENT_JOBS {
            world.submit(job(id, "patient", vec![persistent(PERSISTENT_TASKS)]));
        }
        world.run(1_500);
        Self {
            world,
            rng: SmallRng::seed_from_u64(seed),
            cut_until: HashMap::new(),
            next_executor: 0,
            next_job: PERSISTENT_JOBS + 1,
            crashes: 0,
            kills: false,
        }
    }

    /// Draws one of the listed executors.
    fn draw(&mut self) -> String {
        let listed = self.world.executors.values().filter(|e| e.listed);
        let names: Vec<String> = listed.map(|e| e.info.id.to_string()).collect();
        names[self.rng.random_range(0..names.len())].clone()
    }

    fn cut(&mut self, name: &str, ms: Millis) {
        for token in 0..4 {
            let link = (self.world.cell.token + token, Arc::from(name));
            self.world.cut.insert(link);
        }
        self.cut_until.insert(name.to_owned(), self.world.now + ms);
    }

    fn end_cuts(&mut self) {
        let now = self.world.now;
        for (name, _) in self.cut_until.extract_if(|_, until| *until <= now) {
            self.world.cut.retain(|(_, id)| **id != *name);
        }
    }

    fn drain(&mut self) {
        let ready = self
            .world
            .executors
            .values()
            .filter(|e| e.listed && !e.info.draining);
        if ready.count() <= MIN_READY {
            let name = format!("f{}", self.next_executor);
            self.next_executor += 1;
            self.world.add_executor(&name, "pool", "r9", capacity());
        }
        let name = self.draw();
        if !self.world.executors[&*name].info.draining {
            let notice_ms = self.rng.random_range(900..4_000);
            self.world.drain(&name, notice_ms);
        }
    }

    fn submit(&mut self) {
        let estimate_ms = self.rng.random_range(100..1_500);
        let count = self.rng.random_range(1..4);
        let batch = StepSpec {
            gang: self.rng.random_bool(0.2),
            ..step(count, 1_000, estimate_ms)
        };
        let second = StepSpec {
            depends_on: vec![0],
            ..step(1, 1_000, 200)
        };
        let submission = job(self.next_job, "urgent", vec![batch, second]);
        self.next_job += 1;
        self.world.submit(submission);
    }

    fn set_faults(&mut self) {
        let faulty = self.rng.random_bool(0.5);
        self.world.faults = if faulty {
            Faults {
                late_commands: 20,
                lost_replies: 50,
                failed_commits: 100,
                failures: 20,
            }
        } else {
            Faults::default()
        };
    }

    fn act(&mut self) {
        let name = self.draw();
        let ms = self.rng.random_range(100..8_000);
        match self.rng.random_range(0..20) {
            0..=2 if self.kills => self.world.kill_owner(ms / 4),
            0..=2 => self.world.hand_over(),
            3 => self.world.replace_owner(),
            4..=6 => self.drain(),
            7 => self.world.set_ready(&name),
            8 if self.crashes < MAX_SCHEDULE_CRASHES => {
                self.crashes += 1;
                restart(&mut self.world, &name);
            }
            8..=10 => self.cut(&name, ms),
            11 => fail_runs(&mut self.world, &name),
            12 => self.set_faults(),
            _ => self.submit(),
        }
    }

    /// Acts for `ms`, then ends all faults and waits until all leases have expired.
    fn run(&mut self, ms: Millis) {
        let end = self.world.now + ms;
        while self.world.now < end {
            self.act();
            self.end_cuts();
            let pause_ms = self.rng.random_range(0..400);
            self.world.run(pause_ms);
        }
        self.world.faults = Faults::default();
        self.world.cut.clear();
        self.world.run(3 * BOUNDS.max_lease_ms);
    }
}

#[test]
fn a_random_schedule_of_stops_and_departures_breaks_nothing() {
    run_schedules(0..20, false);
}

#[test]
fn a_random_schedule_of_kills_and_departures_breaks_nothing() {
    run_schedules(100..120, true);
}

fn run_schedules(seeds: Range<u64>, kills: bool) {
    for seed in seeds {
        let mut schedule = RandomSchedule::new(seed);
        schedule.kills = kills;
        schedule.run(25_000);
        let world = &schedule.world;
        assert_eq!(
            world.violations,
            Vec::<String>::new(),
            "seed {seed}: {:#?}",
            tail(world)
        );
        let runs = (1..=PERSISTENT_JOBS).map(|id| runs(world, id));
        let expected = PERSISTENT_TASKS as usize;
        assert!(
            runs.clone().all(|n| n == expected),
            "seed {seed}: {:?} {:#?}",
            runs.collect::<Vec<_>>(),
            tail(world)
        );
        for id in PERSISTENT_JOBS + 1..schedule.next_job {
            let status = world.job_status(JobId(id));
            let ended = matches!(status, Some(JobStatus::Completed | JobStatus::Failed));
            assert!(ended, "seed {seed}: job {id} {status:?} {:#?}", tail(world));
        }
    }
}

/// A failed run whose end is listed only by an executor that the next owner has not read counts against
/// the attempts, also if the next run of the task was found.
#[test]
fn a_failure_that_only_an_unread_executor_lists_counts_against_the_attempts_after_a_kill() {
    fail_beside_unread_failure(Stop::Killed);
}

#[test]
fn a_failure_that_only_an_unread_executor_lists_counts_against_the_attempts_after_a_planned_stop() {
    fail_beside_unread_failure(Stop::Planned);
}

fn fail_beside_unread_failure(stop: Stop) {
    for reached_after in [500, 1_500, 4_000] {
        let mut config = config();
        for queue in &mut config.queues {
            Arc::make_mut(queue).max_attempts = 2;
        }
        let mut world = world_with_config(1, 4, config);
        let mut submission = job(1, "patient", vec![step(1, WIDE_MILLI, LONG_MS)]);
        submission.queue.max_attempts = 2;
        world.submit(submission);
        world.run(2_000);
        let first = host_of(&world, 1);
        cut_next(&mut world, &first);
        plan_commits(&mut world, None, 600);
        fail_runs(&mut world, &first);
        world.run(100);
        let second = host_of(&world, 1);
        assert!(!second.is_empty() && second != first, "{:#?}", tail(&world));
        if stop == Stop::Planned {
            // The record itself is written.
            world.commit_plans.clear();
        }
        stop_owner(&mut world, stop);
        world.commit_plans.clear();
        world.run(200);
        fail_runs(&mut world, &second);
        world.run(reached_after);
        world.cut.clear();
        world.run(GIVE_UP_MS);
        assert_sound(&world);
    }
}

/// A whole list is read after the watch failed; the executor could not write its entry meanwhile.
#[test]
fn an_entry_that_is_read_again_does_not_put_off_the_exit() {
    for age_ms in [2_000, 3_000, 3_800, 4_100] {
        let mut world = world_with_jobs(1, 2, vec![step(1, WIDE_MILLI, LONG_MS)]);
        let host = host_of(&world, 1);
        world.drain(&host, 5_000);
        let infos: Vec<_> = world.executors.values().map(|e| e.info.clone()).collect();
        world.watch_interrupted = true;
        world.run(age_ms);
        let event = CellEvent::Relisted {
            infos,
            written_after: world.now - 1_700,
        };
        let now = now_at(world.now);
        world.cell.step(event, now);
        world.run(5_000 - age_ms - 1);
        assert_ne!(
            host_of(&world, 1),
            host,
            "{age_ms}: not stopped before the exit: {:#?}",
            tail(&world)
        );
    }
}

/// The record that names a leaving executor names those too that were not opened yet; they may start
/// nothing before the next record.
#[test]
fn an_executor_that_opens_late_is_used_soon_though_another_one_drains() {
    for drains in [false, true] {
        let mut world = world(1, 2);
        world.submit(job(3, "urgent", vec![step(1, WIDE_MILLI, LONG_MS)]));
        world.run(500);
        let host = host_of(&world, 3);
        let other = host_without(&world, &[3]);
        if drains {
            world.drain(&host, 60_000);
            world.run(300);
        }
        cut_next(&mut world, &other);
        world.replace_owner();
        let plan = CommitPlan {
            carried_out_after: Some(150),
            result_after: 300,
            ok: true,
        };
        world.commit_plans.extend([plan; 12]);
        world.run(150);
        world.cut.clear();
        world.submit(job(2, "urgent", vec![step(1, WIDE_MILLI, LONG_MS)]));
        let took = time_to_run(&mut world, 2, 1);
        println!("drains={drains}: {took} ms on {}", host_of(&world, 2));
        assert!(
            took <= 300,
            "drains={drains}: {took} ms: {:#?}",
            tail(&world)
        );
    }
}
