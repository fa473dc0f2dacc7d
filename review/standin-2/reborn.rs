//! Executors that are cut off from the store, but not from the nodes, crash behind the cut and
//! start again as executors of another kind. Jobs keep coming whose tasks need the label of the
//! kind that they were of before.

use crate::rig::{self, Fleet, Node, Record, Store, StoreFate};
use std::sync::Arc;

/// Executors with the label that the jobs need; the rest of the fourteen has another one.
const LABELLED: usize = 6;
/// Cut off at once: 2 of 14, below the share of 0.2 that the pages set.
const CUT: usize = 2;
const DOWN_MS: u64 = 500;
/// Length of the cut, as the pages' default.
const CUT_MS: u64 = 5_000;
const OLD_KIND: &str = "kind-a";
const NEW_KIND: &str = "kind-b";

pub fn play(record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::new();
    store.put("op/config", rig::CONFIG);
    let zones = ["montreal", "sherbrooke", "trois-rivieres"];
    let places: Vec<(&str, &str)> = (0..14).map(|i| ("scorekeeper", zones[i % 3])).collect();
    let fleet = Fleet::start(&store, record, &places);
    for (i, executor) in fleet.executors.iter().enumerate() {
        executor.set_kind(if i < LABELLED { OLD_KIND } else { NEW_KIND });
        fleet.report(executor);
    }
    rig::lock(&fleet.needs).push(("d1".into(), OLD_KIND.into()));
    fleet.beat();
    let dir = rig::scratch("reborn");
    let cloud = rig::empty_cloud();
    let nodes: Vec<Node> = (0..3)
        .map(|i| rig::start_node(&dir, &format!("edge-{i}"), zones[i], store.port(|_| StoreFate::Serve), cloud))
        .collect();
    if !rig::wait_until_served(record, &nodes) {
        return 2;
    }
    rig::sleep_ms(4_000);
    let mut sent = 0;
    let mut submit = || {
        sent += 1;
        let path = format!("/check/d1{sent:014x}");
        let body = format!(
            "{{\"spec\":\"500\",\"steps\":[{{\"count\":24,\"cpu\":3000,\"memMb\":2000,\"estimateMs\":500,\"requiredLabel\":\"{OLD_KIND}\"}}]}}"
        );
        rig::client(record, &nodes[sent % 3], "POST", &path, &body).is_some_and(|r| r.0 == 200)
    };
    let cut: Vec<_> = fleet.executors.iter().take(CUT).cloned().collect();
    let began = record.now();
    let (mut crashed, mut back, mut healed) = (!trouble, !trouble, !trouble);
    while record.now() < began + 20_000 {
        if !submit() {
            return 2;
        }
        let at = record.now() - began;
        if !crashed && at > 4_000 {
            crashed = true;
            for e in &cut {
                e.set_cut(true);
                record.line(&format!("executor {} is cut off from the store", e.id));
                fleet.crash(e);
            }
        }
        if !back && at > 4_000 + DOWN_MS {
            back = true;
            for e in &cut {
                e.set_kind(NEW_KIND);
                fleet.restart(e);
            }
        }
        if !healed && at > 4_000 + CUT_MS {
            healed = true;
            for e in &cut {
                e.set_cut(false);
                record.line(&format!("executor {} reaches the store again", e.id));
            }
        }
        rig::sleep_ms(250);
    }
    let wrong = rig::lock(&fleet.wrong_kind).clone();
    for line in &wrong {
        record.line(&format!("ROUTE: {line}"));
    }
    record.line(&format!("{} starts, {} of them without the label", rig::lock(&fleet.runs).len(), wrong.len()));
    i32::from(!wrong.is_empty())
}
