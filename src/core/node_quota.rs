//! The shard owner's quotas: how many tasks of each organisation its shards may run at once.
//!
//! Called by placement and by the handlers of the quota coordinator's messages. Must not raise an
//! amount except by a grant of the coordinator's current epoch.

use crate::core::{
    EffectBuffer, Epoch, Message, Millis, Node, OrganisationName, QuotaKey, QuotaStatus, ShardId,
    ShardQuota,
};

/// Min interval between two quota requests for one organisation on one shard, in ms.
const QUOTA_REQUEST_INTERVAL_MS: Millis = 100;

/// Max tasks that a quota request demands beyond those already running.
const MAX_QUOTA_AHEAD: u32 = 16;

impl Node {
    /// Returns an organisation's quota on an owned shard, created with amount 0 if there is none;
    /// `None` if this node does not own the shard.
    pub(super) fn shard_quota_mut(
        &mut self,
        id: ShardId,
        organisation: &OrganisationName,
    ) -> Option<&mut ShardQuota> {
        let coordinator_epoch = self.coordinator_epoch(organisation);
        let shard = self.shards.get_mut(&id)?;
        Some(
            shard
                .quotas
                .entry(organisation.clone())
                .or_insert_with(|| ShardQuota {
                    coordinator_epoch,
                    ..ShardQuota::default()
                }),
        )
    }

    /// Returns the epoch of the shard of an organisation's quota coordinator, by the shard table.
    pub(super) fn coordinator_epoch(&self, organisation: &OrganisationName) -> Epoch {
        self.cluster
            .table
            .entry(ShardId::of(organisation.as_str()))
            .epoch
    }

    /// Releases the quota of an ended task. Sends a status if the shard was over its amount, as the
    /// coordinator may then grant the difference to others.
    pub(super) fn release_quota(
        &mut self,
        shard: ShardId,
        organisation: &OrganisationName,
        out: &mut EffectBuffer,
    ) {
        let Some(quota) = self.shard_quota_mut(shard, organisation) else {
            return;
        };
        let used = quota.used;
        quota.used = used.saturating_sub(1);
        let over_amount = used > quota.amount;
        out.check_invariant(used > 0, || {
            format!("quota of {organisation} on shard {shard} released more often than acquired")
        });
        if over_amount {
            self.send_quota_status(shard, organisation, out);
        }
    }

    /// Sends the coordinator the status of a quota, which acknowledges its last grant.
    ///
    /// Nothing is sent for a shard whose fencing is not done.
    pub(super) fn send_quota_status(
        &mut self,
        shard: ShardId,
        organisation: &OrganisationName,
        out: &mut EffectBuffer,
    ) {
        let Some(owned) = self.shards.get(&shard).filter(|s| s.fencing_done) else {
            return;
        };
        let Some(quota) = owned.quotas.get(organisation) else {
            return;
        };
        let key = QuotaKey {
            organisation: organisation.clone(),
            shard,
        };
        let status = QuotaStatus {
            key,
            version: quota.version,
            ceiling: quota.ceiling(),
        };
        let coordinator = ShardId::of(organisation.as_str());
        if let Some(owner) = self.cluster.table.owner(coordinator) {
            let message = Message::QuotaStatus {
                epoch: owned.epoch,
                coordinator_epoch: quota.coordinator_epoch,
                status,
            };
            out.send(owner, message);
        }
    }

    /// Resets the grant version of each quota whose coordinator has a new epoch.
    ///
    /// A coordinator starts its versions anew with each epoch.
    pub(super) fn reset_quota_versions(&mut self) {
        let table = &self.cluster.table;
        for shard in self.shards.values_mut() {
            for (organisation, quota) in &mut shard.quotas {
                let epoch = table.entry(ShardId::of(organisation.as_str())).epoch;
                if quota.coordinator_epoch != epoch {
                    quota.coordinator_epoch = epoch;
                    quota.version = 0;
                }
            }
        }
    }

    /// Applies a grant and acknowledges it.
    ///
    /// Ignored if the epoch of the coordinator or of the shard is not the current one, or if the
    /// shard's fencing is not done.
    pub(super) fn handle_quota_grant(
        &mut self,
        organisation: &OrganisationName,
        (id, epoch): (ShardId, Epoch),
        coordinator_epoch: Epoch,
        (version, amount): (u64, u32),
        out: &mut EffectBuffer,
    ) {
        let current = self.coordinator_epoch(organisation) == coordinator_epoch;
        let fenced = self
            .shards
            .get(&id)
            .is_some_and(|s| s.epoch == epoch && s.fencing_done);
        if !current || !fenced {
            return;
        }
        if let Some(quota) = self.shard_quota_mut(id, organisation) {
            quota.apply_grant(version, amount);
        }
        self.queue_changed = true;
        self.send_quota_status(id, organisation, out);
    }

    /// Requests quota for the running tasks and `waiting` more, from 1 to `MAX_QUOTA_AHEAD`.
    ///
    /// Does nothing within `QUOTA_REQUEST_INTERVAL_MS` of the last request.
    pub(super) fn request_quota(
        &mut self,
        id: ShardId,
        organisation: &OrganisationName,
        waiting: usize,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let key = (organisation.clone(), id);
        let requested_at = self.quota_requested_at.get(&key);
        if requested_at.is_some_and(|at| now < at + QUOTA_REQUEST_INTERVAL_MS) {
            return;
        }
        self.quota_requested_at.insert(key, now);
        let coordinator_epoch = self.coordinator_epoch(organisation);
        let ahead = u32::try_from(waiting)
            .unwrap_or(MAX_QUOTA_AHEAD)
            .clamp(1, MAX_QUOTA_AHEAD);
        let Some(shard) = self.shards.get(&id) else {
            return;
        };
        let used = shard.quotas.get(organisation).map_or(0, |q| q.used);
        let coordinator = ShardId::of(organisation.as_str());
        if let Some(owner) = self.cluster.table.owner(coordinator) {
            let message = Message::QuotaRequest {
                organisation: organisation.clone(),
                shard: id,
                epoch: shard.epoch,
                coordinator_epoch,
                demand: used + ahead,
            };
            out.send(owner, message);
        }
    }
}
