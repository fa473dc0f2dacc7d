//! HTTP client on hyper-util. The request forwarder and the platform's wire client send requests
//! with it; [`PlatformClient`](crate::net::PlatformClient) and the command line make JSON calls. It
//! must not send a request twice by itself.

use {
    crate::net::NetError,
    axum::body::Body,
    http_body_util::{BodyExt, Limited},
    hyper::{Method, Request, Response, header},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::time::Duration,
};

/// Time that an idle connection is kept for reuse.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time until an attempt to connect fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum body of a JSON reply, in bytes, since it is read into memory.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Whether connections are reused for further requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pooling {
    /// Idle connections are reused.
    Reuse,
    /// Every request opens its own connection, since an idle one may be dead unnoticed.
    PerRequest,
}

/// Client for HTTP/1.1 over TCP; never sends a request twice by itself. Clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Body>,
}

impl HttpClient {
    /// Creates a client; nothing is connected yet.
    pub fn new(pooling: Pooling) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        builder.pool_idle_timeout(POOL_IDLE_TIMEOUT);
        if pooling == Pooling::PerRequest {
            builder.pool_max_idle_per_host(0);
        }
        Self {
            client: builder.build(connector),
        }
    }

    /// Sends a request and returns its response, whose body is still streaming. There is no timeout
    /// beyond that of the connection attempt.
    ///
    /// The error tells whether a connection had been established, so that the request may have run.
    pub async fn send(&self, req: Request<Body>) -> Result<Response<Body>, SendError> {
        match self.client.request(req).await {
            Ok(resp) => Ok(resp.map(Body::new)),
            Err(e) => Err(SendError {
                maybe_sent: !e.is_connect(),
                message: e.to_string(),
            }),
        }
    }

    /// Sends a JSON request with `token` as bearer token and reads a JSON reply.
    ///
    /// Fails with [`NetError::NoAnswer`] if no whole reply arrives within `timeout`, and with
    /// [`NetError::InvalidReply`] if its status is not a success or its body cannot be decoded.
    pub async fn json<Q, R>(
        &self,
        method: Method,
        url: &str,
        token: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<R, NetError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        let no_reply = |message: String| NetError::NoAnswer {
            address: url.to_owned(),
            message,
        };
        let encoded = body
            .map(serde_json::to_vec)
            .transpose()
            .map_err(|e| no_reply(e.to_string()))?;
        let req = Request::builder()
            .method(method)
            .uri(url)
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {token}"))
            .body(encoded.map_or_else(Body::empty, Body::from))
            .map_err(|e| no_reply(e.to_string()))?;
        let call = async {
            let resp = self.send(req).await.map_err(|e| no_reply(e.message))?;
            let status = resp.status();
            let body = Limited::new(resp.into_body(), MAX_REPLY_BYTES);
            let bytes = body.collect().await.map_err(|e| no_reply(e.to_string()))?;
            let bytes = bytes.to_bytes();
            if !status.is_success() {
                return Err(NetError::InvalidReply {
                    address: url.to_owned(),
                    message: String::from_utf8_lossy(&bytes).into_owned(),
                });
            }
            serde_json::from_slice(&bytes).map_err(|e| NetError::InvalidReply {
                address: url.to_owned(),
                message: e.to_string(),
            })
        };
        tokio::time::timeout(timeout, call)
            .await
            .unwrap_or_else(|_| Err(no_reply("timed out".to_owned())))
    }
}

/// A request that got no response.
#[derive(Clone, Debug)]
pub struct SendError {
    /// Whether bytes of the request may have been sent, so that it may have run.
    pub maybe_sent: bool,
    /// Error text of the HTTP client.
    pub message: String,
}
