//! Connections to other nodes, the store, the VM list and workers.

mod errors;
mod http;
mod peer_mesh;
mod platform;
mod tls;

pub use {
    errors::NetError,
    http::{HttpClient, Pooling, SendError},
    peer_mesh::{PeerMesh, Received},
    platform::Platform,
    tls::{TlsFiles, make_trial_certificates},
};
