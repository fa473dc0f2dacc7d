//! Log lines of starts and ends, one for all runs of a step that start in a round or end in a reply.
//!
//! A line for each run would exceed the rate limit of the log on a large fleet, and the cause of a
//! late job could no longer be found. Used by the cell.

use {
    crate::{
        core::Millis,
        fleet::{ExecutorId, RunEnd, RunNumber, StepId, TaskId},
    },
    std::fmt::Write,
};

/// Runs that one line names; the rest is counted.
const MAX_RUNS_PER_LINE: usize = 100;

/// A run that was started.
#[derive(Clone, Debug)]
pub struct StartedRun {
    pub task: TaskId,
    pub run: RunNumber,
    pub executor: ExecutorId,
}

/// A run that ended, and how long it ran, in ms.
#[derive(Clone, Debug)]
pub struct EndedRun {
    pub task: TaskId,
    pub run: RunNumber,
    pub executor: ExecutorId,
    pub end: RunEnd,
    pub ran_ms: Millis,
}

/// Returns the detail of a line for runs of one step: `INDEX/RUN@EXECUTOR` each.
pub fn format_started(step: &StepId, runs: &[StartedRun]) -> String {
    let mut text = format!("step={step} runs=");
    for (i, run) in runs.iter().take(MAX_RUNS_PER_LINE).enumerate() {
        let separator = if i == 0 { "" } else { "," };
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "{separator}{}/{}@{}",
            run.task.index, run.run, run.executor
        );
    }
    append_rest(&mut text, runs.len());
    text
}

/// Returns the details of the lines for runs that ended, a line for each step, executor and kind of end:
/// `INDEX/RUN:MS` each.
pub fn format_ended(runs: &[EndedRun]) -> Vec<String> {
    let mut lines = Vec::new();
    let mut rest: Vec<&EndedRun> = runs.iter().collect();
    while let Some(first) = rest.first().copied() {
        let key = |r: &EndedRun| (r.task.step, r.executor.clone(), r.end);
        let same = |r: &&EndedRun| key(r) == key(first);
        let (of_line, others): (Vec<_>, Vec<_>) = rest.into_iter().partition(same);
        let mut text = format!(
            "step={} executor={} end={:?} runs=",
            first.task.step, first.executor, first.end
        );
        for (i, run) in of_line.iter().take(MAX_RUNS_PER_LINE).enumerate() {
            let separator = if i == 0 { "" } else { "," };
            let _ = write!(
                text,
                "{separator}{}/{}:{}",
                run.task.index, run.run, run.ran_ms
            );
        }
        append_rest(&mut text, of_line.len());
        lines.push(text);
        rest = others;
    }
    lines
}

fn append_rest(text: &mut String, count: usize) {
    if count > MAX_RUNS_PER_LINE {
        let _ = write!(text, ",... more={}", count - MAX_RUNS_PER_LINE);
    }
}
