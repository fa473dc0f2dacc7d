//! Connections to other nodes, the store, the VM list and workers.

mod errors;
mod http;
mod peer_mesh;
mod platform_client;
mod tls;

pub use {
    errors::NetError,
    http::{HttpClient, Pooling, SendError},
    peer_mesh::{InboundMessage, PeerMesh},
    platform_client::PlatformClient,
    tls::{TlsCredentials, generate_test_certificates},
};
