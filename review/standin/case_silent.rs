//! Open channels go silent while new ones work: those between nodes, and those on which a watch of the
//! store waits. A job is cancelled shortly after.

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

/// `stableMs` and `cancel_ms` of the settings.
const STABLE_MS: u64 = 3_000;
const CANCEL_MS: u64 = 3_000;

const JOB: &str = "00000000000c0001";

pub fn run(record: Arc<Record>, trouble: bool) -> Verdict {
    let options = Options {
        nodes: 3,
        require_fencing: true,
        executors: vec![4_000; 2],
    };
    let world = World::start(record, &options)?;
    play(&world, trouble)
}

fn play(world: &Arc<World>, trouble: bool) -> Verdict {
    std::thread::sleep(Duration::from_secs(4));
    let owner = world.owner().ok_or("there is no owner")?;
    let entry = (owner + 1) % world.nodes.len();
    world.record.line(&format!("owner is node {owner}"));
    // Each executor has room for one task, so that they start one after the other.
    let body = "{\"spec\":\"ms=200\",\"steps\":[{\"count\":120,\"cpu\":3000,\"memMb\":256,\"estimateMs\":200}]}";
    if !matches!(world.request(entry, "POST", JOB, body), Some((200, _))) {
        return Err("the job was not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    let until = Instant::now() + Duration::from_secs(10);
    while world
        .store
        .watch_age(owner, "w/")
        .is_none_or(|age| age > Duration::from_millis(100))
    {
        if Instant::now() > until {
            return Err("the owner does not watch the jobs".to_owned());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let silent_at = world.record.now();
    if trouble {
        let (peers, watches) = (world.silence_peers(), world.store.silence_waiting());
        world.record.line(&format!(
            "silent from now on: {peers} channels between nodes, {watches} channels to the store"
        ));
    }
    let Some((200, _)) = world.request(entry, "DELETE", JOB, "") else {
        return Err("the cancelling was not acknowledged".to_owned());
    };
    let acked_at = world.record.now();
    std::thread::sleep(Duration::from_secs(8));
    let bound = (acked_at + CANCEL_MS).max(silent_at + STABLE_MS);
    let mut late: Vec<u64> = world
        .executors
        .iter()
        .flat_map(|e| e.starts_of(JOB))
        .collect();
    late.retain(|at| *at > bound);
    late.sort_unstable();
    if world.owner() != Some(owner) {
        world.record.line("the owner has changed");
    }
    world.record.line(&format!(
        "acknowledged at {acked_at}; starts after {bound}: {late:?}"
    ));
    Ok((!late.is_empty()).then(|| {
        format!(
            "UNASKED: {} tasks started up to {} ms after the cancelling was acknowledged",
            late.len(),
            late.last().unwrap_or(&0) - acked_at
        )
    }))
}
