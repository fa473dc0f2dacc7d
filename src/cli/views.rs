//! Commands that show the state of the cluster, merged from the replies of all members.
//!
//! They change nothing; members that do not reply are named on standard error.

use {
    crate::{
        app::{JobWaitReasons, MeterDump, StatusView, WorkerView},
        cli::{
            Args, CliError, Client, ExitKind, Table, changes::print_output, client::NodeReplies,
            load,
        },
        core::JobSummary,
        report::{BurnReport, render_html},
    },
    std::{collections::BTreeMap, num::NonZeroU32},
};

type CommandResult = Result<ExitKind, CliError>;

/// Period of `report load` without `--every`, in seconds.
const DEFAULT_EVERY_S: u64 = 2;

/// Names the nodes that did not reply on standard error; returns `Partial` if there are any,
/// else `Done`.
pub fn report_unreachable<T>(replies: &NodeReplies<T>) -> ExitKind {
    if replies.unreachable.is_empty() {
        return ExitKind::Done;
    }
    eprintln!("no answer from: {}", replies.unreachable.join(", "));
    ExitKind::Partial
}

/// `nodes`: the highest revision that a node has in force, and on how many nodes.
pub async fn nodes(mut args: Args) -> CommandResult {
    args.finish()?;
    let replies = Client::new(&args.environment)?
        .get_from_members::<StatusView>("/admin/status")
        .await?;
    let latest_revision = replies
        .received
        .iter()
        .map(|(_, s)| s.view.config_revision)
        .max();
    let latest_revision = latest_revision.unwrap_or(0);
    let statuses: Vec<&StatusView> = replies.received.iter().map(|(_, s)| s).collect();
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
        let current = statuses
            .iter()
            .filter(|s| s.view.config_revision == latest_revision);
        let line = format!(
            "revision {latest_revision} is in force on {} of {} nodes\n",
            current.count(),
            statuses.len() + replies.unreachable.len()
        );
        table.render() + &line
    });
    Ok(report_unreachable(&replies))
}

/// `workers`: slots and accelerators are shown as committed/capacity.
pub async fn workers(mut args: Args) -> CommandResult {
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let replies = client
        .get_from_members::<Vec<WorkerView>>("/admin/workers")
        .await?;
    let workers: Vec<&WorkerView> = replies.received.iter().flat_map(|(_, w)| w).collect();
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
    Ok(report_unreachable(&replies))
}

/// `jobs [--team NAME]`
pub async fn jobs(mut args: Args) -> CommandResult {
    let organisation: Option<String> = args.rest.opt_value_from_str("--team")?;
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let replies = client
        .get_from_members::<Vec<JobSummary>>("/admin/jobs")
        .await?;
    let jobs: Vec<&JobSummary> = replies
        .received
        .iter()
        .flat_map(|(_, jobs)| jobs)
        .filter(|j| {
            organisation
                .as_ref()
                .is_none_or(|name| j.organisation.as_str() == name)
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
    Ok(report_unreachable(&replies))
}

/// `top`
pub async fn top(mut args: Args) -> CommandResult {
    args.finish()?;
    let replies = Client::new(&args.environment)?
        .get_from_members::<StatusView>("/admin/status")
        .await?;
    let statuses: Vec<&StatusView> = replies.received.iter().map(|(_, s)| s).collect();
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
    Ok(report_unreachable(&replies))
}

/// `why JOB`: sums the workers by reason over all nodes.
pub async fn why(mut args: Args) -> CommandResult {
    let job = args.positional("job")?;
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let replies = client
        .get_from_members::<JobWaitReasons>(&format!("/admin/why/{job}"))
        .await?;
    let job_summary = replies.received.iter().find_map(|(_, w)| w.job.clone());
    let Some(job_summary) = job_summary else {
        let message = format!("no job {job}; see `dragonflyferry jobs`");
        return Err(CliError::Refused { message });
    };
    let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
    for (reason, count) in replies.received.iter().flat_map(|(_, w)| &w.reasons) {
        *reasons.entry(reason.clone()).or_default() += count;
    }
    let merged = JobWaitReasons {
        job: Some(job_summary),
        reasons,
    };
    print_output(args.output, &merged, |why| {
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
    Ok(report_unreachable(&replies))
}

/// `report burn [--html FILE] | load [--every SECONDS] [FILE...]`
pub async fn report(mut args: Args) -> CommandResult {
    let html_path: Option<String> = args.rest.opt_value_from_str("--html")?;
    let every_s: Option<NonZeroU32> = args.rest.opt_value_from_str("--every")?;
    let name = args.positional("report: burn or load")?;
    match (name.as_str(), html_path, every_s) {
        ("burn", html_path, None) => burn(args, html_path).await,
        ("load", None, every_s) => {
            let every_s = every_s.map_or(DEFAULT_EVERY_S, |s| u64::from(s.get()));
            load::load(args, every_s)
        }
        ("burn", _, Some(_)) => Err(CliError::usage("`--every` is not understood")),
        ("load", Some(_), _) => Err(CliError::usage("`--html` is not understood")),
        _ => Err(CliError::usage(format!("there is no report `{name}`"))),
    }
}

/// `report burn [--html FILE]`: without any counted request it fails with `E4106`.
async fn burn(mut args: Args, html_path: Option<String>) -> CommandResult {
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let config = client.config().await?;
    let replies = client.get_from_members::<MeterDump>("/admin/meter").await?;
    let report = BurnReport::new(
        &config.document,
        &replies.received,
        replies.unreachable.clone(),
    );
    if report.rows.is_empty() {
        return Err(CliError::NoData);
    }
    if let Some(path) = html_path {
        std::fs::write(&path, render_html(&report))
            .map_err(|source| CliError::Write { path, source })?;
    }
    print_output(args.output, &report, burn_text);
    Ok(report_unreachable(&replies))
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
