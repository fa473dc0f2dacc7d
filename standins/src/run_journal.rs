//! Records what executors ran and what clients were told in a soak, and judges it.
//!
//! The executors of `platform_executor` record runs, the clients of `soak_clients` record jobs.
//! The rules need no knowledge of the nodes.

use {
    crate::{lock, platform_executor::MAX_LEASE_MS},
    dragonflyferry::core::Millis,
    std::{
        collections::{BTreeMap, HashMap},
        fmt::{self, Write},
        sync::Mutex,
    },
};

/// Time that a persistent task may wait to start again, in ms, before [`ROOM_MS`] count; also for the
/// lease if the owner could not read the end. With [`ROOM_MS`] it is shorter than a lease.
const RESTART_MS: Millis = 2_000;

/// Time with room in which a persistent task must start, in ms.
const ROOM_MS: Millis = 3_000;

/// A step of a soak's job.
#[derive(Clone, Debug)]
pub struct StepPlan {
    pub count: u32,
    pub run_ms: Millis,
    /// Whether it waits for the step before it.
    pub after_previous: bool,
    pub allow_duplicates: bool,
    /// Its tasks run until the job is cancelled.
    pub persistent: bool,
}

/// A job and what its client knows of it. Times are in ms since the soak's start.
#[derive(Clone, Debug)]
pub struct JobRecord {
    pub queue: &'static str,
    pub steps: Vec<StepPlan>,
    pub accepted_at: Option<Millis>,
    /// Whether a cancellation was sent, whatever the reply.
    pub cancelled: bool,
    /// When a cancellation was answered as that of a job which does not exist.
    pub withdrawn_at: Option<Millis>,
    pub completed_at: Option<Millis>,
}

impl JobRecord {
    /// Returns whether the job has to be completed in the end.
    pub fn is_owed(&self) -> bool {
        self.accepted_at.is_some() && !self.cancelled && !self.is_persistent()
    }

    /// Returns whether tasks of the job last.
    pub fn is_persistent(&self) -> bool {
        self.steps.iter().any(|s| s.persistent)
    }
}

/// How a run ended, as executors report it; `Crashed` and `Exited` are never reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnding {
    Crashed,
    Done,
    /// Its executor exited as announced.
    Exited,
    Failed,
    Lapsed,
    Stopped,
}

/// A run as its executor recorded it. Times are in ms since the soak's start.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub run: u64,
    pub token: u64,
    pub node: usize,
    pub executor: String,
    pub pool: String,
    /// Index of the executor's life in the journal's calls.
    pub life: usize,
    pub began_at: Millis,
    pub ended: Option<(Millis, RunEnding)>,
    pub acked_at: Option<Millis>,
    /// Whether the executor's lease lapsed after the end and before its acknowledgement.
    pub lapsed_unacked: bool,
}

impl RunRecord {
    /// Returns the owner that ordered the run.
    pub fn owner(&self) -> u64 {
        self.token >> 20
    }

    fn overlaps(&self, later: &Self) -> bool {
        self.ended.is_none_or(|(at, _)| at > later.began_at)
    }

    fn ended_done_before(&self, later: &Self) -> bool {
        let done = matches!(self.ended, Some((at, RunEnding::Done)) if at <= later.began_at);
        done && self.acked_at.is_some() && !self.lapsed_unacked
    }
}

/// Calls of one node under one token to one life of an executor: first, last and number.
#[derive(Clone, Debug)]
struct CallSpan {
    node: usize,
    token: u64,
    first_at: Millis,
    last_at: Millis,
    count: u32,
}

/// A time without a run of a persistent task, after a run of it.
#[derive(Clone, Debug)]
pub struct Gap {
    task: String,
    /// Index of the run before.
    last_run: usize,
    since: Millis,
    until: Millis,
}

impl Gap {
    /// Returns its length, in ms.
    pub fn length_ms(&self) -> Millis {
        self.until - self.since
    }
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: &'static str,
    /// When it was broken, in ms since the soak's start.
    pub at: Millis,
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.rule, self.at, self.text)
    }
}

/// All runs and jobs of a soak.
#[derive(Debug, Default)]
pub struct RunJournal {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    jobs: BTreeMap<String, JobRecord>,
    runs: Vec<RunRecord>,
    /// By life of an executor.
    calls: Vec<Vec<CallSpan>>,
    /// When each pool began or ceased to have room.
    room: HashMap<String, Vec<(Millis, bool)>>,
    violations: Vec<Violation>,
}

impl RunJournal {
    /// Adds a job that is about to be submitted.
    pub fn add_job(&self, id: &str, job: JobRecord) {
        lock(&self.inner).jobs.insert(id.to_owned(), job);
    }

    /// Changes a job's record.
    pub fn update_job(&self, id: &str, update: impl FnOnce(&mut JobRecord)) {
        if let Some(job) = lock(&self.inner).jobs.get_mut(id) {
            update(job);
        }
    }

    /// Returns a copy of all jobs.
    pub fn jobs(&self) -> BTreeMap<String, JobRecord> {
        lock(&self.inner).jobs.clone()
    }

    /// Returns the number of runs so far.
    pub fn count_runs(&self) -> usize {
        lock(&self.inner).runs.len()
    }

    /// Returns the number of runs of a job so far.
    pub fn count_runs_of(&self, id: &str) -> usize {
        let inner = lock(&self.inner);
        let runs = inner.runs.iter();
        runs.filter(|r| split_task(&r.task).is_some_and(|(job, _)| job == id))
            .count()
    }

    /// Returns the step of a task, or `None` if no client submitted it.
    pub fn step_of(&self, task: &str) -> Option<StepPlan> {
        let (job, step) = split_task(task)?;
        let inner = lock(&self.inner);
        inner.jobs.get(job)?.steps.get(step).cloned()
    }

    /// Adds a life of an executor; returns its index.
    pub fn begin_life(&self) -> usize {
        let mut inner = lock(&self.inner);
        inner.calls.push(Vec::new());
        inner.calls.len() - 1
    }

    /// Records that an executor obeyed a call.
    pub fn record_call(&self, life: usize, node: usize, token: u64, at: Millis) {
        let mut inner = lock(&self.inner);
        let spans = &mut inner.calls[life];
        let known = |s: &&mut CallSpan| s.node == node && s.token == token;
        if let Some(span) = spans.iter_mut().find(known) {
            span.last_at = at;
            span.count += 1;
        } else {
            spans.push(CallSpan {
                node,
                token,
                first_at: at,
                last_at: at,
                count: 1,
            });
        }
    }

    /// Records whether a pool has room for more tasks.
    pub fn record_room(&self, pool: &str, has_room: bool, at: Millis) {
        let mut inner = lock(&self.inner);
        let changes = inner.room.entry(pool.to_owned()).or_default();
        if changes.last().is_none_or(|(_, last)| *last != has_room) {
            changes.push((at, has_room));
        }
    }

    /// Records the start of a run; returns its index.
    pub fn begin_run(&self, run: RunRecord) -> usize {
        let mut inner = lock(&self.inner);
        inner.runs.push(run);
        inner.runs.len() - 1
    }

    /// Records the end of a run.
    pub fn end_run(&self, index: usize, at: Millis, ending: RunEnding) {
        lock(&self.inner).runs[index].ended = Some((at, ending));
    }

    /// Records that the end of a run was acknowledged.
    pub fn ack_run(&self, index: usize, at: Millis) {
        lock(&self.inner).runs[index].acked_at = Some(at);
    }

    /// Records that a lease lapsed before the end of a run was acknowledged.
    pub fn lapse_unacked(&self, index: usize) {
        lock(&self.inner).runs[index].lapsed_unacked = true;
    }

    /// Records a broken rule that was seen as it happened.
    pub fn violate(&self, rule: &'static str, at: Millis, text: String) {
        let mut inner = lock(&self.inner);
        inner.violations.push(Violation { rule, at, text });
    }

    /// Records that a job was shown as completed, which breaks rule MIXED while a task of it has
    /// not ended as done.
    pub fn record_completed(&self, id: &str, at: Millis) {
        let mut inner = lock(&self.inner);
        let Some(job) = inner.jobs.get_mut(id) else {
            return;
        };
        if job.completed_at.replace(at).is_some() {
            return;
        }
        let steps = job.steps.clone();
        for (number, step) in steps.iter().enumerate() {
            let is_done = |index: u32| {
                let task = format!("{id}.0.{number}.{index}");
                let runs = inner.runs.iter().filter(|r| r.task == task);
                runs.clone()
                    .any(|r| matches!(r.ended, Some((_, RunEnding::Done))))
            };
            let open: Vec<u32> = (0..step.count).filter(|i| !is_done(*i)).collect();
            if !open.is_empty() {
                let text = format!("{id} shown as completed, step {number} tasks {open:?} are not");
                inner.violations.push(Violation {
                    rule: "MIXED",
                    at,
                    text,
                });
            }
        }
    }

    /// Returns whether each task of a persistent job runs.
    pub fn persistent_runs(&self, id: &str) -> bool {
        let inner = lock(&self.inner);
        let Some(job) = inner.jobs.get(id) else {
            return false;
        };
        let runs = |task: &str| {
            inner
                .runs
                .iter()
                .any(|r| r.task == task && r.ended.is_none())
        };
        let steps = job.steps.iter().enumerate();
        steps
            .flat_map(|(n, s)| (0..s.count).map(move |i| format!("{id}.0.{n}.{i}")))
            .all(|task| runs(&task))
    }

    /// Returns the gaps between the runs of persistent tasks of jobs that no client has cancelled; the
    /// last ones end at `now`.
    pub fn persistent_gaps(&self, now: Millis) -> Vec<Gap> {
        let inner = lock(&self.inner);
        let mut by_task: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (i, run) in inner.runs.iter().enumerate() {
            let job = split_task(&run.task).and_then(|(job, _)| inner.jobs.get(job));
            if job.is_some_and(|j| j.is_persistent() && !j.cancelled) {
                by_task.entry(&run.task).or_default().push(i);
            }
        }
        let mut gaps = Vec::new();
        for (task, runs) in by_task {
            for (i, last_run) in runs.iter().enumerate() {
                let next = runs.get(i + 1).map(|n| inner.runs[*n].began_at);
                let until = next.unwrap_or(now);
                if let Some((since, _)) = inner.runs[*last_run].ended
                    && since < until
                {
                    gaps.push(Gap {
                        task: task.to_owned(),
                        last_run: *last_run,
                        since,
                        until,
                    });
                }
            }
        }
        gaps
    }

    /// Returns the gaps that break rule LOST: longer than a task may wait, while its pool had room and the
    /// time since its last run was calm. `steady` tells of an announced exit whether the owner had the time
    /// to stop the runs there before.
    pub fn judge_gaps(
        &self,
        gaps: &[Gap],
        calm: impl Fn(Millis, Millis) -> bool,
        steady: impl Fn(Millis) -> bool,
    ) -> Vec<Violation> {
        let inner = lock(&self.inner);
        let mut found = Vec::new();
        for gap in gaps {
            let run = &inner.runs[gap.last_run];
            let stoppable = matches!(run.ended, Some((at, RunEnding::Exited)) if steady(at));
            let lease_ms = if run.acked_at.is_some() || stoppable {
                0
            } else {
                MAX_LEASE_MS
            };
            let from = gap.since + lease_ms + RESTART_MS;
            let Some(at) = inner.room_until(&run.pool, from, gap.until) else {
                continue;
            };
            if calm(gap.since, at) {
                let text = format!(
                    "{} without a run for {} ms, since run={} owner={} executor={} ended={:?} acked={:?}",
                    gap.task,
                    gap.length_ms(),
                    run.run,
                    run.owner(),
                    run.executor,
                    run.ended,
                    run.acked_at,
                );
                found.push(Violation {
                    rule: "LOST",
                    at,
                    text,
                });
            }
        }
        found
    }

    /// Returns all broken rules: those seen as they happened, runs of a task at the same time or
    /// after an acknowledged end, starts before the end of the step before, and starts of a job after a
    /// caller was told that it does not exist.
    pub fn judge(&self) -> Vec<Violation> {
        let inner = lock(&self.inner);
        let mut found = inner.violations.clone();
        let mut by_task: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
        for run in &inner.runs {
            by_task.entry(&run.task).or_default().push(run);
        }
        for (task, runs) in &by_task {
            let Some((job, number)) = split_task(task) else {
                continue;
            };
            let Some(job_record) = inner.jobs.get(job) else {
                continue;
            };
            let late = |r: &&&RunRecord| job_record.withdrawn_at.is_some_and(|at| r.began_at > at);
            if let Some(run) = runs.iter().find(late) {
                found.push(Violation {
                    rule: "UNASKED",
                    at: run.began_at,
                    text: format!("{task} began after its job was withdrawn"),
                });
            }
            let step = &job_record.steps[number];
            if step.after_previous
                && let Some(text) = inner.find_early(job, number, runs)
            {
                let at = runs[0].began_at;
                found.push(Violation {
                    rule: "ORDER",
                    at,
                    text,
                });
            }
            if step.allow_duplicates {
                continue;
            }
            for (i, second) in runs.iter().enumerate() {
                let before = &runs[..i];
                let first = before
                    .iter()
                    .find(|r| r.overlaps(second) || r.ended_done_before(second));
                if let Some(first) = first {
                    found.push(Violation {
                        rule: "TWICE",
                        at: second.began_at,
                        text: inner.describe(first, second),
                    });
                }
            }
        }
        found.sort_by_key(|v| v.at);
        found
    }
}

impl Inner {
    /// Returns the first run that began before all tasks of the step before had ended as done.
    fn find_early(&self, job: &str, number: usize, runs: &[&RunRecord]) -> Option<String> {
        let previous = number - 1;
        let count = self.jobs[job].steps[previous].count;
        let is_done = |task: &str, at: Millis| {
            let done = |r: &&RunRecord| matches!(r.ended, Some((t, RunEnding::Done)) if t <= at);
            self.runs.iter().filter(done).any(|r| r.task == task)
        };
        let first = runs.iter().min_by_key(|r| r.began_at)?;
        let mut tasks = (0..count).map(|i| format!("{job}.0.{previous}.{i}"));
        let open = tasks.find(|t| !is_done(t, first.began_at))?;
        Some(format!("{} began before {open} was done", first.task))
    }

    /// Returns the first time up to `until` at which a pool has had room for [`ROOM_MS`] since `from`.
    fn room_until(&self, pool: &str, from: Millis, until: Millis) -> Option<Millis> {
        let changes = self.room.get(pool)?;
        let ends = changes.iter().skip(1).map(|(at, _)| *at);
        let ends = ends.chain([Millis::MAX]);
        let mut stretches = changes.iter().zip(ends).filter(|((_, room), _)| *room);
        stretches.find_map(|((begin, _), end)| {
            let at = from.max(*begin) + ROOM_MS;
            (at <= end.min(until)).then_some(at)
        })
    }

    /// Describes two runs of a task, with times relative to the start of the second.
    fn describe(&self, first: &RunRecord, second: &RunRecord) -> String {
        let zero = second.began_at;
        let relative = |at: Millis| {
            let sign = if at < zero { '-' } else { '+' };
            let ms = at.abs_diff(zero);
            format!("{sign}{}.{:03}", ms / 1000, ms % 1000)
        };
        let kind = if first.overlaps(second) {
            "two runs at once"
        } else {
            "start after an acknowledged end"
        };
        let mut text = format!("{kind}, task={}", second.task);
        for run in [first, second] {
            let ended = run.ended.map_or("still running".to_owned(), |(at, how)| {
                format!("ended={} how={how:?}", relative(at))
            });
            let acked = run.acked_at.map_or("never".to_owned(), relative);
            let _ = write!(
                text,
                "\n  run={} owner={} token={} node={} executor={} began={} {ended} acked={acked} \
                 lapsed_unacked={}",
                run.run,
                run.owner(),
                run.token,
                run.node,
                run.executor,
                relative(run.began_at),
                run.lapsed_unacked,
            );
            for span in &self.calls[run.life] {
                let _ = write!(
                    text,
                    "\n    called by node={} owner={} {}..{} times={}",
                    span.node,
                    span.token >> 20,
                    relative(span.first_at),
                    relative(span.last_at),
                    span.count,
                );
            }
        }
        text
    }
}

/// Splits a task's name into the job and the number of the step.
fn split_task(task: &str) -> Option<(&str, usize)> {
    let mut parts = task.split('.');
    let job = parts.next()?;
    Some((job, parts.nth(1)?.parse().ok()?))
}
