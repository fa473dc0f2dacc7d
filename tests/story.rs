//! Tests of the timeline of one job that is built from log lines: a refused job, a late job and a
//! job whose outcome is unknown.

use dragonflyferry::{
    fleet::FleetEvent,
    report::{JobTimeline, LogLine, LoggedOutcome},
};

const JOB: &str = "0123456789abcdef";

/// Returns a parsed log line of a node, `ms` milliseconds after 12:06.
fn line(ms: u32, node: &str, event: FleetEvent, detail: &str) -> LogLine {
    let text = format!(
        "{node} {{\"msg\":\"{event:?}\",\"level\":\"INFO\",\"ts\":\"2026-07-02T12:06:{:02}.{:03}Z\",\
         \"node\":\"{node}\",\"detail\":\"{detail}\",\"event\":{}}}",
        ms / 1000,
        ms % 1000,
        event.number()
    );
    LogLine::parse(&text).expect("line")
}

#[test]
fn a_refusal_names_its_cause_and_what_happened_around_it() {
    let refused =
        format!("job={JOB} reason=configuration not fresh store_age_ms=3600 config_age_ms=3700");
    let lines = [
        line(13_000, "n2", FleetEvent::StoreLost, "age_ms=2600"),
        line(12_500, "n1", FleetEvent::StoreLost, "age_ms=2600"),
        line(13_500, "n1", FleetEvent::JobRefused, &refused),
        line(
            13_600,
            "n1",
            FleetEvent::JobRefused,
            "job=fedcba9876543210 reason=other",
        ),
    ];
    let story = JobTimeline::new(JOB, &lines);
    assert_eq!(story.outcome, LoggedOutcome::Refused);
    insta::assert_snapshot!(story.text());
}

#[test]
fn a_late_job_is_told_over_all_nodes_in_order_of_time() {
    let started =
        format!("task={JOB}.0.0.0 run=1048577 executor=i-1 waited_ms=3100 blocked=Takeover");
    let lines = [
        line(14_200, "n2", FleetEvent::RunStarted, &started),
        line(
            10_000,
            "n1",
            FleetEvent::JobAccepted,
            &format!("job={JOB} queue=q"),
        ),
        line(11_000, "n2", FleetEvent::OwnerClaimed, "token=2"),
        line(
            11_100,
            "n2",
            FleetEvent::JobQueued,
            &format!("job={JOB} inherited=true excess=false due_in_ms=1130"),
        ),
        line(
            14_100,
            "n2",
            FleetEvent::ExecutorOpened,
            "executor=i-1 running=0",
        ),
        line(
            14_100,
            "n2",
            FleetEvent::ExecutorOpened,
            "executor=i-9 running=0",
        ),
        line(
            15_200,
            "n2",
            FleetEvent::RunEnded,
            &format!("task={JOB}.0.0.0 run=1048577 executor=i-1 end=Done ran_ms=990"),
        ),
        line(
            15_210,
            "n2",
            FleetEvent::JobEnded,
            &format!("job={JOB} end=Completed"),
        ),
    ];
    let story = JobTimeline::new(JOB, &lines);
    assert_eq!(story.outcome, LoggedOutcome::Ended);
    assert_eq!(story.max_gap.map(|(ms, _)| ms), Some(3_100));
    insta::assert_snapshot!(story.text());
}

#[test]
fn what_repeats_around_a_job_is_told_once() {
    let mut lines: Vec<LogLine> = (0..20)
        .map(|i| line(10_000 + 100 * i, "n1", FleetEvent::PeerLost, "owner=n2"))
        .collect();
    let refused = format!("job={JOB} reason=neither owner nor store answer");
    lines.push(line(11_000, "n1", FleetEvent::JobRefused, &refused));
    let story = JobTimeline::new(JOB, &lines);
    assert_eq!(story.entries.len(), 2);
    assert_eq!(story.entries[0].repeated.map(|(times, _)| times), Some(19));
}

#[test]
fn an_unknown_outcome_is_settled_by_what_follows() {
    let unknown = line(
        10_000,
        "n1",
        FleetEvent::JobRefused,
        &format!("job={JOB} reason=outcome of a write not known"),
    );
    let story = JobTimeline::new(JOB, std::slice::from_ref(&unknown));
    assert_eq!(story.outcome, LoggedOutcome::OutcomeUnknown);
    let queued = format!("job={JOB} inherited=false excess=false due_in_ms=250");
    let lines = [line(10_400, "n2", FleetEvent::JobQueued, &queued), unknown];
    assert_eq!(
        JobTimeline::new(JOB, &lines).outcome,
        LoggedOutcome::Accepted
    );
}

#[test]
fn lines_of_others_and_text_that_is_no_line_are_left_out() {
    assert_eq!(LogLine::parse("no line"), None);
    assert_eq!(
        LogLine::parse("{\"ts\":\"yesterday\",\"node\":\"n\",\"event\":210}"),
        None
    );
    assert_eq!(
        LogLine::parse("{\"ts\":\"2026-07-02T12:06:45Z\",\"node\":\"n\",\"event\":9999}"),
        None
    );
    let story = JobTimeline::new(
        JOB,
        &[line(
            1,
            "n1",
            FleetEvent::JobAccepted,
            "job=fedcba9876543210",
        )],
    );
    assert_eq!(story.outcome, LoggedOutcome::Missing);
    assert_eq!(story.text(), format!("No line names {JOB}.\n"));
}

/// A suspicion of an executor that runs a task of the job belongs to its story, and so do the
/// advice for its steps and what a refused caller was told.
#[test]
fn advice_refusals_and_suspicions_are_told() {
    let refused = format!(
        "job={JOB} reason=configuration not fresh store_age_ms=900 config_age_ms=3600 \
         another_serves=true retry_after_s=0"
    );
    let advised = format!("step={JOB}.0.0 named=30 renewed=0 advised=9");
    let started = format!("task={JOB}.0.0.0 run=1 executor=i-1 waited_ms=30 blocked=Advice");
    let suspected = "executor=i-1 cause=failures of several jobs in a row";
    let lines = [
        line(9_000, "n1", FleetEvent::JobRefused, &refused),
        line(10_000, "n2", FleetEvent::StepAdvised, &advised),
        line(10_010, "n2", FleetEvent::RunStarted, &started),
        line(10_900, "n2", FleetEvent::ExecutorSuspected, suspected),
    ];
    let text = JobTimeline::new(JOB, &lines).text();
    assert!(text.contains("told to come back at once"), "{text}");
    assert!(text.contains("advised 9 of 30 executors"), "{text}");
    assert!(text.contains("failures of several jobs in a row"), "{text}");
}

#[test]
fn the_runs_of_a_step_that_start_or_end_together_are_told_in_one_line() {
    let started =
        format!("step={JOB}.0.0 runs=0/1@i-1,1/1@i-2 waited_ms=120 blocked=AdvicePending");
    let ended = format!("step={JOB}.0.0 executor=i-1 end=Done runs=0/1:950");
    let lines = [
        line(
            10_000,
            "n1",
            FleetEvent::JobAccepted,
            &format!("job={JOB} queue=q"),
        ),
        line(10_120, "n2", FleetEvent::RunStarted, &started),
        line(11_100, "n2", FleetEvent::RunEnded, &ended),
    ];
    let story = JobTimeline::new(JOB, &lines);
    assert_eq!(story.outcome, LoggedOutcome::Accepted);
    insta::assert_snapshot!(story.text());
}
