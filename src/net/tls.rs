//! Mutual TLS 1.3 between nodes, for the QUIC connections of the peer mesh. All nodes of a cluster
//! have certificates of the same authorities and with the same name: TLS proves that a peer belongs
//! to the cluster, not which node it is.

use {
    crate::net::NetError,
    quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig},
    rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair},
    rustls::{
        ClientConfig, RootCertStore, ServerConfig,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
        server::WebPkiClientVerifier,
    },
    std::{sync::Arc, time::Duration},
};

/// Name in every node's certificate, against which connections to peers are verified.
pub const TLS_SERVER_NAME: &str = "node.dragonflyferry";

/// Time until a connection between nodes without any packets is closed, in ms.
const IDLE_TIMEOUT_MS: u32 = 3_000;

/// Interval of keep-alive packets, a third of [`IDLE_TIMEOUT_MS`].
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// PEM texts of a node's certificate chain and key, from the settings.
#[derive(Clone, Debug)]
pub struct TlsCredentials {
    /// Certificates of the authorities that peers are verified against.
    pub authority: Arc<str>,
    /// This node's certificate, followed by any intermediate ones.
    pub certificate: Arc<str>,
    /// Private key of the certificate.
    pub key: Arc<str>,
}

impl TlsCredentials {
    /// Builds the QUIC configurations of a node as server and as client.
    ///
    /// Fails with [`NetError::Certificate`] if a PEM text cannot be read or the key does not match.
    pub fn quic_configs(&self) -> Result<(quinn::ServerConfig, quinn::ClientConfig), NetError> {
        let mut roots = RootCertStore::empty();
        for cert in parse_certificates(&self.authority)? {
            roots.add(cert).map_err(|e| NetError::certificate(&e))?;
        }
        let roots = Arc::new(roots);
        let server = self.server_config(&roots)?;
        let client = self.client_config(&roots)?;
        Ok((server, client))
    }

    fn server_config(&self, roots: &Arc<RootCertStore>) -> Result<quinn::ServerConfig, NetError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(|e| NetError::certificate(&e))?;
        let tls = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| NetError::certificate(&e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(
                parse_certificates(&self.certificate)?,
                parse_private_key(&self.key)?,
            )
            .map_err(|e| NetError::certificate(&e))?;
        let quic = QuicServerConfig::try_from(tls).map_err(|e| NetError::certificate(&e))?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(transport_config());
        Ok(config)
    }

    fn client_config(&self, roots: &Arc<RootCertStore>) -> Result<quinn::ClientConfig, NetError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| NetError::certificate(&e))?
            .with_root_certificates(roots.clone())
            .with_client_auth_cert(
                parse_certificates(&self.certificate)?,
                parse_private_key(&self.key)?,
            )
            .map_err(|e| NetError::certificate(&e))?;
        let quic = QuicClientConfig::try_from(tls).map_err(|e| NetError::certificate(&e))?;
        let mut config = quinn::ClientConfig::new(Arc::new(quic));
        config.transport_config(transport_config());
        Ok(config)
    }
}

fn transport_config() -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    Arc::new(transport)
}

fn parse_certificates(pem: &str) -> Result<Vec<CertificateDer<'static>>, NetError> {
    CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<_, _>>()
        .map_err(|e| NetError::certificate(&e))
}

fn parse_private_key(pem: &str) -> Result<PrivateKeyDer<'static>, NetError> {
    PrivateKeyDer::from_pem_slice(pem.as_bytes()).map_err(|e| NetError::certificate(&e))
}

/// Generates an authority and, for each of `count` nodes, a certificate signed by it, for tests and
/// trials. The authority's key is discarded.
pub fn generate_test_certificates(count: usize) -> Result<Vec<TlsCredentials>, NetError> {
    let certificate_error = |e: rcgen::Error| NetError::certificate(&e);
    let mut params = CertificateParams::new(Vec::new()).map_err(certificate_error)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_key = KeyPair::generate().map_err(certificate_error)?;
    let authority =
        CertifiedIssuer::self_signed(params, authority_key).map_err(certificate_error)?;
    (0..count)
        .map(|_| {
            let params = CertificateParams::new(vec![TLS_SERVER_NAME.to_owned()])
                .map_err(certificate_error)?;
            let key = KeyPair::generate().map_err(certificate_error)?;
            let certificate = params
                .signed_by(&key, &authority)
                .map_err(certificate_error)?;
            Ok(TlsCredentials {
                authority: Arc::from(authority.pem()),
                certificate: Arc::from(certificate.pem()),
                key: Arc::from(key.serialize_pem()),
            })
        })
        .collect()
}
