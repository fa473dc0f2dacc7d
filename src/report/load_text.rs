//! Text output of [`crate::report::LoadAccount`].

use {
    crate::{
        core::Millis,
        entry::MAX_LINES_PER_SECOND,
        fleet::FleetEvent,
        report::{LoadAccount, OutcomeCounts, OutcomeRow},
    },
    std::fmt::Write,
    time::OffsetDateTime,
};

const OUTCOMES: [&str; 9] = [
    "accepted",
    "in time",
    "late",
    "too late",
    "failed",
    "cancelled",
    "no end",
    "refused",
    "unconfirmed",
];

/// Renders all tables and the footnotes.
pub fn render(account: &LoadAccount) -> String {
    let mut text = format!(
        "Logs from {} to {} (UTC).\n\nBy queue\n",
        time_text(account.from_ms, true),
        time_text(account.until_ms, true)
    );
    let total = OutcomeRow {
        name: "all".into(),
        counts: account.total,
    };
    let queues: Vec<OutcomeRow> = account.by_queue.iter().cloned().chain([total]).collect();
    push_outcomes(&mut text, "queue", &queues);
    push_reasons(&mut text, account);
    text.push_str("\nBy organisation\n");
    push_outcomes(&mut text, "organisation", &account.by_organisation);
    text.push_str("\nBy availability zone of the node that accepted or refused the job\n");
    push_outcomes(&mut text, "zone", &account.by_zone);
    let every = seconds(account.every_ms);
    let _ = writeln!(text, "\nBy period of {every} s in which jobs were accepted");
    push_outcomes(&mut text, "from (UTC)", &account.by_period);
    push_refused_calls(&mut text, account);
    push_notes(&mut text, account);
    text
}

/// Returns the name of a period: its start, with the part of a second that it may have.
pub fn period_name(start: Millis, every_ms: Millis) -> String {
    time_text(start, !every_ms.is_multiple_of(1000))
}

fn push_outcomes(text: &mut String, heading: &str, rows: &[OutcomeRow]) {
    let heading = [heading].into_iter().chain(OUTCOMES);
    let mut table = vec![heading.map(str::to_owned).collect()];
    for row in rows {
        let c = row.counts;
        let counts = [
            c.accepted,
            c.in_time,
            c.late,
            c.too_late,
            c.failed,
            c.cancelled,
            c.no_end,
            c.refused,
            c.unconfirmed,
        ];
        let mut cells = vec![row.name.to_string()];
        cells.extend(counts.map(|n| n.to_string()));
        table.push(cells);
    }
    push_table(text, &table, 1);
}

fn push_reasons(text: &mut String, account: &LoadAccount) {
    text.push_str("\nNot served in time, by queue and main reason\n");
    let heading = [
        "queue",
        "reason",
        "jobs",
        "late",
        "too late",
        "failed",
        "no end",
        "refused",
        "unconfirmed",
    ];
    let mut table = vec![heading.map(str::to_owned).to_vec()];
    let counts = |jobs: u64, c: OutcomeCounts| {
        [
            jobs,
            c.late,
            c.too_late,
            c.failed,
            c.no_end,
            c.refused,
            c.unconfirmed,
        ]
        .map(|n| n.to_string())
    };
    for row in &account.reasons {
        let mut cells = vec![row.queue.to_string(), row.reason.to_string()];
        cells.extend(counts(row.jobs, row.counts));
        table.push(cells);
    }
    let mut total = vec!["all".to_owned(), String::new()];
    total.extend(counts(account.total.unserved(), account.total));
    table.push(total);
    push_table(text, &table, 2);
}

fn push_refused_calls(text: &mut String, account: &LoadAccount) {
    if account.refused_calls.is_empty() {
        return;
    }
    text.push_str("\nRefused calls of all kinds, each try counted\n");
    let mut table = vec![vec!["reason".to_owned(), "calls".to_owned()]];
    let row = |(reason, calls): (&String, &u64)| vec![reason.clone(), calls.to_string()];
    table.extend(account.refused_calls.iter().map(row));
    push_table(text, &table, 1);
}

fn push_notes(text: &mut String, account: &LoadAccount) {
    let limits = &account.limits;
    text.push_str("\nNotes\n");
    for (start, end) in account.without_owner.periods() {
        let _ = writeln!(
            text,
            "- No owner, or none that could prove it, from {} for {} s.",
            time_text(*start, true),
            seconds(end - start)
        );
    }
    let _ = writeln!(
        text,
        "- The logs lack lines beyond {MAX_LINES_PER_SECOND} per second for one event and lines \
         lost by a slow reader; jobs may have ended, or waited for a reason, that is not shown."
    );
    for (number, count) in &limits.full_seconds {
        let event = FleetEvent::from_number(*number);
        let event = event.map_or_else(String::new, |e| format!(" {e:?}"));
        let _ = writeln!(
            text,
            "- Seconds in which a node wrote {MAX_LINES_PER_SECOND} lines or more of {number}{event}, so that \
             lines are probably missing: {count}."
        );
    }
    text.push_str(
        "- Objectives follow from the callers' estimates of run times, and run times are judged by \
         them. Persistent jobs do not end by themselves, and scheduled ones are judged as if all \
         their work were due at once.\n",
    );
    let counted = [
        (
            limits.estimated_objectives,
            "Ended jobs without the line of their objective (225), judged by the median of their \
             queue",
        ),
        (
            limits.unknown_objectives,
            "Ended jobs of queues without any line of an objective, counted as in time",
        ),
        (
            limits.left_out,
            "Stored jobs without the line of their acceptance (210, 225), not counted",
        ),
    ];
    for (count, note) in counted.into_iter().filter(|(count, _)| *count > 0) {
        let _ = writeln!(text, "- {note}: {count}.");
    }
    let unread = &limits.unread;
    if unread.count > 0 {
        let more = if unread.count > unread.first.len() as u64 {
            ", ..."
        } else {
            ""
        };
        let _ = writeln!(
            text,
            "- Lines that could not be read: {}, such as {}{more}.",
            unread.count,
            unread.first.join(", ")
        );
    }
}

/// Appends a table: the first columns left-aligned, numbers right-aligned, two spaces apart.
fn push_table(text: &mut String, rows: &[Vec<String>], left_columns: usize) {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| {
        let cells = rows.iter().map(|r| r[column].chars().count());
        cells.max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        for (column, (cell, width)) in row.iter().zip(&widths).enumerate() {
            let separator = if column == 0 { "" } else { "  " };
            // Writing to a string does not fail.
            let _ = if column < left_columns {
                write!(text, "{separator}{cell:<width$}")
            } else {
                write!(text, "{separator}{cell:>width$}")
            };
        }
        text.push('\n');
    }
}

/// Formats Unix ms as date and time of day in UTC.
fn time_text(unix_ms: Millis, with_ms: bool) -> String {
    let time = OffsetDateTime::from_unix_timestamp_nanos(i128::from(unix_ms) * 1_000_000);
    let Ok(t) = time else {
        return unix_ms.to_string();
    };
    let mut text = format!(
        "{}-{:02}-{:02} {:02}:{:02}:{:02}",
        t.year(),
        u8::from(t.month()),
        t.day(),
        t.hour(),
        t.minute(),
        t.second()
    );
    if with_ms {
        let _ = write!(text, ".{:03}", t.millisecond());
    }
    text
}

/// Formats ms as seconds without superfluous zeros.
fn seconds(ms: Millis) -> String {
    let text = format!("{}.{:03}", ms / 1000, ms % 1000);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
