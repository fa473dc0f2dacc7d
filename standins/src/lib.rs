//! Stand-ins for the platform, used by tests, trials and measurements, never by the daemon.
//!
//! For core (64 shards, the project's own worker protocol): `store_model` and `worker_model`
//! simulate the store and a worker, `server` serves both over HTTP, `fleet` runs several nodes
//! against them in simulated time, and `chaos` adds a seeded schedule of failures.
//!
//! For fleet (one cell on the users' platform): `cell_world` runs one cell against a simulated
//! store and advice service, `cell_executor` simulates an executor, and `cell_sample` builds
//! small configurations and jobs. `sample` holds the workers and documents for core.

mod cell_executor;
pub mod cell_sample;
pub mod cell_world;
pub mod chaos;
pub mod fleet;
pub mod sample;
pub mod server;
mod store_model;
mod worker_model;

pub use {
    cell_executor::CellExecutor,
    cell_world::{CellWorld, CommitPlan, Faults},
    store_model::StoreModel,
    worker_model::{Run, WorkerModel},
};
