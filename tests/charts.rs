//! Tests of the state charts: the built-in charts load, and invalid ones are refused.

use {
    assert_matches::assert_matches,
    dragonflyferry::{
        chart::{self, ChartError, NodeEvent, NodeState, StateChart, WorkerEvent},
        core::{JobState, TaskStage, WorkerState},
    },
};

#[test]
fn every_chart_loads() {
    assert_eq!(chart::worker().initial, WorkerState::Listed);
    assert_eq!(chart::job().initial, JobState::Queued);
    assert_eq!(chart::task().initial, TaskStage::Waiting);
    assert_eq!(chart::node().initial, NodeState::Joining);
}

#[test]
fn a_transition_that_the_chart_lacks_changes_nothing() {
    let mut state = WorkerState::Listed;
    assert!(!chart::worker().apply(&mut state, WorkerEvent::Opened));
    assert_eq!(state, WorkerState::Listed);
}

#[test]
fn faulty_charts_are_refused() {
    let unreachable = "chart: c\ninitial: joining\nstates: [joining, serving]\ntransitions: []\n";
    let read = |text: &str| StateChart::<NodeState, NodeEvent>::from_yaml(text);
    assert_matches!(read(unreachable), Err(ChartError::Unreachable { .. }));
    let ambiguous = "chart: c\ninitial: joining\nstates: [joining]\ntransitions:\n  \
                 - {from: [joining, joining], on: stop_requested, to: leaving}\n";
    assert_matches!(read(ambiguous), Err(ChartError::Ambiguous { .. }));
    assert_matches!(read("chart: 1"), Err(ChartError::Yaml { .. }));
}
