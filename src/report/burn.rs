//! Service-level burn: how fast queues use up their error budgets, over all nodes.
//!
//! `report burn` calls it with the figures of each node and the document in force; counts and
//! histograms are merged, never averaged.

use {
    crate::{
        app::{BudgetConsumption, MeterDump, decode_histogram, new_histogram},
        conf::Document,
        core::{Millis, OrganisationName, QueueName},
    },
    hdrhistogram::Histogram,
    serde::Serialize,
    std::collections::BTreeMap,
};

/// Short window of the burn rate: 5 minutes, in ms.
const SHORT_WINDOW_MS: Millis = 300_000;

/// Long window of the burn rate: 1 hour, in ms.
const LONG_WINDOW_MS: Millis = 3_600_000;

/// Burn of one queue and organisation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnRow {
    pub queue: QueueName,
    #[serde(rename = "team")]
    pub organisation: OrganisationName,
    /// Part of requests that must be good, in percent; 0 if the queue has no objective.
    pub objective_percent: f64,
    /// Objective of the wait, in ms; 0 if the queue has none.
    pub within_ms: Millis,
    /// Requests in all periods that the nodes keep.
    pub total: u64,
    /// Counts by cause over the same periods; `retries` do not spend error budget.
    pub spent: BudgetConsumption,
    /// Part of the error budget of the same periods that is left, in percent; negative if it is
    /// exceeded.
    pub budget_left_percent: f64,
    /// Burn rate over the last 5 minutes; at 1 the error budget is spent exactly.
    pub burn_short: f64,
    /// Burn rate over the last hour.
    pub burn_long: f64,
    /// Median time until a worker is found, in ms.
    pub wait_p50_ms: u64,
    pub wait_p99_ms: u64,
    pub wait_p999_ms: u64,
    /// Bad requests and all requests of each minute of the long window, oldest first.
    pub minutes: Vec<(u64, u64)>,
}

/// Burn of all queues and organisations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    pub rows: Vec<BurnRow>,
    /// Ids of the nodes whose figures are in the report.
    pub nodes: Vec<String>,
    /// Ids of the nodes that did not reply; their requests are not counted.
    #[serde(rename = "missing")]
    pub unreachable: Vec<String>,
}

#[derive(Default)]
struct SeriesTotals {
    waits: Option<Histogram<u64>>,
    /// All requests and bad requests by age in minutes.
    by_age_minutes: BTreeMap<u64, (u64, u64)>,
    total: u64,
    spent: BudgetConsumption,
}

impl BurnReport {
    /// Merges the figures of the nodes that replied, given by node id; `unreachable` lists the
    /// others. Objectives come from `document`.
    pub fn new(
        document: &Document,
        dumps: &[(String, MeterDump)],
        unreachable: Vec<String>,
    ) -> Self {
        let mut sums: BTreeMap<(QueueName, OrganisationName), SeriesTotals> = BTreeMap::new();
        for series in dumps.iter().flat_map(|(_, d)| &d.series) {
            let key = (series.queue.clone(), series.organisation.clone());
            let sum = sums.entry(key).or_default();
            let waits = sum.waits.get_or_insert_with(new_histogram);
            let _ = waits.add(decode_histogram(&series.waits));
            for period in &series.periods {
                let minute = sum
                    .by_age_minutes
                    .entry(period.age_ms / 60_000)
                    .or_default();
                minute.0 += period.total;
                minute.1 += period.spent.bad_events();
                sum.total += period.total;
                sum.spent.add(&period.spent);
            }
        }
        let rows = sums
            .into_iter()
            .map(|(key, sum)| burn_row(document, key, &sum));
        Self {
            rows: rows.collect(),
            nodes: dumps.iter().map(|(node, _)| node.clone()).collect(),
            unreachable,
        }
    }
}

fn burn_row(
    document: &Document,
    (queue, organisation): (QueueName, OrganisationName),
    sum: &SeriesTotals,
) -> BurnRow {
    let objective = document.queues.get(&queue).and_then(|q| q.objective);
    let percent = objective.map_or(0.0, |o| o.percent);
    let allowed_fraction = objective.map_or(0.0, |o| 1.0 - o.percent / 100.0);
    let quantile = |q| sum.waits.as_ref().map_or(0, |w| w.value_at_quantile(q));
    let minute_count = LONG_WINDOW_MS / 60_000;
    BurnRow {
        objective_percent: percent,
        within_ms: objective.map_or(0, |o| o.within_ms),
        total: sum.total,
        spent: sum.spent,
        budget_left_percent: 100.0
            * (1.0 - burn_rate((sum.total, sum.spent.bad_events()), allowed_fraction)),
        burn_short: burn_rate(sum_window(sum, SHORT_WINDOW_MS), allowed_fraction),
        burn_long: burn_rate(sum_window(sum, LONG_WINDOW_MS), allowed_fraction),
        wait_p50_ms: quantile(0.5),
        wait_p99_ms: quantile(0.99),
        wait_p999_ms: quantile(0.999),
        minutes: (0..minute_count)
            .rev()
            .map(|age| sum.by_age_minutes.get(&age).copied().unwrap_or_default())
            .map(|(total, bad)| (bad, total))
            .collect(),
        queue,
        organisation,
    }
}

/// Returns all requests and bad requests of the last `window_ms`.
fn sum_window(sum: &SeriesTotals, window_ms: Millis) -> (u64, u64) {
    let recent = sum.by_age_minutes.range(..window_ms / 60_000);
    recent.fold((0, 0), |(t, b), (_, (total, bad))| (t + total, b + bad))
}

/// Returns the bad fraction of all requests divided by the allowed fraction; 0 if there are no
/// requests or no objective.
fn burn_rate((total, bad): (u64, u64), allowed_fraction: f64) -> f64 {
    if total == 0 || allowed_fraction <= 0.0 {
        return 0.0;
    }
    #[allow(clippy::cast_precision_loss)]
    let bad_fraction = bad as f64 / total as f64;
    bad_fraction / allowed_fraction
}
