//! The node's rate-limited log of numbered events, its counters and latency histograms, and their
//! rendering as metrics. Used by all tasks of a node. `log explain` parses names and details of
//! events; these and the metric names must not change.

use {
    crate::{
        core::Millis,
        entry::{AdmissionOutcome, StoreCall, StoreOutcome, clock},
        fleet::FleetEvent,
    },
    hdrhistogram::Histogram,
    slog::{Logger, info},
    std::{
        fmt::Write,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// Max log lines of one event per second; the heaviest standard day starts about 250 runs per
/// second.
pub const MAX_LINES_PER_SECOND: u32 = 400;

/// Max latency that the histograms distinguish, in ms; the max lease of a caller is far below.
const MAX_LATENCY_MS: u64 = 120_000;

/// Quantiles that the metrics contain.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// A latency with its own histogram.
#[derive(Clone, Copy, Debug)]
pub enum Latency {
    /// From reading a submission to its reply.
    Accept,
    /// From the owner receiving a job to the job's first start.
    FirstStart,
}

/// Log lines, counters and latency histograms of one node.
#[derive(Debug)]
pub struct EventLog {
    log: Logger,
    /// Lines dropped because the log's reader was too slow.
    dropped: Arc<AtomicU64>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    /// Events since the start, by event, including those without a log line.
    counts: [u64; FleetEvent::ALL.len()],
    /// Events in the current second, by event.
    lines: [u32; FleetEvent::ALL.len()],
    second: Millis,
    /// Lines not written because of the rate limit.
    suppressed: u64,
    store_calls: [[u64; StoreOutcome::ALL.len()]; StoreCall::ALL.len()],
    admissions: [u64; AdmissionOutcome::ALL.len()],
    accept: Histogram<u64>,
    first_start: Histogram<u64>,
}

impl EventLog {
    /// Creates a log with all counters at zero; `dropped` is the counter that
    /// [`logger`](super::logger) returned.
    pub fn new(log: Logger, dropped: Arc<AtomicU64>) -> Self {
        let histogram = || {
            Histogram::new_with_max(MAX_LATENCY_MS, 2).unwrap_or_else(|_| {
                // The bounds are constants, and valid ones.
                unreachable!("histogram bounds")
            })
        };
        let inner = Inner {
            counts: [0; FleetEvent::ALL.len()],
            lines: [0; FleetEvent::ALL.len()],
            second: 0,
            suppressed: 0,
            store_calls: [[0; StoreOutcome::ALL.len()]; StoreCall::ALL.len()],
            admissions: [0; AdmissionOutcome::ALL.len()],
            accept: histogram(),
            first_start: histogram(),
        };
        Self {
            log,
            dropped,
            inner: Mutex::new(inner),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an event and writes its line, unless the event has reached
    /// [`MAX_LINES_PER_SECOND`] in this second.
    pub fn log(&self, event: FleetEvent, detail: &str) {
        if self.inner().admit(event, clock::mono() / 1000) {
            info!(self.log, "{:?}", event; "event" => event.number(), "detail" => detail);
        }
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: StoreCall, outcome: StoreOutcome) {
        self.inner().store_calls[call as usize][outcome as usize] += 1;
    }

    /// Counts the admission decision on a job.
    pub fn count_admission(&self, outcome: AdmissionOutcome) {
        self.inner().admissions[outcome as usize] += 1;
    }

    /// Adds a latency to its histogram; one above the maximum counts as the maximum.
    pub fn record_latency(&self, latency: Latency, ms: Millis) {
        let mut inner = self.inner();
        match latency {
            Latency::Accept => inner.accept.saturating_record(ms),
            Latency::FirstStart => inner.first_start.saturating_record(ms),
        }
    }

    /// Returns all counters, quantiles and the given gauges in the Prometheus text format.
    pub fn render_metrics(&self, gauges: &[(&str, u64)]) -> String {
        let inner = self.inner();
        let mut text = String::new();
        for (event, count) in FleetEvent::ALL.iter().zip(inner.counts) {
            let _ = writeln!(
                text,
                "dragonflyferry_events_total{{event=\"{event:?}\"}} {count}"
            );
        }
        let _ = writeln!(
            text,
            "dragonflyferry_log_lines_suppressed_total {}",
            inner.suppressed
        );
        let dropped = self.dropped.load(Ordering::Relaxed);
        let _ = writeln!(text, "dragonflyferry_log_lines_dropped_total {dropped}");
        for (call, outcomes) in StoreCall::ALL.iter().zip(inner.store_calls) {
            for (outcome, count) in StoreOutcome::ALL.iter().zip(outcomes) {
                let _ = writeln!(
                    text,
                    "dragonflyferry_store_calls_total{{call=\"{call:?}\",outcome=\"{outcome:?}\"}} {count}"
                );
            }
        }
        for (outcome, count) in AdmissionOutcome::ALL.iter().zip(inner.admissions) {
            let _ = writeln!(
                text,
                "dragonflyferry_admission_total{{outcome=\"{outcome:?}\"}} {count}"
            );
        }
        for (name, value) in gauges {
            let _ = writeln!(text, "dragonflyferry_{name} {value}");
        }
        write_summary(&mut text, "accept_ms", &inner.accept);
        write_summary(&mut text, "first_start_ms", &inner.first_start);
        text
    }
}

impl Inner {
    /// Counts an event; returns whether the rate limit allows its line. `second` is in s since
    /// boot.
    fn admit(&mut self, event: FleetEvent, second: Millis) -> bool {
        if second != self.second {
            self.second = second;
            self.lines = [0; FleetEvent::ALL.len()];
        }
        let index = event as usize;
        self.counts[index] += 1;
        self.lines[index] += 1;
        let admitted = self.lines[index] <= MAX_LINES_PER_SECOND;
        self.suppressed += u64::from(!admitted);
        admitted
    }
}

fn write_summary(text: &mut String, name: &str, histogram: &Histogram<u64>) {
    for quantile in QUANTILES {
        let value = histogram.value_at_quantile(quantile);
        let _ = writeln!(
            text,
            "dragonflyferry_{name}{{quantile=\"{quantile}\"}} {value}"
        );
    }
    let _ = writeln!(text, "dragonflyferry_{name}_count {}", histogram.len());
}
