//! The operators' configuration in the platform's JSON, translated to [`FleetConfig`].
//!
//! Used by the entry layer's watch of the configuration. Only translates: the rules are applied in
//! fleet.

use {
    crate::{
        core::Resources,
        fleet::{AdviceRule, FleetConfig, QueueRule, SkippedRows, TenantRule},
        platform::{PlatformError, settings::saturating_u64, wire_rows::parse_rows},
    },
    serde::Deserialize,
    serde_json::value::RawValue,
    std::{collections::HashMap, sync::Arc},
};

/// Store key of the configuration in force.
pub const CONFIG_KEY: &str = "op/config";

/// Largest factor and fixed part of an objective that count, so that sums of them stay in range.
const MAX_STRETCH_MILLI: u64 = 1_000_000;
const MAX_OBJECTIVE_MS: u64 = 366 * 24 * 3_600 * 1_000;

/// Maximum request body if the configuration states none, in bytes: the figure of the sites.
const DEFAULT_MAX_BODY_BYTES: usize = 262_144;

/// A configuration; routes and tenants are parsed one by one.
#[derive(Deserialize)]
struct WireConfig<'a> {
    version: u64,
    #[serde(borrow)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    tenants: Vec<&'a RawValue>,
    #[serde(borrow)]
    limits: Option<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    name: Arc<str>,
    host: Arc<str>,
    prefix: Arc<str>,
    service: Arc<str>,
    /// Added to the stretched critical path of a job; no objective by itself.
    #[serde(default)]
    slo_ms: f64,
    #[serde(default)]
    priority: u32,
    max_attempts: Option<u32>,
    stretch: Option<f64>,
    advice: Option<WireAdvice>,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
#[expect(clippy::struct_field_names, reason = "the platform's own names")]
struct WireAdvice {
    #[serde(default)]
    decide_ms: f64,
    #[serde(default)]
    each_ms: f64,
    valid_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTenant {
    name: Arc<str>,
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    /// Share of the capacity, and also the permitted rate in jobs per second.
    weight: Option<f64>,
    #[serde(default)]
    cap: WireResources,
}

/// Amounts of resources; `cpu` is in thousandths of a core, `mem_mb` is taken as MiB.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "camelCase", expecting = "struct WireAmounts")]
pub(super) struct WireResources {
    #[serde(default)]
    pub cpu: f64,
    #[serde(default)]
    pub mem_mb: f64,
    #[serde(default)]
    pub gpu: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    body_bytes: Option<usize>,
}

impl WireResources {
    /// Returns whether each amount is one that a server can have.
    pub(super) fn is_plausible(&self) -> bool {
        let mut amounts = [self.cpu, self.mem_mb, self.gpu].into_iter();
        amounts.all(|amount| (0.0..f64::from(u32::MAX)).contains(&amount))
    }

    pub(super) fn to_resources(self) -> Resources {
        Resources {
            cpu_milli: ceil_u32(self.cpu),
            memory_mib: ceil_u32(self.mem_mb),
            accelerators: ceil_u32(self.gpu),
            slots: 0,
        }
    }
}

/// Rounds up to an integer: 0 if negative or NaN, at most `u32::MAX`.
pub(super) fn ceil_u32(x: f64) -> u32 {
    u32::try_from(saturating_u64(x.ceil())).unwrap_or(u32::MAX)
}

/// Parses a configuration; E5003 if it is not understood as a whole. Leaves out and counts the routes and
/// tenants that are not understood.
pub fn config_from_bytes(bytes: &[u8]) -> Result<(FleetConfig, SkippedRows), PlatformError> {
    let wire: WireConfig<'_> =
        serde_json::from_slice(bytes).map_err(|e| PlatformError::BadConfig {
            message: e.to_string(),
        })?;
    let mut skipped = SkippedRows::default();
    let routes: Vec<WireRoute> = parse_rows(&wire.routes, &mut skipped);
    let wire_tenants: Vec<WireTenant> = parse_rows(&wire.tenants, &mut skipped);
    let limits = wire.limits.map_or_else(Vec::new, |l| vec![l]);
    let limits: Vec<Option<WireLimits>> = parse_rows(&limits, &mut skipped);
    let mut api_keys = HashMap::new();
    let mut tenants = HashMap::new();
    for tenant in wire_tenants {
        for key in tenant.api_keys {
            api_keys.insert(key, tenant.name.clone());
        }
        let rule = TenantRule {
            weight: ceil_u32(tenant.weight.unwrap_or(1.0)),
            cap: tenant.cap.to_resources(),
        };
        tenants.insert(tenant.name, rule);
    }
    let max_body_bytes = limits.into_iter().flatten().find_map(|l| l.body_bytes);
    let config = FleetConfig {
        version: wire.version,
        queues: routes.into_iter().map(queue_rule).collect(),
        tenants,
        api_keys,
        max_body_bytes: max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES),
    };
    Ok((config, skipped))
}

fn queue_rule(route: WireRoute) -> Arc<QueueRule> {
    let advice = route.advice.map(|a| AdviceRule {
        call_cost_us: saturating_u64(a.decide_ms * 1000.0),
        executor_cost_us: saturating_u64(a.each_ms * 1000.0),
        valid_ms: saturating_u64(a.valid_ms),
    });
    Arc::new(QueueRule {
        name: route.name,
        host: route.host,
        prefix: route.prefix,
        pool: route.service,
        priority: route.priority,
        max_attempts: route.max_attempts.unwrap_or(1).max(1),
        stretch_milli: saturating_u64(route.stretch.unwrap_or(1.0) * 1000.0).min(MAX_STRETCH_MILLI),
        objective_ms: saturating_u64(route.slo_ms).min(MAX_OBJECTIVE_MS),
        advice,
        public: route.public,
    })
}
