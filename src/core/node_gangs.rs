//! The job coordinator's part for gangs, whose tasks start all together. Called when a gang's task
//! is placed or ends and by `Node::retry_jobs`. No task may be started before all tasks of its gang
//! are reserved.

use crate::{
    chart::{self, TaskEvent},
    core::{
        EffectBuffer, JobId, JobKind, LogEvent, Millis, Node, ShardId, TaskId, TaskStage,
        job_coordinator::RunPhase,
    },
};

/// Timeout for reserving all tasks of a gang, in ms.
const GANG_RESERVE_TIMEOUT_MS: Millis = 1_500;

impl Node {
    /// Returns the job of an assigned run if it is a gang.
    pub(super) fn gang_of(&self, id: ShardId, task: &TaskId) -> Option<JobId> {
        let shard = self.shards.get(&id)?;
        let job = shard
            .ledger
            .value
            .jobs
            .get(&shard.jobs.assigned_runs.get(task)?.job)?;
        (job.spec.kind == JobKind::Gang).then(|| job.id.clone())
    }

    /// Requests the start of a gang once all of its tasks are reserved.
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
        let task_count = shard
            .ledger
            .value
            .jobs
            .get(job)
            .map_or(0, |j| j.tasks.len());
        let all_reserved = runs
            .iter()
            .all(|t| shard.jobs.assigned_runs[t].phase == RunPhase::Reserved);
        if !all_reserved || runs.len() < task_count {
            return;
        }
        for task in runs {
            if let Some(assigned) = self.assigned_run_mut(id, &task) {
                assigned.phase = RunPhase::StartRequested;
            }
            self.send_run_message(id, &task, now, out);
        }
    }

    /// Releases the gangs of a shard that exceeded the timeout for reserving their tasks.
    pub(super) fn release_stalled_gangs(
        &mut self,
        id: ShardId,
        now: Millis,
        out: &mut EffectBuffer,
    ) {
        let shard = &self.shards[&id];
        let stalled: Vec<JobId> = shard
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
        for job in stalled {
            self.release_gang(id, &job, now, out);
        }
    }

    /// Releases or stops all tasks of a gang, so that it starts again as a whole after a backoff.
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

    /// Queues a gang again once none of its tasks is assigned.
    ///
    /// If the gang cannot run as a whole any more, because a task failed permanently or ran and
    /// must not run again, its waiting tasks are cancelled instead.
    pub(super) fn requeue_gang(&mut self, id: ShardId, job: &JobId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(record) = shard.ledger.value.jobs.get_mut(job) else {
            return;
        };
        let has_waiting = record.count(TaskStage::Waiting) > 0;
        if record.count(TaskStage::Assigned) > 0 || !has_waiting {
            return;
        }
        let any_done = record.count(TaskStage::Done) > 0;
        let failed_or_unknown =
            record.count(TaskStage::Failed) + record.count(TaskStage::Unknown) > 0;
        if failed_or_unknown || (any_done && !record.spec.idempotent) {
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
