//! A job that can never be done, because of the number and the size of its tasks, among ordinary jobs.

use {
    crate::{
        Verdict,
        record::Record,
        world::{MEMORY_MB, Options, World},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering::SeqCst},
        },
        time::Duration,
    },
};

const NODES: usize = 3;
const POISON_AT_MS: u64 = 4_000;
const TRAFFIC_MS: u64 = 24_000;
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// Tasks of the job that can never be done.
const POISON_COUNT: u64 = 5_000_000;
/// Ends of its own with which a machine counts for the rule Fault.
const MAX_ENDS: u32 = 3;

/// Time after which the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(1_500);

/// Plays the platform for the processes: kills one that exceeds its memory, and starts each that has
/// ended again. Counts the ends of each node.
fn supervise(world: &Arc<World>, ends: &Arc<Vec<AtomicU32>>, stop: &Arc<AtomicBool>) {
    for node in 0..NODES {
        let (world, ends, stop) = (world.clone(), ends.clone(), stop.clone());
        std::thread::spawn(move || {
            while !stop.load(SeqCst) {
                std::thread::sleep(Duration::from_millis(10));
                let memory = world.memory_mb(node);
                if memory > MEMORY_MB {
                    world.record.line(&format!(
                        "node {node} uses {memory} MB of {MEMORY_MB}: the platform kills its process"
                    ));
                    world.kill(node);
                } else if !world.has_ended(node) {
                    continue;
                } else {
                    world
                        .record
                        .line(&format!("process of node {node} has ended"));
                }
                ends[node].fetch_add(1, SeqCst);
                std::thread::sleep(RESTART);
                if stop.load(SeqCst) || world.start_node(node).is_err() {
                    return;
                }
            }
        });
    }
}

pub fn run(record: Arc<Record>, trouble: bool) -> Verdict {
    let options = Options {
        nodes: NODES,
        require_fencing: true,
        executors: vec![16_000; 4],
    };
    let world = World::start(record, &options)?;
    let ends = Arc::new((0..NODES).map(|_| AtomicU32::new(0)).collect::<Vec<_>>());
    let stop = Arc::new(AtomicBool::new(false));
    supervise(&world, &ends, &stop);
    let verdict = play(&world, &ends, trouble);
    stop.store(true, SeqCst);
    verdict
}

fn play(world: &Arc<World>, ends: &[AtomicU32], trouble: bool) -> Verdict {
    let began = world.record.now();
    let body = "{\"spec\":\"ms=300\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":256,\"estimateMs\":300}]}";
    let mut accepted = Vec::new();
    let mut clients = Vec::new();
    let mut poisoned = !trouble;
    for number in 0u64.. {
        let elapsed = world.record.now() - began;
        if elapsed > TRAFFIC_MS {
            break;
        }
        if !poisoned && elapsed > POISON_AT_MS {
            poisoned = true;
            let poison = format!(
                "{{\"spec\":\"ms=300\",\"steps\":[{{\"count\":{POISON_COUNT},\"cpu\":1000000,\"memMb\":256,\
                 \"estimateMs\":300}}]}}"
            );
            world.insist(0, "POST", "00000000dead0000", &poison);
        }
        // A client each, so that one that waits does not hold up the next.
        let (world, id) = (world.clone(), format!("{:016x}", 0x1000 + number));
        clients.push(std::thread::spawn(move || {
            let node = usize::try_from(number).unwrap_or(0) % NODES;
            let reply = world.insist(node, "POST", &id, body);
            reply.is_some_and(|(status, _)| status == 200).then_some(id)
        }));
        std::thread::sleep(Duration::from_millis(400));
    }
    for client in clients {
        accepted.extend(client.join().unwrap_or(None));
    }
    let ends_of = || ends.iter().map(|e| e.load(SeqCst)).collect::<Vec<_>>();
    world.record.line(&format!(
        "end of the traffic; accepted={} ends={:?}",
        accepted.len(),
        ends_of()
    ));
    if accepted.len() < 5 {
        return Err("too few jobs were accepted".to_owned());
    }
    std::thread::sleep(FINISH);
    let lost: Vec<String> = std::thread::scope(|scope| {
        let asked: Vec<_> = accepted
            .iter()
            .map(|id| (id, scope.spawn(|| world.state_of(id))))
            .collect();
        let states = asked
            .into_iter()
            .map(|(id, state)| (id, state.join().unwrap_or_default()));
        states
            .filter(|(_, s)| s != "completed")
            .map(|(id, s)| format!("{id}={s:?}"))
            .collect()
    });
    let ends = ends_of();
    let ended = ends.iter().filter(|e| **e >= MAX_ENDS).count();
    let text = format!(
        "ends of each node's process: {ends:?}; {} of {} accepted jobs are not done",
        lost.len(),
        accepted.len()
    );
    world.record.line(&format!("{text}: {}", lost.join(" ")));
    // Two machines at least, and a tenth of those in use.
    Ok((ended >= 2).then(|| format!("Fault: {text}")))
}
