//! Network clients and the peer mesh: QUIC with mutual TLS between nodes, HTTP to the store, the
//! VM list and workers. The core task, the request forwarder, the clients in `platform` and the
//! command line use them. They carry messages and report failures; retries are left to the callers.

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
