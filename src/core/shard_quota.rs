//! The quota of one organisation on one shard: how many of its tasks may run at once.
//!
//! The shard owner keeps it: placement acquires from it, and grants of the quota coordinator
//! set the amount. Nothing else may raise `amount`.

use {
    crate::core::{Epoch, OrganisationName, ShardId},
    serde::{Deserialize, Serialize},
};

/// An organisation on a shard: the unit to which quota is granted.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct QuotaKey {
    pub organisation: OrganisationName,
    pub shard: ShardId,
}

/// The status of a quota as reported to the organisation's quota coordinator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaStatus {
    pub key: QuotaKey,
    /// The latest grant version received from the coordinator.
    pub version: u64,
    /// Max tasks that may run until a later version arrives.
    pub ceiling: u32,
}

/// The quota of one organisation on one owned shard.
#[derive(Clone, Debug, Default)]
pub struct ShardQuota {
    /// Epoch of the coordinator's shard that `version` belongs to.
    pub coordinator_epoch: Epoch,
    /// The latest grant version received; versions restart with each epoch of the coordinator.
    pub version: u64,
    /// Starts are allowed while `used < amount`.
    pub amount: u32,
    /// Tasks placed and not yet released. May exceed `amount` after a takeover or when the
    /// coordinator lowers it, never through a start.
    pub used: u32,
}

impl ShardQuota {
    /// Returns the number of tasks that the coordinator must count as granted.
    pub fn ceiling(&self) -> u32 {
        self.amount.max(self.used)
    }

    /// Acquires quota for one task; returns false if none is free.
    pub fn try_acquire(&mut self) -> bool {
        let is_free = self.used < self.amount;
        if is_free {
            self.used += 1;
        }
        is_free
    }

    /// Sets the amount of a grant if its version is later than any applied; otherwise no effect.
    pub fn apply_grant(&mut self, version: u64, amount: u32) {
        if version > self.version {
            self.version = version;
            self.amount = amount;
        }
    }
}
