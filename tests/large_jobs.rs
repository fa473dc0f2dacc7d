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
        platform_host::PlatformHost,
        run_journal::{JobRecord as JobPlan, StepPlan},
        soak::sample_config,
        soak_clients::{QUEUES, SoakClient},
        soak_nodes::SoakNodes,
    },
    std::{
        collections::BTreeSet,
        path::Path,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Memory of a VM at the sites, in KiB.
const MEMORY_LIMIT_KIB: u64 = 260 * 1_024;

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

/// Guards against jobs that wait behind large ones of the same queue, which are never done.
#[test]
fn usual_jobs_do_not_wait_behind_large_ones_of_their_queue() {
    let mut world = world(6, 6);
    for id in 1..=30 {
        world.submit(job(id, "urgent", vec![step(5_000_000, 1_000, 100)]));
        world.submit(scheduled(100 + id, u32::MAX, vec![step(1_000, 1_000, 100)]));
    }
    let usual = submit_usual(&mut world, 60);
    world.run(6_000);
    assert_completed(&world, &usual);
    let started = world.first_start.keys().filter(|id| id.0 < FIRST_USUAL);
    assert!(started.count() > 0);
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

/// Returns the plan of a job with one step, for the executors.
fn plan(count: u32, run_ms: Millis) -> JobPlan {
    JobPlan {
        queue: QUEUES[0],
        steps: vec![StepPlan {
            count,
            run_ms,
            after_previous: false,
            allow_duplicates: false,
            persistent: false,
        }],
        accepted_at: None,
        cancelled: false,
        withdrawn_at: None,
        completed_at: None,
    }
}

async fn assert_served(client: &SoakClient, host: &PlatformHost, ids: std::ops::Range<u64>) {
    for id in ids.map(|id| format!("{id:016x}")) {
        host.journal.add_job(&id, plan(2, 100));
        let started_at = Instant::now();
        let mut state = None;
        while state.as_deref() != Some("completed") {
            assert!(
                started_at.elapsed() < Duration::from_secs(20),
                "{id} {state:?}"
            );
            client.submit_to(1, &id, &plan(2, 100)).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            state = client.ask(1, &id, QUEUES[0]).await;
        }
    }
}

/// Guards against daemons that exceed their memory, or serve nobody else, once many large jobs are
/// accepted, also after a change of owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_bear_many_large_jobs_and_a_change_of_owner() {
    let folder = std::env::temp_dir().join(format!("dff-large-{}", std::process::id()));
    let daemon = Path::new(env!("CARGO_BIN_EXE_dragonflyferryd"));
    let nodes = SoakNodes::new(daemon, &folder, 3).expect("nodes");
    let peers = (0..3).map(|n| nodes.addresses(n).peer).collect();
    let host = PlatformHost::start(1, peers, &[("a", "z0"); 6]);
    host.put("op/config", &sample_config(1, "a"));
    for node in 0..3 {
        let store = host.store_address(node).expect("address");
        nodes.configure(node, store).expect("settings");
        nodes.start(node).expect("daemon");
    }
    let callers = (0..3).map(|n| nodes.addresses(n).caller).collect();
    let client = SoakClient::new(callers, host.journal.clone(), host.started_at);
    assert_served(&client, &host, 1..3).await;
    let accept = async |id: u64, body: String| {
        let id = format!("{id:016x}");
        host.journal.add_job(&id, plan(u32::MAX, 100));
        let mut status = None;
        for _ in 0..50 {
            status = client.submit_body(1, &id, body.clone()).await;
            if status.is_some_and(|s| s.is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("{id}: {status:?}");
    };
    for id in (100..400).step_by(10) {
        let step = r#""cpu":1000,"memMb":100,"estimateMs":100,"checkpoints":true"#;
        accept(id, format!(r#"{{"steps":[{{"count":5000000,{step}}}]}}"#)).await;
        let large = r#"{"count":4000000000,"cpu":9000000,"memMb":100}"#;
        accept(id + 1, format!(r#"{{"steps":[{large}]}}"#)).await;
        let scheduled = format!(r#""repeatCount":4000000000,"steps":[{{"count":1000,{step}}}]"#);
        accept(id + 2, format!("{{{scheduled}}}")).await;
        accept(
            id + 3,
            format!(r#"{{"steps":[{{"count":4096,"gang":true,{step}}}]}}"#),
        )
        .await;
    }
    assert_served(&client, &host, 1_000..1_005).await;
    let memory = |node| nodes.peak_memory_kib(node).expect("a live process");
    let peaks: Vec<u64> = (0..3).map(memory).collect();
    let owner = host.owner().expect("an owner");
    nodes.kill(owner);
    nodes.start(owner).expect("daemon");
    assert_served(&client, &host, 2_000..2_005).await;
    let later: Vec<u64> = (0..3).map(memory).collect();
    let max_kib = MEMORY_LIMIT_KIB / 2;
    let all = peaks.iter().chain(&later);
    assert!(
        all.clone().all(|kib| *kib < max_kib),
        "{peaks:?} {later:?} KiB"
    );
    let _ = std::fs::remove_dir_all(&folder);
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
