use super::messages::{MESSAGE_LIMIT_BYTES, MembershipMessage};
use crate::{
    address::ServiceId,
    settings::{Entry, SettingsState},
};
use serde::{Deserialize, Serialize};

/// All settings that changed between two versions.
///
/// Versions of the store rise with each write, so a receiver that has `base_version` or more and
/// applies all entries is at `version`, whatever it missed in between.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsDelta {
    /// The version that a receiver must have at least.
    pub base_version: u64,
    /// The version that it has afterwards.
    pub version: u64,
    /// The records that changed; a removed record has no value.
    pub entries: Vec<Entry>,
}

impl SettingsDelta {
    /// Collects what changed above a version; for an agent, only what concerns its service.
    pub fn collect(state: &SettingsState, above_version: u64, service: Option<ServiceId>) -> Self {
        let own_paths = service.map(|service| ServicePaths::new(state, service));
        let entries = state
            .entries()
            .filter(|entry| entry.version > above_version)
            .filter(|entry| {
                own_paths
                    .as_ref()
                    .is_none_or(|paths| paths.concern(&entry.path))
            })
            .cloned()
            .collect();
        Self {
            base_version: above_version,
            version: state.version(),
            entries,
        }
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
struct ServicePaths {
    service: Option<String>,
    certificate: Option<String>,
    claim: Option<String>,
}

impl ServicePaths {
    fn new(state: &SettingsState, service: ServiceId) -> Self {
        let view = state.view().services.get(&service);
        Self {
            service: view.map(|view| view.path.clone()),
            certificate: view.map(|view| view.path.replacen("/services/", "/certificates/", 1)),
            claim: view.map(|view| format!("claims/addresses/{}", view.record.address)),
        }
    }

    fn concern(&self, path: &str) -> bool {
        let is_shared = path.starts_with("domains/") || path.starts_with("keys/");
        let own = [&self.service, &self.certificate, &self.claim];
        // Without a view of the service nothing is known not to concern it.
        let is_unknown = self.service.is_none();
        is_shared || is_unknown || own.iter().any(|own| own.as_deref() == Some(path))
    }
}
