//! Waiting times and outcomes by kind of work and team.

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

/// Length of one period, in ms.
pub const PERIOD_MS: Millis = 60_000;

/// Periods kept: six hours.
const PERIODS_KEPT: usize = 360;

/// Significant digits of histograms.
const DIGITS: u8 = 3;

/// What spent the budget of an objective.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BudgetConsumption {
    /// Answers that came too late.
    #[serde(rename = "waiting")]
    pub late: u64,
    /// Requests that were refused.
    pub refusals: u64,
    /// Answers of upstreams with a server error, or none.
    pub upstream: u64,
    /// Good answers that needed a further worker.
    pub retries: u64,
}

impl BudgetConsumption {
    /// Adds counts.
    pub fn add(&mut self, o: &Self) {
        self.late += o.late;
        self.refusals += o.refusals;
        self.upstream += o.upstream;
        self.retries += o.retries;
    }

    /// Counts the events that were bad for callers.
    pub fn bad_events(&self) -> u64 {
        self.late + self.refusals + self.upstream
    }
}

/// Counts of one period.
#[derive(Clone, Debug)]
struct Period {
    start_ms: Millis,
    total: u64,
    spent: BudgetConsumption,
}

#[derive(Debug)]
struct Series {
    /// Time until a worker was found, in ms.
    waits: Histogram<u64>,
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

/// Creates an empty histogram that grows with what is recorded.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

/// How a request ended, as the meter counts it.
#[derive(Clone, Copy, Debug)]
pub struct RequestSample {
    pub wait_ms: Millis,
    pub objective_ms: Option<Millis>,
    pub attempts: u32,
    /// Status of the upstream; `None` if there was no answer.
    pub status: Option<u16>,
    pub run: ExecutionStatus,
}

/// Collects figures of one node.
#[derive(Debug, Default)]
pub struct Meter {
    series: Mutex<BTreeMap<(QueueName, OrganisationName), Series>>,
    /// Broken invariants.
    pub invariant_violations: AtomicU64,
}

impl Meter {
    /// Counts a request.
    pub fn record(
        &self,
        queue: &QueueName,
        organisation: &OrganisationName,
        end: &RequestSample,
        now: Millis,
    ) {
        let mut all = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let series = all
            .entry((queue.clone(), organisation.clone()))
            .or_default();
        let _ = series.waits.record(end.wait_ms);
        let start_ms = now - now % PERIOD_MS;
        if series.periods.back().is_none_or(|p| p.start_ms != start_ms) {
            let period = Period {
                start_ms,
                total: 0,
                spent: BudgetConsumption::default(),
            };
            series.periods.push_back(period);
        }
        if series.periods.len() > PERIODS_KEPT {
            series.periods.pop_front();
        }
        if let Some(period) = series.periods.back_mut() {
            period.total += 1;
            charge(&mut period.spent, end);
        }
    }

    /// Copies all figures; ages count back from `now`.
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
                        spent: p.spent,
                    })
                    .collect(),
            })
            .collect();
        MeterDump { series }
    }
}

fn charge(spent: &mut BudgetConsumption, end: &RequestSample) {
    let late = end.objective_ms.is_some_and(|ms| end.wait_ms > ms);
    match end.status {
        None if end.run == ExecutionStatus::NotRun => spent.refusals += 1,
        None => spent.upstream += 1,
        Some(status) if status >= 500 => spent.upstream += 1,
        Some(_) if late => spent.late += 1,
        Some(_) if end.attempts > 1 => spent.retries += 1,
        Some(_) => {}
    }
}

fn serialize(histogram: &Histogram<u64>) -> Vec<u8> {
    let mut buf = Vec::new();
    let _ = V2Serializer::new().serialize(histogram, &mut buf);
    buf
}

/// Counts of one period, by age.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeriodDump {
    pub age_ms: Millis,
    pub total: u64,
    pub spent: BudgetConsumption,
}

/// Figures of one kind of work and team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SeriesDump {
    pub queue: QueueName,
    #[serde(rename = "team")]
    pub organisation: OrganisationName,
    /// Histogram of waits in ms, in the V2 format of `HdrHistogram`.
    pub waits: Vec<u8>,
    pub periods: Vec<PeriodDump>,
}

/// All figures of one node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MeterDump {
    pub series: Vec<SeriesDump>,
}

/// Reads a histogram from [`SeriesDump::waits`]; an unreadable one counts as empty.
pub fn decode_histogram(bytes: &[u8]) -> Histogram<u64> {
    let mut reader = hdrhistogram::serialization::Deserializer::new();
    let mut bytes = bytes;
    reader
        .deserialize(&mut bytes)
        .unwrap_or_else(|_| new_histogram())
}
