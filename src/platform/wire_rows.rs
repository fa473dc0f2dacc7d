//! Lists in the platform's messages of which single rows may come from other writers.
//!
//! Used by the translations of this folder where a message as a whole is not understood: its rows are
//! then parsed one by one, and a bad row is left out.

use {crate::fleet::SkippedRows, serde::Deserialize, serde_json::value::RawValue, std::fmt::Write};

/// Integers from which on a number is not one of the platform's: JSON numbers are exact below.
pub(super) const MAX_INTEGER: u64 = 1 << 53;

/// Parses rows one by one; leaves out and counts those that are not understood.
pub(super) fn parse_rows<'a, T: Deserialize<'a>>(
    rows: &[&'a RawValue],
    skipped: &mut SkippedRows,
) -> Vec<T> {
    let parse = |row: &&'a RawValue| {
        let parsed = serde_json::from_str(row.get());
        parsed.map_err(|e| skipped.add(e)).ok()
    };
    rows.iter().filter_map(parse).collect()
}

/// Appends a value to the query of a path, encoded where it must be.
pub(super) fn push_query_value(path: &mut String, value: &str) {
    for byte in value.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            path.push(char::from(byte));
        } else {
            // Writing to a string does not fail.
            let _ = write!(path, "%{byte:02X}");
        }
    }
}
