//! Reports made by the client: service-level burn, and one job's story from the logs.

mod burn;
mod html;
mod log_line;
mod story;

pub use {
    burn::{BurnReport, BurnRow},
    html::page,
    log_line::LogLine,
    story::{Sentence, Story, Verdict},
};
