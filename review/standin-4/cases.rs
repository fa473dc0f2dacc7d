//! The cases: what clients send, which disruption comes, and the check of the rule.

use crate::{
    executor::Kind,
    json::object,
    nodes,
    record::Record,
    world::{KEY, OPEN_PREFIX, PREFIX, World, config},
};
use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

pub fn play(case: &str, trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    match case {
        "channels" => channels(trouble, record),
        "crashes" => crashes(trouble, record),
        "other-kind" => other_kind(trouble, record),
        "open-queue" => open_queue(trouble, record),
        _ => Err("no such case".to_owned()),
    }
}

fn ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn kind(cpu: u64, labels: &[&str]) -> Kind {
    Kind {
        cpu,
        labels: labels.iter().map(|l| (*l).to_owned()).collect(),
    }
}

/// Waits until `holds`, for at most `limit_ms`; returns whether it held.
fn wait_for(limit_ms: u64, holds: impl Fn() -> bool) -> bool {
    for _ in 0..limit_ms / 10 {
        if holds() {
            return true;
        }
        ms(10);
    }
    holds()
}

/// All nodes lose power a few times, each time while small tasks start, and are back after 2 s. A job that
/// comes afterwards must be done.
fn channels(trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    let kinds = (0..4)
        .map(|i| kind(16_000, &["k-big", &format!("r1-{i}")]))
        .collect();
    let mut world = World::start(kinds, record)?;
    let submit = |world: &World, n: u64, count: u64| {
        let job = format!("{:016x}", 0xa000 + n);
        let step = object([
            ("count", count.into()),
            ("cpu", 500.into()),
            ("memMb", 100.into()),
            ("estimateMs", 400.into()),
        ]);
        world.set_need(&job, 500, None);
        let path = format!("{PREFIX}{job}");
        let body = nodes::job("work=400", step);
        let answer = world.nodes.call(0, "POST", &path, Some(KEY), &body);
        answer.filter(|(status, _)| *status == 200).map(|_| job)
    };
    for round in 0..4 {
        let job = submit(&world, round, 100).ok_or("a job was not accepted")?;
        if !wait_for(10_000, || !world.running_on(&job).is_empty()) && !trouble {
            return Err("the tasks did not start".to_owned());
        }
        ms(200);
        if trouble {
            world.powerless.store(true, Ordering::SeqCst);
            world.nodes.end();
            record.line("all nodes lose power");
            ms(2_000);
            world.powerless.store(false, Ordering::SeqCst);
            for node in 0..world.nodes.count() {
                world.nodes.start(node);
            }
            if !world
                .nodes
                .wait_until_ready(PREFIX, KEY, Duration::from_secs(12))
            {
                return Err("a node does not answer".to_owned());
            }
        }
        for executor in &world.executors {
            let (open, resets) = (executor.channels.open(), executor.channels.resets());
            record.line(&format!(
                "{}: {open} channels, {resets} reset over the cap",
                executor.id
            ));
        }
        ms(1_000);
    }
    let job = submit(&world, 100, 4).ok_or("the last job was not accepted")?;
    ms(20_000);
    let state = world.nodes.state(1, PREFIX, &job, KEY);
    if state.as_deref() != Some("completed") {
        record.broken(&format!(
            "LOST: 20 s after its acceptance a job of 4 small tasks is {state:?}, with four idle executors"
        ));
    }
    Ok(())
}

/// One of eight executors, the only one of its kind, goes down and up by turns. A job whose task lasts and
/// needs that kind must go on once the executor stays.
fn crashes(trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    let mut kinds = vec![kind(16_000, &["k-big", "r1-0"])];
    kinds.extend((1..8).map(|i| kind(16_000, &["k-small", &format!("r1-{i}")])));
    let world = World::start(kinds, record)?;
    let job = "00000000000000a1";
    let step = object([
        ("count", 1.into()),
        ("cpu", 2_000.into()),
        ("memMb", 1_000.into()),
        ("estimateMs", 60_000.into()),
        ("requiredLabel", "k-big".into()),
        ("persistent", true.into()),
    ]);
    world.set_need(job, 2_000, Some("k-big"));
    let path = format!("{PREFIX}{job}");
    let answer = world
        .nodes
        .call(0, "POST", &path, Some(KEY), &nodes::job("lasts", step));
    if answer.is_none_or(|(status, _)| status != 200) {
        return Err("the job was not accepted".to_owned());
    }
    if !wait_for(10_000, || world.running_on(job) == [0]) {
        return Err("the task did not start".to_owned());
    }
    ms(1_500);
    if trouble {
        let executor = &world.executors[0];
        for _ in 0..4 {
            executor.crash();
            ms(900);
            executor.restart(kind(16_000, &["k-big", "r1-0"]));
            ms(700);
        }
        executor.crash();
        ms(900);
        executor.restart(kind(16_000, &["k-big", "r1-0"]));
    }
    // The executor stays from here on; a lease of 6 s may have to run out first.
    ms(14_000);
    for node in 0..world.nodes.count() {
        let state = world.nodes.state(node, PREFIX, job, KEY);
        if state.as_deref() == Some("failed") {
            record.broken(
                "LOST: a job that nobody cancelled is shown as failed, and no run ended failed",
            );
        }
    }
    if world.running_on(job).is_empty() {
        record.broken("LOST: the task that lasts does not run, 14 s after its executor is back");
    }
    Ok(())
}

/// One of five executors is cut off from the store, crashes behind the cut and starts again as another
/// kind, with fewer cores. Work goes on meanwhile.
fn other_kind(trouble: bool, record: &Arc<Record>) -> Result<(), String> {
    let kinds = (0..5)
        .map(|i| kind(16_000, &["k-big", &format!("r1-{i}")]))
        .collect();
    let world = World::start(kinds, record)?;
    let submit = |n: u64, label: Option<&str>| {
        let job = format!("{:016x}", 0xb000 + n);
        let mut fields = vec![
            ("count", 25.into()),
            ("cpu", 3_000.into()),
            ("memMb", 500.into()),
            ("estimateMs", 700.into()),
        ];
        fields.extend(label.map(|l| ("requiredLabel", l.into())));
        let step =
            crate::json::Json::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect());
        world.set_need(&job, 3_000, label);
        let path = format!("{PREFIX}{job}");
        world.nodes.call(
            n as usize % 3,
            "POST",
            &path,
            Some(KEY),
            &nodes::job("work=700", step),
        );
    };
    submit(0, None);
    ms(3_000);
    if trouble {
        world.executors[0].set_cut(true);
        world.executors[0].crash();
        ms(500);
        world.executors[0].restart(kind(4_000, &["k-small", "r1-0"]));
    }
    for n in 1..6 {
        submit(n, (n % 2 == 0).then_some("k-big"));
        ms(700);
    }
    if trouble {
        ms(1_000);
        world.executors[0].set_cut(false);
    }
    ms(4_000);
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
