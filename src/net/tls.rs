//! Mutual TLS between nodes.

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

/// Name in every node's certificate.
pub const TLS_SERVER_NAME: &str = "node.dragonflyferry";

/// A silent connection between nodes is given up after this time.
const IDLE_TIMEOUT_MS: u32 = 3_000;

/// Period of keep-alive packets.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// PEM texts from the settings.
#[derive(Clone, Debug)]
pub struct TlsCredentials {
    pub authority: Arc<str>,
    pub certificate: Arc<str>,
    pub key: Arc<str>,
}

impl TlsCredentials {
    /// Makes the QUIC configurations of a node as server and as client.
    pub fn quic_configs(&self) -> Result<(quinn::ServerConfig, quinn::ClientConfig), NetError> {
        let mut roots = RootCertStore::empty();
        for cert in certificates(&self.authority)? {
            roots.add(cert).map_err(|e| NetError::certificate(&e))?;
        }
        let roots = Arc::new(roots);
        let server = self.server(&roots)?;
        let client = self.client(&roots)?;
        Ok((server, client))
    }

    fn server(&self, roots: &Arc<RootCertStore>) -> Result<quinn::ServerConfig, NetError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(|e| NetError::certificate(&e))?;
        let tls = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| NetError::certificate(&e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(certificates(&self.certificate)?, key(&self.key)?)
            .map_err(|e| NetError::certificate(&e))?;
        let quic = QuicServerConfig::try_from(tls).map_err(|e| NetError::certificate(&e))?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(transport());
        Ok(config)
    }

    fn client(&self, roots: &Arc<RootCertStore>) -> Result<quinn::ClientConfig, NetError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| NetError::certificate(&e))?
            .with_root_certificates(roots.clone())
            .with_client_auth_cert(certificates(&self.certificate)?, key(&self.key)?)
            .map_err(|e| NetError::certificate(&e))?;
        let quic = QuicClientConfig::try_from(tls).map_err(|e| NetError::certificate(&e))?;
        let mut config = quinn::ClientConfig::new(Arc::new(quic));
        config.transport_config(transport());
        Ok(config)
    }
}

fn transport() -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    Arc::new(transport)
}

fn certificates(pem: &str) -> Result<Vec<CertificateDer<'static>>, NetError> {
    CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<_, _>>()
        .map_err(|e| NetError::certificate(&e))
}

fn key(pem: &str) -> Result<PrivateKeyDer<'static>, NetError> {
    PrivateKeyDer::from_pem_slice(pem.as_bytes()).map_err(|e| NetError::certificate(&e))
}

/// Makes an authority and a certificate for each of `count` nodes, for tests and trials.
pub fn generate_test_certificates(count: usize) -> Result<Vec<TlsCredentials>, NetError> {
    let fault = |e: rcgen::Error| NetError::certificate(&e);
    let mut params = CertificateParams::new(Vec::new()).map_err(fault)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_key = KeyPair::generate().map_err(fault)?;
    let authority = CertifiedIssuer::self_signed(params, authority_key).map_err(fault)?;
    (0..count)
        .map(|_| {
            let params = CertificateParams::new(vec![TLS_SERVER_NAME.to_owned()]).map_err(fault)?;
            let key = KeyPair::generate().map_err(fault)?;
            let certificate = params.signed_by(&key, &authority).map_err(fault)?;
            Ok(TlsCredentials {
                authority: Arc::from(authority.pem()),
                certificate: Arc::from(certificate.pem()),
                key: Arc::from(key.serialize_pem()),
            })
        })
        .collect()
}
