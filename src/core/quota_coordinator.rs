//! The quota coordinator of the organisations that hash to one shard: grants quota to shards.
//!
//! For each shard it counts the max tasks that may still run there: the ceiling last reported or
//! any higher amount sent since that is not acknowledged yet. It must grant nothing while the sum
//! reaches the organisation's limit, or while any shard has not reported to it. `Node` calls it
//! for reports, statuses and requests, and sends the grants that it returns.

use {
    crate::core::{Epoch, Millis, OrganisationName, QuotaKey, QuotaStatus, ShardId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// TTL of a shard's demand without a further request, in ms.
const DEMAND_TTL_MS: Millis = 1_000;

/// Min interval between two reductions for the same shard, and between repeats of a grant, in ms.
const RESEND_INTERVAL_MS: Millis = 200;

/// The quota of one organisation that is granted to one shard.
#[derive(Clone, Debug, Default)]
struct Grant {
    shard_epoch: Epoch,
    /// Version of the last grant that the shard owner has acknowledged.
    acked_version: u64,
    /// Ceiling reported for `acked_version`.
    acked_ceiling: u32,
    /// Amounts sent after `acked_version`, by version.
    pending: BTreeMap<u64, u32>,
    /// Tasks that the shard could run, by its last request at `demanded_at`.
    demand: u32,
    demanded_at: Millis,
    /// When the last amount was sent.
    sent_at: Millis,
}

impl Grant {
    /// Returns the max tasks that the shard may run.
    fn granted(&self) -> u32 {
        self.pending
            .values()
            .copied()
            .fold(self.acked_ceiling, u32::max)
    }

    /// Returns whether the shard demands more than it is granted.
    fn has_unmet_demand(&self, now: Millis) -> bool {
        self.demand > self.granted() && now < self.demanded_at + DEMAND_TTL_MS
    }

    /// Returns the demand, which is 0 after its TTL.
    fn demand_at(&self, now: Millis) -> u32 {
        if now < self.demanded_at + DEMAND_TTL_MS {
            self.demand
        } else {
            0
        }
    }
}

/// Grants of one organisation.
#[derive(Clone, Debug, Default)]
struct OrganisationGrants {
    /// Version of the last new grant; shared by all shards of the organisation.
    last_version: u64,
    shards: BTreeMap<ShardId, Grant>,
}

/// An amount to send to the owner of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaGrant {
    pub organisation: OrganisationName,
    pub shard: ShardId,
    /// Epoch at which the shard has reported; its owner ignores a grant for another epoch.
    pub shard_epoch: Epoch,
    pub version: u64,
    /// Max tasks that may run at once; replaces the previous amount.
    pub amount: u32,
}

/// Quota that a coordinator may have granted to one shard, as handed over to the next one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverGrant {
    pub key: QuotaKey,
    pub granted: u32,
}

/// State of a coordinator when its shard was handed over to another node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaHandover {
    /// Epoch of the coordinator that hands the state over.
    pub epoch: Epoch,
    /// Shards that have reported, and at which epoch.
    pub reported: Vec<(ShardId, Epoch)>,
    pub grants: Vec<HandoverGrant>,
}

/// Grants of all organisations whose quota coordinator is the owner of one shard.
#[derive(Clone, Debug)]
pub struct QuotaCoordinator {
    /// Epoch of the coordinator's shard; a new owner starts a new `QuotaCoordinator`.
    pub epoch: Epoch,
    /// Shards that have reported to this coordinator, with the epoch they reported at.
    reported: BTreeMap<ShardId, Epoch>,
    organisations: BTreeMap<OrganisationName, OrganisationGrants>,
}

impl QuotaCoordinator {
    /// Creates a coordinator without reports, which therefore grants nothing.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            reported: BTreeMap::new(),
            organisations: BTreeMap::new(),
        }
    }

    /// Returns the epoch at which a shard last reported.
    pub fn reported_epoch(&self, shard: ShardId) -> Option<Epoch> {
        self.reported.get(&shard).copied()
    }

    /// Returns how many shards have not reported yet.
    pub fn missing_reports(&self) -> usize {
        ShardId::all().count() - self.reported.len()
    }

    /// Returns the max tasks that an organisation may run over the whole cluster.
    pub fn granted(&self, organisation: &OrganisationName) -> u32 {
        self.organisations
            .get(organisation)
            .map_or(0, |o| o.shards.values().map(Grant::granted).sum())
    }

    /// Returns the state to hand over to the next coordinator; `None` until all shards reported.
    pub fn handover_state(&self) -> Option<QuotaHandover> {
        let grants = self
            .organisations
            .iter()
            .flat_map(|(organisation, grants)| {
                grants.shards.iter().map(|(shard, grant)| HandoverGrant {
                    key: QuotaKey {
                        organisation: organisation.clone(),
                        shard: *shard,
                    },
                    granted: grant.granted(),
                })
            });
        (self.missing_reports() == 0).then(|| QuotaHandover {
            epoch: self.epoch,
            reported: self.reported.iter().map(|(s, e)| (*s, *e)).collect(),
            grants: grants.collect(),
        })
    }

    /// Restores the state of the coordinator of the previous epoch, which grants no more.
    ///
    /// What it may have granted is the bound for every shard that has not reported here yet. No
    /// effect for the state of any other epoch, or once all shards have reported.
    pub fn restore(&mut self, state: &QuotaHandover) {
        if state.epoch.0 + 1 != self.epoch.0 || self.missing_reports() == 0 {
            return;
        }
        for (shard, epoch) in &state.reported {
            if self.reported.contains_key(shard) {
                continue;
            }
            self.reported.insert(*shard, *epoch);
            for handed_over in state.grants.iter().filter(|g| g.key.shard == *shard) {
                let grant = self.grant_mut(&handed_over.key.organisation, *shard, *epoch);
                grant.acked_ceiling = handed_over.granted;
            }
        }
    }

    /// Applies the full report of a fenced shard, with the statuses of this coordinator's
    /// organisations only; ignored if the shard has reported at a later epoch.
    pub fn apply_report(&mut self, shard: ShardId, epoch: Epoch, statuses: &[QuotaStatus]) {
        let previous = self.reported.get(&shard).copied();
        if previous.is_some_and(|p| p > epoch) {
            return;
        }
        if previous != Some(epoch) {
            self.reported.insert(shard, epoch);
            for grants in self.organisations.values_mut() {
                grants.shards.remove(&shard);
            }
        }
        for status in statuses.iter().filter(|s| s.key.shard == shard) {
            self.apply_status(epoch, status);
        }
    }

    /// Applies one quota's status, the acknowledgement of a grant; ignored unless the shard's last
    /// report was at `epoch`.
    pub fn apply_status(&mut self, epoch: Epoch, status: &QuotaStatus) {
        if self.reported.get(&status.key.shard) != Some(&epoch) {
            return;
        }
        let grant = self.grant_mut(&status.key.organisation, status.key.shard, epoch);
        if status.version > grant.acked_version
            || (grant.acked_version == 0 && grant.acked_ceiling == 0)
        {
            grant.acked_version = status.version;
            grant.acked_ceiling = status.ceiling;
        } else if status.version == grant.acked_version {
            grant.acked_ceiling = grant.acked_ceiling.min(status.ceiling);
        }
        let acked_version = grant.acked_version;
        grant.pending.retain(|v, _| *v > acked_version);
    }

    /// Returns the grant of an organisation to a shard, a new one at `epoch` if there is none.
    fn grant_mut(
        &mut self,
        organisation: &OrganisationName,
        shard: ShardId,
        epoch: Epoch,
    ) -> &mut Grant {
        let grants = self.organisations.entry(organisation.clone()).or_default();
        grants.shards.entry(shard).or_insert_with(|| Grant {
            shard_epoch: epoch,
            ..Grant::default()
        })
    }

    /// Records that a shard could run `demand` tasks of an organisation, and returns the grants to
    /// send; none unless the shard's last report was at `epoch`.
    pub fn request(
        &mut self,
        organisation: &OrganisationName,
        shard: ShardId,
        epoch: Epoch,
        demand: u32,
        limit: u32,
        now: Millis,
    ) -> Vec<QuotaGrant> {
        if self.reported.get(&shard) != Some(&epoch) {
            return Vec::new();
        }
        let grant = self.grant_mut(organisation, shard, epoch);
        grant.demand = demand;
        grant.demanded_at = now;
        self.distribute(organisation, limit, now)
    }

    /// Distributes free quota in equal parts to the shards that demand more.
    ///
    /// If demand stays unmet or the grants exceed `limit`, reclaims quota from the shards. Returns
    /// the grants to send.
    pub fn distribute(
        &mut self,
        organisation: &OrganisationName,
        limit: u32,
        now: Millis,
    ) -> Vec<QuotaGrant> {
        let mut out = Vec::new();
        let all_reported = self.missing_reports() == 0;
        let granted = self.granted(organisation);
        let Some(grants) = self.organisations.get_mut(organisation) else {
            return out;
        };
        let unsatisfied = grants
            .shards
            .values()
            .filter(|g| g.has_unmet_demand(now))
            .count();
        let mut free = if all_reported {
            limit.saturating_sub(granted)
        } else {
            0
        };
        let fair_share = free.div_ceil(u32::try_from(unsatisfied).unwrap_or(1).max(1));
        let mut unmet = 0;
        for (shard, grant) in &mut grants.shards {
            if !grant.has_unmet_demand(now) {
                continue;
            }
            let extra = (grant.demand - grant.granted()).min(free).min(fair_share);
            if extra == 0 {
                unmet += grant.demand - grant.granted();
                continue;
            }
            free -= extra;
            let amount = grant.granted() + extra;
            grants.last_version += 1;
            out.push(record_sent(
                organisation,
                *shard,
                grant,
                grants.last_version,
                amount,
                now,
            ));
        }
        let excess = granted.saturating_sub(limit);
        if unmet > 0 || excess > 0 {
            reclaim(organisation, grants, limit, now, &mut out);
        }
        out
    }

    /// Returns the grants to send again, as their owner has not acknowledged them.
    pub fn resend_unacked(&mut self, now: Millis) -> Vec<QuotaGrant> {
        let mut out = Vec::new();
        for (organisation, grants) in &mut self.organisations {
            for (shard, grant) in &mut grants.shards {
                let Some((version, amount)) = grant.pending.last_key_value() else {
                    continue;
                };
                if now < grant.sent_at + RESEND_INTERVAL_MS {
                    continue;
                }
                let (version, amount) = (*version, *amount);
                out.push(record_sent(
                    organisation,
                    *shard,
                    grant,
                    version,
                    amount,
                    now,
                ));
            }
        }
        out
    }

    /// Returns the organisations that have a grant here, even one of 0.
    pub fn organisations(&self) -> Vec<OrganisationName> {
        self.organisations.keys().cloned().collect()
    }
}

/// Lowers the amounts of shards granted more than their demand or their equal part of the limit.
fn reclaim(
    organisation: &OrganisationName,
    grants: &mut OrganisationGrants,
    limit: u32,
    now: Millis,
    out: &mut Vec<QuotaGrant>,
) {
    let demanding = grants
        .shards
        .values()
        .filter(|g| g.demand_at(now) > 0)
        .count();
    let fair_share = limit / u32::try_from(demanding).unwrap_or(1).max(1);
    for (shard, grant) in &mut grants.shards {
        let target = grant.demand_at(now).min(fair_share);
        if grant.granted() <= target || now < grant.sent_at + RESEND_INTERVAL_MS {
            continue;
        }
        grants.last_version += 1;
        out.push(record_sent(
            organisation,
            *shard,
            grant,
            grants.last_version,
            target,
            now,
        ));
    }
}

/// Records an amount as sent and not acknowledged, and returns the grant to send.
fn record_sent(
    organisation: &OrganisationName,
    shard: ShardId,
    grant: &mut Grant,
    version: u64,
    amount: u32,
    now: Millis,
) -> QuotaGrant {
    grant.pending.insert(version, amount);
    grant.sent_at = now;
    QuotaGrant {
        organisation: organisation.clone(),
        shard,
        shard_epoch: grant.shard_epoch,
        version,
        amount,
    }
}
