//! The daemon of the worker protocol: runs the core, carries out its effects over the network and
//! serves the HTTP interfaces for callers and operators. `dragonflyferryd` starts it; scheduling
//! decisions belong to the core and are not made here.

mod admin_api;
mod api_error;
mod caller_api;
mod core_task;
mod daemon;
mod forward;
mod logs;
mod meter;
mod metrics;
mod shared;

pub use {
    admin_api::{JobWaitReasons, StatusView, WorkerView},
    api_error::{ApiError, ErrorBody, ErrorKind, ExecutionStatus},
    caller_api::SubmitBody,
    daemon::{Addresses, Daemon},
    logs::logger,
    meter::{
        BudgetConsumption, Meter, MeterDump, PERIOD_MS, PeriodDump, SeriesDump, decode_histogram,
        new_histogram,
    },
    shared::{CoreHandle, Shared},
};
