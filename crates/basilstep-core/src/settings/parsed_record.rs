use super::{
    checks::{CheckError, check_service},
    paths::SettingsPath,
    records::{
        AddressClaim, CertificateRecord, DomainRecord, FlowKeysRecord, IdClaim, SealedFlowKey,
        ServiceRecord,
    },
};
use crate::{
    codes::ResultCode,
    crypto::{ClusterKey, KeyError, SipHashKey},
    token::{FlowKey, FlowKeys},
};
use serde::de::DeserializeOwned;

/// A record that passed all checks.
#[derive(Clone, Debug)]
pub(super) enum ParsedRecord {
    Service(ServiceRecord),
    Certificate(CertificateRecord),
    Domain(DomainRecord),
    /// A claim on an address or a service id.
    Claim {
        owner: String,
    },
    FlowKeys(FlowKeys),
    Other,
    Removed,
}

/// The reason why a record cannot be put in force.
#[derive(Debug, thiserror::Error)]
pub(super) enum RecordError {
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    #[error("{0}")]
    NotAllowed(#[from] CheckError),
    #[error("{0}")]
    Sealed(#[from] KeyError),
    #[error("a flow key must be 16 bytes long")]
    KeyLength,
    #[error("the current and the previous flow key have the same id")]
    SameKeyId,
    #[error("the flow keys cannot be removed: every flow would break")]
    KeysRemoved,
}

impl RecordError {
    pub(super) fn code(&self) -> ResultCode {
        match self {
            Self::NotAllowed(_) | Self::KeysRemoved => ResultCode::InvalidSetting,
            _ => ResultCode::MalformedRecord,
        }
    }
}

impl ParsedRecord {
    /// Parses and checks the value at a path; `None` stands for a removed record.
    pub(super) fn read(
        path: &str,
        value: Option<&str>,
        cluster_key: &ClusterKey,
    ) -> Result<Self, RecordError> {
        let path = SettingsPath::parse(path);
        let Some(value) = value else {
            return match path {
                SettingsPath::FlowKeys => Err(RecordError::KeysRemoved),
                _ => Ok(Self::Removed),
            };
        };
        Ok(match path {
            SettingsPath::Service { .. } => {
                let record: ServiceRecord = parse(value)?;
                check_service(&record)?;
                Self::Service(record)
            }
            SettingsPath::Certificate { .. } => Self::Certificate(parse(value)?),
            SettingsPath::Domain(_) => Self::Domain(parse(value)?),
            SettingsPath::AddressClaim(_) => Self::Claim {
                owner: parse::<AddressClaim>(value)?.owner,
            },
            SettingsPath::IdClaim(_) => Self::Claim {
                owner: parse::<IdClaim>(value)?.owner,
            },
            SettingsPath::FlowKeys => Self::FlowKeys(open_keys(&parse(value)?, cluster_key)?),
            SettingsPath::Other => Self::Other,
        })
    }
}

fn parse<T: DeserializeOwned>(value: &str) -> Result<T, RecordError> {
    Ok(serde_json::from_str(value)?)
}

fn open_keys(record: &FlowKeysRecord, cluster_key: &ClusterKey) -> Result<FlowKeys, RecordError> {
    let current = open_key(&record.current, cluster_key)?;
    let previous = match &record.previous {
        Some(key) => Some(open_key(key, cluster_key)?),
        None => None,
    };
    if previous.is_some_and(|previous| previous.id == current.id) {
        return Err(RecordError::SameKeyId);
    }
    Ok(FlowKeys { current, previous })
}

fn open_key(key: &SealedFlowKey, cluster_key: &ClusterKey) -> Result<FlowKey, RecordError> {
    let secret = cluster_key.open("flow", &key.sealed)?;
    let secret = <[u8; 16]>::try_from(secret).or(Err(RecordError::KeyLength))?;
    Ok(FlowKey {
        id: key.id,
        secret: SipHashKey(secret),
    })
}
