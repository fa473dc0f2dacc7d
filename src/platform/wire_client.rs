//! HTTP client for the platform's services: store, executors and advice.
//!
//! Used by the clients of this folder. Sends each request once and does not interpret replies.

use {
    crate::net::{HttpClient, Pooling},
    axum::body::Body,
    bytes::Buf,
    http_body_util::{BodyExt, Limited},
    hyper::{Method, Request, StatusCode, header},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Maximum size of a reply body read into memory, in bytes: a page of the store has about 1 MB
/// before its base64 encoding.
const MAX_REPLY_BYTES: usize = 4 << 20;

/// Maximum time that a large body may take beyond the timeout of its request.
const MAX_TRANSFER: Duration = Duration::from_secs(10);

/// No complete reply came within the timeout; the request may have been carried out.
#[derive(Clone, Copy, Debug)]
pub struct NoReply;

/// HTTP client that tells replies of any status from missing ones. Clones share their connections.
#[derive(Clone, Debug)]
pub struct WireClient {
    /// Reuses idle connections.
    pooled: Arc<Mutex<Pool>>,
    /// Opens a connection for each request.
    unpooled: HttpClient,
    /// Whether all requests go to one server, so that a missing reply casts doubt on every connection.
    single_server: bool,
}

/// Connections that may be reused.
#[derive(Clone, Debug)]
struct Pool {
    client: HttpClient,
    /// Rises each time the connections are given up.
    generation: u64,
}

/// One request.
#[derive(Debug)]
pub struct WireRequest<'a> {
    pub method: Method,
    pub url: String,
    /// JSON; empty: no body.
    pub body: Vec<u8>,
    /// Id of the executor that must handle the request; another incarnation refuses it.
    pub incarnation: Option<&'a str>,
    /// From the connection to the end of the reply body, or only to its beginning if the body may
    /// take longer.
    pub timeout: Duration,
    /// Time in which each part of a large body must follow the one before, if the body may take
    /// longer than the timeout.
    pub body_pause: Option<Duration>,
    /// Whether to open a new connection, as an idle pooled one may be dead unnoticed.
    pub new_connection: bool,
}

impl WireClient {
    /// Creates a client for many servers; nothing is sent yet.
    pub fn new() -> Self {
        Self {
            pooled: Arc::new(Mutex::new(Pool {
                client: HttpClient::new(Pooling::Reuse),
                generation: 0,
            })),
            unpooled: HttpClient::new(Pooling::PerRequest),
            single_server: false,
        }
    }

    /// Creates a client for one server. After a request without a reply it reuses no connection that
    /// was opened before: all may have gone silent together, and each would cost a timeout.
    pub fn for_single_server() -> Self {
        Self {
            single_server: true,
            ..Self::new()
        }
    }

    fn pool(&self) -> Pool {
        self.pooled
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Gives up the connections of a generation, unless that was done already.
    fn replace_pool(&self, generation: u64) {
        let mut pool = self.pooled.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.generation == generation {
            *pool = Pool {
                client: HttpClient::new(Pooling::Reuse),
                generation: generation + 1,
            };
        }
    }

    /// Sends a request and returns the status and body of the reply, whatever the status.
    pub async fn send(&self, request: WireRequest<'_>) -> Result<(StatusCode, Vec<u8>), NoReply> {
        let mut req = Request::builder().method(request.method).uri(&request.url);
        if !request.body.is_empty() {
            req = req.header(header::CONTENT_TYPE, "application/json");
        }
        if let Some(incarnation) = request.incarnation {
            req = req.header("expect-instance", incarnation);
        }
        let req = req.body(Body::from(request.body)).map_err(|_| NoReply)?;
        let pool = self.pool();
        let client = if request.new_connection {
            &self.unpooled
        } else {
            &pool.client
        };
        let (timeout, body_pause) = (request.timeout, request.body_pause);
        let reply = async {
            let head = client.send(req);
            let resp = within(Some(timeout), head).await?.map_err(|_| NoReply)?;
            let status = resp.status();
            let body = Limited::new(resp.into_body(), MAX_REPLY_BYTES);
            Ok((status, read_body(body, body_pause).await?))
        };
        let limit = if body_pause.is_some() {
            timeout + MAX_TRANSFER
        } else {
            timeout
        };
        let reply = within(Some(limit), Box::pin(reply)).await.flatten();
        if reply.is_err() && self.single_server {
            self.replace_pool(pool.generation);
        }
        reply
    }
}

/// Reads a body whose parts arrive within `max_pause` of each other.
async fn read_body<B>(mut body: B, max_pause: Option<Duration>) -> Result<Vec<u8>, NoReply>
where
    B: hyper::body::Body + Unpin,
    B::Data: Buf,
{
    let mut bytes = Vec::new();
    while let Some(frame) = within(max_pause, body.frame()).await? {
        if let Ok(mut data) = frame.map_err(|_| NoReply)?.into_data() {
            let len = data.remaining();
            bytes.extend_from_slice(&data.copy_to_bytes(len));
        }
    }
    Ok(bytes)
}

/// Waits for a future, for at most `limit` if there is one.
async fn within<F: Future>(limit: Option<Duration>, future: F) -> Result<F::Output, NoReply> {
    match limit {
        Some(limit) => tokio::time::timeout(limit, future)
            .await
            .map_err(|_| NoReply),
        None => Ok(future.await),
    }
}

impl Default for WireClient {
    fn default() -> Self {
        Self::new()
    }
}
