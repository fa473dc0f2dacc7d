//! The two executors of a kind fail for some seconds all that they start. A job that lasts needs
//! that kind; it is to run again once they are sound.

use crate::rig::{self, Fleet, Node, Record, Store, StoreFate};
use std::sync::Arc;

const LASTING: &str = "f100000000000001";
const KIND: &str = "kind-a";
/// Executors of the kind: 2 of 14, below the share of 0.15 that the pages set.
const LABELLED: usize = 2;
/// Length of the disturbance, as the pages' default.
const GREY_MS: u64 = 5_000;
/// Other jobs of the kind that come meanwhile, with two tasks on each of these executors.
const OTHERS: usize = 12;
const OBSERVED_MS: u64 = 45_000;
/// The rule: from 6 s after its last run, for 3 s, if these and the 4 s before them are calm.
const AFTER_RUN_MS: u64 = 6_000;
const CALM_MS: u64 = 4_000;
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
    let dir = rig::scratch("grey");
    let cloud = rig::empty_cloud();
    let nodes: Vec<Node> = (0..3)
        .map(|i| rig::start_node(&dir, &format!("edge-{i}"), zones[i], store.port(|_| StoreFate::Serve), cloud))
        .collect();
    if !rig::wait_until_served(record, &nodes) {
        return 2;
    }
    rig::sleep_ms(4_000);
    let set_grey = |grey: bool| {
        for executor in &fleet.executors[..LABELLED] {
            executor.set_grey(grey);
            let what = if grey { "fails all that it starts" } else { "is sound again" };
            record.line(&format!("executor {} {what}", executor.id));
        }
    };
    if trouble {
        set_grey(true);
    }
    let grey_at = record.now();
    let lasting = format!(
        "{{\"spec\":\"lasts\",\"steps\":[{{\"count\":1,\"cpu\":1500,\"memMb\":512,\"estimateMs\":400,\"persistent\":true,\"requiredLabel\":\"{KIND}\"}}]}}"
    );
    let other = format!(
        "{{\"spec\":\"500\",\"steps\":[{{\"count\":4,\"cpu\":300,\"memMb\":128,\"estimateMs\":500,\"maxPerServer\":2,\"requiredLabel\":\"{KIND}\"}}]}}"
    );
    let live = format!("/live/{LASTING}");
    let accepted = |path: &str, body: &str| rig::client(record, &nodes[1], "POST", path, body).is_some_and(|r| r.0 == 200);
    let others = (0..OTHERS).all(|i| accepted(&format!("/check/f2{i:014x}"), &other));
    if !others || !accepted(&live, &lasting) {
        return 2;
    }
    rig::sleep_ms((grey_at + GREY_MS).saturating_sub(record.now()));
    if trouble {
        set_grey(false);
    }
    let calm_from = if trouble { record.now() + CALM_MS } else { record.now() };
    rig::sleep_ms((grey_at + OBSERVED_MS).saturating_sub(record.now()));
    rig::client(record, &nodes[2], "GET", &live, "");
    let mut broken = false;
    let mut free_since = calm_from;
    let mut runs = fleet.runs_of(LASTING);
    runs.sort_by_key(|r| r.began_at);
    for run in &runs {
        record.line(&format!("{run:?}"));
    }
    let now = record.now();
    let starts = runs.iter().map(|r| r.began_at).chain([now]);
    let ends = runs.iter().map(|r| r.ended.as_ref().map_or(u64::MAX, |e| e.0));
    for (next_start, end) in starts.skip(1).zip(ends) {
        if end == u64::MAX {
            continue;
        }
        free_since = calm_from.max(end + AFTER_RUN_MS);
        if next_start > free_since + IDLE_MS {
            record.line(&format!(
                "LOST: {LASTING} has nothing running from {end} to {next_start} ms, both executors of its kind are sound and empty; the rule allows it until {} ms",
                free_since + IDLE_MS
            ));
            broken = true;
        }
    }
    if runs.is_empty() && now > free_since + IDLE_MS {
        record.line(&format!("LOST: {LASTING} never ran"));
        broken = true;
    }
    for i in 0..OTHERS {
        rig::client(record, &nodes[2], "GET", &format!("/check/f2{i:014x}"), "");
    }
    i32::from(broken)
}
