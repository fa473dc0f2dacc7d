//! Commands that query nodes on the platform, at their metrics addresses.
//!
//! Only the owner knows executors and jobs: `summary` and `why` query all named nodes and use the
//! owner's reply; the other nodes reply with an error.

use {
    crate::{
        cli::{
            Args, CliError, Client, ExitKind, Table, changes::print_output,
            views::report_unreachable,
        },
        entry::NodeStatus,
        fleet::{FleetSummary, JobExplanation},
    },
    std::fmt::Write,
};

type CommandResult = Result<ExitKind, CliError>;

/// `fleet nodes | summary | why JOB`; nodes come from `--nodes` or the environment, no members
/// are looked up.
pub async fn fleet(mut args: Args) -> CommandResult {
    match args.positional("view: nodes, summary or why")?.as_str() {
        "nodes" => nodes(args).await,
        "summary" => summary(args).await,
        "why" => why(args).await,
        other => Err(CliError::usage(format!("there is no `fleet {other}`"))),
    }
}

async fn nodes(mut args: Args) -> CommandResult {
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let replies = client
        .get_from_named_nodes::<NodeStatus>("/fleet/node")
        .await;
    if replies.received.is_empty() {
        let message = replies.unreachable.join(", ");
        return Err(CliError::Unreachable { message });
    }
    let views: Vec<&NodeStatus> = replies.received.iter().map(|(_, v)| v).collect();
    print_output(args.output, &views, |views| {
        let mut table = Table::new(&[
            "node",
            "zone",
            "owner",
            "config",
            "confirmed ms",
            "store ms",
            "nodes",
            "state",
        ]);
        for view in views {
            let owner = view.owner.as_deref().unwrap_or("none");
            let owner = if view.is_owner { "this" } else { owner };
            let state = if view.draining { "draining" } else { "serving" };
            table.add_row(&[
                &view.node,
                &view.zone,
                &owner,
                &view.config_version,
                &view.config_age_ms,
                &view.store_age_ms,
                &view.nodes,
                &state,
            ]);
        }
        table.render()
    });
    Ok(report_unreachable(&replies))
}

async fn summary(mut args: Args) -> CommandResult {
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let replies = client
        .get_from_named_nodes::<FleetSummary>("/fleet/summary")
        .await;
    // An owner that does not know yet that it was replaced has a lower fencing token.
    let latest = replies.received.iter().max_by_key(|(_, v)| v.token);
    let (_, summary) = latest.ok_or(CliError::NoOwner)?;
    print_output(args.output, summary, summary_text);
    Ok(ExitKind::Done)
}

fn summary_text(summary: &FleetSummary) -> String {
    let mut text = format!("owner token {}\n", summary.token);
    let states: Vec<String> = summary
        .executors
        .iter()
        .map(|(s, n)| format!("{n} {s}"))
        .collect();
    let _ = writeln!(text, "executors: {}", states.join(", "));
    if summary.unsettled > 0 {
        let _ = writeln!(
            text,
            "not yet read after the takeover: {}",
            summary.unsettled
        );
    }
    for (zone, evacuation) in &summary.evacuations {
        let _ = writeln!(
            text,
            "evacuating {zone} for {} ms: {} executors, {} runs left",
            evacuation.known_for_ms, evacuation.executors, evacuation.runs
        );
    }
    let mut queues = Table::new(&["queue", "waiting", "active", "oldest wait ms"]);
    for (name, queue) in &summary.queues {
        queues.add_row(&[name, &queue.waiting, &queue.active, &queue.oldest_wait_ms]);
    }
    text += &queues.render();
    let mut tenants = Table::new(&["organisation", "cores", "memory MiB", "accelerators"]);
    for (name, tenant) in &summary.tenants {
        let usage = |used: u32, cap: u32| match cap {
            0 => used.to_string(),
            _ => format!("{used}/{cap}"),
        };
        let (used, cap) = (tenant.used, tenant.cap);
        tenants.add_row(&[
            name,
            &usage(used.cpu_milli / 1000, cap.cpu_milli / 1000),
            &usage(used.memory_mib, cap.memory_mib),
            &usage(used.accelerators, cap.accelerators),
        ]);
    }
    text + &tenants.render()
}

async fn why(mut args: Args) -> CommandResult {
    let job = args.positional("job")?;
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let path = format!("/fleet/why/{job}");
    let replies = client
        .get_from_named_nodes::<Option<JobExplanation>>(&path)
        .await;
    if replies.received.is_empty() {
        return Err(CliError::NoOwner);
    }
    let Some(why) = replies.received.into_iter().find_map(|(_, w)| w) else {
        return Err(CliError::Refused {
            message: format!("the owner has no job {job} that waits or runs"),
        });
    };
    print_output(args.output, &why, why_text);
    Ok(ExitKind::Done)
}

fn why_text(why: &JobExplanation) -> String {
    let mut text = format!(
        "{} {:?}, queue {} ({} jobs waiting), known for {} ms\n",
        why.job, why.state, why.queue, why.queue_waiting, why.waited_ms
    );
    if let Some(tenant) = &why.tenant {
        let rate_note = if why.over_rate {
            ", beyond its rate"
        } else {
            ""
        };
        let _ = writeln!(text, "organisation {tenant}{rate_note}");
    }
    if let Some(blocked) = why.blocked {
        let _ = writeln!(text, "kept back: {blocked}");
    }
    for step in &why.steps {
        let dependency_note = if step.dependencies_done {
            ""
        } else {
            ", waits for the steps before it"
        };
        let _ = writeln!(
            text,
            "step {}.{}: {} tasks, {} running, {} done{dependency_note}",
            step.occurrence, step.step, step.tasks, step.running, step.done
        );
        for (reason, count) in &step.executors {
            let _ = writeln!(text, "  {count:>5} executors {reason}");
        }
    }
    text
}
