//! The home role: durable jobs, idempotency keys and the limits of teams.

use {
    crate::{
        chart::{self, JobEvent, TaskEvent},
        core::{
            Epoch, Intent, IntentState, JobCall, JobId, JobKind, JobRecord, JobReply, JobSpec,
            JobState, LogEvent, Message, Millis, Node, NodeId, Out, Outcome, PlaceAsk, PoolName,
            RefuseReason, Report, Resources, ShardFree, ShardId, TaskId, TaskKind, TaskRecord,
            TaskRun, TaskSpec, TaskStage, TeamName, TokenStand, WorkerId,
            job_book::{JobSummary, SoftPhase, SoftTask, WaitKey, Waiter, trim_intents},
            token_home::AllowOut,
        },
    },
    rand::Rng,
    std::{collections::BTreeMap, sync::Arc},
};

/// Most asks of one team that one home has with owners at a time.
const MOST_ASKED: usize = 32;

/// How long a task's ask waits at an owner, in ms.
const ASK_WAIT_MS: Millis = 10_000;

/// Period after which an unanswered ask is repeated, in ms.
const REPEAT_MS: Millis = 1_000;

/// Age at which the summary of the own workers is made anew, in ms.
const SUMMARY_MS: Millis = 100;

/// How long a gang gathers its tasks, in ms.
const GATHER_MS: Millis = 1_500;

/// Shortest and longest pause of a job after a refusal, in ms.
const PAUSE_MS: std::ops::Range<Millis> = 100..800;

/// How long a refused call is remembered, so that a late repeat is not accepted, in ms.
const CALL_KEEP_MS: Millis = 60_000;

/// Ended jobs that a shard keeps for callers to read.
const ENDED_JOBS_KEPT: usize = 200;

impl Node {
    /// Acts on a ledger that was loaded or became durable.
    pub(super) fn after_ledger(&mut self, id: ShardId, now: Millis, out: &mut Out) {
        let Some(shard) = self.shards.get_mut(&id).filter(|s| s.ledger.ready()) else {
            return;
        };
        let first = !shard.jobs.loaded;
        self.follow_roster(id, out);
        if first {
            self.load_jobs(id);
        }
        self.answer_waiters(id, out);
        self.ask_marked(id, now, out);
    }

    /// Rebuilds the memory of jobs from their durable records.
    fn load_jobs(&mut self, id: ShardId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let mut gangs = Vec::new();
        let jobs = std::mem::take(&mut shard.ledger.value.jobs);
        for job in jobs.values().filter(|j| !j.state.ended()) {
            let gang = job.spec.kind == JobKind::Gang;
            if gang {
                gangs.push(job.id.clone());
            }
            for (index, task) in job.tasks.iter().enumerate() {
                if let Some(run) = &task.run {
                    let soft = recovering(job, index, run);
                    shard.jobs.soft.insert(run.id.clone(), soft);
                } else if task.stage == TaskStage::Waiting && !gang {
                    shard.jobs.wait(job, index);
                }
            }
        }
        shard.ledger.value.jobs = jobs;
        for gang in gangs {
            self.regather(id, &gang);
        }
    }

    fn answer_waiters(&mut self, id: ShardId, out: &mut Out) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let ledger = &shard.ledger;
        let jobs = &ledger.value.jobs;
        let change = ledger.last_change();
        let waiters = &mut shard.jobs.waiters;
        shard.jobs.cancels.retain(|(job, to, call)| {
            let ended = jobs.get(job).filter(|j| j.state.ended());
            if let Some(job) = ended {
                let body = JobReply::Job(summary(job, &BTreeMap::new()));
                let waiter = Waiter::Call {
                    to: to.clone(),
                    call: *call,
                    body,
                };
                waiters.push((change, waiter));
            }
            ended.is_none()
        });
        shard.jobs.waiters.retain(|(change, waiter)| {
            let durable = ledger.is_durable(*change);
            if durable {
                answer(waiter, out);
            }
            !durable
        });
    }

    /// Asks owners for the tasks whose marks became durable.
    fn ask_marked(&mut self, id: ShardId, now: Millis, out: &mut Out) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let ledger = &shard.ledger;
        let ready: Vec<TaskId> = shard
            .jobs
            .soft
            .iter()
            .filter(|(_, s)| matches!(s.phase, SoftPhase::Marking(c) if ledger.is_durable(c)))
            .map(|(task, _)| task.clone())
            .collect();
        for task in ready {
            if let Some(soft) = self.soft_mut(id, &task) {
                soft.phase = SoftPhase::Asked;
                soft.asked_at = now;
            }
            self.send_ask(id, &task, now, out);
        }
    }

    fn soft_mut(&mut self, id: ShardId, task: &TaskId) -> Option<&mut SoftTask> {
        self.shards.get_mut(&id)?.jobs.soft.get_mut(task)
    }

    /// Sends the message that a marked task's phase calls for.
    fn send_ask(&mut self, id: ShardId, task: &TaskId, now: Millis, out: &mut Out) {
        let me = self.id().clone();
        let table = &self.cluster.table;
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(soft) = shard.jobs.soft.get_mut(task) else {
            return;
        };
        let Some(job) = shard.ledger.value.jobs.get(&soft.job) else {
            return;
        };
        let Some(owner) = table.owner(soft.shard) else {
            return;
        };
        soft.sent_at = now;
        let message = match soft.phase {
            SoftPhase::Asked => Message::Place(PlaceAsk {
                spec: task_spec(task, job, soft.index, me),
                shard: Some((soft.shard, soft.epoch)),
                hold: job.spec.kind == JobKind::Gang,
                wait_ms: ASK_WAIT_MS,
            }),
            SoftPhase::Beginning => Message::Begin { task: task.clone() },
            SoftPhase::Stopping => Message::Release {
                task: task.clone(),
                shard: Some(soft.shard),
                finished: false,
            },
            SoftPhase::Marking(_)
            | SoftPhase::Recovering
            | SoftPhase::Held
            | SoftPhase::Running => return,
        };
        out.send(owner, message);
    }

    /// Marks waiting tasks.
    pub(super) fn pump_jobs(&mut self, now: Millis, out: &mut Out) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            if !self.shards[&id].ledger.ready() {
                continue;
            }
            if !self.stopping() {
                self.mark_waiting(id, now);
            }
        }
    }

    /// Repeats asks and breaks up gangs that gather too long.
    pub(super) fn repeat_jobs(&mut self, now: Millis, out: &mut Out) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            if self.shards[&id].ledger.ready() {
                self.repeat_asks(id, now, out);
                self.break_slow_gangs(id, now, out);
            }
        }
    }

    fn repeat_asks(&mut self, id: ShardId, now: Millis, out: &mut Out) {
        let late: Vec<TaskId> = self.shards[&id]
            .jobs
            .soft
            .iter()
            .filter(|(_, s)| now >= s.sent_at + REPEAT_MS)
            .map(|(task, _)| task.clone())
            .collect();
        for task in late {
            self.send_ask(id, &task, now, out);
        }
    }

    fn refresh_summary(&mut self, now: Millis) {
        if now >= self.summary_at + SUMMARY_MS {
            self.summary_at = now;
            self.summary = self.book.summary(now);
        }
    }

    fn mark_waiting(&mut self, id: ShardId, now: Millis) {
        if self.shards[&id].jobs.waiting.is_empty() {
            return;
        }
        let mut pending = self.pending_by_shard();
        let teams: Vec<TeamName> = self.shards[&id].jobs.waiting.keys().cloned().collect();
        for team in teams {
            let shard = &self.shards[&id];
            let asked = shard.jobs.asked(&shard.ledger.value.jobs, &team);
            let room = MOST_ASKED.saturating_sub(asked);
            if room == 0 {
                continue;
            }
            let heads: Vec<(WaitKey, JobId, usize)> = shard.jobs.waiting[&team]
                .iter()
                .filter(|(_, (job, _))| shard.jobs.paused.get(job).is_none_or(|t| now >= *t))
                .take(room)
                .map(|(key, (job, index))| (*key, job.clone(), *index))
                .collect();
            for (place, job, index) in heads {
                if self.mark(id, &job, index, &mut pending, now)
                    && let Some(shard) = self.shards.get_mut(&id)
                    && let Some(lane) = shard.jobs.waiting.get_mut(&team)
                {
                    lane.remove(&place);
                }
            }
            if let Some(shard) = self.shards.get_mut(&id) {
                shard.jobs.waiting.retain(|_, lane| !lane.is_empty());
            }
        }
    }

    /// Marks a task, or all tasks of a gang; returns whether its place in the order is used up.
    fn mark(
        &mut self,
        id: ShardId,
        job_id: &JobId,
        index: usize,
        pending: &mut BTreeMap<ShardId, u32>,
        now: Millis,
    ) -> bool {
        let Some(job) = self.shards[&id].ledger.value.jobs.get(job_id) else {
            return true;
        };
        let gang = job.spec.kind == JobKind::Gang;
        let indexes: Vec<usize> = if gang {
            (0..job.tasks.len()).collect()
        } else {
            vec![index]
        };
        let all_waiting = indexes
            .iter()
            .all(|i| job.tasks[*i].stage == TaskStage::Waiting);
        if job.state.ended() || job.state == JobState::Cancelling {
            return true;
        }
        if !all_waiting {
            return !gang;
        }
        let spec = job.spec.clone();
        let mut targets = Vec::new();
        for _ in &indexes {
            let Some(target) = self.choose_shard(&spec.pool, &spec.need, pending, now) else {
                self.pause(id, job_id, now);
                return false;
            };
            *pending.entry(target).or_default() += 1;
            targets.push(target);
        }
        self.write_marks(id, job_id, &indexes, &targets, now);
        true
    }

    fn write_marks(
        &mut self,
        id: ShardId,
        job_id: &JobId,
        indexes: &[usize],
        targets: &[ShardId],
        now: Millis,
    ) {
        let runs: Vec<TaskRun> = targets
            .iter()
            .map(|shard| TaskRun {
                id: self.new_task_id(),
                shard: *shard,
                epoch: self.cluster.table.entry(*shard).epoch,
            })
            .collect();
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let change = shard.ledger.touch();
        let Some(job) = shard.ledger.value.jobs.get_mut(job_id) else {
            return;
        };
        chart::job().follow(&mut job.state, JobEvent::Marked);
        for (index, run) in indexes.iter().zip(runs) {
            let soft = SoftTask {
                phase: SoftPhase::Marking(change),
                sent_at: now,
                ..recovering(job, *index, &run)
            };
            shard.jobs.soft.insert(run.id.clone(), soft);
            chart::task().follow(&mut job.tasks[*index].stage, TaskEvent::Marked);
            job.tasks[*index].run = Some(run);
        }
    }

    fn new_task_id(&mut self) -> TaskId {
        let (a, b): (u64, u64) = (self.rng.random(), self.rng.random());
        TaskId::from(format!("{a:016x}{b:016x}"))
    }

    /// Counts the asks that have not led to a placement yet, by shard.
    fn pending_by_shard(&self) -> BTreeMap<ShardId, u32> {
        let mut pending = BTreeMap::new();
        for soft in self.shards.values().flat_map(|s| s.jobs.soft.values()) {
            if matches!(soft.phase, SoftPhase::Marking(_) | SoftPhase::Asked) {
                *pending.entry(soft.shard).or_default() += 1;
            }
        }
        pending
    }

    /// Chooses a shard for a task by the owners' summaries; `pending` counts against room.
    fn choose_shard(
        &mut self,
        pool: &PoolName,
        need: &Resources,
        pending: &BTreeMap<ShardId, u32>,
        now: Millis,
    ) -> Option<ShardId> {
        self.refresh_summary(now);
        let own = &self.summary;
        let table = &self.cluster.table;
        let me = &self.cluster.me.id;
        let peers = self.cluster.peers.iter();
        let theirs = peers.flat_map(|(id, v)| v.free.iter().map(move |f| (id, f)));
        let all = own.iter().map(|f| (me, f)).chain(theirs);
        let fitting: Vec<&ShardFree> = all
            .filter(|(id, f)| table.owner(f.shard) == Some(*id))
            .map(|(_, f)| f)
            .filter(|f| f.pool == *pool && f.largest.holds(need))
            .collect();
        let weight = |f: &ShardFree| {
            let used = pending.get(&f.shard).copied().unwrap_or(0);
            let room = f.free_slots.saturating_sub(used * need.slots.max(1));
            if f.best.holds(need) { 1 + 16 * room } else { 1 }
        };
        let total: u32 = fitting.iter().map(|f| weight(f)).sum();
        if total == 0 {
            return None;
        }
        let mut at = self.rng.random_range(0..total);
        for f in fitting {
            let w = weight(f);
            if at < w {
                return Some(f.shard);
            }
            at -= w;
        }
        None
    }

    fn pause(&mut self, id: ShardId, job: &JobId, now: Millis) {
        let until = now + self.rng.random_range(PAUSE_MS);
        if let Some(shard) = self.shards.get_mut(&id) {
            shard.jobs.paused.insert(job.clone(), until);
        }
    }

    /// Finds the owned shard that marked a task.
    fn shard_of_run(&self, task: &TaskId) -> Option<ShardId> {
        let found = self
            .shards
            .iter()
            .find(|(_, s)| s.jobs.soft.contains_key(task));
        found.map(|(id, _)| *id)
    }

    /// Notes that an owner placed a job's task; returns false if no job here marked it.
    pub(super) fn job_placed(
        &mut self,
        task: &TaskId,
        worker: &WorkerId,
        now: Millis,
        out: &mut Out,
    ) -> bool {
        let Some(id) = self.shard_of_run(task) else {
            return false;
        };
        let gang = self.gang_of(id, task);
        let Some(soft) = self.soft_mut(id, task) else {
            return false;
        };
        soft.worker = Some(worker.clone());
        soft.phase = match (soft.phase, &gang) {
            (SoftPhase::Asked, Some(_)) => SoftPhase::Held,
            (SoftPhase::Asked | SoftPhase::Beginning | SoftPhase::Recovering, _) => {
                SoftPhase::Running
            }
            (phase, _) => phase,
        };
        if let Some(job) = gang {
            self.begin_gang(id, &job, now, out);
        }
        true
    }

    fn gang_of(&self, id: ShardId, task: &TaskId) -> Option<JobId> {
        let shard = self.shards.get(&id)?;
        let job = shard
            .ledger
            .value
            .jobs
            .get(&shard.jobs.soft.get(task)?.job)?;
        (job.spec.kind == JobKind::Gang).then(|| job.id.clone())
    }

    /// Starts a gang once all of its tasks are held.
    fn begin_gang(&mut self, id: ShardId, job: &JobId, now: Millis, out: &mut Out) {
        let Some(shard) = self.shards.get(&id) else {
            return;
        };
        let runs = shard.jobs.of_job(job);
        let all = shard
            .ledger
            .value
            .jobs
            .get(job)
            .map_or(0, |j| j.tasks.len());
        let held = runs
            .iter()
            .all(|t| shard.jobs.soft[t].phase == SoftPhase::Held);
        if !held || runs.len() < all {
            return;
        }
        for task in runs {
            if let Some(soft) = self.soft_mut(id, &task) {
                soft.phase = SoftPhase::Beginning;
            }
            self.send_ask(id, &task, now, out);
        }
    }

    fn break_slow_gangs(&mut self, id: ShardId, now: Millis, out: &mut Out) {
        let shard = &self.shards[&id];
        let slow: Vec<JobId> = shard
            .jobs
            .soft
            .values()
            .filter(|s| matches!(s.phase, SoftPhase::Held | SoftPhase::Asked))
            .filter(|s| now >= s.asked_at + GATHER_MS)
            .filter(|s| {
                let job = shard.ledger.value.jobs.get(&s.job);
                job.is_some_and(|j| j.spec.kind == JobKind::Gang)
            })
            .map(|s| s.job.clone())
            .collect();
        for job in slow {
            self.break_gang(id, &job, now, out);
        }
    }

    /// Has all tasks of a gang given up, so that it starts again as a whole.
    fn break_gang(&mut self, id: ShardId, job: &JobId, now: Millis, out: &mut Out) {
        let runs = self.shards[&id].jobs.of_job(job);
        if !runs.is_empty() {
            out.log(LogEvent::GangReleased, job.to_string());
        }
        self.pause(id, job, now);
        for task in runs {
            self.stop_run(id, &task, now, out);
        }
    }

    /// Has a marked task given up by its owner.
    fn stop_run(&mut self, id: ShardId, task: &TaskId, now: Millis, out: &mut Out) {
        let Some(soft) = self.soft_mut(id, task) else {
            return;
        };
        match soft.phase {
            SoftPhase::Stopping => return,
            SoftPhase::Marking(_) => {
                self.end_run(id, task, Outcome::NotRun, now, out);
                return;
            }
            SoftPhase::Recovering => {}
            _ => soft.phase = SoftPhase::Stopping,
        }
        self.send_ask(id, task, now, out);
    }

    /// Takes a refusal; returns false if no job here marked the task.
    ///
    /// A node that does not own the shard cannot say what its owner did with an earlier
    /// copy of the ask; the owner's report will.
    pub(super) fn job_refused(
        &mut self,
        task: &TaskId,
        reason: RefuseReason,
        now: Millis,
        out: &mut Out,
    ) -> bool {
        let Some(id) = self.shard_of_run(task) else {
            return false;
        };
        let phase = self.shards[&id].jobs.soft[task].phase;
        if matches!(phase, SoftPhase::Marking(_)) || reason == RefuseReason::NotOwner {
            return true;
        }
        self.end_run(id, task, Outcome::NotRun, now, out);
        true
    }

    /// Takes the end of a task from the owner that ran it.
    pub(super) fn job_task_ended(
        &mut self,
        from: &NodeId,
        task: &TaskId,
        (outcome, home): (Outcome, Option<ShardId>),
        now: Millis,
        out: &mut Out,
    ) {
        let task = task.clone();
        let Some(id) = self.shard_of_run(&task) else {
            self.note_known_end(from, task, home);
            return;
        };
        let change = self.end_run(id, &task, outcome, now, out);
        if let Some(shard) = self.shards.get_mut(&id) {
            let waiter = Waiter::Ended {
                to: from.clone(),
                task,
            };
            shard.jobs.waiters.push((change, waiter));
        }
    }

    /// Acknowledges an end that is recorded already.
    ///
    /// Only the current home may do so, which a further write of its ledger proves.
    fn note_known_end(&mut self, from: &NodeId, task: TaskId, home: Option<ShardId>) {
        let owned = home.and_then(|id| self.shards.get_mut(&id));
        let Some(shard) = owned.filter(|s| s.jobs.loaded) else {
            return;
        };
        let change = shard.ledger.touch();
        let waiter = Waiter::Ended {
            to: from.clone(),
            task,
        };
        shard.jobs.waiters.push((change, waiter));
    }

    /// Records how a run ended; returns the change that makes it durable.
    fn end_run(
        &mut self,
        id: ShardId,
        task: &TaskId,
        outcome: Outcome,
        now: Millis,
        out: &mut Out,
    ) -> u64 {
        let Some(shard) = self.shards.get_mut(&id) else {
            return 0;
        };
        let Some(soft) = shard.jobs.soft.remove(task) else {
            return 0;
        };
        let change = shard.ledger.touch();
        let Some(job) = shard.ledger.value.jobs.get_mut(&soft.job) else {
            return change;
        };
        let cancelling = job.state == JobState::Cancelling;
        let record = &mut job.tasks[soft.index];
        record.run = None;
        let event = task_event(&job.spec, record, outcome, cancelling);
        chart::task().follow(&mut record.stage, event);
        let (stage, gang) = (record.stage, job.spec.kind == JobKind::Gang);
        let again = stage == TaskStage::Waiting && !gang;
        if again {
            let job = job.clone();
            shard.jobs.wait(&job, soft.index);
        }
        if outcome != Outcome::Done && stage == TaskStage::Waiting {
            self.pause(id, &soft.job, now);
        }
        if gang && !cancelling {
            if outcome != Outcome::Done {
                self.break_gang(id, &soft.job, now, out);
            }
            self.regather(id, &soft.job);
        }
        self.finish_job(id, &soft.job);
        change
    }

    /// Queues a gang again once none of its tasks is left anywhere.
    ///
    /// A gang that cannot run as a whole any more, because a task failed for good or ran
    /// and must not run again, gets no further runs.
    fn regather(&mut self, id: ShardId, job: &JobId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(record) = shard.ledger.value.jobs.get_mut(job) else {
            return;
        };
        let partly = record.count(TaskStage::Waiting) > 0;
        if record.count(TaskStage::Marked) > 0 || !partly {
            return;
        }
        let done = record.count(TaskStage::Done) > 0;
        let ended = record.count(TaskStage::Failed) + record.count(TaskStage::Unknown) > 0;
        if ended || (done && !record.spec.idempotent) {
            record.close_waiting();
            return;
        }
        for task in &mut record.tasks {
            chart::task().follow(&mut task.stage, TaskEvent::Regathered);
        }
        let record = record.clone();
        if !shard.jobs.is_waiting(&record) {
            shard.jobs.wait(&record, 0);
        }
    }

    /// Ends a job whose tasks have all ended.
    fn finish_job(&mut self, id: ShardId, job_id: &JobId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(job) = shard.ledger.value.jobs.get_mut(job_id) else {
            return;
        };
        let open = job.count(TaskStage::Waiting) + job.count(TaskStage::Marked);
        if open > 0 || job.state.ended() {
            return;
        }
        let event = if job.count(TaskStage::Unknown) > 0 {
            JobEvent::SomeUnknown
        } else if job.count(TaskStage::Failed) + job.count(TaskStage::Cancelled) > 0 {
            JobEvent::SomeFailed
        } else {
            JobEvent::AllDone
        };
        chart::job().follow(&mut job.state, event);
        shard.jobs.paused.remove(job_id);
        shard.ledger.touch();
        trim_ended(&mut shard.ledger.value.jobs, job_id);
    }

    /// Answers a call to a job or key whose home is here.
    pub(super) fn home_call(
        &mut self,
        from: &NodeId,
        call: u64,
        body: JobCall,
        now: Millis,
        out: &mut Out,
    ) {
        let id = body.home();
        let store_ok = self.cluster.store_ok(now);
        let stopping = self.stopping();
        let call_key = TaskId::from(format!("call {call} of {from}"));
        let Some(shard) = self.shards.get_mut(&id).filter(|s| s.ledger.ready()) else {
            return;
        };
        let writes = !matches!(
            body,
            JobCall::Get { .. } | JobCall::List { cancel: false, .. }
        );
        if writes && (!store_ok || stopping || !shard.ledger.has_room()) {
            let reason = match (store_ok, stopping) {
                (false, _) => RefuseReason::StoreDown,
                (true, true) => RefuseReason::Stopping,
                (true, false) => RefuseReason::QueueFull,
            };
            if !already_known(&shard.ledger.value.jobs, &body) {
                self.keep_settled(&call_key, Outcome::NotRun, CALL_KEEP_MS, now);
                let body = JobReply::Refused(reason);
                out.send(from, Message::Answer { call, body });
            }
            return;
        }
        if self.settled.contains_key(&call_key) {
            return;
        }
        match body {
            JobCall::Submit {
                id: job,
                team,
                spec,
            } => self.submit(from, call, job, team, spec),
            JobCall::Get { id: job, team } => {
                let body = find(&shard.ledger.value.jobs, &job, &team)
                    .map_or(JobReply::NotFound, |j| {
                        JobReply::Job(summary(j, &shard.jobs.soft))
                    });
                out.send(from, Message::Answer { call, body });
            }
            JobCall::Cancel { id: job, team } => {
                if find(&shard.ledger.value.jobs, &job, &team).is_none() {
                    let body = JobReply::NotFound;
                    out.send(from, Message::Answer { call, body });
                    return;
                }
                if !shard
                    .jobs
                    .cancels
                    .iter()
                    .any(|c| c.2 == call && c.1 == *from)
                {
                    shard.jobs.cancels.push((job.clone(), from.clone(), call));
                }
                self.cancel(id, &job, now, out);
            }
            JobCall::List {
                team,
                label,
                cancel,
                ..
            } => {
                self.list(from, call, id, &team, label.as_ref(), cancel, now, out);
            }
            JobCall::Claim { key, claim } => self.claim(from, call, id, key, claim, out),
            JobCall::Settle { key, claim, status } => {
                self.settle_key(from, call, id, &key, claim, status);
            }
        }
        self.answer_waiters(id, out);
    }

    fn submit(&mut self, from: &NodeId, call: u64, id: JobId, team: TeamName, spec: JobSpec) {
        let Some(shard) = self.shards.get_mut(&ShardId::of(id.as_str())) else {
            return;
        };
        let change = shard.ledger.touch();
        if !shard.ledger.value.jobs.contains_key(&id) {
            let job = JobRecord::new(id.clone(), team, spec);
            if job.spec.kind == JobKind::Gang {
                shard.jobs.wait(&job, 0);
            } else {
                for index in 0..job.tasks.len() {
                    shard.jobs.wait(&job, index);
                }
            }
            shard.ledger.value.jobs.insert(id.clone(), job);
        }
        let body = JobReply::Accepted { id };
        let waiter = Waiter::Call {
            to: from.clone(),
            call,
            body,
        };
        shard.jobs.waiters.push((change, waiter));
    }

    /// Cancels a job: what waits ends at once, what may run is stopped first.
    fn cancel(&mut self, id: ShardId, job_id: &JobId, now: Millis, out: &mut Out) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(job) = shard.ledger.value.jobs.get_mut(job_id) else {
            return;
        };
        if job.state.ended() || job.state == JobState::Cancelling {
            return;
        }
        chart::job().follow(&mut job.state, JobEvent::CancelAsked);
        job.close_waiting();
        if let Some(lane) = shard.jobs.waiting.get_mut(&job.team) {
            lane.retain(|_, (waiting, _)| waiting != job_id);
        }
        shard.ledger.touch();
        for task in shard.jobs.of_job(job_id) {
            self.stop_run(id, &task, now, out);
        }
        self.finish_job(id, job_id);
    }

    #[allow(clippy::too_many_arguments)]
    fn list(
        &mut self,
        from: &NodeId,
        call: u64,
        id: ShardId,
        team: &TeamName,
        label: Option<&Arc<str>>,
        cancel: bool,
        now: Millis,
        out: &mut Out,
    ) {
        let Some(shard) = self.shards.get(&id) else {
            return;
        };
        let of = shard.ledger.value.jobs.values();
        let chosen: Vec<JobId> = of
            .filter(|j| j.team == *team && label.is_none_or(|l| j.spec.label == *l))
            .map(|j| j.id.clone())
            .collect();
        if cancel {
            for job in &chosen {
                self.cancel(id, job, now, out);
            }
        }
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let jobs = &shard.ledger.value.jobs;
        let found = chosen.iter().filter_map(|job| jobs.get(job));
        let body = JobReply::Jobs(found.map(|j| summary(j, &shard.jobs.soft)).collect());
        if cancel {
            let change = shard.ledger.touch();
            let waiter = Waiter::Call {
                to: from.clone(),
                call,
                body,
            };
            shard.jobs.waiters.push((change, waiter));
        } else {
            out.send(from, Message::Answer { call, body });
        }
    }

    fn claim(
        &mut self,
        from: &NodeId,
        call: u64,
        id: ShardId,
        key: TaskId,
        claim: u64,
        out: &mut Out,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let known = shard.ledger.value.intents.get(&key);
        if let Some(intent) = known.filter(|i| i.claim != claim) {
            let body = JobReply::Used(intent.state);
            out.send(from, Message::Answer { call, body });
            return;
        }
        if known.is_none() {
            let last = shard.ledger.value.intents.values().map(|i| i.number).max();
            let number = last.unwrap_or(0) + 1;
            let intent = Intent {
                claim,
                state: IntentState::Marked,
                number,
            };
            shard.ledger.value.intents.insert(key, intent);
            trim_intents(&mut shard.ledger.value.intents);
        }
        let change = shard.ledger.touch();
        let waiter = Waiter::Call {
            to: from.clone(),
            call,
            body: JobReply::Claimed,
        };
        shard.jobs.waiters.push((change, waiter));
    }

    fn settle_key(
        &mut self,
        from: &NodeId,
        call: u64,
        id: ShardId,
        key: &TaskId,
        claim: u64,
        status: Option<u16>,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let intents = &mut shard.ledger.value.intents;
        let own = intents.get(key).is_some_and(|i| i.claim == claim);
        match status {
            Some(status) if own => {
                if let Some(intent) = intents.get_mut(key) {
                    intent.state = IntentState::Ran(status);
                }
            }
            None if own => {
                intents.remove(key);
            }
            _ => {}
        }
        let change = shard.ledger.touch();
        let waiter = Waiter::Call {
            to: from.clone(),
            call,
            body: JobReply::Settled,
        };
        shard.jobs.waiters.push((change, waiter));
    }

    /// Takes an owner's report: rebuilds lends and settles tasks that were with earlier owners.
    pub(super) fn report(
        &mut self,
        from: &NodeId,
        number: u64,
        report: &Report,
        now: Millis,
        out: &mut Out,
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
                let stands: Vec<TokenStand> = report
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
            out.send(from, Message::ReportNoted { number });
        }
    }

    /// Settles the runs that were marked on a shard before its current owner took it.
    fn settle_runs(
        &mut self,
        home: ShardId,
        (id, epoch): (ShardId, Epoch),
        present: &[TaskId],
        now: Millis,
        out: &mut Out,
    ) {
        let concerned: Vec<(TaskId, SoftPhase, Epoch)> = self.shards[&home]
            .jobs
            .soft
            .iter()
            .filter(|(_, s)| s.shard == id)
            .filter(|(_, s)| s.epoch < epoch || s.phase == SoftPhase::Recovering)
            .map(|(task, s)| (task.clone(), s.phase, s.epoch))
            .collect();
        for (task, phase, marked) in concerned {
            if present.contains(&task) {
                if let Some(soft) = self.soft_mut(home, &task) {
                    soft.epoch = epoch;
                    if phase != SoftPhase::Stopping {
                        soft.phase = SoftPhase::Running;
                    }
                }
                self.stop_cancelled(home, &task, now, out);
            } else if phase == SoftPhase::Recovering && marked == epoch {
                if let Some(soft) = self.soft_mut(home, &task) {
                    soft.phase = SoftPhase::Asked;
                    soft.asked_at = now;
                }
                self.stop_cancelled(home, &task, now, out);
                self.send_ask(home, &task, now, out);
            } else if marked < epoch {
                let asked_only = self.gang_of(home, &task).is_some() && phase == SoftPhase::Asked;
                let outcome = match phase {
                    SoftPhase::Marking(_) | SoftPhase::Held => Outcome::NotRun,
                    _ if asked_only => Outcome::NotRun,
                    _ => Outcome::Lost,
                };
                self.end_run(home, &task, outcome, now, out);
            }
        }
    }

    fn stop_cancelled(&mut self, home: ShardId, task: &TaskId, now: Millis, out: &mut Out) {
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
        team: &TeamName,
        (id, epoch): (ShardId, Epoch),
        home_epoch: Epoch,
        wish: u32,
        now: Millis,
        out: &mut Out,
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
        stand: &TokenStand,
        now: Millis,
        out: &mut Out,
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

    fn send_allows(&self, home: ShardId, allows: Vec<AllowOut>, out: &mut Out) {
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
    pub(super) fn pump_tokens(&mut self, now: Millis, out: &mut Out) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for id in ids {
            if let Some(shard) = self.shards.get_mut(&id) {
                let allows = shard.home.resend(now);
                self.send_allows(id, allows, out);
            }
        }
    }
}

fn recovering(job: &JobRecord, index: usize, run: &TaskRun) -> SoftTask {
    SoftTask {
        job: job.id.clone(),
        index,
        shard: run.shard,
        epoch: run.epoch,
        phase: SoftPhase::Recovering,
        sent_at: 0,
        asked_at: 0,
        worker: None,
    }
}

fn task_spec(task: &TaskId, job: &JobRecord, index: usize, asker: NodeId) -> TaskSpec {
    TaskSpec {
        id: task.clone(),
        team: job.team.clone(),
        pool: job.spec.pool.clone(),
        need: job.spec.need,
        kind: TaskKind::Job,
        priority: job.spec.priority,
        job: Some(job.id.clone()),
        part: u32::try_from(index).unwrap_or(u32::MAX),
        run_ms: job.spec.run_ms,
        pack: job.spec.pack,
        asker,
    }
}

/// Decides what becomes of a task after a run.
fn task_event(
    spec: &JobSpec,
    record: &mut TaskRecord,
    outcome: Outcome,
    cancelling: bool,
) -> TaskEvent {
    let service = spec.kind == JobKind::Service;
    match outcome {
        Outcome::Done if !service => TaskEvent::Done,
        _ if cancelling => TaskEvent::Cancelled,
        Outcome::NotRun | Outcome::Done => TaskEvent::RunAgain,
        Outcome::Lost | Outcome::Stopped if spec.idempotent => TaskEvent::RunAgain,
        Outcome::Lost | Outcome::Stopped => TaskEvent::LostForGood,
        Outcome::Failed if !spec.idempotent => TaskEvent::FailedForGood,
        Outcome::Failed => {
            record.failures += 1;
            if service || record.failures <= spec.retries {
                TaskEvent::RunAgain
            } else {
                TaskEvent::FailedForGood
            }
        }
    }
}

fn answer(waiter: &Waiter, out: &mut Out) {
    match waiter {
        Waiter::Call { to, call, body } => {
            let body = body.clone();
            out.send(to, Message::Answer { call: *call, body });
        }
        Waiter::Ended { to, task } => {
            out.send(to, Message::EndedNoted { task: task.clone() });
        }
    }
}

fn already_known(jobs: &BTreeMap<JobId, JobRecord>, call: &JobCall) -> bool {
    matches!(call, JobCall::Submit { id, .. } if jobs.contains_key(id))
}

fn find<'a>(
    jobs: &'a BTreeMap<JobId, JobRecord>,
    id: &JobId,
    team: &TeamName,
) -> Option<&'a JobRecord> {
    jobs.get(id).filter(|j| j.team == *team)
}

/// Describes a job for callers.
pub fn summary(job: &JobRecord, soft: &BTreeMap<TaskId, SoftTask>) -> JobSummary {
    let runs = job.tasks.iter().filter_map(|t| t.run.as_ref());
    JobSummary {
        id: job.id.clone(),
        team: job.team.clone(),
        queue: job.spec.queue.clone(),
        label: job.spec.label.clone(),
        state: job.state,
        tasks: job.tasks.len(),
        waiting: job.count(TaskStage::Waiting),
        marked: job.count(TaskStage::Marked),
        done: job.count(TaskStage::Done),
        failed: job.count(TaskStage::Failed),
        workers: runs
            .filter_map(|r| soft.get(&r.id)?.worker.clone())
            .collect(),
    }
}

/// Forgets ended jobs beyond [`ENDED_JOBS_KEPT`], never `keep`.
fn trim_ended(jobs: &mut BTreeMap<JobId, JobRecord>, keep: &JobId) {
    let ended: Vec<JobId> = jobs
        .values()
        .filter(|j| j.state.ended() && j.id != *keep)
        .map(|j| j.id.clone())
        .collect();
    let excess = ended.len().saturating_sub(ENDED_JOBS_KEPT);
    for id in ended.into_iter().take(excess) {
        jobs.remove(&id);
    }
}
