//! State charts: states, events and transitions, read from YAML and interpreted.
//!
//! `core` moves workers, jobs, tasks and nodes along the charts in `resources/charts/`. This module
//! decides only whether a transition exists; it runs no actions and keeps no state of its own.

mod charts;
mod errors;
mod state_chart;

pub use {
    charts::{JobEvent, NodeEvent, NodeState, TaskEvent, WorkerEvent, job, node, task, worker},
    errors::ChartError,
    state_chart::StateChart,
};
