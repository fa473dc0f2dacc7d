//! Reports that the client computes: service-level burn, one job's timeline and the outcomes of
//! jobs over a period from the logs.
//!
//! Called by `cli` with data that it has fetched or read; nothing here calls a node or does I/O.

mod burn;
mod html;
mod job_log;
mod job_timeline;
mod load_account;
mod load_text;
mod log_line;
mod lost_time;
mod outcome_counts;
mod owner_gaps;
mod unread_lines;
mod wait_reason;

pub use {
    burn::{BurnReport, BurnRow},
    html::render_html,
    job_timeline::{JobTimeline, LoggedOutcome, TimelineEntry},
    load_account::{AccountLimits, LoadAccount, OutcomeRow, ReasonRow},
    log_line::LogLine,
    outcome_counts::{JobOutcome, OutcomeCounts},
    owner_gaps::OwnerGaps,
    unread_lines::UnreadLines,
    wait_reason::WaitReason,
};
