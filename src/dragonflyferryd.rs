//! The daemon that runs on every entry VM. It reads its arguments and settings, starts the node
//! and maps errors to exit codes.

use {
    dragonflyferry::{
        app::{Daemon, logger},
        conf::Settings,
        core::Tuning,
        entry::{self, EntryError},
    },
    std::{path::PathBuf, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

const HELP: &str = "\
dragonflyferryd - the daemon of the cluster scheduler

Usage: dragonflyferryd --settings FILE [--check-settings]
       dragonflyferryd --platform [--check-settings]

Options:
  --settings FILE    settings of this VM, in YAML
  --platform         run on the users' platform; the environment names the settings file
  --check-settings   check the settings and exit
  -h, --help         print this help
  -V, --version      print the version

Example: dragonflyferryd --settings /etc/dragonflyferry/settings.yaml

SIGTERM stops gracefully; a second SIGTERM stops at once.
Exit codes: 0 stopped, 1 failed, 2 wrong arguments, 3 settings refused.
";

/// Exit codes of the daemon, as listed in the help.
const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_SETTINGS: u8 = 3;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("dragonflyferryd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let check = args.contains("--check-settings");
    if args.contains("--platform") {
        return run_on_platform(check).await;
    }
    let path: Result<PathBuf, _> = args.value_from_str("--settings");
    let Ok(path) = path else {
        eprintln!("E4001 name the settings: dragonflyferryd --settings FILE");
        return ExitCode::from(EXIT_USAGE);
    };
    match Settings::read(&path) {
        Ok(_) if check => {
            println!("settings are good");
            ExitCode::SUCCESS
        }
        Ok(settings) => run(settings).await,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

async fn run_on_platform(check: bool) -> ExitCode {
    let outcome = if check {
        entry::check_settings().map(|()| println!("settings are good"))
    } else {
        entry::run().await
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(e @ (EntryError::NoSettings | EntryError::Platform { .. })) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_SETTINGS)
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn run(settings: Settings) -> ExitCode {
    let log = logger(settings.log_json, &settings.name);
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut term), Ok(mut interrupt)) = signals else {
        eprintln!("E4002 cannot listen for signals");
        return ExitCode::from(EXIT_FAILED);
    };
    let daemon = match Daemon::start(settings, Tuning::default(), log).await {
        Ok(daemon) => daemon,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    println!(
        "callers={} admin={} peers={}",
        daemon.addresses.callers, daemon.addresses.admin, daemon.addresses.peers
    );
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.wait_until_drained() => return ExitCode::SUCCESS,
    }
    tokio::select! {
        () = daemon.stop() => {}
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    ExitCode::SUCCESS
}
