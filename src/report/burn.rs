//! Service-level burn, merged over the nodes' histograms and counts.

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

/// Short window of the burn rate, in ms.
const SHORT_WINDOW_MS: Millis = 300_000;

/// Long window of the burn rate, in ms.
const LONG_WINDOW_MS: Millis = 3_600_000;

/// Burn of one kind of work and team.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnRow {
    pub queue: QueueName,
    #[serde(rename = "team")]
    pub organisation: OrganisationName,
    /// Part of answers that must be good, in percent; 0 if the queue has no objective.
    pub objective_percent: f64,
    pub within_ms: Millis,
    pub total: u64,
    pub spent: BudgetConsumption,
    /// Part of the error budget of all kept periods that is left, in percent.
    pub budget_left_percent: f64,
    /// Speed at which the budget is spent; 1 spends it exactly.
    pub burn_short: f64,
    pub burn_long: f64,
    pub wait_p50_ms: u64,
    pub wait_p99_ms: u64,
    pub wait_p999_ms: u64,
    /// Bad answers of each minute of the long window, oldest first, with the total.
    pub minutes: Vec<(u64, u64)>,
}

/// Burn of all kinds of work and teams.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BurnReport {
    pub rows: Vec<BurnRow>,
    /// Nodes whose figures are in the report.
    pub nodes: Vec<String>,
    /// Nodes that did not answer.
    #[serde(rename = "missing")]
    pub unreachable: Vec<String>,
}

#[derive(Default)]
struct Sum {
    waits: Option<Histogram<u64>>,
    /// Totals and bad answers by age in minutes.
    ages: BTreeMap<u64, (u64, u64)>,
    total: u64,
    spent: BudgetConsumption,
}

impl BurnReport {
    /// Merges the figures of the nodes that answered.
    pub fn new(
        document: &Document,
        dumps: &[(String, MeterDump)],
        unreachable: Vec<String>,
    ) -> Self {
        let mut sums: BTreeMap<(QueueName, OrganisationName), Sum> = BTreeMap::new();
        for series in dumps.iter().flat_map(|(_, d)| &d.series) {
            let key = (series.queue.clone(), series.organisation.clone());
            let sum = sums.entry(key).or_default();
            let waits = sum.waits.get_or_insert_with(new_histogram);
            let _ = waits.add(decode_histogram(&series.waits));
            for period in &series.periods {
                let minute = sum.ages.entry(period.age_ms / 60_000).or_default();
                minute.0 += period.total;
                minute.1 += period.spent.bad_events();
                sum.total += period.total;
                sum.spent.add(&period.spent);
            }
        }
        let rows = sums.into_iter().map(|(key, sum)| row(document, key, &sum));
        Self {
            rows: rows.collect(),
            nodes: dumps.iter().map(|(node, _)| node.clone()).collect(),
            unreachable,
        }
    }
}

fn row(
    document: &Document,
    (queue, organisation): (QueueName, OrganisationName),
    sum: &Sum,
) -> BurnRow {
    let objective = document.queues.get(&queue).and_then(|q| q.objective);
    let percent = objective.map_or(0.0, |o| o.percent);
    let allowed = objective.map_or(0.0, |o| 1.0 - o.percent / 100.0);
    let quantile = |q| sum.waits.as_ref().map_or(0, |w| w.value_at_quantile(q));
    let minutes = LONG_WINDOW_MS / 60_000;
    BurnRow {
        objective_percent: percent,
        within_ms: objective.map_or(0, |o| o.within_ms),
        total: sum.total,
        spent: sum.spent,
        budget_left_percent: 100.0 * (1.0 - burn((sum.total, sum.spent.bad_events()), allowed)),
        burn_short: burn(window(sum, SHORT_WINDOW_MS), allowed),
        burn_long: burn(window(sum, LONG_WINDOW_MS), allowed),
        wait_p50_ms: quantile(0.5),
        wait_p99_ms: quantile(0.99),
        wait_p999_ms: quantile(0.999),
        minutes: (0..minutes)
            .rev()
            .map(|age| sum.ages.get(&age).copied().unwrap_or_default())
            .map(|(total, bad)| (bad, total))
            .collect(),
        queue,
        organisation,
    }
}

fn window(sum: &Sum, window_ms: Millis) -> (u64, u64) {
    let within = sum.ages.range(..window_ms / 60_000);
    within.fold((0, 0), |(t, b), (_, (total, bad))| (t + total, b + bad))
}

/// Returns the part of the allowed bad answers that occurred.
fn burn((total, bad): (u64, u64), allowed: f64) -> f64 {
    if total == 0 || allowed <= 0.0 {
        return 0.0;
    }
    #[allow(clippy::cast_precision_loss)]
    let part = bad as f64 / total as f64;
    part / allowed
}
