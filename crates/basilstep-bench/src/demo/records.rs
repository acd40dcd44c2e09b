//! Writes the settings of a run directly into the store.

use super::plan::{FleetPlan, ServicePlan};
use basilstep_core::{
    address::{DomainId, ServiceId},
    admission::AdmissionSettings,
    crypto::{ClusterKey, SipHashKey},
    requests::RequestSettings,
    settings::{
        AddressClaim, CertificateRecord, DomainRecord, DomainState, FlowKeysRecord, IdClaim,
        SealedFlowKey, ServiceRecord, WriteStamp,
    },
    token::FlowKey,
};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair, KeyUsagePurpose,
};
use rustls::pki_types::CertificateDer;
use serde::Serialize;
use std::{net::SocketAddrV4, time::Duration};

const SERVER_NAME: &str = "basilstep.test";
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Five times the service time; a slower response indicates overload.
const LATENCY_LIMIT_MS: u32 = 100;

/// A failure to write the settings.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// A certificate could not be created.
    #[error("certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// A record could not be encoded as JSON.
    #[error("record: {0}")]
    Encode(#[from] serde_json::Error),
    /// The store rejected a record or did not respond.
    #[error("store: {0}")]
    Store(#[from] reqwest::Error),
}

/// Writes records into the store.
#[derive(Clone, Debug)]
pub struct RecordWriter {
    client: reqwest::Client,
    store: SocketAddrV4,
    cluster_key: ClusterKey,
    flow_key: FlowKey,
}

/// The certificate authority of a run.
struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl RecordWriter {
    /// Creates a writer for the store of a plan.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Store`] if the HTTP client cannot be created.
    pub fn new(plan: &FleetPlan) -> Result<Self, RecordError> {
        Ok(Self {
            client: reqwest::Client::builder().timeout(WRITE_TIMEOUT).build()?,
            store: plan.store_address(),
            cluster_key: ClusterKey::new(plan.cluster_key),
            flow_key: FlowKey {
                id: 1,
                secret: SipHashKey(rand::random()),
            },
        })
    }

    /// Returns the key that signs the flow tokens.
    pub fn flow_key(&self) -> &FlowKey {
        &self.flow_key
    }

    /// Writes all settings of a plan and returns the root certificate.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] for the first record that cannot be created or written.
    pub async fn write_all(
        &self,
        plan: &FleetPlan,
    ) -> Result<CertificateDer<'static>, RecordError> {
        let authority = CertificateAuthority::new()?;
        self.write_flow_keys().await?;
        for name in &plan.domains {
            self.write_domain(plan, name, DomainState::In).await?;
        }
        for service in &plan.services {
            self.write_certificate(service, &authority).await?;
            self.write_service(service).await?;
        }
        Ok(authority.issuer.der().clone())
    }

    /// Writes the state of a failure domain.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the store does not accept it.
    pub async fn write_domain(
        &self,
        plan: &FleetPlan,
        name: &str,
        state: DomainState,
    ) -> Result<(), RecordError> {
        let position = plan.domains.iter().position(|domain| domain == name);
        let record = DomainRecord {
            id: DomainId(position.unwrap_or_default() as u8 + 1),
            state,
            stamp: stamp(),
        };
        self.put(&format!("domains/{name}"), &record).await
    }

    async fn write_flow_keys(&self) -> Result<(), RecordError> {
        let record = FlowKeysRecord {
            current: SealedFlowKey {
                id: self.flow_key.id,
                sealed: self
                    .cluster_key
                    .seal("flow", rand::random(), &self.flow_key.secret.0),
            },
            previous: None,
            rotated_at_s: 0,
            stamp: stamp(),
        };
        self.put("keys/flow", &record).await
    }

    async fn write_service(&self, service: &ServicePlan) -> Result<(), RecordError> {
        let owner = service.path.clone();
        let claim = AddressClaim {
            owner: owner.clone(),
            stamp: stamp(),
        };
        self.put(&format!("claims/addresses/{}", service.address), &claim)
            .await?;
        let claim = IdClaim {
            owner,
            stamp: stamp(),
        };
        self.put(&format!("claims/ids/{}", service.id), &claim)
            .await?;
        let record = ServiceRecord {
            address: service.address,
            id: ServiceId(service.id),
            admission: AdmissionSettings {
                request_limit: service.slots,
                latency_limit_ms: LATENCY_LIMIT_MS,
                ..AdmissionSettings::default()
            },
            requests: RequestSettings::default(),
            stamp: stamp(),
        };
        self.put(&service.path, &record).await
    }

    async fn write_certificate(
        &self,
        service: &ServicePlan,
        authority: &CertificateAuthority,
    ) -> Result<(), RecordError> {
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![SERVER_NAME.to_owned()])?;
        let certificate = params.signed_by(&key, &authority.issuer)?;
        let key_pem = key.serialize_pem();
        let nonce = rand::random();
        let record = CertificateRecord {
            chain_pem: certificate.pem(),
            sealed_key: self
                .cluster_key
                .seal("certificate", nonce, key_pem.as_bytes()),
            stamp: stamp(),
        };
        let path = service.path.replace("/services/", "/certificates/");
        self.put(&path, &record).await
    }

    async fn put<T: Serialize>(&self, path: &str, record: &T) -> Result<(), RecordError> {
        self.put_raw(path, &serde_json::to_string(record)?).await
    }

    /// Writes text as a record without validation.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Store`] if the store does not accept it.
    pub async fn put_raw(&self, path: &str, text: &str) -> Result<(), RecordError> {
        let url = format!("http://{}/v1/kv/basilstep/{path}", self.store);
        let response = self.client.put(url).body(text.to_owned()).send().await?;
        response.error_for_status()?;
        Ok(())
    }
}

impl CertificateAuthority {
    fn new() -> Result<Self, rcgen::Error> {
        let mut params = CertificateParams::default();
        params
            .distinguished_name
            .push(DnType::CommonName, "basilstep demo");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        Ok(Self { issuer })
    }
}

fn stamp() -> WriteStamp {
    WriteStamp {
        author: "basilstep-bench".to_owned(),
        write_id: format!("{:016x}", rand::random::<u64>()),
    }
}
