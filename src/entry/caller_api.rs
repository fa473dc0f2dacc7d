//! Callers' requests: jobs submitted, asked for, cancelled, counted.

use {
    crate::{
        entry::{Shared, clock, event_log::Latency, store_keys as keys},
        fleet::{FleetConfig, FleetEvent, JobId, JobRecord, JobStatus, QueueRule, Submission},
        platform::{
            API_KEY_HEADER, DEADLINE_HEADER, READY_PATH, StoreError, Transaction, job_from_bytes,
            state_body, waiting_body,
        },
    },
    axum::{
        Router,
        body::Body,
        extract::State,
        http::{HeaderMap, Method, Request, Response, StatusCode, header},
    },
    http_body_util::{BodyExt, Limited},
    std::{sync::Arc, time::Duration},
};

/// Time until an unanswered call to the store counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between attempts to store a job.
const STORE_PAUSE: Duration = Duration::from_millis(60);

/// Attempts to store a job while the store says that it did nothing.
const BUSY_TRIES: u32 = 2;

/// Part of the caller's deadline, in percent, within which outcomes are made sure.
const DEADLINE_PART: u32 = 80;

/// Deadline of a caller that states none, in ms.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// When a refused caller may come back, in seconds: other nodes take its work at once.
const RETRY_AFTER_S: &str = "1";

/// Returns the callers' interface.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new().fallback(handle).with_state(shared)
}

/// Returns the balancer's interface.
pub fn readiness_router(shared: Arc<Shared>) -> Router {
    let ready = async |State(shared): State<Arc<Shared>>| {
        if shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    Router::new()
        .route(READY_PATH, axum::routing::get(ready))
        .with_state(shared)
}

/// A caller whose queue and key were checked.
struct Caller {
    queue: Arc<QueueRule>,
    tenant: Option<Arc<str>>,
    /// What follows the queue's prefix.
    rest: String,
    deadline: Duration,
}

type Answer = Response<Body>;

async fn handle(State(shared): State<Arc<Shared>>, req: Request<Body>) -> Answer {
    let Some(config) = shared.fresh_config() else {
        let named = req.uri().path().rsplit('/').next().unwrap_or("");
        return refuse(&shared, named, "configuration not fresh");
    };
    let caller = match check(&config, &req) {
        Ok(caller) => caller,
        Err(status) => {
            let path = req.uri().path();
            let version = config.version;
            let detail = format!("path={path} status={status} config_version={version}");
            shared.log_event(FleetEvent::JobRefused, &detail);
            return plain(status);
        }
    };
    if caller.rest.is_empty() {
        return count(&shared, &caller).await;
    }
    let Ok(id) = caller.rest.parse::<JobId>() else {
        return plain(StatusCode::NOT_FOUND);
    };
    match *req.method() {
        Method::POST => submit(&shared, &config, caller, id, req).await,
        Method::GET => show(&shared, id).await,
        Method::DELETE => cancel(&shared, &caller, id).await,
        _ => plain(StatusCode::METHOD_NOT_ALLOWED),
    }
}

/// Checks queue and key.
fn check(config: &FleetConfig, req: &Request<Body>) -> Result<Caller, StatusCode> {
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
    Ok(Caller {
        rest: path[queue.prefix.len()..].to_owned(),
        queue: queue.clone(),
        tenant,
        deadline: deadline(req.headers()),
    })
}

fn deadline(headers: &HeaderMap) -> Duration {
    let stated = headers.get(DEADLINE_HEADER).and_then(|d| d.to_str().ok());
    let stated = stated.and_then(|d| d.parse().ok());
    Duration::from_millis(stated.unwrap_or(DEFAULT_DEADLINE_MS)) * DEADLINE_PART / 100
}

async fn submit(
    shared: &Shared,
    config: &FleetConfig,
    caller: Caller,
    id: JobId,
    req: Request<Body>,
) -> Answer {
    let body = Limited::new(req.into_body(), config.max_body_bytes);
    let Ok(body) = body.collect().await else {
        return plain(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let spec = match job_from_bytes(&body.to_bytes()) {
        Ok(spec) => spec,
        Err(e) => {
            let detail = format!("job={id} {e}");
            shared.log_event(FleetEvent::JobRefused, &detail);
            return plain(StatusCode::BAD_REQUEST);
        }
    };
    let submission = Submission {
        id,
        queue: QueueRule::clone(&caller.queue),
        tenant: caller.tenant,
        accepted_unix_ms: clock::unix(),
        spec,
    };
    let began = clock::mono();
    let answer = tokio::time::timeout(caller.deadline, accept(shared, submission)).await;
    let took = clock::mono().saturating_sub(began);
    shared.event_log.record_latency(Latency::Accept, took);
    answer.unwrap_or_else(|_| unknown(shared, id))
}

/// Stores a job; refuses only if it surely was not stored and never will be.
async fn accept(shared: &Shared, submission: Submission) -> Answer {
    let id = submission.id;
    let record = JobRecord::Open(submission.clone());
    let Ok(value) = keys::encode(&record) else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let txn = Transaction {
        expect: vec![(keys::job(id), 0)],
        set: vec![(keys::job(id), value, 0)],
        remove: Vec::new(),
    };
    let mut unsure = false;
    let mut busy = 0;
    loop {
        match shared.commit(&txn, STORE_TIMEOUT).await {
            Ok(_) => {
                return accepted(shared, submission);
            }
            Err(StoreError::Conflict(items)) => {
                let stored = items.first().filter(|i| i.revision > 0);
                let stored = stored.and_then(|i| keys::decode(&i.key, &i.value).ok());
                return match stored {
                    Some(JobRecord::Open(old)) => accepted(shared, old),
                    _ => plain(StatusCode::OK),
                };
            }
            Err(StoreError::Busy) if !unsure => {
                busy += 1;
                if busy >= BUSY_TRIES {
                    let named = id.to_string();
                    return refuse(shared, &named, "the store takes no writes");
                }
            }
            Err(_) => {
                unsure = true;
            }
        }
        tokio::time::sleep(STORE_PAUSE).await;
    }
}

fn accepted(shared: &Shared, submission: Submission) -> Answer {
    let detail = format!("job={} queue={}", submission.id, submission.queue.name);
    shared.log_event(FleetEvent::JobAccepted, &detail);
    shared.notify_submitted(submission);
    plain(StatusCode::OK)
}

async fn show(shared: &Shared, id: JobId) -> Answer {
    if let Some(Some(view)) = shared.query_job_status(id).await {
        return json(state_body(view));
    }
    match stored(shared, id).await {
        Ok(Some(JobRecord::Ended { end, .. })) => json(state_body(JobStatus::from_end(end))),
        Ok(Some(JobRecord::Open(_))) => json(state_body(JobStatus::Pending)),
        Ok(None) => plain(StatusCode::GONE),
        Err(()) => refuse(shared, &id.to_string(), "neither owner nor store answer"),
    }
}

/// Reads a job's record from the store.
async fn stored(shared: &Shared, id: JobId) -> Result<Option<JobRecord>, ()> {
    match shared.get(&keys::job(id), STORE_TIMEOUT).await {
        Ok(Some(item)) => {
            let record = keys::decode(&item.key, &item.value);
            record.map(Some).map_err(|e| {
                shared.log_event(FleetEvent::BadEntry, &e.to_string());
            })
        }
        Ok(None) => Ok(None),
        Err(_) => Err(()),
    }
}

async fn cancel(shared: &Shared, caller: &Caller, id: JobId) -> Answer {
    let cancel = async {
        match stored(shared, id).await {
            Ok(Some(JobRecord::Open(_))) => {}
            Ok(Some(JobRecord::Ended { .. })) => return plain(StatusCode::OK),
            Ok(None) => return plain(StatusCode::GONE),
            Err(()) => return refuse(shared, &id.to_string(), "the store does not answer"),
        }
        let txn = Transaction {
            set: vec![(keys::cancellation(id), Vec::new(), 0)],
            ..Transaction::default()
        };
        loop {
            if shared.commit(&txn, STORE_TIMEOUT).await.is_ok() {
                shared.notify_cancelled(id);
                return plain(StatusCode::OK);
            }
            tokio::time::sleep(STORE_PAUSE).await;
        }
    };
    match tokio::time::timeout(caller.deadline, cancel).await {
        Ok(answer) => answer,
        Err(_) => unknown(shared, id),
    }
}

async fn count(shared: &Shared, caller: &Caller) -> Answer {
    match shared.query_queue_depth(caller.queue.name.clone()).await {
        Some(count) => json(waiting_body(count)),
        None => refuse(shared, "none", "the owner does not answer"),
    }
}

/// Answers that nothing was done and when to come back; `named` is the job as the call named
/// it, also where it could not be checked.
fn refuse(shared: &Shared, named: &str, reason: &str) -> Answer {
    let (store, config) = (shared.store_age(), shared.config_age());
    let detail = format!("job={named} reason={reason} store_age_ms={store} config_age_ms={config}");
    shared.log_event(FleetEvent::JobRefused, &detail);
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    let value = header::HeaderValue::from_static(RETRY_AFTER_S);
    answer.headers_mut().insert(header::RETRY_AFTER, value);
    answer
}

/// Answers that the outcome is not known.
fn unknown(shared: &Shared, id: JobId) -> Answer {
    let detail = format!("job={id} reason=outcome of a write not known");
    shared.log_event(FleetEvent::JobRefused, &detail);
    plain(StatusCode::GATEWAY_TIMEOUT)
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Body::empty());
    *answer.status_mut() = status;
    answer
}

fn json(body: String) -> Answer {
    let mut answer = Response::new(Body::from(body));
    let value = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}
