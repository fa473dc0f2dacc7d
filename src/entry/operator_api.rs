//! What operators can read from a node, beside its metrics.

use {
    crate::{
        core::Millis,
        entry::{QueryError, Shared},
        fleet::{Cell, FleetView, JobExplanation, JobId},
    },
    axum::{
        Json, Router,
        extract::{Path, State},
        http::StatusCode,
        routing::get,
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Time until the cell of this node counts as not answering.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A node's view of itself and of its surroundings.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeStatus {
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

async fn node(State(shared): State<Arc<Shared>>) -> Json<NodeStatus> {
    Json(shared.node_status())
}

async fn summary(State(shared): State<Arc<Shared>>) -> Result<Json<FleetView>, StatusCode> {
    let view = shared.query_cell(ANSWER_TIMEOUT, Cell::summary).await;
    view.map(Json).map_err(status_of)
}

async fn why(
    State(shared): State<Arc<Shared>>,
    Path(job): Path<String>,
) -> Result<Json<Option<JobExplanation>>, StatusCode> {
    let job: JobId = job.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
    let ask = move |cell: &Cell, now| cell.explain_job(job, now);
    let why = shared.query_cell(ANSWER_TIMEOUT, ask).await;
    why.map(Json).map_err(status_of)
}

fn status_of(fault: QueryError) -> StatusCode {
    match fault {
        QueryError::NotOwner => StatusCode::MISDIRECTED_REQUEST,
        QueryError::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    }
}
