//! The home of a team's limit: lends running-tokens to shards.
//!
//! The home counts for each shard the most that it may still run: the ceiling it last
//! reported, or any amount sent since that is not yet acknowledged. Nothing is lent
//! while the sum reaches the limit, or while a shard has not reported to this home.

use {
    crate::core::{Epoch, Millis, OrganisationName, QuotaKey, QuotaStatus, ShardId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// How long an unsatisfied wish is remembered, in ms.
const DEMAND_TTL_MS: Millis = 1_000;

/// Time between two recalls from the same shard, and between repeats of a message, in ms.
const RESEND_MS: Millis = 200;

/// Tokens of one team lent to one shard.
#[derive(Clone, Debug, Default)]
struct Grant {
    shard_epoch: Epoch,
    acked_version: u64,
    /// Ceiling reported for `acked_version`.
    acked: u32,
    /// Amounts sent after `acked_version`, by version.
    pending: BTreeMap<u64, u32>,
    demand: u32,
    demanded_at: Millis,
    sent_at: Millis,
}

impl Grant {
    /// Returns the most that the shard may run.
    fn granted(&self) -> u32 {
        self.pending.values().copied().fold(self.acked, u32::max)
    }

    fn wants(&self, now: Millis) -> bool {
        self.demand > self.granted() && now < self.demanded_at + DEMAND_TTL_MS
    }

    fn demand_at(&self, now: Millis) -> u32 {
        if now < self.demanded_at + DEMAND_TTL_MS {
            self.demand
        } else {
            0
        }
    }
}

/// Lends of one team.
#[derive(Clone, Debug, Default)]
struct OrganisationGrants {
    last_version: u64,
    shards: BTreeMap<ShardId, Grant>,
}

/// An amount to send to the owner of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaGrant {
    pub organisation: OrganisationName,
    pub shard: ShardId,
    pub shard_epoch: Epoch,
    pub version: u64,
    pub amount: u32,
}

/// Tokens that a home may have lent to one shard, as passed to the next home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverGrant {
    pub key: QuotaKey,
    pub granted: u32,
}

/// What a home knew when its shard was handed over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaHandover {
    /// Epoch of the home that passes the state.
    pub epoch: Epoch,
    /// Shards that have reported, and at which epoch.
    pub reported: Vec<(ShardId, Epoch)>,
    pub grants: Vec<HandoverGrant>,
}

/// Lends of all teams whose home is one shard.
#[derive(Clone, Debug)]
pub struct QuotaCoordinator {
    /// Epoch of the home shard; a new owner starts a new `QuotaCoordinator`.
    pub epoch: Epoch,
    /// Shards that have reported to this home, with the epoch they reported at.
    reported: BTreeMap<ShardId, Epoch>,
    organisations: BTreeMap<OrganisationName, OrganisationGrants>,
}

impl QuotaCoordinator {
    /// Creates a home that knows nothing and therefore lends nothing.
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

    /// Returns the most that a team may run over the whole fleet.
    pub fn granted(&self, organisation: &OrganisationName) -> u32 {
        self.organisations
            .get(organisation)
            .map_or(0, |t| t.shards.values().map(Grant::granted).sum())
    }

    /// Returns the state to pass to the next home, if it is complete.
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

    /// Takes over from the home of the epoch before, which lends no more.
    ///
    /// What it may have lent bounds every shard that has not reported here yet.
    pub fn restore(&mut self, state: &QuotaHandover) {
        if state.epoch.0 + 1 != self.epoch.0 || self.missing_reports() == 0 {
            return;
        }
        for (shard, epoch) in &state.reported {
            if self.reported.contains_key(shard) {
                continue;
            }
            self.reported.insert(*shard, *epoch);
            for passed in state.grants.iter().filter(|l| l.key.shard == *shard) {
                let grant = self.grant_mut(&passed.key.organisation, *shard, *epoch);
                grant.acked = passed.granted;
            }
        }
    }

    /// Takes the full report of a fenced shard; stands of this home's teams only.
    pub fn apply_report(&mut self, shard: ShardId, epoch: Epoch, statuses: &[QuotaStatus]) {
        let known = self.reported.get(&shard).copied();
        if known.is_some_and(|k| k > epoch) {
            return;
        }
        if known != Some(epoch) {
            self.reported.insert(shard, epoch);
            for grants in self.organisations.values_mut() {
                grants.shards.remove(&shard);
            }
        }
        for status in statuses.iter().filter(|s| s.key.shard == shard) {
            self.apply_status(epoch, status);
        }
    }

    /// Takes one allowance's state.
    pub fn apply_status(&mut self, epoch: Epoch, status: &QuotaStatus) {
        if self.reported.get(&status.key.shard) != Some(&epoch) {
            return;
        }
        let grant = self.grant_mut(&status.key.organisation, status.key.shard, epoch);
        if status.version > grant.acked_version || (grant.acked_version == 0 && grant.acked == 0) {
            grant.acked_version = status.version;
            grant.acked = status.ceiling;
        } else if status.version == grant.acked_version {
            grant.acked = grant.acked.min(status.ceiling);
        }
        let acked = grant.acked_version;
        grant.pending.retain(|v, _| *v > acked);
    }

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

    /// Notes that a shard wishes to run `demand` tasks of a team, and lends what it can.
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

    /// Lends free tokens to shards that wish for more, and recalls from the others.
    pub fn distribute(
        &mut self,
        organisation: &OrganisationName,
        limit: u32,
        now: Millis,
    ) -> Vec<QuotaGrant> {
        let mut out = Vec::new();
        let complete = self.missing_reports() == 0;
        let granted = self.granted(organisation);
        let Some(grants) = self.organisations.get_mut(organisation) else {
            return out;
        };
        let wanting = grants.shards.values().filter(|l| l.wants(now)).count();
        let mut free = if complete {
            limit.saturating_sub(granted)
        } else {
            0
        };
        let part = free.div_ceil(u32::try_from(wanting).unwrap_or(1).max(1));
        let mut unmet = 0;
        for (shard, grant) in &mut grants.shards {
            if !grant.wants(now) {
                continue;
            }
            let more = (grant.demand - grant.granted()).min(free).min(part);
            if more == 0 {
                unmet += grant.demand - grant.granted();
                continue;
            }
            free -= more;
            let amount = grant.granted() + more;
            grants.last_version += 1;
            out.push(send(
                organisation,
                *shard,
                grant,
                grants.last_version,
                amount,
                now,
            ));
        }
        let over = granted.saturating_sub(limit);
        if unmet > 0 || over > 0 {
            recall(organisation, grants, limit, now, &mut out);
        }
        out
    }

    /// Repeats amounts that no owner has acknowledged.
    pub fn resend_unacked(&mut self, now: Millis) -> Vec<QuotaGrant> {
        let mut out = Vec::new();
        for (organisation, grants) in &mut self.organisations {
            for (shard, grant) in &mut grants.shards {
                let Some((version, amount)) = grant.pending.last_key_value() else {
                    continue;
                };
                if now < grant.sent_at + RESEND_MS {
                    continue;
                }
                let (version, amount) = (*version, *amount);
                out.push(send(organisation, *shard, grant, version, amount, now));
            }
        }
        out
    }

    /// Lists the teams that this home has lends of.
    pub fn organisations(&self) -> Vec<OrganisationName> {
        self.organisations.keys().cloned().collect()
    }
}

/// Lowers the amounts of shards that hold more than they use or more than their part.
fn recall(
    organisation: &OrganisationName,
    grants: &mut OrganisationGrants,
    limit: u32,
    now: Millis,
    out: &mut Vec<QuotaGrant>,
) {
    let demanding = grants
        .shards
        .values()
        .filter(|l| l.demand_at(now) > 0)
        .count();
    let part = limit / u32::try_from(demanding).unwrap_or(1).max(1);
    for (shard, grant) in &mut grants.shards {
        let keep = grant.demand_at(now).min(part);
        if grant.granted() <= keep || now < grant.sent_at + RESEND_MS {
            continue;
        }
        grants.last_version += 1;
        out.push(send(
            organisation,
            *shard,
            grant,
            grants.last_version,
            keep,
            now,
        ));
    }
}

fn send(
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
