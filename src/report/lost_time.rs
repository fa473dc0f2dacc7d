//! What a job's time from its acceptance on was spent on: waits by reason, and runs.
//!
//! Called by [`crate::report::LoadAccount`] for each accepted job.

use {
    crate::{
        core::Millis,
        fleet::StepId,
        report::{
            OwnerGaps, WaitReason,
            job_log::{JobEvent, JobLog, NamedRuns},
        },
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Time from the last end of a run to the durable end of the job that counts as usual, in ms.
const USUAL_COMMIT_MS: Millis = 100;

/// Time of a job by what it was spent on, in ms.
#[derive(Clone, Debug, Default)]
pub struct LostTime {
    by_reason: BTreeMap<WaitReason, Millis>,
    /// The rest, in which runs of the job were under way as far as the logs show.
    pub run_ms: Millis,
    /// The part of `run_ms` in which a run may have ended already, as lines of ends are missing.
    unclear_ms: Millis,
}

/// State of a step while the events are read.
#[derive(Default)]
struct StepState {
    advised_at: Option<Millis>,
    last_start: Option<Millis>,
    /// Task and time of its last start.
    started: BTreeMap<u32, Millis>,
    done: BTreeSet<u32>,
    /// Why tasks that have not been started again ended.
    failed: BTreeMap<u32, WaitReason>,
    unnamed_started: usize,
    unnamed_done: usize,
}

impl StepState {
    fn is_complete(&self) -> bool {
        let all_named = self.started.keys().all(|t| self.done.contains(t));
        let started = self.started.len() + self.unnamed_started;
        all_named && self.done.len() + self.unnamed_done >= started
    }
}

/// Reads the events of a job in order of time.
struct Reader<'a> {
    gaps: &'a OwnerGaps,
    by_reason: BTreeMap<WaitReason, Millis>,
    /// Time before it is accounted for, so that none is charged twice.
    accounted_until: Millis,
    steps: BTreeMap<StepId, StepState>,
    /// An owner took in the job.
    queued: bool,
    last_done: Option<Millis>,
    /// Time between steps, and after the last one, in which lines of ends are missing.
    unclear_ms: Millis,
}

impl LostTime {
    /// Computes it for a job accepted at `accepted_at`, up to its end or, without one, `until`.
    pub fn new(job: &JobLog, accepted_at: Millis, until: Millis, gaps: &OwnerGaps) -> Self {
        let until = job.end.map_or(until, |(at, _)| at).max(accepted_at);
        let mut reader = Reader {
            gaps,
            by_reason: BTreeMap::new(),
            accounted_until: accepted_at,
            steps: BTreeMap::new(),
            queued: false,
            last_done: None,
            unclear_ms: 0,
        };
        for (at, event) in job.events.iter().filter(|(at, _)| *at <= until) {
            reader.read(*at, event);
        }
        reader.note_unclear(until);
        if job.end.is_some() {
            reader.charge_commit(until);
        } else {
            reader.charge_open_end(until);
        }
        let mut by_reason = reader.by_reason;
        // Ends of runs are not seen without an owner either, so all of its absence counts.
        let ownerless = gaps.overlap(accepted_at, until);
        if ownerless > 0 {
            *by_reason.entry(WaitReason::Owner).or_default() += ownerless;
        }
        let lost: Millis = by_reason.values().sum();
        Self {
            by_reason,
            run_ms: (until - accepted_at).saturating_sub(lost),
            unclear_ms: reader.unclear_ms,
        }
    }

    /// Returns the main reason for which the job was late or did not end: the one that took most
    /// time, or its run if it started early enough or if the run took more time than any wait.
    ///
    /// `typical_run_ms` is the run time to expect of it.
    pub fn main_reason(
        &self,
        ended: bool,
        objective_ms: Millis,
        typical_run_ms: Millis,
    ) -> WaitReason {
        let lost: Millis = self.by_reason.values().sum();
        let certain_ms = lost + self.run_ms.saturating_sub(self.unclear_ms);
        let run = match () {
            () if !ended => WaitReason::Running,
            () if self.unclear_ms == 0 || certain_ms > objective_ms => WaitReason::SlowRun,
            () => WaitReason::EndsNotShown,
        };
        let longest = self.by_reason.iter().max_by_key(|(_, ms)| **ms);
        let Some((reason, ms)) = longest else {
            return run;
        };
        let early_enough = lost + typical_run_ms <= objective_ms;
        if early_enough || self.run_ms.saturating_sub(typical_run_ms) > *ms {
            run
        } else {
            *reason
        }
    }
}

impl Reader<'_> {
    fn read(&mut self, at: Millis, event: &JobEvent) {
        match event {
            JobEvent::Queued => self.on_queued(at),
            JobEvent::Advised(step) => {
                let step = self.steps.entry(*step).or_default();
                step.advised_at.get_or_insert(at);
            }
            JobEvent::Started {
                step,
                runs,
                waited_ms,
                blocked,
            } => {
                if let Some(waited_ms) = waited_ms
                    && !self.queued
                {
                    self.on_queued(at.saturating_sub(*waited_ms));
                }
                self.on_started(at, *step, runs, *blocked);
            }
            JobEvent::Ended {
                step,
                runs,
                failure,
            } => self.on_ended(at, *step, runs, *failure),
        }
    }

    fn on_queued(&mut self, at: Millis) {
        if self.is_started() {
            return;
        }
        // What a job waited for at an owner that was lost before the start is not logged.
        let reason = if self.queued {
            WaitReason::NotShown
        } else {
            WaitReason::Owner
        };
        self.charge(self.accounted_until, at, reason);
        self.queued = true;
    }

    fn on_started(
        &mut self,
        at: Millis,
        id: StepId,
        runs: &NamedRuns,
        blocked: Option<WaitReason>,
    ) {
        let ready_at = self.ready_at(at, id);
        if self.steps.get(&id).is_none_or(|s| s.last_start.is_none()) {
            self.note_unclear(ready_at);
        }
        let step = self.steps.entry(id).or_default();
        let mut from = step.last_start.unwrap_or(ready_at);
        let mut reason = blocked.unwrap_or(WaitReason::NotShown);
        let mut restarted = runs.tasks.iter();
        let restarted = restarted.find_map(|t| Some((t, *step.started.get(t)?)));
        if let Some((task, started_at)) = restarted {
            from = started_at;
            reason = step.failed.remove(task).unwrap_or(WaitReason::NotShown);
        }
        for task in &runs.tasks {
            step.failed.remove(task);
            step.done.remove(task);
            step.started.insert(*task, at);
        }
        step.unnamed_started += runs.unnamed;
        step.last_start = Some(at);
        self.charge(from, at, reason);
    }

    fn on_ended(&mut self, at: Millis, id: StepId, runs: &NamedRuns, failure: Option<WaitReason>) {
        let step = self.steps.entry(id).or_default();
        match failure {
            None => {
                step.done.extend(&runs.tasks);
                step.unnamed_done += runs.unnamed;
                self.last_done = Some(at);
            }
            Some(reason) => {
                let failed = runs.tasks.iter().map(|t| (*t, reason));
                step.failed.extend(failed);
            }
        }
    }

    /// Returns since when a step that starts at `at` could have run: since the end of the steps
    /// before it. If lines of these ends are missing, no earlier than its first advice, so that no
    /// run counts as a wait.
    fn ready_at(&self, at: Millis, id: StepId) -> Millis {
        if !self.is_started() {
            return self.accounted_until;
        }
        if self.has_all_ends() {
            return self.last_done.unwrap_or(at);
        }
        let advised_at = self.steps.get(&id).and_then(|s| s.advised_at);
        advised_at.unwrap_or(at)
    }

    fn is_started(&self) -> bool {
        self.steps.values().any(|s| s.last_start.is_some())
    }

    fn has_all_ends(&self) -> bool {
        self.is_started() && self.steps.values().all(StepState::is_complete)
    }

    /// Notes the time from the last shown start or end of a run to `until`, if ends are missing.
    fn note_unclear(&mut self, until: Millis) {
        if self.is_started() && !self.has_all_ends() {
            let shown_until = self.last_done.unwrap_or(0).max(self.accounted_until);
            self.unclear_ms += until.saturating_sub(shown_until);
        }
    }

    /// Charges the part of a period that is not yet accounted for to a reason. Time without an
    /// owner is charged for the job as a whole.
    fn charge(&mut self, from: Millis, until: Millis, reason: WaitReason) {
        let from = from.max(self.accounted_until);
        if until <= from {
            return;
        }
        let ms = until - from - self.gaps.overlap(from, until);
        if ms > 0 {
            *self.by_reason.entry(reason).or_default() += ms;
        }
        self.accounted_until = until;
    }

    /// Charges the time to the durable end, if the lines show when the last run ended.
    fn charge_commit(&mut self, until: Millis) {
        let Some(last_done) = self.last_done.filter(|_| self.has_all_ends()) else {
            return;
        };
        if until.saturating_sub(last_done) > USUAL_COMMIT_MS {
            self.charge(last_done, until, WaitReason::Commit);
        }
    }

    /// Charges what a job that has no end waits for at the end of the logs.
    fn charge_open_end(&mut self, until: Millis) {
        let failed = |s: &StepState| {
            let (task, reason) = s.failed.iter().next()?;
            Some((s.started.get(task).copied(), *reason))
        };
        let failed = self.steps.values().find_map(failed);
        let from = self.accounted_until;
        match failed {
            Some((started_at, reason)) => self.charge(started_at.unwrap_or(from), until, reason),
            None if self.has_all_ends() => {
                self.charge(self.last_done.unwrap_or(from), until, WaitReason::NotShown);
            }
            None if self.is_started() => {}
            None if self.queued => self.charge(from, until, WaitReason::NotStarted),
            None => self.charge(from, until, WaitReason::NotShown),
        }
    }
}
