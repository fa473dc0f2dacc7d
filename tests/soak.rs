//! Short soaks of real daemons under faults: no task runs twice and no accepted job is lost.
//!
//! `cargo run --release --example soak` runs longer ones.

use {
    standins::{
        Soak,
        run_journal::{JobRecord, RunEnding, RunJournal, RunRecord, StepPlan},
    },
    std::{path::Path, time::Duration},
};

/// Time with faults of each soak.
const FAULT_TIME: Duration = Duration::from_secs(20);

/// Executors from which nodes other than the owner send the commands.
const LARGE_FLEET: usize = 120;

/// Part of the jobs whose tasks last, in soaks that judge how long these do not run.
const PERSISTENT_PERCENT: u32 = 40;

/// Runs a soak with the given kinds of faults, or all if there are none; fails if it broke a rule.
async fn soak(seed: u64, kinds: &[&str]) {
    run(seed, kinds, |soak| soak).await;
}

async fn run(seed: u64, kinds: &[&str], set_size: impl Fn(Soak) -> Soak) {
    let folder = std::env::temp_dir().join(format!("dff-soak-{}-{seed}", std::process::id()));
    let daemon = Path::new(env!("CARGO_BIN_EXE_dragonflyferryd"));
    let mut soak = Soak::new(seed, daemon, &folder).fault_time(FAULT_TIME);
    if !kinds.is_empty() {
        soak = soak.only(kinds);
    }
    soak = set_size(soak);
    let report = soak.run().await.expect("the soak runs");
    println!("{report}");
    assert!(report.accepted > 0, "no job was accepted");
    let broken: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(
        broken.is_empty(),
        "logs in {}: {}",
        folder.display(),
        broken.join("\n")
    );
    let _ = std::fs::remove_dir_all(&folder);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_while_owners_and_executors_lose_each_other() {
    soak(1, &["isolate-executors"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_while_queues_move_and_owners_change() {
    soak(3, &["kill-series", "move-queue"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_while_other_nodes_send_the_commands() {
    let kinds = ["freeze", "isolate-executors", "kill-series", "split-nodes"];
    run(4, &kinds, |soak| soak.executors(LARGE_FLEET)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_go_on_while_owners_are_stopped_and_executors_leave() {
    let kinds = ["terminate-all", "terminate-owner"];
    run(5, &kinds, |soak| {
        soak.persistent_percent(PERSISTENT_PERCENT)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_under_faults_of_all_kinds() {
    soak(2, &[]).await;
}

/// Returns a journal with one job of one task and two runs of it, on two executors. The first runs
/// from 100 to `first_ends` and ends as `ending`; the second starts at 300.
fn two_runs(first_ends: u64, ending: RunEnding, allow_duplicates: bool) -> RunJournal {
    let step = StepPlan {
        count: 1,
        run_ms: 100,
        after_previous: false,
        allow_duplicates,
        persistent: false,
    };
    let journal = runs_of(step, [100, 300]);
    journal.end_run(0, first_ends, ending);
    journal
}

/// Returns a journal with one job of this step and two runs of its first task, on two executors, that
/// start at these times.
fn runs_of(step: StepPlan, starts: [u64; 2]) -> RunJournal {
    let journal = RunJournal::default();
    let job = JobRecord {
        queue: "main",
        steps: vec![step],
        accepted_at: Some(0),
        cancelled: false,
        withdrawn_at: None,
        completed_at: None,
    };
    journal.add_job("a", job);
    for (run, began_at) in (1..).zip(starts) {
        let life = journal.begin_life();
        journal.begin_run(RunRecord {
            task: "a.0.0.0".to_owned(),
            run,
            token: run << 20,
            node: 0,
            executor: format!("e{run}"),
            pool: "a".to_owned(),
            life,
            began_at,
            ended: None,
            acked_at: None,
            lapsed_unacked: false,
        });
    }
    journal
}

fn broken_rules(journal: &RunJournal) -> Vec<&'static str> {
    journal.judge().iter().map(|v| v.rule).collect()
}

#[test]
fn the_judge_finds_two_runs_at_once() {
    assert_eq!(
        broken_rules(&two_runs(301, RunEnding::Stopped, false)),
        ["TWICE"]
    );
    assert!(broken_rules(&two_runs(300, RunEnding::Stopped, false)).is_empty());
    assert!(broken_rules(&two_runs(301, RunEnding::Stopped, true)).is_empty());
}

#[test]
fn the_judge_finds_a_start_after_an_end_that_was_acknowledged_at_any_time() {
    let journal = two_runs(200, RunEnding::Done, false);
    assert!(broken_rules(&journal).is_empty());
    journal.ack_run(0, 900);
    assert_eq!(broken_rules(&journal), ["TWICE"]);
    journal.lapse_unacked(0);
    assert!(broken_rules(&journal).is_empty());
}

#[test]
fn the_judge_finds_a_completed_job_with_an_open_task() {
    let journal = two_runs(200, RunEnding::Failed, false);
    journal.record_completed("a", 400);
    assert_eq!(broken_rules(&journal), ["MIXED"]);
}

/// Returns the judged gaps of a persistent task that ended at 1,000, was acknowledged at once if `acked`,
/// and started again at `next`; its pool had no room until `room_from`.
fn judge_gap(next: u64, acked: bool, room_from: u64, calm_from: u64) -> Vec<&'static str> {
    let step = StepPlan {
        count: 1,
        run_ms: 100,
        after_previous: false,
        allow_duplicates: false,
        persistent: true,
    };
    let journal = runs_of(step, [100, next]);
    journal.end_run(0, 1_000, RunEnding::Stopped);
    if acked {
        journal.ack_run(0, 1_000);
    }
    journal.record_room("a", false, 0);
    journal.record_room("a", true, room_from);
    let gaps = journal.persistent_gaps(20_000);
    let found = journal.judge_gaps(&gaps, |since, _| since >= calm_from, |_| false);
    found.iter().map(|v| v.rule).collect()
}

#[test]
fn the_judge_finds_a_persistent_task_that_does_not_start_again() {
    assert_eq!(judge_gap(6_000, true, 0, 0), ["LOST"]);
    assert!(judge_gap(5_999, true, 0, 0).is_empty());
    // The end was not read: the task waits for the lease.
    assert_eq!(judge_gap(12_000, false, 0, 0), ["LOST"]);
    assert!(judge_gap(11_999, false, 0, 0).is_empty());
    // Without room, or after a fault.
    assert_eq!(judge_gap(8_000, true, 5_000, 0), ["LOST"]);
    assert!(judge_gap(7_999, true, 5_000, 0).is_empty());
    assert!(judge_gap(6_000, true, 0, 1_001).is_empty());
}

#[test]
fn the_judge_allows_no_lease_after_an_exit_that_the_owner_could_foresee() {
    let judge = |next, steady| {
        let step = StepPlan {
            count: 1,
            run_ms: 100,
            after_previous: false,
            allow_duplicates: false,
            persistent: true,
        };
        let journal = runs_of(step, [100, next]);
        journal.end_run(0, 1_000, RunEnding::Exited);
        journal.record_room("a", true, 0);
        let gaps = journal.persistent_gaps(20_000);
        let found = journal.judge_gaps(&gaps, |_, _| true, |_| steady);
        found.iter().map(|v| v.rule).collect::<Vec<_>>()
    };
    assert_eq!(judge(6_000, true), ["LOST"]);
    assert!(judge(5_999, true).is_empty());
    assert_eq!(judge(12_000, false), ["LOST"]);
    assert!(judge(11_999, false).is_empty());
}
