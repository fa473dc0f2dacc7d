//! Refuses a job before it is stored if the owner's estimates say that it cannot be served while
//! its caller has a use for it. Called by the callers' interface.
//!
//! Whatever is in doubt accepts: no summary, an old one or one of an earlier owner, a job that may
//! be stored already, or a failed read of the store.

use {
    crate::{
        core::Millis,
        entry::{Shared, store_keys as keys},
        fleet::{
            Submission,
            policy::{Admission, AdmissionRequest, decide_admission},
        },
    },
    std::sync::Arc,
};

/// Outcome of the decision on one job; its name is the metric's `outcome` label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionOutcome {
    /// The estimated wait lets the job count for its caller.
    Accepted,
    /// The job is persistent or scheduled, or its queue has no objective.
    Exempt,
    /// There is no usable summary, or it names no wait for the queue.
    NoWait,
    /// Accepted in place of a refusal, as the store could not be read.
    ReadFailed,
    Refused,
    /// Accepted in place of a refusal, as the job is stored already.
    Stored,
}

impl AdmissionOutcome {
    /// All outcomes, in declaration order: counters are indexed by it.
    pub const ALL: [Self; 6] = [
        Self::Accepted,
        Self::Exempt,
        Self::NoWait,
        Self::ReadFailed,
        Self::Refused,
        Self::Stored,
    ];
}

/// Why a job is refused, and when its caller may come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverloadRefusal {
    /// Estimated wait until the job's first start, in ms.
    pub wait_ms: Millis,
    /// Age of the estimate, in ms.
    pub age_ms: Millis,
    pub retry_after_s: u64,
}

/// Returns the refusal of a job that cannot be served in time and is not stored; `None` if it takes
/// the usual path.
pub async fn check(shared: &Shared, submission: &Submission) -> Option<OverloadRefusal> {
    if !shared.settings.bounds.refuses_overload() {
        return None;
    }
    let (outcome, refusal) = match decide(shared, submission) {
        Err(outcome) => (outcome, None),
        // An earlier attempt, here or at another node, may have stored it.
        Ok(refusal) => match shared.get_for_caller(&keys::job(submission.id)).await {
            Ok(None) => (AdmissionOutcome::Refused, Some(refusal)),
            Ok(Some(_)) => (AdmissionOutcome::Stored, None),
            Err(_) => (AdmissionOutcome::ReadFailed, None),
        },
    };
    shared.event_log.count_admission(outcome);
    refusal
}

/// Decides by the latest summary; `Err` with the outcome if the job is not to be refused.
fn decide(shared: &Shared, submission: &Submission) -> Result<OverloadRefusal, AdmissionOutcome> {
    let spec = &submission.spec;
    let queue = &submission.queue;
    let critical_path_ms = spec.critical_path_ms();
    let objective_ms = queue.objective_of(critical_path_ms);
    if spec.is_persistent() || spec.schedule.is_some() || objective_ms == 0 {
        return Err(AdmissionOutcome::Exempt);
    }
    let (summary, age_ms) = shared.load().ok_or(AdmissionOutcome::NoWait)?;
    let load = summary.usable_queue(&queue.name, age_ms);
    let load = load.ok_or(AdmissionOutcome::NoWait)?;
    let tenant = submission.tenant.as_ref();
    let is_over_rate = |t: &Arc<str>| summary.over_rate_tenants.contains(t);
    let req = AdmissionRequest {
        job: submission.id,
        tenant: tenant.map(|t| &**t),
        over_rate: tenant.is_some_and(is_over_rate),
        priority: queue.priority,
        critical_path_ms,
        objective_ms,
    };
    match decide_admission(&req, load, age_ms) {
        Admission::Accept => Err(AdmissionOutcome::Accepted),
        Admission::Refuse {
            wait_ms,
            retry_after_s,
        } => Ok(OverloadRefusal {
            wait_ms,
            age_ms,
            retry_after_s,
        }),
    }
}
