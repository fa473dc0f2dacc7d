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
pub async fn ask(
    shared: &Shared,
    step: StepId,
    executors: &[ExecutorId],
    timeout_ms: Millis,
) -> (Option<Vec<AdvisedExecutor>>, Millis) {
    let Some(address) = shared.settings.advice else {
        return (None, 0);
    };
    let timeout = Duration::from_millis(timeout_ms);
    let answer = shared.executors.advise(address, step, executors, timeout);
    match answer.await {
        Some((good, valid_ms)) => (Some(good), valid_ms.unwrap_or(0)),
        None => (None, 0),
    }
}
