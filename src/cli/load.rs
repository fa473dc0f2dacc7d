//! `report load`: outcomes of jobs over a period, from the logs of daemons on the platform; it
//! contacts no node.

use {
    crate::{
        cli::{Args, CliError, ExitKind, changes::print_output},
        report::{LoadAccount, LogLine, UnreadLines},
    },
    std::{
        fs::File,
        io::{BufRead, BufReader},
    },
};

/// `report load [--every SECONDS] [FILE...]`: reads standard input if no file is given.
///
/// Lines that are no log lines are counted, and named in the account.
pub fn load(mut args: Args, every_s: u64) -> Result<ExitKind, CliError> {
    let mut paths = Vec::new();
    while let Ok(path) = args.positional("file") {
        if path.starts_with("--") {
            return Err(CliError::usage(format!("`{path}` is not understood")));
        }
        paths.push(path);
    }
    args.finish()?;
    let mut lines = Vec::new();
    let mut unread = UnreadLines::default();
    for path in &paths {
        let file = File::open(path);
        let file = file.map_err(|e| CliError::usage(format!("cannot read {path}: {e}")))?;
        read_lines(path, BufReader::new(file), &mut lines, &mut unread)?;
    }
    if paths.is_empty() {
        read_lines(
            "standard input",
            std::io::stdin().lock(),
            &mut lines,
            &mut unread,
        )?;
    }
    if lines.is_empty() {
        return Err(CliError::NoLines);
    }
    let account = LoadAccount::new(&lines, every_s * 1000).with_unread(unread);
    print_output(args.output, &account, LoadAccount::text);
    Ok(ExitKind::Done)
}

/// Reads all lines of a file; blank lines are skipped, and invalid UTF-8 is replaced, so that a
/// truncated line costs only itself.
fn read_lines(
    name: &str,
    mut input: impl BufRead,
    lines: &mut Vec<LogLine>,
    unread: &mut UnreadLines,
) -> Result<(), CliError> {
    let mut buffer = Vec::new();
    for number in 1_u64.. {
        buffer.clear();
        let read = input.read_until(b'\n', &mut buffer);
        if read.map_err(|e| CliError::usage(format!("cannot read {name}: {e}")))? == 0 {
            break;
        }
        let text = String::from_utf8_lossy(&buffer);
        if text.trim().is_empty() {
            continue;
        }
        match LogLine::parse(&text) {
            Some(line) => lines.push(line),
            None => unread.add(|| format!("{name}:{number}")),
        }
    }
    Ok(())
}
