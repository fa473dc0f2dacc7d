//! Short soaks of real daemons under faults: no task runs twice and no accepted job is lost.
//!
//! `cargo run --release --example soak` runs longer ones.

use {
    standins::Soak,
    std::{path::Path, time::Duration},
};

/// Time with faults of each soak.
const FAULT_TIME: Duration = Duration::from_secs(20);

/// Runs a soak with the given kinds of faults, or all if there are none; fails if it broke a rule.
async fn soak(seed: u64, kinds: &[&str]) {
    let folder = std::env::temp_dir().join(format!("dff-soak-{}-{seed}", std::process::id()));
    let daemon = Path::new(env!("CARGO_BIN_EXE_dragonflyferryd"));
    let mut soak = Soak::new(seed, daemon, &folder).fault_time(FAULT_TIME);
    if !kinds.is_empty() {
        soak = soak.only(kinds);
    }
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
    soak(2, &["kill-series", "move-queue", "restart-executors"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_run_once_under_faults_of_all_kinds() {
    soak(3, &[]).await;
}
