//! Waiting times and outcomes of one node's requests, by queue and organisation. The forwarder
//! records each request when it ends; `/admin/meter` and `/metrics` read the figures. They are kept
//! in memory only and must not influence scheduling.

use {
    crate::{
        app::ExecutionStatus,
        core::{Millis, OrganisationName, QueueName},
    },
    hdrhistogram::{
        Histogram,
        serialization::{Serializer, V2Serializer},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Mutex, PoisonError, atomic::AtomicU64},
    },
};

/// Length of one period of counts, in ms.
pub const PERIOD_MS: Millis = 60_000;

/// Maximum number of periods kept per series: six hours if every period has a request.
const MAX_PERIODS: usize = 360;

/// Significant decimal digits of histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Numbers of requests by the way they consumed the error budget of an objective. A request is
/// counted in one field at most.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct Spent")]
pub struct BudgetConsumption {
    /// Requests that waited for a worker beyond the objective and then completed.
    #[serde(rename = "waiting")]
    pub late: u64,
    /// Requests that were refused and did not run.
    pub refusals: u64,
    /// Requests to which the upstream replied with a server error, or not at all.
    pub upstream: u64,
    /// Requests that completed in time but needed a further worker; they consume no budget.
    pub retries: u64,
}

impl BudgetConsumption {
    /// Adds the counts of `other`, as of another period or node, to these.
    pub fn add(&mut self, other: &Self) {
        self.late += other.late;
        self.refusals += other.refusals;
        self.upstream += other.upstream;
        self.retries += other.retries;
    }

    /// Returns the number of requests that consumed budget: all fields except `retries`.
    pub fn bad_events(&self) -> u64 {
        self.late + self.refusals + self.upstream
    }
}

/// Counts of one period.
#[derive(Clone, Debug)]
struct Period {
    /// In ms since the daemon started; a multiple of [`PERIOD_MS`].
    start_ms: Millis,
    total: u64,
    consumption: BudgetConsumption,
}

/// Figures of one queue and organisation.
#[derive(Debug)]
struct Series {
    /// Time until a worker was granted, in ms, since the daemon started.
    waits: Histogram<u64>,
    /// Oldest first, at most [`MAX_PERIODS`]; a period without requests has no entry.
    periods: VecDeque<Period>,
}

impl Default for Series {
    fn default() -> Self {
        Self {
            waits: new_histogram(),
            periods: VecDeque::new(),
        }
    }
}

/// Creates an empty histogram that resizes itself to the values recorded.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

/// How one request ended.
#[derive(Clone, Copy, Debug)]
pub struct RequestSample {
    /// Time until a worker was granted, or until the end without one, in ms.
    pub wait_ms: Millis,
    /// Maximum wait that the queue's objective permits, in ms; `None` without an objective.
    pub objective_ms: Option<Millis>,
    /// Number of workers granted.
    pub attempts: u32,
    /// HTTP status from the upstream; `None` if there was no reply.
    pub status: Option<u16>,
    pub run: ExecutionStatus,
}

/// Collects the figures of one node; shared by all its requests.
#[derive(Debug, Default)]
pub struct Meter {
    series: Mutex<BTreeMap<(QueueName, OrganisationName), Series>>,
    /// Number of invariant violations that the core has reported since the daemon started.
    pub invariant_violations: AtomicU64,
}

impl Meter {
    /// Records a request that ended at `now`, in ms since the daemon started.
    pub fn record(
        &self,
        queue: &QueueName,
        organisation: &OrganisationName,
        sample: &RequestSample,
        now: Millis,
    ) {
        let mut all = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let series = all
            .entry((queue.clone(), organisation.clone()))
            .or_default();
        let _ = series.waits.record(sample.wait_ms);
        let start_ms = now - now % PERIOD_MS;
        if series.periods.back().is_none_or(|p| p.start_ms != start_ms) {
            let period = Period {
                start_ms,
                total: 0,
                consumption: BudgetConsumption::default(),
            };
            series.periods.push_back(period);
        }
        if series.periods.len() > MAX_PERIODS {
            series.periods.pop_front();
        }
        if let Some(period) = series.periods.back_mut() {
            period.total += 1;
            add_sample(&mut period.consumption, sample);
        }
    }

    /// Returns a copy of all figures; the ages of periods are relative to `now`.
    pub fn dump(&self, now: Millis) -> MeterDump {
        let all = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let series = all
            .iter()
            .map(|((queue, organisation), series)| SeriesDump {
                queue: queue.clone(),
                organisation: organisation.clone(),
                waits: serialize(&series.waits),
                periods: series
                    .periods
                    .iter()
                    .map(|p| PeriodDump {
                        age_ms: now.saturating_sub(p.start_ms),
                        total: p.total,
                        spent: p.consumption,
                    })
                    .collect(),
            })
            .collect();
        MeterDump { series }
    }
}

/// Counts a request in the one field of `consumption` that applies, if any.
fn add_sample(consumption: &mut BudgetConsumption, sample: &RequestSample) {
    let late = sample.objective_ms.is_some_and(|ms| sample.wait_ms > ms);
    match sample.status {
        None if sample.run == ExecutionStatus::NotRun => consumption.refusals += 1,
        None => consumption.upstream += 1,
        Some(status) if status >= 500 => consumption.upstream += 1,
        Some(_) if late => consumption.late += 1,
        Some(_) if sample.attempts > 1 => consumption.retries += 1,
        Some(_) => {}
    }
}

fn serialize(histogram: &Histogram<u64>) -> Vec<u8> {
    let mut buf = Vec::new();
    let _ = V2Serializer::new().serialize(histogram, &mut buf);
    buf
}

/// Counts of one period.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeriodDump {
    /// Time since the start of the period, in ms.
    pub age_ms: Millis,
    /// All requests that ended in the period, good and bad.
    pub total: u64,
    pub spent: BudgetConsumption,
}

/// Figures of one queue and organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SeriesDump {
    pub queue: QueueName,
    #[serde(rename = "team")]
    pub organisation: OrganisationName,
    /// Histogram of waits in ms, in the V2 format of `HdrHistogram`.
    pub waits: Vec<u8>,
    /// Oldest first; a period without requests has no entry.
    pub periods: Vec<PeriodDump>,
}

/// All figures of one node: reply of `/admin/meter`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MeterDump {
    pub series: Vec<SeriesDump>,
}

/// Decodes a histogram from [`SeriesDump::waits`]; one that cannot be decoded counts as empty.
pub fn decode_histogram(bytes: &[u8]) -> Histogram<u64> {
    let mut reader = hdrhistogram::serialization::Deserializer::new();
    let mut bytes = bytes;
    reader
        .deserialize(&mut bytes)
        .unwrap_or_else(|_| new_histogram())
}
