//! A worker: tasks under a fenced lease with an end by the worker's own clock.

use {
    dragonflyferry::core::{
        EndedTask, FencingToken, Millis, TaskId, TaskKind, TaskOutcome, TaskSpec, VmRecord,
        WorkerOp, WorkerReply,
    },
    std::collections::BTreeMap,
};

/// A task that runs.
#[derive(Clone, Debug)]
pub struct Run {
    pub spec: TaskSpec,
    pub fence: FencingToken,
    /// When it ends by itself; `None` for services and requests.
    pub ends_at: Option<Millis>,
}

/// State of one worker process.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    pub record: VmRecord,
    pub fence: FencingToken,
    lease_until: Option<Millis>,
    pub running: BTreeMap<TaskId, Run>,
    /// Every task id that was started or refused for good, with its outcome once ended.
    seen: BTreeMap<TaskId, Option<TaskOutcome>>,
    events: BTreeMap<u64, EndedTask>,
    last_event: u64,
    /// Every task that it starts fails at once.
    pub broken: bool,
    /// Each start, in order, for checks.
    pub started: Vec<TaskSpec>,
    /// Nothing ends before this time.
    due: Millis,
}

impl WorkerModel {
    /// Creates an idle worker without a lease.
    pub fn new(record: VmRecord) -> Self {
        Self {
            record,
            fence: FencingToken::default(),
            lease_until: None,
            running: BTreeMap::new(),
            seen: BTreeMap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            broken: false,
            started: Vec::new(),
            due: 0,
        }
    }

    /// Lets time pass: ends due tasks, and all tasks if the lease has lapsed.
    pub fn tick(&mut self, now: Millis) {
        if now < self.due {
            return;
        }
        self.end_due(now);
        let ends = self.running.values().filter_map(|r| r.ends_at);
        let next = ends.chain(self.lease_until).min();
        self.due = next.unwrap_or(Millis::MAX);
    }

    fn end_due(&mut self, now: Millis) {
        let due: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, r)| r.ends_at.is_some_and(|t| now >= t))
            .map(|(id, _)| id.clone())
            .collect();
        let outcome = if self.broken {
            TaskOutcome::Failed
        } else {
            TaskOutcome::Done
        };
        for task in due {
            self.end(&task, outcome);
        }
        if self.lease_until.is_some_and(|until| now >= until) {
            self.lease_until = None;
            let all: Vec<TaskId> = self.running.keys().cloned().collect();
            for task in all {
                self.end(&task, TaskOutcome::Lost);
            }
        }
    }

    /// Carries out a call; `None` holds a renewal open until something ends.
    pub fn apply(&mut self, op: &WorkerOp, now: Millis) -> Option<WorkerReply> {
        self.tick(now);
        let fence = match op {
            WorkerOp::Open { fence, .. }
            | WorkerOp::Renew { fence, .. }
            | WorkerOp::Start { fence, .. }
            | WorkerOp::Stop { fence, .. } => *fence,
        };
        if fence < self.fence {
            return Some(WorkerReply::Fenced {
                highest_fence: self.fence,
            });
        }
        match op {
            WorkerOp::Open {
                ttl_ms,
                lease_expires_at,
                ..
            } => Some(self.open(fence, *ttl_ms, *lease_expires_at, now)),
            WorkerOp::Renew {
                lease_expires_at,
                last_event,
                acked_event,
                ..
            } => self.renew(*lease_expires_at, *last_event, *acked_event, now),
            WorkerOp::Start { task, .. } => Some(self.start(fence, task, now)),
            WorkerOp::Stop { task, .. } => Some(self.stop(task)),
        }
    }

    fn open(
        &mut self,
        fence: FencingToken,
        ttl_ms: Millis,
        until: Option<Millis>,
        now: Millis,
    ) -> WorkerReply {
        let until = until.unwrap_or(now + ttl_ms);
        if now >= until {
            return WorkerReply::Lapsed;
        }
        self.fence = fence;
        self.lease_until = Some(until);
        self.due = 0;
        WorkerReply::Opened {
            clock_ms: now,
            running: self.running.values().map(|r| r.spec.clone()).collect(),
            ended: self.events.values().cloned().collect(),
            last_event: self.last_event,
        }
    }

    fn renew(&mut self, until: Millis, after: u64, acked: u64, now: Millis) -> Option<WorkerReply> {
        if self.lease_until.is_none() {
            return Some(WorkerReply::Lapsed);
        }
        self.lease_until = self.lease_until.max(Some(until));
        self.events.retain(|n, _| *n > acked);
        (self.last_event > after).then(|| self.renewed(after, now))
    }

    /// Answers a renewal with what ended after an event.
    pub fn renewed(&self, after: u64, now: Millis) -> WorkerReply {
        WorkerReply::Renewed {
            clock_ms: now,
            ended: self
                .events
                .range(after + 1..)
                .map(|(_, e)| e.clone())
                .collect(),
            last_event: self.last_event,
        }
    }

    /// Tells whether something ended after an event.
    pub fn has_news(&self, after: u64) -> bool {
        self.last_event > after
    }

    fn start(&mut self, fence: FencingToken, task: &TaskSpec, now: Millis) -> WorkerReply {
        if self.lease_until.is_none() {
            return WorkerReply::Lapsed;
        }
        if fence != self.fence {
            return WorkerReply::Fenced {
                highest_fence: self.fence,
            };
        }
        if self.seen.contains_key(&task.id) {
            return WorkerReply::Started;
        }
        self.seen.insert(task.id.clone(), None);
        self.started.push(task.clone());
        let ends_at = match (task.kind, task.run_ms) {
            (TaskKind::Request, _) | (TaskKind::Job, 0) => None,
            (TaskKind::Job, _) if self.broken => Some(now),
            (TaskKind::Job, ms) => Some(now + ms),
        };
        let run = Run {
            spec: task.clone(),
            fence,
            ends_at,
        };
        self.running.insert(task.id.clone(), run);
        self.due = 0;
        WorkerReply::Started
    }

    /// Starts a caller's request; returns false if it does not run.
    pub fn start_request(&mut self, fence: FencingToken, spec: &TaskSpec, now: Millis) -> bool {
        self.tick(now);
        let fresh = !self.seen.contains_key(&spec.id);
        fresh && self.start(fence, spec, now) == WorkerReply::Started
    }

    /// Ends a caller's request.
    pub fn end_request(&mut self, task: &TaskId) -> bool {
        let runs = self.running.contains_key(task);
        self.end(task, TaskOutcome::Done);
        runs
    }

    fn stop(&mut self, task: &TaskId) -> WorkerReply {
        self.end(task, TaskOutcome::Stopped);
        let outcome = self
            .seen
            .entry(task.clone())
            .or_insert(Some(TaskOutcome::NotRun))
            .unwrap_or(TaskOutcome::Lost);
        WorkerReply::Stopped { outcome }
    }

    fn end(&mut self, task: &TaskId, outcome: TaskOutcome) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.seen.insert(task.clone(), Some(outcome));
        if run.spec.kind == TaskKind::Job || run.fence.epoch != self.fence.epoch {
            self.last_event += 1;
            let ended = EndedTask {
                task: task.clone(),
                job: run.spec.job.clone(),
                outcome,
            };
            self.events.insert(self.last_event, ended);
        }
    }
}
