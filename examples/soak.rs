//! Runs soaks of real daemons under faults, one after another, and prints a line for each seed.
//!
//! Needs the daemon of the same build. Exits with 1 if a rule was broken; logs, settings and the
//! report of such seeds stay in the folder that `--keep` names.

use {
    standins::Soak,
    std::{
        error::Error,
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
        time::Duration,
    },
    tokio::task::JoinSet,
};

const HELP: &str = "\
Usage: soak [--seeds FIRST..LAST] [--seconds N] [--nodes N] [--executors N] [--parallel N]
            [--only KIND,...] [--keep DIR] [--daemon FILE] [--upgrade-from FILE] [--large PERCENT]
            [--persistent PERCENT]

  --seeds FIRST..LAST  seeds, the last one included (1..1)
  --seconds N          time with faults (40)
  --nodes N            daemons, at most 250 (6)
  --executors N        simulated executors (24)
  --parallel N         soaks at the same time (1)
  --only KIND,...      kinds of faults, as in `standins::soak::FAULTS` (all)
  --keep DIR           folder for the logs of seeds that broke a rule
  --daemon FILE        the daemon (beside the folder of this program)
  --upgrade-from FILE  daemon of an earlier version; its nodes are replaced one by one
  --large PERCENT      part of the jobs with thousands of tasks (0)
  --persistent PERCENT part of the other jobs whose tasks last (5)
";

type SoakError = Box<dyn Error + Send + Sync>;

#[derive(Clone)]
struct Options {
    first: u64,
    last: u64,
    seconds: u64,
    nodes: usize,
    executors: usize,
    parallel: u64,
    only: Vec<String>,
    keep: Option<PathBuf>,
    daemon: PathBuf,
    upgrade_from: Option<PathBuf>,
    large_percent: u32,
    persistent_percent: u32,
}

impl Options {
    fn from_args() -> Result<Self, SoakError> {
        let mut args = pico_args::Arguments::from_env();
        if args.contains(["-h", "--help"]) {
            return Err(HELP.into());
        }
        let seeds: Option<String> = args.opt_value_from_str("--seeds")?;
        let seeds = seeds.unwrap_or("1..1".to_owned());
        let (first, last) = seeds.split_once("..").unwrap_or((&seeds, &seeds));
        let daemon: Option<PathBuf> = args.opt_value_from_str("--daemon")?;
        let program = std::env::current_exe()?;
        let beside = program.parent().and_then(Path::parent);
        let beside = beside.map(|p| p.join("dragonflyferryd"));
        let only: Option<String> = args.opt_value_from_str("--only")?;
        let only = only.iter().flat_map(|s| s.split(',')).map(str::to_owned);
        let options = Self {
            first: first.parse()?,
            last: last.parse()?,
            seconds: args.opt_value_from_str("--seconds")?.unwrap_or(40),
            nodes: args.opt_value_from_str("--nodes")?.unwrap_or(6),
            executors: args.opt_value_from_str("--executors")?.unwrap_or(24),
            parallel: args.opt_value_from_str("--parallel")?.unwrap_or(1),
            only: only.collect(),
            keep: args.opt_value_from_str("--keep")?,
            daemon: daemon.or(beside).unwrap_or_default(),
            upgrade_from: args.opt_value_from_str("--upgrade-from")?,
            large_percent: args.opt_value_from_str("--large")?.unwrap_or(0),
            persistent_percent: args.opt_value_from_str("--persistent")?.unwrap_or(5),
        };
        if !options.daemon.is_file() {
            return Err("no daemon; build it first: cargo build --release".into());
        }
        Ok(options)
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = match Options::from_args() {
        Ok(options) => options,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let mut lanes = JoinSet::new();
    for lane in 0..options.parallel {
        lanes.spawn(run_lane(options.clone(), lane));
    }
    let mut broken = 0;
    loop {
        // Dropping the lanes ends their daemons.
        let ended = tokio::select! {
            _ = tokio::signal::ctrl_c() => return ExitCode::from(2),
            ended = lanes.join_next() => ended,
        };
        match ended {
            Some(Ok(Ok(count))) => broken += count,
            Some(Ok(Err(e))) => {
                eprintln!("{e}");
                return ExitCode::from(2);
            }
            Some(Err(e)) => {
                eprintln!("{e}");
                return ExitCode::from(2);
            }
            None => break,
        }
    }
    println!("seeds with broken rules: {broken}");
    ExitCode::from(u8::from(broken > 0))
}

/// Runs each seed of one lane; returns how many broke a rule.
async fn run_lane(options: Options, lane: u64) -> Result<u64, SoakError> {
    let scratch = std::env::temp_dir().join(format!("dff-soak-{}", std::process::id()));
    let mut broken = 0;
    for seed in (options.first..=options.last).filter(|s| s % options.parallel == lane) {
        let folder = scratch.join(format!("seed-{seed}"));
        let only: Vec<&str> = options.only.iter().map(String::as_str).collect();
        let mut soak = Soak::new(seed, &options.daemon, &folder)
            .nodes(options.nodes)
            .executors(options.executors)
            .fault_time(Duration::from_secs(options.seconds))
            .large_percent(options.large_percent)
            .persistent_percent(options.persistent_percent);
        if let Some(daemon) = &options.upgrade_from {
            soak = soak.upgrade_from(daemon);
        }
        if !only.is_empty() {
            soak = soak.only(&only);
        }
        let report = soak.run().await?;
        println!("{report}");
        if !report.violations.is_empty() {
            broken += 1;
            for violation in report.violations.iter().take(5) {
                println!("{violation}");
            }
            if let Some(keep) = &options.keep {
                copy_folder(&folder, &keep.join(format!("seed-{seed}")))?;
            }
        }
        fs::remove_dir_all(&folder)?;
    }
    // Fails while another lane uses it.
    let _ = fs::remove_dir(&scratch);
    Ok(broken)
}

fn copy_folder(from: &Path, to: &Path) -> std::io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}
