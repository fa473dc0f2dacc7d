//! Errors and exit codes of the client; docs/ERRORS.md lists their numbers.

use {
    crate::{conf::ConfError, net::NetError, platform::PlatformError},
    snafu::Snafu,
};

/// Exit code of the client; the help text lists the values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitKind {
    Done = 0,
    /// A node refused the call, a file could not be written, or there is nothing to show.
    Refused = 1,
    /// Wrong arguments.
    Usage = 2,
    /// No node replied, or none of them is the owner.
    Unreachable = 3,
    /// A document or settings file was refused.
    Document = 4,
    /// Another operator's change came first.
    Conflict = 5,
    /// Done, but some nodes did not reply.
    Partial = 6,
}

/// Why a command failed; `main` prints it on standard error.
#[derive(Debug, Snafu)]
pub enum CliError {
    #[snafu(display("E4101 {message}; see `dragonflyferry --help`"))]
    Usage { message: String },
    #[snafu(display("E4102 no node answered: {message}; check --nodes or DRAGONFLYFERRY_NODES"))]
    Unreachable { message: String },
    #[snafu(display("E4103 refused: {message}"))]
    Refused { message: String },
    #[snafu(display("{source}"))]
    Document { source: ConfError },
    #[snafu(display("{source}"))]
    Settings { source: PlatformError },
    #[snafu(display("E4104 {message}; run `dragonflyferry history`, then try again"))]
    Conflict { message: String },
    #[snafu(display("E4105 cannot write {path}: {source}"))]
    Write {
        path: String,
        source: std::io::Error,
    },
    #[snafu(display("E4106 no data yet: no node has counted a request; send some work first"))]
    NoData,
    #[snafu(display("E4107 no log line of a daemon on the platform was read; name its log files"))]
    NoLines,
    #[snafu(display("E4108 none of the nodes asked is the owner; name all nodes with --nodes"))]
    NoOwner,
}

impl CliError {
    /// Builds the error of wrong arguments.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
        }
    }

    /// Returns the exit code.
    pub fn exit_kind(&self) -> ExitKind {
        match self {
            Self::Usage { .. } => ExitKind::Usage,
            Self::NoOwner | Self::Unreachable { .. } => ExitKind::Unreachable,
            Self::Refused { .. } | Self::Write { .. } | Self::NoData | Self::NoLines => {
                ExitKind::Refused
            }
            Self::Document { .. } | Self::Settings { .. } => ExitKind::Document,
            Self::Conflict { .. } => ExitKind::Conflict,
        }
    }
}

impl From<pico_args::Error> for CliError {
    fn from(e: pico_args::Error) -> Self {
        Self::usage(e.to_string())
    }
}

impl From<ConfError> for CliError {
    fn from(source: ConfError) -> Self {
        Self::Document { source }
    }
}

impl From<PlatformError> for CliError {
    fn from(source: PlatformError) -> Self {
        Self::Settings { source }
    }
}

impl From<NetError> for CliError {
    fn from(e: NetError) -> Self {
        let NetError::InvalidReply { message, .. } = &e else {
            return Self::Unreachable {
                message: e.to_string(),
            };
        };
        match serde_json::from_str::<crate::app::ErrorBody>(message) {
            Ok(body) if body.code == crate::app::ErrorKind::Conflict.number() => Self::Conflict {
                message: body.message,
            },
            Ok(body) => Self::Refused {
                message: format!("E{} {}", body.code, body.message),
            },
            Err(_) => Self::Refused {
                message: message.clone(),
            },
        }
    }
}
