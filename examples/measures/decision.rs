//! Measures the cost of one placement at a shard owner, by workers owned and queue length.

use {
    super::{print_rows, resident_bytes},
    dragonflyferry::{
        app::new_histogram,
        core::{
            Event, Message, NodeId, OrganisationName, PlacementRequest, PoolName, Priority,
            Resources, TaskId, TaskKind, TaskSpec,
        },
    },
    serde::Serialize,
    standins::{fleet::Fleet, sample},
    std::time::Instant,
};

#[derive(Serialize)]
struct Row {
    workers: usize,
    queue: usize,
    placements: usize,
    p50_us: f64,
    p99_us: f64,
    per_second: f64,
    resident_mib: u64,
}

/// Measures each combination of fleet size and queue length and prints a row for it.
pub fn run(json: bool) {
    if !json {
        println!("workers    queue  placed   p50 us   p99 us  placed/s  resident MiB");
    }
    for workers in [48, 200, 1_300, 5_000] {
        for queue in [100, 10_000, 100_000] {
            let row = measure(workers, queue);
            print_rows(json, &[row], |r| {
                format!(
                    "{:>7} {:>8} {:>7} {:>8.1} {:>8.1} {:>9.0} {:>13}",
                    r.workers,
                    r.queue,
                    r.placements,
                    r.p50_us,
                    r.p99_us,
                    r.per_second,
                    r.resident_mib
                )
            });
        }
    }
}

fn task_spec(n: usize, requester: &NodeId) -> TaskSpec {
    TaskSpec {
        id: TaskId::from(format!("task-{n}")),
        organisation: OrganisationName::from(["laurentide", "bromont"][n % 2]),
        pool: PoolName::from("scorekeeper"),
        need: Resources {
            cpu_milli: 1_000,
            memory_mib: 2_048,
            accelerators: 0,
            slots: 1,
        },
        kind: TaskKind::Request,
        priority: Priority::Normal,
        job: None,
        task_index: 0,
        run_ms: 50,
        pack: false,
        requester: requester.clone(),
    }
}

/// Fills all workers of a single node, queues placement requests, and times each release with the
/// placement that follows it.
fn measure(workers: usize, queue: usize) -> Row {
    const MAX_TIMED_RELEASES: usize = 4_000;
    let organisations = [("laurentide", 3, 100_000), ("bromont", 1, 100_000)];
    let config = sample::config(sample::league_document(), &organisations);
    let mut fleet = Fleet::new(1, sample::many_workers(workers), &config);
    fleet.checks_enabled = false;
    let id = fleet.start_node("zone-0");
    fleet.run(12_000);
    let caller = NodeId::from("caller");
    let slots: u32 = fleet
        .workers
        .values()
        .map(|w| w.record.capacity.slots)
        .sum();
    let request_count = slots as usize + queue;
    for n in 0..request_count {
        let request = PlacementRequest {
            spec: task_spec(n, &caller),
            shard: None,
            reserve: false,
            timeout_ms: 10_000_000,
        };
        let event = Event::Message {
            from: caller.clone(),
            message: Message::Place(request),
        };
        fleet.deliver(&id, event);
        if n % 500 == 0 {
            fleet.run(20);
        }
    }
    fleet.run(3_000);
    let hosted: Vec<TaskId> = fleet.nodes[&id]
        .node
        .workers()
        .iter()
        .flat_map(|w| w.tasks.keys().cloned())
        .take(MAX_TIMED_RELEASES)
        .collect();
    let mut times = new_histogram();
    let start = Instant::now();
    for task in &hosted {
        let release_start = Instant::now();
        let message = Message::Release {
            task: task.clone(),
            shard: None,
            epoch: None,
            finished: true,
        };
        fleet.deliver(
            &id,
            Event::Message {
                from: caller.clone(),
                message,
            },
        );
        let nanos = u64::try_from(release_start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        let _ = times.record(nanos);
    }
    let total_seconds = start.elapsed().as_secs_f64();
    #[allow(clippy::cast_precision_loss)]
    Row {
        workers,
        queue,
        placements: hosted.len(),
        p50_us: times.value_at_quantile(0.5) as f64 / 1e3,
        p99_us: times.value_at_quantile(0.99) as f64 / 1e3,
        per_second: hosted.len() as f64 / total_seconds,
        resident_mib: resident_bytes() >> 20,
    }
}
