//! The callers' HTTP interface: `/q/{queue}` forwards requests to workers, `/v1` submits, reads
//! and cancels jobs. The daemon serves it. It authenticates callers and checks their input;
//! whether and where work runs is left to the core.

use {
    crate::{
        app::{
            ApiError, ErrorKind,
            forward::RequestForwarder,
            shared::{CoreReply, Shared},
        },
        conf::{MAX_TASKS_PER_JOB, QueuePolicy},
        core::{
            Event, JobCall, JobId, JobKind, JobReply, JobSummary, Millis, OrganisationName,
            QueueName, RefuseReason, ShardId, TaskId,
        },
        server::{RequestHandle, read_body},
    },
    axum::{
        Json, Router,
        body::Body,
        extract::{Path, Query, Request, State},
        http::HeaderMap,
        middleware::{self, Next},
        response::Response,
        routing::{any, get, post},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Maximum value of the `x-deadline-ms` header, in ms.
const MAX_DEADLINE_MS: Millis = 600_000;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// Maximum `content-length` of a request, in bytes; a body without one is not checked.
const MAX_BODY: u64 = 64 << 20;

/// Maximum body of a call under `/v1`, in bytes.
const MAX_JOB_BODY: usize = 65_536;

/// Maximum time that one call waits for a job to end, in ms.
const MAX_WAIT_MS: Millis = 60_000;

/// Interval at which a job is read while a call waits for its end, in ms.
const WAIT_POLL_MS: Millis = 200;

/// `Retry-After` of job calls that fail at the store or without a reply, in ms.
const RETRY_AFTER_MS: Millis = 5_000;

type Reply<T> = Result<T, ApiError>;

/// JSON body of a job submission; unknown fields are refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    pub queue: QueueName,
    /// Number of tasks, from 1 to [`MAX_TASKS_PER_JOB`]; 1 if absent.
    #[serde(default = "one")]
    pub tasks: u32,
    /// Selects jobs when they are listed or cancelled.
    #[serde(default)]
    pub label: String,
    /// Replaces the queue's expected run time, in ms.
    #[serde(default)]
    pub run_ms: Option<Millis>,
}

fn one() -> u32 {
    1
}

/// Query of a read of a job: how long to wait for its end, in ms.
#[derive(Debug, Deserialize)]
struct WaitQuery {
    #[serde(default)]
    wait_ms: Millis,
}

/// Query that selects jobs by label; all jobs of the organisation if absent.
#[derive(Debug, Deserialize)]
struct LabelQuery {
    label: Option<String>,
}

/// Builds the callers' routes. Errors are JSON bodies of [`ApiError`].
pub fn router(shared: Arc<Shared>) -> Router {
    let jobs = Router::new()
        .route("/v1/jobs", post(submit).get(list))
        .route("/v1/jobs/{id}", get(read).delete(cancel))
        .route("/v1/cancel", post(cancel_label))
        .layer(middleware::from_fn_with_state(MAX_JOB_BODY, buffer_body));
    Router::new()
        .route("/q/{queue}", any(request_root))
        .route("/q/{queue}/", any(request_root))
        .route("/q/{queue}/{*path}", any(request))
        .merge(jobs)
        .fallback(async || ApiError::new(ErrorKind::UnknownPath, "use /q/QUEUE or /v1/jobs"))
        .with_state(shared)
}

/// Reads the body of a call, of at most `max_bytes`, before the call is handled.
pub(super) async fn buffer_body(
    State(max_bytes): State<usize>,
    req: Request,
    next: Next,
) -> Reply<Response> {
    let (parts, body) = req.into_parts();
    let handle = parts.extensions.get::<RequestHandle>().cloned();
    let body = read_body(handle, body, max_bytes).await?;
    Ok(next.run(Request::from_parts(parts, body.to_body())).await)
}

async fn request_root(
    state: State<Arc<Shared>>,
    Path(queue): Path<String>,
    req: Request,
) -> Reply<Response> {
    request(state, Path((queue, String::new())), req).await
}

/// Checks a request and forwards it to a worker.
async fn request(
    State(shared): State<Arc<Shared>>,
    Path((queue, path)): Path<(String, String)>,
    req: Request,
) -> Reply<Response> {
    let queue = QueueName::from(queue);
    let policy = queue_policy(&shared, &queue)?;
    if policy.kind != JobKind::Request {
        let message = format!("{queue} takes jobs; POST them to /v1/jobs");
        return Err(ApiError::new(ErrorKind::WrongKind, message));
    }
    let (parts, body) = req.into_parts();
    let organisation = resolve_organisation(&shared, &parts.headers, Some(&policy))?;
    let declared = header(&parts.headers, "content-length")?;
    if declared.is_some_and(|l| l.parse().is_ok_and(|l: u64| l > MAX_BODY)) {
        let message = format!("the body may have {MAX_BODY} bytes");
        return Err(ApiError::new(ErrorKind::BodyTooLarge, message));
    }
    let timeout_ms = parse_deadline(&parts.headers)?.unwrap_or(policy.deadline_ms);
    let idempotency_key = parse_idempotency_key(&parts.headers, &organisation)?;
    let path = match parts.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let forwarder = RequestForwarder {
        shared,
        queue,
        organisation,
        policy,
        timeout_ms,
        idempotency_key,
        parts,
        path,
    };
    forwarder.run(body).await.map(|resp| resp.map(Body::new))
}

/// Returns the policy of a queue; fails if there is no such queue or no configuration yet.
fn queue_policy(shared: &Shared, queue: &QueueName) -> Reply<QueuePolicy> {
    let config = shared.config();
    if config.revision == 0 {
        let mut e = ApiError::new(ErrorKind::Isolated, "the node has no configuration yet");
        e.retry_after_ms = Some(1_000);
        return Err(e);
    }
    config.document.queues.get(queue).cloned().ok_or_else(|| {
        let names: Vec<&str> = config
            .document
            .queues
            .keys()
            .map(QueueName::as_str)
            .collect();
        let message = format!("no queue {queue}; there are: {}", names.join(", "));
        ApiError::new(ErrorKind::UnknownQueue, message)
    })
}

/// Returns the value of a header; fails if it is not visible ASCII.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Reply<Option<&'a str>> {
    let value = headers.get(name).map(|v| v.to_str());
    value.transpose().map_err(|_| {
        ApiError::new(
            ErrorKind::BadHeader,
            format!("header {name} is not plain text"),
        )
    })
}

/// Returns the organisation of the call's API key or, without a key, the queue's anonymous
/// organisation.
fn resolve_organisation(
    shared: &Shared,
    headers: &HeaderMap,
    policy: Option<&QueuePolicy>,
) -> Reply<OrganisationName> {
    let Some(value) = header(headers, "authorization")? else {
        let anonymous = policy.and_then(|p| p.anonymous_organisation.clone());
        return anonymous.ok_or_else(|| {
            let message = "send `Authorization: Bearer KEY` with the team's key";
            ApiError::new(ErrorKind::KeyMissing, message)
        });
    };
    let key = value.strip_prefix("Bearer ").unwrap_or(value);
    shared.organisation_of_key(key).ok_or_else(|| {
        let message = "the key is unknown or withdrawn; ask an operator for a new one";
        ApiError::new(ErrorKind::KeyUnknown, message)
    })
}

/// Reads the maximum wait for a worker, in ms.
fn parse_deadline(headers: &HeaderMap) -> Reply<Option<Millis>> {
    let Some(value) = header(headers, "x-deadline-ms")? else {
        return Ok(None);
    };
    let parsed = value.parse().ok();
    let valid = parsed.filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    valid.map(Some).ok_or_else(|| {
        let message = "x-deadline-ms must be a whole number from 1 to 600000";
        ApiError::new(ErrorKind::BadHeader, message)
    })
}

/// Reads the idempotency key. Its digest covers the organisation, so that organisations cannot use
/// each other's keys.
fn parse_idempotency_key(
    headers: &HeaderMap,
    organisation: &OrganisationName,
) -> Reply<Option<TaskId>> {
    let Some(key) = header(headers, "idempotency-key")? else {
        return Ok(None);
    };
    let valid = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len())
        && key.chars().all(|c| c.is_ascii_graphic());
    if !valid {
        let message = "idempotency-key must be 1 to 200 printable characters without spaces";
        return Err(ApiError::new(ErrorKind::BadHeader, message));
    }
    let digest = crate::conf::digest(&format!("{organisation}/{key}"));
    Ok(Some(TaskId(digest)))
}

/// Sends a call to the core and waits for the reply; [`JobReply::TimedOut`] if none comes.
async fn send_job_call(shared: &Shared, call: JobCall) -> JobReply {
    let (_, mut rx) = shared
        .core
        .send_with_replies(|reply| Event::Job { reply, call });
    match rx.recv().await {
        Some(CoreReply::Job(reply)) => reply,
        _ => JobReply::TimedOut,
    }
}

/// Converts a reply other than success into the error for the caller.
fn error_from_reply(reply: &JobReply) -> ApiError {
    match reply {
        JobReply::Refused(reason) => {
            let ms = if *reason == RefuseReason::StoreDown {
                RETRY_AFTER_MS
            } else {
                1_000
            };
            ApiError::refused(*reason, ms)
        }
        JobReply::NotFound => ApiError::new(ErrorKind::UnknownJob, "no such job of this team"),
        _ => {
            let message = "no answer came; read the job, or submit it again under the same id";
            let mut e = ApiError::new(ErrorKind::OutcomeUnknown, message);
            e.retry_after_ms = Some(RETRY_AFTER_MS);
            e
        }
    }
}

/// Submits a job and returns its summary. With an idempotency key the job's id is derived from the
/// key, so that a repeated submission refers to the same job.
async fn submit(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    body: Result<Json<SubmitBody>, axum::extract::rejection::JsonRejection>,
) -> Reply<Json<JobSummary>> {
    let Json(body) = body.map_err(|e| ApiError::new(ErrorKind::BadBody, e.body_text()))?;
    let policy = queue_policy(&shared, &body.queue)?;
    let organisation = resolve_organisation(&shared, &headers, Some(&policy))?;
    if shared.stopping.load(Ordering::Relaxed) {
        return Err(ApiError::refused(RefuseReason::Stopping, 1_000));
    }
    if policy.kind == JobKind::Request {
        let message = format!("{} takes requests; send them to /q/{0}", body.queue);
        return Err(ApiError::new(ErrorKind::WrongKind, message));
    }
    if !(1..=MAX_TASKS_PER_JOB).contains(&body.tasks) {
        let message = format!("`tasks` must be from 1 to {MAX_TASKS_PER_JOB}");
        return Err(ApiError::new(ErrorKind::NoTasks, message));
    }
    let id = match parse_idempotency_key(&headers, &organisation)? {
        Some(key) => JobId::from(&key.as_str()[..32]),
        None => JobId::from(format!("{:032x}", rand::random::<u128>())),
    };
    let mut spec = policy.job_spec(body.queue.clone(), body.tasks, Arc::from(body.label));
    spec.run_ms = body.run_ms.unwrap_or(spec.run_ms);
    let submit = JobCall::Submit {
        id: id.clone(),
        organisation: organisation.clone(),
        spec,
    };
    match send_job_call(&shared, submit).await {
        JobReply::Accepted { id } => {
            match send_job_call(
                &shared,
                JobCall::Get {
                    id: id.clone(),
                    organisation,
                },
            )
            .await
            {
                JobReply::Job(job) => Ok(Json(job)),
                other => Err(error_from_reply(&other)),
            }
        }
        other => {
            let mut e = error_from_reply(&other);
            if e.kind == ErrorKind::OutcomeUnknown {
                e.message = format!("no answer came; read job {id} to learn its state");
            }
            Err(e)
        }
    }
}

/// Returns a job, after its end or when the wait is over.
async fn read(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    Query(query): Query<WaitQuery>,
    headers: HeaderMap,
) -> Reply<Json<JobSummary>> {
    let organisation = resolve_organisation(&shared, &headers, None)?;
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    let wait_until = Instant::now() + wait;
    loop {
        let get = JobCall::Get {
            id: JobId::from(id.as_str()),
            organisation: organisation.clone(),
        };
        match send_job_call(&shared, get).await {
            JobReply::Job(job) if job.state.is_terminal() || Instant::now() >= wait_until => {
                return Ok(Json(job));
            }
            JobReply::Job(_) => {}
            other => return Err(error_from_reply(&other)),
        }
        tokio::time::sleep(Duration::from_millis(WAIT_POLL_MS)).await;
    }
}

async fn cancel(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Reply<Json<JobSummary>> {
    let organisation = resolve_organisation(&shared, &headers, None)?;
    let id = JobId::from(id);
    match send_job_call(&shared, JobCall::Cancel { id, organisation }).await {
        JobReply::Job(job) => Ok(Json(job)),
        other => Err(error_from_reply(&other)),
    }
}

async fn list(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<LabelQuery>,
    headers: HeaderMap,
) -> Reply<Json<Vec<JobSummary>>> {
    let organisation = resolve_organisation(&shared, &headers, None)?;
    call_all_shards(&shared, &organisation, query.label, false).await
}

async fn cancel_label(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<LabelQuery>,
    headers: HeaderMap,
) -> Reply<Json<Vec<JobSummary>>> {
    let organisation = resolve_organisation(&shared, &headers, None)?;
    if query.label.is_none() {
        let message = "name the jobs with ?label=LABEL";
        return Err(ApiError::new(ErrorKind::BadBody, message));
    }
    call_all_shards(&shared, &organisation, query.label, true).await
}

/// Lists or cancels an organisation's jobs at the owners of all shards; fails if one of them does.
async fn call_all_shards(
    shared: &Arc<Shared>,
    organisation: &OrganisationName,
    label: Option<String>,
    cancel: bool,
) -> Reply<Json<Vec<JobSummary>>> {
    let label: Option<Arc<str>> = label.map(Arc::from);
    let shards: BTreeSet<ShardId> = ShardId::all().collect();
    let calls = shards.into_iter().map(|shard| {
        let list = JobCall::List {
            shard,
            organisation: organisation.clone(),
            label: label.clone(),
            cancel,
        };
        send_job_call(shared, list)
    });
    let mut jobs = Vec::new();
    for reply in futures_util::future::join_all(calls).await {
        match reply {
            JobReply::Jobs(mut shard_jobs) => jobs.append(&mut shard_jobs),
            other => return Err(error_from_reply(&other)),
        }
    }
    Ok(Json(jobs))
}
