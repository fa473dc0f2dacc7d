//! One job's timeline, put together from the log lines of all nodes.

use {
    crate::{core::Millis, fleet::FleetEvent, report::LogLine},
    serde::Serialize,
    std::{collections::BTreeSet, fmt::Write},
};

/// Time before the first line of a job in which events around it are told, in ms: a refusal
/// names a loss of contact that was logged up to 2.5 s late.
const LEAD_MS: Millis = 5_000;

/// Time after the last line of a job in which events around it are told, in ms.
const TRAIL_MS: Millis = 1_000;

/// Shortest pause between two lines of a job that is pointed out, in ms: the shortest
/// objective of the sites is 250 ms.
const PAUSE_MS: Millis = 250;

/// One entry of a timeline.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// Unix time, in ms.
    pub at: Millis,
    pub node: String,
    /// Number of the event, as in docs/EVENTS.md.
    pub event: u16,
    pub text: String,
    /// Told by the job itself, not by what happened around it.
    #[serde(rename = "own")]
    pub names_job: bool,
    /// Later lines of the same event and node that were left out, and the time of the last.
    pub repeated: Option<(usize, Millis)>,
}

/// How a job's call ended, as far as the logs tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum LoggedOutcome {
    Accepted,
    Ended,
    /// No line names it.
    Missing,
    OutcomeUnknown,
    Refused,
}

/// One job's timeline.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct JobTimeline {
    pub job: String,
    #[serde(rename = "verdict")]
    pub outcome: LoggedOutcome,
    #[serde(rename = "sentences")]
    pub entries: Vec<TimelineEntry>,
    /// Longest pause between two lines of the job, in ms, and when it began.
    #[serde(rename = "longest_pause")]
    pub max_gap: Option<(Millis, Millis)>,
}

impl JobTimeline {
    /// Tells the timeline of a job from lines in any order.
    pub fn new(job: &str, lines: &[LogLine]) -> Self {
        let mut own: Vec<&LogLine> = lines.iter().filter(|l| l.mentions_job(job)).collect();
        own.sort_by_key(|l| l.at);
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return Self {
                job: job.to_owned(),
                outcome: LoggedOutcome::Missing,
                entries: Vec::new(),
                max_gap: None,
            };
        };
        let window = first.at.saturating_sub(LEAD_MS)..=last.at + TRAIL_MS;
        let executors: BTreeSet<String> = own
            .iter()
            .filter_map(|l| l.fields().remove("executor"))
            .collect();
        let nodes: BTreeSet<&str> = own.iter().map(|l| l.node.as_str()).collect();
        let around = lines
            .iter()
            .filter(|l| window.contains(&l.at) && touches(l, &executors, &nodes));
        let mut around: Vec<&LogLine> = around.collect();
        around.sort_by_key(|l| l.at);
        let mut entries = without_repeats(&around);
        entries.extend(own.iter().map(|l| entry(l, true)));
        entries.sort_by_key(|s| s.at);
        let pauses = own.windows(2).map(|w| (w[1].at - w[0].at, w[0].at));
        Self {
            job: job.to_owned(),
            outcome: outcome(&own),
            entries,
            max_gap: pauses.max().filter(|(ms, _)| *ms >= PAUSE_MS),
        }
    }

    /// Writes the timeline as text, times counted from its first line.
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
            .find(|s| s.names_job)
            .map_or(0, |s| s.at);
        for s in &self.entries {
            let (sign, ms) = if s.at < start {
                ('-', start - s.at)
            } else {
                ('+', s.at - start)
            };
            let mark = if s.names_job { ' ' } else { '|' };
            let at = format!("{sign}{}.{:03}", ms / 1000, ms % 1000);
            let _ = write!(
                text,
                "{at:>9} s {mark} {} ({}: {})",
                s.text, s.node, s.event
            );
            if let Some((times, until)) = s.repeated {
                let ms = until.saturating_sub(s.at);
                let _ = write!(text, ", {times} more in {ms} ms");
            }
            text.push('\n');
        }
        if let Some((ms, at)) = self.max_gap {
            let after = at.saturating_sub(start);
            let _ = writeln!(
                text,
                "Longest pause: {ms} ms, from +{}.{:03} s on.",
                after / 1000,
                after % 1000
            );
        }
        text
    }
}

/// Tells whether an event matters to a job: a change of owner, its executors, or the store's
/// and the configuration's state on the nodes that served it.
fn touches(line: &LogLine, executors: &BTreeSet<String>, nodes: &BTreeSet<&str>) -> bool {
    match line.event {
        FleetEvent::OwnerClaimed | FleetEvent::OwnerLost => true,
        FleetEvent::ConfigInForce
        | FleetEvent::StoreLost
        | FleetEvent::StoreRegained
        | FleetEvent::PeerConnected
        | FleetEvent::PeerLost => nodes.contains(line.node.as_str()),
        event if is_of_executor(event) => {
            let named = line.fields().remove("executor");
            named.is_none_or(|e| executors.contains(&e))
        }
        _ => false,
    }
}

fn is_of_executor(event: FleetEvent) -> bool {
    matches!(
        event,
        FleetEvent::ExecutorOpened
            | FleetEvent::ExecutorSilent
            | FleetEvent::ExecutorSuspected
            | FleetEvent::ExecutorRestarted
    )
}

fn outcome(own: &[&LogLine]) -> LoggedOutcome {
    let has = |event| own.iter().any(|l| l.event == event);
    let stored =
        has(FleetEvent::JobAccepted) || has(FleetEvent::JobQueued) || has(FleetEvent::RunStarted);
    let refused = own.iter().rev().find(|l| l.event == FleetEvent::JobRefused);
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

fn entry(line: &LogLine, names_job: bool) -> TimelineEntry {
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
        FleetEvent::JobRefused => refusal(&fields),
        FleetEvent::JobCancelled => "the owner took in its cancellation".to_owned(),
        FleetEvent::JobEnded => format!("its end is durable: {}", field("end")),
        FleetEvent::RunStarted => started(&fields),
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
        FleetEvent::JobQueued => queued(&fields),
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

/// Tells events around a job, each kind once for a node.
fn without_repeats(around: &[&LogLine]) -> Vec<TimelineEntry> {
    let mut entries: Vec<TimelineEntry> = Vec::new();
    for line in around {
        let next = entry(line, false);
        // What happens to executors differs by executor.
        let same = |s: &&mut TimelineEntry| {
            let executors = is_of_executor(line.event);
            s.event == next.event && s.node == next.node && (!executors || s.text == next.text)
        };
        match entries.iter_mut().find(same) {
            Some(first) => {
                let (times, _) = first.repeated.unwrap_or_default();
                first.repeated = Some((times + 1, next.at));
            }
            None => entries.push(next),
        }
    }
    entries
}

type Fields<'a> = std::collections::BTreeMap<&'a str, String>;

fn refusal(fields: &Fields<'_>) -> String {
    let field = |name: &str| fields.get(name).map_or("?", String::as_str);
    let ages = match (fields.get("store_age_ms"), fields.get("config_age_ms")) {
        (Some(store), Some(config)) => format!(
            "; the store had last answered {store} ms before, the configuration was confirmed \
             {config} ms before"
        ),
        _ => String::new(),
    };
    format!("refused: {}{ages}", field("reason"))
}

fn started(fields: &Fields<'_>) -> String {
    let field = |name: &str| fields.get(name).map_or("?", String::as_str);
    let mut text = format!(
        "run {} of {} was ordered on {}",
        field("run"),
        field("task"),
        field("executor")
    );
    if let Some(ms) = fields.get("waited_ms") {
        let _ = write!(text, ", its first start, after {ms} ms at the owner");
    }
    if let Some(blocked) = fields.get("blocked") {
        let _ = write!(text, "; kept back until then by: {blocked}");
    }
    text
}

fn queued(fields: &Fields<'_>) -> String {
    let is = |name: &str| fields.get(name).is_some_and(|v| v == "true");
    let mut text = String::from(if is("inherited") {
        "taken over by this owner; it waits until all runs of the earlier one are known"
    } else {
        "taken in by the owner"
    });
    if is("excess") {
        text.push_str("; beyond its organisation's rate, so behind others");
    }
    if let Some(due) = fields.get("due_in_ms") {
        let _ = write!(text, "; objective in {due} ms");
    }
    text
}
