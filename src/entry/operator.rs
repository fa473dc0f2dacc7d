//! What operators can read from a node, beside its metrics.

use {
    crate::{
        core::Millis,
        entry::{OwnerInput, Shared},
        fleet::{FleetView, JobId, JobWhy},
    },
    axum::{
        Json, Router,
        extract::{Path, State},
        http::StatusCode,
        routing::get,
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::sync::oneshot,
};

/// Time until the cell of this node counts as not answering.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A node's view of itself and of its surroundings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeView {
    pub node: Arc<str>,
    pub zone: Arc<str>,
    /// The owner as the store names it.
    pub owner: Option<Arc<str>>,
    pub is_owner: bool,
    /// Version of the configuration in force; 0: none.
    pub config_version: u64,
    /// Since a read confirmed the configuration.
    pub config_age_ms: Millis,
    /// Since the store last answered.
    pub store_age_ms: Millis,
    pub nodes: usize,
    pub draining: bool,
}

/// Returns the operators' routes; only the owner answers those about the fleet.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/fleet/node", get(node))
        .route("/fleet/summary", get(summary))
        .route("/fleet/why/{job}", get(why))
        .with_state(shared)
}

async fn metrics(State(shared): State<Arc<Shared>>) -> String {
    shared.metrics()
}

async fn node(State(shared): State<Arc<Shared>>) -> Json<NodeView> {
    Json(shared.node_view())
}

async fn summary(State(shared): State<Arc<Shared>>) -> Result<Json<FleetView>, StatusCode> {
    let (tx, rx) = oneshot::channel();
    ask(&shared, OwnerInput::AskSummary { tx }, rx).await
}

async fn why(
    State(shared): State<Arc<Shared>>,
    Path(job): Path<String>,
) -> Result<Json<Option<JobWhy>>, StatusCode> {
    let job: JobId = job.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
    let (tx, rx) = oneshot::channel();
    ask(&shared, OwnerInput::AskWhy { job, tx }, rx).await
}

/// Asks the cell of this node; 421 if it has none.
async fn ask<T>(
    shared: &Shared,
    question: OwnerInput,
    rx: oneshot::Receiver<T>,
) -> Result<Json<T>, StatusCode> {
    let owner = shared
        .local_owner()
        .ok_or(StatusCode::MISDIRECTED_REQUEST)?;
    let sent = owner.send(question);
    sent.map_err(|_| StatusCode::MISDIRECTED_REQUEST)?;
    match tokio::time::timeout(ANSWER_TIMEOUT, rx).await {
        Ok(Ok(answer)) => Ok(Json(answer)),
        Ok(Err(_)) => Err(StatusCode::MISDIRECTED_REQUEST),
        Err(_) => Err(StatusCode::GATEWAY_TIMEOUT),
    }
}
