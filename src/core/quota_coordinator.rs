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
const WISH_KEEP_MS: Millis = 1_000;

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
    wish: u32,
    wished_at: Millis,
    sent_at: Millis,
}

impl Grant {
    /// Returns the most that the shard may run.
    fn lent(&self) -> u32 {
        self.pending.values().copied().fold(self.acked, u32::max)
    }

    fn wants(&self, now: Millis) -> bool {
        self.wish > self.lent() && now < self.wished_at + WISH_KEEP_MS
    }

    fn wish_at(&self, now: Millis) -> u32 {
        if now < self.wished_at + WISH_KEEP_MS {
            self.wish
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
    pub team: OrganisationName,
    pub shard: ShardId,
    pub shard_epoch: Epoch,
    pub version: u64,
    pub amount: u32,
}

/// Tokens that a home may have lent to one shard, as passed to the next home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverGrant {
    pub key: QuotaKey,
    pub lent: u32,
}

/// What a home knew when its shard was handed over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaHandover {
    /// Epoch of the home that passes the state.
    pub epoch: Epoch,
    /// Shards that have reported, and at which epoch.
    pub reported: Vec<(ShardId, Epoch)>,
    pub lends: Vec<HandoverGrant>,
}

/// Lends of all teams whose home is one shard.
#[derive(Clone, Debug)]
pub struct QuotaCoordinator {
    /// Epoch of the home shard; a new owner starts a new `QuotaCoordinator`.
    pub epoch: Epoch,
    /// Shards that have reported to this home, with the epoch they reported at.
    reported: BTreeMap<ShardId, Epoch>,
    teams: BTreeMap<OrganisationName, OrganisationGrants>,
}

impl QuotaCoordinator {
    /// Creates a home that knows nothing and therefore lends nothing.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            reported: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }

    /// Returns the epoch at which a shard last reported.
    pub fn reported(&self, shard: ShardId) -> Option<Epoch> {
        self.reported.get(&shard).copied()
    }

    /// Returns how many shards have not reported yet.
    pub fn missing(&self) -> usize {
        ShardId::all().count() - self.reported.len()
    }

    /// Returns the most that a team may run over the whole fleet.
    pub fn lent(&self, team: &OrganisationName) -> u32 {
        self.teams
            .get(team)
            .map_or(0, |t| t.shards.values().map(Grant::lent).sum())
    }

    /// Returns the state to pass to the next home, if it is complete.
    pub fn hand_over(&self) -> Option<QuotaHandover> {
        let lends = self.teams.iter().flat_map(|(team, lends)| {
            lends.shards.iter().map(|(shard, lend)| HandoverGrant {
                key: QuotaKey {
                    team: team.clone(),
                    shard: *shard,
                },
                lent: lend.lent(),
            })
        });
        (self.missing() == 0).then(|| QuotaHandover {
            epoch: self.epoch,
            reported: self.reported.iter().map(|(s, e)| (*s, *e)).collect(),
            lends: lends.collect(),
        })
    }

    /// Takes over from the home of the epoch before, which lends no more.
    ///
    /// What it may have lent bounds every shard that has not reported here yet.
    pub fn take_over(&mut self, state: &QuotaHandover) {
        if state.epoch.0 + 1 != self.epoch.0 || self.missing() == 0 {
            return;
        }
        for (shard, epoch) in &state.reported {
            if self.reported.contains_key(shard) {
                continue;
            }
            self.reported.insert(*shard, *epoch);
            for passed in state.lends.iter().filter(|l| l.key.shard == *shard) {
                let lend = self.lend_mut(&passed.key.team, *shard, *epoch);
                lend.acked = passed.lent;
            }
        }
    }

    /// Takes the full report of a fenced shard; stands of this home's teams only.
    pub fn report(&mut self, shard: ShardId, epoch: Epoch, stands: &[QuotaStatus]) {
        let known = self.reported.get(&shard).copied();
        if known.is_some_and(|k| k > epoch) {
            return;
        }
        if known != Some(epoch) {
            self.reported.insert(shard, epoch);
            for lends in self.teams.values_mut() {
                lends.shards.remove(&shard);
            }
        }
        for stand in stands.iter().filter(|s| s.key.shard == shard) {
            self.stand(epoch, stand);
        }
    }

    /// Takes one allowance's state.
    pub fn stand(&mut self, epoch: Epoch, stand: &QuotaStatus) {
        if self.reported.get(&stand.key.shard) != Some(&epoch) {
            return;
        }
        let lend = self.lend_mut(&stand.key.team, stand.key.shard, epoch);
        if stand.version > lend.acked_version || (lend.acked_version == 0 && lend.acked == 0) {
            lend.acked_version = stand.version;
            lend.acked = stand.ceiling;
        } else if stand.version == lend.acked_version {
            lend.acked = lend.acked.min(stand.ceiling);
        }
        let acked = lend.acked_version;
        lend.pending.retain(|v, _| *v > acked);
    }

    fn lend_mut(&mut self, team: &OrganisationName, shard: ShardId, epoch: Epoch) -> &mut Grant {
        let lends = self.teams.entry(team.clone()).or_default();
        lends.shards.entry(shard).or_insert_with(|| Grant {
            shard_epoch: epoch,
            ..Grant::default()
        })
    }

    /// Notes that a shard wishes to run `wish` tasks of a team, and lends what it can.
    pub fn ask(
        &mut self,
        team: &OrganisationName,
        shard: ShardId,
        epoch: Epoch,
        wish: u32,
        limit: u32,
        now: Millis,
    ) -> Vec<QuotaGrant> {
        if self.reported.get(&shard) != Some(&epoch) {
            return Vec::new();
        }
        let lend = self.lend_mut(team, shard, epoch);
        lend.wish = wish;
        lend.wished_at = now;
        self.distribute(team, limit, now)
    }

    /// Lends free tokens to shards that wish for more, and recalls from the others.
    pub fn distribute(
        &mut self,
        team: &OrganisationName,
        limit: u32,
        now: Millis,
    ) -> Vec<QuotaGrant> {
        let mut out = Vec::new();
        let complete = self.missing() == 0;
        let lent = self.lent(team);
        let Some(lends) = self.teams.get_mut(team) else {
            return out;
        };
        let wanting = lends.shards.values().filter(|l| l.wants(now)).count();
        let mut free = if complete {
            limit.saturating_sub(lent)
        } else {
            0
        };
        let part = free.div_ceil(u32::try_from(wanting).unwrap_or(1).max(1));
        let mut unmet = 0;
        for (shard, lend) in &mut lends.shards {
            if !lend.wants(now) {
                continue;
            }
            let more = (lend.wish - lend.lent()).min(free).min(part);
            if more == 0 {
                unmet += lend.wish - lend.lent();
                continue;
            }
            free -= more;
            let amount = lend.lent() + more;
            lends.last_version += 1;
            out.push(send(team, *shard, lend, lends.last_version, amount, now));
        }
        let over = lent.saturating_sub(limit);
        if unmet > 0 || over > 0 {
            recall(team, lends, limit, now, &mut out);
        }
        out
    }

    /// Repeats amounts that no owner has acknowledged.
    pub fn resend(&mut self, now: Millis) -> Vec<QuotaGrant> {
        let mut out = Vec::new();
        for (team, lends) in &mut self.teams {
            for (shard, lend) in &mut lends.shards {
                let Some((version, amount)) = lend.pending.last_key_value() else {
                    continue;
                };
                if now < lend.sent_at + RESEND_MS {
                    continue;
                }
                let (version, amount) = (*version, *amount);
                out.push(send(team, *shard, lend, version, amount, now));
            }
        }
        out
    }

    /// Lists the teams that this home has lends of.
    pub fn teams(&self) -> Vec<OrganisationName> {
        self.teams.keys().cloned().collect()
    }
}

/// Lowers the amounts of shards that hold more than they use or more than their part.
fn recall(
    team: &OrganisationName,
    lends: &mut OrganisationGrants,
    limit: u32,
    now: Millis,
    out: &mut Vec<QuotaGrant>,
) {
    let wishing = lends.shards.values().filter(|l| l.wish_at(now) > 0).count();
    let part = limit / u32::try_from(wishing).unwrap_or(1).max(1);
    for (shard, lend) in &mut lends.shards {
        let keep = lend.wish_at(now).min(part);
        if lend.lent() <= keep || now < lend.sent_at + RESEND_MS {
            continue;
        }
        lends.last_version += 1;
        out.push(send(team, *shard, lend, lends.last_version, keep, now));
    }
}

fn send(
    team: &OrganisationName,
    shard: ShardId,
    lend: &mut Grant,
    version: u64,
    amount: u32,
    now: Millis,
) -> QuotaGrant {
    lend.pending.insert(version, amount);
    lend.sent_at = now;
    QuotaGrant {
        team: team.clone(),
        shard,
        shard_epoch: lend.shard_epoch,
        version,
        amount,
    }
}
