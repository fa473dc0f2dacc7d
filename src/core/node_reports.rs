//! The owner role: what it tells the homes of jobs and teams.

use {
    crate::core::{
        EffectBuffer, Epoch, JobId, Message, Millis, Node, NodeId, OwnerReport, QuotaKey,
        QuotaStatus, ShardId, TaskId, TaskOutcome,
        node::{SentReport, UnackedEnd},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Pause after a worker call without an answer, and between repeats, in ms.
const RETRY_MS: Millis = 1_000;

impl Node {
    /// Tells the home of a job that a task ended, until it is acknowledged.
    pub(super) fn report_task_end(
        &mut self,
        shard: ShardId,
        job: &JobId,
        task: &TaskId,
        outcome: TaskOutcome,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let coordinator = ShardId::of(job.as_str());
        let note = UnackedEnd {
            coordinator,
            outcome,
            sent_at: now,
        };
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.unacked_ends.insert(task.clone(), note);
        }
        self.send_ended(coordinator, task, outcome, out);
    }

    pub(super) fn send_ended(
        &self,
        coordinator: ShardId,
        task: &TaskId,
        outcome: TaskOutcome,
        out: &mut EffectBuffer,
    ) {
        if let Some(owner) = self.cluster.table.owner(coordinator) {
            let task = task.clone();
            let coordinator = Some(coordinator);
            out.send(
                owner,
                Message::TaskEnded {
                    task,
                    outcome,
                    coordinator,
                },
            );
        }
    }

    /// Sends reports that are due and repeats what was not acknowledged.
    pub(super) fn send_due_reports(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.reports_due {
            self.reports_due = false;
            self.send_reports(now, out);
        }
        let late: Vec<u64> = self
            .unacked_reports
            .iter()
            .filter(|(_, r)| now >= r.sent_at + RETRY_MS)
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            if let Some(sent) = self.unacked_reports.get_mut(&number) {
                sent.sent_at = now;
                let report = sent.report.clone();
                out.send(&sent.to, Message::OwnerReport { number, report });
            }
        }
        let mut again = Vec::new();
        for shard in self.shards.values_mut() {
            for (task, note) in &mut shard.unacked_ends {
                if now >= note.sent_at + RETRY_MS {
                    note.sent_at = now;
                    again.push((note.coordinator, task.clone(), note.outcome));
                }
            }
        }
        for (coordinator, task, outcome) in again {
            self.send_ended(coordinator, &task, outcome, out);
        }
    }

    pub(super) fn send_reports(&mut self, now: Millis, out: &mut EffectBuffer) {
        let mut coordinators: BTreeMap<NodeId, Vec<(ShardId, Epoch)>> = BTreeMap::new();
        for id in ShardId::all() {
            let entry = self.cluster.table.entry(id);
            if let Some(owner) = &entry.owner {
                coordinators
                    .entry(owner.clone())
                    .or_default()
                    .push((id, entry.epoch));
            }
        }
        self.unacked_reports.clear();
        for (to, coordinators) in coordinators {
            let report = self.build_report(coordinators);
            if report.shards.is_empty() {
                continue;
            }
            self.last_message_id += 1;
            let number = self.last_message_id;
            let message = Message::OwnerReport {
                number,
                report: report.clone(),
            };
            out.send(&to, message);
            self.unacked_reports.insert(
                number,
                SentReport {
                    to,
                    report,
                    sent_at: now,
                },
            );
        }
    }

    pub(super) fn build_report(&self, coordinators: Vec<(ShardId, Epoch)>) -> OwnerReport {
        let addressed: BTreeSet<ShardId> = coordinators.iter().map(|(id, _)| *id).collect();
        let mut report = OwnerReport {
            coordinators,
            ..OwnerReport::default()
        };
        for (id, shard) in self.shards.iter().filter(|(_, s)| s.fencing_done) {
            report.shards.push((*id, shard.epoch));
            for (organisation, quota) in &shard.quotas {
                if !addressed.contains(&ShardId::of(organisation.as_str())) {
                    continue;
                }
                report.quota_statuses.push(QuotaStatus {
                    key: QuotaKey {
                        organisation: organisation.clone(),
                        shard: *id,
                    },
                    version: quota.version,
                    ceiling: quota.ceiling(),
                });
            }
            let ended = shard.unacked_ends.iter();
            let ended = ended.filter(|(_, n)| addressed.contains(&n.coordinator));
            report.tasks.extend(ended.map(|(task, _)| task.clone()));
        }
        for hosted in self.worker_registry.iter().flat_map(|w| w.tasks.values()) {
            let coordinator = hosted.spec.job.as_ref().map(|j| ShardId::of(j.as_str()));
            if coordinator.is_some_and(|h| addressed.contains(&h)) {
                report.tasks.push(hosted.spec.id.clone());
            }
        }
        report
    }
}
