//! Why a server refused a request or closed a connection, and how often. Metrics and logs show it;
//! docs/OPERATIONS.md explains each reason to operators.

use std::fmt;

/// Why a request was refused or a connection closed before its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rejection {
    /// No byte of a body arrived in time.
    BodyTimeout,
    /// The connection gave way to a new one.
    ConnectionLimit,
    /// The head is larger than allowed, or has too many lines.
    HeadSize,
    /// No complete head arrived in time, or no further request.
    HeadTimeout,
    /// A new connection found no room: all others are in work.
    NoConnection,
    /// No memory for the body or for the work on it.
    NoMemory,
    /// Too many complete requests wait for their responses.
    RequestLimit,
    /// The node stops and the request was incomplete.
    Stopping,
}

impl Rejection {
    /// All reasons, in the order of the variants.
    pub const ALL: [Self; 8] = [
        Self::BodyTimeout,
        Self::ConnectionLimit,
        Self::HeadSize,
        Self::HeadTimeout,
        Self::NoConnection,
        Self::NoMemory,
        Self::RequestLimit,
        Self::Stopping,
    ];

    /// Returns the name in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::BodyTimeout => "body_timeout",
            Self::ConnectionLimit => "connection_limit",
            Self::HeadSize => "head_size",
            Self::HeadTimeout => "head_timeout",
            Self::NoConnection => "no_connection",
            Self::NoMemory => "no_memory",
            Self::RequestLimit => "request_limit",
            Self::Stopping => "stopping",
        }
    }
}

/// Number of rejections by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RejectionCounts([u64; Rejection::ALL.len()]);

impl RejectionCounts {
    /// Returns the number for one reason.
    pub fn get(&self, reason: Rejection) -> u64 {
        self.0[reason as usize]
    }

    /// Returns what was added since `earlier`, an earlier copy of the same counts.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] - earlier.0[i]))
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|n| *n == 0)
    }

    pub(super) fn add(&mut self, reason: Rejection) {
        self.0[reason as usize] += 1;
    }
}

/// The reasons that occurred, as `NAME=COUNT` with spaces between them.
impl fmt::Display for RejectionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counted = Rejection::ALL.into_iter().filter(|r| self.get(*r) > 0);
        for (i, reason) in counted.enumerate() {
            let space = if i == 0 { "" } else { " " };
            write!(f, "{space}{}={}", reason.name(), self.get(reason))?;
        }
        Ok(())
    }
}
