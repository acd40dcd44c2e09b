use crate::{
    crypto::ClusterKey,
    settings::{
        DomainState, FLOW_KEYS_PATH, ServiceRecord, SettingsEntry, SettingsState,
        address_claim_path, domain_path, id_claim_path, service_path,
    },
};
use serde_json::json;

pub const CLUSTER_KEY: ClusterKey = ClusterKey::new([7; 32]);

pub fn state() -> SettingsState {
    SettingsState::new(CLUSTER_KEY)
}

pub fn entry(path: &str, version: u64, value: &str) -> SettingsEntry {
    SettingsEntry {
        path: path.to_owned(),
        version,
        value: Some(value.to_owned()),
    }
}

pub fn removed(path: &str, version: u64) -> SettingsEntry {
    SettingsEntry {
        path: path.to_owned(),
        version,
        value: None,
    }
}

pub fn service_json(id: u16, address: &str) -> String {
    json!({ "id": id, "address": address }).to_string()
}

pub fn service_record() -> ServiceRecord {
    serde_json::from_str(&service_json(1, "127.0.0.1:443")).unwrap()
}

pub fn service(name: &str, version: u64, id: u16, address: &str) -> SettingsEntry {
    entry(
        &service_path("a", name),
        version,
        &service_json(id, address),
    )
}

/// Returns a service with both claims, at `version`, `version + 1` and `version + 2`.
pub fn claimed_service(name: &str, version: u64, id: u16, address: &str) -> Vec<SettingsEntry> {
    vec![
        address_claim(address, version, name),
        id_claim(id, version + 1, name),
        service(name, version + 2, id, address),
    ]
}

pub fn address_claim(address: &str, version: u64, owner: &str) -> SettingsEntry {
    let path = address_claim_path(address.parse().unwrap());
    entry(&path, version, &claim_json(owner))
}

pub fn id_claim(id: u16, version: u64, owner: &str) -> SettingsEntry {
    let path = id_claim_path(crate::address::ServiceId(id));
    entry(&path, version, &claim_json(owner))
}

fn claim_json(owner: &str) -> String {
    json!({ "owner": service_path("a", owner) }).to_string()
}

pub fn domain_json(id: u8, state: DomainState) -> String {
    json!({ "id": id, "state": state }).to_string()
}

pub fn domain(name: &str, version: u64, state: DomainState) -> SettingsEntry {
    entry(&domain_path(name), version, &domain_json(1, state))
}

pub fn flow_keys(version: u64, ids: &[u8]) -> SettingsEntry {
    let keys: Vec<_> = ids
        .iter()
        .map(|id| json!({ "id": id, "sealed": CLUSTER_KEY.seal("flow", [*id; 12], &[*id; 16]) }))
        .collect();
    let record = json!({ "current": keys[0], "previous": keys.get(1) });
    entry(FLOW_KEYS_PATH, version, &record.to_string())
}
