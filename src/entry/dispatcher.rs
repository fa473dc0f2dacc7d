//! Sends commands to executors for the owner on another node. Called by the owner link. It decides
//! nothing: each command is sent once and in time, or not at all.

use crate::{
    entry::{RemoteCommand, Shared, clock},
    fleet::{CommandError, CommandReply, ExecutorCommand, FleetEvent},
};

/// Sends a command and returns the executor's reply. Sends nothing if the command's time has passed,
/// nor a start to a zone that is being evacuated: the owner may not know of the request yet.
pub async fn send_command(
    shared: &Shared,
    remote: &RemoteCommand,
) -> Result<CommandReply, CommandError> {
    let late_ms = clock::mono().saturating_sub(remote.send_before);
    if clock::mono() >= remote.send_before {
        let detail = format!("executor={} late_ms={late_ms}", remote.executor);
        shared.log_event(FleetEvent::CommandExpired, &detail);
        return Err(CommandError::Expired);
    }
    if matches!(remote.command, ExecutorCommand::Start(_)) && shared.is_evacuated(&remote.zone) {
        return Err(CommandError::Evacuated);
    }
    let timeout = std::time::Duration::from_millis(remote.timeout_ms);
    let (id, address) = (&remote.executor, &remote.address);
    let client = &shared.executor_client;
    let result = client
        .send_command(id, address, &remote.command, timeout, false)
        .await;
    if let Ok(CommandReply::Renewed(reply)) = &result {
        shared.log_skipped(&format!("executor={id}"), &reply.skipped);
    }
    result
}
