//! Body of a response that notes on its connection when it was sent. Made by the server.

use {
    crate::server::RequestHandle,
    axum::body::Body,
    bytes::Bytes,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// The body of a response; the request is in work until it is dropped.
#[derive(Debug)]
pub(super) struct TrackedResponse {
    inner: Body,
    handle: RequestHandle,
}

impl TrackedResponse {
    pub(super) fn new(inner: Body, handle: RequestHandle) -> Self {
        Self { inner, handle }
    }
}

impl HttpBody for TrackedResponse {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for TrackedResponse {
    fn drop(&mut self) {
        self.handle.finish();
    }
}
