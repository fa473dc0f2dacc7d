//! The platform's settings file of one node (TOML), read by the daemon and the command line.
//!
//! Unknown fields are ignored, and bounds that the file does not state get defaults.

use {
    crate::{
        fleet::{UpkeepTiming, policy::RateBurst},
        platform::PlatformError,
    },
    serde::Deserialize,
    std::{collections::BTreeMap, net::SocketAddr, path::Path, sync::Arc},
};

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "DRAGONFLYFERRY_NODE_FILE";

/// Settings of one node, from the file that the platform provides.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Availability zone of the VM.
    pub zone: Arc<str>,
    /// CPU time granted, in thousandths of a core as fast as the platform's usual one; 0: not
    /// stated.
    pub cpu_milli: u32,
    /// Memory of the process beyond which the platform kills it, in MB; `None`: not stated.
    pub memory_mb: Option<u64>,
    /// Descriptors that the process may have open; `None`: not stated.
    pub descriptors: Option<u64>,
    /// Address on which callers connect.
    pub caller_address: SocketAddr,
    /// Address on which the load balancer checks whether the node is ready.
    pub readiness_address: SocketAddr,
    /// Address on which other nodes connect: the first port of the node's range.
    pub peer_address: SocketAddr,
    /// Address on which metrics are served: the last port of the node's range.
    pub metrics_address: SocketAddr,
    /// Address of the platform's key-value store.
    pub store_address: SocketAddr,
    /// Maximum size of a value in the store, in bytes.
    pub max_value_bytes: usize,
    /// Address of the placement service, which permits executors for a step.
    pub advice_address: Option<SocketAddr>,
    /// Availability zones of the deployment; empty: not stated.
    pub zones: Vec<Arc<str>>,
    pub bounds: Bounds,
    /// `None`: the deployment has no maintenance waves.
    pub upkeep: Option<UpkeepSettings>,
}

/// Machine service of a deployment with maintenance waves, and its limits.
#[derive(Clone, Copy, Debug)]
pub struct UpkeepSettings {
    pub address: SocketAddr,
    /// Minimum time between two calls of all nodes together, in ms.
    pub call_interval_ms: u64,
    pub timing: UpkeepTiming,
    /// Whether the service refuses a holder of the duty once another one with a higher fencing token
    /// has acted on the machine.
    pub requires_fencing: bool,
}

/// Durations that the platform guarantees or requires, in ms, and limits of rates.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum lease of an executor.
    pub max_lease_ms: u64,
    /// Maximum time that an executor takes to kill a run, also once its lease has expired.
    pub kill_grace_ms: u64,
    /// Interval at which an executor writes its entry in the list.
    pub report_interval_ms: u64,
    /// Time from SIGTERM to SIGKILL.
    pub termination_grace_ms: u64,
    /// How long the state of an ended job stays available.
    pub ended_retention_ms: u64,
    /// How long a revoked API key may still be accepted.
    pub revocation_grace_ms: u64,
    /// Minimum TTL of a store lease.
    pub min_store_lease_ms: u64,
    /// Time in which the request to evacuate a zone must take effect; `None`: operators request
    /// none.
    pub evacuation_ms: Option<u64>,
    /// Time over which the platform measures the rate of each tenant; `None`: no rate is in force.
    pub quota_window_ms: Option<u64>,
    /// Part of its rate that a tenant may send in addition, in thousandths.
    pub quota_overage_milli: Option<u64>,
    /// Jobs that a tenant may send in addition in one window.
    pub quota_slack: Option<u64>,
}

impl Bounds {
    /// Returns what a tenant may send at once beyond its rate: in a window as much as the platform
    /// tolerates.
    pub fn rate_burst(&self) -> RateBurst {
        match (self.quota_window_ms, self.quota_overage_milli) {
            (Some(window_ms), Some(overage_milli)) => RateBurst {
                window_ms: window_ms * overage_milli / 1000,
                jobs: self.quota_slack.unwrap_or(0),
            },
            _ => RateBurst::default(),
        }
    }

    /// Returns whether nodes refuse jobs that cannot be served in time: only where a rate limit is
    /// in force, as callers elsewhere do not expect it.
    pub fn refuses_overload(&self) -> bool {
        self.quota_window_ms.is_some()
    }
}

#[derive(Deserialize)]
struct WireSettings {
    node: Arc<str>,
    zone: Arc<str>,
    #[serde(rename = "portRange")]
    port_range: [u16; 2],
    listen: WireListen,
    platform: WirePlatform,
    advice: Option<SocketAddr>,
    #[serde(rename = "heartbeatMs")]
    heartbeat_ms: Option<u64>,
    #[serde(default)]
    zones: BTreeMap<Arc<str>, toml::Value>,
    #[serde(default)]
    limits: WireLimits,
    #[serde(default)]
    bounds: WireBounds,
    /// Read only where `policies` call for it, since other deployments may state it otherwise.
    #[serde(rename = "cloudApi")]
    cloud_api: Option<toml::Value>,
    policies: Option<toml::Value>,
}

/// Calls per second are limits for all nodes together.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireCloudApi {
    address: SocketAddr,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    duty_per_s: f64,
}

#[derive(Deserialize)]
struct WireListen {
    front: SocketAddr,
    ready: SocketAddr,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePlatform {
    address: SocketAddr,
    #[serde(default = "default_store_lease_ms")]
    ttl_min_ms: u64,
    #[serde(default = "default_value_bytes")]
    value_bytes: f64,
}

#[derive(Default, Deserialize)]
struct WireLimits {
    #[serde(rename = "cpuShare", default)]
    cpu_share: f64,
    /// Speed of a core relative to the usual one. The name misleads: it is no number of cores, as
    /// threads share one.
    #[serde(default = "one")]
    cores: f64,
    #[serde(rename = "memoryMb")]
    memory_mb: Option<f64>,
    #[serde(rename = "maxFds")]
    max_fds: Option<f64>,
}

fn one() -> f64 {
    1.0
}

#[derive(Default, Deserialize)]
struct WireBounds {
    #[serde(rename = "holdMaxMs")]
    hold_max_ms: Option<u64>,
    #[serde(rename = "killGraceMs")]
    kill_grace_ms: Option<u64>,
    #[serde(rename = "graceS")]
    grace_s: Option<f64>,
    #[serde(rename = "status_s")]
    status_s: Option<f64>,
    #[serde(rename = "revokeMs")]
    revoke_ms: Option<u64>,
    #[serde(rename = "evacuateMs")]
    evacuate_ms: Option<u64>,
    #[serde(rename = "quotaWindowS")]
    quota_window_s: Option<f64>,
    #[serde(rename = "quotaOverage")]
    quota_overage: Option<f64>,
    #[serde(rename = "quotaSlack")]
    quota_slack: Option<f64>,
    #[serde(rename = "upkeepS")]
    upkeep_s: Option<f64>,
    #[serde(rename = "noticeMs")]
    notice_ms: Option<f64>,
    #[serde(rename = "requireFencing", default)]
    require_fencing: bool,
}

fn default_store_lease_ms() -> u64 {
    1_000
}

fn default_value_bytes() -> f64 {
    1_048_576.0
}

/// Defaults for bounds that the settings do not state, with the figures of the present sites.
const DEFAULT_MAX_LEASE_MS: u64 = 6_000;
const DEFAULT_KILL_GRACE_MS: u64 = 1_000;
const DEFAULT_REPORT_INTERVAL_MS: u64 = 1_500;
const DEFAULT_TERMINATION_GRACE_S: f64 = 6.0;
const DEFAULT_ENDED_RETENTION_S: f64 = 120.0;
const DEFAULT_REVOCATION_GRACE_MS: u64 = 5_000;
const DEFAULT_UPKEEP_S: f64 = 10.0;

/// Calls per second to the machine service if the settings state no limit.
const DEFAULT_CALLS_PER_S: f64 = 10.0;

/// Name of the policy with which operators request maintenance.
const UPKEEP_POLICY: &str = "upkeep";

impl NodeSettings {
    /// Reads the settings file: E5001 if it cannot be read, else as [`Self::from_toml`].
    pub fn read(path: &Path) -> Result<Self, PlatformError> {
        let text = std::fs::read_to_string(path).map_err(|source| PlatformError::ReadSettings {
            path: path.display().to_string(),
            source,
        })?;
        Self::from_toml(&text)
    }

    /// Parses settings from TOML: E5002 if a field is missing or wrong, or if the port range has
    /// fewer than two ports.
    pub fn from_toml(text: &str) -> Result<Self, PlatformError> {
        let bad = |message: String| PlatformError::BadSettings { message };
        let wire: WireSettings = toml::from_str(text).map_err(|e| bad(e.to_string()))?;
        let [first_port, last_port] = wire.port_range;
        if first_port >= last_port {
            return Err(bad("`portRange` holds fewer than two ports".to_owned()));
        }
        let ip = wire.listen.front.ip();
        let upkeep = wire.upkeep()?;
        let bounds = wire.bounds;
        // Of seconds to ms, and of parts to thousandths.
        let to_ms = |s: f64| (s * 1000.0).max(0.0).round();
        Ok(Self {
            vm: wire.node,
            zone: wire.zone,
            cpu_milli: u32::try_from(saturating_u64(
                wire.limits.cpu_share * wire.limits.cores * 1000.0,
            ))
            .unwrap_or(u32::MAX),
            memory_mb: wire.limits.memory_mb.map(saturating_u64),
            descriptors: wire.limits.max_fds.map(saturating_u64),
            caller_address: wire.listen.front,
            readiness_address: wire.listen.ready,
            peer_address: SocketAddr::new(ip, first_port),
            metrics_address: SocketAddr::new(ip, last_port),
            store_address: wire.platform.address,
            max_value_bytes: usize::try_from(saturating_u64(wire.platform.value_bytes))
                .unwrap_or(usize::MAX),
            advice_address: wire.advice,
            zones: wire.zones.into_keys().collect(),
            bounds: Bounds {
                max_lease_ms: bounds.hold_max_ms.unwrap_or(DEFAULT_MAX_LEASE_MS),
                kill_grace_ms: bounds.kill_grace_ms.unwrap_or(DEFAULT_KILL_GRACE_MS),
                report_interval_ms: wire.heartbeat_ms.unwrap_or(DEFAULT_REPORT_INTERVAL_MS),
                termination_grace_ms: saturating_u64(to_ms(
                    bounds.grace_s.unwrap_or(DEFAULT_TERMINATION_GRACE_S),
                )),
                ended_retention_ms: saturating_u64(to_ms(
                    bounds.status_s.unwrap_or(DEFAULT_ENDED_RETENTION_S),
                )),
                revocation_grace_ms: bounds.revoke_ms.unwrap_or(DEFAULT_REVOCATION_GRACE_MS),
                min_store_lease_ms: wire.platform.ttl_min_ms,
                evacuation_ms: bounds.evacuate_ms,
                quota_window_ms: bounds.quota_window_s.map(to_ms).map(saturating_u64),
                quota_overage_milli: bounds.quota_overage.map(to_ms).map(saturating_u64),
                quota_slack: bounds.quota_slack.map(saturating_u64),
            },
            upkeep,
        })
    }
}

impl WireSettings {
    /// Returns the settings of maintenance waves; `None` without the policy or the machine service.
    fn upkeep(&self) -> Result<Option<UpkeepSettings>, PlatformError> {
        let has_policy = match &self.policies {
            Some(toml::Value::Array(names)) => {
                names.iter().any(|n| n.as_str() == Some(UPKEEP_POLICY))
            }
            Some(toml::Value::Table(table)) => {
                let policy = table.get(UPKEEP_POLICY);
                policy.is_some_and(|p| p.as_bool() != Some(false))
            }
            _ => false,
        };
        let Some(value) = self.cloud_api.clone().filter(|_| has_policy) else {
            return Ok(None);
        };
        let parsed: Result<WireCloudApi, _> = value.try_into();
        let api = parsed.map_err(|e| PlatformError::BadSettings {
            message: format!("`cloudApi`: {e}"),
        })?;
        let bounds = &self.bounds;
        let upkeep_ms = bounds.upkeep_s.unwrap_or(DEFAULT_UPKEEP_S) * 1000.0;
        Ok(Some(UpkeepSettings {
            address: api.address,
            call_interval_ms: interval_ms(api.rate_per_s),
            timing: UpkeepTiming {
                upkeep_ms: saturating_u64(upkeep_ms.ceil()),
                notice_ms: saturating_u64(bounds.notice_ms.unwrap_or(0.0).ceil()),
                call_interval_ms: interval_ms(api.duty_per_s),
            },
            requires_fencing: bounds.require_fencing,
        }))
    }
}

/// Returns the time between calls at a rate, in ms, rounded up; at the default one if none is stated.
fn interval_ms(calls_per_s: f64) -> u64 {
    let rate = if calls_per_s > 0.0 {
        calls_per_s
    } else {
        DEFAULT_CALLS_PER_S
    };
    saturating_u64((1000.0 / rate).ceil())
}

/// Converts an amount to an integer: drops the fraction, 0 if negative or NaN, at most `u64::MAX`.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn saturating_u64(amount: f64) -> u64 {
    amount.max(0.0) as u64
}
