//! What a shard may run of one team, as its owner knows it.

use {
    crate::core::{Epoch, OrganisationName, ShardId},
    serde::{Deserialize, Serialize},
};

/// A team on a shard: the unit in which running-tokens are lent.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct QuotaKey {
    pub organisation: OrganisationName,
    pub shard: ShardId,
}

/// The state of an allowance as reported to the team's home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaStatus {
    pub key: QuotaKey,
    /// The latest version received from the home.
    pub version: u64,
    /// Upper bound of what may run until a later version arrives.
    pub ceiling: u32,
}

/// Tokens of one team on one owned shard.
#[derive(Clone, Debug, Default)]
pub struct ShardQuota {
    /// Epoch of the home shard that `version` belongs to.
    pub coordinator_epoch: Epoch,
    /// The latest version received; versions restart with each epoch of the home.
    pub version: u64,
    /// Starts are allowed while `used < amount`.
    pub amount: u32,
    /// Tasks placed and not yet released. May exceed `amount` after a takeover or a
    /// recall, never through a start.
    pub used: u32,
}

impl ShardQuota {
    /// Returns the bound that the home must count as lent.
    pub fn ceiling(&self) -> u32 {
        self.amount.max(self.used)
    }

    /// Takes a token if one is free.
    pub fn try_acquire(&mut self) -> bool {
        let free = self.used < self.amount;
        if free {
            self.used += 1;
        }
        free
    }

    /// Adopts the home's amount if its version is later than any seen.
    pub fn apply_grant(&mut self, version: u64, amount: u32) {
        if version > self.version {
            self.version = version;
            self.amount = amount;
        }
    }
}
