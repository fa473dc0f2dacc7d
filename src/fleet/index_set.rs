//! A set of indexes, kept as ranges.
//!
//! Tasks start in the order of their indexes, so those that are done form few ranges: a step of
//! millions of tasks takes a few bytes here and in the store.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, ops::Range},
};

/// Indexes below `u32::MAX`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Vec<(u32, u32)>", into = "Vec<(u32, u32)>")]
pub struct IndexSet {
    /// End of each range by its start. Ranges are not empty, and neither overlap nor touch.
    ranges: BTreeMap<u32, u32>,
    len: u32,
}

impl IndexSet {
    /// Returns the set of the indexes below `end`.
    pub fn up_to(end: u32) -> Self {
        let mut set = Self::default();
        set.insert_range(0..end);
        set
    }

    /// Returns the number of indexes.
    pub fn len(&self) -> u32 {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn contains(&self, index: u32) -> bool {
        let before = self.ranges.range(..=index).next_back();
        before.is_some_and(|(_, end)| index < *end)
    }

    /// Adds an index; returns whether it was missing.
    pub fn insert(&mut self, index: u32) -> bool {
        let before = self.len;
        self.insert_range(index..index.saturating_add(1));
        self.len > before
    }

    /// Adds all indexes of a range.
    pub fn insert_range(&mut self, range: Range<u32>) {
        if range.is_empty() {
            return;
        }
        let (mut start, mut end) = (range.start, range.end);
        if let Some((s, e)) = self.ranges.range(..start).next_back()
            && *e >= start
        {
            (start, end) = (*s, end.max(*e));
        }
        while let Some((s, e)) = self.ranges.range(start..=end).next() {
            let (s, e) = (*s, *e);
            end = end.max(e);
            self.ranges.remove(&s);
            self.len -= e - s;
        }
        self.ranges.insert(start, end);
        self.len += end - start;
    }

    /// Lists the ranges, in order.
    pub fn ranges(&self) -> impl Iterator<Item = Range<u32>> {
        self.ranges.iter().map(|(start, end)| *start..*end)
    }

    /// Lists the ranges of the missing indexes below `end`, in order.
    pub fn gaps(&self, end: u32) -> impl Iterator<Item = Range<u32>> {
        let starts = std::iter::once(0).chain(self.ranges.values().copied());
        let ends = self.ranges.keys().copied().chain(std::iter::once(end));
        let gaps = starts.zip(ends).map(move |(s, e)| s..e.min(end));
        gaps.filter(|gap| !gap.is_empty())
    }
}

impl From<Vec<(u32, u32)>> for IndexSet {
    /// Builds a set of starts and ends of ranges.
    fn from(ranges: Vec<(u32, u32)>) -> Self {
        let mut set = Self::default();
        for (start, end) in ranges {
            set.insert_range(start..end);
        }
        set
    }
}

impl From<IndexSet> for Vec<(u32, u32)> {
    fn from(set: IndexSet) -> Self {
        set.ranges.into_iter().collect()
    }
}
