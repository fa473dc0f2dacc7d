//! Client of the executors and of the advice service.
//!
//! Used by the entry layer, which carries out the effects of the cell. Sends each command once and
//! maps the reply to a result; repeating a command is up to the cell.

use {
    crate::{
        fleet::{
            AdvisedExecutor, CommandError, CommandReply, ExecutorCommand, ExecutorId, SkippedRows,
            StepId,
        },
        platform::{
            settings::saturating_u64,
            wire_client::{WireClient, WireRequest},
            wire_executor::{WireReply, command_body, renew_reply},
            wire_rows::parse_rows,
        },
    },
    hyper::{Method, StatusCode},
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
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
struct WireAdviceReply<'a> {
    #[serde(borrow)]
    good: Vec<&'a RawValue>,
    valid_ms: Option<f64>,
}

/// Longest validity of a ticket that counts, in ms: a day.
const MAX_VALID_MS: u64 = 86_400_000;

/// What the advice service says of one step.
#[derive(Clone, Debug)]
pub struct AdviceReply {
    /// The executors that may run the step.
    pub advised: Vec<AdvisedExecutor>,
    /// How long their tickets are valid, in ms, if the reply states it.
    pub valid_ms: Option<u64>,
    pub skipped: SkippedRows,
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
                let renewal = renew_reply(&body).map(CommandReply::Renewed);
                renewal.ok_or(CommandError::Unknown)
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

    /// Requests which of `executors` may run a step; `None` if the call is refused or gets no usable
    /// reply.
    pub async fn request_advice(
        &self,
        address: SocketAddr,
        step: StepId,
        executors: &[ExecutorId],
        timeout: Duration,
    ) -> Option<AdviceReply> {
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
        let reply: WireAdviceReply<'_> = serde_json::from_slice(&body).ok()?;
        let mut skipped = SkippedRows::default();
        let good: Vec<(Arc<str>, Arc<str>)> = parse_rows(&reply.good, &mut skipped);
        let to_advised = |(executor, ticket)| AdvisedExecutor { executor, ticket };
        let valid_ms = reply.valid_ms.map(saturating_u64);
        Some(AdviceReply {
            advised: good.into_iter().map(to_advised).collect(),
            valid_ms: valid_ms.map(|ms| ms.min(MAX_VALID_MS)),
            skipped,
        })
    }
}
