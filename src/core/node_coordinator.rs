//! The home role: owners' reports and the limits of teams.

use crate::core::{
    EffectBuffer, Epoch, JobState, Message, Millis, Node, NodeId, OrganisationName, OwnerReport,
    QuotaStatus, ShardId, TaskId, TaskOutcome, job_coordinator::RunPhase,
    quota_coordinator::QuotaGrant,
};

impl Node {
    /// Takes an owner's report: rebuilds lends and settles tasks that were with earlier owners.
    pub(super) fn report(
        &mut self,
        from: &NodeId,
        number: u64,
        report: &OwnerReport,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let mut complete = true;
        for (home, home_epoch) in &report.homes {
            let known = self.cluster.table.entry(*home).epoch;
            let Some(shard) = self.shards.get_mut(home).filter(|s| s.epoch == *home_epoch) else {
                complete &= known > *home_epoch;
                continue;
            };
            if !shard.jobs.loaded {
                complete = false;
                continue;
            }
            for (id, epoch) in &report.shards {
                let stands: Vec<QuotaStatus> = report
                    .stands
                    .iter()
                    .filter(|s| ShardId::of(s.key.team.as_str()) == *home)
                    .cloned()
                    .collect();
                shard.home.report(*id, *epoch, &stands);
            }
            for (id, epoch) in &report.shards {
                self.settle_runs(*home, (*id, *epoch), &report.tasks, now, out);
            }
        }
        if complete {
            out.send(from, Message::OwnerReportAck { number });
        }
    }

    /// Settles the runs that were marked on a shard before its current owner took it.
    pub(super) fn settle_runs(
        &mut self,
        home: ShardId,
        (id, epoch): (ShardId, Epoch),
        present: &[TaskId],
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let concerned: Vec<(TaskId, RunPhase, Epoch)> = self.shards[&home]
            .jobs
            .soft
            .iter()
            .filter(|(_, s)| s.shard == id)
            .filter(|(_, s)| s.epoch < epoch || s.phase == RunPhase::Recovering)
            .map(|(task, s)| (task.clone(), s.phase, s.epoch))
            .collect();
        for (task, phase, marked) in concerned {
            if present.contains(&task) {
                if let Some(soft) = self.soft_mut(home, &task) {
                    soft.epoch = epoch;
                    if phase != RunPhase::Stopping {
                        soft.phase = RunPhase::Running;
                    }
                }
                self.stop_cancelled(home, &task, now, out);
            } else if phase == RunPhase::Recovering && marked == epoch {
                if let Some(soft) = self.soft_mut(home, &task) {
                    soft.phase = RunPhase::Asked;
                    soft.asked_at = now;
                }
                self.stop_cancelled(home, &task, now, out);
                self.send_ask(home, &task, now, out);
            } else if marked < epoch {
                let asked_only = self.gang_of(home, &task).is_some() && phase == RunPhase::Asked;
                let outcome = match phase {
                    RunPhase::Marking(_) | RunPhase::Held => TaskOutcome::NotRun,
                    _ if asked_only => TaskOutcome::NotRun,
                    _ => TaskOutcome::Lost,
                };
                self.end_run(home, &task, outcome, now, out);
            }
        }
    }

    pub(super) fn stop_cancelled(
        &mut self,
        home: ShardId,
        task: &TaskId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let shard = &self.shards[&home];
        let Some(soft) = shard.jobs.soft.get(task) else {
            return;
        };
        let job = shard.ledger.value.jobs.get(&soft.job);
        if job.is_some_and(|j| j.state == JobState::Cancelling) {
            self.stop_run(home, task, now, out);
        }
    }

    /// Takes a wish for tokens of a team whose home is here.
    pub(super) fn token_ask(
        &mut self,
        team: &OrganisationName,
        (id, epoch): (ShardId, Epoch),
        home_epoch: Epoch,
        wish: u32,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let limit = self.cluster.config.limit(team);
        let home = ShardId::of(team.as_str());
        let Some(shard) = self.shards.get_mut(&home).filter(|s| s.epoch == home_epoch) else {
            return;
        };
        let allows = shard.home.ask(team, id, epoch, wish, limit, now);
        self.send_allows(home, allows, out);
    }

    pub(super) fn token_stand(
        &mut self,
        epoch: Epoch,
        home_epoch: Epoch,
        stand: &QuotaStatus,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let team = &stand.key.team;
        let limit = self.cluster.config.limit(team);
        let home = ShardId::of(team.as_str());
        let Some(shard) = self.shards.get_mut(&home).filter(|s| s.epoch == home_epoch) else {
            return;
        };
        shard.home.stand(epoch, stand);
        let allows = shard.home.distribute(team, limit, now);
        self.send_allows(home, allows, out);
    }

    pub(super) fn send_allows(
        &self,
        home: ShardId,
        allows: Vec<QuotaGrant>,
        out: &mut EffectBuffer,
    ) {
        let home_epoch = self.cluster.table.entry(home).epoch;
        for allow in allows {
            let entry = self.cluster.table.entry(allow.shard);
            let Some(owner) = entry
                .owner
                .as_ref()
                .filter(|_| entry.epoch == allow.shard_epoch)
            else {
                continue;
            };
            let message = Message::TokenAllow {
                team: allow.team,
                shard: allow.shard,
                epoch: allow.shard_epoch,
                home_epoch,
                version: allow.version,
                amount: allow.amount,
            };
            out.send(owner, message);
        }
    }

    /// Repeats unacknowledged amounts.
    pub(super) fn pump_tokens(&mut self, now: Millis, out: &mut EffectBuffer) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            if let Some(shard) = self.shards.get_mut(&id) {
                let allows = shard.home.resend(now);
                self.send_allows(id, allows, out);
            }
        }
    }
}
