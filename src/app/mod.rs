//! The daemon: the core joined to its sockets, and the interfaces for callers and operators.

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
    admin_api::{JobWhy, StatusView, WorkerView},
    api_error::{ApiError, ErrorBody, ErrorKind, RunState},
    caller_api::SubmitBody,
    daemon::{Addresses, Daemon},
    logs::logger,
    meter::{
        Meter, MeterDump, PERIOD_MS, PeriodDump, SeriesDump, Spent, new_histogram, report_histogram,
    },
    shared::{CoreHandle, Shared},
};
