//! The measurements of `examples/measure.rs`, one module each, and their common output.

pub mod capacity;
pub mod cell_load;
pub mod decision;

use serde::Serialize;

/// Prints rows as JSON lines, or as the lines that `text` formats.
pub fn print_rows<T: Serialize>(json: bool, rows: &[T], text: impl Fn(&T) -> String) {
    for row in rows {
        if json {
            println!("{}", serde_json::to_string(row).unwrap_or_default());
        } else {
            println!("{}", text(row));
        }
    }
}

/// Returns the resident memory of this process in bytes, for pages of 4 KiB; 0 if unreadable.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse().ok())
        .unwrap_or(0);
    pages * 4_096
}
