//! Sends commands to executors for the owner on another node. Called by the owner link. It decides
//! nothing: each command is sent once and in time, or not at all.

use crate::{
    entry::{RemoteCommand, Shared, clock},
    fleet::{CommandError, CommandReply, FleetEvent},
};

/// Sends a command, unless its time has passed, and returns the executor's reply.
pub async fn send_command(
    shared: &Shared,
    remote: &RemoteCommand,
) -> Result<CommandReply, CommandError> {
    let late_ms = clock::mono().saturating_sub(remote.send_before);
    if clock::mono() >= remote.send_before {
        let detail = format!("executor={} late_ms={late_ms}", remote.executor);
        shared.log_event(FleetEvent::CommandExpired, &detail);
        return Err(CommandError::Unknown);
    }
    let timeout = std::time::Duration::from_millis(remote.timeout_ms);
    let (id, address) = (&remote.executor, &remote.address);
    let client = &shared.executor_client;
    client
        .send_command(id, address, &remote.command, timeout, false)
        .await
}
