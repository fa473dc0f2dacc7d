//! Errors of state charts, returned by [`crate::chart::StateChart::from_yaml`].
//!
//! docs/ERRORS.md explains the numbers.

use snafu::Snafu;

/// Why a chart was refused; `name` is the chart's name in its file.
#[derive(Debug, Snafu)]
pub enum ChartError {
    /// The text is not YAML of the expected structure; `name` is empty.
    #[snafu(display("E5001 chart {name} is not valid: {message}"))]
    Yaml { name: String, message: String },
    /// A listed state cannot be reached from the initial state.
    #[snafu(display("E5002 chart {name}: state {state} is never reached"))]
    Unreachable { name: String, state: String },
    /// A state has more than one transition on the same event.
    #[snafu(display("E5003 chart {name}: two transitions from {state} on {event}"))]
    Ambiguous {
        name: String,
        state: String,
        event: String,
    },
}
