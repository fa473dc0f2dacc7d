//! Calls the platform's advice service in this node's advice slot. Called for the cell owner,
//! by the owner task or the owner link. It sets no limit of its own: the cell must not request more
//! than one call at a time of a node.

use {
    crate::{
        core::Millis,
        entry::Shared,
        fleet::{AdvisedExecutor, ExecutorId, StepId},
    },
    std::time::Duration,
};

/// Requests which of `executors` may run a step; none if the call failed or no service is
/// configured. Also returns how long the tickets are valid, in ms; 0 if the reply does not say.
pub async fn request_advice(
    shared: &Shared,
    step: StepId,
    executors: &[ExecutorId],
    timeout_ms: Millis,
) -> (Option<Vec<AdvisedExecutor>>, Millis) {
    let Some(address) = shared.settings.advice_address else {
        return (None, 0);
    };
    let timeout = Duration::from_millis(timeout_ms);
    let reply = shared
        .executor_client
        .request_advice(address, step, executors, timeout);
    match reply.await {
        Some(reply) => {
            shared.log_skipped(&format!("advice step={step}"), &reply.skipped);
            (Some(reply.advised), reply.valid_ms.unwrap_or(0))
        }
        None => (None, 0),
    }
}
