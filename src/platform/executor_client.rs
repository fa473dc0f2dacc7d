//! Client of the executors and of the advice service.
//!
//! Used by the entry layer, which carries out the effects of the cell. Sends each command once and
//! maps the reply to a result; repeating a command is up to the cell.

use {
    crate::{
        fleet::{AdvisedExecutor, CommandError, CommandReply, ExecutorCommand, ExecutorId, StepId},
        platform::{
            settings::saturating_u64,
            wire_client::{WireClient, WireRequest},
            wire_executor::{WireReply, command_body},
        },
    },
    hyper::{Method, StatusCode},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Sends commands to executors and requests to the advice service.
#[derive(Clone, Debug)]
pub struct ExecutorClient {
    client: WireClient,
    advice: WireClient,
}

impl Default for ExecutorClient {
    fn default() -> Self {
        Self {
            client: WireClient::new(),
            advice: WireClient::for_single_server(),
        }
    }
}

#[derive(Serialize)]
struct WireAdviceRequest<'a> {
    step: String,
    workers: &'a [ExecutorId],
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireAdviceReply {
    good: Vec<(Arc<str>, Arc<str>)>,
    valid_ms: Option<f64>,
}

impl ExecutorClient {
    /// Sends a command to an executor; another incarnation at the address refuses it.
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
            body_pause: None,
            new_connection,
        };
        let reply = self.client.send(request).await;
        let (status, body) = reply.map_err(|_| CommandError::Unknown)?;
        let parsed = || serde_json::from_slice::<WireReply>(&body).ok();
        match status {
            StatusCode::OK if matches!(command, ExecutorCommand::Renew(_)) => {
                let renewal = parsed().and_then(WireReply::into_renew_reply);
                renewal
                    .map(CommandReply::Renewed)
                    .ok_or(CommandError::Unknown)
            }
            StatusCode::OK => Ok(CommandReply::Accepted),
            StatusCode::MISDIRECTED_REQUEST => Err(CommandError::OtherLife),
            StatusCode::CONFLICT => {
                let reason = parsed().and_then(|r| r.reason);
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

    /// Requests which of `executors` may run a step. Returns the permitted ones, and how long their
    /// tickets are valid, in ms, if the reply states it; `None` if the call is refused or gets no
    /// usable reply.
    pub async fn request_advice(
        &self,
        address: SocketAddr,
        step: StepId,
        executors: &[ExecutorId],
        timeout: Duration,
    ) -> Option<(Vec<AdvisedExecutor>, Option<u64>)> {
        let query = WireAdviceRequest {
            step: step.to_string(),
            workers: executors,
        };
        let request = WireRequest {
            method: Method::POST,
            url: format!("http://{address}/-/advise"),
            body: serde_json::to_vec(&query).ok()?,
            incarnation: None,
            timeout,
            body_pause: None,
            new_connection: false,
        };
        let (status, body) = self.advice.send(request).await.ok()?;
        if status != StatusCode::OK {
            return None;
        }
        let reply: WireAdviceReply = serde_json::from_slice(&body).ok()?;
        let to_advised = |(executor, ticket)| AdvisedExecutor { executor, ticket };
        let advised = reply.good.into_iter().map(to_advised).collect();
        Some((advised, reply.valid_ms.map(saturating_u64)))
    }
}
