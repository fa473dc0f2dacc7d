//! Runs a trial cluster in one process: platform stand-ins, workers and six nodes on loopback.
//!
//! Sends requests and jobs of each kind, prints the results and exits with 0 only if every reply is
//! right; a refused request (429 or 503) is not wrong. `--keep` leaves the cluster running, and
//! `TRIAL_LOG` in the environment prints the daemons' logs.

use {
    axum::body::Body,
    dragonflyferry::{
        app::{Daemon, logger, new_histogram},
        conf::{Settings, SettingsBuilder},
        core::{Config, JobState, JobSummary, StoreOp, Tuning},
        net::{HttpClient, Pooling, generate_test_certificates},
    },
    hdrhistogram::Histogram,
    http_body_util::BodyExt,
    hyper::{Method, Request},
    standins::{
        sample,
        server::{PlatformServer, WorkerServer},
    },
    std::{
        collections::BTreeMap,
        error::Error,
        io::{IsTerminal, Write},
        net::SocketAddr,
        process::ExitCode,
        sync::{Arc, PoisonError},
        time::{Duration, Instant},
    },
};

const NODES: usize = 6;
/// Requests sent to each request queue, in batches of 10.
const REQUESTS_PER_QUEUE: usize = 300;
const ADMIN_TOKEN: &str = "trial-admin-token";
/// Name, share and limit of each organisation.
const ORGANISATIONS: [(&str, u32, u32); 3] = [
    ("laurentide", 3, 120),
    ("bromont", 1, 40),
    ("public", 1, 20),
];

type TrialError = Box<dyn Error + Send + Sync>;

/// Results of the requests or jobs of one queue, with latencies in ms.
struct Row {
    sent: usize,
    answered: usize,
    refused: usize,
    wrong: usize,
    latencies: Histogram<u64>,
}

impl Default for Row {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            refused: 0,
            wrong: 0,
            latencies: new_histogram(),
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let keep = std::env::args().any(|a| a == "--keep");
    match run(keep).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            println!("some answers were wrong");
            ExitCode::FAILURE
        }
        Err(e) => {
            println!("the trial failed: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(keep: bool) -> Result<bool, TrialError> {
    let platform = PlatformServer::default();
    let mut workers = Vec::new();
    for record in sample::league_workers() {
        let (server, record) = WorkerServer::start(record).await?;
        platform
            .vms
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
        workers.push(server);
    }
    let config = sample::config(sample::league_document(), &ORGANISATIONS);
    write_config(&platform, &config);
    let address = platform.start().await?;
    let mut daemons = Vec::new();
    for (n, tls) in generate_test_certificates(NODES)?.into_iter().enumerate() {
        let settings: Settings =
            SettingsBuilder::new(&format!("entry-{n}"), &format!("zone-{}", n % 3))
                .platform(address, address)
                .admin_token(ADMIN_TOKEN)
                .certificate(&tls.authority, &tls.certificate, &tls.key)
                .build();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let log = if std::env::var_os("TRIAL_LOG").is_some() {
            logger(false, &settings.name)
        } else {
            log
        };
        daemons.push(Daemon::start(settings, Tuning::default(), log).await?);
    }
    let entries: Vec<SocketAddr> = daemons.iter().map(|d| d.addresses.callers).collect();
    wait_until_fenced(&daemons).await?;
    let mut rows = BTreeMap::new();
    for queue in ["score-check", "score-entry", "scoreboard"] {
        let row = send_requests(&entries, queue).await;
        rows.insert(queue.to_owned(), row);
    }
    rows.insert("live-feed".to_owned(), send_feed_requests(&entries).await);
    for (queue, tasks) in [("standings", 8), ("tilt-review", 6), ("ball-path", 4)] {
        let row = run_job(&entries, queue, tasks).await;
        rows.insert(queue.to_owned(), row);
    }
    let all_correct = print_table(&rows, &config, &workers);
    if keep {
        print_addresses(&daemons);
        std::future::pending::<()>().await;
    }
    for daemon in daemons {
        daemon.kill();
    }
    Ok(all_correct)
}

fn write_config(platform: &PlatformServer, config: &Config) {
    let op = StoreOp::CompareAndSwap {
        key: "cluster/config".to_owned(),
        expected_version: 0,
        value: Arc::from(serde_json::to_string(config).unwrap_or_default()),
        lease: None,
    };
    let mut store = platform
        .store
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    store.apply(&op, 0);
}

async fn wait_until_fenced(daemons: &[Daemon]) -> Result<(), TrialError> {
    for _ in 0..600 {
        let mut fenced = 0;
        let mut open = 0;
        for daemon in daemons {
            let view = daemon
                .shared()
                .core
                .inspect(dragonflyferry::core::Node::view)
                .await;
            let view = view.ok_or("a core ended")?;
            fenced += view.fenced_shards;
            open += view.open_workers;
        }
        print_progress("starting", open, 48);
        if fenced == 64 && open == 48 {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err("the cluster did not form within a minute".into())
}

fn print_progress(what: &str, done: usize, all: usize) {
    if !std::io::stdout().is_terminal() {
        return;
    }
    let filled = 30 * done / all.max(1);
    let bar: String = (0..30)
        .map(|n| if n < filled { '#' } else { '.' })
        .collect();
    print!("\r{what:<12} [{bar}] {done}/{all}  ");
    if done >= all {
        println!();
    }
    let _ = std::io::stdout().flush();
}

fn api_key(queue: &str) -> Option<&'static str> {
    (queue != "scoreboard").then_some("key-laurentide")
}

async fn call(
    method: Method,
    url: String,
    key: Option<&str>,
    body: String,
) -> Result<(u16, String), TrialError> {
    let mut req = Request::builder().method(method).uri(url);
    if let Some(key) = key {
        req = req.header("authorization", format!("Bearer {key}"));
    }
    if body.starts_with('{') {
        req = req.header("content-type", "application/json");
    }
    let req = req.body(Body::from(body))?;
    let client = HttpClient::new(Pooling::PerRequest);
    let resp = client.send(req).await.map_err(|e| e.message)?;
    let status = resp.status().as_u16();
    let bytes = resp.into_body().collect().await?.to_bytes();
    Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
}

async fn send_requests(entries: &[SocketAddr], queue: &str) -> Row {
    let mut row = Row::default();
    for batch in 0..REQUESTS_PER_QUEUE / 10 {
        print_progress(queue, (batch + 1) * 10, REQUESTS_PER_QUEUE);
        let calls = (0..10).map(|n| {
            let entry = entries[n % entries.len()];
            let number = batch * 10 + n;
            let url = format!("http://{entry}/q/{queue}/score?ms=5");
            async move {
                let start = Instant::now();
                let reply = call(Method::POST, url, api_key(queue), format!("body {number}")).await;
                (number, start.elapsed(), reply)
            }
        });
        for (number, time, reply) in futures_util::future::join_all(calls).await {
            row.sent += 1;
            let expected = format!("/work/score body {number}");
            match reply {
                Ok((200, body)) if body == expected => row.answered += 1,
                Ok((503 | 429, _)) => row.refused += 1,
                _ => row.wrong += 1,
            }
            let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            let _ = row.latencies.record(ms);
        }
    }
    row
}

async fn send_feed_requests(entries: &[SocketAddr]) -> Row {
    let mut row = Row::default();
    let calls = entries.iter().map(|entry| {
        let url = format!("http://{entry}/q/live-feed/match?chunks=20");
        async move {
            let start = Instant::now();
            let reply = call(Method::GET, url, api_key("live-feed"), String::new()).await;
            (start.elapsed(), reply)
        }
    });
    for (time, reply) in futures_util::future::join_all(calls).await {
        row.sent += 1;
        match reply {
            Ok((200, body)) if body.lines().count() == 20 => row.answered += 1,
            _ => row.wrong += 1,
        }
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let _ = row.latencies.record(ms);
    }
    print_progress("live-feed", 1, 1);
    row
}

async fn run_job(entries: &[SocketAddr], queue: &str, tasks: u32) -> Row {
    let mut row = Row {
        sent: 1,
        ..Row::default()
    };
    let start = Instant::now();
    let body = format!("{{\"queue\":\"{queue}\",\"tasks\":{tasks},\"run_ms\":500}}");
    let url = format!("http://{}/v1/jobs", entries[0]);
    let submitted = call(Method::POST, url, api_key(queue), body).await;
    let job = match submitted {
        Ok((200, text)) => serde_json::from_str::<JobSummary>(&text).ok(),
        _ => None,
    };
    if let Some(job) = job {
        let url = format!("http://{}/v1/jobs/{}?wait_ms=30000", entries[1], job.id);
        if let Ok((200, text)) = call(Method::GET, url, api_key(queue), String::new()).await
            && let Ok(job) = serde_json::from_str::<JobSummary>(&text)
            && job.state == JobState::Done
        {
            row.answered += 1;
        }
    }
    row.wrong = row.sent - row.answered;
    let ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    let _ = row.latencies.record(ms);
    print_progress(queue, 1, 1);
    row
}

fn print_table(rows: &BTreeMap<String, Row>, config: &Config, workers: &[WorkerServer]) -> bool {
    println!(
        "{:<14}{:>7}{:>10}{:>9}{:>7}{:>9}{:>9}",
        "queue", "asked", "answered", "refused", "wrong", "p50 ms", "p99 ms"
    );
    for (name, row) in rows {
        println!(
            "{name:<14}{:>7}{:>10}{:>9}{:>7}{:>9}{:>9}",
            row.sent,
            row.answered,
            row.refused,
            row.wrong,
            row.latencies.value_at_quantile(0.5),
            row.latencies.value_at_quantile(0.99)
        );
    }
    println!("\n{:<14}{:>9}{:>7}", "team", "running", "limit");
    for (organisation, limits) in &config.organisations {
        let running: usize = workers
            .iter()
            .map(|w| {
                let model = w.model.lock().unwrap_or_else(PoisonError::into_inner);
                model
                    .running
                    .values()
                    .filter(|r| r.spec.organisation == *organisation)
                    .count()
            })
            .sum();
        println!(
            "{:<14}{running:>9}{:>7}",
            organisation.as_str(),
            limits.limit
        );
    }
    rows.values()
        .all(|r| r.wrong == 0 && r.answered + r.refused == r.sent)
}

fn print_addresses(daemons: &[Daemon]) {
    let nodes: Vec<String> = daemons
        .iter()
        .map(|d| d.addresses.admin.to_string())
        .collect();
    println!("\nserving; stop with Ctrl-C. Callers:");
    for daemon in daemons {
        println!(
            "  http://{}/q/score-check/  with key key-laurentide",
            daemon.addresses.callers
        );
    }
    println!("Operators:");
    println!(
        "  DRAGONFLYFERRY_TOKEN={ADMIN_TOKEN} cargo run --release --bin dragonflyferry -- --nodes {} nodes",
        nodes.join(",")
    );
}
