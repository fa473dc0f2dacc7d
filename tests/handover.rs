//! Tests of what a new owner starts at once, and what it must wait for, after planned and other stops
//! of the earlier one. Judged by what the executors ran.

use {
    dragonflyferry::{
        core::Millis,
        fleet::{JobId, StepSpec, TaskId},
    },
    standins::{
        CellWorld,
        cell_sample::{job, step, world},
    },
    std::sync::Arc,
};

/// Time in which a task must start after a claim if no executor may still run it, in ms.
const MAX_START_MS: Millis = 3_000;

/// Longest simulated wait of a test for a start, in ms: longer than all leases.
const GIVE_UP_MS: Millis = 20_000;

fn persistent(count: u32) -> StepSpec {
    StepSpec {
        persistent: true,
        ..step(count, 2_000, 500)
    }
}

fn of_job(id: u64) -> impl Fn(&TaskId) -> bool {
    move |t| t.step.job == JobId(id)
}

/// Returns the executor that runs a task of a job; empty if none does.
fn host_of(world: &CellWorld, id: u64) -> String {
    let mut executors = world.executors.values();
    let host = executors.find(|e| e.running.keys().any(of_job(id)));
    host.map(|e| e.info.id.to_string()).unwrap_or_default()
}

fn runs(world: &CellWorld, id: u64) -> usize {
    let tasks = world.executors.values().flat_map(|e| e.running.keys());
    tasks.filter(|t| of_job(id)(t)).count()
}

/// Runs until so many tasks of a job run, and returns how long that took.
fn time_to_run(world: &mut CellWorld, id: u64, count: usize) -> Millis {
    let from = world.now;
    while runs(world, id) < count && world.now < from + GIVE_UP_MS {
        world.run(1);
    }
    world.now - from
}

/// Returns an executor other than those of the given names.
fn other_than(world: &CellWorld, names: &[&str]) -> String {
    let mut ids = world.executors.keys().map(ToString::to_string);
    ids.find(|id| !names.contains(&&**id))
        .expect("another executor")
}

/// Keeps the next owner from reaching an executor.
fn cut_next(world: &mut CellWorld, name: &str) {
    world.cut.insert((world.cell.token + 1, Arc::from(name)));
}

fn fail_runs(world: &mut CellWorld, name: &str) {
    let executor = world.executors.get_mut(name).expect("executor");
    executor.fail_runs();
}

fn tail(world: &CellWorld) -> &[String] {
    &world.log[world.log.len().saturating_sub(60)..]
}

fn assert_sound(world: &CellWorld) {
    assert_eq!(world.violations, Vec::<String>::new(), "{:#?}", tail(world));
}

fn assert_runs_soon(world: &mut CellWorld, id: u64, count: usize) {
    let took = time_to_run(world, id, count);
    assert!(took <= MAX_START_MS, "after {took} ms: {:#?}", tail(world));
    assert_sound(world);
}

/// Guards against waiting for the leases of an executor that ran nothing of the task.
#[test]
fn a_task_without_a_run_does_not_wait_for_an_executor_that_exited_around_a_planned_stop() {
    for seed in 0..4 {
        let mut world = world(seed, 4);
        world.submit(job(1, "patient", vec![persistent(1)]));
        world.run(2_000);
        let host = host_of(&world, 1);
        let exiting = other_than(&world, &[&host]);
        world.drain(&exiting, 1_500);
        world.run(1_450);
        fail_runs(&mut world, &host);
        cut_next(&mut world, &exiting);
        world.hand_over();
        assert_runs_soon(&mut world, 1, 1);
    }
}
