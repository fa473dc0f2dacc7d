//! The commands of the client: help texts, and dispatch to `changes`, `views`, `fleet` and `log`.

use {
    crate::cli::{Args, CliError, ExitKind, changes, fleet, log, views},
    pico_args::Arguments,
    std::fmt::Write,
};

/// One command, as `--help` shows it.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    pub name: &'static str,
    /// Arguments and options after the name, in usage notation.
    pub arguments: &'static str,
    /// One sentence without a full stop.
    pub summary: &'static str,
    /// A complete command line.
    pub example: &'static str,
}

/// All commands, in the order of the help text.
pub const COMMANDS: [Command; 17] = [
    Command {
        name: "team",
        arguments: "list | set NAME --share N --limit N | remove NAME",
        summary: "Lists, creates, changes or removes teams",
        example: "dragonflyferry team set laurentide --share 3 --limit 60",
    },
    Command {
        name: "key",
        arguments: "list | grant TEAM [--label TEXT] | withdraw KEY-OR-DIGEST",
        summary: "Grants a key, shown once, or withdraws one",
        example: "dragonflyferry key grant laurentide --label referees",
    },
    Command {
        name: "check",
        arguments: "FILE | --settings FILE",
        summary: "Checks a document, or the platform's settings of a node, without a node",
        example: "dragonflyferry check league.yaml",
    },
    Command {
        name: "diff",
        arguments: "FILE",
        summary: "Shows how a document differs from the one in force",
        example: "dragonflyferry diff league.yaml",
    },
    Command {
        name: "try",
        arguments: "FILE",
        summary: "Checks a document on a node and shows what it would change",
        example: "dragonflyferry try league.yaml",
    },
    Command {
        name: "apply",
        arguments: "FILE [--base REVISION]",
        summary: "Puts a document in force",
        example: "dragonflyferry apply league.yaml",
    },
    Command {
        name: "promote",
        arguments: "FROM TO",
        summary: "Puts the document of one environment in force in another",
        example: "dragonflyferry --environments envs.yaml promote trial production",
    },
    Command {
        name: "history",
        arguments: "",
        summary: "Lists the last changes of the configuration",
        example: "dragonflyferry history",
    },
    Command {
        name: "nodes",
        arguments: "",
        summary: "Lists the nodes and the configuration in force on each",
        example: "dragonflyferry nodes",
    },
    Command {
        name: "workers",
        arguments: "",
        summary: "Lists the workers, their load and which are set aside",
        example: "dragonflyferry workers --output json",
    },
    Command {
        name: "jobs",
        arguments: "[--team NAME]",
        summary: "Lists jobs",
        example: "dragonflyferry jobs --team laurentide",
    },
    Command {
        name: "top",
        arguments: "",
        summary: "Shows running and waiting work by node",
        example: "dragonflyferry top",
    },
    Command {
        name: "why",
        arguments: "JOB",
        summary: "Shows why a job waits",
        example: "dragonflyferry why 0123456789abcdef",
    },
    Command {
        name: "report",
        arguments: "burn [--html FILE] | load [--every SECONDS] [FILE...]",
        summary: "Reports service-level burn, or the outcomes of jobs from the nodes' logs",
        example: "dragonflyferry report load --every 10 node-1.log node-2.log",
    },
    Command {
        name: "fleet",
        arguments: "nodes | summary | why JOB",
        summary: "Queries nodes on the platform, at their metrics addresses",
        example: "dragonflyferry --nodes 10.0.0.11:7009 fleet why 0123456789abcdef",
    },
    Command {
        name: "log",
        arguments: "explain JOB [FILE...]",
        summary: "Shows a job's timeline from the nodes' logs, given as files or on standard input",
        example: "cat node-*.log | dragonflyferry log explain 0123456789abcdef",
    },
    Command {
        name: "drain",
        arguments: "ADMIN-ADDRESS",
        summary: "Stops a node gracefully",
        example: "dragonflyferry drain 10.0.0.11:8081",
    },
];

/// Returns the help text of the client, with all commands.
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
        let _ = writeln!(text, "  {:<9} {}", command.name, command.summary);
    }
    text.push_str(
        "\nExit codes: 0 done, 1 refused, 2 wrong arguments, 3 no node answered,\n\
         4 document refused, 5 another change came first, 6 some nodes missing.\n",
    );
    text
}

/// Returns the help text of one command, or that of the client if there is no such command.
fn command_help(name: &str) -> String {
    let command = COMMANDS.iter().find(|c| c.name == name);
    command.map_or_else(help, |c| {
        format!(
            "{}\n\nUsage: dragonflyferry {} {}\nExample: {}\n",
            c.summary, c.name, c.arguments, c.example
        )
    })
}

/// Runs one invocation of the client and prints its results on standard output.
///
/// An error is not printed; the caller prints it and exits with [`CliError::exit_kind`].
pub async fn run(mut rest: Arguments) -> Result<ExitKind, CliError> {
    let help_requested = rest.contains(["-h", "--help"]);
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
    if help_requested {
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
