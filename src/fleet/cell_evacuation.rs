//! Evacuation of availability zones: their executors get no new tasks, and what runs there ends by
//! itself.
//!
//! Answers the planned loss of a zone under load: the capacity that is left is all that placement,
//! reservations and calls for advice consider, from the round after the request on.

use {
    crate::{
        core::Millis,
        fleet::{Cell, Evacuations, ExecutorInfo, FleetEvent, Now},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// How far the evacuation of one zone is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationSummary {
    /// Time since this owner learned of the request, in ms.
    pub known_for_ms: Millis,
    /// Executors of the zone.
    pub executors: usize,
    /// Runs that are or may be active there.
    pub runs: usize,
}

impl Cell {
    /// Takes in the zones to evacuate, unless a newer set is known.
    pub(super) fn on_evacuations(&mut self, evacuations: &Arc<Evacuations>, now: Now) {
        if evacuations.revision < self.evacuations.revision {
            return;
        }
        let earlier = std::mem::replace(&mut self.evacuations, evacuations.clone());
        for zone in evacuations.zones.difference(&earlier.zones) {
            self.evacuated_since.insert(zone.clone(), now.mono);
            let summary = self.evacuation_summary(zone, now);
            let detail = format!(
                "zone={zone} executors={} runs={}",
                summary.executors, summary.runs
            );
            self.log(FleetEvent::EvacuationStarted, detail);
        }
        for zone in earlier.zones.difference(&evacuations.zones) {
            let summary = self.evacuation_summary(zone, now);
            self.evacuated_since.remove(zone);
            let detail = format!(
                "zone={zone} after_ms={} runs={}",
                summary.known_for_ms, summary.runs
            );
            self.log(FleetEvent::EvacuationEnded, detail);
        }
    }

    /// Returns whether the zone of an executor is being evacuated.
    pub(super) fn is_evacuated(&self, executor: &ExecutorInfo) -> bool {
        self.evacuations.includes(&executor.zone)
    }

    /// Counts what is left in a zone.
    pub(super) fn evacuation_summary(&self, zone: &str, now: Now) -> EvacuationSummary {
        let in_zone = self.executors.values().filter(|e| *e.info.zone == *zone);
        let since = self.evacuated_since.get(zone).copied();
        let mut summary = EvacuationSummary {
            known_for_ms: since.map_or(0, |at| now.mono.saturating_sub(at)),
            ..EvacuationSummary::default()
        };
        for executor in in_zone {
            summary.executors += 1;
            summary.runs += executor.runs.len() + executor.unknown_runs.len();
        }
        summary
    }
}
