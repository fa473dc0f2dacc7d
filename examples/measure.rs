//! Measures the decision core: cost of decisions, control cost by fleet size, and policy.
//!
//! `measure [decision|capacity|policy] [--output json]`; without a word, all three.

mod measures;

use {
    measures::{capacity, decision, policy},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let output: Option<String> = args.opt_value_from_str("--output").unwrap_or(None);
    let json = output.as_deref() == Some("json");
    let plot: Option<String> = args.opt_value_from_str("--plot").unwrap_or(None);
    let word: Option<String> = args.opt_free_from_str().unwrap_or(None);
    match word.as_deref() {
        Some("decision") => decision::run(json),
        Some("capacity") => capacity::run(json),
        Some("policy") => policy::run(json, plot.as_deref()),
        None => {
            decision::run(json);
            capacity::run(json);
            policy::run(json, plot.as_deref());
        }
        Some(other) => {
            eprintln!("E4201 no measure `{other}`; use decision, capacity or policy");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
