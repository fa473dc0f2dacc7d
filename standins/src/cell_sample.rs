//! Builds small configurations, jobs and simulated fleets for the tests of the cell.
//!
//! The tests rely on these sizes; their figures do not describe a real site.

use {
    crate::CellWorld,
    dragonflyferry::{
        core::{Millis, Resources},
        fleet::{FleetConfig, JobId, JobSpec, QueueRule, StepSpec, Submission},
    },
    std::sync::Arc,
};

/// CPU of each executor of [`world`], in thousandths of a core.
const EXECUTOR_CPU_MILLI: u32 = 8_000;

/// Memory of each executor of [`world`], in MiB.
const EXECUTOR_MEMORY_MIB: u32 = 10_000;

/// Executors in each rack of [`world`].
const EXECUTORS_PER_RACK: usize = 3;

/// Returns resources of `cpu_milli` thousandths of a core and 100 MiB of memory.
pub fn need(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mib: 100,
        accelerators: 0,
        slots: 0,
    }
}

/// Returns the capacity of each executor of [`world`].
pub fn capacity() -> Resources {
    Resources {
        memory_mib: EXECUTOR_MEMORY_MIB,
        ..need(EXECUTOR_CPU_MILLI)
    }
}

/// Returns a queue on the pool `pool`, without advice, with at most 4 attempts per task.
pub fn queue(name: &str, priority: u32) -> QueueRule {
    QueueRule {
        name: Arc::from(name),
        host: Arc::from("h"),
        prefix: Arc::from(format!("/{name}/")),
        pool: Arc::from("pool"),
        priority,
        max_attempts: 4,
        stretch_milli: 1_500,
        objective_ms: 250,
        advice: None,
        public: true,
    }
}

/// Returns a configuration with the queues `urgent` and `patient`.
pub fn config() -> FleetConfig {
    FleetConfig {
        version: 1,
        queues: vec![Arc::new(queue("urgent", 0)), Arc::new(queue("patient", 2))],
        max_body_bytes: 10_000,
        ..FleetConfig::default()
    }
}

/// Returns a step of `count` equal tasks.
pub fn step(count: u32, cpu_milli: u32, estimate_ms: Millis) -> StepSpec {
    StepSpec {
        count,
        need: need(cpu_milli),
        estimate_ms,
        ..StepSpec::default()
    }
}

/// Returns a job without a tenant for a queue of [`config`].
pub fn job(id: u64, queue_name: &str, steps: Vec<StepSpec>) -> Submission {
    let priority = if queue_name == "urgent" { 0 } else { 2 };
    Submission {
        id: JobId(id),
        queue: queue(queue_name, priority),
        tenant: None,
        accepted_unix_ms: 0,
        spec: JobSpec {
            payload: Arc::from("text"),
            steps,
            schedule: None,
        },
    }
}

/// Returns a simulation with executors `e0`, `e1`… after 200 ms, so that their sessions are open.
pub fn world(seed: u64, executors: usize) -> CellWorld {
    world_with_config(seed, executors, config())
}

/// Like [`world`], with the given configuration.
pub fn world_with_config(seed: u64, executors: usize, config: FleetConfig) -> CellWorld {
    let mut world = CellWorld::new(seed, config);
    for i in 0..executors {
        let rack = format!("r{}", i / EXECUTORS_PER_RACK);
        world.add_executor(&format!("e{i}"), "pool", &rack, capacity());
    }
    world.run(200);
    world
}
