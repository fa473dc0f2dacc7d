//! The daemon's logger. `dragonflyferryd` creates one at start; all parts of the daemon share it.

use slog::{Drain, Logger, o};

/// Creates a logger that writes JSON or text lines with the node's name to standard error, from a
/// thread of its own.
pub fn logger(json: bool, node: &str) -> Logger {
    let node = node.to_owned();
    if json {
        let drain = slog_json::Json::default(std::io::stderr()).fuse();
        let drain = slog_async::Async::new(drain).build().fuse();
        return Logger::root(drain, o!("node" => node));
    }
    let decorator = slog_term::TermDecorator::new().stderr().build();
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    Logger::root(drain, o!("node" => node))
}
