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
    pub(super) fn note_ended(
        &mut self,
        shard: ShardId,
        job: &JobId,
        task: &TaskId,
        outcome: TaskOutcome,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let home = ShardId::of(job.as_str());
        let note = UnackedEnd {
            home,
            outcome,
            sent_at: now,
        };
        if let Some(shard) = self.shards.get_mut(&shard) {
            shard.ended.insert(task.clone(), note);
        }
        self.send_ended(home, task, outcome, out);
    }

    pub(super) fn send_ended(
        &self,
        home: ShardId,
        task: &TaskId,
        outcome: TaskOutcome,
        out: &mut EffectBuffer,
    ) {
        if let Some(owner) = self.cluster.table.owner(home) {
            let task = task.clone();
            let home = Some(home);
            out.send(
                owner,
                Message::Ended {
                    task,
                    outcome,
                    home,
                },
            );
        }
    }

    /// Sends reports that are due and repeats what was not acknowledged.
    pub(super) fn pump_reports(&mut self, now: Millis, out: &mut EffectBuffer) {
        if self.reports_due {
            self.reports_due = false;
            self.send_reports(now, out);
        }
        let late: Vec<u64> = self
            .reports
            .iter()
            .filter(|(_, r)| now >= r.sent_at + RETRY_MS)
            .map(|(n, _)| *n)
            .collect();
        for number in late {
            if let Some(sent) = self.reports.get_mut(&number) {
                sent.sent_at = now;
                let report = sent.report.clone();
                out.send(&sent.to, Message::OwnerReport { number, report });
            }
        }
        let mut again = Vec::new();
        for shard in self.shards.values_mut() {
            for (task, note) in &mut shard.ended {
                if now >= note.sent_at + RETRY_MS {
                    note.sent_at = now;
                    again.push((note.home, task.clone(), note.outcome));
                }
            }
        }
        for (home, task, outcome) in again {
            self.send_ended(home, &task, outcome, out);
        }
    }

    pub(super) fn send_reports(&mut self, now: Millis, out: &mut EffectBuffer) {
        let mut homes: BTreeMap<NodeId, Vec<(ShardId, Epoch)>> = BTreeMap::new();
        for id in ShardId::all() {
            let entry = self.cluster.table.entry(id);
            if let Some(owner) = &entry.owner {
                homes
                    .entry(owner.clone())
                    .or_default()
                    .push((id, entry.epoch));
            }
        }
        self.reports.clear();
        for (to, homes) in homes {
            let report = self.build_report(homes);
            if report.shards.is_empty() {
                continue;
            }
            self.last_number += 1;
            let number = self.last_number;
            let message = Message::OwnerReport {
                number,
                report: report.clone(),
            };
            out.send(&to, message);
            self.reports.insert(
                number,
                SentReport {
                    to,
                    report,
                    sent_at: now,
                },
            );
        }
    }

    pub(super) fn build_report(&self, homes: Vec<(ShardId, Epoch)>) -> OwnerReport {
        let addressed: BTreeSet<ShardId> = homes.iter().map(|(id, _)| *id).collect();
        let mut report = OwnerReport {
            homes,
            ..OwnerReport::default()
        };
        for (id, shard) in self.shards.iter().filter(|(_, s)| s.fenced) {
            report.shards.push((*id, shard.epoch));
            for (team, allowance) in &shard.allowances {
                if !addressed.contains(&ShardId::of(team.as_str())) {
                    continue;
                }
                report.stands.push(QuotaStatus {
                    key: QuotaKey {
                        team: team.clone(),
                        shard: *id,
                    },
                    version: allowance.version,
                    ceiling: allowance.ceiling(),
                });
            }
            let ended = shard.ended.iter();
            let ended = ended.filter(|(_, n)| addressed.contains(&n.home));
            report.tasks.extend(ended.map(|(task, _)| task.clone()));
        }
        for hosted in self.book.iter().flat_map(|w| w.tasks.values()) {
            let home = hosted.spec.job.as_ref().map(|j| ShardId::of(j.as_str()));
            if home.is_some_and(|h| addressed.contains(&h)) {
                report.tasks.push(hosted.spec.id.clone());
            }
        }
        report
    }
}
