//! Outcomes of jobs over a period, by reason, from the log lines of all nodes.
//!
//! `report load` prints it. It only uses the given lines and calls no node.

use {
    crate::{
        core::Millis,
        entry::MAX_LINES_PER_SECOND,
        fleet::{FleetEvent, JobId, policy::Timeliness},
        report::{
            JobOutcome, LogLine, OutcomeCounts, OwnerGaps, UnreadLines, WaitReason,
            job_log::{JobLog, LoggedEnd, job_of, refusal_text},
            load_text,
            lost_time::LostTime,
        },
    },
    serde::Serialize,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Run time of a job in thousandths of its objective, for a queue of which no job ended in time.
const DEFAULT_RUN_SHARE: u64 = 500;

/// Name of what no line states.
const UNKNOWN: &str = "(unknown)";

/// Jobs of one queue, organisation, availability zone or period.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct OutcomeRow {
    pub name: Arc<str>,
    #[serde(flatten)]
    pub counts: OutcomeCounts,
}

/// Jobs of one queue that were not served in time for one reason.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReasonRow {
    pub queue: Arc<str>,
    pub reason: WaitReason,
    pub jobs: u64,
    #[serde(flatten)]
    pub counts: OutcomeCounts,
}

/// What limits the account, for the footnote.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct AccountLimits {
    /// Ended jobs without a line of their objective, judged by the median of their queue.
    pub estimated_objectives: u64,
    /// Ended jobs of queues without any line of an objective; they count as in time.
    pub unknown_objectives: u64,
    /// Jobs that were stored, but without a line of their acceptance; they are not counted.
    pub left_out: u64,
    /// Seconds in which one node wrote as many lines of one event as it may, by event.
    pub full_seconds: BTreeMap<u16, u64>,
    pub unread: UnreadLines,
}

/// The account; `report load --output json` prints it as it is.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LoadAccount {
    pub every_ms: Millis,
    /// Unix time of the first line, in ms.
    pub from_ms: Millis,
    /// Unix time of the last line, in ms.
    pub until_ms: Millis,
    pub total: OutcomeCounts,
    pub by_queue: Vec<OutcomeRow>,
    pub by_organisation: Vec<OutcomeRow>,
    pub by_zone: Vec<OutcomeRow>,
    /// By time of acceptance, or of the first refusal.
    pub by_period: Vec<OutcomeRow>,
    /// Not served in time; by queue, the most frequent reason first.
    pub reasons: Vec<ReasonRow>,
    /// Refused calls of all kinds by reason; a caller that tries again is counted again.
    pub refused_calls: BTreeMap<String, u64>,
    pub without_owner: OwnerGaps,
    pub limits: AccountLimits,
}

/// What the lines say, by job and node.
#[derive(Default)]
struct Collected<'a> {
    jobs: BTreeMap<JobId, JobLog>,
    zones: HashMap<&'a str, Arc<str>>,
    refused_calls: BTreeMap<String, u64>,
    /// Lines by event, node and second.
    line_counts: HashMap<(u16, &'a str, u64), u32>,
    unread: UnreadLines,
}

/// One job with its outcome.
struct JudgedJob<'a> {
    log: &'a JobLog,
    outcome: JobOutcome,
    /// Time of its acceptance or first refusal.
    at: Millis,
    objective_ms: Millis,
    lost: LostTime,
}

impl LoadAccount {
    /// Builds the account from lines in any order; `every_ms` is the length of a period.
    pub fn new(lines: &[LogLine], every_ms: Millis) -> Self {
        let mut sorted: Vec<&LogLine> = lines.iter().collect();
        sorted.sort_by_key(|l| l.at);
        let mut collected = Collected::default();
        for line in &sorted {
            collected.add(line);
        }
        let mut account = Self {
            every_ms: every_ms.max(1),
            from_ms: sorted.first().map_or(0, |l| l.at),
            until_ms: sorted.last().map_or(0, |l| l.at),
            without_owner: OwnerGaps::new(&sorted),
            ..Self::default()
        };
        account.limits.full_seconds = collected.full_seconds();
        let jobs = account.judge(&collected.jobs);
        account.count(&jobs, &collected.zones);
        account.refused_calls = collected.refused_calls;
        account.limits.unread = collected.unread;
        account
    }

    /// Adds lines that could not be read, for the footnote.
    #[must_use]
    pub fn with_unread(mut self, unread: UnreadLines) -> Self {
        self.limits.unread.merge(unread);
        self
    }

    /// Formats the account as text tables.
    pub fn text(&self) -> String {
        load_text::render(self)
    }

    /// Determines the outcome of each job, and what its time was spent on.
    fn judge<'a>(&mut self, jobs: &'a BTreeMap<JobId, JobLog>) -> Vec<JudgedJob<'a>> {
        let known = jobs.values();
        let known = known.filter_map(|j| Some((j.queue.as_deref(), j.objective_ms?)));
        let objectives = medians(known);
        let mut judged = Vec::new();
        for log in jobs.values() {
            let Some(at) = log.accepted_at() else {
                if log.is_stored() {
                    self.limits.left_out += 1;
                } else if let Some(refused) = &log.refused {
                    judged.push(JudgedJob {
                        log,
                        outcome: if log.maybe_stored {
                            JobOutcome::Unconfirmed
                        } else {
                            JobOutcome::Refused
                        },
                        at: refused.at,
                        objective_ms: 0,
                        lost: LostTime::default(),
                    });
                }
                continue;
            };
            let estimate = objectives.get(&log.queue.as_deref());
            if log.objective_ms.is_none() && log.end.is_some() {
                let limits = &mut self.limits;
                *match estimate {
                    Some(_) => &mut limits.estimated_objectives,
                    None => &mut limits.unknown_objectives,
                } += 1;
            }
            let objective_ms = log.objective_ms.or(estimate.copied()).unwrap_or(0);
            judged.push(JudgedJob {
                log,
                outcome: outcome(log, at, objective_ms),
                at,
                objective_ms,
                lost: LostTime::new(log, at, self.until_ms, &self.without_owner),
            });
        }
        judged
    }

    /// Counts the jobs into all tables.
    fn count(&mut self, jobs: &[JudgedJob<'_>], zones: &HashMap<&str, Arc<str>>) {
        let in_time = jobs.iter();
        let in_time = in_time.filter(|j| j.outcome == JobOutcome::InTime && j.objective_ms > 0);
        let share = |j: &JudgedJob<'_>| j.lost.run_ms * 1000 / j.objective_ms;
        let run_shares = medians(in_time.map(|j| (j.log.queue.as_deref(), share(j))));
        let mut queues: BTreeMap<Arc<str>, OutcomeCounts> = BTreeMap::new();
        let (mut tenants, mut by_zone) = (queues.clone(), queues.clone());
        let mut periods: BTreeMap<Millis, OutcomeCounts> = BTreeMap::new();
        let mut reasons: BTreeMap<(Arc<str>, WaitReason), OutcomeCounts> = BTreeMap::new();
        for job in jobs {
            let log = job.log;
            let queue = name(log.queue.as_ref());
            let node = log.accepted.as_ref().or(log.refused.as_ref());
            let zone = node.and_then(|n| zones.get(&*n.node));
            let period = job.at / self.every_ms * self.every_ms;
            self.total.add(job.outcome);
            queues.entry(queue.clone()).or_default().add(job.outcome);
            let tenant = name(log.tenant.as_ref());
            tenants.entry(tenant).or_default().add(job.outcome);
            by_zone.entry(name(zone)).or_default().add(job.outcome);
            periods.entry(period).or_default().add(job.outcome);
            let run_share = run_shares.get(&log.queue.as_deref());
            let run_share = run_share.copied().unwrap_or(DEFAULT_RUN_SHARE);
            if let Some(reason) = job.reason(self.until_ms, run_share) {
                let counts = reasons.entry((queue, reason)).or_default();
                counts.add(job.outcome);
            }
        }
        self.by_queue = rows(queues);
        self.by_organisation = rows(tenants);
        self.by_zone = rows(by_zone);
        let periods = periods.into_iter();
        self.by_period =
            rows(periods.map(|(at, c)| (Arc::from(load_text::period_name(at, self.every_ms)), c)));
        let reason_row = |((queue, reason), counts): ((Arc<str>, _), OutcomeCounts)| ReasonRow {
            queue,
            reason,
            jobs: counts.unserved(),
            counts,
        };
        self.reasons = reasons.into_iter().map(reason_row).collect();
        self.reasons
            .sort_by_key(|r| (r.queue.clone(), Reverse(r.jobs), r.reason));
    }
}

impl JudgedJob<'_> {
    /// Returns why the job was not served in time; `None` if it was, or if it was cancelled.
    fn reason(&self, logs_end: Millis, run_share: u64) -> Option<WaitReason> {
        let typical_run_ms = self.objective_ms * run_share / 1000;
        let main_reason = |ended| {
            let lost = &self.lost;
            lost.main_reason(ended, self.objective_ms, typical_run_ms)
        };
        let is_due = self.objective_ms > 0 && logs_end > self.at + self.objective_ms;
        match self.outcome {
            JobOutcome::InTime | JobOutcome::Cancelled => None,
            JobOutcome::Failed => Some(WaitReason::RunFailed),
            JobOutcome::Late | JobOutcome::TooLate => Some(main_reason(true)),
            JobOutcome::NoEnd if is_due => Some(main_reason(false)),
            JobOutcome::NoEnd => Some(WaitReason::NotDue),
            JobOutcome::Refused => self.log.refusal,
            JobOutcome::Unconfirmed => Some(WaitReason::Store),
        }
    }
}

impl<'a> Collected<'a> {
    fn add(&mut self, line: &'a LogLine) {
        let second = (line.event.number(), line.node.as_str(), line.at / 1000);
        *self.line_counts.entry(second).or_default() += 1;
        match line.event {
            FleetEvent::NodeStarted => {
                if let Some(zone) = line.fields().remove("zone") {
                    self.zones.insert(&line.node, Arc::from(zone));
                }
                return;
            }
            FleetEvent::JobAccepted
            | FleetEvent::JobCancelled
            | FleetEvent::JobEnded
            | FleetEvent::JobQueued
            | FleetEvent::JobRefused
            | FleetEvent::RunEnded
            | FleetEvent::RunLost
            | FleetEvent::RunRefused
            | FleetEvent::RunStarted
            | FleetEvent::StepAdvised => {}
            _ => return,
        }
        let fields = line.fields();
        let job = job_of(&fields);
        let is_refusal = line.event == FleetEvent::JobRefused;
        if is_refusal {
            let calls = self.refused_calls.entry(refusal_text(&fields));
            *calls.or_default() += 1;
        }
        // A refused call need not name a job.
        let is_read = match job {
            Some(id) => self.jobs.entry(id).or_default().add(line, &fields),
            None => is_refusal,
        };
        if !is_read {
            let (event, node) = (line.event.number(), &line.node);
            self.unread.add(|| format!("{event} of {node}"));
        }
    }

    fn full_seconds(&self) -> BTreeMap<u16, u64> {
        let mut full = BTreeMap::new();
        let counts = self.line_counts.iter();
        for ((event, _, _), _) in counts.filter(|(_, n)| **n >= MAX_LINES_PER_SECOND) {
            *full.entry(*event).or_default() += 1;
        }
        full
    }
}

/// Returns how an accepted job went.
fn outcome(log: &JobLog, accepted_at: Millis, objective_ms: Millis) -> JobOutcome {
    let Some((ended_at, end)) = log.end else {
        return if log.cancelled {
            JobOutcome::Cancelled
        } else {
            JobOutcome::NoEnd
        };
    };
    let age = ended_at.saturating_sub(accepted_at);
    match end {
        LoggedEnd::Cancelled => JobOutcome::Cancelled,
        LoggedEnd::Failed => JobOutcome::Failed,
        LoggedEnd::Completed if objective_ms == 0 => JobOutcome::InTime,
        LoggedEnd::Completed => match Timeliness::new(age, 0, objective_ms) {
            Timeliness::InTime => JobOutcome::InTime,
            Timeliness::Late => JobOutcome::Late,
            Timeliness::Expired => JobOutcome::TooLate,
        },
    }
}

/// Returns the median of the values of each key.
fn medians<K: Ord>(values: impl Iterator<Item = (K, u64)>) -> BTreeMap<K, u64> {
    let mut by_key: BTreeMap<K, Vec<u64>> = BTreeMap::new();
    for (key, value) in values {
        by_key.entry(key).or_default().push(value);
    }
    let median = |mut values: Vec<u64>| {
        values.sort_unstable();
        values[values.len() / 2]
    };
    by_key.into_iter().map(|(k, v)| (k, median(v))).collect()
}

fn name(stated: Option<&Arc<str>>) -> Arc<str> {
    match stated {
        None => Arc::from(UNKNOWN),
        Some(name) if name.is_empty() => Arc::from("(none)"),
        Some(name) => name.clone(),
    }
}

fn rows(counts: impl IntoIterator<Item = (Arc<str>, OutcomeCounts)>) -> Vec<OutcomeRow> {
    let counts = counts.into_iter();
    counts
        .map(|(name, counts)| OutcomeRow { name, counts })
        .collect()
}
