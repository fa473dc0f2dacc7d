//! The node's metrics in the Prometheus text format, rendered at each read of `/metrics`. Rendering
//! changes no state. Names and labels are part of the operators' interface and stay as they are.

use {
    crate::{
        app::{BudgetConsumption, Meter, decode_histogram},
        core::{Millis, NodeView},
    },
    std::{fmt::Write, sync::atomic::Ordering},
};

/// Renders the gauges of the core's state, then counts and waiting times of each queue and
/// organisation. Times are in ms; counts cover the periods that the meter keeps.
pub fn render(view: &NodeView, meter: &Meter, now: Millis) -> String {
    let mut text = String::new();
    let gauges = [
        ("config_revision", view.config_revision),
        ("table_revision", view.table_revision),
        ("owned_shards", view.owned_shards as u64),
        ("fenced_shards", view.fenced_shards as u64),
        ("workers", view.workers as u64),
        ("open_workers", view.open_workers as u64),
        ("hosted_tasks", view.hosted_tasks as u64),
        ("waiting_asks", view.queued_placements as u64),
        ("pending_requests", view.pending_requests as u64),
        ("jobs", view.jobs as u64),
        ("store_ok", u64::from(view.store_ok)),
        (
            "invariants_broken",
            meter.invariant_violations.load(Ordering::Relaxed),
        ),
    ];
    for (name, value) in gauges {
        let _ = writeln!(text, "# TYPE dragonflyferry_{name} gauge");
        let _ = writeln!(text, "dragonflyferry_{name} {value}");
    }
    let _ = writeln!(text, "# TYPE dragonflyferry_requests_total counter");
    for series in meter.dump(now).series {
        let labels = format!(
            "queue=\"{}\",team=\"{}\"",
            series.queue, series.organisation
        );
        let mut consumption = BudgetConsumption::default();
        let total: u64 = series.periods.iter().map(|p| p.total).sum();
        for period in &series.periods {
            consumption.add(&period.spent);
        }
        let _ = writeln!(text, "dragonflyferry_requests_total{{{labels}}} {total}");
        let _ = writeln!(
            text,
            "dragonflyferry_requests_bad{{{labels}}} {}",
            consumption.bad_events()
        );
        let waits = decode_histogram(&series.waits);
        for quantile in [0.5, 0.99] {
            let value = waits.value_at_quantile(quantile);
            let _ = writeln!(
                text,
                "dragonflyferry_wait_ms{{{labels},quantile=\"{quantile}\"}} {value}"
            );
        }
    }
    text
}
