//! One job's timeline, merged from the log lines of all nodes.
//!
//! `log explain` prints it. Context events are lines that do not name the job but can affect it.
//! It only uses the given lines and calls no node.

use {
    crate::{core::Millis, fleet::FleetEvent, report::LogLine},
    serde::Serialize,
    std::{collections::BTreeSet, fmt::Write},
};

/// How long before the first line of a job context events are included, in ms: a refusal names
/// a loss of contact that is logged up to 2.5 s late.
const CONTEXT_BEFORE_MS: Millis = 5_000;

/// How long after the last line of a job context events are included, in ms.
const CONTEXT_AFTER_MS: Millis = 1_000;

/// Minimum gap between two lines of a job that is reported, in ms: the shortest objective of
/// the sites is 250 ms.
const MIN_REPORTED_GAP_MS: Millis = 250;

/// One entry of a timeline.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// Unix time, in ms.
    pub at: Millis,
    /// Name of the node that logged the event.
    pub node: String,
    /// Number of the event, as in docs/EVENTS.md.
    pub event: u16,
    /// What happened, in words.
    pub text: String,
    /// Whether the line names the job; false for context events.
    #[serde(rename = "own")]
    pub names_job: bool,
    /// Number of later lines of the same event and node that are left out, and the Unix time of
    /// the last, in ms.
    pub repeated: Option<(usize, Millis)>,
}

/// How the submission of a job ended, as far as the logs show.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum LoggedOutcome {
    /// Stored, or at least not refused; no end in the logs.
    Accepted,
    /// The end of the job is durable.
    Ended,
    /// No line names the job.
    Missing,
    /// A write had an unknown outcome, and no line shows that the job was stored.
    OutcomeUnknown,
    Refused,
}

/// One job's timeline; `log explain --output json` prints it under the outer names.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct JobTimeline {
    pub job: String,
    #[serde(rename = "verdict")]
    pub outcome: LoggedOutcome,
    /// In order of time.
    #[serde(rename = "sentences")]
    pub entries: Vec<TimelineEntry>,
    /// Longest gap between two lines of the job, in ms, and the Unix time at which it begins, in
    /// ms; `None` if it is below the reported minimum.
    #[serde(rename = "longest_pause")]
    pub max_gap: Option<(Millis, Millis)>,
}

impl JobTimeline {
    /// Builds the timeline of a job from lines in any order.
    pub fn new(job: &str, lines: &[LogLine]) -> Self {
        let mut job_lines: Vec<&LogLine> = lines.iter().filter(|l| l.mentions_job(job)).collect();
        job_lines.sort_by_key(|l| l.at);
        let (Some(first), Some(last)) = (job_lines.first(), job_lines.last()) else {
            return Self {
                job: job.to_owned(),
                outcome: LoggedOutcome::Missing,
                entries: Vec::new(),
                max_gap: None,
            };
        };
        let context_window =
            first.at.saturating_sub(CONTEXT_BEFORE_MS)..=last.at + CONTEXT_AFTER_MS;
        let executors: BTreeSet<String> = job_lines
            .iter()
            .filter_map(|l| l.fields().remove("executor"))
            .collect();
        let nodes: BTreeSet<&str> = job_lines.iter().map(|l| l.node.as_str()).collect();
        let context_lines = lines
            .iter()
            .filter(|l| context_window.contains(&l.at) && affects_job(l, &executors, &nodes));
        let mut context_lines: Vec<&LogLine> = context_lines.collect();
        context_lines.sort_by_key(|l| l.at);
        let mut entries = collapse_repeats(&context_lines);
        entries.extend(job_lines.iter().map(|l| build_entry(l, true)));
        entries.sort_by_key(|e| e.at);
        let gaps = job_lines.windows(2).map(|w| (w[1].at - w[0].at, w[0].at));
        Self {
            job: job.to_owned(),
            outcome: infer_outcome(&job_lines),
            entries,
            max_gap: gaps.max().filter(|(ms, _)| *ms >= MIN_REPORTED_GAP_MS),
        }
    }

    /// Formats the timeline as text, with times relative to the first line that names the job.
    pub fn text(&self) -> String {
        let job = &self.job;
        let mut text = match self.outcome {
            LoggedOutcome::Accepted => {
                format!("{job} was accepted and has not ended in these logs.\n")
            }
            LoggedOutcome::Ended => format!("{job} was accepted and has ended.\n"),
            LoggedOutcome::Missing => format!("No line names {job}.\n"),
            LoggedOutcome::OutcomeUnknown => {
                format!("{job}: the outcome of its write is not known.\n")
            }
            LoggedOutcome::Refused => format!("{job} was refused; nothing of it was stored.\n"),
        };
        let start = self
            .entries
            .iter()
            .find(|e| e.names_job)
            .map_or(0, |e| e.at);
        for entry in &self.entries {
            let (sign, ms) = if entry.at < start {
                ('-', start - entry.at)
            } else {
                ('+', entry.at - start)
            };
            let marker = if entry.names_job { ' ' } else { '|' };
            let at = format!("{sign}{}.{:03}", ms / 1000, ms % 1000);
            let _ = write!(
                text,
                "{at:>9} s {marker} {} ({}: {})",
                entry.text, entry.node, entry.event
            );
            if let Some((count, until)) = entry.repeated {
                let ms = until.saturating_sub(entry.at);
                let _ = write!(text, ", {count} more in {ms} ms");
            }
            text.push('\n');
        }
        if let Some((ms, at)) = self.max_gap {
            let offset = at.saturating_sub(start);
            let _ = writeln!(
                text,
                "Longest pause: {ms} ms, from +{}.{:03} s on.",
                offset / 1000,
                offset % 1000
            );
        }
        text
    }
}

/// Returns whether an event can affect a job: a change of owner, an event of its executors, or
/// a change of the store, the configuration or the connection to the owner on the nodes that
/// served it.
fn affects_job(line: &LogLine, executors: &BTreeSet<String>, nodes: &BTreeSet<&str>) -> bool {
    match line.event {
        FleetEvent::OwnerClaimed | FleetEvent::OwnerLost => true,
        FleetEvent::ConfigInForce
        | FleetEvent::StoreLost
        | FleetEvent::StoreRegained
        | FleetEvent::PeerConnected
        | FleetEvent::PeerLost => nodes.contains(line.node.as_str()),
        event if is_executor_event(event) => {
            let named = line.fields().remove("executor");
            named.is_none_or(|e| executors.contains(&e))
        }
        _ => false,
    }
}

fn is_executor_event(event: FleetEvent) -> bool {
    matches!(
        event,
        FleetEvent::ExecutorOpened
            | FleetEvent::ExecutorSilent
            | FleetEvent::ExecutorSuspected
            | FleetEvent::ExecutorRestarted
    )
}

fn infer_outcome(job_lines: &[&LogLine]) -> LoggedOutcome {
    let has = |event| job_lines.iter().any(|l| l.event == event);
    let stored =
        has(FleetEvent::JobAccepted) || has(FleetEvent::JobQueued) || has(FleetEvent::RunStarted);
    let refused = job_lines
        .iter()
        .rev()
        .find(|l| l.event == FleetEvent::JobRefused);
    match () {
        () if has(FleetEvent::JobEnded) => LoggedOutcome::Ended,
        () if stored => LoggedOutcome::Accepted,
        () if refused.is_some_and(|l| l.detail.contains("outcome")) => {
            LoggedOutcome::OutcomeUnknown
        }
        () if refused.is_some() => LoggedOutcome::Refused,
        () => LoggedOutcome::Accepted,
    }
}

fn build_entry(line: &LogLine, names_job: bool) -> TimelineEntry {
    let fields = line.fields();
    let field = |name: &str| fields.get(name).map_or("?", String::as_str);
    let text = match line.event {
        FleetEvent::ConfigInForce => format!("configuration {} came into force", field("version")),
        FleetEvent::StoreLost => format!("the store had not answered for {} ms", field("age_ms")),
        FleetEvent::StoreRegained => "the store answered again".to_owned(),
        FleetEvent::OwnerClaimed => format!("this node became the owner, token {}", field("token")),
        FleetEvent::OwnerLost => format!(
            "this node stopped being the owner, token {}",
            field("token")
        ),
        FleetEvent::PeerConnected => "this node was connected to the owner".to_owned(),
        FleetEvent::PeerLost => "this node lost its connection to the owner".to_owned(),
        FleetEvent::JobAccepted => format!("stored; queue {}", field("queue")),
        FleetEvent::JobRefused if fields.contains_key("status") => format!(
            "refused with {} under configuration {}",
            field("status"),
            field("config_version")
        ),
        FleetEvent::JobRefused => describe_refusal(&fields),
        FleetEvent::JobCancelled => "the owner took in its cancellation".to_owned(),
        FleetEvent::JobEnded => format!("its end is durable: {}", field("end")),
        FleetEvent::RunStarted => describe_start(&fields),
        FleetEvent::RunEnded if fields.contains_key("runs") => format!(
            "runs of {} ended on {} as {}, index/run and ms: {}",
            field("step"),
            field("executor"),
            field("end"),
            field("runs")
        ),
        FleetEvent::RunEnded => format!(
            "run {} of {} ended on {} as {} after {} ms",
            field("run"),
            field("task"),
            field("executor"),
            field("end"),
            field("ran_ms")
        ),
        FleetEvent::RunRefused => format!(
            "{} refused {}: {}, try {}",
            field("executor"),
            field("task"),
            field("fault"),
            field("tries")
        ),
        FleetEvent::AdviceFailed => {
            format!("the advice service did not answer for {}", field("step"))
        }
        FleetEvent::StepAdvised => format!(
            "the advice service advised {} of {} executors for {}",
            field("advised"),
            field("named"),
            field("step")
        ),
        FleetEvent::JobQueued => describe_queued(&fields),
        _ => line.detail.clone(),
    };
    TimelineEntry {
        at: line.at,
        node: line.node.clone(),
        event: line.event.number(),
        text,
        names_job,
        repeated: None,
    }
}

/// Builds the entries of context events, each kind of event once per node.
fn collapse_repeats(context_lines: &[&LogLine]) -> Vec<TimelineEntry> {
    let mut entries: Vec<TimelineEntry> = Vec::new();
    for line in context_lines {
        let next = build_entry(line, false);
        // Events of different executors are not repeats; the text names the executor.
        let is_repeat = |e: &&mut TimelineEntry| {
            let of_executor = is_executor_event(line.event);
            e.event == next.event && e.node == next.node && (!of_executor || e.text == next.text)
        };
        match entries.iter_mut().find(is_repeat) {
            Some(first) => {
                let (count, _) = first.repeated.unwrap_or_default();
                first.repeated = Some((count + 1, next.at));
            }
            None => entries.push(next),
        }
    }
    entries
}

type Fields<'a> = std::collections::BTreeMap<&'a str, String>;

fn describe_refusal(fields: &Fields<'_>) -> String {
    let field = |name: &str| fields.get(name).map_or("?", String::as_str);
    let ages = match (fields.get("store_age_ms"), fields.get("config_age_ms")) {
        (Some(store), Some(config)) => format!(
            "; the store had last answered {store} ms before, the configuration was confirmed \
             {config} ms before"
        ),
        _ => String::new(),
    };
    let retry = match fields.get("retry_after_s").map(String::as_str) {
        Some("0") => "; told to come back at once, as another node serves".to_owned(),
        Some(seconds) => format!("; told to come back after {seconds} s"),
        None => String::new(),
    };
    format!("refused: {}{ages}{retry}", field("reason"))
}

fn describe_start(fields: &Fields<'_>) -> String {
    let field = |name: &str| fields.get(name).map_or("?", String::as_str);
    let mut text = if fields.contains_key("runs") {
        format!(
            "runs of {} were ordered, index/run and executor: {}",
            field("step"),
            field("runs")
        )
    } else {
        format!(
            "run {} of {} was ordered on {}",
            field("run"),
            field("task"),
            field("executor")
        )
    };
    if let Some(ms) = fields.get("waited_ms") {
        let _ = write!(text, ", its first start, after waiting {ms} ms");
    }
    if let Some(blocked) = fields.get("blocked") {
        let _ = write!(text, "; kept back until then by: {blocked}");
    }
    text
}

fn describe_queued(fields: &Fields<'_>) -> String {
    let is_true = |name: &str| fields.get(name).is_some_and(|v| v == "true");
    let mut text = String::from(if is_true("inherited") {
        "taken over by this owner; it waits until all runs of the earlier one are known"
    } else {
        "taken in by the owner"
    });
    if is_true("excess") {
        text.push_str("; beyond its organisation's rate, so behind others");
    }
    if let Some(due_in_ms) = fields.get("due_in_ms") {
        let _ = match due_in_ms.strip_prefix('-') {
            Some(ms) => write!(text, "; its objective passed {ms} ms ago"),
            None => write!(text, "; objective in {due_in_ms} ms"),
        };
    }
    text
}
