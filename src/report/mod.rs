//! Reports made by the client: service-level burn, and one job's timeline from the logs.

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
