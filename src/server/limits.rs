//! How much a listener may hold, from the memory and descriptors of the machine. The daemons compute
//! it at their start; [`Connections`](super::Connections) applies it.

/// Memory of the machine if the settings state none, in MB.
const DEFAULT_MEMORY_MB: u64 = 256;

/// Descriptors of the process if the settings state none.
const DEFAULT_DESCRIPTORS: u64 = 4_096;

/// Descriptors that are not available to sockets.
const FILE_DESCRIPTORS: u64 = 200;

/// Most that a connection holds outside of bodies, in bytes: the receive buffer of its socket, a head
/// that is being read, and the state of the connection.
pub(super) const CONNECTION_BYTES: u64 = 64 << 10;

/// Connections of a listener for operators or the load balancer.
const OPERATOR_CONNECTIONS: usize = 32;

/// Bodies of a listener for operators, in bytes: documents have up to 2 MB.
const OPERATOR_HELD_BYTES: usize = 4 << 20;

/// Limits of one listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Open connections.
    pub connections: usize,
    /// Bytes of bodies that were read and of the work on them, for all connections together. One
    /// request alone may exceed it.
    pub held_bytes: usize,
    /// Complete requests that wait for their response.
    pub requests: usize,
}

impl ServerLimits {
    /// Returns the limits of a listener for callers. At most an eighth of the memory is for
    /// connections and an eighth for bodies, a fifth of the sockets for connections and a tenth for
    /// requests in work, which may hold a connection to the store each. The rest is for the store,
    /// executors and other nodes.
    pub fn for_callers(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1_000_000;
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = (sockets / 5).min(memory / 8 / CONNECTION_BYTES);
        Self {
            connections: to_usize(connections),
            held_bytes: to_usize(memory / 8),
            requests: to_usize(sockets / 10),
        }
    }

    /// Returns the limits of a listener for operators or the load balancer.
    pub const fn for_operators() -> Self {
        Self {
            connections: OPERATOR_CONNECTIONS,
            held_bytes: OPERATOR_HELD_BYTES,
            requests: OPERATOR_CONNECTIONS,
        }
    }
}

/// Converts a limit, which is at least 1.
fn to_usize(limit: u64) -> usize {
    usize::try_from(limit).unwrap_or(usize::MAX).max(1)
}
