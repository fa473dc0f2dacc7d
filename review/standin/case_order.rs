//! The owner is cut off at the moment at which it sends an order for a machine. Bytes that the partition
//! holds up get through when it heals.

use {
    crate::{
        Verdict,
        record::Record,
        world::{Options, World},
    },
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        time::{Duration, Instant},
    },
};

/// Time for which the machine is cut off.
const CUT: Duration = Duration::from_millis(5_500);

pub fn run(record: Arc<Record>, trouble: bool) -> Verdict {
    let options = Options {
        nodes: 6,
        require_fencing: false,
        executors: vec![16_000; 4],
    };
    let world = World::start(record, &options)?;
    play(&world, trouble)
}

fn play(world: &Arc<World>, trouble: bool) -> Verdict {
    std::thread::sleep(Duration::from_secs(4));
    let owner = world.owner().ok_or("there is no owner")?;
    world.record.line(&format!("owner is node {owner}"));
    let was_cut = Arc::new(AtomicBool::new(false));
    if trouble {
        let link = &world.links[&(owner, world.cloud.address.clone())];
        let (cutter, flag) = (Arc::downgrade(world), was_cut.clone());
        link.watch(move |bytes| {
            let order = bytes.starts_with(b"POST /-/machine-upkeep");
            let Some(world) = cutter.upgrade().filter(|_| order) else {
                return;
            };
            if flag.swap(true, SeqCst) {
                return;
            }
            world.cut(owner, true);
            world
                .record
                .line(&format!("node {owner} is cut off; its order is on the way"));
            std::thread::spawn(move || {
                std::thread::sleep(CUT);
                world.cut(owner, false);
                world
                    .record
                    .line(&format!("node {owner} is connected again"));
            });
        });
    }
    let wave = "{\"wave\":1,\"machines\":[\"m-0\",\"m-1\"],\"withinS\":30,\"cap\":1}";
    world
        .record
        .line(&format!("operator writes op/wave/1 {wave}"));
    world.store.put("op/wave/1", wave);
    let until = Instant::now() + Duration::from_secs(40);
    let status = || {
        let value = world.store.value("status/wave/1").unwrap_or_default();
        String::from_utf8_lossy(&value).into_owned()
    };
    while !status().contains("completed") && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
    }
    world.record.line(&format!("status/wave/1 {}", status()));
    if !status().contains("completed") {
        return Err("the wave is not completed".to_owned());
    }
    std::thread::sleep(CUT + Duration::from_secs(2));
    if trouble && !was_cut.load(SeqCst) {
        return Err("the owner sent no order".to_owned());
    }
    let mut highest: HashMap<String, (u64, String, u64)> = HashMap::new();
    let mut shown = Vec::new();
    for (at, machine, holder, token) in world.cloud.orders.lock().unwrap().iter() {
        let last = highest
            .entry(machine.clone())
            .or_insert((*token, holder.clone(), *at));
        if *token < last.0 {
            shown.push(format!(
                "order for {machine} at {at} ms by {holder} with fence number {token}, after {} by {} at {} ms",
                last.0, last.1, last.2
            ));
        } else {
            *last = (*token, holder.clone(), *at);
        }
    }
    Ok((!shown.is_empty()).then(|| format!("ONE: {}", shown.join("; "))))
}
