use super::DomainSettings;
use crate::{address::DomainId, settings::DomainSet};
use serde::Serialize;
use std::collections::BTreeMap;

/// The phase of a failure domain on its way out of service or back.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainPhase {
    /// Accepts new flows.
    Serving,
    /// Has just returned: packets of its flows are forwarded, but it gets no new flows yet.
    Held,
    /// Has just been taken out: packets of its flows are still forwarded, so that its agents close
    /// them.
    Closing,
    /// Is out: packets of its flows are answered with resets.
    Resetting,
    /// Has been out for a long time: packets of its flows are dropped.
    Out,
}

/// The phases of all failure domains at one point in time; a lookup costs a few bit tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct DomainPhases {
    held: DomainSet,
    closing: DomainSet,
    resetting: DomainSet,
    out: DomainSet,
}

impl DomainPhases {
    /// Creates phases in which the flows of the domains in `out` are reset.
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

    /// Returns the domains that get no new flows.
    pub fn without_new_flows(&self) -> DomainSet {
        self.held
            .union(self.closing)
            .union(self.resetting)
            .union(self.out)
    }
}

/// Tracks which failure domains are out and when that changed.
#[derive(Debug)]
pub struct DomainTracker {
    settings: DomainSettings,
    out: DomainSet,
    changed_ms: BTreeMap<DomainId, u64>,
}

impl DomainTracker {
    /// Creates a tracker with the domains that were already out when this process started.
    pub fn new(settings: DomainSettings, out: DomainSet) -> Self {
        Self {
            settings,
            out,
            changed_ms: BTreeMap::new(),
        }
    }

    /// Returns the domains that are out.
    pub fn domains_out(&self) -> DomainSet {
        self.out
    }

    /// Updates which domains are out.
    pub fn update(&mut self, out: DomainSet, now_ms: u64) {
        for domain in (0..=u8::MAX).map(DomainId) {
            if out.contains(domain) != self.out.contains(domain) {
                self.changed_ms.insert(domain, now_ms);
            }
        }
        self.out = out;
    }

    /// Returns the phases of all domains at `now_ms`.
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
