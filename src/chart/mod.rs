//! State charts that are read from files and interpreted.

mod chart;
mod charts;
mod errors;

pub use {
    chart::Chart,
    charts::{JobEvent, NodeEvent, NodeState, TaskEvent, WorkerEvent, job, node, task, worker},
    errors::ChartError,
};
