//! Simulates a core worker: it runs tasks under a fenced lease that expires by its own clock.
//!
//! Used by `fleet` and `server`. It has no clock or network: every call receives the time.

use {
    dragonflyferry::core::{
        EndedTask, FencingToken, Millis, TaskId, TaskKind, TaskOutcome, TaskSpec, VmRecord,
        WorkerOp, WorkerReply,
    },
    std::collections::BTreeMap,
};

/// A running task and the fencing token that started it.
#[derive(Clone, Debug)]
pub struct Run {
    pub spec: TaskSpec,
    pub fence: FencingToken,
    /// When it ends without a stop, in ms; `None` for services and requests.
    pub ends_at: Option<Millis>,
}

/// State of one worker process.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    pub record: VmRecord,
    /// Fencing token of the last lease; calls with a lower one are refused.
    pub fence: FencingToken,
    lease_expires_at: Option<Millis>,
    pub running: BTreeMap<TaskId, Run>,
    /// Every task that was started or permanently refused, with its outcome once ended.
    outcomes: BTreeMap<TaskId, Option<TaskOutcome>>,
    events: BTreeMap<u64, EndedTask>,
    last_event: u64,
    /// While true, every task that it starts fails at once; requests and services do not end.
    pub fails_all_tasks: bool,
    /// All task starts, in order, for checks.
    pub started: Vec<TaskSpec>,
    /// No task ends and the lease does not expire before this time, in ms.
    next_end_at: Millis,
}

impl WorkerModel {
    /// Creates an idle worker without a lease.
    pub fn new(record: VmRecord) -> Self {
        Self {
            record,
            fence: FencingToken::default(),
            lease_expires_at: None,
            running: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            fails_all_tasks: false,
            started: Vec::new(),
            next_end_at: 0,
        }
    }

    /// Ends the tasks that are due at `now`, and all tasks if the lease has expired.
    pub fn tick(&mut self, now: Millis) {
        if now < self.next_end_at {
            return;
        }
        self.end_due_tasks(now);
        let ends = self.running.values().filter_map(|r| r.ends_at);
        let next = ends.chain(self.lease_expires_at).min();
        self.next_end_at = next.unwrap_or(Millis::MAX);
    }

    fn end_due_tasks(&mut self, now: Millis) {
        let due: Vec<TaskId> = self
            .running
            .iter()
            .filter(|(_, r)| r.ends_at.is_some_and(|t| now >= t))
            .map(|(id, _)| id.clone())
            .collect();
        let outcome = if self.fails_all_tasks {
            TaskOutcome::Failed
        } else {
            TaskOutcome::Done
        };
        for task in due {
            self.end(&task, outcome);
        }
        if self
            .lease_expires_at
            .is_some_and(|expires_at| now >= expires_at)
        {
            self.lease_expires_at = None;
            let all: Vec<TaskId> = self.running.keys().cloned().collect();
            for task in all {
                self.end(&task, TaskOutcome::Lost);
            }
        }
    }

    /// Executes a call. Returns `None` for a renewal without ended tasks to report; the caller
    /// holds it open until a task ends.
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
        expires_at: Option<Millis>,
        now: Millis,
    ) -> WorkerReply {
        let expires_at = expires_at.unwrap_or(now + ttl_ms);
        if now >= expires_at {
            return WorkerReply::Lapsed;
        }
        self.fence = fence;
        self.lease_expires_at = Some(expires_at);
        self.next_end_at = 0;
        WorkerReply::Opened {
            clock_ms: now,
            running: self.running.values().map(|r| r.spec.clone()).collect(),
            ended: self.events.values().cloned().collect(),
            last_event: self.last_event,
        }
    }

    fn renew(
        &mut self,
        expires_at: Millis,
        after_event: u64,
        acked_event: u64,
        now: Millis,
    ) -> Option<WorkerReply> {
        if self.lease_expires_at.is_none() {
            return Some(WorkerReply::Lapsed);
        }
        self.lease_expires_at = self.lease_expires_at.max(Some(expires_at));
        self.events.retain(|seq, _| *seq > acked_event);
        (self.last_event > after_event).then(|| self.renewed_reply(after_event, now))
    }

    /// Returns the renewal reply with the tasks that ended after an event.
    pub fn renewed_reply(&self, after_event: u64, now: Millis) -> WorkerReply {
        WorkerReply::Renewed {
            clock_ms: now,
            ended: self
                .events
                .range(after_event + 1..)
                .map(|(_, e)| e.clone())
                .collect(),
            last_event: self.last_event,
        }
    }

    /// Returns whether a task ended after an event.
    pub fn has_events_after(&self, after_event: u64) -> bool {
        self.last_event > after_event
    }

    fn start(&mut self, fence: FencingToken, task: &TaskSpec, now: Millis) -> WorkerReply {
        if self.lease_expires_at.is_none() {
            return WorkerReply::Lapsed;
        }
        if fence != self.fence {
            return WorkerReply::Fenced {
                highest_fence: self.fence,
            };
        }
        if self.outcomes.contains_key(&task.id) {
            return WorkerReply::Started;
        }
        self.outcomes.insert(task.id.clone(), None);
        self.started.push(task.clone());
        let ends_at = match (task.kind, task.run_ms) {
            (TaskKind::Request, _) | (TaskKind::Job, 0) => None,
            (TaskKind::Job, _) if self.fails_all_tasks => Some(now),
            (TaskKind::Job, ms) => Some(now + ms),
        };
        let run = Run {
            spec: task.clone(),
            fence,
            ends_at,
        };
        self.running.insert(task.id.clone(), run);
        self.next_end_at = 0;
        WorkerReply::Started
    }

    /// Starts a caller's request; returns false if it does not run, also for a task id used before.
    pub fn start_request(&mut self, fence: FencingToken, spec: &TaskSpec, now: Millis) -> bool {
        self.tick(now);
        let is_new = !self.outcomes.contains_key(&spec.id);
        is_new && self.start(fence, spec, now) == WorkerReply::Started
    }

    /// Ends a caller's request; returns whether it was still running.
    pub fn end_request(&mut self, task: &TaskId) -> bool {
        let was_running = self.running.contains_key(task);
        self.end(task, TaskOutcome::Done);
        was_running
    }

    fn stop(&mut self, task: &TaskId) -> WorkerReply {
        self.end(task, TaskOutcome::Stopped);
        let outcome = self
            .outcomes
            .entry(task.clone())
            .or_insert(Some(TaskOutcome::NotRun))
            .unwrap_or(TaskOutcome::Lost);
        WorkerReply::Stopped { outcome }
    }

    fn end(&mut self, task: &TaskId, outcome: TaskOutcome) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.outcomes.insert(task.clone(), Some(outcome));
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
