use super::{
    records::{
        AddressClaim, CertificateRecord, DomainRecord, DomainState, FlowKeysRecord, SealedFlowKey,
        ServiceRecord,
    },
    view::{ServiceView, SettingsView},
};
use crate::{
    codes::ResultCode,
    crypto::{ClusterKey, ShortKey},
    token::{FlowKey, FlowKeys},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;

/// One record of the store with the version that the store gave it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The path below the root of the settings.
    pub path: String,
    /// The store's modify index; rises with each write anywhere in the store.
    pub version: u64,
    /// The value, or `None` when the record has been removed.
    pub value: Option<String>,
}

/// Why a record is not in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Rejection {
    /// The version that was refused.
    pub version: u64,
    /// The numbered code.
    pub code: ResultCode,
    /// What is wrong with it.
    pub reason: String,
}

/// What became of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// It is in force.
    InForce,
    /// It is not newer than what is in force.
    NotNewer,
    /// It is malformed; the last good record stays in force.
    Rejected(Rejection),
}

/// The settings of one process: the last good record of each path, and what follows from them.
#[derive(Debug)]
pub struct SettingsState {
    cluster_key: ClusterKey,
    entries: BTreeMap<String, Entry>,
    seen: BTreeMap<String, u64>,
    rejections: BTreeMap<String, Rejection>,
    version: u64,
    view: SettingsView,
}

impl SettingsState {
    /// Creates an empty state; `cluster_key` opens the sealed keys.
    pub fn new(cluster_key: ClusterKey) -> Self {
        Self {
            cluster_key,
            entries: BTreeMap::new(),
            seen: BTreeMap::new(),
            rejections: BTreeMap::new(),
            version: 0,
            view: SettingsView::default(),
        }
    }

    /// Returns the settings in force.
    pub fn view(&self) -> &SettingsView {
        &self.view
    }

    /// Returns the highest version that has been applied.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the last good records, for handing to a peer.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the records that were refused, by path.
    pub fn rejections(&self) -> &BTreeMap<String, Rejection> {
        &self.rejections
    }

    /// Notes that all changes up to `version` that concern this process have been applied.
    pub fn reach(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Returns the certificate in force of the service at this path.
    pub fn certificate_of(&self, service_path: &str) -> Option<CertificateRecord> {
        let path = service_path.replacen("/services/", "/certificates/", 1);
        let value = self.entries.get(&path)?.value.as_deref()?;
        parse(value).ok()
    }

    /// Takes one entry, whoever it comes from; never goes back to an older version of a path.
    pub fn apply(&mut self, entry: Entry) -> Applied {
        let seen = self.seen.get(&entry.path).copied().unwrap_or(0);
        if entry.version <= seen {
            return Applied::NotNewer;
        }
        self.seen.insert(entry.path.clone(), entry.version);
        self.version = self.version.max(entry.version);
        if let Err(reason) = self.check(&entry) {
            let rejection = Rejection {
                version: entry.version,
                code: ResultCode::MalformedRecord,
                reason,
            };
            self.rejections.insert(entry.path, rejection.clone());
            return Applied::Rejected(rejection);
        }
        self.rejections.remove(&entry.path);
        self.entries.insert(entry.path.clone(), entry);
        self.view = self.build_view();
        Applied::InForce
    }

    /// Takes a whole reading of the store at `index`; a path that is missing has been removed.
    ///
    /// A reading older than what is in force is stale and changes nothing.
    pub fn apply_reading(&mut self, index: u64, entries: Vec<Entry>) -> Vec<(String, Applied)> {
        if index < self.version {
            return Vec::new();
        }
        let mut removed: BTreeMap<String, u64> = self
            .entries
            .values()
            .filter(|entry| entry.value.is_some())
            .map(|entry| (entry.path.clone(), index))
            .collect();
        for entry in &entries {
            removed.remove(&entry.path);
        }
        let removals = removed.into_iter().map(|(path, version)| Entry {
            path,
            version,
            value: None,
        });
        let all: Vec<Entry> = entries.into_iter().chain(removals).collect();
        all.into_iter()
            .map(|entry| (entry.path.clone(), self.apply(entry)))
            .filter(|(_, applied)| *applied != Applied::NotNewer)
            .collect()
    }

    fn check(&self, entry: &Entry) -> Result<(), String> {
        let Some(value) = &entry.value else {
            return Ok(());
        };
        let parts: Vec<&str> = entry.path.split('/').collect();
        match parts.as_slice() {
            ["teams", _, "services", _] => parse::<ServiceRecord>(value).map(|_| ()),
            ["domains", _] => parse::<DomainRecord>(value).map(|_| ()),
            ["claims", "addresses", _] => parse::<AddressClaim>(value).map(|_| ()),
            ["keys", "flow"] => {
                let record = parse::<FlowKeysRecord>(value)?;
                self.open_keys(&record).map(|_| ())
            }
            _ => Ok(()),
        }
    }

    fn build_view(&self) -> SettingsView {
        let mut view = SettingsView::default();
        for entry in self.entries.values() {
            self.add_to_view(entry, &mut view);
        }
        view
    }

    fn add_to_view(&self, entry: &Entry, view: &mut SettingsView) {
        let Some(value) = &entry.value else {
            return;
        };
        let parts: Vec<&str> = entry.path.split('/').collect();
        match parts.as_slice() {
            ["teams", _, "services", _] => self.add_service(&entry.path, value, view),
            ["domains", name] => add_domain(name, value, view),
            ["keys", "flow"] => {
                let keys = parse::<FlowKeysRecord>(value).and_then(|keys| self.open_keys(&keys));
                view.flow_keys = keys.ok();
            }
            _ => {}
        }
    }

    fn add_service(&self, path: &str, value: &str, view: &mut SettingsView) {
        let Ok(record) = parse::<ServiceRecord>(value) else {
            return;
        };
        if !self.owns_address(path, &record) {
            return;
        }
        view.by_address.insert(record.address, record.id);
        let service = ServiceView {
            path: path.to_owned(),
            record,
        };
        view.services.insert(service.record.id, service);
    }

    fn owns_address(&self, path: &str, record: &ServiceRecord) -> bool {
        let claim_path = format!("claims/addresses/{}", record.address);
        self.entries
            .get(&claim_path)
            .and_then(|entry| entry.value.as_deref())
            .and_then(|value| parse::<AddressClaim>(value).ok())
            .is_some_and(|claim| claim.owner == path)
    }

    fn open_keys(&self, record: &FlowKeysRecord) -> Result<FlowKeys, String> {
        let current = self.open_key(&record.current)?;
        let previous = match &record.previous {
            Some(key) => Some(self.open_key(key)?),
            None => None,
        };
        Ok(FlowKeys { current, previous })
    }

    fn open_key(&self, key: &SealedFlowKey) -> Result<FlowKey, String> {
        let secret = self
            .cluster_key
            .open("flow", &key.sealed)
            .map_err(|error| error.to_string())?;
        let secret = <[u8; 16]>::try_from(secret).or(Err("a flow key has 16 bytes".to_owned()))?;
        Ok(FlowKey {
            id: key.id,
            secret: ShortKey(secret),
        })
    }
}

fn add_domain(name: &str, value: &str, view: &mut SettingsView) {
    let Ok(record) = parse::<DomainRecord>(value) else {
        return;
    };
    if record.state == DomainState::Out {
        view.out.insert(record.id);
    }
    view.domains.insert(name.to_owned(), record);
}

fn parse<T: DeserializeOwned>(value: &str) -> Result<T, String> {
    serde_json::from_str(value).map_err(|error| error.to_string())
}
