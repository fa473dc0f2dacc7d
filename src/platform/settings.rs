//! The platform's settings file of one node (TOML); unknown fields are ignored.

use {
    crate::platform::PlatformError,
    serde::Deserialize,
    std::{net::SocketAddr, path::Path, sync::Arc},
};

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "DRAGONFLYFERRY_NODE_FILE";

/// What a node learns from the platform at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: Arc<str>,
    pub zone: Arc<str>,
    /// Processor time granted, in thousandths of a core as fast as the platform's usual one;
    /// 0: not stated.
    pub cpu_milli: u32,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub readiness_address: SocketAddr,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    pub store_address: SocketAddr,
    /// Service that says which executors may run a step.
    pub advice_address: Option<SocketAddr>,
    pub bounds: Bounds,
}

/// Bounds that the platform states, in ms.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest lease of an executor.
    pub max_lease_ms: u64,
    /// Longest time that a stop takes.
    pub kill_grace_ms: u64,
    /// Time from SIGTERM to SIGKILL.
    pub termination_grace_ms: u64,
    /// How long the state of an ended job is kept.
    pub ended_retention_ms: u64,
    /// How long a withdrawn key may still be accepted.
    pub revocation_grace_ms: u64,
    /// Shortest lease of the store.
    pub min_store_lease_ms: u64,
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
    #[serde(default)]
    limits: WireLimits,
    #[serde(default)]
    bounds: WireBounds,
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
}

#[derive(Default, Deserialize)]
struct WireLimits {
    #[serde(rename = "cpuShare", default)]
    cpu_share: f64,
    /// Speed of a core relative to the usual one; the name misleads, as threads take turns.
    #[serde(default = "one")]
    cores: f64,
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
}

fn default_store_lease_ms() -> u64 {
    1_000
}

/// Figures of today's sites, for settings that do not state a bound.
const DEFAULT_LEASE_MS: u64 = 6_000;
const DEFAULT_KILL_GRACE_MS: u64 = 1_000;
const DEFAULT_STOP_S: f64 = 6.0;
const DEFAULT_KEEP_S: f64 = 120.0;
const DEFAULT_REVOKE_MS: u64 = 5_000;

impl NodeSettings {
    /// Reads the settings file.
    pub fn read(path: &Path) -> Result<Self, PlatformError> {
        let text = std::fs::read_to_string(path).map_err(|source| PlatformError::ReadSettings {
            path: path.display().to_string(),
            source,
        })?;
        Self::from_toml(&text)
    }

    /// Reads settings from TOML.
    pub fn from_toml(text: &str) -> Result<Self, PlatformError> {
        let bad = |message: String| PlatformError::BadSettings { message };
        let wire: WireSettings = toml::from_str(text).map_err(|e| bad(e.to_string()))?;
        let [first, last] = wire.port_range;
        if first >= last {
            return Err(bad("`portRange` holds fewer than two ports".to_owned()));
        }
        let ip = wire.listen.front.ip();
        let b = wire.bounds;
        let ms = |s: f64| (s * 1000.0).max(0.0).round();
        Ok(Self {
            vm: wire.node,
            zone: wire.zone,
            cpu_milli: u32::try_from(saturating_ms(
                wire.limits.cpu_share * wire.limits.cores * 1000.0,
            ))
            .unwrap_or(u32::MAX),
            caller_address: wire.listen.front,
            readiness_address: wire.listen.ready,
            peer_address: SocketAddr::new(ip, first),
            metrics_address: SocketAddr::new(ip, last),
            store_address: wire.platform.address,
            advice_address: wire.advice,
            bounds: Bounds {
                max_lease_ms: b.hold_max_ms.unwrap_or(DEFAULT_LEASE_MS),
                kill_grace_ms: b.kill_grace_ms.unwrap_or(DEFAULT_KILL_GRACE_MS),
                termination_grace_ms: saturating_ms(ms(b.grace_s.unwrap_or(DEFAULT_STOP_S))),
                ended_retention_ms: saturating_ms(ms(b.status_s.unwrap_or(DEFAULT_KEEP_S))),
                revocation_grace_ms: b.revoke_ms.unwrap_or(DEFAULT_REVOKE_MS),
                min_store_lease_ms: wire.platform.ttl_min_ms,
            },
        })
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn saturating_ms(ms: f64) -> u64 {
    ms.max(0.0) as u64
}
