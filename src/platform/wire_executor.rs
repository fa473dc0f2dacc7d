//! The platform's JSON for executors: list entries, commands and replies.
//!
//! Used by the executor client and the entry layer's watch of the list. Only translates: nothing
//! here sends or decides.

use {
    crate::{
        fleet::{
            EndedRow, ExecutorCommand, ExecutorInfo, RenewCommand, RenewReply, RunEnd, RunningRow,
            StartCommand,
        },
        platform::{PlatformError, settings::saturating_u64, wire_config::WireResources},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Prefix of the store keys under which executors register.
pub const EXECUTORS_PREFIX: &str = "servers/";

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
    let entry: WireEntry = serde_json::from_slice(value).map_err(|e| bad(e.to_string()))?;
    let draining = match &*entry.state {
        "ready" => false,
        "draining" => true,
        other => return Err(bad(format!("state `{other}`"))),
    };
    if entry.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(bad(format!("address `{}`", entry.address)));
    }
    let Some(capacity) = entry.capacity else {
        return Err(bad("no capacity".to_owned()));
    };
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

impl WireReply {
    /// Returns the reply to a renewal, with ends in the order of their sequence numbers; `None` if
    /// any row is not understood or the clock is missing.
    pub(super) fn into_renew_reply(self) -> Option<RenewReply> {
        let running = self.running.into_iter().map(|row| {
            Some(RunningRow {
                task: row.0.parse().ok()?,
                run: row.1,
                checkpoint: row.2.unwrap_or_default(),
                percent: u32::try_from(saturating_u64(row.3)).ok()?,
                load: saturating_u64(row.4),
            })
        });
        let ended = self.ended.into_iter().map(|row| {
            Some(EndedRow {
                seq: row.0,
                task: row.1.parse().ok()?,
                run: row.2,
                end: run_end(&row.3)?,
                checkpoint: row.4.unwrap_or_default(),
            })
        });
        let mut ended: Vec<EndedRow> = ended.collect::<Option<_>>()?;
        ended.sort_by_key(|row| row.seq);
        Some(RenewReply {
            clock_ms: saturating_u64(self.clock_ms?),
            started_unix_ms: self.born.map(saturating_u64),
            running: running.collect::<Option<_>>()?,
            ended,
        })
    }
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
