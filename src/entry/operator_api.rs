//! The operators' HTTP interface of a node: metrics, the node's status, a summary of the fleet and
//! why a job waits. Served by the daemon; the client and metrics collectors call it. Read-only.

use {
    crate::{
        core::Millis,
        entry::{QueryError, Shared},
        fleet::{Cell, FleetSummary, JobExplanation, JobId},
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

/// Timeout of a query to the cell of this node.
const CELL_TIMEOUT: Duration = Duration::from_secs(2);

/// Status of a node, as JSON under `/fleet/node`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(expecting = "struct NodeView")]
pub struct NodeStatus {
    /// Name of this incarnation of the node.
    pub node: Arc<str>,
    pub zone: Arc<str>,
    /// Name of the owner according to the store; none if there is no owner.
    pub owner: Option<Arc<str>>,
    pub is_owner: bool,
    /// Version of the configuration in force; 0 if there is none.
    pub config_version: u64,
    /// Time since the latest read that confirmed the configuration was sent.
    pub config_age_ms: Millis,
    /// Time since a call to the store last succeeded.
    pub store_age_ms: Millis,
    /// Number of live nodes.
    pub nodes: usize,
    /// Whether a graceful stop has started.
    pub draining: bool,
}

/// Returns the operators' routes. `/fleet/summary` and `/fleet/why` reply 421 unless this node is
/// the owner.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/fleet/node", get(node))
        .route("/fleet/summary", get(summary))
        .route("/fleet/why/{job}", get(explain_job))
        .with_state(shared)
}

async fn metrics(State(shared): State<Arc<Shared>>) -> String {
    shared.metrics()
}

async fn node(State(shared): State<Arc<Shared>>) -> Json<NodeStatus> {
    Json(shared.node_status())
}

async fn summary(State(shared): State<Arc<Shared>>) -> Result<Json<FleetSummary>, StatusCode> {
    let summary = shared.query_cell(CELL_TIMEOUT, Cell::summary).await;
    summary.map(Json).map_err(error_status)
}

async fn explain_job(
    State(shared): State<Arc<Shared>>,
    Path(job): Path<String>,
) -> Result<Json<Option<JobExplanation>>, StatusCode> {
    let job: JobId = job.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
    let query = move |cell: &Cell, now| cell.explain_job(job, now);
    let explanation = shared.query_cell(CELL_TIMEOUT, query).await;
    explanation.map(Json).map_err(error_status)
}

fn error_status(error: QueryError) -> StatusCode {
    match error {
        QueryError::NotOwner => StatusCode::MISDIRECTED_REQUEST,
        QueryError::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    }
}
