use super::{
    parsed_record::ParsedRecord,
    paths::{SettingsPath, address_claim_path, certificate_path_of, id_claim_path},
    records::{AddressClaim, CertificateRecord, ServiceRecord},
    removal_history::RemovalHistory,
    subtree_read::SubtreeRead,
    view::SettingsView,
};
use crate::{codes::ResultCode, crypto::ClusterKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A record of the store with the version that the store assigned to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsEntry {
    /// The path relative to the root of the settings.
    pub path: String,
    /// The store's modify index, which rises with each write anywhere in the store.
    pub version: u64,
    /// The value, or `None` if the record has been removed.
    pub value: Option<String>,
}

impl SettingsEntry {
    /// Returns the path of the service that owns a claim, or `None` for a removed claim.
    pub fn claim_owner(&self) -> Option<String> {
        let claim: AddressClaim = serde_json::from_str(self.value.as_deref()?).ok()?;
        Some(claim.owner)
    }
}

/// The reason why a record is not in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Rejection {
    /// The version of the rejected record.
    pub version: u64,
    /// The result code.
    pub code: ResultCode,
    /// A description of the fault.
    pub reason: String,
}

/// The outcome of applying an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The entry is in force.
    InForce,
    /// The entry is not newer than what is known of its path, and was ignored.
    NotNewer,
    /// The entry was rejected; the last valid record stays in force.
    Rejected(Rejection),
}

/// The settings of one process: the last valid record of each path and the view derived from them.
///
/// All changes up to [`SettingsState::version`] are known, and possibly single newer entries. An
/// entry at or below this version that is not stored here has therefore been replaced or removed
/// since, and a peer that still has it cannot restore it.
#[derive(Debug)]
pub struct SettingsState {
    cluster_key: ClusterKey,
    path_states: BTreeMap<String, PathState>,
    rejections: BTreeMap<String, Rejection>,
    version: u64,
    history: RemovalHistory,
    outdated_store_index: Option<u64>,
    view: SettingsView,
}

/// What is known about one path.
#[derive(Debug, Default)]
struct PathState {
    last_valid: Option<(SettingsEntry, ParsedRecord)>,
    rejected: Option<SettingsEntry>,
}

impl PathState {
    fn version(&self) -> u64 {
        self.entries().map(|entry| entry.version).max().unwrap_or(0)
    }

    fn entries(&self) -> impl Iterator<Item = &SettingsEntry> {
        let valid = self.last_valid.as_ref().map(|(entry, _)| entry);
        valid.into_iter().chain(&self.rejected)
    }

    fn is_present(&self) -> bool {
        self.entries()
            .last()
            .is_some_and(|last| last.value.is_some())
    }
}

impl SettingsState {
    /// Creates an empty state; `cluster_key` decrypts the sealed keys.
    pub fn new(cluster_key: ClusterKey) -> Self {
        Self {
            cluster_key,
            path_states: BTreeMap::new(),
            rejections: BTreeMap::new(),
            version: 0,
            history: RemovalHistory::default(),
            outdated_store_index: None,
            view: SettingsView::default(),
        }
    }

    /// Returns the settings in force.
    pub fn view(&self) -> &SettingsView {
        &self.view
    }

    /// Returns the version up to which all changes are known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the store's index if it is older than the settings in force, for example after a
    /// restore from a backup; the settings in force stay.
    pub fn outdated_store_index(&self) -> Option<u64> {
        self.outdated_store_index
    }

    /// Returns the last valid entry of each path and the rejected entry after it, including
    /// removals, for sending to a peer.
    pub fn entries(&self) -> impl Iterator<Item = &SettingsEntry> {
        self.path_states.values().flat_map(PathState::entries)
    }

    /// Returns the rejected records by path.
    pub fn rejections(&self) -> &BTreeMap<String, Rejection> {
        &self.rejections
    }

    /// Returns the valid services that are not served, by path.
    pub fn unserved(&self) -> BTreeMap<String, Rejection> {
        self.path_states
            .iter()
            .filter_map(|(path, path_state)| match &path_state.last_valid {
                Some((entry, ParsedRecord::Service(record))) => {
                    let rejection = self.unserved_reason(path, record, entry.version)?;
                    Some((path.clone(), rejection))
                }
                _ => None,
            })
            .collect()
    }

    /// Returns the certificate in force of the service at a path.
    pub fn certificate_of(&self, service_path: &str) -> Option<CertificateRecord> {
        match self.valid_record(&certificate_path_of(service_path))? {
            ParsedRecord::Certificate(record) => Some(record.clone()),
            _ => None,
        }
    }

    /// Records that all changes up to `version` that concern this process have been applied.
    pub fn advance_version(&mut self, version: u64) {
        self.history.record_step(self.version, version);
        self.version = self.version.max(version);
    }

    /// Applies one entry from a peer; never reverts a path to an older version.
    ///
    /// An entry at or below [`SettingsState::version`] is known already or outdated.
    pub fn apply(&mut self, entry: SettingsEntry) -> ApplyOutcome {
        if entry.version <= self.version {
            return ApplyOutcome::NotNewer;
        }
        self.apply_entry(entry)
    }

    /// Applies a full read of the store at `index`; a missing path has been removed.
    ///
    /// A read that is older than the settings in force is stale and changes nothing.
    pub fn apply_full_read(
        &mut self,
        index: u64,
        entries: Vec<SettingsEntry>,
    ) -> Vec<(String, ApplyOutcome)> {
        if index < self.version {
            self.outdated_store_index = (!self.matches_entries(&entries)).then_some(index);
            return Vec::new();
        }
        self.outdated_store_index = None;
        self.apply_full(index, entries)
    }

    /// Applies reads of the subtrees of the store that changed, all as of `index`.
    ///
    /// A path missing from its subtree has been removed.
    pub fn apply_subtree_reads(
        &mut self,
        index: u64,
        subtrees: &[SubtreeRead],
        entries: Vec<SettingsEntry>,
    ) -> Vec<(String, ApplyOutcome)> {
        if index < self.version {
            return Vec::new();
        }
        self.outdated_store_index = None;
        let removals = self.missing_from(&entries, |path, path_state| {
            let mut subtrees = subtrees.iter();
            let subtree =
                subtrees.find(|subtree| subtree.implies_removal(path, path_state.version()))?;
            Some(subtree.index)
        });
        self.apply_complete(index, entries, removals)
    }

    /// Returns what a peer at `above_version` needs: the version that it must have, and the
    /// entries.
    ///
    /// The version is 0 if not all removals since then are known; the entries are then the complete
    /// settings.
    pub fn changes_since(&self, above_version: u64) -> (u64, Vec<SettingsEntry>) {
        let is_whole = !self.history.covers(above_version);
        let base_version = if is_whole { 0 } else { above_version };
        let entries = self
            .entries()
            .filter(|entry| entry.version > base_version)
            .filter(|entry| !is_whole || entry.value.is_some() || entry.version > self.version)
            .cloned()
            .collect();
        (base_version, entries)
    }

    /// Applies what changed between `base_version` and a peer's `version`; a `base_version` of 0
    /// stands for complete settings.
    ///
    /// Changes nothing if this process is older than `base_version` or already at `version`.
    pub fn apply_changes(
        &mut self,
        base_version: u64,
        version: u64,
        mut entries: Vec<SettingsEntry>,
    ) -> Vec<(String, ApplyOutcome)> {
        if version <= self.version || base_version > self.version {
            return Vec::new();
        }
        if base_version == 0 {
            return self.apply_full(version, entries);
        }
        entries.retain(|entry| entry.version > self.version);
        let removals = self.missing_from(&entries, |_, path_state| {
            let is_covered = path_state.version() > self.version && path_state.version() < version;
            is_covered.then_some(version)
        });
        self.apply_complete(version, entries, removals)
    }

    fn apply_full(
        &mut self,
        index: u64,
        entries: Vec<SettingsEntry>,
    ) -> Vec<(String, ApplyOutcome)> {
        let removals = self.missing_from(&entries, |_, path_state| {
            (path_state.version() < index).then_some(index)
        });
        self.apply_complete(index, entries, removals)
    }

    /// Returns a removal for each stored record that `entries` lack and for which `removed_at`
    /// returns a version.
    fn missing_from(
        &self,
        entries: &[SettingsEntry],
        removed_at: impl Fn(&str, &PathState) -> Option<u64>,
    ) -> Vec<SettingsEntry> {
        let present: BTreeSet<&str> = entries.iter().map(|entry| entry.path.as_str()).collect();
        self.path_states
            .iter()
            .filter(|(path, path_state)| {
                path_state.is_present() && !present.contains(path.as_str())
            })
            .filter_map(|(path, path_state)| {
                Some(SettingsEntry {
                    path: path.clone(),
                    version: removed_at(path, path_state)?,
                    value: None,
                })
            })
            .collect()
    }

    /// Applies entries and removals after which all changes up to `version` are known.
    fn apply_complete(
        &mut self,
        version: u64,
        mut entries: Vec<SettingsEntry>,
        removals: Vec<SettingsEntry>,
    ) -> Vec<(String, ApplyOutcome)> {
        entries.extend(removals);
        let applied = self.apply_entries(entries);
        self.advance_version(version);
        applied
    }

    fn apply_entries(&mut self, mut entries: Vec<SettingsEntry>) -> Vec<(String, ApplyOutcome)> {
        // A valid record must be applied before the rejected one that follows it.
        entries.sort_by_key(|entry| entry.version);
        entries
            .into_iter()
            .map(|entry| (entry.path.clone(), self.apply_entry(entry)))
            .filter(|(_, applied)| *applied != ApplyOutcome::NotNewer)
            .collect()
    }

    fn apply_entry(&mut self, entry: SettingsEntry) -> ApplyOutcome {
        let path_state = self.path_states.entry(entry.path.clone()).or_default();
        if entry.version <= path_state.version() {
            return ApplyOutcome::NotNewer;
        }
        match ParsedRecord::read(&entry.path, entry.value.as_deref(), &self.cluster_key) {
            Ok(parsed) => {
                path_state.rejected = None;
                self.rejections.remove(&entry.path);
                self.put_in_force(entry, parsed);
                ApplyOutcome::InForce
            }
            Err(error) => {
                let rejection = Rejection {
                    version: entry.version,
                    code: error.code(),
                    reason: error.to_string(),
                };
                self.rejections
                    .insert(entry.path.clone(), rejection.clone());
                path_state.rejected = Some(entry);
                ApplyOutcome::Rejected(rejection)
            }
        }
    }

    /// Returns whether a read at a lower index contains the same records, which happens when the
    /// store has lost only its last removal.
    fn matches_entries(&self, entries: &[SettingsEntry]) -> bool {
        let present = self
            .path_states
            .values()
            .filter(|path_state| path_state.is_present())
            .count();
        present == entries.len()
            && entries.iter().all(|entry| {
                let path_state = self.path_states.get(&entry.path);
                path_state.is_some_and(|path_state| path_state.version() == entry.version)
            })
    }

    fn put_in_force(&mut self, entry: SettingsEntry, parsed: ParsedRecord) {
        let path = entry.path.clone();
        let mut services = vec![path.clone()];
        services.extend(self.claim_owner(&path));
        let path_state = self.path_states.entry(path.clone()).or_default();
        path_state.last_valid = Some((entry, parsed));
        services.extend(self.claim_owner(&path));
        match SettingsPath::parse(&path) {
            SettingsPath::Domain(name) => self.refresh_domain(name, &path),
            SettingsPath::FlowKeys => self.refresh_flow_keys(&path),
            _ => services.iter().for_each(|path| self.refresh_service(path)),
        }
    }

    fn refresh_domain(&mut self, name: &str, path: &str) {
        let record = match self.valid_record(path) {
            Some(ParsedRecord::Domain(record)) => Some(record.clone()),
            _ => None,
        };
        self.view.set_domain(name, record);
    }

    fn refresh_flow_keys(&mut self, path: &str) {
        if let Some(ParsedRecord::FlowKeys(keys)) = self.valid_record(path) {
            self.view.flow_keys = Some(*keys);
        }
    }

    fn refresh_service(&mut self, path: &str) {
        self.view.remove_service(path);
        let Some(ParsedRecord::Service(record)) = self.valid_record(path) else {
            return;
        };
        let record = record.clone();
        if self.unserved_reason(path, &record, 0).is_none() {
            self.view.insert_service(path, record);
        }
    }

    fn unserved_reason(
        &self,
        path: &str,
        record: &ServiceRecord,
        version: u64,
    ) -> Option<Rejection> {
        let claims = [address_claim_path(record.address), id_claim_path(record.id)];
        let claim = claims
            .iter()
            .find(|claim| self.claim_owner(claim).as_deref() != Some(path))?;
        let reason = match self.claim_owner(claim) {
            Some(owner) => format!("{claim} belongs to {owner}"),
            None => format!("{claim} is not claimed"),
        };
        Some(Rejection {
            version,
            code: ResultCode::AddressTaken,
            reason,
        })
    }

    fn claim_owner(&self, path: &str) -> Option<String> {
        match self.valid_record(path)? {
            ParsedRecord::Claim { owner } => Some(owner.clone()),
            _ => None,
        }
    }

    fn valid_record(&self, path: &str) -> Option<&ParsedRecord> {
        let (_, parsed) = self.path_states.get(path)?.last_valid.as_ref()?;
        Some(parsed)
    }
}
