use super::{
    gossip::GossipKind,
    member::StateChecksum,
    messages::{
        Announce, DomainEvidence, Evidence, Gossip, Heartbeat, MembershipAction, MembershipMessage,
        ProbeAnswer,
    },
    probes::probe,
    state::Membership,
};
use crate::context::Context;
use std::net::SocketAddrV4;

impl Membership {
    /// Handles an authenticated message.
    pub fn on_datagram(
        &mut self,
        from: SocketAddrV4,
        message: &MembershipMessage,
        ctx: &mut Context,
    ) -> Vec<MembershipAction> {
        self.detect_pause(ctx);
        self.last_received_ms = ctx.now_ms;
        let mut actions = Vec::new();
        match message {
            MembershipMessage::Heartbeat(heartbeat) => {
                self.on_heartbeat(from, heartbeat, ctx, &mut actions);
            }
            MembershipMessage::Announce(announce) => {
                self.on_announce(from, announce, ctx, &mut actions);
            }
            MembershipMessage::Ack(_)
            | MembershipMessage::Probe
            | MembershipMessage::Settings(_)
            | MembershipMessage::SettingsOverTcp { .. } => {
                actions = self.announcer.on_datagram(from, message, ctx);
            }
            MembershipMessage::ProbeAnswer(answer) => {
                self.on_probe_answer(answer, ctx, &mut actions);
            }
            MembershipMessage::Gossip(gossip) => self.on_gossip(from, gossip, ctx, &mut actions),
            MembershipMessage::BucketDigests { digests } => {
                self.on_bucket_digests(from, digests, ctx, &mut actions);
            }
            MembershipMessage::BucketStates(theirs) => {
                self.on_bucket_states(from, theirs, ctx, &mut actions);
            }
            MembershipMessage::Difference(difference) => {
                self.on_difference(from, difference, ctx, &mut actions);
            }
            MembershipMessage::PullSettings {
                above_version,
                service,
            } => actions.push(MembershipAction::ServeSettings {
                to: from,
                above_version: *above_version,
                service: *service,
            }),
            MembershipMessage::UnresponsiveAgent { agent } => {
                self.on_unresponsive_agent(*agent, ctx, &mut actions);
            }
        }
        self.flush_new(ctx, &mut actions);
        actions
    }

    fn on_heartbeat(
        &mut self,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let address = heartbeat.address;
        let is_known = self.on_liveness_evidence(address, heartbeat.state_checksum, ctx, actions);
        if is_known && let Some(member) = self.table.get(address) {
            self.detector
                .note_heard(address, member.record.domain, ctx.now_ms);
        }
        let peers = self.outdated_peers(address, heartbeat.peers_checksum, ctx.now_ms);
        let is_outdated = heartbeat.settings_version < self.settings_version;
        if heartbeat.wants_ack || !is_known || is_outdated || peers.is_some() {
            self.acknowledge(from, address, peers, ctx, actions);
        }
    }

    fn on_announce(
        &mut self,
        from: SocketAddrV4,
        announce: &Announce,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let record = announce.record;
        self.merge_and_spread_record(record, ctx, actions);
        self.on_liveness_evidence(record.address, record.state_checksum(), ctx, actions);
        self.detector
            .note_heard(record.address, record.domain, ctx.now_ms);
        let peers = self.outdated_peers(record.address, announce.peers_checksum, ctx.now_ms);
        self.acknowledge(from, record.address, peers, ctx, actions);
    }

    fn on_probe_answer(
        &mut self,
        answer: &ProbeAnswer,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_contradicted = self.contradictions.resolve(answer.address);
        if !self.on_liveness_evidence(answer.address, answer.state_checksum, ctx, actions) {
            return;
        }
        if is_contradicted {
            self.refute(answer.address, ctx);
        }
        if !answer.is_watched_by_receiver {
            self.detector.stop_watching(answer.address);
        } else if let Some(member) = self.table.get(answer.address) {
            let domain = member.record.domain;
            self.detector.note_heard(answer.address, domain, ctx.now_ms);
        }
    }

    /// Handles a message that shows that a member is alive; returns whether it matches the state in
    /// the view.
    fn on_liveness_evidence(
        &mut self,
        address: SocketAddrV4,
        state_checksum: StateChecksum,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) -> bool {
        let Some(member) = self.table.get(address).copied() else {
            return false;
        };
        self.reports
            .on_liveness_evidence(address, member.record.domain);
        if member.record.state_checksum() != state_checksum {
            return false;
        }
        if member.silent {
            self.counters.refuted += 1;
            self.merge_and_spread_evidence(
                address,
                state_checksum,
                false,
                ctx.now_ms,
                ctx,
                actions,
            );
        }
        let domain = member.record.domain;
        let silent_since_ms = self
            .table
            .domains()
            .get(&domain)
            .filter(|status| status.silent)
            .map(|status| status.stamp_ms);
        // A member that came back with a new state does not prove that the rest of its domain is
        // alive.
        if silent_since_ms.is_some_and(|since_ms| member.stamp_ms <= since_ms) {
            self.counters.refuted += 1;
            self.merge_and_spread_domain(domain, false, ctx.now_ms, actions);
        }
        true
    }

    fn on_gossip(
        &mut self,
        from: SocketAddrV4,
        gossip: &Gossip,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(age_ms) = gossip.store_age_ms {
            self.store_freshness
                .note_answer(ctx.now_ms.saturating_sub(age_ms));
        }
        if gossip.settings_version > self.settings_version && ctx.now_ms >= self.next_fetch_ms {
            self.next_fetch_ms = ctx.now_ms + self.settings.heartbeat_interval_ms;
            actions.push(MembershipAction::FetchSettings {
                from,
                version: gossip.settings_version,
            });
        }
        if !self.trusts_ages(ctx.now_ms) {
            return;
        }
        for evidence in &gossip.domains {
            self.on_domain_evidence(*evidence, ctx, actions);
        }
        for record in &gossip.records {
            if self.is_incomplete(ctx.now_ms) {
                self.merge_record(*record, ctx, actions);
            } else {
                self.merge_and_spread_record(*record, ctx, actions);
            }
        }
        for evidence in &gossip.evidence {
            self.on_member_evidence(*evidence, ctx, actions);
        }
        self.compare_views(from, gossip, ctx, actions);
    }

    pub(super) fn on_member_evidence(
        &mut self,
        evidence: Evidence,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.table.find_by_state(evidence.state).copied() else {
            return;
        };
        let address = member.record.address;
        let state_checksum = member.record.state_checksum();
        let stamp_ms = evidence.stamp_ms(ctx.now_ms);
        if !evidence.is_silent() {
            self.merge_and_spread_evidence(address, state_checksum, false, stamp_ms, ctx, actions);
            return;
        }
        if address == self.own_record().address {
            self.refute(address, ctx);
            return;
        }
        let is_old = ctx.now_ms > stamp_ms + self.settings.hearsay_limit_ms;
        if is_old {
            if !member.silent {
                self.contradictions.add(address, ctx);
            }
            return;
        }
        let heard_ms = self.detector.heard_ms(address);
        let is_heard = |heard_ms| ctx.now_ms < heard_ms + self.settings.probe_after_ms;
        if heard_ms.is_some_and(is_heard) {
            actions.push(probe(address));
        }
        self.merge_and_spread_evidence(address, state_checksum, true, stamp_ms, ctx, actions);
    }

    /// Spreads that a member is alive that other balancers consider silent.
    fn refute(&mut self, address: SocketAddrV4, ctx: &mut Context) {
        let Some(state_checksum) = self.table.get(address).map(|m| m.record.state_checksum())
        else {
            return;
        };
        self.counters.refuted += 1;
        self.table
            .merge_evidence(address, state_checksum, false, ctx.now_ms);
        self.enqueue_gossip(address, GossipKind::Evidence, ctx);
    }

    fn on_domain_evidence(
        &mut self,
        evidence: DomainEvidence,
        ctx: &Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let domain = evidence.domain;
        let stamp_ms = evidence.stamp_ms(ctx.now_ms);
        if !evidence.silent {
            self.merge_and_spread_domain(domain, false, stamp_ms, actions);
            return;
        }
        let is_known = self
            .table
            .domains()
            .get(&domain)
            .is_some_and(|status| status.silent || status.stamp_ms >= stamp_ms);
        if is_known {
            return;
        }
        if domain == self.own_record().domain {
            self.merge_and_spread_domain(domain, false, ctx.now_ms, actions);
            self.request_immediate_gossip();
            return;
        }
        let is_heard =
            |(_, heard_ms): &(_, u64)| ctx.now_ms < heard_ms + self.settings.probe_after_ms;
        let heard = self.detector.last_heard_in(domain).filter(is_heard);
        if ctx.now_ms > stamp_ms + self.settings.hearsay_limit_ms {
            if let Some((_, heard_ms)) = heard.filter(|(_, heard_ms)| *heard_ms > stamp_ms) {
                self.merge_and_spread_domain(domain, false, heard_ms, actions);
                self.request_immediate_gossip();
            }
            return;
        }
        if let Some((member, _)) = heard {
            actions.push(probe(member));
        }
        self.merge_and_spread_domain(domain, true, stamp_ms, actions);
    }
}
