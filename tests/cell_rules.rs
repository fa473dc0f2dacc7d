//! Tests of the placement rules, one per rule. Each runs a load that would break the rule if it
//! were not enforced.

use {
    dragonflyferry::{
        core::Millis,
        fleet::{CellEvent, ExecutorId, JobId, JobStatus, Now, Schedule},
    },
    standins::{
        CellWorld,
        cell_sample::{config, job, step, world},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// Unix time at the start of a simulation, in ms.
const UNIX_START: Millis = 1_700_000_000_000;

/// Lists the starts of a job as executors recorded them: time, run number and executor.
fn list_starts(world: &CellWorld, id: u64) -> Vec<(Millis, u64, ExecutorId)> {
    let prefix = format!("{}.", JobId(id));
    let parse_start = |line: &String| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [at, "began", task, "run", run, "on", executor] = words[..] else {
            return None;
        };
        let of_job = task.starts_with(&prefix);
        of_job.then(|| {
            let parse = |text: &str| text.parse().expect("number");
            (parse(at), parse(run), Arc::from(executor))
        })
    };
    world.log.iter().filter_map(parse_start).collect()
}

/// Counts the starts of a job on each executor.
fn starts_per_executor(world: &CellWorld, id: u64) -> BTreeMap<ExecutorId, usize> {
    let mut counts = BTreeMap::new();
    for (_, _, executor) in list_starts(world, id) {
        *counts.entry(executor).or_default() += 1;
    }
    counts
}

/// ROUTE: tasks that require a label run only on executors that have it, also when others are
/// free.
#[test]
fn a_required_label_is_respected() {
    let mut world = world(1, 6);
    let mut labelled = step(8, 4_000, 500);
    labelled.required_label = Some(Arc::from("r1"));
    world.submit(job(1, "urgent", vec![labelled]));
    world.run(3_000);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Completed));
    let counts = starts_per_executor(&world, 1);
    let names: Vec<&str> = counts.keys().map(|e| &**e).collect();
    assert_eq!(names, ["e3", "e4", "e5"]);
}

/// LIMIT: no executor runs more tasks of a step than the step allows, even if it has free
/// capacity.
#[test]
fn max_per_executor_is_respected() {
    let mut world = world(1, 3);
    let mut limited = step(9, 1_000, 1_000);
    limited.max_per_executor = 2;
    world.submit(job(1, "urgent", vec![limited]));
    world.run(500);
    assert_eq!(list_starts(&world, 1).len(), 6);
    assert!(starts_per_executor(&world, 1).values().all(|n| *n == 2));
    world.run(2_000);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Completed));
}

/// GANG: the tasks of a gang wait for free capacity for all of them and then start together.
#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    let mut world = world(1, 3);
    world.submit(job(1, "urgent", vec![step(1, 8_000, 1_000)]));
    world.run(100);
    let mut gang = step(3, 8_000, 300);
    gang.gang = true;
    world.submit(job(2, "urgent", vec![gang]));
    world.run(800);
    assert_eq!(list_starts(&world, 2), []);
    world.run(1_500);
    let at: Vec<Millis> = list_starts(&world, 2)
        .into_iter()
        .map(|(at, ..)| at)
        .collect();
    assert_eq!(at.len(), 3);
    assert!(
        at.iter()
            .max()
            .zip(at.iter().min())
            .is_some_and(|(a, b)| a - b < 100)
    );
    assert_eq!(world.job_status(JobId(2)), Some(JobStatus::Completed));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// DRAIN: a draining executor gets no new tasks and finishes the ones that it runs.
#[test]
fn a_draining_executor_gets_nothing_new_and_finishes() {
    let mut world = world(1, 2);
    world.submit(job(1, "urgent", vec![step(2, 8_000, 600)]));
    world.run(100);
    if let Some(executor) = world.executors.get_mut("e0") {
        executor.info.draining = true;
    }
    world.relist();
    world.submit(job(2, "urgent", vec![step(4, 4_000, 300)]));
    world.run(3_000);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Completed));
    assert_eq!(list_starts(&world, 1).len(), 2, "no task was moved");
    assert_eq!(world.job_status(JobId(2)), Some(JobStatus::Completed));
    assert!(!starts_per_executor(&world, 2).contains_key("e0"));
}

/// ORDER: no occurrence of a scheduled job starts before it is due, and each runs once.
#[test]
fn occurrences_start_when_they_are_due() {
    let mut world = world(1, 2);
    let mut scheduled = job(1, "urgent", vec![step(1, 1_000, 100)]);
    let (first, interval) = (world.now + 700, 500);
    scheduled.spec.schedule = Some(Schedule {
        count: 3,
        start_unix_ms: UNIX_START + first,
        interval_ms: interval,
    });
    world.submit(scheduled);
    world.run(4_000);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Completed));
    let at: Vec<Millis> = list_starts(&world, 1)
        .into_iter()
        .map(|(at, ..)| at)
        .collect();
    assert_eq!(at.len(), 3);
    for (n, at) in (0..).zip(at) {
        let due = first + n * interval;
        assert!(at >= due && at < due + 250, "{n}: due {due}, began {at}");
    }
}

/// AVAIL: urgent work preempts low-priority tasks that write checkpoints, but no persistent task.
#[test]
fn urgent_work_preempts_low_priority_work_but_no_persistent_task() {
    let mut world = world(1, 2);
    let mut persistent_step = step(1, 8_000, 60_000);
    persistent_step.persistent = true;
    persistent_step.checkpoints = true;
    world.submit(job(1, "patient", vec![persistent_step]));
    let mut low_priority = step(1, 8_000, 60_000);
    low_priority.checkpoints = true;
    world.submit(job(2, "patient", vec![low_priority]));
    world.run(1_000);
    world.submit(job(3, "urgent", vec![step(1, 8_000, 300)]));
    world.run(2_000);
    assert_eq!(world.job_status(JobId(3)), Some(JobStatus::Completed));
    assert_eq!(list_starts(&world, 1).len(), 1);
    assert!(
        list_starts(&world, 2).len() > 1,
        "preempted and started again"
    );
}

/// CONFIG: an older configuration that arrives late does not replace a newer one.
#[test]
fn an_older_configuration_is_ignored() {
    let mut world = world(1, 1);
    let versions = [3, 2, 1, 4, 4, 3];
    let mut adopted = Vec::new();
    for version in versions {
        let mut newer = config();
        newer.version = version;
        let event = CellEvent::Config(Arc::new(newer));
        world.cell.step(event, Now::default());
        adopted.push(world.cell.config.version);
    }
    assert_eq!(adopted, [3, 3, 3, 4, 4, 4]);
}
