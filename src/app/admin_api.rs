//! The operators' HTTP interface: state of the node, changes of the configuration, drain, metrics
//! and health checks. The daemon serves it. `/admin` needs the operators' token. Handlers read
//! the core by inspection and change it only by events.

use {
    crate::{
        app::{
            ApiError, ErrorKind, MeterDump, metrics,
            shared::{CoreReply, Shared},
        },
        conf::Document,
        core::{
            AdminCall, AdminReply, Config, ConfigChange, Event, JobId, JobSummary, Millis, Node,
            NodeId, NodeRecord, NodeView, PoolName, RackName, Resources, TaskStage, WorkerId,
            WorkerState, ZoneName, job_summary,
        },
    },
    axum::{
        Json, Router,
        extract::{Path, Request, State},
        http::{StatusCode, header},
        middleware::{self, Next},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{Arc, atomic::Ordering},
    },
};

/// One node's state and what it knows of the other nodes: reply of `/admin/status`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatusView {
    pub node: NodeRecord,
    /// State of this node's core.
    pub view: NodeView,
    /// All members, this node included.
    pub members: Vec<NodeRecord>,
    /// Revision of the configuration that each node has adopted, from the last heartbeats.
    pub revisions: BTreeMap<NodeId, u64>,
}

/// One worker as its shard owner sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerView {
    pub id: WorkerId,
    pub pool: PoolName,
    pub rack: RackName,
    pub zone: ZoneName,
    pub state: WorkerState,
    /// The VM is leaving: no new task is placed on it.
    pub leaving: bool,
    /// No new task for now, after failures of several jobs.
    #[serde(rename = "set_aside")]
    pub quarantined: bool,
    pub capacity: Resources,
    /// Resources of the worker's tasks.
    pub committed: Resources,
    /// Number of the worker's tasks.
    pub tasks: usize,
}

/// Why a job waits, as far as this node knows: reply of `/admin/why/{job}`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(expecting = "struct JobWhy")]
pub struct JobWaitReasons {
    /// `None` if this node does not coordinate the job.
    pub job: Option<JobSummary>,
    /// Number of workers of this node's shards by what prevents a placement on them. The entry
    /// `tasks not ended` counts tasks instead: those that wait or are assigned.
    pub reasons: BTreeMap<String, usize>,
}

type Reply<T> = Result<T, ApiError>;
type SharedState = State<Arc<Shared>>;

/// Builds the operators' routes. `/live`, `/ready` and `/metrics` need no token.
pub fn router(shared: Arc<Shared>) -> Router {
    let guarded = Router::new()
        .route("/admin/status", get(status))
        .route("/admin/workers", get(workers))
        .route("/admin/jobs", get(jobs))
        .route("/admin/why/{job}", get(why))
        .route("/admin/config", get(config))
        .route("/admin/change", post(change))
        .route("/admin/try", post(try_document))
        .route("/admin/drain", post(drain))
        .route("/admin/meter", get(meter))
        .layer(middleware::from_fn_with_state(shared.clone(), check_token));
    Router::new()
        .route("/live", get(async || "live\n"))
        .route("/ready", get(ready))
        .route("/metrics", get(metrics_text))
        .merge(guarded)
        .fallback(async || ApiError::new(ErrorKind::UnknownPath, "see docs/OPERATIONS.md"))
        .with_state(shared)
}

/// Refuses calls without the operators' token; compares digests of the header's value.
async fn check_token(State(shared): SharedState, req: Request, next: Next) -> Response {
    let expected = format!("Bearer {}", shared.settings.admin_token);
    let given = req.headers().get(header::AUTHORIZATION);
    let authorised = given.is_some_and(|v| {
        crate::conf::digest(v.to_str().unwrap_or_default()) == crate::conf::digest(&expected)
    });
    if authorised {
        return next.run(req).await;
    }
    let message = "the operators' token is missing or wrong; set DRAGONFLYFERRY_TOKEN";
    ApiError::new(ErrorKind::BadToken, message).into_response()
}

/// The error of a call that the core no longer replies to.
fn node_stopped() -> ApiError {
    ApiError::new(ErrorKind::Stopping, "the node has stopped")
}

async fn status(State(shared): SharedState) -> Reply<Json<StatusView>> {
    let inspection = shared.core.inspect(|node, now| {
        let peers = node.cluster.peers.iter();
        let mut revisions: BTreeMap<NodeId, u64> = peers
            .map(|(id, v)| (id.clone(), v.heartbeat.config_revision))
            .collect();
        revisions.insert(node.id().clone(), node.cluster.config.revision);
        StatusView {
            node: node.cluster.own_record.clone(),
            view: node.view(now),
            members: node.cluster.member_records(),
            revisions,
        }
    });
    inspection.await.map(Json).ok_or_else(node_stopped)
}

async fn workers(State(shared): SharedState) -> Reply<Json<Vec<WorkerView>>> {
    let inspection = shared.core.inspect(|node, now| {
        let all = node.workers().iter();
        all.map(|w| WorkerView {
            id: w.vm.id.clone(),
            pool: w.vm.pool.clone(),
            rack: w.vm.rack.clone(),
            zone: w.vm.zone.clone(),
            state: w.state,
            leaving: w.vm.leaving,
            quarantined: !w.health.is_available(now),
            capacity: w.vm.capacity,
            committed: w.committed,
            tasks: w.tasks.len(),
        })
        .collect()
    });
    inspection.await.map(Json).ok_or_else(node_stopped)
}

async fn jobs(State(shared): SharedState) -> Reply<Json<Vec<JobSummary>>> {
    let inspection = shared.core.inspect(|node, _| {
        node.jobs()
            .map(|j| job_summary(j, &BTreeMap::new()))
            .collect()
    });
    inspection.await.map(Json).ok_or_else(node_stopped)
}

async fn why(State(shared): SharedState, Path(job): Path<String>) -> Reply<Json<JobWaitReasons>> {
    let id = JobId::from(job);
    let inspection = shared.core.inspect(move |node, now| {
        let job = node.jobs().find(|j| j.id == id);
        let mut reasons = BTreeMap::new();
        if let Some(job) = job {
            let waiting = job.count(TaskStage::Waiting) + job.count(TaskStage::Assigned);
            *reasons.entry("tasks not ended".to_owned()).or_default() += waiting;
        }
        for worker in node.workers().iter() {
            let reason = worker_reason(worker, job.map(|j| &j.spec), now);
            *reasons.entry(reason.to_owned()).or_default() += 1;
        }
        JobWaitReasons {
            job: job.map(|j| job_summary(j, &BTreeMap::new())),
            reasons,
        }
    });
    inspection.await.map(Json).ok_or_else(node_stopped)
}

/// Returns the first reason that prevents a placement of a job's task on a worker.
fn worker_reason(
    worker: &crate::core::Worker,
    spec: Option<&crate::core::JobSpec>,
    now: Millis,
) -> &'static str {
    if worker.state != WorkerState::Open {
        return "worker: lease not open";
    }
    if worker.vm.leaving {
        return "worker: leaving";
    }
    if !worker.health.is_available(now) {
        return "worker: set aside after failures";
    }
    let Some(spec) = spec else {
        return "worker: open";
    };
    if worker.vm.pool != spec.pool {
        "worker: of another pool"
    } else if !worker.vm.capacity.covers(&spec.need) {
        "worker: too small"
    } else if worker.free().covers(&spec.need) {
        "worker: has room"
    } else {
        "worker: full"
    }
}

async fn config(State(shared): SharedState) -> Reply<Json<Arc<Config>>> {
    let inspection = shared.core.inspect(|node, _| node.cluster.config.clone());
    inspection.await.map(Json).ok_or_else(node_stopped)
}

/// Checks a change of the configuration and waits until it is durable.
async fn change(
    State(shared): SharedState,
    Json(call): Json<AdminCall>,
) -> Reply<Json<AdminReply>> {
    let AdminCall::Change { change, .. } = &call;
    if let ConfigChange::Apply { document } = change {
        let current = shared.config();
        check_document(document, &current)?;
    }
    if let ConfigChange::SetOrganisation {
        organisation,
        limits,
    } = change
        && (limits.share == 0 || limits.limit == 0)
    {
        let message = format!("team {organisation}: share and limit must be 1 or more");
        return Err(ApiError::new(ErrorKind::BadDocument, message));
    }
    let (_, mut rx) = shared
        .core
        .send_with_replies(|reply| Event::Admin { reply, call });
    match rx.recv().await {
        Some(CoreReply::Admin(AdminReply::Conflict { revision, author })) => {
            let message = format!("{author} made revision {revision} meanwhile; read it and retry");
            Err(ApiError::new(ErrorKind::Conflict, message))
        }
        Some(CoreReply::Admin(AdminReply::StoreDown { maybe_written })) => {
            let kind = if maybe_written {
                ErrorKind::OutcomeUnknown
            } else {
                ErrorKind::StoreDown
            };
            let mut e = ApiError::new(kind, "the platform's store did not answer");
            e.retry_after_ms = Some(5_000);
            Err(e)
        }
        Some(CoreReply::Admin(reply)) => Ok(Json(reply)),
        _ => Err(node_stopped()),
    }
}

/// Refuses a document with faults, or with a queue whose anonymous organisation does not exist.
fn check_document(document: &Document, current: &Config) -> Reply<()> {
    let mut faults: Vec<String> = document
        .faults("")
        .iter()
        .map(ToString::to_string)
        .collect();
    for (name, queue) in &document.queues {
        if let Some(organisation) = &queue.anonymous_organisation
            && !current.organisations.contains_key(organisation)
        {
            faults.push(format!(
                "E1008 `{name}` is open for the unknown team {organisation}; create the team first"
            ));
        }
    }
    if faults.is_empty() {
        return Ok(());
    }
    Err(ApiError::new(ErrorKind::BadDocument, faults.join("\n")))
}

/// Lists what a document would change, without applying it.
async fn try_document(
    State(shared): SharedState,
    Json(document): Json<Document>,
) -> Reply<Json<Vec<String>>> {
    let current = shared.config();
    check_document(&document, &current)?;
    Ok(Json(crate::conf::diff(&current.document, &document)))
}

/// Starts a graceful stop and returns at once.
async fn drain(State(shared): SharedState) -> Json<&'static str> {
    shared.start_stop();
    Json("draining")
}

async fn meter(State(shared): SharedState) -> Json<MeterDump> {
    Json(shared.meter.dump(shared.now()))
}

/// Reports the node as ready once it has a configuration that it can trust and is not stopping.
async fn ready(State(shared): SharedState) -> Response {
    let inspection = shared.core.inspect(Node::view).await;
    let ready = inspection.is_some_and(|v| v.config_trusted && !v.leaving && v.config_revision > 0);
    let stopping = shared.stopping.load(Ordering::Relaxed);
    if ready && !stopping {
        (StatusCode::OK, "ready\n").into_response()
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
    }
}

async fn metrics_text(State(shared): SharedState) -> Reply<String> {
    let view = shared.core.inspect(Node::view).await;
    let view = view.ok_or_else(node_stopped)?;
    Ok(metrics::render(&view, &shared.meter, shared.now()))
}
