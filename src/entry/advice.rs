//! This node's lane to the advice service.

use {
    crate::{
        core::Millis,
        entry::Shared,
        fleet::{AdvisedExecutor, ExecutorId, StepId},
    },
    std::time::Duration,
};

/// Asks which executors may run a step; none if refused or unanswered. Also returns how long
/// the tickets are valid, in ms; 0 if the answer does not say.
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
    let answer = shared
        .executor_client
        .request_advice(address, step, executors, timeout);
    match answer.await {
        Some((advised, valid_ms)) => (Some(advised), valid_ms.unwrap_or(0)),
        None => (None, 0),
    }
}
