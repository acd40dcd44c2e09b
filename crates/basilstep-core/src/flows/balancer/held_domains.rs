use crate::{address::DomainId, flows::routes::FleetSettings};
use std::collections::BTreeSet;

/// How long a domain stays out after a restore of the store if the new era has no record of it.
///
/// Operators write again what the store has lost; until then it is safer to send nothing there.
const HOLD_MS: u64 = 10_000;

/// Domains that were out when the store was restored from a copy.
///
/// Each stays out until the new era has a record of it, which decides from then on, or until
/// [`HOLD_MS`] have passed without one.
#[derive(Clone, Debug, Default)]
pub struct HeldDomains {
    domains: BTreeSet<DomainId>,
    until_ms: u64,
}

impl HeldDomains {
    /// Updates the domains when `after` has replaced `before`.
    pub fn on_settings(&mut self, before: &FleetSettings, after: &FleetSettings, now_ms: u64) {
        if before.revision.era < after.revision.era {
            self.domains.extend(&before.domains_out);
            self.until_ms = now_ms + HOLD_MS;
        }
        self.domains
            .retain(|domain| !after.domains_out.contains(domain));
    }

    /// Releases domains that were held for long enough, and returns them.
    pub fn release(&mut self, now_ms: u64) -> BTreeSet<DomainId> {
        if now_ms < self.until_ms {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.domains)
    }

    /// Returns the domains that are out by the record of an earlier era.
    pub const fn domains(&self) -> &BTreeSet<DomainId> {
        &self.domains
    }
}
