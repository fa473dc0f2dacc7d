//! Client of the platform's machine service, which lists machines and begins their maintenance.
//!
//! Used by the owner's upkeep task. Makes each call once; repeating it, its pace and the choice of the
//! machine are up to the caller.

use {
    crate::{
        fleet::{MachineId, MachineReply},
        platform::{
            wire_client::{NoReply, WireClient, WireRequest},
            wire_machine::{
                HOLDER_HEADER, MachinePage, TOKEN_HEADER, UPKEEP_PATH, machines_from_page,
                machines_path, upkeep_body, upkeep_reply,
            },
        },
    },
    axum::body::Body,
    http_body_util::{BodyExt, Limited},
    hyper::{Method, Request, StatusCode, client::conn::http1, header},
    hyper_util::rt::TokioIo,
    std::{future::poll_fn, net::SocketAddr, pin::pin, sync::Arc, task::Poll, time::Duration},
    tokio::net::TcpStream,
};

/// Maximum size of the reply to a call that begins a maintenance, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// Client of the machine service.
#[derive(Clone, Debug)]
pub struct MachineClient {
    client: WireClient,
    address: SocketAddr,
}

/// A call that begins the maintenance of one machine.
#[derive(Clone, Debug)]
pub struct UpkeepCall {
    pub machine: MachineId,
    pub wave: u64,
    /// Name of the owner.
    pub holder: Arc<str>,
    /// The owner's fencing token.
    pub token: u64,
}

impl MachineClient {
    /// Creates a client; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        let client = WireClient::for_single_server();
        Self { client, address }
    }

    /// Reads one page of the list of machines; `None` if the call is refused or gets no usable reply.
    pub async fn list_page(
        &self,
        page_token: Option<&str>,
        timeout: Duration,
    ) -> Option<MachinePage> {
        let request = WireRequest {
            method: Method::GET,
            url: format!("http://{}{}", self.address, machines_path(page_token)),
            body: Vec::new(),
            incarnation: None,
            timeout,
            body_pause: None,
            new_connection: false,
        };
        match self.client.send(request).await {
            Ok((StatusCode::OK, body)) => machines_from_page(&body),
            _ => None,
        }
    }

    /// Sends a call while `may_act` holds, which is checked each time before anything is written. A
    /// process that was paused in between sends nothing if it no longer holds then.
    pub async fn begin_upkeep(
        &self,
        call: &UpkeepCall,
        timeout: Duration,
        may_act: impl Fn() -> bool,
    ) -> MachineReply {
        let Ok(body) = upkeep_body(&call.machine, call.wave) else {
            return MachineReply::NotSent;
        };
        let request = Request::post(UPKEEP_PATH)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(HOLDER_HEADER, &*call.holder)
            .header(TOKEN_HEADER, call.token)
            .body(Body::from(body));
        let Ok(request) = request else {
            return MachineReply::NotSent;
        };
        // The connection belongs to this future, unlike a pooled one, whose own task would write the
        // request without the check.
        let mut sent = pin!(tokio::time::timeout(timeout, self.exchange(request)));
        let mut polled = false;
        let reply = poll_fn(|cx| {
            if !may_act() {
                return Poll::Ready(None);
            }
            polled = true;
            sent.as_mut().poll(cx).map(Some)
        })
        .await;
        match reply {
            Some(Ok(Ok((status, body)))) => upkeep_reply(status, &body),
            Some(Err(_) | Ok(Err(NoReply))) => MachineReply::NoReply,
            None if polled => MachineReply::NoReply,
            None => MachineReply::NotSent,
        }
    }

    /// Sends a request on a connection of its own and reads the reply.
    async fn exchange(&self, request: Request<Body>) -> Result<(StatusCode, Vec<u8>), NoReply> {
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|_| NoReply)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|_| NoReply)?;
        let reply = async {
            let response = sender.send_request(request).await.map_err(|_| NoReply)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
            let body = body.collect().await.map_err(|_| NoReply)?;
            Ok((status, body.to_bytes().to_vec()))
        };
        let (mut reply, mut connection) = (pin!(reply), pin!(connection));
        let mut closed = false;
        loop {
            tokio::select! {
                biased;
                result = &mut reply => return result,
                _ = &mut connection, if !closed => closed = true,
            }
        }
    }
}
