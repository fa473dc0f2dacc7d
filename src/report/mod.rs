//! Reports that the client computes: service-level burn, and one job's timeline from the logs.
//!
//! Called by `cli` with data that it has fetched or read; nothing here calls a node or does I/O.

mod burn;
mod html;
mod job_timeline;
mod log_line;

pub use {
    burn::{BurnReport, BurnRow},
    html::render_html,
    job_timeline::{JobTimeline, LoggedOutcome, TimelineEntry},
    log_line::LogLine,
};
