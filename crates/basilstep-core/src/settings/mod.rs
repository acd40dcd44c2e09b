//! The operators' settings: paths, records, checks and versions.

mod checks;
mod history;
mod parsed;
mod paths;
mod records;
mod state;
mod subtree;
mod view;

#[cfg(test)]
mod tests;

pub use checks::{CheckError, SERVICE_RANGES, SettingRange, check_name, check_service};
pub use paths::{
    FLOW_KEYS_PATH, SettingsPath, address_claim_path, certificate_path, certificate_path_of,
    domain_path, id_claim_path, service_path,
};
pub use records::{
    AddressClaim, CertificateRecord, DomainRecord, DomainState, FlowKeysRecord, IdClaim,
    SealedFlowKey, ServiceRecord, WriteStamp,
};
pub use state::{Applied, Entry, Rejection, SettingsState};
pub use subtree::Subtree;
pub use view::{DomainSet, ServiceView, SettingsView};
