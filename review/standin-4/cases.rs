//! The cases: what clients send, which disruption comes, and the check of the rule.

use crate::{
    executor::{Kind, unix_ms},
    json::{Json, object},
    nodes,
    record::Record,
    world::{KEY, OPEN_PREFIX, PREFIX, World, config},
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

pub fn play(case: &str, trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    match case {
        "steps" => steps(trouble, record),
        "overlap" => overlap(trouble, record),
        "open-queue" => open_queue(trouble, record),
        _ => Err("no such case".to_owned()),
    }
}

/// Image of the tasks of a job with many steps: a name with a digest.
const IMAGE: &str = "docs/render@2f9a4c7be1d05836a9c4e7f210b3d8655e0f1c9ab7d24863";

/// `memoryMb` of the settings.
const MEMORY_BYTES: u64 = 260_000_000;

fn ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn kind(cpu: u64, labels: &[&str]) -> Kind {
    Kind {
        cpu,
        labels: labels.iter().map(|l| (*l).to_owned()).collect(),
    }
}

/// A job of many occurrences that overlap, as their tasks last. Each occurrence must run once it is due.
fn overlap(trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    let kinds = (0..4)
        .map(|i| kind(16_000, &["k-big", &format!("r1-{i}")]))
        .collect();
    let world = World::start(kinds, record)?;
    let (job, times) = ("00000000000000d1", if trouble { 80 } else { 40 });
    let step = object([
        ("count", 1.into()),
        ("cpu", 100.into()),
        ("memMb", 10.into()),
        ("estimateMs", 60_000.into()),
        ("persistent", true.into()),
    ]);
    let body = object([
        ("spec", "lasts".into()),
        ("steps", Json::List(vec![step])),
        ("repeatCount", times.into()),
        ("startMs", (unix_ms() + 1_000).into()),
        ("intervalMs", 250.into()),
    ]);
    world.set_need(job, 100, None);
    let path = format!("{PREFIX}{job}");
    let answer = world
        .nodes
        .call(0, "POST", &path, Some(KEY), &body.to_string());
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err("the job was not accepted".to_owned());
    }
    // The last occurrence is due after 21 s at most.
    ms(21_000);
    for second in 0..20 {
        let running: usize = world.executors.iter().map(|e| e.runs().len()).sum();
        record.line(&format!(
            "{second} s after all {times} occurrences are due, {running} tasks run"
        ));
        ms(1_000);
    }
    let running: usize = world.executors.iter().map(|e| e.runs().len()).sum();
    if running < times as usize {
        let missing = times as usize - running;
        record.broken(&format!(
            "LOST: {missing} tasks that last have never run, 20 s after they were due, with idle executors"
        ));
    }
    world.nodes.state(1, PREFIX, job, KEY);
    Ok(())
}

/// The tenant's key is taken away while it is used on a queue that is open to all.
fn open_queue(trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    let kinds = (0..4)
        .map(|i| kind(16_000, &["k-big", &format!("r1-{i}")]))
        .collect();
    let world = World::start(kinds, record)?;
    let submit = |n: usize| {
        let job = format!("{:016x}", 0xc000 + n);
        let step = object([
            ("count", 1.into()),
            ("cpu", 1_000.into()),
            ("memMb", 500.into()),
            ("estimateMs", 500.into()),
        ]);
        world.set_need(&job, 1_000, None);
        let path = format!("{OPEN_PREFIX}{job}");
        let body = nodes::job("work=500", step);
        let answer = world.nodes.call(n % 3, "POST", &path, Some(KEY), &body);
        answer.is_some_and(|(status, _)| (200..300).contains(&status))
    };
    if !(0..3).all(&submit) {
        return Err("a job was not accepted".to_owned());
    }
    if trouble {
        world.store.put("op/config", &config(3, &["another-key"]));
        record.line("operator: version 3 takes the key away; acknowledged");
        ms(7_000);
    }
    for n in 3..6 {
        if submit(n) && trouble {
            record.broken(
                "CONFIG: a call with a key that was taken away 7 s before is answered with 200",
            );
        }
    }
    Ok(())
}

/// Jobs of many small steps come at the pace of the site's usual ones. No process may exceed its machine's
/// memory again and again, and ordinary jobs that come afterwards must be done.
fn steps(trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    let kinds = (0..4)
        .map(|i| kind(16_000, &["k-big", "r1-0", &format!("x-{i}")]))
        .collect();
    let mut world = World::start(kinds, record)?;
    let count = if trouble { 1_000 } else { 10 };
    let step = |i: u64| {
        let mut fields = vec![
            ("count", 1.into()),
            ("cpu", 100.into()),
            ("memMb", 10.into()),
            ("estimateMs", 500.into()),
            ("requiredLabel", "k-big".into()),
            ("affinity", "r1-0".into()),
            ("image", IMAGE.into()),
        ];
        if i > 0 {
            fields.push(("after", Json::List(vec![(i - 1).into()])));
        }
        Json::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
    };
    let steps = Json::List((0..count).map(step).collect());
    let body = object([("spec", "work=500".into()), ("steps", steps)]).to_string();
    record.line(&format!(
        "each job has {count} steps and {} bytes",
        body.len()
    ));
    let mut accepted = 0;
    let started = Instant::now();
    for n in 0..600u64 {
        let path = format!("{PREFIX}{:016x}", 0xf000 + n);
        let answer = world.nodes.post(n as usize % 3, &path, KEY, &body);
        accepted += u32::from(answer == Some(200));
        world.nodes.keep_within(MEMORY_BYTES);
        if n % 50 == 0 {
            let used = world.nodes.memory();
            record.line(&format!(
                "job {n}: {answer:?}; memory of the nodes {used:?} bytes"
            ));
        }
        if started.elapsed() > Duration::from_secs(40) {
            break;
        }
    }
    record.line(&format!("{accepted} of these jobs were accepted"));
    let small = |n: u64| format!("{:016x}", 0x1000 + n);
    let small_step = object([
        ("count", 1.into()),
        ("cpu", 100.into()),
        ("estimateMs", 300.into()),
    ]);
    let small_body = nodes::job("work=300", small_step);
    let mut expected = Vec::new();
    let watched_at = Instant::now();
    for tick in 0..1_000u64 {
        // A call may take 3 s; the whole run has to stay under 120 s.
        if watched_at.elapsed() > Duration::from_secs(50) {
            break;
        }
        ms(50);
        world.nodes.keep_within(MEMORY_BYTES);
        if tick % 100 == 0 && tick < 700 {
            let path = format!("{PREFIX}{}", small(tick));
            let answer = world
                .nodes
                .call(tick as usize % 3, "POST", &path, Some(KEY), &small_body);
            if answer.is_some_and(|(status, _)| status == 200) {
                expected.push(small(tick));
            }
        }
    }
    let kills = world.nodes.kills();
    record.line(&format!("ends for want of memory, by node: {kills:?}"));
    if kills.iter().filter(|k| **k >= 3).count() >= 2 {
        record.broken(&format!(
            "Fault: on two machines or more the process exceeded its memory three times or more: {kills:?}"
        ));
    }
    let asked_at = Instant::now();
    let done = |job: &&String| {
        let in_time = |_: &usize| asked_at.elapsed() < Duration::from_secs(15);
        let states = (0..3).filter(in_time);
        let mut states = states.filter_map(|n| world.nodes.state(n, PREFIX, job, KEY));
        states.any(|s| s == "completed")
    };
    let open = expected.iter().filter(|j| !done(j)).count();
    record.line(&format!(
        "{open} of {} small jobs that were accepted are not completed",
        expected.len()
    ));
    if !trouble && open > 0 {
        record.broken("LOST: a small job is not completed");
    }
    Ok(())
}
