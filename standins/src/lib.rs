//! Stand-ins for the platform, used by tests, trials and measurements, never by the daemon.
//!
//! For core (64 shards, the project's own worker protocol): `store_model` and `worker_model`
//! simulate the store and a worker, `server` serves both over HTTP, `fleet` runs several nodes
//! against them in simulated time, and `chaos` adds a seeded schedule of failures.
//!
//! For fleet (one cell on the users' platform): `cell_world` runs one cell against a simulated
//! store and advice service, `cell_executor` simulates an executor, and `cell_sample` builds
//! small configurations and jobs; `machine_platform` serves the machine service for maintenance
//! waves. `sample` holds the workers and documents for core.
//!
//! `crowd` is many clients that send too much, too slowly or without end, and `process_usage` reads
//! what a process uses meanwhile.
//!
//! For real processes on the users' platform: `platform_host` serves `platform_store` and many of
//! `platform_executor` through the rules of `platform_faults`; `soak` runs the daemons of
//! `soak_nodes` and the callers of `soak_clients` against it, and `run_journal` judges the runs.

pub mod cell_executor;
pub mod cell_sample;
pub mod cell_world;
pub mod chaos;
pub mod crowd;
pub mod fleet;
pub mod machine_platform;
pub mod platform_executor;
pub mod platform_faults;
pub mod platform_host;
pub mod platform_store;
pub mod process_usage;
pub mod run_journal;
pub mod sample;
pub mod server;
pub mod soak;
pub mod soak_clients;
pub mod soak_nodes;
mod store_model;
mod worker_model;

use {
    dragonflyferry::core::Millis,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::{SystemTime, UNIX_EPOCH},
    },
};

pub use {
    cell_executor::CellExecutor,
    cell_world::{CellWorld, CommitPlan, Faults},
    soak::{Soak, SoakReport},
    store_model::StoreModel,
    worker_model::{Run, WorkerModel},
};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the time of day, in Unix ms.
fn unix_ms() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| Millis::try_from(d.as_millis()).unwrap_or(0))
}
