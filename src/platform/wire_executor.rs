//! The platform's JSON for executors: list entries, commands and replies.
//!
//! Used by the executor client and the entry layer's watch of the list. Only translates: nothing
//! here sends or decides.

use {
    crate::{
        fleet::{
            EndedRow, ExecutorCommand, ExecutorInfo, RenewCommand, RenewReply, RunEnd, RunningRow,
            SkippedRows, StartCommand,
        },
        platform::{
            PlatformError,
            settings::saturating_u64,
            wire_config::WireResources,
            wire_rows::{MAX_INTEGER, parse_rows},
        },
    },
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::{net::SocketAddr, sync::Arc},
};

/// Prefix of the store keys under which executors register.
pub const EXECUTORS_PREFIX: &str = "servers/";

/// Maximum size of an executor's entry, in bytes.
const MAX_ENTRY_BYTES: usize = 64 << 10;

/// Maximum size of a checkpoint, in bytes; a longer one is not kept.
const MAX_CHECKPOINT_BYTES: usize = 4 << 10;

/// Clock readings from which on a reply is not understood, in ms.
const MAX_CLOCK_MS: u64 = 1_000_000_000_000_000;

#[derive(Deserialize)]
struct WireEntry {
    service: Arc<str>,
    address: Arc<str>,
    zone: Option<Arc<str>>,
    state: Arc<str>,
    capacity: Option<WireResources>,
    #[serde(default)]
    labels: Vec<Arc<str>>,
    born: Option<f64>,
    #[serde(default, rename = "remainingMs")]
    remaining_ms: Option<f64>,
}

/// Parses the entry of an executor; the rest of the key after the prefix is its id. E5005 if the
/// entry is not understood, its state is unknown, or its address or capacity is unusable.
pub fn executor_from_entry(key: &str, value: &[u8]) -> Result<ExecutorInfo, PlatformError> {
    let bad = |message: String| PlatformError::BadEntry {
        message: format!("{key}: {message}"),
    };
    let id = key.strip_prefix(EXECUTORS_PREFIX).unwrap_or(key);
    if id.is_empty() {
        return Err(bad("no id".to_owned()));
    }
    if value.len() > MAX_ENTRY_BYTES {
        return Err(bad("too long".to_owned()));
    }
    let entry: WireEntry = serde_json::from_slice(value).map_err(|e| bad(e.to_string()))?;
    let draining = match &*entry.state {
        "ready" => false,
        "draining" => true,
        other => return Err(bad(format!("state `{other}`"))),
    };
    let usable = |a: &SocketAddr| a.port() != 0 && !a.ip().is_unspecified();
    if !entry.address.parse().is_ok_and(|a| usable(&a)) {
        return Err(bad(format!("address `{}`", entry.address)));
    }
    let Some(capacity) = entry.capacity else {
        return Err(bad("no capacity".to_owned()));
    };
    if !capacity.is_plausible() {
        return Err(bad("capacity out of range".to_owned()));
    }
    Ok(ExecutorInfo {
        id: Arc::from(id),
        pool: entry.service,
        address: entry.address,
        zone: entry.zone.unwrap_or_default(),
        labels: entry.labels,
        capacity: capacity.to_resources(),
        draining,
        min_remaining_ms: entry.remaining_ms.map(saturating_u64),
        started_unix_ms: entry.born.map(saturating_u64),
    })
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireRenew {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fencing_token: u64,
    ack_cursor: u64,
    wait_ms: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireStart<'a> {
    task: String,
    run: u64,
    spec: &'a str,
    deadline_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    saved: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireStop {
    task: String,
    run: u64,
    fencing_token: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireThrottle {
    task: String,
    run: u64,
    percent: u32,
    fencing_token: u64,
}

/// Returns the path and JSON body of a command.
pub(super) fn command_body(
    command: &ExecutorCommand,
) -> serde_json::Result<(&'static str, Vec<u8>)> {
    Ok(match command {
        ExecutorCommand::Renew(renewal) => ("/-/hold", renew_body(renewal)?),
        ExecutorCommand::Start(start) => ("/-/run-start", start_body(start)?),
        ExecutorCommand::Stop { task, run, token } => {
            let wire = WireStop {
                task: task.to_string(),
                run: *run,
                fencing_token: *token,
            };
            ("/-/run-stop", serde_json::to_vec(&wire)?)
        }
        ExecutorCommand::Throttle {
            task,
            run,
            percent,
            token,
        } => {
            let wire = WireThrottle {
                task: task.to_string(),
                run: *run,
                percent: *percent,
                fencing_token: *token,
            };
            ("/-/pace", serde_json::to_vec(&wire)?)
        }
    })
}

fn renew_body(renewal: &RenewCommand) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&WireRenew {
        deadline_ms: renewal.deadline_ms,
        fencing_token: renewal.token,
        ack_cursor: renewal.ack_cursor,
        wait_ms: renewal.wait_ms,
    })
}

fn start_body(start: &StartCommand) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&WireStart {
        task: start.task.to_string(),
        run: start.run,
        spec: &start.payload,
        deadline_ms: start.deadline_ms,
        fencing_token: start.token,
        saved: &start.checkpoint,
        ticket: start.ticket.as_deref(),
    })
}

/// A reply to a command; `reason` says why it was refused.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireReply {
    pub clock_ms: Option<f64>,
    pub reason: Option<Arc<str>>,
    pub born: Option<f64>,
    #[serde(default)]
    running: Vec<WireRunning>,
    #[serde(default)]
    ended: Vec<WireEnded>,
}

/// The same with rows that are not parsed yet.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRawReply<'a> {
    clock_ms: Option<f64>,
    born: Option<f64>,
    #[serde(borrow, default)]
    running: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    ended: Vec<&'a RawValue>,
}

/// Row of a running task: task, run, checkpoint, percent done, and tail latency or CPU use.
#[derive(Deserialize)]
struct WireRunning(
    Arc<str>,
    u64,
    #[serde(default)] Option<Arc<str>>,
    #[serde(default)] f64,
    #[serde(default)] f64,
);

/// Row of an ended run: sequence number, task, run, kind of end, checkpoint.
#[derive(Deserialize)]
struct WireEnded(
    u64,
    Arc<str>,
    u64,
    Arc<str>,
    #[serde(default)] Option<Arc<str>>,
);

/// Parses the reply to a renewal, with ends in the order of their sequence numbers. Rows that are not
/// understood are left out: a task that cannot be read is none of this project's. `None` if the rest is
/// not understood or the clock is missing.
pub(super) fn renew_reply(body: &[u8]) -> Option<RenewReply> {
    let mut skipped = SkippedRows::default();
    let wire = if let Ok(wire) = serde_json::from_slice::<WireReply>(body) {
        wire
    } else {
        let raw: WireRawReply<'_> = serde_json::from_slice(body).ok()?;
        WireReply {
            clock_ms: raw.clock_ms,
            reason: None,
            born: raw.born,
            running: rows_by_field(&raw.running, &mut skipped, lenient_running),
            ended: rows_by_field(&raw.ended, &mut skipped, lenient_ended),
        }
    };
    let clock_ms = saturating_u64(wire.clock_ms?);
    if clock_ms > MAX_CLOCK_MS {
        return None;
    }
    let mut skipped_ends = Vec::new();
    let mut ended: Vec<EndedRow> = Vec::new();
    for row in wire.ended {
        let parsed = ended_row(&row, &mut skipped);
        match parsed {
            Some(row) => ended.push(row),
            None if row.0 < MAX_INTEGER => skipped_ends.push(row.0),
            None => {}
        }
    }
    ended.sort_by_key(|row| row.seq);
    let running = wire.running.into_iter();
    let running = running.filter_map(|row| running_row(row, &mut skipped));
    Some(RenewReply {
        clock_ms,
        started_unix_ms: wire.born.map(saturating_u64),
        running: running.collect(),
        ended,
        skipped_ends,
        skipped,
    })
}

fn running_row(row: WireRunning, skipped: &mut SkippedRows) -> Option<RunningRow> {
    let Some(task) = row.0.parse().ok().filter(|_| row.1 < MAX_INTEGER) else {
        skipped.add(format!("running: task {:.80} run {}", row.0, row.1));
        return None;
    };
    Some(RunningRow {
        task,
        run: row.1,
        checkpoint: checkpoint(row.2, skipped),
        percent: u32::try_from(saturating_u64(row.3))
            .unwrap_or(u32::MAX)
            .min(100),
        load: saturating_u64(row.4),
    })
}

fn ended_row(row: &WireEnded, skipped: &mut SkippedRows) -> Option<EndedRow> {
    let in_range = row.0 < MAX_INTEGER && row.2 < MAX_INTEGER;
    let task = row.1.parse().ok().filter(|_| in_range);
    let (Some(task), Some(end)) = (task, run_end(&row.3)) else {
        let (seq, task, run, end) = (row.0, &row.1, row.2, &row.3);
        skipped.add(format!(
            "ended: {seq} task {task:.80} run {run} end {end:.80}"
        ));
        return None;
    };
    Some(EndedRow {
        seq: row.0,
        task,
        run: row.2,
        end,
        checkpoint: checkpoint(row.4.clone(), skipped),
    })
}

fn checkpoint(saved: Option<Arc<str>>, skipped: &mut SkippedRows) -> Arc<str> {
    let saved = saved.unwrap_or_default();
    if saved.len() > MAX_CHECKPOINT_BYTES {
        skipped.add(format!("a checkpoint of {} bytes", saved.len()));
        return Arc::default();
    }
    saved
}

/// Parses rows one by one, each field by itself.
fn rows_by_field<T>(
    rows: &[&RawValue],
    skipped: &mut SkippedRows,
    parse: fn(&[&RawValue]) -> Option<T>,
) -> Vec<T> {
    let fields: Vec<Vec<&RawValue>> = parse_rows(rows, skipped);
    let mut parsed = Vec::new();
    for row in fields {
        match parse(&row) {
            Some(row) => parsed.push(row),
            None => skipped.add("a row without a readable task or number"),
        }
    }
    parsed
}

fn field<'a, T: Deserialize<'a>>(row: &[&'a RawValue], index: usize) -> Option<T> {
    serde_json::from_str(row.get(index)?.get()).ok()
}

fn lenient_running(row: &[&RawValue]) -> Option<WireRunning> {
    Some(WireRunning(
        field(row, 0)?,
        field(row, 1)?,
        field(row, 2),
        field(row, 3).unwrap_or_default(),
        field(row, 4).unwrap_or_default(),
    ))
}

/// All but the number may be unreadable: the end is then skipped by its number.
fn lenient_ended(row: &[&RawValue]) -> Option<WireEnded> {
    Some(WireEnded(
        field(row, 0)?,
        field(row, 1).unwrap_or_default(),
        field(row, 2).unwrap_or(u64::MAX),
        field(row, 3).unwrap_or_default(),
        field(row, 4),
    ))
}

fn run_end(name: &str) -> Option<RunEnd> {
    Some(match name {
        "alone" => RunEnd::Orphaned,
        "broken" => RunEnd::Broken,
        "done" => RunEnd::Done,
        "failed" => RunEnd::Failed,
        "lapsed" => RunEnd::Lapsed,
        "stopped" => RunEnd::Stopped,
        _ => return None,
    })
}
