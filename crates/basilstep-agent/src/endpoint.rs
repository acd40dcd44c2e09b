//! Configures and opens the QUIC endpoint of the agent.

use crate::{carrier::CarrierSocket, connection_ids::TokenGenerator, shared_state::SharedState};
use quinn::{
    Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TokioRuntime, TransportConfig,
    crypto::rustls::QuicServerConfig,
};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use std::{io, sync::Arc, time::Duration};

const IDLE_TIMEOUT_MS: u32 = 8_000;
const KEEP_ALIVE_MS: u64 = 2_500;

/// The number of requests that a caller may have in progress on one flow.
pub const MAX_STREAMS_PER_FLOW: u32 = 256;

const MTU_UPPER_BOUND_BYTES: u16 = 1_380;

/// An error while opening the QUIC endpoint.
#[derive(Debug, thiserror::Error)]
pub enum EndpointError {
    /// The certificate or its private key is unusable.
    #[error("unusable certificate of the service: {0}")]
    Certificate(String),
    /// The socket or the QUIC library returned an error.
    #[error("cannot open the QUIC endpoint: {0}")]
    Io(#[from] io::Error),
}

/// Opens the endpoint on the carrier socket.
///
/// # Errors
///
/// Returns [`EndpointError`] when the certificate is unusable or the QUIC library cannot open the
/// endpoint.
pub fn open(
    shared: &Arc<SharedState>,
    socket: Arc<CarrierSocket>,
    chain_pem: &str,
    key_pem: &[u8],
) -> Result<Endpoint, EndpointError> {
    let server = server_config(chain_pem, key_pem)?;
    let mut config = EndpointConfig::new(Arc::new(shared.keys.reset.clone()));
    let generator = Arc::clone(shared);
    config.cid_generator(move || Box::new(TokenGenerator::new(Arc::clone(&generator))));
    let runtime = Arc::new(TokioRuntime);
    Ok(Endpoint::new_with_abstract_socket(
        config,
        Some(server),
        socket,
        runtime,
    )?)
}

/// Builds the TLS and transport configuration from a PEM-encoded certificate chain and private key.
///
/// # Errors
///
/// Returns [`EndpointError::Certificate`] when the certificate or its private key is unusable.
pub fn server_config(chain_pem: &str, key_pem: &[u8]) -> Result<ServerConfig, EndpointError> {
    let unusable = |error: &dyn std::fmt::Display| EndpointError::Certificate(error.to_string());
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_slice_iter(chain_pem.as_bytes())
        .collect::<Result<_, _>>()
        .map_err(|error| unusable(&error))?;
    let key = PrivateKeyDer::from_pem_slice(key_pem).map_err(|error| unusable(&error))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(Arc::new(
        rustls::crypto::ring::default_provider(),
    ))
    .with_protocol_versions(&[&rustls::version::TLS13])
    .map_err(|error| unusable(&error))?
    .with_no_client_auth()
    .with_single_cert(chain, key)
    .map_err(|error| unusable(&error))?;
    tls.alpn_protocols = vec![b"h3".to_vec()];
    // An attacker could replay 0-RTT data and so run a request twice.
    tls.max_early_data_size = 0;
    let quic = QuicServerConfig::try_from(tls).map_err(|error| unusable(&error))?;
    let mut server = ServerConfig::with_crypto(Arc::new(quic));
    server.transport_config(Arc::new(transport_config()));
    Ok(server)
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    let mut discovery = quinn::MtuDiscoveryConfig::default();
    discovery.upper_bound(MTU_UPPER_BOUND_BYTES);
    transport
        .max_idle_timeout(Some(IdleTimeout::from(quinn::VarInt::from_u32(
            IDLE_TIMEOUT_MS,
        ))))
        .keep_alive_interval(Some(Duration::from_millis(KEEP_ALIVE_MS)))
        .max_concurrent_bidi_streams(MAX_STREAMS_PER_FLOW.into())
        .mtu_discovery_config(Some(discovery));
    transport
}
