//! The operators' configuration in force: queues, tenants, API keys and limits.
//!
//! Built by the platform's translation at each change; read by the entry nodes and the cell, which
//! never change it.

use {
    crate::core::{Millis, Resources},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// Cost and validity of the placement advice that a queue needs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceRule {
    /// Fixed part of the time that the service works on a call, in microseconds.
    pub call_cost_us: u64,
    /// Additional time for each executor named, in microseconds.
    pub executor_cost_us: u64,
    /// How long a ticket is valid, in ms. The cell uses the time that the reply states instead.
    pub valid_ms: Millis,
}

impl AdviceRule {
    /// Returns how long the service works on a call that names this many executors, in ms, rounded
    /// up.
    pub fn call_cost_ms(&self, executors: usize) -> Millis {
        (self.call_cost_us + self.executor_cost_us * executors as u64).div_ceil(1000)
    }
}

/// Rules for the jobs of one queue. Also stored with each job (postcard: the order of fields
/// stays).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueRule {
    pub name: Arc<str>,
    /// Value of the `Host` header that selects the queue.
    pub host: Arc<str>,
    /// Prefix of the path that selects the queue; the longest match wins.
    pub prefix: Arc<str>,
    /// Pool of executors that run the queue's tasks.
    pub pool: Arc<str>,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Runs of a task that may fail before the job fails; at least 1.
    pub max_attempts: u32,
    /// Factor of the objective, in thousandths, on the job's critical path: the chain of dependent
    /// steps with the longest estimated run time.
    pub stretch_milli: u64,
    /// Fixed part of the objective, added to the stretched critical path, in ms.
    pub objective_ms: Millis,
    /// `None`: tasks start without advice.
    pub advice: Option<AdviceRule>,
    /// Callers need no API key.
    pub public: bool,
}

impl QueueRule {
    /// Returns the time in which a job with this critical path should end, in ms; 0: no objective.
    pub fn objective_of(&self, critical_path_ms: Millis) -> Millis {
        self.objective_ms + critical_path_ms.saturating_mul(self.stretch_milli) / 1000
    }
}

/// Share and limits of one tenant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TenantRule {
    /// Share when all capacity is in use; also the permitted rate, in jobs per second.
    pub weight: u32,
    /// Maximum resources of its running tasks; 0 in a resource means no limit.
    pub cap: Resources,
}

impl TenantRule {
    /// Returns whether `used` plus `need` stays within the cap.
    pub fn allows(&self, used: &Resources, need: &Resources) -> bool {
        let within = |cap: u32, used: u32, need: u32| cap == 0 || used.saturating_add(need) <= cap;
        within(self.cap.cpu_milli, used.cpu_milli, need.cpu_milli)
            && within(self.cap.memory_mib, used.memory_mib, need.memory_mib)
            && within(self.cap.accelerators, used.accelerators, need.accelerators)
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetConfig {
    /// Increases with each change, not always by one.
    pub version: u64,
    pub queues: Vec<Arc<QueueRule>>,
    /// By name; a tenant without a rule has no cap.
    pub tenants: HashMap<Arc<str>, TenantRule>,
    /// Tenant of each API key in force.
    pub api_keys: HashMap<Arc<str>, Arc<str>>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

impl FleetConfig {
    /// Returns the queue for a `Host` header and a path; the longest matching prefix wins.
    pub fn queue_for_request(&self, host: &str, path: &str) -> Option<&Arc<QueueRule>> {
        let matches = |q: &&Arc<QueueRule>| *q.host == *host && path.starts_with(&*q.prefix);
        let matching = self.queues.iter().filter(matches);
        matching.max_by_key(|q| q.prefix.len())
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &str) -> Option<&Arc<QueueRule>> {
        self.queues.iter().find(|q| &*q.name == name)
    }
}
