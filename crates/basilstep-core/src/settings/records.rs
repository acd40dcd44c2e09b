use crate::{
    address::{DomainId, ServiceId},
    admission::AdmissionSettings,
    requests::RequestSettings,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The origin of a record, by which a writer recognises its own write after the answer was lost.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WriteStamp {
    /// The operator or team that wrote the record.
    pub author: String,
    /// A random identifier of this write.
    pub write_id: String,
}

/// A service, stored at `teams/<team>/services/<name>`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRecord {
    /// The address that callers connect to.
    pub address: SocketAddrV4,
    /// The id of the service in flow tokens.
    pub id: ServiceId,
    /// The admission limits of each target.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// The deadlines, retries and recorded answers of requests.
    #[serde(default)]
    pub requests: RequestSettings,
    /// The origin of the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}

/// The certificate of a service, stored at `teams/<team>/certificates/<name>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CertificateRecord {
    /// The certificate chain as PEM text.
    pub chain_pem: String,
    /// The private key as PEM text, sealed with the cluster key for the purpose `certificate`.
    pub sealed_key: String,
    /// The origin of the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}

/// A failure domain, stored at `domains/<name>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainRecord {
    /// The id of the domain in flow tokens.
    pub id: DomainId,
    /// Whether operators have taken the domain out.
    pub state: DomainState,
    /// The origin of the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}

/// Whether a failure domain is in service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainState {
    /// Accepts traffic.
    In,
    /// Accepts no packets.
    Out,
}

/// The flow keys, stored at `keys/flow`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowKeysRecord {
    /// The key that signs new flow tokens.
    pub current: SealedFlowKey,
    /// The key before the last rotation, which is still accepted.
    #[serde(default)]
    pub previous: Option<SealedFlowKey>,
    /// When the current key was written, in seconds since the Unix epoch (1970).
    #[serde(default)]
    pub rotated_at_s: u64,
    /// The origin of the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}

/// A flow key as stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SealedFlowKey {
    /// The id of the key, which is the first byte of a token.
    pub id: u8,
    /// The 16 secret bytes, sealed with the cluster key for the purpose `flow`.
    pub sealed: String,
}

/// Records which service owns an address, stored at `claims/addresses/<ip>:<port>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AddressClaim {
    /// The path of the service that owns the address.
    pub owner: String,
    /// The origin of the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}

/// Records which service owns a service id, stored at `claims/ids/<number>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IdClaim {
    /// The path of the service that owns the id.
    pub owner: String,
    /// The origin of the record.
    #[serde(default)]
    pub stamp: WriteStamp,
}
