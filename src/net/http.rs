//! A small HTTP client on hyper-util.

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

/// How long an idle connection is kept for reuse.
const IDLE_KEPT: Duration = Duration::from_secs(2);

/// Time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer read into memory, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Whether connections are used again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pooling {
    /// Idle connections are reused.
    Reuse,
    /// Every request has a connection of its own, as an idle one may be dead unnoticed.
    PerRequest,
}

/// Client for HTTP/1.1 over TCP; never sends a request twice by itself.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Body>,
}

impl HttpClient {
    /// Creates a client.
    pub fn new(pooling: Pooling) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        builder.pool_idle_timeout(IDLE_KEPT);
        if pooling == Pooling::PerRequest {
            builder.pool_max_idle_per_host(0);
        }
        Self {
            client: builder.build(connector),
        }
    }

    /// Sends a request; the error tells whether a connection had been established.
    pub async fn send(&self, req: Request<Body>) -> Result<Response<Body>, SendError> {
        match self.client.request(req).await {
            Ok(resp) => Ok(resp.map(Body::new)),
            Err(e) => Err(SendError {
                maybe_sent: !e.is_connect(),
                message: e.to_string(),
            }),
        }
    }

    /// Sends a JSON request and reads a JSON answer.
    pub async fn json<Q, A>(
        &self,
        method: Method,
        url: &str,
        token: &str,
        body: Option<&Q>,
        timeout: Duration,
    ) -> Result<A, NetError>
    where
        Q: Serialize + Sync,
        A: DeserializeOwned,
    {
        let no_answer = |message: String| NetError::NoAnswer {
            address: url.to_owned(),
            message,
        };
        let text = body
            .map(serde_json::to_vec)
            .transpose()
            .map_err(|e| no_answer(e.to_string()))?;
        let req = Request::builder()
            .method(method)
            .uri(url)
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {token}"))
            .body(text.map_or_else(Body::empty, Body::from))
            .map_err(|e| no_answer(e.to_string()))?;
        let call = async {
            let resp = self.send(req).await.map_err(|e| no_answer(e.message))?;
            let status = resp.status();
            let body = Limited::new(resp.into_body(), MAX_ANSWER);
            let bytes = body.collect().await.map_err(|e| no_answer(e.to_string()))?;
            let bytes = bytes.to_bytes();
            if !status.is_success() {
                return Err(NetError::BadAnswer {
                    address: url.to_owned(),
                    message: String::from_utf8_lossy(&bytes).into_owned(),
                });
            }
            serde_json::from_slice(&bytes).map_err(|e| NetError::BadAnswer {
                address: url.to_owned(),
                message: e.to_string(),
            })
        };
        tokio::time::timeout(timeout, call)
            .await
            .unwrap_or_else(|_| Err(no_answer("timed out".to_owned())))
    }
}

/// A request that got no answer.
#[derive(Clone, Debug)]
pub struct SendError {
    /// Whether bytes of the request may have been sent.
    pub maybe_sent: bool,
    pub message: String,
}
