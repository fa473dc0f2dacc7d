//! Commands that show the state of the cluster.

use {
    crate::{
        app::{JobWaitReasons, MeterDump, StatusView, WorkerView},
        cli::{
            Args, CliError, Client, ExitKind, Table, changes::print_output, client::NodeReplies,
        },
        core::JobSummary,
        report::{BurnReport, render_html},
    },
    std::collections::BTreeMap,
};

type Done = Result<ExitKind, CliError>;

/// Notes missing nodes on standard error; returns the exit code that tells of them.
pub fn report_unreachable<T>(all: &NodeReplies<T>) -> ExitKind {
    if all.unreachable.is_empty() {
        return ExitKind::Done;
    }
    eprintln!("no answer from: {}", all.unreachable.join(", "));
    ExitKind::Partial
}

/// `nodes`
pub async fn nodes(mut args: Args) -> Done {
    args.finish()?;
    let all = Client::new(&args.environment)?
        .get_from_members::<StatusView>("/admin/status")
        .await?;
    let newest = all
        .answers
        .iter()
        .map(|(_, s)| s.view.config_revision)
        .max();
    let newest = newest.unwrap_or(0);
    let statuses: Vec<&StatusView> = all.answers.iter().map(|(_, s)| s).collect();
    print_output(args.output, &statuses, |statuses| {
        let heading = [
            "node", "zone", "shards", "workers", "revision", "store", "state",
        ];
        let mut table = Table::new(&heading);
        for status in statuses {
            let view = &status.view;
            let store = if view.store_ok {
                "reached"
            } else {
                "not reached"
            };
            let state = match (view.leaving, view.config_trusted) {
                (true, _) => "leaving",
                (false, true) => "serving",
                (false, false) => "cut off",
            };
            table.add_row(&[
                &status.node.id,
                &status.node.zone,
                &view.owned_shards,
                &view.open_workers,
                &view.config_revision,
                &store,
                &state,
            ]);
        }
        let current = statuses.iter().filter(|s| s.view.config_revision == newest);
        let line = format!(
            "revision {newest} is in force on {} of {} nodes\n",
            current.count(),
            statuses.len() + all.unreachable.len()
        );
        table.render() + &line
    });
    Ok(report_unreachable(&all))
}

/// `workers`
pub async fn workers(mut args: Args) -> Done {
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let all = client
        .get_from_members::<Vec<WorkerView>>("/admin/workers")
        .await?;
    let workers: Vec<&WorkerView> = all.answers.iter().flat_map(|(_, w)| w).collect();
    print_output(args.output, &workers, |workers| {
        let heading = [
            "worker",
            "pool",
            "rack",
            "zone",
            "state",
            "tasks",
            "slots",
            "accelerators",
        ];
        let mut table = Table::new(&heading);
        for w in workers {
            let state = match (w.leaving, w.quarantined) {
                (true, _) => "leaving".to_owned(),
                (false, true) => "set aside".to_owned(),
                (false, false) => format!("{:?}", w.state).to_lowercase(),
            };
            let slots = format!("{}/{}", w.committed.slots, w.capacity.slots);
            let accelerators = format!("{}/{}", w.committed.accelerators, w.capacity.accelerators);
            let cells: [&dyn ToString; 8] = [
                &w.id,
                &w.pool,
                &w.rack,
                &w.zone,
                &state,
                &w.tasks,
                &slots,
                &accelerators,
            ];
            table.add_row(&cells);
        }
        table.render()
    });
    Ok(report_unreachable(&all))
}

/// `jobs`
pub async fn jobs(mut args: Args) -> Done {
    let organisation: Option<String> = args.rest.opt_value_from_str("--team")?;
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let all = client
        .get_from_members::<Vec<JobSummary>>("/admin/jobs")
        .await?;
    let jobs: Vec<&JobSummary> = all
        .answers
        .iter()
        .flat_map(|(_, jobs)| jobs)
        .filter(|j| {
            organisation
                .as_ref()
                .is_none_or(|t| j.organisation.as_str() == t)
        })
        .collect();
    print_output(args.output, &jobs, |jobs| {
        let heading = [
            "job", "team", "queue", "state", "tasks", "waiting", "done", "failed",
        ];
        let mut table = Table::new(&heading);
        for j in jobs {
            let state = format!("{:?}", j.state).to_lowercase();
            let cells: [&dyn ToString; 8] = [
                &j.id,
                &j.organisation,
                &j.queue,
                &state,
                &j.tasks,
                &j.waiting,
                &j.done,
                &j.failed,
            ];
            table.add_row(&cells);
        }
        table.render()
    });
    Ok(report_unreachable(&all))
}

/// `top`
pub async fn top(mut args: Args) -> Done {
    args.finish()?;
    let all = Client::new(&args.environment)?
        .get_from_members::<StatusView>("/admin/status")
        .await?;
    let statuses: Vec<&StatusView> = all.answers.iter().map(|(_, s)| s).collect();
    print_output(args.output, &statuses, |statuses| {
        let heading = ["node", "workers", "tasks", "waiting", "requests", "jobs"];
        let mut table = Table::new(&heading);
        for status in statuses {
            let view = &status.view;
            table.add_row(&[
                &status.node.id,
                &view.open_workers,
                &view.hosted_tasks,
                &view.queued_placements,
                &view.pending_requests,
                &view.jobs,
            ]);
        }
        table.render()
    });
    Ok(report_unreachable(&all))
}

/// `why JOB`
pub async fn why(mut args: Args) -> Done {
    let job = args.positional("job")?;
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let all = client
        .get_from_members::<JobWaitReasons>(&format!("/admin/why/{job}"))
        .await?;
    let found = all.answers.iter().find_map(|(_, w)| w.job.clone());
    let Some(found) = found else {
        let message = format!("no job {job}; see `dragonflyferry jobs`");
        return Err(CliError::Refused { message });
    };
    let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
    for (reason, count) in all.answers.iter().flat_map(|(_, w)| &w.reasons) {
        *reasons.entry(reason.clone()).or_default() += count;
    }
    let whole = JobWaitReasons {
        job: Some(found),
        reasons,
    };
    print_output(args.output, &whole, |why| {
        let mut table = Table::new(&["reason", "count"]);
        for (reason, count) in &why.reasons {
            table.add_row(&[reason, count]);
        }
        let state = why
            .job
            .as_ref()
            .map(|j| format!("{:?}", j.state).to_lowercase());
        format!(
            "job {job} is {}\n{}",
            state.unwrap_or_default(),
            table.render()
        )
    });
    Ok(report_unreachable(&all))
}

/// `report burn`
pub async fn report(mut args: Args) -> Done {
    let html: Option<String> = args.rest.opt_value_from_str("--html")?;
    let what = args.positional("report: burn")?;
    args.finish()?;
    if what != "burn" {
        return Err(CliError::usage(format!("there is no report `{what}`")));
    }
    let client = Client::new(&args.environment)?;
    let config = client.config().await?;
    let all = client.get_from_members::<MeterDump>("/admin/meter").await?;
    let report = BurnReport::new(&config.document, &all.answers, all.unreachable.clone());
    if report.rows.is_empty() {
        return Err(CliError::NoData);
    }
    if let Some(path) = html {
        std::fs::write(&path, render_html(&report))
            .map_err(|source| CliError::Write { path, source })?;
    }
    print_output(args.output, &report, burn_text);
    Ok(report_unreachable(&all))
}

fn burn_text(report: &BurnReport) -> String {
    let heading = [
        "queue",
        "team",
        "objective",
        "answers",
        "budget left",
        "burn 5m",
        "burn 1h",
        "late",
        "refused",
        "upstream",
        "retried",
        "p99 ms",
    ];
    let mut table = Table::new(&heading);
    for r in &report.rows {
        let objective = if r.within_ms == 0 {
            "none".to_owned()
        } else {
            format!("{}% in {} ms", r.objective_percent, r.within_ms)
        };
        let left = format!("{:.1}%", r.budget_left_percent);
        let (short, long) = (
            format!("{:.2}", r.burn_short),
            format!("{:.2}", r.burn_long),
        );
        let spent = &r.spent;
        let cells: [&dyn ToString; 12] = [
            &r.queue,
            &r.organisation,
            &objective,
            &r.total,
            &left,
            &short,
            &long,
            &spent.late,
            &spent.refusals,
            &spent.upstream,
            &spent.retries,
            &r.wait_p99_ms,
        ];
        table.add_row(&cells);
    }
    table.render()
}
