//! Executors crash soon after they have started tasks, one of fourteen at a time.

use crate::rig::{self, Fleet, Node, Record, Run, Store, StoreFate};
use std::sync::Arc;

const LASTING: &str = "a100000000000001";
const PLAIN: &str = "b100000000000001";
/// Runs of each job whose executor crashes.
const CRASHES: usize = 3;
/// Time from a start to the crash of its executor, and time until the executor is back.
const CRASH_AFTER_MS: u64 = 200;
const DOWN_MS: u64 = 1_000;

pub fn play(record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::new();
    store.put("op/config", rig::CONFIG);
    let zones = ["montreal", "sherbrooke", "trois-rivieres"];
    let places: Vec<(&str, &str)> = (0..14).map(|i| ("scorekeeper", zones[i % 3])).collect();
    let fleet = Fleet::start(&store, record, &places);
    fleet.beat();
    let dir = rig::scratch("crash");
    let cloud = rig::empty_cloud();
    let nodes: Vec<Node> = (0..3)
        .map(|i| rig::start_node(&dir, &format!("edge-{i}"), zones[i], store.port(|_| StoreFate::Serve), cloud))
        .collect();
    if !rig::wait_until_served(record, &nodes) {
        return 2;
    }
    rig::sleep_ms(4_000);
    let lasting = r#"{"spec":"lasts","steps":[{"count":1,"cpu":1500,"memMb":512,"estimateMs":400,"persistent":true}]}"#;
    let plain = r#"{"spec":"4000","steps":[{"count":1,"cpu":1500,"memMb":512,"estimateMs":4000}]}"#;
    let (live, check) = (format!("/live/{LASTING}"), format!("/check/{PLAIN}"));
    for (job, path, body) in [(LASTING, &live, lasting), (PLAIN, &check, plain)] {
        if rig::client(record, &nodes[1], "POST", path, body).is_none_or(|r| r.0 != 200) {
            return 2;
        }
        if trouble {
            crash_under(&fleet, record, job);
        }
    }
    // Long enough for a lost run to start again and for the plain job to end.
    rig::sleep_ms(15_000);
    let mut broken = false;
    for (job, path) in [(LASTING, &live), (PLAIN, &check)] {
        let Some((200, state)) = rig::client(record, &nodes[2], "GET", path, "") else {
            record.line(&format!("{job}: state not read"));
            return 2;
        };
        let runs = fleet.runs_of(job);
        for run in &runs {
            record.line(&format!("{job}: {run:?}"));
        }
        let failed_ends = runs.iter().filter(|r| r.ended.as_ref().is_some_and(|e| e.1 == "failed")).count();
        if state.contains("\"failed\"") && failed_ends == 0 {
            record.line(&format!("LOST: {job} is shown as `failed`, and none of its runs has ended `failed`"));
            broken = true;
        }
    }
    i32::from(broken)
}

/// Crashes the executor of each of the job's next runs.
fn crash_under(fleet: &Arc<Fleet>, record: &Record, job: &str) {
    let mut seen = 0;
    let give_up = record.now() + 16_000;
    while seen < CRASHES && record.now() < give_up {
        let runs: Vec<Run> = fleet.runs_of(job);
        let Some(run) = runs.get(seen) else {
            rig::sleep_ms(5);
            continue;
        };
        seen += 1;
        rig::sleep_ms((run.began_at + CRASH_AFTER_MS).saturating_sub(record.now()));
        let executor = fleet.executor(&run.executor);
        fleet.crash(&executor);
        rig::sleep_ms(DOWN_MS);
        fleet.restart(&executor);
    }
}
