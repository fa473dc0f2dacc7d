//! Control cost of a node by size of the fleet, at rest and at the target's rates.

use {
    super::{print, resident_bytes},
    dragonflyferry::core::{JobCall, JobId, JobKind, OrganisationName, Resources, Tuning},
    serde::Serialize,
    standins::{fleet::Fleet, sample},
    std::time::Duration,
};

/// Starts a second at the target, for its 1,300 workers.
const TARGET_STARTS_PER_S: u64 = 77;
const TARGET_WORKERS: u64 = 1_300;
const TARGET_RUNNING: u64 = 16_000;

/// Part of the running tasks that are services.
const SERVICES: u64 = 5;

/// Slots of a worker at the target: 16,000 tasks do not fit into 8 slots each, and the
/// measure loads one pool of two.
const TARGET_SLOTS: u32 = 24;

#[derive(Serialize)]
struct Row {
    nodes: usize,
    workers: usize,
    running: usize,
    phase: &'static str,
    /// Processor time in the core, as a part of one core, in percent.
    core_percent: f64,
    messages_per_s: f64,
    bytes_per_s: f64,
    worker_calls_per_s: f64,
    store_reads_per_s: f64,
    store_writes_per_s: f64,
    resident_mib: u64,
}

/// Measures four fleets and prints two rows each.
pub fn run(json: bool) {
    if !json {
        println!(
            "nodes workers running  phase   core%  msg/s/node  B/s/node  worker calls/s/node  \
             store reads/s  writes/s  process MiB"
        );
    }
    for (nodes, workers) in [
        (6, 48),
        (6, 325),
        (12, 325),
        (12, 650),
        (24, 650),
        (24, 1_300),
    ] {
        let rows = measure(nodes, workers);
        print(json, &rows, |r| {
            format!(
                "{:>5} {:>7} {:>7}  {:<6} {:>6.2} {:>11.1} {:>9.0} {:>20.1} {:>14.1} {:>9.1} {:>9}",
                r.nodes,
                r.workers,
                r.running,
                r.phase,
                r.core_percent,
                r.messages_per_s,
                r.bytes_per_s,
                r.worker_calls_per_s,
                r.store_reads_per_s,
                r.store_writes_per_s,
                r.resident_mib
            )
        });
    }
}

fn measure(nodes: usize, workers: usize) -> Vec<Row> {
    let organisations: Vec<(String, u32, u32)> =
        (0..130).map(|n| (format!("team-{n}"), 1, 1_000)).collect();
    let organisations: Vec<(&str, u32, u32)> = organisations
        .iter()
        .map(|(n, s, l)| (n.as_str(), *s, *l))
        .collect();
    let config = sample::config(sample::league_document(), &organisations);
    let mut records = sample::many_workers(workers);
    for record in &mut records {
        record.capacity.slots = TARGET_SLOTS;
    }
    let mut fleet = Fleet::new(7, records, &config);
    fleet.checks_enabled = false;
    fleet.count_bytes = true;
    fleet.tuning = Tuning::default();
    for n in 0..nodes {
        fleet.boot(&format!("zone-{}", n % 4));
    }
    fleet.run(15_000);
    let share = workers as u64 * 1_000 / TARGET_WORKERS;
    let running = TARGET_RUNNING * share / 1_000;
    let mut load = Load {
        next: 0,
        starts_milli: 0,
    };
    load.fill(&mut fleet, running);
    fleet.run(20_000);
    let quiet = load.phase(&mut fleet, "quiet", 0, 20_000, nodes);
    let peak = TARGET_STARTS_PER_S * share;
    load.phase(&mut fleet, "warm", peak, 10_000, nodes);
    let busy = load.phase(&mut fleet, "peak", peak, 30_000, nodes);
    vec![quiet, busy]
}

struct Load {
    next: u64,
    starts_milli: u64,
}

impl Load {
    fn submit(&mut self, fleet: &mut Fleet, queue: &str, kind: JobKind, tasks: u32, run_ms: u64) {
        let Some(mut spec) = sample::job_spec(&fleet.config(), queue, tasks) else {
            return;
        };
        spec.kind = kind;
        spec.run_ms = run_ms;
        spec.need = Resources {
            cpu_milli: 500,
            memory_mib: 1_024,
            accelerators: 0,
            slots: 1,
        };
        self.next += 1;
        let call = JobCall::Submit {
            id: JobId::from(format!("job-{}", self.next)),
            organisation: OrganisationName::from(format!("team-{}", self.next % 130)),
            spec,
        };
        let nodes = fleet.up();
        let at = &nodes[usize::try_from(self.next).unwrap_or(0) % nodes.len()];
        fleet.job(&at.clone(), call);
    }

    /// Starts the tasks that run all the time.
    fn fill(&mut self, fleet: &mut Fleet, running: u64) {
        let jobs = running / 8;
        for n in 0..jobs {
            let kind = if n % SERVICES == 0 {
                JobKind::Service
            } else {
                JobKind::Batch
            };
            let run_ms = if kind == JobKind::Service {
                0
            } else {
                10_000_000
            };
            self.submit(fleet, "standings", kind, 8, run_ms);
            if n % 20 == 0 {
                fleet.run(200);
            }
        }
        fleet.run(30_000);
    }

    /// Submits single tasks of ten seconds at a rate, and takes the cost of the time.
    fn phase(
        &mut self,
        fleet: &mut Fleet,
        phase: &'static str,
        starts_milli_per_s: u64,
        length_ms: u64,
        nodes: usize,
    ) -> Row {
        for seat in fleet.nodes.values_mut() {
            seat.core_time = Duration::ZERO;
            seat.sent_messages = 0;
            seat.sent_bytes = 0;
        }
        let (reads, writes) = (fleet.store.reads, fleet.store.writes);
        let calls = fleet.worker_calls;
        for _ in 0..length_ms / 100 {
            self.starts_milli += starts_milli_per_s / 10;
            while self.starts_milli >= 1_000 {
                self.starts_milli -= 1_000;
                self.submit(fleet, "standings", JobKind::Batch, 1, 10_000);
            }
            fleet.run(100);
        }
        #[allow(clippy::cast_precision_loss)]
        let per_s = |n: u64| n as f64 * 1_000.0 / length_ms as f64;
        #[allow(clippy::cast_precision_loss)]
        let per_node = |n: u64| per_s(n) / nodes as f64;
        let busy: Duration = fleet.nodes.values().map(|s| s.core_time).sum();
        let running = fleet.workers.values().map(|w| w.running.len()).sum();
        Row {
            nodes,
            workers: fleet.workers.len(),
            running,
            phase,
            core_percent: per_node(u64::try_from(busy.as_micros()).unwrap_or(0)) / 1e4,
            messages_per_s: per_node(fleet.nodes.values().map(|s| s.sent_messages).sum()),
            bytes_per_s: per_node(fleet.nodes.values().map(|s| s.sent_bytes).sum()),
            worker_calls_per_s: per_node(fleet.worker_calls - calls),
            store_reads_per_s: per_s(fleet.store.reads - reads),
            store_writes_per_s: per_s(fleet.store.writes - writes),
            resident_mib: resident_bytes() >> 20,
        }
    }
}
