//! Jobs of the cell: accepted, cancelled, ended, written to the store.

use {
    crate::{
        core::{CallId, Millis},
        fleet::{
            Cell, CellEffect, FleetEvent, Job, JobEnd, JobId, JobProgress, JobRecord, Now, Roster,
            RosterEntry, StoreWrite, Submission,
        },
    },
    std::sync::Arc,
};

/// Seconds of its rate that an organisation may send at once and still be served in turn.
const RATE_BURST_S: u64 = 2;

impl Cell {
    /// Adds an accepted job.
    pub(super) fn add_job(
        &mut self,
        submission: Submission,
        progress: Option<&JobProgress>,
        recovered: bool,
        now: Now,
    ) {
        let id = submission.id;
        if self.jobs.contains_key(&id) || self.ended.contains_key(&id) {
            return;
        }
        let mut job = Job::new(submission, progress, now.unix);
        let unknown = self
            .executors
            .values()
            .any(|e| e.unknown_runs.keys().any(|t| t.step.job == id));
        job.recovered = recovered || unknown;
        job.over_rate = self.exceeds_rate(job.submission.tenant.as_ref(), now.mono);
        job.received_at = now.mono;
        job.due = now.mono + objective(&job);
        let (recovered, over_rate) = (job.recovered, job.over_rate);
        let due_in_ms = job.due - now.mono;
        self.log(
            FleetEvent::JobQueued,
            format!("job={id} inherited={recovered} excess={over_rate} due_in_ms={due_in_ms}"),
        );
        self.jobs.insert(id, job);
        if unknown {
            self.adopt_unknown_runs(id, now);
        }
        if self.pending_cancels.remove(&id).is_some() {
            self.cancel(id, now);
        }
    }

    /// Tells whether a job exceeds what its organisation is owed a second.
    fn exceeds_rate(&mut self, tenant: Option<&Arc<str>>, now: Millis) -> bool {
        let Some(tenant) = tenant else { return false };
        let Some(rule) = self.config.tenants.get(tenant) else {
            return false;
        };
        let rate = u64::from(rule.weight.max(1));
        let full = rate * RATE_BURST_S * 1000;
        let entry = self.rate_buckets.entry(tenant.clone());
        let (tokens, at) = entry.or_insert((full, now));
        *tokens = full.min(*tokens + now.saturating_sub(*at) * rate);
        *at = now;
        if *tokens < 1000 {
            return true;
        }
        *tokens -= 1000;
        false
    }

    /// Cancels a job: nothing of it starts, what runs is stopped.
    pub(super) fn cancel(&mut self, id: JobId, now: Now) {
        if self.ended.contains_key(&id) {
            return;
        }
        if !self.jobs.contains_key(&id) {
            self.pending_cancels.insert(id, now.mono);
            return;
        }
        self.log(FleetEvent::JobCancelled, format!("job={id}"));
        self.end_job(id, JobEnd::Cancelled, now);
    }

    /// Decides a job's outcome and stops what still runs of it.
    pub(super) fn end_job(&mut self, id: JobId, end: JobEnd, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        job.end = Some(end);
        self.commit_queue.mark_dirty(id);
        self.stop_all(id, now);
    }

    /// Orders a stop of every run of a job.
    fn stop_all(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for (executor, task) in job.active_runs() {
            self.stop_run(&executor, task, now);
        }
    }

    /// Ends a job when its last task is done, or drops it when nothing is left to do.
    pub(super) fn try_finish_job(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.end.is_none() {
            if job.complete() {
                self.end_job(id, JobEnd::Completed, now);
            }
            return;
        }
        if job.end_durable && !job.has_runs() {
            self.jobs.remove(&id);
        }
    }

    /// Sends the next commit if there is something to write.
    pub(super) fn send_commit(&mut self, now: Now) {
        let jobs = &self.jobs;
        let ended = &self.ended;
        let entries = |id: JobId| {
            let ends = jobs.get(&id).is_none_or(|j| j.end.is_some());
            1 + usize::from(ends || ended.contains_key(&id))
        };
        let Some(taken) = self.commit_queue.next_batch(now.mono, entries) else {
            return;
        };
        let mut writes: Vec<StoreWrite> = taken
            .iter()
            .filter_map(|id| self.write_of(*id, now))
            .collect();
        if self.commit_queue.roster_in_flight {
            writes.push(self.roster_write());
        }
        let call = self.next_call();
        self.commit_queue.on_sent(call, taken);
        self.effects.push(CellEffect::Commit { call, writes });
    }

    fn write_of(&self, id: JobId, now: Now) -> Option<StoreWrite> {
        let Some(job) = self.jobs.get(&id) else {
            return (!self.ended.contains_key(&id)).then_some(StoreWrite::Delete { job: id });
        };
        let Some(end) = job.end else {
            let progress = job.progress();
            return Some(StoreWrite::Progress { job: id, progress });
        };
        let record = Box::new(JobRecord::Ended {
            end,
            queue: job.submission.queue.name.clone(),
            tenant: job.submission.tenant.clone(),
            ended_unix_ms: now.unix,
        });
        Some(StoreWrite::Ended { job: id, record })
    }

    fn roster_write(&mut self) -> StoreWrite {
        self.roster_sent = self.executors.keys().cloned().collect();
        let entry = |e: &crate::fleet::Executor| RosterEntry {
            id: e.info.id.clone(),
            address: e.info.address.clone(),
            pool: e.info.pool.clone(),
        };
        StoreWrite::Roster(Roster {
            executors: self.executors.values().map(entry).collect(),
        })
    }

    /// Takes in the outcome of a commit.
    pub(super) fn on_commit_result(&mut self, call: CallId, ok: bool, now: Now) {
        let Some((jobs, roster)) = self.commit_queue.on_result(call, ok, now.mono) else {
            if !ok {
                self.log(
                    FleetEvent::CommitFailed,
                    format!("call={call}; tried again"),
                );
            }
            return;
        };
        if roster {
            self.needs_placement = true;
            self.roster = std::mem::take(&mut self.roster_sent).into_iter().collect();
        }
        for id in jobs {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some(end) = job.end else { continue };
            if !self.commit_queue.is_durable(id) || job.end_durable {
                continue;
            }
            job.end_durable = true;
            self.ended.insert(id, (end, now.mono));
            self.log(FleetEvent::JobEnded, format!("job={id} end={end:?}"));
            self.try_finish_job(id, now);
        }
        self.renew_after_commit(now);
    }

    /// Forgets ended jobs whose state need not be kept any longer.
    pub(super) fn purge_ended(&mut self, now: Now) {
        let keep = self.bounds.ended_retention_ms;
        let old =
            |(id, (_, at)): (&JobId, &(JobEnd, Millis))| (now.mono > at + keep).then_some(*id);
        let old: Vec<JobId> = self.ended.iter().filter_map(old).collect();
        for id in old {
            if !self.jobs.contains_key(&id) {
                self.ended.remove(&id);
                self.commit_queue.mark_dirty(id);
            }
        }
    }
}

/// Returns how long a job may take by its objective, in ms, as far as estimates tell.
fn objective(job: &Job) -> Millis {
    let rule = &job.submission.queue;
    let mut chain: Vec<Millis> = Vec::new();
    for step in &job.submission.spec.steps {
        let before = step.depends_on.iter().map(|s| chain.get(usize::from(*s)));
        let longest = before.flatten().max().copied().unwrap_or(0);
        chain.push(longest + step.estimate_ms);
    }
    let longest = chain.into_iter().max().unwrap_or(0);
    rule.objective_ms + longest * rule.stretch_milli / 1000
}
