use super::settings::MembershipSettings;
use crate::address::DomainId;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// Detects silent members among those that chose this balancer as a watcher.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    settings: MembershipSettings,
    own_domain: DomainId,
    entries: BTreeMap<SocketAddrV4, WatchedMember>,
    suspended: BTreeSet<DomainId>,
    was_isolated: bool,
}

#[derive(Clone, Copy, Debug)]
struct WatchedMember {
    domain: DomainId,
    heard_ms: u64,
    probes: u8,
}

/// The result of one check of the watched members.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DetectorFindings {
    /// Members to probe.
    pub to_probe: BTreeSet<SocketAddrV4>,
    /// Members that are silent, while others of their domain are not or too few members are watched
    /// there to suspect the domain.
    pub silent: Vec<SocketAddrV4>,
    /// Domains in which all watched members are silent.
    pub silent_domains: BTreeSet<DomainId>,
    /// Whether a member is about to be suspected, so that other balancers must be probed first to
    /// show that this balancer is not isolated.
    pub needs_peer_probes: bool,
    /// Whether this balancer was isolated until now.
    pub has_rejoined: bool,
}

impl FailureDetector {
    /// Creates a detector without members for a balancer in `own_domain`.
    pub fn new(settings: MembershipSettings, own_domain: DomainId) -> Self {
        Self {
            settings,
            own_domain,
            entries: BTreeMap::new(),
            suspended: BTreeSet::new(),
            was_isolated: false,
        }
    }

    /// Returns how many members are watched.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many watched members are in domains that are not suspended.
    pub fn active_count(&self) -> usize {
        let is_active = |watched: &&WatchedMember| !self.suspended.contains(&watched.domain);
        self.entries.values().filter(is_active).count()
    }

    /// Records that a member that chose this balancer as a watcher sent a message now.
    pub fn note_heard(&mut self, address: SocketAddrV4, domain: DomainId, now_ms: u64) {
        let watched = WatchedMember {
            domain,
            heard_ms: now_ms,
            probes: 0,
        };
        self.entries.insert(address, watched);
    }

    /// Stops watching a member.
    pub fn stop_watching(&mut self, address: SocketAddrV4) {
        self.entries.remove(&address);
    }

    /// Returns when the last message from a watched member arrived.
    pub fn heard_ms(&self, address: SocketAddrV4) -> Option<u64> {
        self.entries.get(&address).map(|watched| watched.heard_ms)
    }

    /// Returns the most recently heard watched member of a domain and when it was heard.
    pub fn last_heard_in(&self, domain: DomainId) -> Option<(SocketAddrV4, u64)> {
        self.entries
            .iter()
            .filter(|(_, watched)| watched.domain == domain)
            .map(|(address, watched)| (*address, watched.heard_ms))
            .max_by_key(|(_, heard_ms)| *heard_ms)
    }

    /// Returns the most recently heard watched member of a domain other than `except`.
    pub fn last_heard_in_except(
        &self,
        domain: DomainId,
        except: SocketAddrV4,
    ) -> Option<SocketAddrV4> {
        self.entries
            .iter()
            .filter(|(address, watched)| watched.domain == domain && **address != except)
            .max_by_key(|(_, watched)| watched.heard_ms)
            .map(|(address, _)| *address)
    }

    /// Stops checking the members of a silent domain.
    pub fn suspend(&mut self, domain: DomainId) {
        self.suspended.insert(domain);
    }

    /// Checks the members of a domain again; their silence is counted from `now_ms`.
    pub fn resume(&mut self, domain: DomainId, now_ms: u64) {
        if !self.suspended.remove(&domain) {
            return;
        }
        for watched in self.entries.values_mut() {
            if watched.domain == domain {
                watched.restart(now_ms);
            }
        }
    }

    /// Restarts all timers after a time in which this process could not receive anything.
    pub fn restart(&mut self, now_ms: u64) {
        for watched in self.entries.values_mut() {
            watched.restart(now_ms);
        }
    }

    /// Checks the members for silence; `last_received_ms` is when this balancer last received
    /// anything from any member.
    pub fn on_tick(&mut self, now_ms: u64, last_received_ms: u64) -> DetectorFindings {
        let mut findings = DetectorFindings::default();
        let has_recent_messages = now_ms <= last_received_ms + self.settings.life_window_ms;
        if self.was_isolated && has_recent_messages {
            self.was_isolated = false;
            self.restart(now_ms);
            findings.has_rejoined = true;
            return findings;
        }
        self.probe_unresponsive(now_ms, &mut findings);
        let mut verdict = DetectorFindings::default();
        self.find_unresponsive(now_ms, &mut verdict);
        if verdict == DetectorFindings::default() {
            return findings;
        }
        if !has_recent_messages {
            self.was_isolated = true;
            return findings;
        }
        findings.silent = verdict.silent;
        findings.silent_domains = verdict.silent_domains;
        for address in &findings.silent {
            self.entries.remove(address);
        }
        findings
    }

    fn probe_unresponsive(&mut self, now_ms: u64, findings: &mut DetectorFindings) {
        let settings = self.settings;
        let mut domains = BTreeSet::new();
        for (address, watched) in &mut self.entries {
            if self.suspended.contains(&watched.domain) {
                continue;
            }
            let silence_ms = now_ms - watched.heard_ms;
            if silence_ms >= settings.probe_after_ms && watched.probes == 0 {
                watched.probes = 1;
                findings.to_probe.insert(*address);
            }
            if silence_ms >= settings.check_domain_after_ms && watched.probes == 1 {
                watched.probes = 2;
                findings.needs_peer_probes = true;
                domains.insert(watched.domain);
            }
        }
        let in_domains = self
            .entries
            .iter()
            .filter(|(_, watched)| domains.contains(&watched.domain));
        findings
            .to_probe
            .extend(in_domains.map(|(address, _)| *address));
    }

    fn find_unresponsive(&self, now_ms: u64, findings: &mut DetectorFindings) {
        for (address, watched) in &self.entries {
            let silence_ms = now_ms - watched.heard_ms;
            if silence_ms < self.settings.suspect_after_ms
                || self.suspended.contains(&watched.domain)
                || findings.silent_domains.contains(&watched.domain)
            {
                continue;
            }
            let witness_count = self.witness_count(watched.domain);
            if witness_count < self.settings.domain_witnesses {
                if silence_ms >= self.settings.suspect_after_ms + self.settings.lone_witness_ms {
                    findings.silent.push(*address);
                }
            } else if self.has_recent_answer(watched.domain, now_ms) {
                findings.silent.push(*address);
            } else {
                findings.silent_domains.insert(watched.domain);
            }
        }
    }

    /// Returns how many members can show that a domain is silent: 0 for the own domain, which
    /// cannot be silent as a whole.
    fn witness_count(&self, domain: DomainId) -> usize {
        if domain == self.own_domain {
            return 0;
        }
        self.entries
            .values()
            .filter(|watched| watched.domain == domain)
            .count()
    }

    /// Returns whether any member of a domain sent a message since the domain was probed.
    fn has_recent_answer(&self, domain: DomainId, now_ms: u64) -> bool {
        let settings = &self.settings;
        let window_ms = settings.suspect_after_ms - settings.check_domain_after_ms;
        let since_ms = now_ms.saturating_sub(window_ms);
        self.last_heard_in(domain)
            .is_some_and(|(_, heard_ms)| heard_ms >= since_ms)
    }
}

impl WatchedMember {
    fn restart(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
        self.probes = 0;
    }
}
