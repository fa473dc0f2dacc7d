//! Commands that show the state of the cluster.

use {
    crate::{
        app::{JobWhy, MeterDump, StatusView, WorkerView},
        cli::{Args, CliError, Client, ExitKind, Table, changes::print, client::FromAll},
        core::JobSummary,
        report::{BurnReport, page},
    },
    std::collections::BTreeMap,
};

type Done = Result<ExitKind, CliError>;

/// Notes missing nodes on standard error; returns the exit code that tells of them.
pub fn report_missing<T>(all: &FromAll<T>) -> ExitKind {
    if all.missing.is_empty() {
        return ExitKind::Done;
    }
    eprintln!("no answer from: {}", all.missing.join(", "));
    ExitKind::Partial
}

/// `nodes`
pub async fn nodes(mut args: Args) -> Done {
    args.finish()?;
    let all = Client::new(&args.environment)?
        .all::<StatusView>("/admin/status")
        .await?;
    let newest = all
        .answers
        .iter()
        .map(|(_, s)| s.view.config_revision)
        .max();
    let newest = newest.unwrap_or(0);
    let statuses: Vec<&StatusView> = all.answers.iter().map(|(_, s)| s).collect();
    print(args.output, &statuses, |statuses| {
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
            table.row(&[
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
            statuses.len() + all.missing.len()
        );
        table.text() + &line
    });
    Ok(report_missing(&all))
}

/// `workers`
pub async fn workers(mut args: Args) -> Done {
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let all = client.all::<Vec<WorkerView>>("/admin/workers").await?;
    let workers: Vec<&WorkerView> = all.answers.iter().flat_map(|(_, w)| w).collect();
    print(args.output, &workers, |workers| {
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
            let state = match (w.leaving, w.set_aside) {
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
            table.row(&cells);
        }
        table.text()
    });
    Ok(report_missing(&all))
}

/// `jobs`
pub async fn jobs(mut args: Args) -> Done {
    let organisation: Option<String> = args.rest.opt_value_from_str("--team")?;
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let all = client.all::<Vec<JobSummary>>("/admin/jobs").await?;
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
    print(args.output, &jobs, |jobs| {
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
            table.row(&cells);
        }
        table.text()
    });
    Ok(report_missing(&all))
}

/// `top`
pub async fn top(mut args: Args) -> Done {
    args.finish()?;
    let all = Client::new(&args.environment)?
        .all::<StatusView>("/admin/status")
        .await?;
    let statuses: Vec<&StatusView> = all.answers.iter().map(|(_, s)| s).collect();
    print(args.output, &statuses, |statuses| {
        let heading = ["node", "workers", "tasks", "waiting", "requests", "jobs"];
        let mut table = Table::new(&heading);
        for status in statuses {
            let view = &status.view;
            table.row(&[
                &status.node.id,
                &view.open_workers,
                &view.hosted_tasks,
                &view.queued_placements,
                &view.pending_requests,
                &view.jobs,
            ]);
        }
        table.text()
    });
    Ok(report_missing(&all))
}

/// `why JOB`
pub async fn why(mut args: Args) -> Done {
    let job = args.word("job")?;
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let all = client.all::<JobWhy>(&format!("/admin/why/{job}")).await?;
    let found = all.answers.iter().find_map(|(_, w)| w.job.clone());
    let Some(found) = found else {
        let message = format!("no job {job}; see `dragonflyferry jobs`");
        return Err(CliError::Refused { message });
    };
    let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
    for (reason, count) in all.answers.iter().flat_map(|(_, w)| &w.reasons) {
        *reasons.entry(reason.clone()).or_default() += count;
    }
    let whole = JobWhy {
        job: Some(found),
        reasons,
    };
    print(args.output, &whole, |why| {
        let mut table = Table::new(&["reason", "count"]);
        for (reason, count) in &why.reasons {
            table.row(&[reason, count]);
        }
        let state = why
            .job
            .as_ref()
            .map(|j| format!("{:?}", j.state).to_lowercase());
        format!(
            "job {job} is {}\n{}",
            state.unwrap_or_default(),
            table.text()
        )
    });
    Ok(report_missing(&all))
}

/// `report burn`
pub async fn report(mut args: Args) -> Done {
    let html: Option<String> = args.rest.opt_value_from_str("--html")?;
    let what = args.word("report: burn")?;
    args.finish()?;
    if what != "burn" {
        return Err(CliError::usage(format!("there is no report `{what}`")));
    }
    let client = Client::new(&args.environment)?;
    let config = client.config().await?;
    let all = client.all::<MeterDump>("/admin/meter").await?;
    let report = BurnReport::new(&config.document, &all.answers, all.missing.clone());
    if report.rows.is_empty() {
        return Err(CliError::NoData);
    }
    if let Some(path) = html {
        std::fs::write(&path, page(&report)).map_err(|source| CliError::Write { path, source })?;
    }
    print(args.output, &report, burn_text);
    Ok(report_missing(&all))
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
            &spent.waiting,
            &spent.refusals,
            &spent.upstream,
            &spent.retries,
            &r.wait_p99_ms,
        ];
        table.row(&cells);
    }
    table.text()
}
