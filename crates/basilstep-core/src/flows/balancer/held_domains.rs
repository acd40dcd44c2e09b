use crate::{address::DomainId, flows::routes::FleetSettings};
use std::collections::{BTreeMap, BTreeSet};

/// How long a domain stays out after a restore of the store if the new era has no record of it.
///
/// Operators write again what the store has lost; until then it is safer to send nothing there.
const HOLD_MS: u64 = 10_000;

/// Domains that were out when the store was restored from a copy.
///
/// Each stays out until the new era has a record of it or has removed it, which decides from then
/// on, or until [`HOLD_MS`] have passed without either.
#[derive(Clone, Debug, Default)]
pub struct HeldDomains {
    held_until_ms: BTreeMap<DomainId, u64>,
}

impl HeldDomains {
    /// Updates the domains when `after` has replaced `before`.
    pub fn on_settings(&mut self, before: &FleetSettings, after: &FleetSettings, now_ms: u64) {
        if before.revision.era < after.revision.era {
            let held = before.domains_out.iter();
            self.held_until_ms
                .extend(held.map(|domain| (*domain, now_ms + HOLD_MS)));
        }
        self.held_until_ms.retain(|domain, _| {
            !after.domains_out.contains(domain) && !after.domains_back.contains(domain)
        });
    }

    /// Releases domains that were held for long enough, and returns them.
    pub fn release(&mut self, now_ms: u64) -> BTreeSet<DomainId> {
        self.held_until_ms
            .extract_if(.., |_, until_ms| now_ms >= *until_ms)
            .map(|(domain, _)| domain)
            .collect()
    }

    /// Returns the domains that are out by the record of an earlier era.
    pub fn domains(&self) -> BTreeSet<DomainId> {
        self.held_until_ms.keys().copied().collect()
    }

    /// Returns whether a domain is out by the record of an earlier era.
    pub fn contains(&self, domain: DomainId) -> bool {
        self.held_until_ms.contains_key(&domain)
    }
}
