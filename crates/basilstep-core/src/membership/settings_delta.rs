use super::messages::{MESSAGE_LIMIT_BYTES, MembershipMessage};
use crate::{
    address::ServiceId,
    settings::{
        ApplyOutcome, SettingsEntry, SettingsState, address_claim_path, certificate_path_of,
        id_claim_path,
    },
};
use serde::{Deserialize, Serialize};

/// All settings records that changed between two versions.
///
/// Store versions rise with each write, so a receiver at `base_version` or later that applies all
/// entries is at `version`, whatever it missed in between.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsDelta {
    /// The lowest version that the receiver must have; 0 if the entries are the complete settings.
    pub base_version: u64,
    /// The version of the receiver afterwards.
    pub version: u64,
    /// The records that changed; a removed record has no value.
    pub entries: Vec<SettingsEntry>,
}

impl SettingsDelta {
    /// Collects what changed after a version; for an agent, only what concerns its service.
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

    /// Applies the changes, unless `state` is older than `base_version` or already at `version`.
    pub fn apply_to(self, state: &mut SettingsState) -> Vec<(String, ApplyOutcome)> {
        state.apply_changes(self.base_version, self.version, self.entries)
    }

    /// Returns whether a process at `version` may apply the delta.
    pub fn applies_to(&self, version: u64) -> bool {
        self.base_version <= version && self.version > version
    }

    /// Returns the message that contains the delta, or one that points to TCP if it is too large.
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
        // While the service is unknown, any record may concern it.
        let Some(own) = &self.0 else { return true };
        let is_shared = entry.path.starts_with("domains/") || entry.path.starts_with("keys/");
        is_shared || own.contains(&entry.path) || self.is_own_claim(entry)
    }

    /// Returns whether the entry is a claim of the service itself: a claim on a new address is
    /// written before the record that uses it.
    fn is_own_claim(&self, entry: &SettingsEntry) -> bool {
        let path = self.0.as_ref().map(|own| own[0].as_str());
        entry.path.starts_with("claims/") && entry.claim_owner().as_deref() == path
    }
}
