use super::DomainSettings;
use crate::{address::DomainId, settings::DomainSet};
use serde::Serialize;
use std::collections::BTreeMap;

/// Where a failure domain is on its way out of service or back.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainPhase {
    /// Takes new flows.
    Serving,
    /// Has just come back: its flows get packets, and it takes no new ones yet.
    Held,
    /// Has just been taken out: its flows get packets, so that its agents close them.
    Closing,
    /// Is out: packets of its flows are answered with resets.
    Resetting,
    /// Has been out for long: packets of its flows are dropped.
    Out,
}

/// The phases of all failure domains at one moment; a look-up costs a few bit tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct DomainPhases {
    held: DomainSet,
    closing: DomainSet,
    resetting: DomainSet,
    out: DomainSet,
}

impl DomainPhases {
    /// Returns the phases in which these domains have been out long enough to be reset.
    pub fn resetting(out: DomainSet) -> Self {
        Self {
            resetting: out,
            ..Self::default()
        }
    }

    /// Returns the phase of one domain.
    pub fn of(&self, domain: DomainId) -> DomainPhase {
        if self.out.contains(domain) {
            DomainPhase::Out
        } else if self.resetting.contains(domain) {
            DomainPhase::Resetting
        } else if self.closing.contains(domain) {
            DomainPhase::Closing
        } else if self.held.contains(domain) {
            DomainPhase::Held
        } else {
            DomainPhase::Serving
        }
    }

    /// Returns the domains that take no new flows.
    pub fn without_new_flows(&self) -> DomainSet {
        self.held
            .union(self.closing)
            .union(self.resetting)
            .union(self.out)
    }
}

/// Follows which failure domains are out, with the times of the changes.
#[derive(Debug)]
pub struct DomainTracker {
    settings: DomainSettings,
    out: DomainSet,
    changed_ms: BTreeMap<DomainId, u64>,
}

impl DomainTracker {
    /// Starts with the domains that were out before this process knew of them.
    pub fn new(settings: DomainSettings, out: DomainSet) -> Self {
        Self {
            settings,
            out,
            changed_ms: BTreeMap::new(),
        }
    }

    /// Returns the domains that are out.
    pub fn out(&self) -> DomainSet {
        self.out
    }

    /// Takes the domains that are out now.
    pub fn update(&mut self, out: DomainSet, now_ms: u64) {
        for domain in (0..=u8::MAX).map(DomainId) {
            if out.contains(domain) != self.out.contains(domain) {
                self.changed_ms.insert(domain, now_ms);
            }
        }
        self.out = out;
    }

    /// Returns the phases at this moment.
    pub fn phases(&self, now_ms: u64) -> DomainPhases {
        let mut phases = DomainPhases {
            out: self.out,
            ..DomainPhases::default()
        };
        for (domain, changed_ms) in &self.changed_ms {
            let age_ms = now_ms.saturating_sub(*changed_ms);
            if !self.out.contains(*domain) {
                if age_ms < self.settings.hold_ms {
                    phases.held.insert(*domain);
                }
                continue;
            }
            if age_ms < self.settings.close_ms {
                phases.closing.insert(*domain);
                phases.out.remove(*domain);
            } else if age_ms < self.settings.reset_ms {
                phases.resetting.insert(*domain);
                phases.out.remove(*domain);
            }
        }
        phases
    }
}
