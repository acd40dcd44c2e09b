use super::{
    member::{MemberRecord, hash_words, rendezvous_score},
    messages::{Ack, Announce, Heartbeat, MembershipAction, MembershipMessage, ProbeAnswer},
    record::{AgentPhase, AgentRecord, BalancerRecord},
    settings::MembershipSettings,
};
use crate::{
    address::{AgentAddress, DomainId, ServiceId},
    context::Context,
};
use rand::RngExt;
use std::{collections::BTreeMap, net::SocketAddrV4};

/// Announces a process to its watchers with records and heartbeats; a balancer has one for itself.
#[derive(Clone, Debug)]
pub struct Announcer {
    settings: MembershipSettings,
    own: MemberRecord,
    candidates: BTreeMap<SocketAddrV4, Candidate>,
    unresponsive_domains: BTreeMap<DomainId, u64>,
    watchers: Vec<Watcher>,
    next_heartbeat_ms: Option<u64>,
    settings_version: u64,
    peers: Vec<AgentRecord>,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    domain: DomainId,
    avoid_until_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Watcher {
    address: SocketAddrV4,
    domain: DomainId,
    knows_state: bool,
    unanswered: u8,
    heartbeats_sent: u64,
    repeat_at_ms: u64,
}

impl Announcer {
    /// Creates an announcer that does not know any balancer yet.
    pub fn new(settings: MembershipSettings, own: MemberRecord) -> Self {
        Self {
            settings,
            own,
            candidates: BTreeMap::new(),
            unresponsive_domains: BTreeMap::new(),
            watchers: Vec::new(),
            next_heartbeat_ms: None,
            settings_version: 0,
            peers: Vec::new(),
        }
    }

    /// Returns the record that the process announces.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the other agents of the service, as last received from a watcher.
    pub fn peers(&self) -> &[AgentRecord] {
        &self.peers
    }

    /// Returns the balancers that watch this process.
    pub fn watchers(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.watchers.iter().map(|watcher| watcher.address)
    }

    /// Adds balancers from the store's list or from a watcher as candidates for watchers.
    pub fn add_balancers<'a>(&mut self, balancers: impl IntoIterator<Item = &'a BalancerRecord>) {
        for balancer in balancers {
            if balancer.address.0 == self.own.address {
                continue;
            }
            let candidate = Candidate {
                domain: balancer.domain,
                avoid_until_ms: 0,
            };
            self.candidates
                .entry(balancer.address.0)
                .or_insert(candidate);
        }
    }

    /// Removes a balancer that is gone from the candidates and watchers.
    pub fn remove_balancer(&mut self, balancer: SocketAddrV4) {
        self.candidates.remove(&balancer);
        self.watchers.retain(|watcher| watcher.address != balancer);
    }

    /// Sets the settings version that is in force here.
    pub fn set_settings_version(&mut self, version: u64) {
        self.settings_version = self.settings_version.max(version);
    }

    /// Changes the phase and announces it at once.
    pub fn set_phase(&mut self, phase: AgentPhase, ctx: &Context) -> Vec<MembershipAction> {
        if phase == self.own.phase {
            return Vec::new();
        }
        self.own.phase = phase;
        self.own.revision = self.own.revision.saturating_add(1);
        for watcher in &mut self.watchers {
            watcher.knows_state = false;
            watcher.repeat_at_ms = ctx.now_ms + self.settings.announce_repeat_ms;
        }
        let watchers: Vec<SocketAddrV4> = self.watchers().collect();
        watchers.into_iter().map(|to| self.announce(to)).collect()
    }

    /// Returns the heartbeats and announcements that are due.
    pub fn on_tick(&mut self, ctx: &mut Context) -> Vec<MembershipAction> {
        let interval_ms = self.settings.heartbeat_interval_ms;
        let first_ms = self.next_heartbeat_ms;
        let due_ms = first_ms.unwrap_or_else(|| ctx.now_ms + ctx.rng.random_range(0..interval_ms));
        self.next_heartbeat_ms = Some(due_ms);
        let mut actions = self.replace_watchers(ctx.now_ms);
        actions.extend(self.repeat_announcements(ctx.now_ms));
        if ctx.now_ms >= due_ms {
            let next_ms = due_ms + interval_ms;
            let is_late = next_ms <= ctx.now_ms;
            self.next_heartbeat_ms = Some(if is_late {
                ctx.now_ms + interval_ms
            } else {
                next_ms
            });
            actions.extend(self.send_heartbeats());
        }
        actions
    }

    /// Reports to the watchers that another agent has not acknowledged an offer.
    pub fn report_unresponsive(&self, agent: AgentAddress) -> Vec<MembershipAction> {
        self.watchers()
            .map(|to| MembershipAction::Send {
                to,
                message: MembershipMessage::UnresponsiveAgent { agent },
            })
            .collect()
    }

    /// Handles a watcher's acknowledgement.
    pub fn on_ack(
        &mut self,
        from: SocketAddrV4,
        ack: &Ack,
        ctx: &Context,
    ) -> Vec<MembershipAction> {
        self.add_balancers(&ack.balancers);
        let state_checksum = self.own.state_checksum();
        let mut actions = Vec::new();
        if let Some(watcher) = self.watchers.iter_mut().find(|w| w.address == from) {
            watcher.unanswered = 0;
            self.unresponsive_domains.remove(&watcher.domain);
            let knew_state = watcher.knows_state;
            watcher.knows_state = ack.state_checksum == Some(state_checksum);
            if knew_state && !watcher.knows_state {
                watcher.repeat_at_ms = ctx.now_ms + self.settings.announce_repeat_ms;
                actions.push(self.announce(from));
            }
        }
        if ack.busy && self.has_alternative(from, ctx.now_ms) {
            self.avoid(from, ctx.now_ms);
            actions.push(self.answer_probe(from));
        }
        if let Some(peers) = &ack.peers {
            self.peers.clone_from(peers);
        }
        if ack.settings_version > self.settings_version {
            actions.push(MembershipAction::FetchSettings {
                from,
                version: ack.settings_version,
            });
        }
        actions
    }

    /// Handles a message that concerns this process as a watched member.
    pub fn on_datagram(
        &mut self,
        from: SocketAddrV4,
        message: &MembershipMessage,
        ctx: &Context,
    ) -> Vec<MembershipAction> {
        match message {
            MembershipMessage::Ack(ack) => self.on_ack(from, ack, ctx),
            MembershipMessage::Probe => vec![self.answer_probe(from)],
            MembershipMessage::Settings(delta) if delta.applies_to(self.settings_version) => {
                let delta = delta.clone();
                vec![MembershipAction::ApplySettings { delta }]
            }
            MembershipMessage::SettingsOverTcp { version } if *version > self.settings_version => {
                let version = *version;
                vec![MembershipAction::FetchSettingsOverTcp { from, version }]
            }
            _ => Vec::new(),
        }
    }

    fn answer_probe(&self, to: SocketAddrV4) -> MembershipAction {
        let answer = ProbeAnswer {
            address: self.own.address,
            state_checksum: self.own.state_checksum(),
            is_watched_by_receiver: self.watchers().any(|watcher| watcher == to),
        };
        MembershipAction::Send {
            to,
            message: MembershipMessage::ProbeAnswer(answer),
        }
    }

    fn announce(&self, to: SocketAddrV4) -> MembershipAction {
        let announce = Announce {
            record: self.own,
            settings_version: self.settings_version,
            peers_checksum: peers_checksum(&self.peers),
        };
        MembershipAction::Send {
            to,
            message: MembershipMessage::Announce(announce),
        }
    }

    fn send_heartbeats(&mut self) -> Vec<MembershipAction> {
        let mut heartbeat = Heartbeat {
            address: self.own.address,
            state_checksum: self.own.state_checksum(),
            settings_version: self.settings_version,
            peers_checksum: peers_checksum(&self.peers),
            wants_ack: false,
        };
        let mut actions = Vec::new();
        for watcher in &mut self.watchers {
            if !watcher.knows_state {
                continue;
            }
            watcher.heartbeats_sent += 1;
            heartbeat.wants_ack = watcher.unanswered > 0
                || watcher
                    .heartbeats_sent
                    .is_multiple_of(self.settings.acknowledge_every);
            watcher.unanswered += u8::from(heartbeat.wants_ack);
            actions.push(MembershipAction::Send {
                to: watcher.address,
                message: MembershipMessage::Heartbeat(heartbeat),
            });
        }
        actions
    }

    fn repeat_announcements(&mut self, now_ms: u64) -> Vec<MembershipAction> {
        let repeat_ms = self.settings.announce_repeat_ms;
        let mut due = Vec::new();
        for watcher in &mut self.watchers {
            if !watcher.knows_state && now_ms >= watcher.repeat_at_ms {
                watcher.repeat_at_ms = now_ms + repeat_ms;
                watcher.unanswered += 1;
                due.push(watcher.address);
            }
        }
        due.into_iter().map(|to| self.announce(to)).collect()
    }

    fn replace_watchers(&mut self, now_ms: u64) -> Vec<MembershipAction> {
        let limit = self.settings.unanswered_limit;
        let lost: Vec<Watcher> = self
            .watchers
            .iter()
            .filter(|watcher| watcher.unanswered > limit)
            .copied()
            .collect();
        for watcher in &lost {
            self.avoid(watcher.address, now_ms);
            let until_ms = now_ms + self.settings.avoid_ms;
            self.unresponsive_domains.insert(watcher.domain, until_ms);
        }
        while self.watchers.len() < self.settings.watchers {
            let Some((address, domain)) = self.next_watcher(now_ms) else {
                break;
            };
            self.watchers.push(Watcher {
                address,
                domain,
                knows_state: false,
                unanswered: 0,
                heartbeats_sent: rendezvous_score(address, self.own.address)
                    % self.settings.acknowledge_every,
                repeat_at_ms: now_ms,
            });
        }
        lost.into_iter()
            .map(|watcher| self.answer_probe(watcher.address))
            .collect()
    }

    fn avoid(&mut self, address: SocketAddrV4, now_ms: u64) {
        self.watchers.retain(|watcher| watcher.address != address);
        if let Some(candidate) = self.candidates.get_mut(&address) {
            candidate.avoid_until_ms = now_ms + self.settings.avoid_ms;
        }
    }

    fn has_alternative(&self, watcher: SocketAddrV4, now_ms: u64) -> bool {
        self.available_candidates(now_ms)
            .any(|(address, _)| address != watcher)
    }

    /// Selects the next watcher: first from domains in which no watcher has failed recently, then
    /// from domains without a watcher, so that the loss of one domain does not take all watchers.
    fn next_watcher(&self, now_ms: u64) -> Option<(SocketAddrV4, DomainId)> {
        let is_new_domain = |domain| self.watchers.iter().all(|w| w.domain != domain);
        let failed = |domain| {
            self.unresponsive_domains
                .get(&domain)
                .is_some_and(|until| *until > now_ms)
        };
        self.available_candidates(now_ms)
            .max_by_key(|(address, domain)| {
                let score = rendezvous_score(self.own.address, *address);
                (!failed(*domain), is_new_domain(*domain), score)
            })
    }

    fn available_candidates(&self, now_ms: u64) -> impl Iterator<Item = (SocketAddrV4, DomainId)> {
        self.candidates
            .iter()
            .filter(move |(_, candidate)| candidate.avoid_until_ms <= now_ms)
            .filter(|(address, _)| self.watchers().all(|watcher| watcher != **address))
            .map(|(address, candidate)| (*address, candidate.domain))
    }

    /// Returns a request for the settings newer than those in force here.
    pub fn pull_settings(&self) -> MembershipMessage {
        MembershipMessage::PullSettings {
            above_version: self.settings_version,
            service: self.service(),
        }
    }

    fn service(&self) -> Option<ServiceId> {
        self.own.service()
    }
}

/// Returns a two-byte checksum of a list of peers that is ordered by address.
pub(super) fn peers_checksum(peers: &[AgentRecord]) -> [u8; 2] {
    let combined = peers
        .iter()
        .map(|peer| MemberRecord::from(*peer).hash())
        .fold(0, |sum, hash| hash_words(&[sum, hash]));
    [combined as u8, (combined >> 8) as u8]
}
