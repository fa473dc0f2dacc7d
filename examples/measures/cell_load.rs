//! Measures the time spent in one cell and the start delays by fleet size, under the load of a
//! grown fleet.

use {
    super::print_rows,
    dragonflyferry::{
        core::{Millis, Resources},
        fleet::{
            AdviceRule, FleetConfig, JobId, JobSpec, QueueRule, StepSpec, Submission, TenantRule,
        },
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde::Serialize,
    standins::CellWorld,
    std::{sync::Arc, time::Duration},
};

/// Executors of a present site, of a grown site, and of the target in two years.
const FLEET_SIZES: [u32; 3] = [48, 350, 1_300];

/// Fleet size whose job rates `JOB_KINDS` gives; other sizes get the same rate per executor.
const JOB_KINDS_FLEET_SIZE: f64 = 350.0;

/// Time until the fleet reaches its steady load, in ms.
const WARM_UP_MS: Millis = 8_000;

/// Duration of each phase, in ms.
const PHASE_MS: Millis = 6_000;

/// Tenants that submit jobs.
const TENANT_COUNT: u32 = 20;
/// Each tenant may use all cores of the fleet, counted as 16 per executor, divided by this.
const TENANT_CAP_DIVISOR: u32 = 4;

/// Seed of the job arrivals and of the simulation.
const SEED: u64 = 7;

/// One kind of job: rate per second at `JOB_KINDS_FLEET_SIZE`, and the size of a job.
struct JobKind {
    queue: &'static str,
    pool: &'static str,
    priority: u32,
    objective_ms: Millis,
    per_second: f64,
    steps: u16,
    tasks: u32,
    run_ms: Millis,
    cpu_milli: u32,
    accelerators: u32,
}

/// Job kinds of the grown league, without long-lived ones.
const JOB_KINDS: [JobKind; 4] = [
    JobKind {
        queue: "score-check",
        pool: "scorekeeper",
        priority: 0,
        objective_ms: 250,
        per_second: 27.9,
        steps: 1,
        tasks: 15,
        run_ms: 880,
        cpu_milli: 2_700,
        accelerators: 0,
    },
    JobKind {
        queue: "standings",
        pool: "scorekeeper",
        priority: 2,
        objective_ms: 3_000,
        per_second: 2.13,
        steps: 2,
        tasks: 28,
        run_ms: 3_600,
        cpu_milli: 4_500,
        accelerators: 0,
    },
    JobKind {
        queue: "tilt-review",
        pool: "replay-desk",
        priority: 1,
        objective_ms: 1_000,
        per_second: 4.05,
        steps: 1,
        tasks: 3,
        run_ms: 5_600,
        cpu_milli: 15_000,
        accelerators: 4,
    },
    JobKind {
        queue: "ball-trace",
        pool: "replay-desk",
        priority: 2,
        objective_ms: 3_000,
        per_second: 4.58,
        steps: 1,
        tasks: 16,
        run_ms: 3_000,
        cpu_milli: 2_800,
        accelerators: 1,
    },
];

#[derive(Serialize)]
struct Row {
    executors: u32,
    phase: &'static str,
    /// Time spent in the cell, as a percentage of one CPU core.
    core_percent: f64,
    plans_per_s: f64,
    running: usize,
    jobs: usize,
    started: usize,
    /// Time from submission to first start, for the jobs submitted and started in the phase.
    wait_p50_ms: Millis,
    wait_p99_ms: Millis,
}

/// Measures each size under load, and after a change of owner.
pub fn run(json: bool) {
    for size in FLEET_SIZES {
        let rows = measure(size);
        print_rows(json, &rows, |r| {
            format!(
                "{:>5} executors {:<9} {:>6.2} % of a core, {:>5.0} plans/s, {:>5} running, \
                 {:>4} jobs, {:>4} first starts after {} ms (p99 {} ms)",
                r.executors,
                r.phase,
                r.core_percent,
                r.plans_per_s,
                r.running,
                r.jobs,
                r.started,
                r.wait_p50_ms,
                r.wait_p99_ms
            )
        });
    }
}

fn measure(size: u32) -> Vec<Row> {
    let mut load = Load::new(size);
    load.run(WARM_UP_MS);
    let loaded = load.phase("loaded");
    load.world.replace_owner();
    let takeover = load.phase("takeover");
    vec![loaded, takeover]
}

struct Load {
    size: u32,
    world: CellWorld,
    rng: SmallRng,
    last_job: u64,
    submitted: Vec<(JobId, Millis)>,
}

impl Load {
    fn new(size: u32) -> Self {
        let mut world = CellWorld::new(SEED, config(size));
        world.check_interval_ms = 1_000;
        // The grown league has 39 nodes for 350 executors.
        world.nodes = (size / 9).max(6);
        for i in 0..size {
            // 252 of 350 executors are in the first pool.
            let in_first_pool = i % 25 < 18;
            let pool = if in_first_pool {
                "scorekeeper"
            } else {
                "replay-desk"
            };
            let capacity = Resources {
                cpu_milli: if in_first_pool { 16_000 } else { 32_000 },
                memory_mib: 64_000,
                accelerators: if in_first_pool { 0 } else { 8 },
                slots: 0,
            };
            world.add_executor(&format!("e{i:04}"), pool, &format!("r{}", i / 8), capacity);
        }
        world.run(500);
        Self {
            size,
            world,
            rng: SmallRng::seed_from_u64(SEED),
            last_job: 0,
            submitted: Vec::new(),
        }
    }

    fn run(&mut self, ms: Millis) {
        let scale = f64::from(self.size) / JOB_KINDS_FLEET_SIZE / 1_000.0;
        for _ in 0..ms {
            for kind in &JOB_KINDS {
                if self.rng.random_bool((kind.per_second * scale).min(1.0)) {
                    self.last_job += 1;
                    let tenant = self.rng.random_range(0..TENANT_COUNT);
                    let job = submission(self.last_job, kind, tenant, &mut self.rng);
                    self.submitted.push((job.id, self.world.now));
                    self.world.submit(job);
                }
            }
            self.world.run(1);
        }
    }

    fn phase(&mut self, phase: &'static str) -> Row {
        self.submitted.clear();
        let (time_before, rounds_before) = (self.world.cell_time, self.world.rounds);
        self.run(PHASE_MS);
        let rounds = self.world.rounds - rounds_before;
        let seconds = Duration::from_millis(PHASE_MS).as_secs_f64();
        let cell_seconds = self
            .world
            .cell_time
            .saturating_sub(time_before)
            .as_secs_f64();
        let first_starts = &self.world.first_start;
        let waits = self.submitted.iter();
        let mut waits: Vec<Millis> = waits
            .filter_map(|(id, at)| Some(first_starts.get(id)? - at))
            .collect();
        waits.sort_unstable();
        let quantile = |percent: usize| waits.get(waits.len() * percent / 100);
        Row {
            executors: self.size,
            phase,
            core_percent: cell_seconds / seconds * 100.0,
            plans_per_s: f64::from(u32::try_from(rounds).unwrap_or(u32::MAX)) / seconds,
            running: self.world.executors.values().map(|e| e.running.len()).sum(),
            jobs: self.world.cell.jobs.len(),
            started: waits.len(),
            wait_p50_ms: quantile(50).copied().unwrap_or(0),
            wait_p99_ms: quantile(99).copied().unwrap_or(0),
        }
    }
}

fn queue(kind: &JobKind) -> QueueRule {
    QueueRule {
        name: Arc::from(kind.queue),
        host: Arc::from("h"),
        prefix: Arc::from(format!("/{}/", kind.queue)),
        pool: Arc::from(kind.pool),
        priority: kind.priority,
        max_attempts: 4,
        stretch_milli: 1_500,
        objective_ms: kind.objective_ms,
        advice: Some(AdviceRule {
            call_cost_us: 17_000,
            executor_cost_us: 240,
            valid_ms: 2_000,
        }),
        public: true,
    }
}

fn config(size: u32) -> FleetConfig {
    let tenant = |i: u32| {
        let cap = Resources {
            cpu_milli: size * 16_000 / TENANT_CAP_DIVISOR,
            memory_mib: 0,
            accelerators: 0,
            slots: 0,
        };
        (
            Arc::from(format!("t{i}")),
            TenantRule { weight: 1_000, cap },
        )
    };
    FleetConfig {
        version: 1,
        queues: JOB_KINDS.iter().map(|k| Arc::new(queue(k))).collect(),
        tenants: (0..TENANT_COUNT).map(tenant).collect(),
        max_body_bytes: 10_000,
        ..FleetConfig::default()
    }
}

fn submission(id: u64, kind: &JobKind, tenant: u32, rng: &mut SmallRng) -> Submission {
    let step = |i: u16| StepSpec {
        count: kind.tasks,
        need: Resources {
            cpu_milli: kind.cpu_milli * rng.random_range(50..150) / 100,
            memory_mib: 1_000,
            accelerators: kind.accelerators,
            slots: 0,
        },
        estimate_ms: kind.run_ms * rng.random_range(50..150) / 100,
        depends_on: if i == 0 { Vec::new() } else { vec![i - 1] },
        checkpoints: kind.priority == 2,
        ..StepSpec::default()
    };
    Submission {
        id: JobId(id),
        queue: queue(kind),
        tenant: Some(Arc::from(format!("t{tenant}"))),
        accepted_unix_ms: 0,
        spec: JobSpec {
            payload: Arc::from("text"),
            steps: (0..kind.steps).map(step).collect(),
            schedule: None,
        },
    }
}
