//! Tests of jobs with very many tasks, occurrences or steps, one or many together: what they take of an
//! owner and of the store, and whether other jobs wait for them.

use {
    dragonflyferry::{
        core::{Millis, Resources},
        fleet::{
            CommitQueue, CrashedTask, IndexSet, JobId, JobProgress, JobRecord, JobStatus,
            ProgressFormat, RecordChange, Schedule, StepProgress, StepSpec, Submission,
            TaskProgress,
        },
    },
    proptest::prelude::*,
    serde::Serialize,
    standins::{
        CellWorld,
        cell_sample::{job, step, world},
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// First id of the jobs of moderate size.
const FIRST_USUAL: u64 = 1_000;

fn submit_usual(world: &mut CellWorld, count: u64) -> Vec<JobId> {
    let ids = FIRST_USUAL..FIRST_USUAL + count;
    for id in ids.clone() {
        world.submit(job(id, "urgent", vec![step(2, 1_000, 300)]));
    }
    ids.map(JobId).collect()
}

fn assert_completed(world: &CellWorld, jobs: &[JobId]) {
    assert_eq!(world.violations, Vec::<String>::new());
    for id in jobs {
        let status = world.job_status(*id);
        assert_eq!(status, Some(JobStatus::Completed), "job {id}");
    }
}

fn checkpointing(count: u32) -> StepSpec {
    StepSpec {
        checkpoints: true,
        ..step(count, 1_000, 300)
    }
}

/// Returns a job whose occurrences are all due at once.
fn scheduled(id: u64, occurrences: u32, steps: Vec<StepSpec>) -> Submission {
    let mut submission = job(id, "patient", steps);
    submission.spec.schedule = Some(Schedule {
        count: occurrences,
        start_unix_ms: 0,
        interval_ms: 0,
    });
    submission
}

/// Guards against an end of one large job that is longer than a value, so that no end is recorded.
#[test]
fn ends_are_recorded_beside_a_job_of_hundreds_of_thousands_of_tasks() {
    let mut world = world(1, 6);
    world.submit(job(1, "patient", vec![checkpointing(400_000)]));
    world.run(3_000);
    let usual = submit_usual(&mut world, 20);
    world.run(4_000);
    assert_completed(&world, &usual);
    let done = |world: &CellWorld| -> u32 {
        let progress = world.records.progress.get(&JobId(1));
        progress.map_or(0, |p| p.steps.iter().map(|s| s.done.len()).sum())
    };
    let before = done(&world);
    assert!(before > 100, "{before}");
    world.replace_owner();
    world.run(8_000);
    assert!(done(&world) > before, "{before} {}", done(&world));
    assert!(world.largest_value < 16_384, "{}", world.largest_value);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against owners that need memory or time for each task of a job, before or after a takeover.
#[test]
fn owners_bear_many_jobs_of_billions_of_tasks() {
    let mut world = world(2, 6);
    for id in 1..=60 {
        // Neither does a task fit on any executor, nor a gang into the pool.
        let poison = step(u32::MAX, 1_000_000, 300);
        let gang = StepSpec {
            gang: true,
            ..step(u32::MAX, 1, 300)
        };
        let fits = checkpointing(u32::MAX);
        let steps = [poison, gang, fits][usize::try_from(id % 3).expect("small")].clone();
        world.submit(job(id, "patient", vec![steps]));
        world.submit(scheduled(100 + id, u32::MAX, vec![step(1_000, 2_000, 300)]));
    }
    world.run(2_000);
    world.replace_owner();
    world.run(8_000);
    let usual = submit_usual(&mut world, 20);
    world.run(4_000);
    assert_completed(&world, &usual);
    assert!(world.largest_value < 65_536, "{}", world.largest_value);
    for id in (1..=60).chain(101..=160) {
        world.cancel(JobId(id));
    }
    world.run(1_000);
    let ended = |id: u64| world.job_status(JobId(id)) == Some(JobStatus::Cancelled);
    assert!((1..=60).chain(101..=160).all(ended));
}

/// Guards against tasks that need next to nothing and are all started in one round.
#[test]
fn tasks_without_needs_start_a_few_at_a_time() {
    let mut world = world(3, 4);
    let tiny = StepSpec {
        need: Resources::default(),
        ..step(5_000_000, 0, 60_000)
    };
    world.submit(job(1, "patient", vec![tiny]));
    world.run(3_000);
    let running: usize = world.executors.values().map(|e| e.running.len()).sum();
    assert!((1_000..10_000).contains(&running), "{running}");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against occurrences that are kept once they are done, here and in the store.
#[test]
fn occurrences_are_done_in_turn_and_each_once() {
    let mut world = world(4, 6);
    let steps = vec![step(2, 2_000, 100), step(1, 2_000, 100)];
    world.submit(scheduled(1, 500, steps));
    for _ in 0..4 {
        world.run(4_000);
        world.replace_owner();
    }
    world.run(30_000);
    assert_completed(&world, &[JobId(1)]);
    // The dense encoding: three tasks of up to 500 occurrences.
    assert!(world.largest_value < 16_384, "{}", world.largest_value);
}

/// Guards against a record that the store refuses for good and that all others wait for.
#[test]
fn a_record_that_the_store_refuses_holds_up_no_other() {
    let mut world = world(5, 6);
    world.refused_progress.insert(JobId(1));
    world.submit(job(1, "patient", vec![step(2_000, 1_000, 500)]));
    let usual = submit_usual(&mut world, 20);
    world.run(3_000);
    assert_completed(&world, &usual);
    for id in 2_000..2_020 {
        world.submit(job(id, "urgent", vec![step(2, 1_000, 300)]));
        world.run(500);
    }
    assert_completed(&world, &(2_000..2_020).map(JobId).collect::<Vec<_>>());
    // Its progress can never be recorded: it is given up, and its ends are acknowledged.
    assert_eq!(world.job_status(JobId(1)), Some(JobStatus::Failed));
}

/// Guards against a commit that grows with the number of long records.
#[test]
fn long_records_share_a_commit_only_up_to_the_size_of_one_value() {
    let mut queue = CommitQueue::default();
    for id in 0..6 {
        queue.mark_dirty(JobId(id), RecordChange::Progress);
    }
    let sizes = (1..=6).map(|call| {
        let batch = queue.next_batch(call, 100 * call, |_| 20).expect("batch");
        queue.on_result(call, true, 100 * call);
        batch.jobs.len()
    });
    assert_eq!(sizes.collect::<Vec<_>>(), [1; 6]);
}

#[derive(Serialize)]
struct EarlierTask {
    done: bool,
    failed_runs: Vec<u64>,
    checkpoint: Arc<str>,
}

#[derive(Serialize)]
struct EarlierStep {
    occurrence: u32,
    step: u16,
    tasks: Vec<EarlierTask>,
}

/// Guards against a record of a usual job that nodes of earlier versions do not read, or read otherwise.
#[test]
fn the_progress_of_a_usual_job_is_stored_as_by_earlier_versions() {
    let task = |done: bool, failed_runs: &[u64], checkpoint: &str| EarlierTask {
        done,
        failed_runs: failed_runs.to_vec(),
        checkpoint: Arc::from(checkpoint),
    };
    let steps = vec![EarlierStep {
        occurrence: 0,
        step: 1,
        tasks: vec![
            task(true, &[], ""),
            task(false, &[3, 1 << 20], "0a"),
            task(true, &[], ""),
            task(false, &[], ""),
        ],
    }];
    let crashed_tasks = vec![CrashedTask {
        occurrence: 0,
        step: 1,
        index: 3,
        runs: vec![(7, true)],
    }];
    let earlier = postcard::to_stdvec(&(steps, &crashed_tasks)).expect("record");
    let mut done = IndexSet::default();
    done.insert(0);
    done.insert(2);
    let progress = JobProgress {
        completed: IndexSet::default(),
        steps: vec![StepProgress {
            occurrence: 0,
            step: 1,
            done,
            tasks: vec![TaskProgress {
                index: 1,
                failed_runs: vec![3, 1 << 20],
                checkpoint: Arc::from("0a"),
            }],
        }],
        crashed_tasks,
    };
    let specs = [step(1, 1, 1), step(4, 1, 1)];
    let now = progress.encode(ProgressFormat::Dense, &specs);
    assert_eq!(now.as_deref(), Ok(&*earlier));
    let read = JobProgress::decode(&earlier, ProgressFormat::Dense);
    assert_eq!(read.as_ref(), Ok(&progress));
    let sparse = progress
        .encode(ProgressFormat::Sparse, &specs)
        .expect("record");
    assert!(sparse.len() <= progress.max_sparse_bytes());
    let read = JobProgress::decode(&sparse, ProgressFormat::Sparse);
    assert_eq!(read, Ok(progress));
}

/// Nodes of earlier versions must not schedule a large job, nor take a usual one for a large one.
#[test]
fn only_large_jobs_have_the_record_of_large_jobs() {
    let is_large = |submission: &Submission| {
        let record = JobRecord::open(submission.clone());
        matches!(record, JobRecord::OpenLarge(_))
    };
    assert!(!is_large(&job(1, "urgent", vec![step(4_096, 1_000, 300)])));
    assert!(is_large(&job(1, "urgent", vec![step(4_097, 1_000, 300)])));
    assert!(is_large(&scheduled(1, u32::MAX, vec![step(1, 1_000, 300)])));
    let max: Millis = Millis::MAX;
    let mut long = scheduled(1, 3, vec![step(1, 1_000, max), step(1, 1_000, max)]);
    long.spec.steps[1].depends_on = vec![0];
    assert!(!is_large(&long));
    assert!(long.spec.critical_path_ms() > 0);
}

proptest! {
    #[test]
    fn an_index_set_holds_what_was_inserted(ranges in prop::collection::vec((0u32..200, 0u32..20), 0..40)) {
        let mut set = IndexSet::default();
        let mut model = BTreeSet::new();
        for (start, len) in ranges {
            if len == 1 {
                prop_assert_eq!(set.insert(start), model.insert(start));
            } else {
                set.insert_range(start..start + len);
                model.extend(start..start + len);
            }
        }
        prop_assert_eq!(set.len() as usize, model.len());
        prop_assert!(set.ranges().flatten().eq(model.iter().copied()));
        prop_assert!((0..240).all(|i| set.contains(i) == model.contains(&i)));
        for end in [0, 1, 50, 219, 300] {
            let missing = (0..end).filter(|i| !model.contains(i));
            prop_assert!(set.gaps(end).flatten().eq(missing));
        }
        let ranges: Vec<(u32, u32)> = set.clone().into();
        prop_assert_eq!(IndexSet::from(ranges), set);
    }
}
