//! The platform's JSON for jobs: request bodies, and the states and counts in replies.
//!
//! Used by the entry layer's caller API. Only translates: whether a job is accepted is up to the
//! caller of this module, except for bodies that are not understood.

use {
    crate::{
        fleet::{JobSpec, JobStatus, Schedule, StepSpec},
        platform::{
            PlatformError,
            settings::saturating_u64,
            wire_config::{WireResources, ceil_u32},
        },
    },
    serde::Deserialize,
    std::sync::Arc,
};

/// Request header with the caller's API key.
pub const API_KEY_HEADER: &str = "key";

/// Request header with how long the caller waits for a reply, in ms.
pub const DEADLINE_HEADER: &str = "deadline-ms";

/// Path that the load balancer requests on the readiness address.
pub const READY_PATH: &str = "/-/readyz";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireJob {
    #[serde(default)]
    spec: Arc<str>,
    steps: Vec<WireStep>,
    #[serde(default)]
    repeat_count: f64,
    #[serde(default)]
    start_ms: f64,
    #[serde(default)]
    interval_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
#[expect(clippy::struct_excessive_bools, reason = "the platform's own shape")]
struct WireStep {
    #[serde(default)]
    count: u32,
    #[serde(default)]
    cpu: f64,
    #[serde(default)]
    mem_mb: f64,
    #[serde(default)]
    gpu: f64,
    #[serde(default)]
    estimate_ms: f64,
    #[serde(default)]
    after: Vec<u16>,
    #[serde(default)]
    checkpoints: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    same_rack: bool,
    required_label: Option<Arc<str>>,
    /// The preferred rack, not another task.
    affinity: Option<Arc<str>>,
    #[serde(default)]
    max_per_server: u32,
    #[serde(default)]
    allow_duplicates: bool,
    #[serde(default)]
    persistent: bool,
    #[serde(default)]
    image: Arc<str>,
    #[serde(default)]
    target_ms: f64,
    #[serde(default)]
    fills: bool,
    #[serde(default)]
    may_miss: u32,
}

/// Parses a job from a request body. E5004 if the body is not understood, has no step or too many,
/// or if a step depends on one that is not before it. The text of the error is only logged.
pub fn job_from_bytes(bytes: &[u8]) -> Result<JobSpec, PlatformError> {
    let bad = |message: String| PlatformError::BadJob { message };
    let wire: WireJob = serde_json::from_slice(bytes).map_err(|e| bad(e.to_string()))?;
    let count = wire.steps.len();
    if count == 0 || count > usize::from(u16::MAX) {
        return Err(bad("a job has at least one step".to_owned()));
    }
    for (i, step) in wire.steps.iter().enumerate() {
        if step.after.iter().any(|s| usize::from(*s) >= i) {
            return Err(bad(format!(
                "step {i} waits for a step that is not before it"
            )));
        }
    }
    let schedule = (wire.repeat_count >= 1.0).then(|| Schedule {
        count: ceil_u32(wire.repeat_count),
        start_unix_ms: saturating_u64(wire.start_ms),
        interval_ms: saturating_u64(wire.interval_ms),
    });
    Ok(JobSpec {
        payload: wire.spec,
        steps: wire.steps.into_iter().map(step_spec).collect(),
        schedule,
    })
}

fn step_spec(step: WireStep) -> StepSpec {
    let non_empty = |s: &Arc<str>| !s.is_empty();
    let need = WireResources {
        cpu: step.cpu,
        mem_mb: step.mem_mb,
        gpu: step.gpu,
    };
    StepSpec {
        count: step.count,
        need: need.to_resources(),
        estimate_ms: saturating_u64(step.estimate_ms),
        depends_on: step.after,
        checkpoints: step.checkpoints,
        gang: step.gang,
        prefer_same_rack: step.same_rack,
        required_label: step.required_label.filter(non_empty),
        preferred_rack: step.affinity.filter(non_empty),
        max_per_executor: step.max_per_server,
        allow_duplicates: step.allow_duplicates,
        persistent: step.persistent,
        image: step.image,
        latency_target_ms: saturating_u64(step.target_ms),
        best_effort: step.fills,
        max_unavailable: step.may_miss,
    }
}

/// Returns the reply body with a job's state.
pub fn job_state_body(status: JobStatus) -> String {
    let state = match status {
        JobStatus::Active => "active",
        JobStatus::Cancelled => "cancelled",
        JobStatus::Completed => "completed",
        JobStatus::Failed => "failed",
        JobStatus::Pending => "pending",
    };
    format!("{{\"state\":\"{state}\"}}")
}

/// Returns the reply body with the number of waiting jobs of a queue.
pub fn queue_depth_body(count: u64) -> String {
    format!("{{\"waiting\":{count}}}")
}
