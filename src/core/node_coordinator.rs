//! The coordinator's handling of messages from shard owners: owner reports, and requests and status
//! of quota. Called by `Node::handle_message`. It must not acknowledge a report before applying all
//! of it, since the owner repeats a report only until then.

use crate::core::{
    EffectBuffer, Epoch, JobState, Message, Millis, Node, NodeId, OrganisationName, OwnerReport,
    QuotaStatus, ShardId, TaskId, TaskOutcome, job_coordinator::RunPhase,
    quota_coordinator::QuotaGrant,
};

impl Node {
    /// Applies an owner report: rebuilds the quota grants and reconciles the runs that were
    /// assigned under earlier owners.
    ///
    /// The acknowledgement is left out if an addressed coordinator is not here yet or has not
    /// loaded its jobs. A coordinator epoch that the table has passed is not waited for.
    pub(super) fn handle_owner_report(
        &mut self,
        from: &NodeId,
        number: u64,
        report: &OwnerReport,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let mut fully_applied = true;
        for (coordinator, coordinator_epoch) in &report.coordinators {
            let current_epoch = self.cluster.table.entry(*coordinator).epoch;
            let Some(shard) = self
                .shards
                .get_mut(coordinator)
                .filter(|s| s.epoch == *coordinator_epoch)
            else {
                fully_applied &= current_epoch > *coordinator_epoch;
                continue;
            };
            if !shard.jobs.jobs_loaded {
                fully_applied = false;
                continue;
            }
            for (id, epoch) in &report.shards {
                let statuses: Vec<QuotaStatus> = report
                    .quota_statuses
                    .iter()
                    .filter(|s| ShardId::of(s.key.organisation.as_str()) == *coordinator)
                    .cloned()
                    .collect();
                shard.quota_coordinator.apply_report(*id, *epoch, &statuses);
            }
            for (id, epoch) in &report.shards {
                self.reconcile_runs(*coordinator, (*id, *epoch), &report.tasks, now, out);
            }
        }
        if fully_applied {
            out.send(from, Message::OwnerReportAck { number });
        }
    }

    /// Reconciles the runs that were assigned on a shard before its current owner claimed it, or
    /// that were recovered from the ledger.
    ///
    /// A reported run continues under the current epoch. Otherwise, a recovered run of the current
    /// epoch is requested again; one of an earlier epoch ends as not run if it cannot have started,
    /// else as lost.
    pub(super) fn reconcile_runs(
        &mut self,
        coordinator: ShardId,
        (id, epoch): (ShardId, Epoch),
        reported_tasks: &[TaskId],
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let affected: Vec<(TaskId, RunPhase, Epoch)> = self.shards[&coordinator]
            .jobs
            .assigned_runs
            .iter()
            .filter(|(_, s)| s.shard == id)
            .filter(|(_, s)| s.epoch < epoch || s.phase == RunPhase::Recovering)
            .map(|(task, s)| (task.clone(), s.phase, s.epoch))
            .collect();
        for (task, phase, assigned_epoch) in affected {
            if reported_tasks.contains(&task) {
                if let Some(assigned) = self.assigned_run_mut(coordinator, &task) {
                    assigned.epoch = epoch;
                    if phase != RunPhase::Stopping {
                        assigned.phase = RunPhase::Running;
                    }
                }
                self.stop_cancelled(coordinator, &task, now, out);
            } else if phase == RunPhase::Recovering && assigned_epoch == epoch {
                if let Some(assigned) = self.assigned_run_mut(coordinator, &task) {
                    assigned.phase = RunPhase::Requested;
                    assigned.requested_at = now;
                }
                self.stop_cancelled(coordinator, &task, now, out);
                self.send_run_message(coordinator, &task, now, out);
            } else if assigned_epoch < epoch {
                let requested_only =
                    self.gang_of(coordinator, &task).is_some() && phase == RunPhase::Requested;
                let outcome = match phase {
                    RunPhase::Persisting(_) | RunPhase::Reserved => TaskOutcome::NotRun,
                    _ if requested_only => TaskOutcome::NotRun,
                    _ => TaskOutcome::Lost,
                };
                self.end_run(coordinator, &task, outcome, now, out);
            }
        }
    }

    /// Stops a run whose job is being cancelled.
    pub(super) fn stop_cancelled(
        &mut self,
        coordinator: ShardId,
        task: &TaskId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let shard = &self.shards[&coordinator];
        let Some(assigned) = shard.jobs.assigned_runs.get(task) else {
            return;
        };
        let job = shard.ledger.value.jobs.get(&assigned.job);
        if job.is_some_and(|j| j.state == JobState::Cancelling) {
            self.stop_run(coordinator, task, now, out);
        }
    }

    /// Handles a shard's request for quota of an organisation that this node coordinates. Ignored
    /// if it addresses another coordinator epoch.
    pub(super) fn handle_quota_request(
        &mut self,
        organisation: &OrganisationName,
        (id, epoch): (ShardId, Epoch),
        coordinator_epoch: Epoch,
        demand: u32,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let limit = self.cluster.config.limit(organisation);
        let coordinator = ShardId::of(organisation.as_str());
        let Some(shard) = self
            .shards
            .get_mut(&coordinator)
            .filter(|s| s.epoch == coordinator_epoch)
        else {
            return;
        };
        let grants = shard
            .quota_coordinator
            .request(organisation, id, epoch, demand, limit, now);
        self.send_quota_grants(coordinator, grants, out);
    }

    /// Applies a shard's quota status and distributes what it released. Ignored if it addresses
    /// another coordinator epoch.
    pub(super) fn handle_quota_status(
        &mut self,
        epoch: Epoch,
        coordinator_epoch: Epoch,
        status: &QuotaStatus,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let organisation = &status.key.organisation;
        let limit = self.cluster.config.limit(organisation);
        let coordinator = ShardId::of(organisation.as_str());
        let Some(shard) = self
            .shards
            .get_mut(&coordinator)
            .filter(|s| s.epoch == coordinator_epoch)
        else {
            return;
        };
        shard.quota_coordinator.apply_status(epoch, status);
        let grants = shard.quota_coordinator.distribute(organisation, limit, now);
        self.send_quota_grants(coordinator, grants, out);
    }

    /// Sends grants to the owners of their shards; skips shards without an owner or at another
    /// epoch.
    pub(super) fn send_quota_grants(
        &self,
        coordinator: ShardId,
        grants: Vec<QuotaGrant>,
        out: &mut EffectBuffer,
    ) {
        let coordinator_epoch = self.cluster.table.entry(coordinator).epoch;
        for grant in grants {
            let entry = self.cluster.table.entry(grant.shard);
            let Some(owner) = entry
                .owner
                .as_ref()
                .filter(|_| entry.epoch == grant.shard_epoch)
            else {
                continue;
            };
            let message = Message::QuotaGrant {
                organisation: grant.organisation,
                shard: grant.shard,
                epoch: grant.shard_epoch,
                coordinator_epoch,
                version: grant.version,
                amount: grant.amount,
            };
            out.send(owner, message);
        }
    }

    /// Repeats the quota grants that the shard owners have not acknowledged.
    pub(super) fn resend_quota_grants(&mut self, now: Millis, out: &mut EffectBuffer) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            if let Some(shard) = self.shards.get_mut(&id) {
                let grants = shard.quota_coordinator.resend_unacked(now);
                self.send_quota_grants(id, grants, out);
            }
        }
    }
}
