//! Commands that ask nodes on the platform.

use {
    crate::{
        cli::{
            Args, CliError, Client, ExitKind, Table, changes::print_output,
            views::report_unreachable,
        },
        entry::NodeStatus,
        fleet::{FleetView, JobExplanation},
    },
    std::fmt::Write,
};

type Done = Result<ExitKind, CliError>;

/// `fleet nodes | summary | why JOB`
pub async fn fleet(mut args: Args) -> Done {
    match args.positional("view: nodes, summary or why")?.as_str() {
        "nodes" => nodes(args).await,
        "summary" => summary(args).await,
        "why" => why(args).await,
        other => Err(CliError::usage(format!("there is no `fleet {other}`"))),
    }
}

async fn nodes(mut args: Args) -> Done {
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let all = client
        .get_from_named_nodes::<NodeStatus>("/fleet/node")
        .await;
    if all.answers.is_empty() {
        let message = all.unreachable.join(", ");
        return Err(CliError::Unreachable { message });
    }
    let views: Vec<&NodeStatus> = all.answers.iter().map(|(_, v)| v).collect();
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
    Ok(report_unreachable(&all))
}

async fn summary(mut args: Args) -> Done {
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let all = client
        .get_from_named_nodes::<FleetView>("/fleet/summary")
        .await;
    // An owner that does not know yet that it was replaced has the lower token.
    let newest = all.answers.iter().max_by_key(|(_, v)| v.token);
    let (_, view) = newest.ok_or(CliError::NoOwner)?;
    print_output(args.output, view, summary_text);
    Ok(ExitKind::Done)
}

fn summary_text(view: &FleetView) -> String {
    let mut text = format!("owner token {}\n", view.token);
    let states: Vec<String> = view
        .executors
        .iter()
        .map(|(s, n)| format!("{n} {s}"))
        .collect();
    let _ = writeln!(text, "executors: {}", states.join(", "));
    if view.unsettled > 0 {
        let _ = writeln!(text, "not yet read after the takeover: {}", view.unsettled);
    }
    let mut queues = Table::new(&["queue", "waiting", "active", "oldest wait ms"]);
    for (name, queue) in &view.queues {
        queues.add_row(&[name, &queue.waiting, &queue.active, &queue.oldest_wait_ms]);
    }
    text += &queues.render();
    let mut tenants = Table::new(&["organisation", "cores", "memory MiB", "accelerators"]);
    for (name, tenant) in &view.tenants {
        let part = |used: u32, cap: u32| match cap {
            0 => used.to_string(),
            _ => format!("{used}/{cap}"),
        };
        let (used, cap) = (tenant.used, tenant.cap);
        tenants.add_row(&[
            name,
            &part(used.cpu_milli / 1000, cap.cpu_milli / 1000),
            &part(used.memory_mib, cap.memory_mib),
            &part(used.accelerators, cap.accelerators),
        ]);
    }
    text + &tenants.render()
}

async fn why(mut args: Args) -> Done {
    let job = args.positional("job")?;
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let path = format!("/fleet/why/{job}");
    let all = client
        .get_from_named_nodes::<Option<JobExplanation>>(&path)
        .await;
    if all.answers.is_empty() {
        return Err(CliError::NoOwner);
    }
    let Some(why) = all.answers.into_iter().find_map(|(_, w)| w) else {
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
        let excess = if why.over_rate {
            ", beyond its rate"
        } else {
            ""
        };
        let _ = writeln!(text, "organisation {tenant}{excess}");
    }
    if let Some(blocked) = why.blocked {
        let _ = writeln!(text, "kept back: {blocked}");
    }
    for step in &why.steps {
        let turn = if step.dependencies_done {
            ""
        } else {
            ", waits for the steps before it"
        };
        let _ = writeln!(
            text,
            "step {}.{}: {} tasks, {} running, {} done{turn}",
            step.occurrence, step.step, step.tasks, step.running, step.done
        );
        for (reason, count) in &step.executors {
            let _ = writeln!(text, "  {count:>5} executors {reason}");
        }
    }
    text
}
