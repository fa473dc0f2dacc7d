//! Plays one case of the review: the platform, executors and clients in this process, the project's daemon
//! in processes of its own. `standin-4 CASE RECORD`; with `TROUBLE=0` the same without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod executor;
mod http;
mod json;
mod nodes;
mod record;
mod store;
mod world;

use std::{env, path::Path, process::exit, sync::Arc};

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, file] = args.as_slice() else {
        eprintln!("standin-4 CASE RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = match record::Record::create(&Path::new(file)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("{file}: {e}");
            exit(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let result = cases::play(case, trouble, &record);
    let code = match result {
        Err(why) => {
            record.line(&format!("could not run: {why}"));
            eprintln!("could not run: {why}");
            2
        }
        Ok(()) => i32::from(record.broken_count() > 0),
    };
    record.line(&format!("exit {code}"));
    println!("case {case}, trouble {trouble}: exit {code}");
    exit(code);
}
