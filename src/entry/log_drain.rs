//! Writes log lines as JSON from a thread of its own. Created by the daemon. Logging never blocks:
//! lines that do not fit in the queue are dropped and counted.

use {
    slog::{Drain, Logger, Never, OwnedKVList, Record, o},
    slog_async::{AsyncCore, AsyncError},
    std::{
        io::Write,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// Max number of log lines queued for a slow reader; further ones are dropped and counted. At 250
/// starts per second, the heaviest standard day, the queue covers a reader pause of about 5 s.
const MAX_QUEUED_LINES: usize = 4_096;

struct CountingDrain {
    core: AsyncCore,
    dropped: Arc<AtomicU64>,
}

impl Drain for CountingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match self.core.log(record, values) {
            Ok(()) => {}
            // Neither case can be logged; the metric counts them.
            Err(AsyncError::Full | AsyncError::Fatal(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }
}

/// Creates a logger that writes JSON lines to `writer` from a thread of its own. Also returns the
/// number of lines dropped because that thread was too slow.
pub fn logger(node: &str, writer: impl Write + Send + 'static) -> (Logger, Arc<AtomicU64>) {
    let json = slog_json::Json::default(writer).fuse();
    let core = AsyncCore::custom(json)
        .chan_size(MAX_QUEUED_LINES)
        .blocking(false)
        .build_no_guard();
    let dropped = Arc::new(AtomicU64::new(0));
    let drain = CountingDrain {
        core,
        dropped: dropped.clone(),
    };
    let log = Logger::root(drain.fuse(), o!("node" => node.to_owned()));
    (log, dropped)
}
