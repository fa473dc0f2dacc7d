//! A job takes many times as long as its estimate says. Nothing else is disturbed.

use crate::rig::{self, Fleet, Node, Record, Store, StoreFate};
use std::sync::Arc;

const JOB: &str = "ab00000000000001";
const KIND: &str = "kind-a";
/// Executors of the kind that the job needs.
const LABELLED: usize = 2;
const ESTIMATE_MS: u64 = 50_000;
/// How many times as long the job takes.
const TIMES: u64 = 6;
const OBSERVED_MS: u64 = 75_000;
/// The rule: `finish_s` after the end of the traffic, for 3 s.
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;

pub fn play(record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::new();
    store.put("op/config", rig::CONFIG);
    let zones = ["montreal", "sherbrooke", "trois-rivieres"];
    let places: Vec<(&str, &str)> = (0..14).map(|i| ("scorekeeper", zones[i % 3])).collect();
    let fleet = Fleet::start(&store, record, &places);
    for executor in &fleet.executors[..LABELLED] {
        executor.set_kind(KIND);
        fleet.report(executor);
    }
    fleet.beat();
    let dir = rig::scratch("long");
    let cloud = rig::empty_cloud();
    let nodes: Vec<Node> = (0..3)
        .map(|i| rig::start_node(&dir, &format!("edge-{i}"), zones[i], store.port(|_| StoreFate::Serve), cloud))
        .collect();
    if !rig::wait_until_served(record, &nodes) {
        return 2;
    }
    rig::sleep_ms(4_000);
    let takes_ms = ESTIMATE_MS * if trouble { TIMES } else { 1 };
    record.line(&format!("the job's task takes {takes_ms} ms, its estimate is {ESTIMATE_MS} ms"));
    let body = format!(
        "{{\"spec\":\"{takes_ms}\",\"steps\":[{{\"count\":1,\"cpu\":1500,\"memMb\":512,\"estimateMs\":{ESTIMATE_MS},\"requiredLabel\":\"{KIND}\"}}]}}"
    );
    let path = format!("/check/{JOB}");
    if rig::client(record, &nodes[1], "POST", &path, &body).is_none_or(|r| r.0 != 200) {
        return 2;
    }
    let traffic_ended = record.now();
    rig::sleep_ms(OBSERVED_MS);
    let now = record.now();
    let state = rig::client(record, &nodes[2], "GET", &path, "");
    if state.is_some_and(|(_, body)| body.contains("completed")) {
        return 0;
    }
    let mut runs = fleet.runs_of(JOB);
    runs.sort_by_key(|r| r.began_at);
    for run in &runs {
        record.line(&format!("{run:?}"));
    }
    let mut broken = false;
    let starts = runs.iter().map(|r| r.began_at).chain([now]).skip(1);
    for (run, next_start) in runs.iter().zip(starts) {
        let Some((end, _)) = &run.ended else { continue };
        let from = (*end).max(traffic_ended + FINISH_MS);
        if next_start > from + IDLE_MS {
            record.line(&format!(
                "LOST: {JOB} has nothing running from {from} to {next_start} ms; both executors of its kind are sound and empty"
            ));
            broken = true;
        }
    }
    i32::from(broken)
}
