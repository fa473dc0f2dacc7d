//! The availability zones that operators have requested to evacuate.
//!
//! Every node keeps the set that it read from the store; the cell keeps the newest one that it was
//! given. Nothing here reads the store.

use std::{collections::BTreeSet, sync::Arc};

/// Zones whose executors get no new tasks, as of one revision of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    /// Revision of the store at which the zones were read; a set of a lower one is out of date.
    pub revision: u64,
    pub zones: BTreeSet<Arc<str>>,
}

impl Evacuations {
    /// Returns whether a zone is being evacuated.
    pub fn includes(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }
}
