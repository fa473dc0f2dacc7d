//! Lines that a report could not read.

use serde::Serialize;

/// Number of unread lines that are named.
const MAX_NAMED: usize = 3;

/// Count of the lines that could not be read, and where the first of them are.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct UnreadLines {
    pub count: u64,
    /// Places of the first lines, such as `FILE:LINE`.
    pub first: Vec<String>,
}

impl UnreadLines {
    /// Counts a line; `place` is called for the first ones only.
    pub fn add(&mut self, place: impl FnOnce() -> String) {
        self.count += 1;
        if self.first.len() < MAX_NAMED {
            self.first.push(place());
        }
    }

    /// Adds the lines of another count after these.
    pub fn merge(&mut self, other: Self) {
        self.count += other.count;
        self.first.extend(other.first);
        self.first.truncate(MAX_NAMED);
    }
}
