//! Small stand-ins for the platform, used by tests, trials and measurements.
//!
//! The models hold the behaviour; `server` puts them behind HTTP, and `fleet` joins
//! several cores with them in one thread under a seeded schedule of failures.

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
    cell_world::{CellWorld, Faults},
    store_model::StoreModel,
    worker_model::{Run, WorkerModel},
};
