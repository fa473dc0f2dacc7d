//! A task takes five times as long as its job's estimate, on sound executors that are otherwise idle.

use {
    crate::{
        Verdict,
        record::Record,
        world::{Options, World},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const EXECUTORS: usize = 4;
const ESTIMATE_MS: u64 = 60_000;
/// How many times its estimate the task takes.
const TIMES: u64 = 5;
/// Time after which a job without anything running breaks the rule.
const IDLE_MS: u64 = 3_000;
/// `finish_s` of the settings; the only job is handed in at the start.
const FINISH_MS: u64 = 14_000;
/// Time for which the job is watched.
const WATCHED: Duration = Duration::from_secs(95);

const JOB: &str = "00000000000d0001";

pub fn run(record: Arc<Record>, trouble: bool) -> Verdict {
    let options = Options {
        nodes: 3,
        require_fencing: true,
        executors: vec![16_000; EXECUTORS],
    };
    let world = World::start(record, &options)?;
    play(&world, trouble)
}

fn play(world: &Arc<World>, trouble: bool) -> Verdict {
    std::thread::sleep(Duration::from_secs(4));
    let run_ms = if trouble {
        ESTIMATE_MS * TIMES
    } else {
        ESTIMATE_MS
    };
    let body = format!(
        "{{\"spec\":\"ms={run_ms}\",\"steps\":[{{\"count\":1,\"cpu\":4000,\"memMb\":1024,\
         \"estimateMs\":{ESTIMATE_MS}}}]}}"
    );
    if !matches!(world.insist(0, "POST", JOB, &body), Some((200, _))) {
        return Err("the job was not accepted".to_owned());
    }
    let accepted_at = world.record.now();
    let until = Instant::now() + WATCHED;
    let (mut idle_since, mut idle) = (None, Vec::new());
    let mut state = String::new();
    let mut asked_at = Instant::now();
    while Instant::now() < until {
        let now = world.record.now();
        if world.executors.iter().any(|e| e.runs_job(JOB)) {
            if let Some(since) = idle_since.take() {
                idle.push((since, now));
            }
        } else {
            idle_since.get_or_insert(now);
        }
        if asked_at.elapsed() > Duration::from_secs(5) {
            asked_at = Instant::now();
            state = world.state_of(JOB);
            if state == "completed" {
                break;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if state != "completed" {
        idle.extend(idle_since.map(|since| (since, world.record.now())));
    }
    let due = accepted_at + FINISH_MS;
    idle.retain(|(since, to)| *since >= due && to - since >= IDLE_MS);
    let starts = world
        .executors
        .iter()
        .map(|e| e.starts_of(JOB).len())
        .sum::<usize>();
    world
        .record
        .line(&format!("state={state} starts={starts} idle={idle:?}"));
    if trouble && idle.is_empty() || !trouble && state == "completed" {
        return Ok(None);
    }
    if !trouble {
        return Err(format!("the job is {state} after {starts} starts"));
    }
    let text = format!(
        "LOST: the only job is {state}; after {starts} starts of its only task nothing of it ran in {idle:?} ms, \
         with {EXECUTORS} idle executors"
    );
    Ok(Some(text))
}
