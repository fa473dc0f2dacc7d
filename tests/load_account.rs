//! Tests of the account of outcomes by reason that is built from log lines: every job is counted
//! once, and what it waited for is found where the lines show it and not guessed where they don't.

use {
    dragonflyferry::{
        fleet::FleetEvent::{self, *},
        report::{LoadAccount, LogLine, OutcomeCounts, OutcomeRow, WaitReason},
    },
    std::{
        io::Write,
        process::{Command, Output, Stdio},
    },
};

/// Returns a log line of a node, `ms` milliseconds after 12:06.
fn text_line(ms: u64, node: &str, event: FleetEvent, detail: &str) -> String {
    format!(
        "{node} {{\"msg\":\"{event:?}\",\"level\":\"INFO\",\"ts\":\"2026-07-02T12:06:{:02}.{:03}Z\",\
         \"node\":\"{node}\",\"detail\":\"{detail}\",\"event\":{}}}",
        ms / 1000,
        ms % 1000,
        event.number()
    )
}

/// Lines of a log that is written by hand; the owner is `n2`.
#[derive(Default)]
struct Log(Vec<LogLine>);

impl Log {
    fn add(&mut self, ms: u64, node: &str, event: FleetEvent, detail: &str) {
        let line = LogLine::parse(&text_line(ms, node, event, detail));
        self.0.push(line.expect("line"));
    }

    /// Adds the acceptance of job `n` of queue `q`, with an objective of 1 s.
    fn accept(&mut self, ms: u64, n: u64) {
        self.add(ms, "n1", JobAccepted, &format!("job={n:016x} queue=q"));
        let queued = format!(
            "job={n:016x} inherited=false excess=false due_in_ms=1000 queue=q tenant=anvil"
        );
        self.add(ms, "n2", JobQueued, &queued);
    }

    fn start(&mut self, ms: u64, n: u64, step: u32, rest: &str) {
        let detail = format!("step={n:016x}.0.{step} {rest}");
        self.add(ms, "n2", RunStarted, &detail);
    }

    fn end_run(&mut self, ms: u64, n: u64, step: u32, rest: &str) {
        let detail = format!("step={n:016x}.0.{step} executor=i-1 {rest}");
        self.add(ms, "n2", RunEnded, &detail);
    }

    fn end(&mut self, ms: u64, n: u64, end: &str) {
        self.add(ms, "n2", JobEnded, &format!("job={n:016x} end={end}"));
    }

    fn refuse(&mut self, ms: u64, n: u64, reason: &str) {
        let detail = format!("job={n:016x} reason={reason}");
        self.add(ms, "n1", JobRefused, &detail);
    }

    /// Builds the account and checks that its tables agree with each other.
    fn account(&self) -> LoadAccount {
        let account = LoadAccount::new(&self.0, 2000);
        let total = account.total;
        for rows in [
            &account.by_queue,
            &account.by_organisation,
            &account.by_zone,
            &account.by_period,
        ] {
            for row in rows {
                assert_sums_up(&row.counts);
            }
            let sum = |count: fn(&OutcomeRow) -> u64| rows.iter().map(count).sum::<u64>();
            assert_eq!(sum(|r| r.counts.accepted), total.accepted);
            assert_eq!(sum(|r| r.counts.unserved()), total.unserved());
        }
        let explained: u64 = account.reasons.iter().map(|r| r.jobs).sum();
        assert_eq!(explained, total.unserved(), "one reason for each job");
        account
    }
}

fn assert_sums_up(c: &OutcomeCounts) {
    let outcomes = c.in_time + c.late + c.too_late + c.failed + c.cancelled + c.no_end;
    assert_eq!(c.accepted, outcomes, "{c:?}");
}

/// Returns the only reason in an account of one job that was not served in time.
fn only_reason(log: &Log) -> WaitReason {
    let account = log.account();
    assert_eq!(account.reasons.len(), 1, "{}", account.text());
    account.reasons[0].reason
}

/// Guards against jobs that are counted twice or in no column: refused before they were accepted,
/// cancelled without a durable end, accepted twice, or with a write of unknown outcome, which must
/// never appear as refused.
#[test]
fn each_job_is_counted_once_in_every_table() {
    let mut log = Log::default();
    log.add(0, "n1", NodeStarted, "zone=east");
    log.add(0, "n2", OwnerClaimed, "token=1");
    for n in 1..=7 {
        log.accept(1000 * n, n);
        log.start(1000 * n + 10, n, 0, "runs=0/1@i-1 waited_ms=10");
    }
    log.add(1100, "n1", JobAccepted, "job=0000000000000001 queue=q");
    log.end(1900, 1, "Completed");
    log.end(4000, 2, "Completed");
    log.end(5001, 3, "Completed");
    log.end(9001, 4, "Completed");
    log.end(5500, 5, "Failed");
    let cancelled = "job=0000000000000006";
    log.add(6100, "n2", JobCancelled, cancelled);
    log.refuse(500, 1, "the store takes no writes store_age_ms=9");
    log.refuse(2000, 8, "configuration not fresh store_age_ms=9");
    log.refuse(2500, 8, "the store takes no writes store_age_ms=9");
    log.refuse(3000, 9, "the store takes no writes");
    log.refuse(3500, 9, "outcome of a write not known");
    let status_query = "neither owner nor store answer store_age_ms=9";
    log.refuse(3600, 10, status_query);
    let wrong_key = "path=/q/000000000000000b status=401 Unauthorized config_version=1";
    log.add(3700, "n1", JobRefused, wrong_key);
    log.end(9500, 12, "Completed");
    let account = log.account();
    assert_eq!(account.limits.left_out, 1);
    insta::assert_snapshot!(account.text());
}

/// Guards against waits that are charged to the wrong cause: each job is late for one reason.
#[test]
fn the_longest_wait_is_the_reason() {
    let done = "end=Done runs=0/1:300";
    let case = |events: &dyn Fn(&mut Log)| {
        let mut log = Log::default();
        log.add(0, "n2", OwnerClaimed, "token=1");
        log.accept(0, 1);
        events(&mut log);
        only_reason(&log)
    };
    let first_step = case(&|log| {
        log.start(900, 1, 0, "runs=0/1@i-1 waited_ms=900 blocked=Cap");
        log.end_run(1200, 1, 0, done);
        log.end(1210, 1, "Completed");
    });
    assert_eq!(first_step, WaitReason::Cap);
    let second_step = case(&|log| {
        log.start(100, 1, 0, "runs=0/1@i-1 waited_ms=100 blocked=Room");
        log.end_run(400, 1, 0, done);
        log.start(1000, 1, 1, "runs=0/1@i-1 blocked=AdviceSlots");
        log.end_run(1300, 1, 1, done);
        log.end(1310, 1, "Completed");
    });
    assert_eq!(second_step, WaitReason::AdviceSlots);
    let last_task = case(&|log| {
        log.start(10, 1, 0, "runs=0/1@i-1 waited_ms=10");
        log.start(900, 1, 0, "runs=1/1@i-1 blocked=Members");
        log.end_run(1200, 1, 0, "end=Done runs=0/1:300,1/1:300");
        log.end(1210, 1, "Completed");
    });
    assert_eq!(last_task, WaitReason::Members);
    let failed_run = case(&|log| {
        log.start(10, 1, 0, "runs=0/1@i-1 waited_ms=10");
        log.end_run(800, 1, 0, "end=Failed runs=0/1:790");
        log.start(900, 1, 0, "runs=0/2@i-2 blocked=Room");
        log.end_run(1200, 1, 0, "end=Done runs=0/2:300");
        log.end(1210, 1, "Completed");
    });
    assert_eq!(failed_run, WaitReason::RunFailed);
    let lost_run = case(&|log| {
        // Format of an earlier version: a line for each task.
        let task = "task=0000000000000001.0.0.0 run=1 executor=i-1";
        log.add(10, "n2", RunStarted, &format!("{task} waited_ms=10"));
        log.add(800, "n2", RunLost, &format!("{task} loss=LeaseExpired"));
        log.start(900, 1, 0, "runs=0/2@i-2 blocked=Room");
        log.end_run(1200, 1, 0, "end=Done runs=0/2:300");
        log.end(1210, 1, "Completed");
    });
    assert_eq!(lost_run, WaitReason::StartFailed);
    let slow_run = case(&|log| {
        log.start(300, 1, 0, "runs=0/1@i-1 waited_ms=300 blocked=Room");
        log.end_run(1200, 1, 0, "end=Done runs=0/1:900");
        log.end(1210, 1, "Completed");
    });
    assert_eq!(slow_run, WaitReason::SlowRun);
    let commit = case(&|log| {
        log.start(10, 1, 0, "runs=0/1@i-1 waited_ms=10");
        log.end_run(310, 1, 0, done);
        log.end(1210, 1, "Completed");
    });
    assert_eq!(commit, WaitReason::Commit);
    let not_started = case(&|log| log.add(1500, "n2", ExecutorOpened, "executor=i-1"));
    assert_eq!(not_started, WaitReason::NotStarted);
    let not_due = case(&|log| log.add(900, "n2", ExecutorOpened, "executor=i-1"));
    assert_eq!(not_due, WaitReason::NotDue);
}

/// Guards against a commit or a slow run that is blamed for time of which the lines are missing:
/// under load most lines of ends are suppressed, and the last one shown is not the last end.
#[test]
fn time_without_lines_of_ends_is_blamed_on_nothing() {
    let mut log = Log::default();
    log.accept(0, 1);
    log.start(10, 1, 0, "runs=0/1@i-1,1/1@i-1 waited_ms=10");
    log.end_run(310, 1, 0, "end=Done runs=0/1:300");
    log.end(1210, 1, "Completed");
    assert_eq!(only_reason(&log), WaitReason::EndsNotShown);
    let mut unnamed = Log::default();
    unnamed.accept(0, 1);
    unnamed.start(10, 1, 0, "runs=0/1@i-1,... more=1 waited_ms=10");
    unnamed.end_run(310, 1, 0, "end=Done runs=0/1:300");
    unnamed.end(1210, 1, "Completed");
    assert_eq!(only_reason(&unnamed), WaitReason::EndsNotShown);
    let mut between_steps = Log::default();
    between_steps.accept(0, 1);
    between_steps.start(10, 1, 0, "runs=0/1@i-1,1/1@i-1 waited_ms=10");
    between_steps.end_run(310, 1, 0, "end=Done runs=0/1:300");
    between_steps.start(1100, 1, 1, "runs=0/1@i-1");
    between_steps.end_run(1400, 1, 1, "end=Done runs=0/1:300");
    between_steps.end(1410, 1, "Completed");
    assert_eq!(only_reason(&between_steps), WaitReason::EndsNotShown);
}

/// Guards against a missed loss of the owner: a killed owner logs no 207, and one that cannot prove
/// its ownership sends nothing although it has not lost it.
#[test]
fn a_killed_or_unproved_owner_is_a_period_without_an_owner() {
    let mut log = Log::default();
    log.add(0, "n2", OwnerClaimed, "token=1");
    log.accept(100, 1);
    log.add(1500, "n3", OwnerClaimed, "token=2");
    log.add(1600, "n2", OwnerLost, "token=1");
    let inherited = "job=0000000000000001 inherited=true excess=false due_in_ms=1000";
    log.add(1600, "n3", JobQueued, inherited);
    let started = "step=0000000000000001.0.0 runs=0/1@i-1 waited_ms=300 blocked=Takeover";
    log.add(1900, "n3", RunStarted, started);
    let unproved = "age_ms=Some(1210) sends_commands=false";
    log.add(3000, "n3", OwnershipUnconfirmed, unproved);
    let proved = "age_ms=Some(3) sends_commands=true";
    log.add(3500, "n3", OwnershipUnconfirmed, proved);
    log.add(4000, "n3", OwnerLost, "token=2");
    log.add(4200, "n1", StoreLost, "age_ms=2500");
    let account = log.account();
    let start = account.from_ms;
    let periods = account.without_owner.periods().iter();
    let periods: Vec<_> = periods.map(|(a, b)| (a - start, b - start)).collect();
    assert_eq!(periods, [(100, 1500), (3000, 3500), (4000, 4200)]);
    assert_eq!(only_reason(&log), WaitReason::Owner);
}

/// Guards against ended jobs that disappear from the account, or count as late, because the line of
/// their objective was suppressed after a takeover.
#[test]
fn a_job_without_its_objective_is_judged_by_its_queue() {
    let mut log = Log::default();
    log.accept(0, 1);
    log.end(900, 1, "Completed");
    for (n, ended_at) in [(2, 1900), (3, 2100)] {
        let accepted = format!("job={n:016x} queue=q");
        log.add(1000, "n1", JobAccepted, &accepted);
        log.end(ended_at, n, "Completed");
    }
    let other = "job=0000000000000004 queue=without";
    log.add(1000, "n1", JobAccepted, other);
    log.end(9000, 4, "Completed");
    let account = log.account();
    assert_eq!(account.limits.estimated_objectives, 2);
    assert_eq!(account.limits.unknown_objectives, 1);
    assert_eq!((account.total.in_time, account.total.late), (3, 1));
}

fn run_client(args: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dragonflyferry"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the client starts");
    let mut stdin = child.stdin.take().expect("input");
    // The write may fail: a client that refuses its arguments exits without reading its input.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("output")
}

/// Guards against a truncated or foreign line that makes the report fail or goes unmentioned, and
/// against a flood whose missing lines the footnote does not name.
#[test]
fn unread_lines_and_floods_are_named_in_the_notes() {
    let mut input = b"a collector's banner\n\n{\"ts\":\"2026-07-02T12:0\n\xff\xfe\n".to_vec();
    for n in 0..400 {
        let accepted = format!("job={n:016x} queue=q");
        let line = text_line(1000 + n, "n1", JobAccepted, &accepted);
        input.extend(line.into_bytes());
        input.push(b'\n');
    }
    let without_job = text_line(2000, "n2", JobEnded, "end=Completed");
    input.extend(without_job.into_bytes());
    let output = run_client(&["report", "load", "--every", "60"], &input);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let (_, notes) = text.split_once("\nNotes\n").expect("notes");
    insta::assert_snapshot!(notes);
    let json = run_client(&["--output", "json", "report", "load"], &input).stdout;
    let json: serde_json::Value = serde_json::from_slice(&json).expect("JSON");
    assert_eq!(json["total"]["accepted"], 400);
    assert_eq!(json["limits"]["unread"]["count"], 4);
    let no_lines = run_client(&["report", "load"], b"noise\n");
    assert_eq!(no_lines.status.code(), Some(1));
    assert!(no_lines.stderr.starts_with(b"E4107"));
    let no_period = run_client(&["report", "load", "--every", "0"], b"");
    assert_eq!(no_period.status.code(), Some(2));
}

/// Guards against an objective that counts from a new owner's takeover: a job of 1.4 s that was taken over
/// after its objective of 1 s had passed is late.
#[test]
fn the_objective_of_a_job_that_was_taken_over_counts_from_its_acceptance() {
    let mut log = Log::default();
    log.add(0, "n1", JobAccepted, &format!("job={:016x} queue=q", 1));
    let inherited = "job=0000000000000001 inherited=true excess=false age_ms=1200 due_in_ms=-200 \
                     queue=q tenant=anvil";
    log.add(1_200, "n2", JobQueued, inherited);
    log.end(1_400, 1, "Completed");
    let account = log.account();
    assert_eq!(account.total.late, 1);
    assert_eq!(account.limits.estimated_objectives, 0);
    assert_eq!(account.limits.unknown_objectives, 0);
}
