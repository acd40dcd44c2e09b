//! The operators' settings: paths, records, checks and versions.

mod records;
mod state;
mod view;

pub use records::{
    AddressClaim, CertificateRecord, DomainRecord, DomainState, FlowKeysRecord, IdClaim,
    SealedFlowKey, ServiceRecord, WriteStamp,
};
pub use state::{Applied, Entry, Rejection, SettingsState};
pub use view::{DomainSet, ServiceView, SettingsView};
