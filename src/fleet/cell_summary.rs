//! Counts of executors, jobs and tenant usage, for operators. Read only.

use {
    crate::{
        core::{Millis, Resources},
        fleet::{Cell, EvacuationSummary, Executor, Now, Session},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Jobs of one queue.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct QueueView")]
pub struct QueueSummary {
    /// Jobs that have not started.
    pub waiting: usize,
    /// Jobs that have started and whose end is not decided.
    pub active: usize,
    /// Age of the oldest job that has not started, in ms since it reached this owner.
    pub oldest_wait_ms: Millis,
}

/// What one tenant has running, and its cap; 0 in a resource of the cap means no limit.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct TenantView")]
pub struct TenantSummary {
    pub used: Resources,
    pub cap: Resources,
}

/// State of the fleet as its owner knows it; serialized as JSON under the names of its fields.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct FleetView")]
pub struct FleetSummary {
    /// The owner's fencing token.
    pub token: u64,
    /// Number of executors by state, such as `open` or `silent`.
    pub executors: BTreeMap<Arc<str>, usize>,
    /// Number of executors whose runs this owner has not read.
    pub unsettled: usize,
    pub queues: BTreeMap<Arc<str>, QueueSummary>,
    pub tenants: BTreeMap<Arc<str>, TenantSummary>,
    /// Zones that are being evacuated.
    #[serde(default)]
    pub evacuations: BTreeMap<Arc<str>, EvacuationSummary>,
}

impl Cell {
    /// Returns the counts at `now`; every call goes over all executors and jobs.
    pub fn summary(&self, now: Now) -> FleetSummary {
        let mut executors: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for executor in self.executors.values() {
            let state = Arc::from(state_of(executor, now.mono));
            *executors.entry(state).or_default() += 1;
        }
        let mut queues: BTreeMap<Arc<str>, QueueSummary> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.end.is_none()) {
            let queue = queues.entry(job.submission.queue.name.clone()).or_default();
            if job.started {
                queue.active += 1;
            } else {
                queue.waiting += 1;
                let age = job.oldest_age_ms(now);
                queue.oldest_wait_ms = queue.oldest_wait_ms.max(age);
            }
        }
        let tenant = |(name, used): (&Arc<str>, &Resources)| {
            let rule = self.config.tenants.get(name);
            let cap = rule.map(|r| r.cap).unwrap_or_default();
            (name.clone(), TenantSummary { used: *used, cap })
        };
        FleetSummary {
            token: self.token,
            executors,
            unsettled: self.unread.len(),
            queues,
            tenants: self.tenant_usage.iter().map(tenant).collect(),
            evacuations: self
                .evacuations
                .zones
                .iter()
                .map(|zone| (zone.clone(), self.evacuation_summary(zone, now)))
                .collect(),
        }
    }
}

/// Returns the first state that applies to an executor, the most severe first.
fn state_of(executor: &Executor, now: Millis) -> &'static str {
    match () {
        () if executor.session == Session::Opening => "opening",
        () if !executor.is_responsive() => "silent",
        () if !executor.listed => "left",
        () if executor.info.draining => "draining",
        () if executor.suspicion.is_active(now) => "suspected",
        () if executor.trial_tasks_left(now).is_some() => "on trial",
        () => "open",
    }
}
