//! Timed jobs, some of them cancelled, while nodes are killed, stopped and frozen, executors crash and
//! answers of the store are lost. Found no fault; kept for what the report says of it.

use crate::rig::{self, Fleet, Node, Record, Run, SIGCONT, SIGSTOP, Store, StoreFate};
use std::{collections::BTreeMap, sync::Arc};

fn seed_of() -> u64 {
    std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1)
}

pub fn play(record: &Arc<Record>, trouble: bool) -> i32 {
    let mut seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let mut random = move |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    let store = Store::new();
    store.put("op/config", rig::CONFIG);
    let zones = ["montreal", "sherbrooke", "trois-rivieres"];
    let executors: usize = std::env::var("EXECUTORS").ok().and_then(|s| s.parse().ok()).unwrap_or(10);
    let places: Vec<(&str, &str)> = (0..executors).map(|i| ("scorekeeper", zones[i % 3])).collect();
    let fleet = Fleet::start(&store, record, &places);
    fleet.beat();
    let dir = rig::scratch("timed");
    let cloud = rig::empty_cloud();
    let dice = Arc::new(std::sync::atomic::AtomicU64::new(seed_of()));
    let lossy = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let fate = |_: usize| {
        let (dice, lossy) = (dice.clone(), lossy.clone());
        move |req: &rig::Req| {
            use std::sync::atomic::Ordering::SeqCst;
            if req.path != "/-/kv-txn" || !lossy.load(SeqCst) {
                return StoreFate::Serve;
            }
            let n = dice.fetch_add(0x9e37_79b9_7f4a_7c15, SeqCst).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33;
            if n % 100 < 20 { StoreFate::Late(1_000 + n % 5_000) } else { StoreFate::Serve }
        }
    };
    let start = |i: usize| rig::start_node(&dir, &format!("edge-{i}"), zones[i % 3], store.port(fate(i)), cloud);
    let mut nodes: Vec<Node> = (0..3).map(start).collect();
    if !rig::wait_until_served(record, &nodes) {
        return 2;
    }
    rig::sleep_ms(2_000);
    let mut jobs: BTreeMap<String, (u64, u64, u64)> = BTreeMap::new();
    let mut cancelled: BTreeMap<String, u64> = BTreeMap::new();
    let began = record.now();
    let mut next_kill = began + 3_000;
    let mut frozen: Option<(usize, u64)> = None;
    while record.now() < began + 60_000 {
        let now = record.now();
        if jobs.len() < 40 {
            let id = format!("e1{:014x}", jobs.len());
            let (times, every) = (2 + random(7), 400 + random(2_000));
            let start_ms = rig::unix_ms() + random(2_500);
            let body = format!(
                "{{\"spec\":\"{}\",\"repeatCount\":{times},\"startMs\":{start_ms},\"intervalMs\":{every},\"steps\":[{{\"count\":{},\"cpu\":1500,\"memMb\":500,\"estimateMs\":500}},{{\"count\":2,\"cpu\":1500,\"memMb\":500,\"estimateMs\":500,\"after\":[0]}}]}}",
                200 + random(900),
                1 + random(4)
            );
            for attempt in 0..5 {
                let i = (jobs.len() + attempt) % 3;
                let reply = rig::client(record, &nodes[i], "POST", &format!("/check/{id}"), &body);
                if reply.is_some_and(|r| r.0 == 200) {
                    jobs.insert(id.clone(), (times, start_ms, every));
                    break;
                }
            }
        }
        if trouble && now > next_kill && now < began + 45_000 {
            let i = random(3) as usize;
            lossy.store(random(3) == 0, std::sync::atomic::Ordering::SeqCst);
            if random(3) == 0 {
                let e = fleet.executors[random(executors as u64) as usize].clone();
                let (f, down) = (fleet.clone(), 300 + random(2_000));
                std::thread::spawn(move || {
                    f.crash(&e);
                    rig::sleep_ms(down);
                    f.restart(&e);
                });
            } else if random(3) == 0 && frozen.is_none() {
                nodes[i].signal(SIGSTOP);
                record.line(&format!("edge-{i} freezes"));
                frozen = Some((i, now + 500 + random(3_000)));
            } else if frozen.is_none() {
                if random(2) == 0 {
                    nodes[i].signal(rig::SIGTERM);
                    record.line(&format!("edge-{i} gets SIGTERM"));
                    let by = record.now() + 6_000;
                    while nodes[i].is_alive() && record.now() < by {
                        rig::sleep_ms(20);
                    }
                }
                nodes[i].kill();
                record.line(&format!("edge-{i} is killed"));
                rig::sleep_ms(200 + random(800));
                nodes[i] = start(i);
            }
            next_kill = now + 1_500 + random(3_000);
        }
        if trouble && jobs.len() > 5 && random(12) == 0 {
            let id = jobs.keys().nth(random(jobs.len() as u64) as usize).unwrap().clone();
            let reply = rig::client(record, &nodes[random(3) as usize], "DELETE", &format!("/check/{id}"), "");
            if reply.is_some_and(|r| r.0 == 200 || r.0 == 410) {
                cancelled.entry(id).or_insert(record.now());
            }
        }
        if let Some((i, at)) = frozen {
            if now > at {
                nodes[i].signal(SIGCONT);
                record.line(&format!("edge-{i} wakes"));
                frozen = None;
            }
        }
        rig::sleep_ms(100);
    }
    lossy.store(false, std::sync::atomic::Ordering::SeqCst);
    for node in &nodes {
        node.signal(SIGCONT);
    }
    rig::sleep_ms(16_000);
    let mut broken = false;
    for (id, (times, _, _)) in &jobs {
        let state = rig::client(record, &nodes[0], "GET", &format!("/check/{id}"), "");
        let mut by_task: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in fleet.runs_of(id) {
            by_task.entry(run.task.clone()).or_default().push(run);
        }
        let body = state.map(|(s, b)| format!("{s} {b}")).unwrap_or_default();
        if let Some(at) = cancelled.get(id) {
            for run in by_task.values().flatten().filter(|r| r.began_at > at + 11_000) {
                record.line(&format!("UNASKED? {run:?} cancelled at {at} state {body}"));
                broken = true;
            }
            continue;
        }
        if body.contains("failed") {
            record.line(&format!("failed {id}"));
            continue;
        }
        let completed = body.contains("completed");
        let done = by_task.values().filter(|r| r.iter().any(|r| r.ended.as_ref().is_some_and(|e| e.1 == "done"))).count();
        if !completed || done != by_task.len() {
            record.line(&format!("LOST? {id} times {times} state {body} done {done} of {}", by_task.len()));
            broken = true;
        }
        for (task, runs) in &by_task {
            for (i, a) in runs.iter().enumerate() {
                for b in &runs[i + 1..] {
                    let overlap = a.ended.as_ref().is_none_or(|(at, _)| *at > b.began_at);
                    let after_done = a.ended.as_ref().is_some_and(|(_, how)| how == "done") && a.noted_at.is_some() && !a.lapsed;
                    if overlap || after_done {
                        record.line(&format!("TWICE {task}: {a:?} {b:?}"));
                        broken = true;
                    }
                }
            }
        }
    }
    i32::from(broken)
}
