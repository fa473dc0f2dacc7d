//! Measures the control cost of a core node by fleet size, idle and at the target's start rate.

use {
    super::{print_rows, resident_bytes},
    dragonflyferry::core::{JobCall, JobId, JobKind, OrganisationName, Resources, Tuning},
    serde::Serialize,
    standins::{fleet::Fleet, sample},
    std::time::Duration,
};

/// Task starts per second at the target, for its 1,300 workers.
const TARGET_STARTS_PER_S: u64 = 77;
/// Workers at the target; the load of smaller fleets is scaled by their number.
const TARGET_WORKERS: u64 = 1_300;
/// Running tasks at the target.
const TARGET_RUNNING: u64 = 16_000;

/// One job in this many is a service: a fifth of the running tasks.
const SERVICE_JOB_INTERVAL: u64 = 5;

/// Slots of each worker at the target. 16,000 tasks do not fit into 8 slots per worker, because
/// the measurement loads only one of two pools.
const TARGET_SLOTS: u32 = 24;

#[derive(Serialize)]
struct Row {
    nodes: usize,
    workers: usize,
    running: usize,
    phase: &'static str,
    /// Time spent in the core, as a percentage of one CPU core, per node.
    core_percent: f64,
    messages_per_s: f64,
    bytes_per_s: f64,
    worker_calls_per_s: f64,
    store_reads_per_s: f64,
    store_writes_per_s: f64,
    resident_mib: u64,
}

/// Measures six combinations of nodes and workers and prints two rows each: quiet and peak.
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
        print_rows(json, &rows, |r| {
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
        fleet.start_node(&format!("zone-{}", n % 4));
    }
    fleet.run(15_000);
    let target_permille = workers as u64 * 1_000 / TARGET_WORKERS;
    let running = TARGET_RUNNING * target_permille / 1_000;
    let mut load = Load {
        last_job: 0,
        due_starts_milli: 0,
    };
    load.fill(&mut fleet, running);
    fleet.run(20_000);
    let idle = load.phase(&mut fleet, "quiet", 0, 20_000, nodes);
    let peak_rate = TARGET_STARTS_PER_S * target_permille;
    load.phase(&mut fleet, "warm", peak_rate, 10_000, nodes);
    let peak = load.phase(&mut fleet, "peak", peak_rate, 30_000, nodes);
    vec![idle, peak]
}

struct Load {
    /// Number of the last submitted job.
    last_job: u64,
    /// Starts due but not submitted yet, in thousandths.
    due_starts_milli: u64,
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
        self.last_job += 1;
        let call = JobCall::Submit {
            id: JobId::from(format!("job-{}", self.last_job)),
            organisation: OrganisationName::from(format!("team-{}", self.last_job % 130)),
            spec,
        };
        let nodes = fleet.running_nodes();
        let node = &nodes[usize::try_from(self.last_job).unwrap_or(0) % nodes.len()];
        fleet.job(&node.clone(), call);
    }

    /// Submits jobs of 8 tasks that keep running during the whole measurement.
    fn fill(&mut self, fleet: &mut Fleet, running: u64) {
        let jobs = running / 8;
        for n in 0..jobs {
            let kind = if n % SERVICE_JOB_INTERVAL == 0 {
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

    /// Submits single tasks of 10 s at a rate and returns the control cost of this phase.
    fn phase(
        &mut self,
        fleet: &mut Fleet,
        phase: &'static str,
        starts_milli_per_s: u64,
        length_ms: u64,
        nodes: usize,
    ) -> Row {
        for sim_node in fleet.nodes.values_mut() {
            sim_node.core_time = Duration::ZERO;
            sim_node.sent_messages = 0;
            sim_node.sent_bytes = 0;
        }
        let (reads, writes) = (fleet.store.reads, fleet.store.writes);
        let calls = fleet.worker_calls;
        for _ in 0..length_ms / 100 {
            self.due_starts_milli += starts_milli_per_s / 10;
            while self.due_starts_milli >= 1_000 {
                self.due_starts_milli -= 1_000;
                self.submit(fleet, "standings", JobKind::Batch, 1, 10_000);
            }
            fleet.run(100);
        }
        #[allow(clippy::cast_precision_loss)]
        let per_s = |n: u64| n as f64 * 1_000.0 / length_ms as f64;
        #[allow(clippy::cast_precision_loss)]
        let per_node = |n: u64| per_s(n) / nodes as f64;
        let core_time: Duration = fleet.nodes.values().map(|s| s.core_time).sum();
        let running = fleet.workers.values().map(|w| w.running.len()).sum();
        Row {
            nodes,
            workers: fleet.workers.len(),
            running,
            phase,
            core_percent: per_node(u64::try_from(core_time.as_micros()).unwrap_or(0)) / 1e4,
            messages_per_s: per_node(fleet.nodes.values().map(|s| s.sent_messages).sum()),
            bytes_per_s: per_node(fleet.nodes.values().map(|s| s.sent_bytes).sum()),
            worker_calls_per_s: per_node(fleet.worker_calls - calls),
            store_reads_per_s: per_s(fleet.store.reads - reads),
            store_writes_per_s: per_s(fleet.store.writes - writes),
            resident_mib: resident_bytes() >> 20,
        }
    }
}
