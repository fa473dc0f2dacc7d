//! Rules of placing, each with the load that would break it.

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

/// Unix time at the start of a world, in ms.
const UNIX_START: Millis = 1_700_000_000_000;

/// Lists the starts of a job as executors saw them: time, run number and executor.
fn starts(world: &CellWorld, id: u64) -> Vec<(Millis, u64, ExecutorId)> {
    let prefix = format!("{}.", JobId(id));
    let start = |line: &String| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [at, "began", task, "run", run, "on", executor] = words[..] else {
            return None;
        };
        let mine = task.starts_with(&prefix);
        mine.then(|| {
            let number = |text: &str| text.parse().expect("number");
            (number(at), number(run), Arc::from(executor))
        })
    };
    world.log.iter().filter_map(start).collect()
}

/// Counts the starts of a job on each executor.
fn places(world: &CellWorld, id: u64) -> BTreeMap<ExecutorId, usize> {
    let mut places = BTreeMap::new();
    for (_, _, executor) in starts(world, id) {
        *places.entry(executor).or_default() += 1;
    }
    places
}

/// ROUTE: tasks that require a label run only where it is, also when the others are free.
#[test]
fn a_required_label_is_kept() {
    let mut world = world(1, 6);
    let mut labelled = step(8, 4_000, 500);
    labelled.required_label = Some(Arc::from("r1"));
    world.submit(job(1, "urgent", vec![labelled]));
    world.run(3_000);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Completed));
    let places = places(&world, 1);
    let names: Vec<&str> = places.keys().map(|e| &**e).collect();
    assert_eq!(names, ["e3", "e4", "e5"]);
}

/// LIMIT: no executor takes more tasks of a step than it allows, also when it has room.
#[test]
fn the_most_of_a_step_on_one_executor_is_kept() {
    let mut world = world(1, 3);
    let mut spread = step(9, 1_000, 1_000);
    spread.max_per_executor = 2;
    world.submit(job(1, "urgent", vec![spread]));
    world.run(500);
    assert_eq!(starts(&world, 1).len(), 6);
    assert!(places(&world, 1).values().all(|n| *n == 2));
    world.run(2_000);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Completed));
}

/// GANG: members wait for room for all of them and then start together.
#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    let mut world = world(1, 3);
    world.submit(job(1, "urgent", vec![step(1, 8_000, 1_000)]));
    world.run(100);
    let mut gang = step(3, 8_000, 300);
    gang.gang = true;
    world.submit(job(2, "urgent", vec![gang]));
    world.run(800);
    assert_eq!(starts(&world, 2), []);
    world.run(1_500);
    let at: Vec<Millis> = starts(&world, 2).into_iter().map(|(at, ..)| at).collect();
    assert_eq!(at.len(), 3);
    assert!(
        at.iter()
            .max()
            .zip(at.iter().min())
            .is_some_and(|(a, b)| a - b < 100)
    );
    assert_eq!(world.job_status(JobId(2)), Some(JobStatus::Completed));
    assert_eq!(world.broken, Vec::<String>::new());
}

/// DRAIN: an executor that will leave gets nothing new and finishes what it has.
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
    assert_eq!(starts(&world, 1).len(), 2, "nothing was moved");
    assert_eq!(world.job_status(JobId(2)), Some(JobStatus::Completed));
    assert!(!places(&world, 2).contains_key("e0"));
}

/// ORDER: no occurrence of a timed job starts before it is due, and each runs once.
#[test]
fn occurrences_start_when_they_are_due() {
    let mut world = world(1, 2);
    let mut timed = job(1, "urgent", vec![step(1, 1_000, 100)]);
    let (first, interval) = (world.now + 700, 500);
    timed.spec.schedule = Some(Schedule {
        count: 3,
        start_unix_ms: UNIX_START + first,
        interval_ms: interval,
    });
    world.submit(timed);
    world.run(4_000);
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Completed));
    let at: Vec<Millis> = starts(&world, 1).into_iter().map(|(at, ..)| at).collect();
    assert_eq!(at.len(), 3);
    for (n, at) in (0..).zip(at) {
        let due = first + n * interval;
        assert!(at >= due && at < due + 250, "{n}: due {due}, began {at}");
    }
}

/// AVAIL: a task that lasts is not stopped for urgent work, a patient one that saves is.
#[test]
fn urgent_work_stops_patient_work_but_nothing_that_lasts() {
    let mut world = world(1, 2);
    let mut lasting = step(1, 8_000, 60_000);
    lasting.persistent = true;
    lasting.checkpoints = true;
    world.submit(job(1, "patient", vec![lasting]));
    let mut patient = step(1, 8_000, 60_000);
    patient.checkpoints = true;
    world.submit(job(2, "patient", vec![patient]));
    world.run(1_000);
    world.submit(job(3, "urgent", vec![step(1, 8_000, 300)]));
    world.run(2_000);
    assert_eq!(world.job_status(JobId(3)), Some(JobStatus::Completed));
    assert_eq!(starts(&world, 1).len(), 1);
    assert!(starts(&world, 2).len() > 1, "stopped and started again");
}

/// CONFIG: a configuration that arrives late does not replace a newer one.
#[test]
fn a_configuration_never_goes_back() {
    let mut world = world(1, 1);
    let versions = [3, 2, 1, 4, 4, 3];
    let mut seen = Vec::new();
    for version in versions {
        let mut newer = config();
        newer.version = version;
        let event = CellEvent::Config(Arc::new(newer));
        world.cell.step(event, Now::default());
        seen.push(world.cell.config.version);
    }
    assert_eq!(seen, [3, 3, 3, 4, 4, 4]);
}
