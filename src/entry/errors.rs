//! Errors of a node on the platform, returned by the daemon and the record codec. Their numbers
//! must be listed in docs/ERRORS.md.

use {crate::platform::PlatformError, snafu::Snafu, std::net::SocketAddr};

/// Why a node could not start or a record could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum EntryError {
    #[snafu(display("E5010 cannot listen on {address}: {source}"))]
    Bind {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("E5011 record of the store not understood: {message}"))]
    RecordCodec { message: String },
    #[snafu(display("E5012 {SETTINGS} is not set; it must name the settings file"))]
    NoSettings,
    #[snafu(display("E5013 cannot listen for signals: {source}"))]
    Signals { source: std::io::Error },
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
}

const SETTINGS: &str = crate::platform::SETTINGS_VARIABLE;
