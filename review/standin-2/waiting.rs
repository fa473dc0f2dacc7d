//! Large jobs wait for executors of a kind that is not there, and the nodes are stopped and started in
//! turn. Every node is asked how many jobs of the queue wait.

use crate::rig::{self, Fleet, Json, Node, Record, SIGTERM, Store, StoreFate};
use std::sync::Arc;

const JOBS: usize = 6;
/// Tasks of each job.
const TASKS: u32 = 5_000;
const KIND: &str = "kind-z";
/// Longer than `stableMs`, until the machines are in touch again, and than `visible_ms` and the 2 s that the
/// rule allows after an ack.
const SETTLE_MS: u64 = 10_000;
/// Pause between the stops, and the time that a process has to end: `graceS`.
const GAP_MS: u64 = 1_000;
const GRACE_MS: u64 = 6_000;

pub fn play(record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::new();
    store.put("op/config", rig::CONFIG);
    let zones = ["montreal", "sherbrooke", "trois-rivieres"];
    let places: Vec<(&str, &str)> = (0..14).map(|i| ("scorekeeper", zones[i % 3])).collect();
    let fleet = Fleet::start(&store, record, &places);
    fleet.beat();
    let dir = rig::scratch("waiting");
    let cloud = rig::empty_cloud();
    let start = |i: usize| rig::start_node(&dir, &format!("edge-{i}"), zones[i], store.port(|_| StoreFate::Serve), cloud);
    let mut nodes: Vec<Node> = (0..3).map(start).collect();
    if !rig::wait_until_served(record, &nodes) {
        return 2;
    }
    rig::sleep_ms(4_000);
    for i in 0..JOBS {
        let body = format!(
            "{{\"spec\":\"500\",\"steps\":[{{\"count\":{TASKS},\"cpu\":1000,\"memMb\":512,\"estimateMs\":500,\"requiredLabel\":\"{KIND}\"}}]}}"
        );
        let reply = rig::client(record, &nodes[i % 3], "POST", &format!("/check/aa{i:014x}"), &body);
        if reply.is_none_or(|r| r.0 != 200) {
            return 2;
        }
    }
    rig::sleep_ms(SETTLE_MS);
    if ask(record, &nodes).iter().any(|n| *n != Some(JOBS as u64)) {
        return 2;
    }
    if trouble {
        for i in 0..3 {
            nodes[i].signal(SIGTERM);
            record.line(&format!("edge-{i} gets SIGTERM"));
            let by = record.now() + GRACE_MS;
            while nodes[i].is_alive() && record.now() < by {
                rig::sleep_ms(20);
            }
            nodes[i] = start(i);
            record.line(&format!("edge-{i} starts again"));
            rig::sleep_ms(GAP_MS);
        }
    }
    rig::sleep_ms(SETTLE_MS);
    let counts = ask(record, &nodes);
    for i in 0..JOBS {
        rig::client(record, &nodes[i % 3], "GET", &format!("/check/aa{i:014x}"), "");
    }
    let begun = rig::lock(&fleet.runs).len();
    record.line(&format!("starts of these jobs: {begun}"));
    let low = counts.iter().flatten().any(|n| 2 * n < JOBS as u64);
    if low {
        record.line(&format!("MIXED: {JOBS} accepted jobs haven't begun, and `waiting` is under half of them"));
    }
    i32::from(low && begun == 0)
}

fn ask(record: &Record, nodes: &[Node]) -> Vec<Option<u64>> {
    let ask = |n: &Node| {
        let (status, body) = rig::client(record, n, "GET", "/check/", "")?;
        Json::parse(&body).filter(|_| status == 200)?.get("waiting").num()
    };
    nodes.iter().map(ask).collect()
}
