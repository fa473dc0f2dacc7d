//! The callers' HTTP interface: submit a job, read its status, cancel it, count the waiting jobs
//! of a queue. Served by the daemon on every node. It stores jobs and cancellations before it
//! accepts them; it must not refuse a job that may already be stored, nor take a job without a
//! record for one that will not be stored.

use {
    crate::{
        entry::{
            OverloadRefusal, Shared, admission, clock, event_log::Latency, retry_after_s,
            store_keys as keys,
        },
        fleet::{
            FleetConfig, FleetEvent, JobEnd, JobId, JobRecord, JobStatus, QueueRule, Submission,
        },
        platform::{
            API_KEY_HEADER, DEADLINE_HEADER, READY_PATH, StoreError, StoreItem, Transaction,
            job_from_bytes, job_state_body, queue_depth_body,
        },
        server::{BodyError, RequestHandle, read_body},
    },
    axum::{
        Router,
        body::Body,
        extract::State,
        http::{HeaderMap, Method, Request, Response, StatusCode, header},
    },
    std::{sync::Arc, time::Duration},
};

/// Time between attempts to store a job or a cancellation.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Max attempts to store a job while the store replies that it wrote nothing.
const MAX_BUSY_ATTEMPTS: u32 = 2;

/// Part of the caller's deadline, in percent, that is used to find out whether a write succeeded.
const DEADLINE_PERCENT: u32 = 80;

/// Deadline of a request without a deadline header, in ms.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// Returns the routes for callers.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new().fallback(handle).with_state(shared)
}

/// Returns the readiness route for the load balancer.
pub fn readiness_router(shared: Arc<Shared>) -> Router {
    let readiness = async |State(shared): State<Arc<Shared>>| {
        if shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    Router::new()
        .route(READY_PATH, axum::routing::get(readiness))
        .with_state(shared)
}

/// A request whose queue and API key were checked.
struct CheckedRequest {
    queue: Arc<QueueRule>,
    tenant: Option<Arc<str>>,
    /// Rest of the path after the queue's prefix.
    rest: String,
    deadline: Duration,
}

type Reply = Response<Body>;

async fn handle(State(shared): State<Arc<Shared>>, req: Request<Body>) -> Reply {
    let Some(config) = shared.fresh_config() else {
        let job = req.uri().path().rsplit('/').next().unwrap_or("");
        return refuse(&shared, job, "configuration not fresh");
    };
    let checked = match check(&config, &req) {
        Ok(checked) => checked,
        Err(status) => {
            let path = req.uri().path();
            let version = config.version;
            let detail = format!("path={path} status={status} config_version={version}");
            shared.log_event(FleetEvent::JobRefused, &detail);
            return empty(status);
        }
    };
    if checked.rest.is_empty() {
        return queue_depth(&shared, &checked).await;
    }
    let Ok(id) = checked.rest.parse::<JobId>() else {
        return empty(StatusCode::NOT_FOUND);
    };
    match *req.method() {
        Method::POST => submit(&shared, &config, checked, id, req).await,
        Method::GET => job_status(&shared, id).await,
        Method::DELETE => cancel(&shared, &checked, id).await,
        _ => empty(StatusCode::METHOD_NOT_ALLOWED),
    }
}

/// Finds the request's queue and checks its API key; returns the status of the refusal.
fn check(config: &FleetConfig, req: &Request<Body>) -> Result<CheckedRequest, StatusCode> {
    let host = req.headers().get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or("");
    let host = host.split(':').next().unwrap_or("");
    let path = req.uri().path();
    let queue = config
        .queue_for_request(host, path)
        .ok_or(StatusCode::NOT_FOUND)?;
    let key = req
        .headers()
        .get(API_KEY_HEADER)
        .and_then(|k| k.to_str().ok());
    let tenant = key.and_then(|k| config.api_keys.get(k)).cloned();
    if tenant.is_none() && !queue.public {
        return Err(StatusCode::UNAUTHORIZED);
    }
    Ok(CheckedRequest {
        rest: path[queue.prefix.len()..].to_owned(),
        queue: queue.clone(),
        tenant,
        deadline: deadline(req.headers()),
    })
}

fn deadline(headers: &HeaderMap) -> Duration {
    let stated = headers.get(DEADLINE_HEADER).and_then(|d| d.to_str().ok());
    let stated = stated.and_then(|d| d.parse().ok());
    Duration::from_millis(stated.unwrap_or(DEFAULT_DEADLINE_MS)) * DEADLINE_PERCENT / 100
}

async fn submit(
    shared: &Shared,
    config: &FleetConfig,
    checked: CheckedRequest,
    id: JobId,
    req: Request<Body>,
) -> Reply {
    let handle = req.extensions().get::<RequestHandle>().cloned();
    // Kept until the response, as the work on the body counts with it.
    let body = match read_body(handle, req.into_body(), config.max_body_bytes).await {
        Ok(body) => body,
        Err(e) => return refuse_body(e),
    };
    let spec = match job_from_bytes(body.bytes()) {
        Ok(spec) => spec,
        Err(e) => {
            let detail = format!("job={id} {e}");
            shared.log_event(FleetEvent::JobRefused, &detail);
            return empty(StatusCode::BAD_REQUEST);
        }
    };
    if let Some(limit) = spec.exceeded_limit() {
        let detail = format!("job={id} reason={limit}");
        shared.log_event(FleetEvent::JobRefused, &detail);
        return empty(StatusCode::BAD_REQUEST);
    }
    let submission = Submission {
        id,
        queue: QueueRule::clone(&checked.queue),
        tenant: checked.tenant,
        accepted_unix_ms: clock::unix(),
        spec,
    };
    let started_at = clock::mono();
    let reply = async {
        match admission::check(shared, &submission).await {
            Some(refusal) => refuse_overload(shared, &submission, refusal),
            None => accept(shared, submission).await,
        }
    };
    let reply = tokio::time::timeout(checked.deadline, reply).await;
    let elapsed_ms = clock::mono().saturating_sub(started_at);
    shared.event_log.record_latency(Latency::Accept, elapsed_ms);
    reply.unwrap_or_else(|_| outcome_unknown(shared, id))
}

/// Stores a job. Refuses only if the job is certainly not stored and never will be; after a write
/// with an unknown outcome it retries until the caller's deadline. A job that was cancelled before is
/// stored as a cancelled one.
async fn accept(shared: &Shared, submission: Submission) -> Reply {
    let id = submission.id;
    let record = JobRecord::open(submission.clone());
    let Ok(value) = keys::encode(&record) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    if value.len() > shared.settings.max_value_bytes {
        return refuse_size(shared, id, "record too long for the store");
    }
    if matches!(record, JobRecord::OpenLarge(_)) && !shared.all_nodes_read_large_jobs() {
        let job = id.to_string();
        return refuse(
            shared,
            &job,
            "large job while a node of an earlier version lives",
        );
    }
    let mut txn = replace_record(id, 0, value);
    let mut withdrawn = false;
    let mut maybe_stored = false;
    let mut busy_attempts = 0;
    loop {
        match shared.commit_for_caller(&txn).await {
            Ok(_) if withdrawn => return empty(StatusCode::OK),
            Ok(_) => {
                return reply_accepted(shared, submission);
            }
            Err(StoreError::Conflict(items)) => {
                maybe_stored = true;
                let item = items.iter().find(|i| i.revision > 0);
                match item.map(|i| decode_record(shared, i)) {
                    Some(Ok((record, revision))) if record.is_withdrawn() => {
                        log_withdrawn(shared, id, "submitted after it was cancelled");
                        let Ok(value) = keys::encode(&cancelled_record(&submission)) else {
                            return outcome_unknown(shared, id);
                        };
                        txn = replace_record(id, revision, value);
                        withdrawn = true;
                    }
                    Some(Ok((record, _))) => return reply_stored(shared, record),
                    Some(Err(())) => return outcome_unknown(shared, id),
                    None => {}
                }
            }
            Err(StoreError::Refused) => {
                return refuse_size(shared, id, "the store refuses the record");
            }
            Err(StoreError::Busy) if !maybe_stored => {
                busy_attempts += 1;
                if busy_attempts >= MAX_BUSY_ATTEMPTS {
                    let job = id.to_string();
                    return refuse(shared, &job, "the store takes no writes");
                }
            }
            Err(_) => {
                maybe_stored = true;
            }
        }
        tokio::time::sleep(STORE_RETRY_INTERVAL).await;
    }
}

/// Returns the transaction that writes a job's record in place of that of a revision; 0: there is none.
fn replace_record(id: JobId, revision: u64, value: Vec<u8>) -> Transaction {
    Transaction {
        expect: vec![(keys::job(id), revision)],
        set: vec![(keys::job(id), value, 0)],
        remove: Vec::new(),
    }
}

/// Returns the record of a job that is accepted although a caller has cancelled it.
fn cancelled_record(submission: &Submission) -> JobRecord {
    JobRecord::Ended {
        end: JobEnd::Cancelled,
        queue: submission.queue.name.clone(),
        tenant: submission.tenant.clone(),
        ended_unix_ms: clock::unix(),
    }
}

/// Returns a job's record and its revision; `Err` if it cannot be decoded.
fn decode_record(shared: &Shared, item: &StoreItem) -> Result<(JobRecord, u64), ()> {
    let record = keys::decode(&item.key, &item.value);
    record.map(|r| (r, item.revision)).map_err(|e| {
        shared.log_event(FleetEvent::BadEntry, &e.to_string());
    })
}

/// Replies to a job whose record is in the store already.
fn reply_stored(shared: &Shared, record: JobRecord) -> Reply {
    match record {
        JobRecord::Open(old) | JobRecord::OpenLarge(old) => reply_accepted(shared, old),
        JobRecord::Ended { .. } => empty(StatusCode::OK),
    }
}

fn reply_accepted(shared: &Shared, submission: Submission) -> Reply {
    let detail = format!("job={} queue={}", submission.id, submission.queue.name);
    shared.log_event(FleetEvent::JobAccepted, &detail);
    shared.notify_submitted(submission);
    empty(StatusCode::OK)
}

async fn job_status(shared: &Shared, id: JobId) -> Reply {
    if let Some(Some(status)) = shared.query_job_status(id).await {
        return json(job_state_body(status));
    }
    match read_record(shared, id).await {
        Ok(Some((record, _))) if record.is_withdrawn() => empty(StatusCode::GONE),
        Ok(Some((JobRecord::Ended { end, .. }, _))) => {
            json(job_state_body(JobStatus::from_end(end)))
        }
        Ok(Some((JobRecord::Open(_) | JobRecord::OpenLarge(_), _))) => {
            json(job_state_body(JobStatus::Pending))
        }
        Ok(None) => empty(StatusCode::GONE),
        Err(()) => refuse(shared, &id.to_string(), "neither owner nor store answer"),
    }
}

/// Reads a job's record and its revision from the store; `Err` if it cannot be read or decoded.
async fn read_record(shared: &Shared, id: JobId) -> Result<Option<(JobRecord, u64)>, ()> {
    match shared.get_for_caller(&keys::job(id)).await {
        Ok(Some(item)) => decode_record(shared, &item).map(Some),
        Ok(None) => Ok(None),
        Err(_) => Err(()),
    }
}

async fn cancel(shared: &Shared, checked: &CheckedRequest, id: JobId) -> Reply {
    let cancel = async {
        loop {
            let revision = match read_record(shared, id).await {
                Ok(Some((JobRecord::Open(_) | JobRecord::OpenLarge(_), _))) => {
                    return cancel_stored(shared, id).await;
                }
                // Written anew, so that it is kept for its whole time from this reply on.
                Ok(Some((record, revision))) if record.is_withdrawn() => revision,
                Ok(Some((JobRecord::Ended { .. }, _))) => return empty(StatusCode::OK),
                Ok(None) => 0,
                Err(()) => return refuse(shared, &id.to_string(), "the store does not answer"),
            };
            if withdraw(shared, id, revision).await {
                return empty(StatusCode::GONE);
            }
            tokio::time::sleep(STORE_RETRY_INTERVAL).await;
        }
    };
    match tokio::time::timeout(checked.deadline, cancel).await {
        Ok(reply) => reply,
        Err(_) => outcome_unknown(shared, id),
    }
}

/// Stores the cancellation of a stored job.
async fn cancel_stored(shared: &Shared, id: JobId) -> Reply {
    let txn = Transaction {
        set: vec![(keys::cancellation(id), Vec::new(), 0)],
        ..Transaction::default()
    };
    loop {
        if shared.commit_for_caller(&txn).await.is_ok() {
            shared.notify_cancelled(id);
            return empty(StatusCode::OK);
        }
        tokio::time::sleep(STORE_RETRY_INTERVAL).await;
    }
}

/// Keeps a job that is not stored from being stored later: the store or a node may still have a write of
/// it under way. `revision` is that of an earlier record of this kind, or 0. Returns false if the
/// record may be another one meanwhile.
async fn withdraw(shared: &Shared, id: JobId, revision: u64) -> bool {
    let Ok(value) = keys::encode(&JobRecord::withdrawn(clock::unix())) else {
        return false;
    };
    let txn = replace_record(id, revision, value);
    let written = shared.commit_for_caller(&txn).await.is_ok();
    if written {
        log_withdrawn(shared, id, "cancelled before it was stored");
    }
    written
}

fn log_withdrawn(shared: &Shared, id: JobId, reason: &str) {
    shared.log_event(
        FleetEvent::JobWithdrawn,
        &format!("job={id} reason={reason}"),
    );
}

async fn queue_depth(shared: &Shared, checked: &CheckedRequest) -> Reply {
    match shared.query_queue_depth(checked.queue.name.clone()).await {
        Some(count) => json(queue_depth_body(count)),
        None => refuse(shared, "none", "the owner does not answer"),
    }
}

/// Replies 503 with `retry-after`: nothing was done. `job` is the job's id as given by the caller,
/// possibly not valid.
fn refuse(shared: &Shared, job: &str, reason: &str) -> Reply {
    let (store, config) = (shared.store_age_ms(), shared.config_age_ms());
    let another_serves = shared.another_node_serves();
    let retry_after_s = retry_after_s(another_serves, store);
    let detail = format!(
        "job={job} reason={reason} store_age_ms={store} config_age_ms={config} \
         another_serves={another_serves} retry_after_s={retry_after_s}"
    );
    shared.log_event(FleetEvent::JobRefused, &detail);
    let mut reply = empty(StatusCode::SERVICE_UNAVAILABLE);
    let value = header::HeaderValue::from(retry_after_s);
    reply.headers_mut().insert(header::RETRY_AFTER, value);
    reply
}

/// Replies to a request whose body was not read: nothing was done. The server counts and logs what it
/// rejected.
fn refuse_body(error: BodyError) -> Reply {
    let mut reply = empty(error.status());
    if let Some(seconds) = error.retry_after_s() {
        let value = header::HeaderValue::from(seconds);
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
    reply
}

/// Replies 413: the job can never be stored; nothing was done.
fn refuse_size(shared: &Shared, id: JobId, reason: &str) -> Reply {
    shared.log_event(FleetEvent::JobRefused, &format!("job={id} reason={reason}"));
    empty(StatusCode::PAYLOAD_TOO_LARGE)
}

/// Replies 429 with `retry-after`: the job cannot be served in time; nothing was done.
fn refuse_overload(shared: &Shared, submission: &Submission, refusal: OverloadRefusal) -> Reply {
    let OverloadRefusal {
        wait_ms,
        age_ms,
        retry_after_s,
    } = refusal;
    let detail = format!(
        "job={} reason=overload wait_ms={wait_ms} age_ms={age_ms} retry_after_s={retry_after_s} \
         queue={} tenant={}",
        submission.id,
        submission.queue.name,
        submission.tenant.as_deref().unwrap_or(""),
    );
    shared.log_event(FleetEvent::JobRefused, &detail);
    let mut reply = empty(StatusCode::TOO_MANY_REQUESTS);
    let value = header::HeaderValue::from(retry_after_s);
    reply.headers_mut().insert(header::RETRY_AFTER, value);
    reply
}

/// Replies 504: it is not known whether the write succeeded.
fn outcome_unknown(shared: &Shared, id: JobId) -> Reply {
    let detail = format!("job={id} reason=outcome of a write not known");
    shared.log_event(FleetEvent::JobRefused, &detail);
    empty(StatusCode::GATEWAY_TIMEOUT)
}

fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Body::empty());
    *reply.status_mut() = status;
    reply
}

fn json(body: String) -> Reply {
    let mut reply = Response::new(Body::from(body));
    let value = header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, value);
    reply
}
