//! Scheduling policy: order of waiting steps, choice of executors, advice, preemption and
//! throttling.
//!
//! Pure functions on plain data, called by the cell in every round. Nothing here keeps state,
//! reads a clock or sends a command.

mod order;
mod pace;
mod placement;
mod preemption;
mod throttle;

pub use {
    order::{EXPIRED_TIMES, Rank, Timeliness},
    pace::round_pause_ms,
    placement::{PlacementOption, choose_best_fit, choose_spread},
    preemption::{Victim, choose_victims},
    throttle::best_effort_share,
};
