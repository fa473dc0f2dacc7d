//! The platform's JSON for maintenance: operators' requests, the status of a wave, and the calls of
//! the machine service.
//!
//! Used by the machine client and by the entry layer's watch of the requests. Only translates.

use {
    crate::{
        fleet::{
            MachineId, MachineInfo, MachineRefusal, MachineReply, MachineState, SkippedRows,
            WaveRequest,
        },
        platform::{
            PlatformError,
            settings::saturating_u64,
            wire_rows::{parse_rows, push_query_value},
        },
    },
    hyper::StatusCode,
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::{collections::BTreeSet, sync::Arc},
};

/// Prefix of the store keys that each request the maintenance of some machines.
pub const WAVES_PREFIX: &str = "op/wave/";

/// Prefix of the store keys under which the state of each wave is shown.
const WAVE_STATUS_PREFIX: &str = "status/wave/";

/// Path of the list of machines.
const MACHINES_PATH: &str = "/-/machines";

/// Path of the call that begins the maintenance of a machine.
pub(super) const UPKEEP_PATH: &str = "/-/machine-upkeep";

/// Headers that name the holder of the duty and its fencing token.
pub(super) const HOLDER_HEADER: &str = "Duty-Holder";
pub(super) const TOKEN_HEADER: &str = "Fencing-Token";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireWave {
    wave: u64,
    machines: Vec<Arc<str>>,
    within_s: f64,
    cap: u32,
}

/// Returns the number of the wave that a key names; `None` if it is no key of a wave.
pub fn wave_from_key(key: &str) -> Option<u64> {
    key.strip_prefix(WAVES_PREFIX)?.parse().ok()
}

/// Parses a request of operators. E5008 if it is not understood, its number is not that of its key,
/// or its cap or time is 0.
pub fn wave_from_request(key: &str, value: &[u8]) -> Result<WaveRequest, PlatformError> {
    let bad = |message: &str| PlatformError::BadWave {
        message: format!("{key}: {message}"),
    };
    let number = wave_from_key(key).ok_or_else(|| bad("the key has no number"))?;
    let wire: WireWave = serde_json::from_slice(value).map_err(|e| bad(&e.to_string()))?;
    if wire.wave != number {
        return Err(bad("the number is not that of the key"));
    }
    if wire.cap == 0 {
        return Err(bad("a cap of 0"));
    }
    let within_ms = saturating_u64(wire.within_s * 1000.0);
    if within_ms == 0 {
        return Err(bad("no time"));
    }
    if wire.machines.iter().any(|id| id.is_empty()) {
        return Err(bad("a machine without id"));
    }
    Ok(WaveRequest {
        wave: wire.wave,
        machines: wire.machines.into_iter().collect::<BTreeSet<_>>(),
        within_ms,
        cap: wire.cap,
    })
}

/// Returns the key and value of the store that show whether a wave is completed.
pub fn wave_status(wave: u64, completed: bool) -> (String, Vec<u8>) {
    let state = if completed { "completed" } else { "active" };
    let value = format!("{{\"state\":\"{state}\"}}");
    (format!("{WAVE_STATUS_PREFIX}{wave}"), value.into_bytes())
}

/// Returns the path of a page of the list of machines.
pub(super) fn machines_path(page_token: Option<&str>) -> String {
    let mut path = MACHINES_PATH.to_owned();
    if let Some(token) = page_token {
        path.push_str("?pageToken=");
        push_query_value(&mut path, token);
    }
    path
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireMachines<'a> {
    #[serde(borrow)]
    machines: Vec<&'a RawValue>,
    next_token: Option<String>,
}

/// A page of the list of machines.
#[derive(Clone, Debug)]
pub struct MachinePage {
    pub machines: Vec<MachineInfo>,
    /// Token of the next page, if there is one.
    pub next_token: Option<String>,
    pub skipped: SkippedRows,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireMachine {
    machine_id: MachineId,
    state: Arc<str>,
    /// Id of its executor.
    id: Option<Arc<str>>,
}

/// Parses a page of the list; `None` if it is not understood as a whole. Leaves out and counts machines
/// that are not understood.
pub(super) fn machines_from_page(body: &[u8]) -> Option<MachinePage> {
    let page: WireMachines<'_> = serde_json::from_slice(body).ok()?;
    let mut skipped = SkippedRows::default();
    let machines: Vec<WireMachine> = parse_rows(&page.machines, &mut skipped);
    let machines = machines.into_iter().map(|m| MachineInfo {
        id: m.machine_id,
        state: match &*m.state {
            "down" => MachineState::Down,
            "moving" => MachineState::Moving,
            "up" => MachineState::Up,
            "upkeep" => MachineState::Upkeep,
            _ => MachineState::Unknown,
        },
        executor: m.id.filter(|id| !id.is_empty()),
    });
    Some(MachinePage {
        machines: machines.collect(),
        next_token: page.next_token.filter(|t| !t.is_empty()),
        skipped,
    })
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct WireUpkeep<'a> {
    machine_id: &'a str,
    wave: u64,
}

/// Returns the body of a call that begins a maintenance.
pub(super) fn upkeep_body(machine: &str, wave: u64) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&WireUpkeep {
        machine_id: machine,
        wave,
    })
}

#[derive(Deserialize)]
struct WireRefusal {
    reason: Arc<str>,
}

/// Returns what the reply to such a call means. A conflict of unknown reason changed nothing; a status
/// that the protocol does not name says nothing.
pub(super) fn upkeep_reply(status: StatusCode, body: &[u8]) -> MachineReply {
    match status {
        StatusCode::OK => MachineReply::Begun,
        StatusCode::BAD_REQUEST => MachineReply::NoSuchMachine,
        StatusCode::TOO_MANY_REQUESTS => MachineReply::Refused(MachineRefusal::Rate),
        StatusCode::CONFLICT => {
            let parsed = serde_json::from_slice::<WireRefusal>(body);
            let reason = parsed.ok().map(|r| r.reason);
            MachineReply::Refused(match reason.as_deref() {
                Some("busy") => MachineRefusal::Busy,
                Some("fence") => MachineRefusal::Fence,
                Some("wave") => MachineRefusal::Wave,
                _ => MachineRefusal::NotUnderstood,
            })
        }
        _ => MachineReply::NoReply,
    }
}
