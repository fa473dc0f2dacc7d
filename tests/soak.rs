//! Short soaks of real daemons under faults: no task runs twice and no accepted job is lost.
//!
//! `cargo run --release --example soak` runs longer ones.

use {
    standins::Soak,
    std::{path::Path, time::Duration},
};

/// Time with faults of each soak.
const FAULT_TIME: Duration = Duration::from_secs(20);

async fn soak(seed: u64) {
    let folder = std::env::temp_dir().join(format!("dff-soak-{}-{seed}", std::process::id()));
    let daemon = Path::new(env!("CARGO_BIN_EXE_dragonflyferryd"));
    let soak = Soak::new(seed, daemon, &folder).fault_time(FAULT_TIME);
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
async fn tasks_run_once_under_overlapping_faults() {
    for seed in 1..=3 {
        soak(seed).await;
    }
}
