//! The store loses the answer to the write of a job and carries the write out seconds later. Its
//! client has left meanwhile and has cancelled the job at another node.

use crate::rig::{self, Fleet, Node, Record, Store, StoreFate};
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

const JOB: &str = "c100000000000001";
/// Time from the lost write to its execution: the pages say 1 to 6 s.
const LATE_MS: u64 = 5_000;
/// Time after which the client leaves: the pages say that clients leave before their time budget.
const PATIENCE_MS: u64 = 500;
const CANCEL_MS: u64 = 3_000;
const KILL_GRACE_MS: u64 = 200;

pub fn play(record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::new();
    store.put("op/config", rig::CONFIG);
    let zones = ["montreal", "sherbrooke", "trois-rivieres"];
    let places: Vec<(&str, &str)> = (0..6).map(|i| ("scorekeeper", zones[i % 3])).collect();
    let fleet = Fleet::start(&store, record, &places);
    fleet.beat();
    let dir = rig::scratch("late");
    let cloud = rig::empty_cloud();
    let lost = Arc::new(AtomicBool::new(false));
    let written = Arc::new(AtomicU32::new(0));
    let fate = |record: Arc<Record>| {
        let (lost, written) = (lost.clone(), written.clone());
        move |req: &rig::Req| {
            written.fetch_add(u32::from(req.path == "/-/kv-txn"), Ordering::SeqCst);
            let sets = req.body.get("setKeys").list();
            let of_job = sets.iter().any(|s| s.get("key").str() == format!("w/j/{JOB}"));
            if trouble && req.path == "/-/kv-txn" && of_job && !lost.swap(true, Ordering::SeqCst) {
                record.line(&format!("the store gives no answer to the write of {JOB}, and carries it out {LATE_MS} ms later"));
                return StoreFate::Late(LATE_MS);
            }
            StoreFate::Serve
        }
    };
    let nodes: Vec<Node> = (0..3)
        .map(|i| rig::start_node(&dir, &format!("edge-{i}"), zones[i], store.port(fate(record.clone())), cloud))
        .collect();
    if !rig::wait_until_served(record, &nodes) {
        return 2;
    }
    rig::sleep_ms(4_000);
    // Other clients, whose writes are answered.
    let usual = |from: u32| {
        for i in from..from + 10 {
            let other = r#"{"spec":"200","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":200}]}"#;
            rig::client(record, &nodes[0], "POST", &format!("/check/c2{i:014x}"), other);
            rig::sleep_ms(50);
        }
    };
    usual(0);
    let before = written.load(Ordering::SeqCst);
    let path = format!("/check/{JOB}");
    let body = r#"{"spec":"4000","steps":[{"count":2,"cpu":1500,"memMb":512,"estimateMs":4000},{"count":2,"cpu":1500,"memMb":512,"estimateMs":4000,"after":[0]}]}"#;
    std::thread::scope(|scope| {
        scope.spawn(|| usual(10));
        rig::client_leaves(record, &nodes[1], "POST", &path, body, PATIENCE_MS);
    });
    let count = written.load(Ordering::SeqCst) - before;
    record.line(&format!("writes sent to the store meanwhile: {count}, of which {} got no answer", u32::from(trouble)));
    let Some((status @ (200 | 410), _)) = rig::client(record, &nodes[2], "DELETE", &path, "") else {
        record.line("the cancel was not acknowledged");
        return 2;
    };
    let acked_at = record.now();
    record.line(&format!("the cancel is acknowledged with {status}"));
    rig::sleep_ms(14_000);
    rig::client(record, &nodes[2], "GET", &path, "");
    let mut broken = false;
    let by = acked_at + CANCEL_MS;
    for run in fleet.runs_of(JOB) {
        record.line(&format!("{run:?}"));
        if run.began_at > by {
            record.line(&format!("UNASKED: {} starts {} ms after the cancel was acknowledged", run.task, run.began_at - acked_at));
            broken = true;
        } else if run.ended.as_ref().is_none_or(|(at, _)| *at > by + KILL_GRACE_MS) {
            record.line(&format!("UNASKED: {} runs on {CANCEL_MS} + {KILL_GRACE_MS} ms after the cancel was acknowledged", run.task));
            broken = true;
        }
    }
    i32::from(broken)
}
