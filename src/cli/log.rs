//! Commands that read the logs of daemons on the platform; they contact no node.

use {
    crate::{
        cli::{Args, CliError, ExitKind, changes::print_output},
        report::{JobTimeline, LogLine, LoggedOutcome},
    },
    std::io::Read,
};

/// `log explain JOB [FILE...]`: prints a job's timeline; exits with `Refused` if no line names it.
///
/// Reads standard input if no file is given; lines of other programs are skipped.
pub fn log(mut args: Args) -> Result<ExitKind, CliError> {
    let action = args.positional("verb: explain")?;
    if action != "explain" {
        return Err(CliError::usage(format!("there is no `log {action}`")));
    }
    let job = args.positional("job")?;
    let mut text = String::new();
    let mut has_files = false;
    while let Ok(path) = args.positional("file") {
        has_files = true;
        let read = std::fs::read_to_string(&path);
        text += &read.map_err(|e| CliError::usage(format!("cannot read {path}: {e}")))?;
        text.push('\n');
    }
    args.finish()?;
    if !has_files {
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|e| CliError::usage(format!("cannot read standard input: {e}")))?;
    }
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    if lines.is_empty() {
        return Err(CliError::NoLines);
    }
    let timeline = JobTimeline::new(&job, &lines);
    print_output(args.output, &timeline, JobTimeline::text);
    Ok(if timeline.outcome == LoggedOutcome::Missing {
        ExitKind::Refused
    } else {
        ExitKind::Done
    })
}
