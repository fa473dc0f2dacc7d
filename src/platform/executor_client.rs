//! Orders to executors and questions to the advice service.

use {
    crate::{
        fleet::{AdvisedExecutor, CommandError, CommandReply, ExecutorCommand, ExecutorId, StepId},
        platform::{
            settings::saturating_ms,
            wire_client::{WireClient, WireRequest},
            wire_executor::{WireReply, command_body},
        },
    },
    hyper::{Method, StatusCode},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Client of executors and of the advice service.
#[derive(Clone, Debug, Default)]
pub struct ExecutorClient {
    client: WireClient,
}

#[derive(Serialize)]
struct WireAdvise<'a> {
    step: String,
    workers: &'a [ExecutorId],
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireAdvice {
    good: Vec<(Arc<str>, Arc<str>)>,
    valid_ms: Option<f64>,
}

impl ExecutorClient {
    /// Gives an order to one life of an executor.
    pub async fn send_command(
        &self,
        id: &ExecutorId,
        address: &str,
        command: &ExecutorCommand,
        timeout: Duration,
        new_connection: bool,
    ) -> Result<CommandReply, CommandError> {
        let (path, body) = command_body(command).map_err(|_| CommandError::Refused)?;
        let request = WireRequest {
            method: Method::POST,
            url: format!("http://{address}{path}"),
            body,
            incarnation: Some(id),
            timeout,
            new_connection,
        };
        let answer = self.client.send(request).await;
        let (status, body) = answer.map_err(|_| CommandError::Unknown)?;
        let parsed = || serde_json::from_slice::<WireReply>(&body).ok();
        match status {
            StatusCode::OK if matches!(command, ExecutorCommand::Renew(_)) => {
                let lists = parsed().and_then(WireReply::into_renew_reply);
                lists
                    .map(CommandReply::Renewed)
                    .ok_or(CommandError::Unknown)
            }
            StatusCode::OK => Ok(CommandReply::Accepted),
            StatusCode::MISDIRECTED_REQUEST => Err(CommandError::OtherLife),
            StatusCode::CONFLICT => {
                let reason = parsed().and_then(|a| a.reason);
                Err(match reason.as_deref() {
                    Some("fence") => CommandError::Fenced,
                    Some("late") => CommandError::Late,
                    Some("old") => CommandError::OldRun,
                    Some("room") => CommandError::NoRoom,
                    Some("ticket") => CommandError::BadTicket,
                    _ => CommandError::Refused,
                })
            }
            StatusCode::BAD_REQUEST
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS => Err(CommandError::Refused),
            _ => Err(CommandError::Unknown),
        }
    }

    /// Asks which executors may run a step; none if refused or unanswered. Also returns how
    /// long the tickets are valid, in ms, where the answer says so.
    pub async fn request_advice(
        &self,
        address: SocketAddr,
        step: StepId,
        executors: &[ExecutorId],
        timeout: Duration,
    ) -> Option<(Vec<AdvisedExecutor>, Option<u64>)> {
        let wire = WireAdvise {
            step: step.to_string(),
            workers: executors,
        };
        let request = WireRequest {
            method: Method::POST,
            url: format!("http://{address}/-/advise"),
            body: serde_json::to_vec(&wire).ok()?,
            incarnation: None,
            timeout,
            new_connection: false,
        };
        let (status, body) = self.client.send(request).await.ok()?;
        if status != StatusCode::OK {
            return None;
        }
        let wire: WireAdvice = serde_json::from_slice(&body).ok()?;
        let to_advised = |(executor, ticket)| AdvisedExecutor { executor, ticket };
        let advised = wire.good.into_iter().map(to_advised).collect();
        Some((advised, wire.valid_ms.map(saturating_ms)))
    }
}
