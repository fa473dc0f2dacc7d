//! Errors of state charts; the numbers are in docs/ERRORS.md.

use snafu::Snafu;

/// Why a chart was refused.
#[derive(Debug, Snafu)]
pub enum ChartError {
    #[snafu(display("E5001 chart {name} is not valid: {message}"))]
    Yaml { name: String, message: String },
    #[snafu(display("E5002 chart {name}: state {state} is never reached"))]
    Unreachable { name: String, state: String },
    #[snafu(display("E5003 chart {name}: two transitions from {state} on {event}"))]
    Ambiguous {
        name: String,
        state: String,
        event: String,
    },
}
