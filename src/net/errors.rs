//! Errors of connections and calls; docs/ERRORS.md lists their numbers. All of `net` returns them;
//! the daemon and the command line print them, so numbers and placeholders must stay.

use snafu::Snafu;

/// The reason why a connection or call failed.
#[derive(Debug, Snafu)]
pub enum NetError {
    /// A certificate or key cannot be read or used.
    #[snafu(display("E2001 certificate or key refused: {message}"))]
    Certificate { message: String },
    /// An address cannot be bound.
    #[snafu(display("E2002 cannot listen on {address}: {source}"))]
    Listen {
        address: std::net::SocketAddr,
        source: std::io::Error,
    },
    /// No whole reply arrived in time; the call may have taken effect.
    #[snafu(display("E2003 no answer from {address}: {message}"))]
    NoAnswer { address: String, message: String },
    /// The reply has an error status or cannot be decoded; `message` is its body or the reason.
    #[snafu(display("E2004 answer of {address} not understood: {message}"))]
    InvalidReply { address: String, message: String },
    /// A connection to or from another node failed.
    #[snafu(display("E2005 connection to another node failed: {message}"))]
    Peer { message: String },
}

impl NetError {
    /// Converts an error about a certificate or key to [`Self::Certificate`].
    pub fn certificate(e: &impl std::fmt::Display) -> Self {
        Self::Certificate {
            message: e.to_string(),
        }
    }

    /// Converts an error of a connection to another node to [`Self::Peer`].
    pub fn peer(e: &impl std::fmt::Display) -> Self {
        Self::Peer {
            message: e.to_string(),
        }
    }
}
