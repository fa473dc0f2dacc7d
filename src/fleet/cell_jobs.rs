//! Jobs of the cell: added, cancelled, ended, and written to the store.
//!
//! Callers see the end of a job, and executors get their ends acknowledged, only once the
//! commit that contains it has succeeded.

use {
    crate::{
        core::{CallId, Millis},
        fleet::{
            Cell, CellEffect, CommitBatch, Executor, FleetEvent, Job, JobEnd, JobId, JobProgress,
            JobRecord, Now, ProgressFormat, RecordChange, Roster, RosterEntry, StoreWrite,
            Submission,
            cell::UNREADABLE_ROSTER,
            commit_queue::MAX_RECORD_WEIGHT,
            policy::{RateBucket, RateLimit},
        },
    },
    std::sync::Arc,
};

/// How the owner learned of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum JobOrigin {
    /// Accepted since this owner's claim.
    Accepted,
    /// Read from the store: an earlier owner may have started tasks of it.
    Recovered,
    /// Read from the store as [`JobRecord::OpenLarge`].
    RecoveredLarge,
}

impl Cell {
    /// Adds a job of the store, which an earlier owner may have started.
    pub(super) fn add_recovered(
        &mut self,
        id: JobId,
        record: JobRecord,
        progress: Option<&JobProgress>,
        now: Now,
    ) {
        match record {
            JobRecord::Open(submission) => {
                self.add_job(submission, progress, JobOrigin::Recovered, now);
            }
            JobRecord::OpenLarge(submission) => {
                self.add_job(submission, progress, JobOrigin::RecoveredLarge, now);
            }
            JobRecord::Ended { .. } if self.jobs.contains_key(&id) => {}
            record if record.is_withdrawn() => {
                self.pending_cancels.insert(id, now.mono);
            }
            JobRecord::Ended { end, .. } => {
                self.pending_cancels.remove(&id);
                self.ended_jobs.entry(id).or_insert((end, now.mono));
            }
        }
    }

    /// Adds an accepted job, unless it is known or has ended.
    pub(super) fn add_job(
        &mut self,
        submission: Submission,
        progress: Option<&JobProgress>,
        origin: JobOrigin,
        now: Now,
    ) {
        let id = submission.id;
        if self.jobs.contains_key(&id) || self.ended_jobs.contains_key(&id) {
            return;
        }
        let mut job = Job::new(submission, progress, now.unix);
        let unknown = self.executors.values().any(|e| {
            let runs = e.unknown_runs.keys().any(|t| t.step.job == id);
            runs || e.unknown_ends.values().any(|row| row.task.step.job == id)
        });
        job.recovered = origin != JobOrigin::Accepted || unknown;
        job.stored_large = origin == JobOrigin::RecoveredLarge;
        job.large |= job.stored_large;
        job.may_have_progress_record |= job.recovered;
        job.received_at = now.mono;
        if job.recovered {
            job.age_at_receipt_ms = now.unix.saturating_sub(job.submission.accepted_unix_ms);
        }
        job.objective_ms = objective(&job);
        let accepted_at = now.mono.cast_signed() - job.age_at_receipt_ms.cast_signed();
        job.over_rate = self.exceeds_rate(job.submission.tenant.as_ref(), accepted_at);
        let (recovered, over_rate) = (job.recovered, job.over_rate);
        let age_ms = job.age_at_receipt_ms;
        let due_in_ms = job.objective_ms.cast_signed() - age_ms.cast_signed();
        let queue = job.submission.queue.name.clone();
        let tenant = job.submission.tenant.clone().unwrap_or_default();
        self.log(
            FleetEvent::JobQueued,
            format!(
                "job={id} inherited={recovered} excess={over_rate} age_ms={age_ms} \
                 due_in_ms={due_in_ms} queue={queue} tenant={tenant}"
            ),
        );
        if job.large && !job.stored_large {
            // Earlier versions read the record that they know, and cannot schedule the job.
            self.commit_queue.mark_dirty(id, RecordChange::Progress);
        }
        self.jobs.insert(id, job);
        if let Some(progress) = progress {
            self.restore_crashes(id, progress, now);
        }
        if unknown {
            self.apply_unknown_ends(id, now);
            self.adopt_unknown_runs(id, now);
        }
        if self.pending_cancels.remove(&id).is_some() {
            self.cancel(id, now);
        }
        self.try_finish_job(id, now);
    }

    /// Requests the record of a job that an executor named and that is not known here. A job is
    /// stored before any task of it starts, so the store tells whether it exists.
    pub(super) fn read_unknown_job(&mut self, id: JobId) {
        if self.job_reads.insert(id) {
            self.effects.push(CellEffect::ReadJob(id));
        }
    }

    /// Handles the record of a job that was not known; `None` if there is no such job any more.
    pub(super) fn on_job_read(&mut self, id: JobId, record: Option<JobRecord>, now: Now) {
        self.job_reads.remove(&id);
        if let Some(record) = record {
            self.add_recovered(id, record, None, now);
        }
        if !self.jobs.contains_key(&id) {
            self.take_unknown_ends(id);
            self.stop_unknown_runs(id);
        }
    }

    /// Stops the runs of a job that does not exist or has ended.
    fn stop_unknown_runs(&mut self, job: JobId) {
        let mut runs = Vec::new();
        for (id, executor) in &self.executors {
            let of_job = executor.unknown_runs.iter();
            let of_job = of_job.filter(|(task, _)| task.step.job == job);
            runs.extend(of_job.map(|(task, run)| (id.clone(), *task, *run)));
        }
        for (id, task, run) in runs {
            self.send_stop(&id, task, run);
        }
    }

    /// Returns whether a job that was accepted at `accepted_at`, on the owner's monotonic clock, is beyond its
    /// tenant's rate: its weight, in jobs a second.
    fn exceeds_rate(&mut self, tenant: Option<&Arc<str>>, accepted_at: i64) -> bool {
        let Some(tenant) = tenant else { return false };
        let Some(rule) = self.config.tenants.get(tenant) else {
            return false;
        };
        let limit = RateLimit {
            per_s: u64::from(rule.weight.max(1)),
            burst: self.bounds.rate_burst,
        };
        let bucket = self.rate_buckets.entry(tenant.clone());
        let bucket = bucket.or_insert_with(|| RateBucket::new(&limit, accepted_at));
        !bucket.take(&limit, accepted_at)
    }

    /// Cancels a job: its runs are stopped and no more tasks start. A cancellation of an unknown
    /// job is kept for its submission; one of an ended job has no effect.
    pub(super) fn cancel(&mut self, id: JobId, now: Now) {
        if self.ended_jobs.contains_key(&id) {
            return;
        }
        if !self.jobs.contains_key(&id) {
            self.pending_cancels.insert(id, now.mono);
            return;
        }
        self.log(FleetEvent::JobCancelled, format!("job={id}"));
        self.end_job(id, JobEnd::Cancelled, now);
    }

    /// Decides a job's end and stops its runs; the first end stands.
    pub(super) fn end_job(&mut self, id: JobId, end: JobEnd, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        job.end = Some(end);
        self.commit_queue.mark_dirty(id, RecordChange::End);
        self.apply_unknown_ends(id, now);
        self.stop_job_runs(id, now);
    }

    /// Sends a stop command to every run of a job.
    fn stop_job_runs(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for (executor, task) in job.active_runs() {
            self.stop_run(&executor, task, now);
        }
    }

    /// Ends a job whose tasks are all done, and drops one whose end is durable once it has no runs
    /// left on any executor.
    pub(super) fn try_finish_job(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.end.is_none() {
            if job.is_complete() {
                self.end_job(id, JobEnd::Completed, now);
            }
            return;
        }
        if job.end_durable && !job.has_runs() && self.unread.is_empty() {
            self.jobs.remove(&id);
        }
    }

    /// Drops ended jobs that were kept as executors which were not read might run tasks of them.
    pub(super) fn drop_finished_jobs(&mut self) {
        if self.unread.is_empty() {
            self.jobs.retain(|_, j| !j.end_durable || j.has_runs());
        }
    }

    /// Sends the next commits as far as the queue permits.
    pub(super) fn send_commits(&mut self, now: Now) {
        // The next owner must not take this one's roster for that of the executors not yet waited for.
        self.commit_queue.roster_held = self.unread.contains(UNREADABLE_ROSTER);
        self.commit_queue.waits.dirty |= self.earlier_leases.needs_write(now.mono);
        loop {
            let call = self.next_call();
            let (jobs, max_value_bytes) = (&self.jobs, self.bounds.max_value_bytes);
            let entries = |id: JobId| match jobs.get(&id) {
                Some(job) => commit_weight(job, max_value_bytes),
                None => 2,
            };
            let Some(batch) = self.commit_queue.next_batch(call, now.mono, entries) else {
                return;
            };
            self.send_commit(call, &batch, now);
        }
    }

    fn send_commit(&mut self, call: CallId, batch: &CommitBatch, now: Now) {
        let mut writes: Vec<StoreWrite> = Vec::new();
        for id in &batch.jobs {
            writes.extend(self.store_write_for(*id, now));
            if let Some(job) = self.jobs.get_mut(id) {
                job.may_have_progress_record |= job.end.is_none();
            }
        }
        if batch.roster {
            writes.push(self.roster_write());
        }
        if batch.waits {
            let waits = self.lease_waits(now);
            writes.push(StoreWrite::LeaseWaits(waits));
        }
        for id in &batch.jobs {
            self.crash_watch.on_sent(*id);
        }
        self.effects.push(CellEffect::Commit { call, writes });
    }

    /// Returns the write of a job's progress. A record of the dense format that is too long for a value
    /// makes the job a large one; one of the sparse format leaves out checkpoints.
    fn progress_write(&mut self, id: JobId) -> Option<StoreWrite> {
        let job = self.jobs.get(&id)?;
        let specs = &job.submission.spec.steps;
        let mut progress = job.progress();
        progress.crashed_tasks = self.crash_watch.of_job(id);
        let max_bytes = self.bounds.max_value_bytes;
        let dense = (!job.large).then(|| progress.encode(ProgressFormat::Dense, specs));
        if let Some(Ok(value)) = dense
            && value.len() <= max_bytes
        {
            return Some(StoreWrite::Progress {
                job: id,
                value,
                record: None,
            });
        }
        if progress.max_sparse_bytes() > max_bytes {
            let tasks = progress.steps.iter_mut().flat_map(|s| &mut s.tasks);
            tasks.for_each(|t| t.checkpoint = Arc::default());
            let detail =
                format!("job={id} progress too long for a value; stored without checkpoints");
            self.log(FleetEvent::CommitFailed, detail);
        }
        let job = self.jobs.get_mut(&id)?;
        job.large = true;
        let record = JobRecord::OpenLarge(job.submission.clone());
        let record = (!job.stored_large).then(|| Box::new(record));
        match progress.encode(ProgressFormat::Sparse, &job.submission.spec.steps) {
            Ok(value) => Some(StoreWrite::Progress {
                job: id,
                value,
                record,
            }),
            Err(e) => {
                self.log(FleetEvent::CommitFailed, format!("job={id} {e}"));
                None
            }
        }
    }

    fn store_write_for(&mut self, id: JobId, now: Now) -> Option<StoreWrite> {
        let Some(job) = self.jobs.get(&id) else {
            let kept = self.ended_jobs.contains_key(&id) || self.pending_cancels.contains_key(&id);
            return (!kept).then_some(StoreWrite::Delete { job: id });
        };
        let Some(end) = job.end else {
            return self.progress_write(id);
        };
        let record = Box::new(JobRecord::Ended {
            end,
            queue: job.submission.queue.name.clone(),
            tenant: job.submission.tenant.clone(),
            ended_unix_ms: now.unix,
        });
        Some(StoreWrite::Ended {
            job: id,
            record,
            remove_progress: job.may_have_progress_record,
        })
    }

    fn roster_write(&mut self) -> StoreWrite {
        let entry = |e: &Executor| RosterEntry {
            id: e.info.id.clone(),
            address: e.info.address.clone(),
            pool: e.info.pool.clone(),
            max_capacity: e.max_capacity,
        };
        let used = self.executors.values().filter(|e| !e.retired);
        let entries: Vec<RosterEntry> = used.map(entry).collect();
        self.roster_sent = entries.iter().map(|e| (e.id.clone(), e.clone())).collect();
        // The write may take effect although no reply comes. Maximum capacities rise while an executor
        // is known, so that of the present record is the least; one that was added again may have less.
        let sent = &self.roster_sent;
        let stays_true = |entry: &RosterEntry| {
            let sent = sent.get(&entry.id);
            sent.is_some_and(|s| {
                s.address == entry.address && s.max_capacity.covers(&entry.max_capacity)
            })
        };
        self.roster.retain(|_, entry| stays_true(entry));
        StoreWrite::Roster(Roster::new(entries))
    }

    /// Handles the result of a commit. Ends in it become visible to callers unless the job is dirty
    /// again; failed writes are queued again.
    pub(super) fn on_commit_result(&mut self, call: CallId, ok: bool, now: Now) {
        self.on_hand_over_written(call, ok, now);
        let Some(batch) = self.commit_queue.on_result(call, ok, now.mono) else {
            return;
        };
        if batch.waits {
            self.earlier_leases.on_written(ok);
            self.leaving.on_written(ok);
            self.needs_placement |= ok;
        }
        if !ok {
            self.log(
                FleetEvent::CommitFailed,
                format!("call={call}; tried again"),
            );
            return;
        }
        if batch.roster {
            self.needs_placement = true;
            self.roster = std::mem::take(&mut self.roster_sent);
        }
        for id in batch.jobs {
            self.needs_placement |= self.crash_watch.on_durable(id);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.stored_large |= job.large;
            let Some(end) = job.end else { continue };
            if !self.commit_queue.is_durable(id) || job.end_durable {
                continue;
            }
            job.end_durable = true;
            self.ended_jobs.insert(id, (end, now.mono));
            self.log(FleetEvent::JobEnded, format!("job={id} end={end:?}"));
            self.try_finish_job(id, now);
        }
        self.renew_after_commit(now);
    }

    /// Handles a commit that the store refused for good. Its records are written one by one from now on; a
    /// job whose record alone is refused again and again is given up, so that neither other records
    /// nor the ends on its executors wait for it.
    pub(super) fn on_commit_refused(&mut self, call: CallId, now: Now) {
        self.on_hand_over_written(call, false, now);
        let refused = self.commit_queue.on_refused(call, now.mono);
        let detail = format!("call={call}; refused by the store, tried again record by record");
        self.log(FleetEvent::CommitFailed, detail);
        let Some(id) = refused else { return };
        if self.jobs.get(&id).is_some_and(|j| j.end.is_none()) {
            let detail = format!("job={id} given up: the store refuses its progress");
            self.log(FleetEvent::CommitFailed, detail);
            self.end_job(id, JobEnd::Failed, now);
        } else {
            let detail = format!("job={id} the store refuses its end; not recorded");
            self.log(FleetEvent::CommitFailed, detail);
            self.commit_queue.forget(id);
            self.renew_after_commit(now);
        }
    }

    /// Drops ended jobs past their retention, and cancellations whose job did not come within it, here and
    /// with the next commit in the store.
    pub(super) fn purge_ended(&mut self, now: Now) {
        let retention_ms = self.bounds.ended_retention_ms;
        let overdue = |_: &JobId, at: &mut Millis| now.mono > *at + retention_ms;
        for (id, _) in self.pending_cancels.extract_if(overdue) {
            self.commit_queue.mark_dirty(id, RecordChange::Deletion);
        }
        let expired = |(id, (_, at)): (&JobId, &(JobEnd, Millis))| {
            (now.mono > at + retention_ms).then_some(*id)
        };
        let expired: Vec<JobId> = self.ended_jobs.iter().filter_map(expired).collect();
        for id in expired {
            if !self.jobs.contains_key(&id) {
                self.ended_jobs.remove(&id);
                self.commit_queue.mark_dirty(id, RecordChange::Deletion);
            }
        }
    }
}

/// Returns how long a job may take by its objective, in ms: the estimate of its critical path,
/// stretched by its queue's factor, and the queue's fixed part.
fn objective(job: &Job) -> Millis {
    job.submission.queue.objective_of(job.critical_path_ms())
}

/// Returns the entries of a commit that a job's record takes, or more for a long record: as many as its
/// part of the longest value.
fn commit_weight(job: &Job, max_value_bytes: usize) -> usize {
    if job.end.is_some() {
        return 1 + usize::from(job.may_have_progress_record);
    }
    let entries = 1 + usize::from(job.large && !job.stored_large);
    let bytes_per_entry = (max_value_bytes / MAX_RECORD_WEIGHT).max(1);
    let bytes = job.max_progress_bytes();
    (bytes / bytes_per_entry).clamp(entries, MAX_RECORD_WEIGHT)
}
