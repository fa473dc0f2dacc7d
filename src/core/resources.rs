//! Amounts of worker resources.

use serde::{Deserialize, Serialize};

/// What a task declares or a worker holds.
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

fn one() -> u32 {
    1
}

impl Resources {
    /// Tells whether `need` fits into this amount.
    pub fn covers(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mib >= need.memory_mib
            && self.accelerators >= need.accelerators
            && self.slots >= need.slots
    }

    /// Adds each resource.
    pub fn add(&mut self, o: &Self) {
        self.cpu_milli += o.cpu_milli;
        self.memory_mib += o.memory_mib;
        self.accelerators += o.accelerators;
        self.slots += o.slots;
    }

    /// Subtracts each resource, stopping at zero.
    #[must_use]
    pub fn saturating_sub(&self, o: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(o.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(o.memory_mib),
            accelerators: self.accelerators.saturating_sub(o.accelerators),
            slots: self.slots.saturating_sub(o.slots),
        }
    }

    /// Raises each resource to at least that of another amount.
    pub fn max_assign(&mut self, o: &Self) {
        self.cpu_milli = self.cpu_milli.max(o.cpu_milli);
        self.memory_mib = self.memory_mib.max(o.memory_mib);
        self.accelerators = self.accelerators.max(o.accelerators);
        self.slots = self.slots.max(o.slots);
    }

    /// Returns the smallest part that this amount is of `whole`, in thousandths.
    ///
    /// Accelerators do not count, since most tasks need none.
    pub fn min_permille_of(&self, whole: &Self) -> u32 {
        let part = |a: u32, b: u32| {
            let thousandths = u64::from(a) * 1_000 / u64::from(b.max(1));
            u32::try_from(thousandths).unwrap_or(u32::MAX)
        };
        part(self.cpu_milli, whole.cpu_milli)
            .min(part(self.memory_mib, whole.memory_mib))
            .min(part(self.slots, whole.slots))
    }

    /// Returns the largest fraction that this amount takes of any resource of `whole`.
    pub fn dominant_share(&self, whole: &Self) -> f64 {
        let part = |a: u32, b: u32| {
            if b == 0 {
                0.0
            } else {
                f64::from(a) / f64::from(b)
            }
        };
        part(self.cpu_milli, whole.cpu_milli)
            .max(part(self.memory_mib, whole.memory_mib))
            .max(part(self.accelerators, whole.accelerators))
            .max(part(self.slots, whole.slots))
    }
}
