//! The home role: gangs, whose tasks start all together.

use crate::{
    chart::{self, TaskEvent},
    core::{
        EffectBuffer, JobId, JobKind, LogEvent, Millis, Node, ShardId, TaskId, TaskStage,
        job_coordinator::RunPhase,
    },
};

/// How long a gang gathers its tasks, in ms.
const GANG_RESERVE_TIMEOUT_MS: Millis = 1_500;

impl Node {
    pub(super) fn gang_of(&self, id: ShardId, task: &TaskId) -> Option<JobId> {
        let shard = self.shards.get(&id)?;
        let job = shard
            .ledger
            .value
            .jobs
            .get(&shard.jobs.assigned_runs.get(task)?.job)?;
        (job.spec.kind == JobKind::Gang).then(|| job.id.clone())
    }

    /// Starts a gang once all of its tasks are held.
    pub(super) fn start_reserved_gang(
        &mut self,
        id: ShardId,
        job: &JobId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let Some(shard) = self.shards.get(&id) else {
            return;
        };
        let runs = shard.jobs.runs_of_job(job);
        let all = shard
            .ledger
            .value
            .jobs
            .get(job)
            .map_or(0, |j| j.tasks.len());
        let held = runs
            .iter()
            .all(|t| shard.jobs.assigned_runs[t].phase == RunPhase::Reserved);
        if !held || runs.len() < all {
            return;
        }
        for task in runs {
            if let Some(assigned) = self.assigned_run_mut(id, &task) {
                assigned.phase = RunPhase::StartRequested;
            }
            self.send_run_message(id, &task, now, out);
        }
    }

    pub(super) fn release_stalled_gangs(
        &mut self,
        id: ShardId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let shard = &self.shards[&id];
        let slow: Vec<JobId> = shard
            .jobs
            .assigned_runs
            .values()
            .filter(|s| matches!(s.phase, RunPhase::Reserved | RunPhase::Requested))
            .filter(|s| now >= s.requested_at + GANG_RESERVE_TIMEOUT_MS)
            .filter(|s| {
                let job = shard.ledger.value.jobs.get(&s.job);
                job.is_some_and(|j| j.spec.kind == JobKind::Gang)
            })
            .map(|s| s.job.clone())
            .collect();
        for job in slow {
            self.release_gang(id, &job, now, out);
        }
    }

    /// Has all tasks of a gang given up, so that it starts again as a whole.
    pub(super) fn release_gang(
        &mut self,
        id: ShardId,
        job: &JobId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let runs = self.shards[&id].jobs.runs_of_job(job);
        if !runs.is_empty() {
            out.log(LogEvent::GangReleased, job.to_string());
        }
        self.back_off(id, job, now);
        for task in runs {
            self.stop_run(id, &task, now, out);
        }
    }

    /// Queues a gang again once none of its tasks is left anywhere.
    ///
    /// A gang that cannot run as a whole any more, because a task failed for good or ran
    /// and must not run again, gets no further runs.
    pub(super) fn requeue_gang(&mut self, id: ShardId, job: &JobId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(record) = shard.ledger.value.jobs.get_mut(job) else {
            return;
        };
        let partly = record.count(TaskStage::Waiting) > 0;
        if record.count(TaskStage::Assigned) > 0 || !partly {
            return;
        }
        let done = record.count(TaskStage::Done) > 0;
        let ended = record.count(TaskStage::Failed) + record.count(TaskStage::Unknown) > 0;
        if ended || (done && !record.spec.idempotent) {
            record.cancel_waiting();
            return;
        }
        for task in &mut record.tasks {
            chart::task().apply(&mut task.stage, TaskEvent::GangRequeued);
        }
        let record = record.clone();
        if !shard.jobs.is_queued(&record) {
            shard.jobs.enqueue(&record, 0);
        }
    }
}
