//! The commands of the client.

use {
    crate::cli::{Args, CliError, ExitKind, changes, fleet, log, views},
    pico_args::Arguments,
    std::fmt::Write,
};

/// One command as `--help` shows it.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    pub name: &'static str,
    pub words: &'static str,
    pub about: &'static str,
    pub example: &'static str,
}

/// All commands.
pub const COMMANDS: [Command; 17] = [
    Command {
        name: "team",
        words: "list | set NAME --share N --limit N | remove NAME",
        about: "Lists, creates, changes or removes teams",
        example: "dragonflyferry team set laurentide --share 3 --limit 60",
    },
    Command {
        name: "key",
        words: "list | grant TEAM [--label TEXT] | withdraw KEY-OR-DIGEST",
        about: "Grants a key, shown once, or withdraws one",
        example: "dragonflyferry key grant laurentide --label referees",
    },
    Command {
        name: "check",
        words: "FILE | --settings FILE",
        about: "Checks a document, or the platform's settings of a node, without a node",
        example: "dragonflyferry check league.yaml",
    },
    Command {
        name: "diff",
        words: "FILE",
        about: "Shows how a document differs from the one in force",
        example: "dragonflyferry diff league.yaml",
    },
    Command {
        name: "try",
        words: "FILE",
        about: "Asks a node what a document would change",
        example: "dragonflyferry try league.yaml",
    },
    Command {
        name: "apply",
        words: "FILE [--base REVISION]",
        about: "Puts a document in force",
        example: "dragonflyferry apply league.yaml",
    },
    Command {
        name: "promote",
        words: "FROM TO",
        about: "Puts the document of one environment in force in another",
        example: "dragonflyferry --environments envs.yaml promote trial production",
    },
    Command {
        name: "history",
        words: "",
        about: "Lists the last changes of the configuration",
        example: "dragonflyferry history",
    },
    Command {
        name: "nodes",
        words: "",
        about: "Lists the nodes and the configuration in force on each",
        example: "dragonflyferry nodes",
    },
    Command {
        name: "workers",
        words: "",
        about: "Lists the workers, what they hold and who is set aside",
        example: "dragonflyferry workers --output json",
    },
    Command {
        name: "jobs",
        words: "[--team NAME]",
        about: "Lists jobs",
        example: "dragonflyferry jobs --team laurentide",
    },
    Command {
        name: "top",
        words: "",
        about: "Shows load and waiting by node",
        example: "dragonflyferry top",
    },
    Command {
        name: "why",
        words: "JOB",
        about: "Shows why a job waits",
        example: "dragonflyferry why 0123456789abcdef",
    },
    Command {
        name: "report",
        words: "burn [--html FILE]",
        about: "Reports service-level burn",
        example: "dragonflyferry report burn --html burn.html",
    },
    Command {
        name: "fleet",
        words: "nodes | summary | why JOB",
        about: "Asks nodes on the platform, at their metrics addresses",
        example: "dragonflyferry --nodes 10.0.0.11:7009 fleet why 0123456789abcdef",
    },
    Command {
        name: "log",
        words: "explain JOB [FILE...]",
        about: "Tells a job's story from the nodes' logs, given as files or on standard input",
        example: "cat node-*.log | dragonflyferry log explain 0123456789abcdef",
    },
    Command {
        name: "drain",
        words: "ADMIN-ADDRESS",
        about: "Stops a node gracefully",
        example: "dragonflyferry drain 10.0.0.11:8081",
    },
];

/// Returns the help text.
pub fn help() -> String {
    let mut text = String::from(
        "dragonflyferry - the operators' client of the cluster scheduler\n\n\
         Usage: dragonflyferry [OPTIONS] COMMAND\n\n\
         Options:\n\
         \x20 --nodes A,B          operators' addresses of nodes (or DRAGONFLYFERRY_NODES)\n\
         \x20 --token TEXT         operators' token (or DRAGONFLYFERRY_TOKEN)\n\
         \x20 --environments FILE  YAML with nodes and token by environment\n\
         \x20 --env NAME           environment of that file\n\
         \x20 --author NAME        name noted with changes (or USER)\n\
         \x20 --output text|json   how results are printed\n\
         \x20 -h, --help           print this help, or that of COMMAND\n\
         \x20 -V, --version        print the version\n\n\
         Commands:\n",
    );
    for command in &COMMANDS {
        let _ = writeln!(text, "  {:<9} {}", command.name, command.about);
    }
    text.push_str(
        "\nExit codes: 0 done, 1 refused, 2 wrong arguments, 3 no node answered,\n\
         4 document refused, 5 another change came first, 6 some nodes missing.\n",
    );
    text
}

fn command_help(name: &str) -> String {
    let found = COMMANDS.iter().find(|c| c.name == name);
    found.map_or_else(help, |c| {
        format!(
            "{}\n\nUsage: dragonflyferry {} {}\nExample: {}\n",
            c.about, c.name, c.words, c.example
        )
    })
}

/// Runs one call of the client; prints its results.
pub async fn run(mut rest: Arguments) -> Result<ExitKind, CliError> {
    let wants_help = rest.contains(["-h", "--help"]);
    if rest.contains(["-V", "--version"]) {
        println!("dragonflyferry {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitKind::Done);
    }
    let mut args = Args::parse(rest)?;
    let name = args.rest.subcommand()?;
    let Some(name) = name else {
        print!("{}", help());
        return Ok(ExitKind::Done);
    };
    if wants_help {
        print!("{}", command_help(&name));
        return Ok(ExitKind::Done);
    }
    match name.as_str() {
        "team" => changes::organisation(args).await,
        "key" => changes::key(args).await,
        "check" => changes::check(args),
        "diff" => changes::diff(args).await,
        "try" => changes::try_document(args).await,
        "apply" => changes::apply(args).await,
        "promote" => changes::promote(args).await,
        "history" => changes::history(args).await,
        "nodes" => views::nodes(args).await,
        "workers" => views::workers(args).await,
        "jobs" => views::jobs(args).await,
        "top" => views::top(args).await,
        "why" => views::why(args).await,
        "report" => views::report(args).await,
        "fleet" => fleet::fleet(args).await,
        "log" => log::log(args),
        "drain" => changes::drain(args).await,
        other => Err(CliError::usage(format!("there is no command `{other}`"))),
    }
}
