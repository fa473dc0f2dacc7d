//! Stand-ins of the platform, executors and clients for the review's scripts, and the scripts' cases:
//! `review-standin CASE RECORD`, with `TROUBLE=0` without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod case_count;
mod case_long;
mod case_memory;
mod case_order;
mod case_silent;
mod executor;
mod link;
mod record;
mod store;
mod wire;
mod world;

use {
    record::Record,
    std::{process::ExitCode, sync::Arc, time::Duration},
};

const MAX_TIME: Duration = Duration::from_secs(116);

/// Whether the rule was broken, and what shows it; `Err` if the case could not run.
type Verdict = Result<Option<String>, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("{path}: {e}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case} trouble={trouble}"));
    // No script runs for more than 120 s, whatever happens.
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(MAX_TIME);
        watched.line("COULD NOT RUN it took too long");
        world::stop_all();
        std::process::exit(2);
    });
    let played = std::panic::catch_unwind(|| play(case, &record, trouble));
    world::stop_all();
    let verdict = played.unwrap_or_else(|_| Err("a stand-in failed".to_owned()));
    let (code, text) = match verdict {
        Ok(None) => (0, "HELD".to_owned()),
        Ok(Some(shown)) => (1, format!("BROKEN {shown}")),
        Err(cause) => (2, format!("COULD NOT RUN {cause}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

fn play(case: &str, record: &Arc<Record>, trouble: bool) -> Verdict {
    match case {
        "count" => case_count::run(record.clone(), trouble),
        "long" => case_long::run(record.clone(), trouble),
        "memory" => case_memory::run(record.clone(), trouble),
        "order" => case_order::run(record.clone(), trouble),
        "silent" => case_silent::run(record.clone(), trouble),
        _ => Err(format!("there is no case {case}")),
    }
}
