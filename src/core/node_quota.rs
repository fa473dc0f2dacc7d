//! The owner role: allowances of teams on owned shards.

use crate::core::{
    EffectBuffer, Epoch, Message, Millis, Node, OrganisationName, QuotaKey, QuotaStatus, ShardId,
    ShardQuota,
};

/// Shortest time between two asks for tokens of one team on one shard, in ms.
const TOKEN_ASK_MS: Millis = 100;

/// Most tokens asked for beyond what runs.
const TOKEN_AHEAD: u32 = 16;

impl Node {
    pub(super) fn allowance_mut(
        &mut self,
        id: ShardId,
        team: &OrganisationName,
    ) -> Option<&mut ShardQuota> {
        let home_epoch = self.home_epoch(team);
        let shard = self.shards.get_mut(&id)?;
        Some(
            shard
                .allowances
                .entry(team.clone())
                .or_insert_with(|| ShardQuota {
                    home_epoch,
                    ..ShardQuota::default()
                }),
        )
    }

    pub(super) fn home_epoch(&self, team: &OrganisationName) -> Epoch {
        self.cluster.table.entry(ShardId::of(team.as_str())).epoch
    }

    pub(super) fn give_back_token(
        &mut self,
        shard: ShardId,
        team: &OrganisationName,
        out: &mut EffectBuffer,
    ) {
        let Some(allowance) = self.allowance_mut(shard, team) else {
            return;
        };
        let used = allowance.used;
        allowance.used = used.saturating_sub(1);
        let above = used > allowance.amount;
        out.invariant(used > 0, || format!("token of {team} given back twice"));
        if above {
            self.send_stand(shard, team, out);
        }
    }

    pub(super) fn send_stand(
        &mut self,
        shard: ShardId,
        team: &OrganisationName,
        out: &mut EffectBuffer,
    ) {
        let Some(owned) = self.shards.get(&shard).filter(|s| s.fenced) else {
            return;
        };
        let Some(allowance) = owned.allowances.get(team) else {
            return;
        };
        let key = QuotaKey {
            team: team.clone(),
            shard,
        };
        let stand = QuotaStatus {
            key,
            version: allowance.version,
            ceiling: allowance.ceiling(),
        };
        let home = ShardId::of(team.as_str());
        if let Some(owner) = self.cluster.table.owner(home) {
            let message = Message::QuotaStatus {
                epoch: owned.epoch,
                home_epoch: allowance.home_epoch,
                stand,
            };
            out.send(owner, message);
        }
    }

    /// Restarts version counting for allowances whose home has a new owner.
    pub(super) fn reset_allowances(&mut self) {
        let table = &self.cluster.table;
        for shard in self.shards.values_mut() {
            for (team, allowance) in &mut shard.allowances {
                let epoch = table.entry(ShardId::of(team.as_str())).epoch;
                if allowance.home_epoch != epoch {
                    allowance.home_epoch = epoch;
                    allowance.version = 0;
                }
            }
        }
    }

    pub(super) fn token_allow(
        &mut self,
        team: &OrganisationName,
        (id, epoch): (ShardId, Epoch),
        home_epoch: Epoch,
        (version, amount): (u64, u32),
        out: &mut EffectBuffer,
    ) {
        let current = self.home_epoch(team) == home_epoch;
        let fenced = self
            .shards
            .get(&id)
            .is_some_and(|s| s.epoch == epoch && s.fenced);
        if !current || !fenced {
            return;
        }
        if let Some(allowance) = self.allowance_mut(id, team) {
            allowance.adopt(version, amount);
        }
        self.queue_dirty = true;
        self.send_stand(id, team, out);
    }

    pub(super) fn ask_tokens(
        &mut self,
        id: ShardId,
        team: &OrganisationName,
        waiting: usize,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let key = (team.clone(), id);
        let asked = self.token_asked.get(&key);
        if asked.is_some_and(|at| now < at + TOKEN_ASK_MS) {
            return;
        }
        self.token_asked.insert(key, now);
        let home_epoch = self.home_epoch(team);
        let ahead = u32::try_from(waiting)
            .unwrap_or(TOKEN_AHEAD)
            .clamp(1, TOKEN_AHEAD);
        let Some(shard) = self.shards.get(&id) else {
            return;
        };
        let used = shard.allowances.get(team).map_or(0, |a| a.used);
        let home = ShardId::of(team.as_str());
        if let Some(owner) = self.cluster.table.owner(home) {
            let message = Message::TokenAsk {
                team: team.clone(),
                shard: id,
                epoch: shard.epoch,
                home_epoch,
                wish: used + ahead,
            };
            out.send(owner, message);
        }
    }
}
