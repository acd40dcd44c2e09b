use super::messages::{MESSAGE_LIMIT_BYTES, MembershipMessage};
use crate::{
    address::ServiceId,
    settings::{
        ApplyOutcome, SettingsEntry, SettingsState, address_claim_path, certificate_path_of,
        id_claim_path,
    },
};
use serde::{Deserialize, Serialize};

/// All settings that changed between two versions.
///
/// Versions of the store rise with each write, so a receiver that has `base_version` or more and
/// applies all entries is at `version`, whatever it missed in between.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsDelta {
    /// The version that a receiver must have at least; 0 when the entries are all there are.
    pub base_version: u64,
    /// The version that it has afterwards.
    pub version: u64,
    /// The records that changed; a removed record has no value.
    pub entries: Vec<SettingsEntry>,
}

impl SettingsDelta {
    /// Collects what changed above a version; for an agent, only what concerns its service.
    pub fn collect(state: &SettingsState, above_version: u64, service: Option<ServiceId>) -> Self {
        let own_paths = service.map(|service| ServicePaths::new(state, service));
        let (base_version, mut entries) = state.changes_since(above_version);
        if let Some(paths) = own_paths {
            entries.retain(|entry| paths.concerns(entry));
        }
        Self {
            base_version,
            version: state.version(),
            entries,
        }
    }

    /// Applies the changes, unless they do not follow on from what `state` knows.
    pub fn apply_to(self, state: &mut SettingsState) -> Vec<(String, ApplyOutcome)> {
        state.apply_changes(self.base_version, self.version, self.entries)
    }

    /// Tells whether a process at `version` may apply it.
    pub fn applies_to(&self, version: u64) -> bool {
        self.base_version <= version && self.version > version
    }

    /// Returns the message that carries it, or that tells to get it over TCP.
    pub fn into_message(self) -> MembershipMessage {
        let version = self.version;
        let message = MembershipMessage::Settings(self);
        if message.encoded_bytes() <= MESSAGE_LIMIT_BYTES {
            message
        } else {
            MembershipMessage::SettingsOverTcp { version }
        }
    }
}

/// The paths that concern the agents of one service.
#[derive(Debug)]
struct ServicePaths(Option<[String; 4]>);

impl ServicePaths {
    fn new(state: &SettingsState, service: ServiceId) -> Self {
        let view = state.view().services.get(&service);
        Self(view.map(|view| {
            [
                view.path.clone(),
                certificate_path_of(&view.path),
                address_claim_path(view.record.address),
                id_claim_path(view.record.id),
            ]
        }))
    }

    fn concerns(&self, entry: &SettingsEntry) -> bool {
        // Without a view of the service nothing is known not to concern it.
        let Some(own) = &self.0 else { return true };
        let is_shared = entry.path.starts_with("domains/") || entry.path.starts_with("keys/");
        is_shared || own.contains(&entry.path) || self.is_own_claim(entry)
    }

    /// A claim on an address that the service is about to change to is written before its record.
    fn is_own_claim(&self, entry: &SettingsEntry) -> bool {
        let path = self.0.as_ref().map(|own| own[0].as_str());
        entry.path.starts_with("claims/") && entry.claim_owner().as_deref() == path
    }
}
