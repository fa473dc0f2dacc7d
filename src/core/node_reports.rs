//! The shard owner's reports to the coordinators of jobs and quotas.
//!
//! Called when a task ends, when a shard's fencing is done or the shard table changes, and on
//! every tick. Must not report a shard whose fencing is not done: earlier runs may be missing.

use {
    crate::core::{
        EffectBuffer, Epoch, JobId, Message, Millis, Node, NodeId, OwnerReport, QuotaKey,
        QuotaStatus, ShardId, TaskId, TaskOutcome,
        node::{SentReport, UnackedEnd},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Interval between repeats of a report or task end without an acknowledgement, in ms.
const RESEND_INTERVAL_MS: Millis = 1_000;

impl Node {
    /// Reports the end of a task to its job coordinator; sent again until acknowledged.
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
        let end = UnackedEnd {
            coordinator,
            outcome,
            sent_at: now,
        };
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.unacked_ends.insert(task.clone(), end);
        }
        self.send_task_end(coordinator, task, outcome, out);
    }

    /// Sends a task's end to the owner of the coordinator's shard, if there is one.
    pub(super) fn send_task_end(
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

    /// Sends reports that are due, and unacknowledged reports and task ends again.
    pub(super) fn send_due_reports(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.owner_reports_due {
            self.owner_reports_due = false;
            self.send_reports(now, out);
        }
        let overdue: Vec<u64> = self
            .unacked_reports
            .iter()
            .filter(|(_, r)| now >= r.sent_at + RESEND_INTERVAL_MS)
            .map(|(n, _)| *n)
            .collect();
        for number in overdue {
            if let Some(sent) = self.unacked_reports.get_mut(&number) {
                sent.sent_at = now;
                let report = sent.report.clone();
                out.send(&sent.to, Message::OwnerReport { number, report });
            }
        }
        let mut overdue_ends = Vec::new();
        for shard in self.shards.values_mut() {
            for (task, end) in &mut shard.unacked_ends {
                if now >= end.sent_at + RESEND_INTERVAL_MS {
                    end.sent_at = now;
                    overdue_ends.push((end.coordinator, task.clone(), end.outcome));
                }
            }
        }
        for (coordinator, task, outcome) in overdue_ends {
            self.send_task_end(coordinator, &task, outcome, out);
        }
    }

    /// Sends each node with coordinators a new report; replaces all unacknowledged ones.
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

    /// Builds the report of the fenced shards for the given coordinator shards and their epochs.
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
            let ended = ended.filter(|(_, e)| addressed.contains(&e.coordinator));
            report.tasks.extend(ended.map(|(task, _)| task.clone()));
        }
        for hosted in self.worker_registry.iter().flat_map(|w| w.tasks.values()) {
            let coordinator = hosted.spec.job.as_ref().map(|j| ShardId::of(j.as_str()));
            if coordinator.is_some_and(|c| addressed.contains(&c)) {
                report.tasks.push(hosted.spec.id.clone());
            }
        }
        report
    }
}
