//! Simulates an executor of the platform for real processes: runs, lease, fencing and ends.
//!
//! `platform_host` serves it over HTTP and passes the time. It records what runs in a
//! [`RunJournal`] and knows nothing of the nodes.

use {
    crate::run_journal::{RunEnding, RunJournal, RunRecord},
    dragonflyferry::core::Millis,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    std::collections::{BTreeMap, HashMap},
};

/// Maximum lease, in ms.
pub const MAX_LEASE_MS: Millis = 6_000;

/// Maximum time that a stop takes, in ms.
pub const KILL_GRACE_MS: Millis = 200;

/// CPU of an executor, in thousandths of a core.
pub const EXECUTOR_CPU: u32 = 4_000;

/// CPU of each task, in thousandths of a core.
pub const TASK_CPU: u32 = 1_000;

/// Tasks that an executor runs at once.
pub const SLOTS: usize = (EXECUTOR_CPU / TASK_CPU) as usize;

/// Part of the runs that fail, in percent; below what the queue's attempts allow.
const FAILED_PERCENT: u32 = 3;

/// Part of the runs of persistent tasks that fail, in percent.
const FAILED_PERSISTENT_PERCENT: u32 = 30;

/// Ends in one reply.
const MAX_LISTED_ENDS: usize = 500;

#[derive(Debug)]
struct Running {
    record: usize,
    began_at: Millis,
    ends_at: Millis,
    ending: RunEnding,
}

#[derive(Debug)]
struct Ended {
    seq: u64,
    task: String,
    run: u64,
    ending: RunEnding,
    record: usize,
}

/// Result of a command.
#[derive(Debug)]
pub enum ExecutorOutcome {
    Reply(u16, Value),
    /// The reply to a renewal waits up to this time in ms, or until a run ends.
    Wait(Millis),
}

/// One executor in its current life. Times are in ms since the soak's start unless stated.
#[derive(Debug)]
pub struct PlatformExecutor {
    pub id: String,
    pub pool: String,
    pub zone: String,
    /// When it exits, if it has announced that: it drains until then.
    pub exits_at: Option<Millis>,
    /// Nothing is answered or run before this time.
    pub down_until: Millis,
    /// Unix ms of the start of this life.
    pub born: u64,
    life: usize,
    /// When its own clock started, and how fast that is, in thousandths.
    clock_origin: Millis,
    clock_milli: Millis,
    highest_token: u64,
    /// End of the lease on its own clock.
    lease_deadline: Millis,
    lapsed: bool,
    running: BTreeMap<(String, u64), Running>,
    ended: Vec<Ended>,
    last_seq: u64,
    /// Highest run of each task that ended or was stopped here.
    closed: HashMap<String, u64>,
    rng: SmallRng,
}

impl PlatformExecutor {
    /// Creates an executor that runs nothing; it answers from `now` on.
    pub fn new(
        id: String,
        pool: &str,
        zone: &str,
        seed: u64,
        now: Millis,
        journal: &RunJournal,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let clock_milli = rng.random_range(980..=1_000);
        Self {
            id,
            pool: pool.to_owned(),
            zone: zone.to_owned(),
            exits_at: None,
            down_until: now,
            born: crate::unix_ms(),
            life: journal.begin_life(),
            clock_origin: now,
            clock_milli,
            highest_token: 0,
            lease_deadline: 0,
            lapsed: true,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_seq: 0,
            closed: HashMap::new(),
            rng,
        }
    }

    /// Ends this life at `now` and begins the next, which answers from `up_at` on.
    pub fn restart(&mut self, id: String, now: Millis, up_at: Millis, journal: &RunJournal) {
        self.advance(now, journal);
        let ending = if self.exits_at.is_some_and(|at| at <= now) {
            RunEnding::Exited
        } else {
            RunEnding::Crashed
        };
        for run in self.running.values() {
            journal.end_run(run.record, now, ending);
        }
        let seed = self.rng.random();
        *self = Self::new(id, &self.pool, &self.zone, seed, up_at, journal);
        self.born += up_at - now;
    }

    /// Returns whether it answers and reports itself.
    pub fn is_up(&self, now: Millis) -> bool {
        now >= self.down_until
    }

    /// Returns how many more tasks it could run; none if it drains.
    pub fn free_slots(&self) -> usize {
        let used = self.running.len();
        if self.exits_at.is_some() {
            0
        } else {
            SLOTS.saturating_sub(used)
        }
    }

    /// Returns its entry in the store, with `address` as given.
    pub fn entry(&self, address: &str, now: Millis) -> Value {
        let mut entry = json!({
            "service": self.pool,
            "address": address,
            "zone": self.zone,
            "version": "1",
            "slots": 4,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
            "capacity": {"cpu": EXECUTOR_CPU, "memMb": 8_000, "gpu": 0},
            "labels": ["std", self.zone],
            "born": self.born,
        });
        if let Some(at) = self.exits_at {
            entry["state"] = json!("draining");
            entry["remainingMs"] = json!(at.saturating_sub(now));
        }
        entry
    }

    fn clock_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.clock_origin) * self.clock_milli / 1000
    }

    /// Returns the first time at which the lease is over.
    fn lapses_at(&self) -> Millis {
        self.clock_origin + self.lease_deadline * 1000 / self.clock_milli + 1
    }

    /// Ends the runs that are due, and all at the end of the lease; returns whether any ended.
    pub fn advance(&mut self, now: Millis, journal: &RunJournal) -> bool {
        let before = self.last_seq;
        let lapses_at = self.lapses_at();
        let lapses = !self.lapsed && lapses_at <= now;
        let until = if lapses { lapses_at } else { now };
        let due = |r: &Running| r.ends_at <= until;
        let mut ended: Vec<_> = self.running.iter().filter(|(_, r)| due(r)).collect();
        ended.sort_by_key(|(_, r)| r.ends_at);
        let ended: Vec<_> = ended.into_iter().map(|(k, _)| k.clone()).collect();
        for key in ended {
            let (at, ending) = (self.running[&key].ends_at, self.running[&key].ending);
            self.end(key, at, ending, journal);
        }
        if lapses {
            self.lapsed = true;
            for row in &self.ended {
                journal.lapse_unacked(row.record);
            }
            let left: Vec<_> = self.running.keys().cloned().collect();
            for key in left {
                self.end(key, lapses_at, RunEnding::Lapsed, journal);
            }
        }
        self.last_seq > before
    }

    fn end(&mut self, key: (String, u64), at: Millis, ending: RunEnding, journal: &RunJournal) {
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        journal.end_run(running.record, at, ending);
        let (task, run) = key;
        self.close(&task, run);
        self.last_seq += 1;
        self.ended.push(Ended {
            seq: self.last_seq,
            task,
            run,
            ending,
            record: running.record,
        });
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run);
    }

    fn extend_lease(&mut self, deadline: Option<u64>, now: Millis) {
        let Some(deadline) = deadline else { return };
        let clock = self.clock_ms(now);
        self.lease_deadline = self.lease_deadline.max(deadline.min(clock + MAX_LEASE_MS));
        if self.lease_deadline >= clock {
            self.lapsed = false;
        }
    }

    /// Carries out a call of a node.
    pub fn handle(
        &mut self,
        path: &str,
        body: &Value,
        node: usize,
        now: Millis,
        journal: &RunJournal,
    ) -> ExecutorOutcome {
        self.advance(now, journal);
        let clock = self.clock_ms(now);
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < self.highest_token {
            return ExecutorOutcome::Reply(409, json!({"clockMs": clock, "reason": "fence"}));
        }
        self.highest_token = token;
        journal.record_call(self.life, node, token, now);
        match path {
            "/-/hold" => {
                self.extend_lease(body["deadlineMs"].as_u64(), now);
                let cursor = body["ackCursor"].as_u64().unwrap_or(0);
                for row in self.ended.iter().filter(|r| r.seq <= cursor) {
                    journal.ack_run(row.record, now);
                }
                self.ended.retain(|r| r.seq > cursor);
                let wait = body["waitMs"].as_u64().unwrap_or(0).min(2_000);
                if wait > 0 && self.ended.is_empty() {
                    return ExecutorOutcome::Wait(wait);
                }
                ExecutorOutcome::Reply(200, self.lists(now))
            }
            "/-/run-start" => {
                let reason = self.start(body, node, now, journal);
                match reason {
                    None => ExecutorOutcome::Reply(200, json!({"clockMs": clock})),
                    Some(reason) => {
                        ExecutorOutcome::Reply(409, json!({"clockMs": clock, "reason": reason}))
                    }
                }
            }
            "/-/run-stop" => {
                let task = body["task"].as_str().unwrap_or_default().to_owned();
                let run = body["run"].as_u64().unwrap_or(0);
                self.close(&task, run);
                let takes = self.rng.random_range(20..KILL_GRACE_MS);
                if let Some(running) = self.running.get_mut(&(task, run))
                    && running.ends_at > now + takes
                {
                    running.ends_at = now + takes;
                    running.ending = RunEnding::Stopped;
                }
                ExecutorOutcome::Reply(200, json!({"clockMs": clock}))
            }
            _ => ExecutorOutcome::Reply(400, json!({"clockMs": clock})),
        }
    }

    /// Starts a run; returns the reason if it is refused.
    fn start(
        &mut self,
        body: &Value,
        node: usize,
        now: Millis,
        journal: &RunJournal,
    ) -> Option<&'static str> {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let deadline = body["deadlineMs"].as_u64();
        let key = (task.clone(), run);
        if self.running.contains_key(&key) {
            self.extend_lease(deadline, now);
            return None;
        }
        if self.closed.get(&task).is_some_and(|closed| run <= *closed) {
            self.extend_lease(deadline, now);
            return Some("old");
        }
        if deadline.unwrap_or(0) < self.clock_ms(now) {
            return Some("late");
        }
        let Some(step) = journal.step_of(&task) else {
            journal.violate("UNASKED", now, format!("start of unknown task {task}"));
            return Some("room");
        };
        self.extend_lease(deadline, now);
        if self.running.len() >= SLOTS {
            return Some("room");
        }
        let percent = if step.persistent {
            FAILED_PERSISTENT_PERCENT
        } else {
            FAILED_PERCENT
        };
        let fails = self.rng.random_range(0..100) < percent;
        let run_ms = if step.persistent {
            if fails {
                self.rng.random_range(1_000..20_000)
            } else {
                Millis::MAX / 2
            }
        } else {
            step.run_ms * self.rng.random_range(90..=130) / 100 / if fails { 2 } else { 1 }
        };
        let record = journal.begin_run(RunRecord {
            task,
            run,
            token: body["fencingToken"].as_u64().unwrap_or(0),
            node,
            executor: self.id.clone(),
            pool: self.pool.clone(),
            life: self.life,
            began_at: now,
            ended: None,
            acked_at: None,
            lapsed_unacked: false,
        });
        let running = Running {
            record,
            began_at: now,
            ends_at: now + run_ms,
            ending: if fails {
                RunEnding::Failed
            } else {
                RunEnding::Done
            },
        };
        self.running.insert(key, running);
        None
    }

    /// Returns the reply to a renewal: the lists of runs and ends.
    pub fn lists(&self, now: Millis) -> Value {
        let running = self.running.iter().map(|((task, run), r)| {
            let total = r.ends_at.saturating_sub(r.began_at).max(1);
            let percent = (now.saturating_sub(r.began_at) * 100 / total).min(100);
            json!([task, run, "", percent, TASK_CPU])
        });
        let how = |ending: RunEnding| match ending {
            RunEnding::Crashed | RunEnding::Exited | RunEnding::Lapsed => "lapsed",
            RunEnding::Done => "done",
            RunEnding::Failed => "failed",
            RunEnding::Stopped => "stopped",
        };
        let ended = self.ended.iter().take(MAX_LISTED_ENDS);
        let ended = ended.map(|r| json!([r.seq, r.task, r.run, how(r.ending), ""]));
        json!({
            "clockMs": self.clock_ms(now),
            "born": self.born,
            "running": running.collect::<Vec<_>>(),
            "ended": ended.collect::<Vec<_>>(),
        })
    }
}
