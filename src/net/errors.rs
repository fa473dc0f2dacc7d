//! Errors of connections; the numbers are in docs/ERRORS.md.

use snafu::Snafu;

/// Why a connection or call failed.
#[derive(Debug, Snafu)]
pub enum NetError {
    #[snafu(display("E2001 certificate or key refused: {message}"))]
    Certificate { message: String },
    #[snafu(display("E2002 cannot listen on {address}: {source}"))]
    Listen {
        address: std::net::SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("E2003 no answer from {address}: {message}"))]
    NoAnswer { address: String, message: String },
    #[snafu(display("E2004 answer of {address} not understood: {message}"))]
    BadAnswer { address: String, message: String },
    #[snafu(display("E2005 connection to another node failed: {message}"))]
    Peer { message: String },
}

impl NetError {
    /// Wraps a certificate error.
    pub fn certificate(e: &impl std::fmt::Display) -> Self {
        Self::Certificate {
            message: e.to_string(),
        }
    }

    /// Wraps an error of a connection to another node.
    pub fn peer(e: &impl std::fmt::Display) -> Self {
        Self::Peer {
            message: e.to_string(),
        }
    }
}
