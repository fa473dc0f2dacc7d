//! An executor crashes twice, each time shortly after a task has started there.

use {
    crate::{
        Verdict,
        record::Record,
        world::{Options, World},
    },
    std::{sync::Arc, time::Duration},
};

/// Executors: one of seven crashes at a time, a share of 0.143.
const EXECUTORS: usize = 7;
/// Age of a task's run at which its executor crashes.
const RUN_AGE: Duration = Duration::from_millis(100);
/// Time for which the executor is down.
const DOWN: Duration = Duration::from_millis(1_500);
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

const LASTING: &str = "00000000000a0001";
const FINITE: &str = "00000000000b0001";

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
    let lasting = "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":4000,\"memMb\":1024,\
                   \"estimateMs\":1000,\"persistent\":true,\"mayMiss\":1}]}";
    let finite = "{\"spec\":\"ms=2000\",\"steps\":[{\"count\":1,\"cpu\":4000,\"memMb\":1024,\
                  \"estimateMs\":2000}]}";
    std::thread::sleep(Duration::from_secs(4));
    for (id, body) in [(LASTING, lasting), (FINITE, finite)] {
        if !matches!(world.insist(0, "POST", id, body), Some((200, _))) {
            return Err(format!("job {id} was not accepted"));
        }
        for number in 1..=2 {
            let Some(executor) = wait_for_run(world, id) else {
                world.record.line(&format!("job {id} does not start again"));
                break;
            };
            if !trouble {
                break;
            }
            std::thread::sleep(RUN_AGE);
            world.record.line(&format!("crash {number} under job {id}"));
            world.executors[executor].crash();
            std::thread::sleep(DOWN);
            world.executors[executor].restart(None);
        }
        std::thread::sleep(Duration::from_secs(5));
    }
    std::thread::sleep(FINISH);
    let failed_ends = world.executors.iter().map(|e| e.failed_ends()).sum::<u64>();
    world.record.line(&format!(
        "ends that executors listed as failed: {failed_ends}"
    ));
    let states = [(LASTING, "active"), (FINITE, "completed")];
    let states = states.map(|(id, due)| (id, due, world.state_of(id)));
    let wrong: Vec<String> = states
        .iter()
        .filter(|(_, due, state)| state != due)
        .map(|(id, due, state)| format!("job {id} is shown as {state:?}, not {due:?}"))
        .collect();
    world.insist(0, "DELETE", LASTING, "");
    let broken = states
        .iter()
        .any(|(_, _, s)| s == "failed" || s == "cancelled");
    if !wrong.is_empty() && !broken {
        return Err(wrong.join("; "));
    }
    let shown = format!("LOST: {}; {failed_ends} ends `failed`", wrong.join("; "));
    Ok(broken.then_some(shown))
}

/// Waits until a task of a job runs; returns the executor.
fn wait_for_run(world: &World, id: &str) -> Option<usize> {
    for _ in 0..6_000 {
        if let Some(executor) = world.executors.iter().position(|e| e.runs_job(id)) {
            return Some(executor);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    None
}
