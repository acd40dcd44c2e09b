use super::records::{DomainRecord, DomainState, ServiceRecord};
use crate::{
    address::{DomainId, ServiceId},
    token::FlowKeys,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddrV4};

/// A set of failure domains as a bit set; a lookup costs one load and one shift.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct DomainSet([u64; 4]);

impl DomainSet {
    /// Adds a domain to the set.
    pub fn insert(&mut self, domain: DomainId) {
        self.0[usize::from(domain.0 / 64)] |= 1 << (domain.0 % 64);
    }

    /// Removes a domain from the set.
    pub fn remove(&mut self, domain: DomainId) {
        self.0[usize::from(domain.0 / 64)] &= !(1 << (domain.0 % 64));
    }

    /// Returns the domains that are in either set.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self(std::array::from_fn(|word| self.0[word] | other.0[word]))
    }

    /// Returns whether a domain is in the set.
    pub fn contains(&self, domain: DomainId) -> bool {
        self.0[usize::from(domain.0 / 64)] >> (domain.0 % 64) & 1 == 1
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0 == [0; 4]
    }
}

/// A service with the path of its record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceView {
    /// The path of its record.
    pub path: String,
    /// The record of the service.
    pub record: ServiceRecord,
}

/// The settings in force, indexed for lookups.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SettingsView {
    /// The services by id.
    pub services: BTreeMap<ServiceId, ServiceView>,
    /// The id of the service at each address.
    pub by_address: BTreeMap<SocketAddrV4, ServiceId>,
    /// The id of the service at each path.
    #[serde(skip)]
    pub by_path: BTreeMap<String, ServiceId>,
    /// The failure domains by name.
    pub domains: BTreeMap<String, DomainRecord>,
    /// The failure domains that are out.
    #[serde(rename = "out")]
    pub domains_out: DomainSet,
    /// The keys that sign flow tokens, once known.
    #[serde(skip)]
    pub flow_keys: Option<FlowKeys>,
}

impl SettingsView {
    /// Finds a service by the path of its record.
    pub fn service_at(&self, path: &str) -> Option<&ServiceView> {
        self.services.get(self.by_path.get(path)?)
    }

    pub(super) fn insert_service(&mut self, path: &str, record: ServiceRecord) {
        self.by_address.insert(record.address, record.id);
        self.by_path.insert(path.to_owned(), record.id);
        let service = ServiceView {
            path: path.to_owned(),
            record,
        };
        self.services.insert(service.record.id, service);
    }

    pub(super) fn remove_service(&mut self, path: &str) {
        let id = self.by_path.remove(path);
        if let Some(service) = id.and_then(|id| self.services.remove(&id)) {
            self.by_address.remove(&service.record.address);
        }
    }

    pub(super) fn set_domain(&mut self, name: &str, record: Option<DomainRecord>) {
        match record {
            Some(record) => self.domains.insert(name.to_owned(), record),
            None => self.domains.remove(name),
        };
        self.domains_out = DomainSet::default();
        for domain in self.domains.values() {
            if domain.state == DomainState::Out {
                self.domains_out.insert(domain.id);
            }
        }
    }
}
