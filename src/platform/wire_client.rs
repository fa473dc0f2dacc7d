//! Calls over HTTP to the platform's services.

use {
    crate::net::{HttpClient, Pooling},
    axum::body::Body,
    http_body_util::{BodyExt, Limited},
    hyper::{Method, Request, StatusCode, header},
    std::time::Duration,
};

/// Largest answer read into memory, in bytes: a page of the store is about 1 MB before its
/// base64 text.
const LARGEST_ANSWER: usize = 4 << 20;

/// No answer came, or not a whole one.
#[derive(Clone, Copy, Debug)]
pub struct NoReply;

/// Client that tells answers from silence.
#[derive(Clone, Debug)]
pub struct WireClient {
    pooled: HttpClient,
    fresh: HttpClient,
}

/// One call.
#[derive(Debug)]
pub struct WireRequest<'a> {
    pub method: Method,
    pub url: String,
    pub body: Vec<u8>,
    /// Life of the executor that is meant.
    pub incarnation: Option<&'a str>,
    pub timeout: Duration,
    /// Whether to open a new connection, as an idle one may be dead unnoticed.
    pub new_connection: bool,
}

impl WireClient {
    /// Creates a client; nothing is sent yet.
    pub fn new() -> Self {
        Self {
            pooled: HttpClient::new(Pooling::Reuse),
            fresh: HttpClient::new(Pooling::PerRequest),
        }
    }

    /// Makes a call; returns the answer's status and body.
    pub async fn send(&self, request: WireRequest<'_>) -> Result<(StatusCode, Vec<u8>), NoReply> {
        let mut req = Request::builder().method(request.method).uri(&request.url);
        if !request.body.is_empty() {
            req = req.header(header::CONTENT_TYPE, "application/json");
        }
        if let Some(incarnation) = request.incarnation {
            req = req.header("expect-instance", incarnation);
        }
        let req = req.body(Body::from(request.body)).map_err(|_| NoReply)?;
        let client = if request.new_connection {
            &self.fresh
        } else {
            &self.pooled
        };
        let answer = async {
            let resp = client.send(req).await.map_err(|_| NoReply)?;
            let status = resp.status();
            let body = Limited::new(resp.into_body(), LARGEST_ANSWER);
            let body = body.collect().await.map_err(|_| NoReply)?;
            Ok((status, body.to_bytes().to_vec()))
        };
        tokio::time::timeout(request.timeout, answer)
            .await
            .unwrap_or(Err(NoReply))
    }
}

impl Default for WireClient {
    fn default() -> Self {
        Self::new()
    }
}
