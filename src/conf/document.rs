//! The operators' document: pools of workers and queues of one environment.
//!
//! The client and the operators' interface parse and check it; `core` and `app` read the
//! policies of the document in force. The type only describes: it enforces no policy itself.

use {
    crate::{
        conf::{ConfError, Fault},
        core::{
            JobKind, JobSpec, Millis, OrganisationName, PoolName, Priority, QueueName, Resources,
        },
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Upper bound for `deadline_ms` of a request queue, in ms.
const MAX_DEADLINE_MS: Millis = 600_000;

/// Upper bound for the tasks of one job; a submission with more is refused.
pub const MAX_TASKS_PER_JOB: u32 = 2_000;

/// Which of the workers that fit a task is preferred.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// The worker with the least free capacity, so that workers fill up one by one.
    Pack,
    /// The worker with the most free capacity.
    #[default]
    Spread,
}

/// Service-level objective of a queue, as the burn report uses it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Requests that wait longer than this for a worker spend error budget, in ms.
    pub within_ms: Millis,
    /// Part of requests that must be good, in percent; above 0 and below 100.
    pub percent: f64,
}

/// Policy of one queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QueuePolicy {
    pub kind: JobKind,
    /// Pool whose workers run the tasks; the document must define it.
    pub pool: PoolName,
    /// Resources of one task; at least one slot, no more than one worker has.
    pub need: Resources,
    #[serde(default)]
    pub priority: Priority,
    /// The organisation that work without a key runs for; if absent, a key is required.
    #[serde(default)]
    #[serde(rename = "open_to_all")]
    pub anonymous_organisation: Option<OrganisationName>,
    /// Whether a task may run more than once; `retries` must be 0 otherwise.
    #[serde(default)]
    pub idempotent: bool,
    /// Maximum wait for a worker, in ms, unless the caller sends its own; requests only.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: Millis,
    /// Expected run time of a task, in ms; zero for services.
    #[serde(default)]
    pub run_ms: Millis,
    /// Further attempts after a failure.
    #[serde(default)]
    pub retries: u32,
    #[serde(default)]
    pub placement: Placement,
    /// Without one, the burn report shows a burn rate of 0.
    #[serde(default)]
    pub objective: Option<Objective>,
}

fn default_deadline_ms() -> Millis {
    5_000
}

impl QueuePolicy {
    /// Builds the specification of a job of `queue` from its policy.
    pub fn job_spec(&self, queue: QueueName, tasks: u32, label: Arc<str>) -> JobSpec {
        JobSpec {
            queue,
            kind: self.kind,
            pool: self.pool.clone(),
            need: self.need,
            tasks,
            priority: self.priority,
            idempotent: self.idempotent,
            retries: self.retries,
            run_ms: self.run_ms,
            pack: self.pack(),
            label,
        }
    }

    /// Returns whether the placement is [`Placement::Pack`].
    pub fn pack(&self) -> bool {
        self.placement == Placement::Pack
    }
}

/// Policy of one pool: its workers all have the same capacity.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolPolicy {
    /// Capacity of one worker.
    pub worker: Resources,
    /// Maximum number of connections that one node opens to a worker.
    pub connections: u32,
}

/// The document of one environment; [`Document::from_yaml`] only returns valid ones.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the environment, not empty.
    pub environment: Arc<str>,
    pub pools: BTreeMap<PoolName, PoolPolicy>,
    pub queues: BTreeMap<QueueName, QueuePolicy>,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// Fails with `E1011` on invalid YAML or an unknown field, else with all faults at once.
    pub fn from_yaml(text: &str) -> Result<Self, ConfError> {
        let document: Self = serde_saphyr::from_str(text).map_err(|e| ConfError::yaml(&e))?;
        let faults = document.faults(text);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(ConfError::Document { faults })
        }
    }

    /// Serialises the document as YAML; empty if that fails.
    pub fn to_yaml(&self) -> String {
        serde_saphyr::to_string(self).unwrap_or_default()
    }

    /// Lists every reason to refuse the document; empty if it is valid.
    ///
    /// `text` is the YAML source, in which the line numbers are looked up.
    pub fn faults(&self, text: &str) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.environment.is_empty() {
            faults.push(Fault::new(
                1001,
                "environment",
                "is empty",
                "name the environment",
                text,
            ));
        }
        for (name, queue) in &self.queues {
            self.queue_faults(name, queue, text, &mut faults);
        }
        faults
    }

    fn queue_faults(
        &self,
        name: &QueueName,
        queue: &QueuePolicy,
        text: &str,
        faults: &mut Vec<Fault>,
    ) {
        let mut fault = |code, problem: String, remedy: &str| {
            faults.push(Fault::new(code, name.as_str(), &problem, remedy, text));
        };
        match self.pools.get(&queue.pool) {
            None => fault(
                1002,
                format!("names the unknown pool {}", queue.pool),
                "add the pool",
            ),
            Some(pool) if !pool.worker.covers(&queue.need) => fault(
                1003,
                "needs more than a worker of its pool has".to_owned(),
                "lower `need` or choose another pool",
            ),
            Some(_) => {}
        }
        if queue.need.slots == 0 {
            fault(1004, "needs no slot".to_owned(), "set `slots` to 1 or more");
        }
        if queue.kind == JobKind::Request && !(1..=MAX_DEADLINE_MS).contains(&queue.deadline_ms) {
            let problem = format!("has a deadline of {} ms", queue.deadline_ms);
            fault(1005, problem, "set `deadline_ms` between 1 and 600000");
        }
        if !queue.idempotent && queue.retries > 0 {
            fault(
                1006,
                "retries work that is not idempotent".to_owned(),
                "set `retries: 0` or `idempotent: true`",
            );
        }
        if let Some(objective) = &queue.objective
            && !(objective.percent > 0.0 && objective.percent < 100.0)
        {
            let problem = format!("has an objective of {} percent", objective.percent);
            fault(1007, problem, "set `percent` above 0 and below 100");
        }
    }
}
