//! Clients of a soak: submit jobs over open connections, repeat requests without an answer at other
//! nodes, ask for states and cancel. Some leave before the answer and cancel what they have submitted.
//!
//! They record in the [`RunJournal`] what they were told. They use an open connection until the
//! node's process is gone.

use {
    crate::run_journal::{JobRecord, RunJournal, StepPlan},
    axum::body::Body,
    dragonflyferry::{
        core::Millis,
        net::{HttpClient, Pooling},
    },
    http_body_util::BodyExt,
    hyper::{Method, Request, StatusCode},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        ops::Range,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Host of all queues.
pub const HOST: &str = "soak.example";

/// Queues; the last one has a pool of its own.
pub const QUEUES: [&str; 2] = ["main", "side"];

/// Time that a client waits for a response.
const DEADLINE: Duration = Duration::from_secs(3);

/// Times that clients wait for an answer which leave before it, in ms.
const PATIENCE_MS: Range<Millis> = 5..500;

/// Attempts to submit a job.
const MAX_ATTEMPTS: u32 = 30;

/// One caller of all nodes; clones share connections.
#[derive(Clone)]
pub struct SoakClient {
    http: HttpClient,
    nodes: Arc<[SocketAddr]>,
    journal: Arc<RunJournal>,
    started_at: Instant,
    /// Part of the jobs that are large, in percent.
    large_percent: u32,
    /// Part of the other jobs whose tasks last, in percent.
    persistent_percent: u32,
    /// Part of the clients that leave before the answer, in percent.
    impatient_percent: u32,
}

impl SoakClient {
    /// Creates a client of the nodes at these addresses. `started_at` is when the journal's times
    /// begin.
    pub fn new(nodes: Arc<[SocketAddr]>, journal: Arc<RunJournal>, started_at: Instant) -> Self {
        Self {
            http: HttpClient::new(Pooling::Reuse),
            nodes,
            journal,
            started_at,
            large_percent: 0,
            persistent_percent: 5,
            impatient_percent: 0,
        }
    }

    /// Sets the part of the jobs that are large, in percent.
    #[must_use]
    pub fn large_percent(mut self, percent: u32) -> Self {
        self.large_percent = percent;
        self
    }

    /// Sets the part of the other jobs whose tasks last until they are cancelled, in percent.
    #[must_use]
    pub fn persistent_percent(mut self, percent: u32) -> Self {
        self.persistent_percent = percent;
        self
    }

    /// Sets the part of the clients that leave before the answer, in percent.
    #[must_use]
    pub fn impatient_percent(mut self, percent: u32) -> Self {
        self.impatient_percent = percent;
        self
    }

    fn now(&self) -> Millis {
        Millis::try_from(self.started_at.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// Sends one request; returns status and body, or `None` without a whole response in time.
    async fn send(
        &self,
        node: usize,
        method: Method,
        queue: &str,
        id: &str,
        body: String,
    ) -> Option<(StatusCode, Value)> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}/{queue}/{id}", self.nodes[node]))
            .header("host", HOST)
            .header("deadline-ms", DEADLINE.as_millis().to_string())
            .body(Body::from(body))
            .ok()?;
        let call = async {
            let resp = self.http.send(req).await.ok()?;
            let status = resp.status();
            let body = resp.into_body().collect().await.ok()?.to_bytes();
            Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
        };
        tokio::time::timeout(DEADLINE, call).await.ok()?
    }

    /// Submits jobs, `per_second` on average, until `stop` is set; asks for their states and
    /// cancels some.
    pub async fn run(self, seed: u64, per_second: f64, stop: Arc<AtomicBool>) {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !stop.load(Ordering::Relaxed) {
            let pause = rng.random_range(0.2..1.8) / per_second;
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            let id = format!("{:016x}", rng.random::<u64>());
            let large = self.large_percent > 0 && rng.random_range(0..100) < self.large_percent;
            let job = if large {
                large_job(&mut rng)
            } else {
                random_job(self.persistent_percent, &mut rng)
            };
            let seed = rng.random();
            tokio::spawn(self.clone().follow(id, job, seed, stop.clone()));
        }
    }

    /// Submits one job and asks for its state until it has ended or `stop` is set.
    async fn follow(self, id: String, job: JobRecord, seed: u64, stop: Arc<AtomicBool>) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let queue = job.queue;
        let cancels = rng.random_range(0..100) < if job.is_persistent() { 40 } else { 8 };
        self.journal.add_job(&id, job.clone());
        if rng.random_range(0..100) < self.impatient_percent {
            let node = rng.random_range(0..self.nodes.len());
            let patience = Duration::from_millis(rng.random_range(PATIENCE_MS));
            self.submit_and_leave(node, &id, &job, patience).await;
            return self.cancel(&id, queue, &mut rng).await;
        }
        if !self.submit(&id, &job, &mut rng).await {
            return;
        }
        let cancel_after = rng.random_range(100..4_000);
        let accepted_at = self.now();
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(rng.random_range(200..900))).await;
            if cancels && self.now() > accepted_at + cancel_after {
                self.cancel(&id, queue, &mut rng).await;
                return;
            }
            if rng.random_range(0..100) < 5 {
                // A repeated request that arrives late.
                let node = rng.random_range(0..self.nodes.len());
                let _ = self
                    .send(node, Method::POST, queue, &id, job_body(&job))
                    .await;
            }
            let node = rng.random_range(0..self.nodes.len());
            if self.ask(node, &id, queue).await.as_deref() == Some("completed") {
                return;
            }
        }
    }

    /// Submits a job until its fate is known; returns whether it was accepted.
    async fn submit(&self, id: &str, job: &JobRecord, rng: &mut SmallRng) -> bool {
        let body = job_body(job);
        for _ in 0..MAX_ATTEMPTS {
            let node = rng.random_range(0..self.nodes.len());
            let reply = self
                .send(node, Method::POST, job.queue, id, body.clone())
                .await;
            match reply.map(|(status, _)| status) {
                Some(status) if status.is_success() => {
                    let now = self.now();
                    self.journal.update_job(id, |j| j.accepted_at = Some(now));
                    return true;
                }
                None | Some(StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => {
                    tokio::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
                }
                Some(_) => return false,
            }
        }
        false
    }

    /// Submits a job once, to one node; returns the status of the reply.
    pub async fn submit_to(&self, node: usize, id: &str, job: &JobRecord) -> Option<StatusCode> {
        let reply = self.send(node, Method::POST, job.queue, id, job_body(job));
        reply.await.map(|(status, _)| status)
    }

    /// Submits a job once, to one node, and leaves if there is no reply within `patience`; returns the
    /// status of the reply.
    pub async fn submit_and_leave(
        &self,
        node: usize,
        id: &str,
        job: &JobRecord,
        patience: Duration,
    ) -> Option<StatusCode> {
        let reply = tokio::time::timeout(patience, self.submit_to(node, id, job));
        reply.await.ok()?
    }

    /// Cancels a job once, at one node; returns the status of the reply.
    pub async fn cancel_at(&self, node: usize, id: &str, queue: &str) -> Option<StatusCode> {
        let reply = self.send(node, Method::DELETE, queue, id, String::new());
        reply.await.map(|(status, _)| status)
    }

    /// Sends a body as a job's submission once, to one node; returns the status of the reply.
    pub async fn submit_body(&self, node: usize, id: &str, body: String) -> Option<StatusCode> {
        let reply = self.send(node, Method::POST, QUEUES[0], id, body);
        reply.await.map(|(status, _)| status)
    }

    async fn cancel(&self, id: &str, queue: &str, rng: &mut SmallRng) {
        self.journal.update_job(id, |j| j.cancelled = true);
        for _ in 0..MAX_ATTEMPTS {
            let node = rng.random_range(0..self.nodes.len());
            match self.cancel_at(node, id, queue).await {
                Some(StatusCode::GONE) => {
                    let now = self.now();
                    return self.journal.update_job(id, |j| j.withdrawn_at = Some(now));
                }
                Some(status) if status.is_success() => return,
                _ => {}
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }

    /// Asks a node for a job's state and records it; returns it, or `None` if there is no answer.
    pub async fn ask(&self, node: usize, id: &str, queue: &str) -> Option<String> {
        let reply = self.send(node, Method::GET, queue, id, String::new());
        let (status, body) = reply.await?;
        if status == StatusCode::GONE {
            return Some("gone".to_owned());
        }
        let state = body["state"].as_str()?.to_owned();
        if state == "completed" {
            self.journal.record_completed(id, self.now());
        }
        Some(state)
    }
}

fn random_job(persistent_percent: u32, rng: &mut SmallRng) -> JobRecord {
    let persistent = rng.random_range(0..100) < persistent_percent;
    let step_count = if persistent {
        1
    } else {
        rng.random_range(1..=2)
    };
    let step = |number: usize, rng: &mut SmallRng| StepPlan {
        count: rng.random_range(1..=if persistent { 2 } else { 6 }),
        // Some runs outlast the longest lease.
        run_ms: if rng.random_bool(0.3) {
            rng.random_range(4_000..9_000)
        } else {
            rng.random_range(300..4_000)
        },
        after_previous: number > 0 && rng.random_range(0..100) < 70,
        allow_duplicates: !persistent && rng.random_range(0..100) < 5,
        persistent,
    };
    JobRecord {
        queue: QUEUES[usize::from(rng.random_range(0..100) < 30)],
        steps: (0..step_count).map(|n| step(n, rng)).collect(),
        accepted_at: None,
        cancelled: false,
        withdrawn_at: None,
        completed_at: None,
    }
}

/// Returns a job of which no version before the sparse progress record can store the progress.
fn large_job(rng: &mut SmallRng) -> JobRecord {
    let step = StepPlan {
        count: rng.random_range(4_100..4_400),
        run_ms: rng.random_range(20..60),
        after_previous: false,
        allow_duplicates: false,
        persistent: false,
    };
    JobRecord {
        queue: QUEUES[0],
        steps: vec![step],
        accepted_at: None,
        cancelled: false,
        withdrawn_at: None,
        completed_at: None,
    }
}

fn job_body(job: &JobRecord) -> String {
    let steps = job.steps.iter().enumerate().map(|(number, step)| {
        let mut row = json!({
            "count": step.count,
            "cpu": crate::platform_executor::TASK_CPU,
            "memMb": 100,
            "estimateMs": step.run_ms,
        });
        if step.after_previous {
            row["after"] = json!([number - 1]);
        }
        if step.allow_duplicates {
            row["allowDuplicates"] = json!(true);
        }
        if step.persistent {
            row["persistent"] = json!(true);
        }
        row
    });
    let steps: Vec<Value> = steps.collect();
    json!({"spec": "soak", "steps": steps}).to_string()
}
