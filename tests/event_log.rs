//! Tests of the node's event log and metrics, above all when the reader of the log does not keep
//! up or one event floods it.

use {
    dragonflyferry::{
        entry::{EventLog, MAX_LINES_PER_SECOND, StoreCall, StoreOutcome, logger},
        fleet::FleetEvent,
    },
    std::{
        io::Write,
        sync::{
            Arc, Mutex,
            atomic::Ordering,
            mpsc::{self, Receiver},
        },
        time::Duration,
    },
};

/// Far more lines than the log's queue holds.
const LINE_COUNT: u64 = 20_000;

/// Time after which the test fails: a writer waits for the reader, or lines are missing.
const TIMEOUT: Duration = Duration::from_mins(1);

/// A log reader that accepts nothing until `release` gets a message or its sender is dropped.
struct BlockedReader {
    release: Option<Receiver<()>>,
    received: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedReader {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if let Some(release) = self.release.take() {
            let _ = release.recv();
        }
        self.received.lock().expect("lock").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A blocked reader must not delay decisions: lines that it cannot take are dropped and counted.
#[test]
fn a_blocked_log_reader_delays_no_writer() {
    let (release_tx, release) = mpsc::channel();
    let received = Arc::new(Mutex::new(Vec::new()));
    let reader = BlockedReader {
        release: Some(release),
        received: received.clone(),
    };
    let (log, dropped) = logger("n1", reader);
    let (done_tx, done) = mpsc::channel();
    let writer = log.clone();
    std::thread::spawn(move || {
        for i in 0..LINE_COUNT {
            slog::info!(writer, "line"; "i" => i);
        }
        let _ = done_tx.send(());
    });
    assert!(
        done.recv_timeout(TIMEOUT).is_ok(),
        "a writer waited for the reader"
    );
    let dropped_count = dropped.load(Ordering::Relaxed);
    assert!(dropped_count > 0);
    drop(release_tx);
    drop(log);
    let waiting_since = std::time::Instant::now();
    let lines = || {
        let received = received.lock().expect("lock");
        String::from_utf8_lossy(&received).lines().count() as u64
    };
    while lines() < LINE_COUNT - dropped_count && waiting_since.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(
        lines() + dropped_count,
        LINE_COUNT,
        "each line is written or counted"
    );
}

/// Log lines of a flooding event are suppressed, while its counter counts all of them.
#[test]
fn lines_of_one_event_are_limited_and_all_are_counted() {
    let (log, dropped) = logger("n1", std::io::sink());
    let events = EventLog::new(log, dropped);
    let written = 100 * u64::from(MAX_LINES_PER_SECOND);
    for _ in 0..written {
        events.log(FleetEvent::RunStarted, "task=1");
    }
    events.count_store_call(StoreCall::Commit, StoreOutcome::Busy);
    let text = events.render_metrics(&[("is_owner", 1)]);
    let value = |name: &str| {
        let line = text.lines().find(|l| l.starts_with(name)).expect(name);
        let value = line.rsplit(' ').next().expect("value");
        value.parse::<u64>().expect("number")
    };
    let total = "dragonflyferry_events_total{event=\"RunStarted\"}";
    assert_eq!(value(total), written);
    // One second may end during the loop, which resets the limit once.
    let suppressed = value("dragonflyferry_log_lines_suppressed_total");
    assert!(
        suppressed >= u64::from(MAX_LINES_PER_SECOND),
        "{suppressed}"
    );
    let busy = "dragonflyferry_store_calls_total{call=\"Commit\",outcome=\"Busy\"}";
    assert_eq!(value(busy), 1);
}

/// Every exported metric is in the table of the operations page.
#[test]
fn every_metric_is_documented() {
    let page = include_str!("../docs/OPERATIONS.md");
    let (log, dropped) = logger("n1", std::io::sink());
    let text = EventLog::new(log, dropped).render_metrics(&[]);
    for line in text.lines() {
        let name = line.split(['{', ' ']).next().expect("name");
        assert!(page.contains(name), "{name}");
    }
}
