//! The settings that operators write to the store: paths, records, checks and versions.

mod checks;
mod parsed_record;
mod paths;
mod records;
mod removal_history;
mod state;
mod subtree_read;
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
pub use state::{ApplyOutcome, Rejection, SettingsEntry, SettingsState};
pub use subtree_read::SubtreeRead;
pub use view::{DomainSet, ServiceView, SettingsView};
