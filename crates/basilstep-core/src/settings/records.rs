use crate::{
    address::{DomainId, ServiceId},
    admission::AdmissionSettings,
    requests::RequestSettings,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Who wrote a record, so that a writer recognises its own write when the answer was lost.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WriteStamp {
    /// The operator or team that wrote the record.
    pub author: String,
    /// A random number of this one write.
    pub write_id: String,
}

/// A service, at `teams/<team>/services/<name>`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRecord {
    /// The address that callers write to.
    pub address: SocketAddrV4,
    /// The number of the service in flow tokens.
    pub id: ServiceId,
    /// The limits of each target.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// The treatment of requests.
    #[serde(default)]
    pub requests: RequestSettings,
    /// Who wrote the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}

/// The certificate of a service, at `teams/<team>/certificates/<name>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CertificateRecord {
    /// The certificate chain as PEM text.
    pub chain_pem: String,
    /// The private key as PEM text, sealed under the cluster key for the purpose `certificate`.
    pub sealed_key: String,
    /// Who wrote the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}

/// A failure domain, at `domains/<name>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainRecord {
    /// The number of the domain in flow tokens.
    pub id: DomainId,
    /// Whether operators have taken it out.
    pub state: DomainState,
    /// Who wrote the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}

/// Whether a failure domain is in service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainState {
    /// Takes traffic.
    In,
    /// Takes no packet at all.
    Out,
}

/// The flow keys, at `keys/flow`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowKeysRecord {
    /// Signs new flow tokens.
    pub current: SealedFlowKey,
    /// Still accepted after a rotation.
    #[serde(default)]
    pub previous: Option<SealedFlowKey>,
    /// When the current key was written, in seconds since 1970.
    #[serde(default)]
    pub rotated_at_s: u64,
    /// Who wrote the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}

/// A flow key as the store holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SealedFlowKey {
    /// The number in the first byte of a token.
    pub id: u8,
    /// 16 secret bytes, sealed under the cluster key for the purpose `flow`.
    pub sealed: String,
}

/// Which service owns an address, at `claims/addresses/<ip>:<port>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AddressClaim {
    /// The path of the service that owns the address.
    pub owner: String,
    /// Who wrote the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}

/// Which service owns a service number, at `claims/ids/<number>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IdClaim {
    /// The path of the service that owns the number.
    pub owner: String,
    /// Who wrote the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}
