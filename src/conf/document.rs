//! The operators' document: how every kind of work is treated in one environment.

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

/// Longest deadline of a request, in ms.
const MAX_DEADLINE_MS: Millis = 600_000;

/// Most tasks of one job.
pub const MAX_TASKS_PER_JOB: u32 = 2_000;

/// How tasks are laid over workers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// Fills workers up one by one.
    Pack,
    /// Prefers the emptiest worker.
    #[default]
    Spread,
}

/// What callers are promised, for the report on service-level burn.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Answers later than this spend budget, in ms.
    pub within_ms: Millis,
    /// Part of answers that must be good, in percent; below 100.
    pub percent: f64,
}

/// How one kind of work is treated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QueuePolicy {
    pub kind: JobKind,
    pub pool: PoolName,
    pub need: Resources,
    #[serde(default)]
    pub priority: Priority,
    /// The team that work without a key runs for; absent where a key is needed.
    #[serde(default)]
    #[serde(rename = "open_to_all")]
    pub anonymous_organisation: Option<OrganisationName>,
    /// The work may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Longest wait for a worker, in ms; requests only.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: Millis,
    /// Expected run time, in ms; zero for services.
    #[serde(default)]
    pub run_ms: Millis,
    /// Further attempts after a failure.
    #[serde(default)]
    pub retries: u32,
    #[serde(default)]
    pub placement: Placement,
    #[serde(default)]
    pub objective: Option<Objective>,
}

fn default_deadline_ms() -> Millis {
    5_000
}

impl QueuePolicy {
    /// Makes the specification of a job of this queue.
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

    /// Tells whether workers are filled up one by one.
    pub fn pack(&self) -> bool {
        self.placement == Placement::Pack
    }
}

/// Capacity of the workers of one pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolPolicy {
    pub worker: Resources,
    /// Most connections that one node opens to a worker.
    pub connections: u32,
}

/// The document of one environment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub environment: Arc<str>,
    pub pools: BTreeMap<PoolName, PoolPolicy>,
    pub queues: BTreeMap<QueueName, QueuePolicy>,
}

impl Document {
    /// Reads a document from YAML and checks it.
    pub fn from_yaml(text: &str) -> Result<Self, ConfError> {
        let document: Self = serde_saphyr::from_str(text).map_err(|e| ConfError::yaml(&e))?;
        let faults = document.faults(text);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(ConfError::Document { faults })
        }
    }

    /// Writes the document as YAML.
    pub fn to_yaml(&self) -> String {
        serde_saphyr::to_string(self).unwrap_or_default()
    }

    /// Lists every reason to refuse the document; `text` is searched for line numbers.
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
        let mut fault = |code, what: String, mend: &str| {
            faults.push(Fault::new(code, name.as_str(), &what, mend, text));
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
            let what = format!("has a deadline of {} ms", queue.deadline_ms);
            fault(1005, what, "set `deadline_ms` between 1 and 600000");
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
            let what = format!("has an objective of {} percent", objective.percent);
            fault(1007, what, "set `percent` above 0 and below 100");
        }
    }
}
