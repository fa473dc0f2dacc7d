//! A job with very many short tasks comes among ordinary jobs.

use {
    crate::{
        Verdict,
        record::Record,
        world::{MEMORY_MB, Options, World},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const NODES: usize = 3;
const LARGE_AT_MS: u64 = 4_000;
const TRAFFIC_MS: u64 = 40_000;
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// Time without anything running that breaks the rule.
const IDLE: Duration = Duration::from_secs(3);
/// Tasks of the large job, and of the one that comes in its place without the disruption.
const LARGE_COUNT: u64 = 400_000;
const USUAL_COUNT: u64 = 4_000;
const EXECUTORS: usize = 4;

pub fn run(record: Arc<Record>, trouble: bool) -> Verdict {
    let options = Options {
        nodes: NODES,
        require_fencing: true,
        executors: vec![16_000; EXECUTORS],
    };
    let world = World::start(record, &options)?;
    play(&world, trouble)
}

fn body(count: u64) -> String {
    format!(
        "{{\"spec\":\"ms=300\",\"steps\":[{{\"count\":{count},\"cpu\":1000,\"memMb\":256,\
         \"estimateMs\":300}}]}}"
    )
}

fn play(world: &Arc<World>, trouble: bool) -> Verdict {
    let began = world.record.now();
    let mut accepted = Vec::new();
    let mut clients = Vec::new();
    let mut handed_in = false;
    for number in 0u64.. {
        let elapsed = world.record.now() - began;
        if elapsed > TRAFFIC_MS {
            break;
        }
        if !handed_in && elapsed > LARGE_AT_MS {
            handed_in = true;
            let count = if trouble { LARGE_COUNT } else { USUAL_COUNT };
            let reply = world.insist(0, "POST", "00000000dead0000", &body(count));
            if !matches!(reply, Some((200, _))) {
                return Err("the large job was not accepted".to_owned());
            }
        }
        // A client each, so that one that waits does not hold up the next.
        let (world, id) = (world.clone(), format!("{:016x}", 0x1000 + number));
        clients.push(std::thread::spawn(move || {
            let node = usize::try_from(number).unwrap_or(0) % NODES;
            let reply = world.insist(node, "POST", &id, &body(2));
            reply.is_some_and(|(status, _)| status == 200).then_some(id)
        }));
        std::thread::sleep(Duration::from_millis(500));
    }
    for client in clients {
        accepted.extend(client.join().unwrap_or(None));
    }
    let memory: Vec<u64> = (0..NODES).map(|n| world.memory_mb(n)).collect();
    world.record.line(&format!(
        "end of the traffic; accepted={} memory={memory:?} MB of {MEMORY_MB}",
        accepted.len()
    ));
    if accepted.len() < 5 {
        return Err("too few jobs were accepted".to_owned());
    }
    std::thread::sleep(FINISH);
    let not_done: Vec<String> = std::thread::scope(|scope| {
        let asked: Vec<_> = accepted
            .iter()
            .map(|id| (id, scope.spawn(|| world.state_of(id))))
            .collect();
        let states = asked
            .into_iter()
            .map(|(id, s)| (id, s.join().unwrap_or_default()));
        states
            .filter(|(_, s)| s != "completed")
            .map(|(id, _)| id.clone())
            .collect()
    });
    world
        .record
        .line(&format!("not shown as completed: {}", not_done.join(" ")));
    let lost = watch_idle(world, &not_done);
    if lost.is_empty() && !not_done.is_empty() && !trouble {
        return Err(format!("{} jobs are not done", not_done.len()));
    }
    let (lost_count, count) = (lost.len(), accepted.len());
    Ok((lost_count > 0).then(|| {
        format!(
            "LOST: {lost_count} of {count} accepted jobs have tasks that never ran, and for {IDLE:?} nothing \
             of them runs while under half of the executors is in use; the first are {:?}",
            &lost[..lost.len().min(3)]
        )
    }))
}

/// Returns those of the jobs with a task that has never started of which nothing runs for the whole
/// time while under half of the capacity is in use.
fn watch_idle(world: &World, jobs: &[String]) -> Vec<String> {
    let never_ran = |id: &String| {
        let starts = world.executors.iter().map(|e| e.starts_of(id).len());
        starts.sum::<usize>() < 2
    };
    let mut idle: Vec<String> = jobs.iter().filter(|id| never_ran(id)).cloned().collect();
    let until = Instant::now() + IDLE;
    while Instant::now() < until {
        let used: usize = world.executors.iter().map(|e| e.running()).sum();
        if used * 1_000 * 2 >= 16_000 * EXECUTORS {
            idle.clear();
        }
        idle.retain(|id| never_ran(id) && !world.executors.iter().any(|e| e.runs_job(id)));
        std::thread::sleep(Duration::from_millis(20));
    }
    idle
}
