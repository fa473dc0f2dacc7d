//! State charts that are read from files and interpreted.

mod charts;
mod errors;
mod state_chart;

pub use {
    charts::{JobEvent, NodeEvent, NodeState, TaskEvent, WorkerEvent, job, node, task, worker},
    errors::ChartError,
    state_chart::StateChart,
};
