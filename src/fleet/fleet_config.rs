//! The operators' configuration in force, as the scheduler sees it.

use {
    crate::core::{Millis, Resources},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// Cost and validity of the placement advice that a queue needs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceRule {
    /// Fixed time of one call, in microseconds.
    pub call_cost_us: u64,
    /// Time for each executor named, in microseconds.
    pub executor_cost_us: u64,
    /// How long a ticket can be used, in ms.
    pub valid_ms: Millis,
}

impl AdviceRule {
    /// Returns how long the service works on a call that names `executors`, in ms.
    pub fn call_cost_ms(&self, executors: usize) -> Millis {
        (self.call_cost_us + self.executor_cost_us * executors as u64).div_ceil(1000)
    }
}

/// How the jobs of one queue are treated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueRule {
    pub name: Arc<str>,
    /// Value of the `Host` header that selects the queue.
    pub host: Arc<str>,
    /// Start of the path that selects the queue; the longest wins.
    pub prefix: Arc<str>,
    /// Pool of executors that run the queue's tasks.
    pub pool: Arc<str>,
    /// 0 is the most urgent.
    pub priority: u32,
    pub max_attempts: u32,
    /// Objective: thousandths of the job's longest chain of work.
    pub stretch_milli: u64,
    /// Objective: added to the stretched chain, in ms.
    pub objective_ms: Millis,
    pub advice: Option<AdviceRule>,
    /// Callers need no key.
    pub public: bool,
}

/// What one organisation may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TenantRule {
    /// Share when all is full; also the jobs a second that are owed to it.
    pub weight: u32,
    /// Most that it may have running; 0 in a resource means no limit.
    pub cap: Resources,
}

impl TenantRule {
    /// Tells whether `used` with `need` added stays within the cap.
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
    /// Rises with each change, in uneven steps.
    pub version: u64,
    pub queues: Vec<Arc<QueueRule>>,
    pub tenants: HashMap<Arc<str>, TenantRule>,
    /// Keys in force and the organisation of each.
    pub api_keys: HashMap<Arc<str>, Arc<str>>,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

impl FleetConfig {
    /// Finds the queue of a request; the longest matching prefix wins.
    pub fn queue_for_request(&self, host: &str, path: &str) -> Option<&Arc<QueueRule>> {
        let matches = |q: &&Arc<QueueRule>| *q.host == *host && path.starts_with(&*q.prefix);
        let longest = self.queues.iter().filter(matches);
        longest.max_by_key(|q| q.prefix.len())
    }

    /// Finds a queue by name.
    pub fn queue(&self, name: &str) -> Option<&Arc<QueueRule>> {
        self.queues.iter().find(|q| &*q.name == name)
    }
}
