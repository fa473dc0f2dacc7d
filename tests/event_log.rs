//! The node's log and metrics when the reader of the log does not keep up.

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

/// Far more lines than wait for a reader.
const LINES: u64 = 20_000;

/// Time after which a writer that waits for the reader fails the test.
const STUCK: Duration = Duration::from_mins(1);

/// A reader that takes nothing until it is let go.
struct StuckReader {
    go: Option<Receiver<()>>,
    taken: Arc<Mutex<Vec<u8>>>,
}

impl Write for StuckReader {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if let Some(go) = self.go.take() {
            let _ = go.recv();
        }
        self.taken.lock().expect("lock").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Lines are dropped and counted, and no decision waits for the reader.
#[test]
fn a_reader_that_stands_still_delays_nobody() {
    let (go_tx, go) = mpsc::channel();
    let taken = Arc::new(Mutex::new(Vec::new()));
    let reader = StuckReader {
        go: Some(go),
        taken: taken.clone(),
    };
    let (log, dropped) = logger("n1", reader);
    let (done_tx, done) = mpsc::channel();
    let writer = log.clone();
    std::thread::spawn(move || {
        for i in 0..LINES {
            slog::info!(writer, "line"; "i" => i);
        }
        let _ = done_tx.send(());
    });
    assert!(done.recv_timeout(STUCK).is_ok(), "a writer waited");
    let lost = dropped.load(Ordering::Relaxed);
    assert!(lost > 0);
    drop(go_tx);
    drop(log);
    let began = std::time::Instant::now();
    let lines = || {
        let taken = taken.lock().expect("lock");
        String::from_utf8_lossy(&taken).lines().count() as u64
    };
    while lines() < LINES - lost && began.elapsed() < STUCK {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(lines() + lost, LINES, "each line is written or counted");
}

/// A flood of one event is cut off, and its counter still tells.
#[test]
fn lines_of_one_event_are_bounded_and_all_are_counted() {
    let (log, dropped) = logger("n1", std::io::sink());
    let events = EventLog::new(log, dropped);
    let written = 100 * u64::from(MAX_LINES_PER_SECOND);
    for _ in 0..written {
        events.write(FleetEvent::RunStarted, "task=1");
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
    // A second may end in between, and its budget begins anew.
    let cut = value("dragonflyferry_log_lines_suppressed_total");
    assert!(cut >= u64::from(MAX_LINES_PER_SECOND), "{cut}");
    let busy = "dragonflyferry_store_calls_total{call=\"Commit\",outcome=\"Busy\"}";
    assert_eq!(value(busy), 1);
}

/// Every figure that is served is in the table of the operations page.
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
