//! Bodies of requests: their progress, their refusal, and reading one into memory that was reserved.
//! The server wraps each body in a [`TrackedBody`]; handlers read it with [`read_body`].

use {
    crate::server::{Rejection, RequestHandle},
    axum::body::Body,
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        StatusCode,
        body::{Body as HttpBody, Frame, Incoming, SizeHint},
    },
    snafu::Snafu,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Steps in which the memory of a body grows, in bytes.
const MIN_GROWTH_BYTES: usize = 1 << 10;
const MAX_GROWTH_BYTES: usize = 16 << 10;

/// Seconds after which a refused client may come back.
pub(super) const RETRY_AFTER_S: u64 = 1;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum BodyError {
    /// The client closed the connection or broke the encoding.
    #[snafu(display("the body broke off"))]
    Broken,
    /// The server refused the request while it was incomplete.
    #[snafu(display("refused: {}", reason.name()))]
    Rejected { reason: Rejection },
    /// The body is larger than the handler allows.
    #[snafu(display("the body is too large"))]
    TooLarge,
}

impl BodyError {
    /// Returns the status that says so. With any of them nothing was done.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Broken => StatusCode::BAD_REQUEST,
            Self::Rejected { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    /// Returns after how many seconds the client may come back; `None` if that does not help.
    pub fn retry_after_s(self) -> Option<u64> {
        matches!(self, Self::Rejected { .. }).then_some(RETRY_AFTER_S)
    }
}

/// The body of a request, whose progress its connection records.
#[derive(Debug)]
pub(super) struct TrackedBody {
    inner: Incoming,
    handle: RequestHandle,
}

impl TrackedBody {
    pub(super) fn new(inner: Incoming, handle: RequestHandle) -> Self {
        Self { inner, handle }
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(reason) = self.handle.poll_rejected(cx) {
            return Poll::Ready(Some(Err(BodyError::Rejected { reason })));
        }
        let Poll::Ready(frame) = Pin::new(&mut self.inner).poll_frame(cx) else {
            self.handle.awaits_body();
            return Poll::Pending;
        };
        if let Some(Ok(frame)) = &frame {
            self.handle.received(frame.data_ref().map_or(0, Bytes::len));
        }
        if frame.is_none() || self.inner.is_end_stream() {
            self.handle.body_ended();
        }
        Poll::Ready(frame.map(|f| f.map_err(|_| BodyError::Broken)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A body in memory. Its memory and that of the work on it stay reserved until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Vec<u8>,
    /// `None`: the request did not come through a server, as in tests of the routes.
    handle: Option<RequestHandle>,
}

impl HeldBody {
    /// Returns the bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the body for an attempt to forward it.
    pub fn to_body(&self) -> Body {
        Body::from(self.bytes.clone())
    }

    /// Makes room for `more` bytes in small steps, so that little is reserved for what never comes.
    async fn grow(&mut self, more: usize, size: &SizeHint) -> Result<(), BodyError> {
        let (len, capacity) = (self.bytes.len(), self.bytes.capacity());
        let needed = len + more;
        if needed <= capacity {
            return Ok(());
        }
        let growth = match size.exact() {
            Some(_) => MAX_GROWTH_BYTES,
            None => capacity.clamp(MIN_GROWTH_BYTES, MAX_GROWTH_BYTES),
        };
        let rest = size.exact().and_then(|rest| usize::try_from(rest).ok());
        let most = rest.map_or(usize::MAX, |rest| needed.saturating_add(rest));
        let target = (capacity + growth).min(most).max(needed);
        if let Some(handle) = &self.handle {
            let reserved = handle.reserve(target - capacity).await;
            reserved.map_err(|reason| BodyError::Rejected { reason })?;
        }
        self.bytes.reserve_exact(target - len);
        Ok(())
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        if let Some(handle) = &self.handle {
            handle.release();
        }
    }
}

/// Reads a whole body of at most `max_bytes` and reserves the memory for it and for the work on it.
/// `handle` is the extension of the request.
///
/// The bytes are copied, as a frame keeps the whole buffer that it was read into.
pub async fn read_body(
    handle: Option<RequestHandle>,
    mut body: Body,
    max_bytes: usize,
) -> Result<HeldBody, BodyError> {
    let declared = HttpBody::size_hint(&body).lower();
    if usize::try_from(declared).is_ok_and(|d| d > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut held = HeldBody {
        bytes: Vec::new(),
        handle,
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| *find_error(&e))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if held.bytes.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        held.grow(data.len(), &HttpBody::size_hint(&body)).await?;
        held.bytes.extend_from_slice(&data);
    }
    if let Some(handle) = &held.handle {
        let completed = handle.complete(held.bytes.len()).await;
        completed.map_err(|reason| BodyError::Rejected { reason })?;
    }
    Ok(held)
}

/// Returns the cause that a wrapped body had, or [`BodyError::Broken`].
fn find_error<'a>(error: &'a (dyn std::error::Error + 'static)) -> &'a BodyError {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref() {
            return error;
        }
        cause = error.source();
    }
    &BodyError::Broken
}
