//! Amounts of worker resources, and their comparison for placement.
//!
//! Used by core, fleet, the configuration and the admin commands. Pure arithmetic.

use serde::{Deserialize, Serialize};

/// Amounts of each resource: what a task needs or a worker provides.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Execution slots of the worker; a task takes at least one.
    #[serde(default = "one")]
    pub slots: u32,
}

/// Default of `slots`, as a task takes at least one.
fn one() -> u32 {
    1
}

impl Resources {
    /// Returns whether each resource of `need` fits into this amount.
    pub fn covers(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mib >= need.memory_mib
            && self.accelerators >= need.accelerators
            && self.slots >= need.slots
    }

    /// Adds each resource of another amount; the sum must fit a `u32`.
    pub fn add(&mut self, other: &Self) {
        self.cpu_milli = self.cpu_milli.saturating_add(other.cpu_milli);
        self.memory_mib = self.memory_mib.saturating_add(other.memory_mib);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
        self.slots = self.slots.saturating_add(other.slots);
    }

    /// Returns so many times each resource.
    #[must_use]
    pub fn times(&self, factor: u32) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(factor),
            memory_mib: self.memory_mib.saturating_mul(factor),
            accelerators: self.accelerators.saturating_mul(factor),
            slots: self.slots.saturating_mul(factor),
        }
    }

    /// Subtracts each resource of another amount, down to zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            slots: self.slots.saturating_sub(other.slots),
        }
    }

    /// Returns how many times `need` fits into this amount; `u32::MAX` for a need of nothing.
    pub fn times_covered(&self, need: &Self) -> u32 {
        let times = |whole: u32, part: u32| whole.checked_div(part).unwrap_or(u32::MAX);
        times(self.cpu_milli, need.cpu_milli)
            .min(times(self.memory_mib, need.memory_mib))
            .min(times(self.accelerators, need.accelerators))
            .min(times(self.slots, need.slots))
    }

    /// Raises each resource to that of another amount where that is higher.
    pub fn max_assign(&mut self, other: &Self) {
        self.cpu_milli = self.cpu_milli.max(other.cpu_milli);
        self.memory_mib = self.memory_mib.max(other.memory_mib);
        self.accelerators = self.accelerators.max(other.accelerators);
        self.slots = self.slots.max(other.slots);
    }

    /// Returns the min over the resources of this amount's part of `whole`, in thousandths.
    ///
    /// Accelerators do not count, since most tasks need none.
    pub fn min_permille_of(&self, whole: &Self) -> u32 {
        let ratio = |a: u32, b: u32| {
            let thousandths = u64::from(a) * 1_000 / u64::from(b.max(1));
            u32::try_from(thousandths).unwrap_or(u32::MAX)
        };
        ratio(self.cpu_milli, whole.cpu_milli)
            .min(ratio(self.memory_mib, whole.memory_mib))
            .min(ratio(self.slots, whole.slots))
    }

    /// Returns the max over the resources of this amount's fraction of `whole`; a resource that
    /// `whole` has none of counts as 0.
    pub fn dominant_share(&self, whole: &Self) -> f64 {
        let ratio = |a: u32, b: u32| {
            if b == 0 {
                0.0
            } else {
                f64::from(a) / f64::from(b)
            }
        };
        ratio(self.cpu_milli, whole.cpu_milli)
            .max(ratio(self.memory_mib, whole.memory_mib))
            .max(ratio(self.accelerators, whole.accelerators))
            .max(ratio(self.slots, whole.slots))
    }
}
