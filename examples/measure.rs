//! Measures the decision core against simulated fleets: decision cost and control cost by size.
//!
//! `measure [cell|decision|capacity] [--output json]`; runs all measurements if none is named.

mod measures;

use {
    measures::{capacity, cell_load, decision},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let output: Option<String> = args.opt_value_from_str("--output").unwrap_or(None);
    let json = output.as_deref() == Some("json");
    let measure: Option<String> = args.opt_free_from_str().unwrap_or(None);
    match measure.as_deref() {
        Some("cell") => cell_load::run(json),
        Some("decision") => decision::run(json),
        Some("capacity") => capacity::run(json),
        None => {
            cell_load::run(json);
            decision::run(json);
            capacity::run(json);
        }
        Some(other) => {
            eprintln!("E4201 no measure `{other}`; use cell, decision or capacity");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
