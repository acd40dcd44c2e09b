use super::{
    gossip::GossipKind,
    member::{MemberRecord, StateChecksum},
    member_table::{Member, MergeResult},
    messages::MembershipAction,
    state::Membership,
    suspicion::{PendingSuspicion, SuspicionSubject},
};
use crate::{address::DomainId, context::Context};
use std::net::SocketAddrV4;

impl Membership {
    /// Merges a record, and spreads it by gossip if it changed the view.
    pub(super) fn merge_and_spread_record(
        &mut self,
        record: MemberRecord,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        match self.merge_record(record, ctx, actions) {
            MergeResult::Changed => self.enqueue_gossip(record.address, GossipKind::Record, ctx),
            MergeResult::Unchanged => {}
            MergeResult::Outdated | MergeResult::Unknown => self.counters.outdated += 1,
        }
    }

    /// Merges a record without spreading it.
    pub(super) fn merge_record(
        &mut self,
        record: MemberRecord,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) -> MergeResult {
        if record.address == self.own_record().address {
            return MergeResult::Outdated;
        }
        let merged = self.table.merge_record(record, ctx.now_ms);
        if merged == MergeResult::Changed {
            self.last_change_ms = ctx.now_ms;
            if let Some(member) = self.table.get(record.address).copied() {
                self.notify_member_change(&member, actions);
            }
        }
        merged
    }

    /// Merges evidence about a member, and spreads it by gossip if it changed the view.
    pub(super) fn merge_and_spread_evidence(
        &mut self,
        address: SocketAddrV4,
        state_checksum: StateChecksum,
        silent: bool,
        stamp_ms: u64,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let before = self.table.get(address).copied();
        let was_live = before.is_some_and(|member| self.table.is_live(&member, ctx.now_ms));
        match self
            .table
            .merge_evidence(address, state_checksum, silent, stamp_ms)
        {
            MergeResult::Changed => {
                self.last_change_ms = ctx.now_ms;
                self.contradictions.resolve(address);
                self.enqueue_gossip(address, GossipKind::Evidence, ctx);
                if silent {
                    self.schedule_member(address, stamp_ms);
                }
                if let Some(member) = self.table.get(address).copied()
                    && !silent
                    && !was_live
                {
                    self.notify_member_change(&member, actions);
                }
            }
            MergeResult::Unchanged => {}
            MergeResult::Outdated | MergeResult::Unknown => self.counters.outdated += 1,
        }
    }

    /// Merges evidence about a domain, and spreads it by gossip if it changed the view.
    pub(super) fn merge_and_spread_domain(
        &mut self,
        domain: DomainId,
        silent: bool,
        stamp_ms: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        let old = self.table.domains().get(&domain).copied();
        if self.table.merge_domain(domain, silent, stamp_ms) != MergeResult::Changed {
            return;
        }
        self.request_immediate_gossip();
        if silent {
            self.detector.suspend(domain);
            self.schedule_domain(domain, stamp_ms);
            return;
        }
        self.detector.resume(domain, stamp_ms);
        let was_effective =
            old.is_some_and(|old| stamp_ms >= old.stamp_ms + self.settings.refute_window_ms);
        if was_effective {
            self.notify_domain_change(domain, actions);
        }
    }

    /// Sends gossip without waiting for the interval, for changes that every gossip message
    /// contains, such as evidence about domains.
    pub(super) fn request_immediate_gossip(&mut self) {
        self.urgent_sends = self.settings.sends_per_item;
        self.has_new_gossip = true;
    }

    /// Schedules a suspicion of a member to take effect after the refutation window.
    fn schedule_member(&mut self, address: SocketAddrV4, stamp_ms: u64) {
        self.pending_suspicions.insert(PendingSuspicion {
            at_ms: stamp_ms + self.settings.refute_window_ms,
            subject: SuspicionSubject::Member(address),
        });
    }

    /// Schedules a suspicion of a domain to take effect after the refutation window.
    fn schedule_domain(&mut self, domain: DomainId, stamp_ms: u64) {
        self.pending_suspicions.insert(PendingSuspicion {
            at_ms: stamp_ms + self.settings.refute_window_ms,
            subject: SuspicionSubject::Domain(domain),
        });
    }

    pub(super) fn apply_due_suspicions(
        &mut self,
        now_ms: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        while let Some(pending) = self
            .pending_suspicions
            .first()
            .copied()
            .filter(|pending| pending.at_ms <= now_ms)
        {
            self.pending_suspicions.remove(&pending);
            match pending.subject {
                SuspicionSubject::Member(address) => {
                    let member = self.table.get(address).copied();
                    if let Some(member) = member.filter(|m| !self.table.is_live(m, now_ms)) {
                        self.notify_member_change(&member, actions);
                    }
                }
                SuspicionSubject::Domain(domain) => {
                    if self.table.is_domain_unresponsive(domain) {
                        self.notify_domain_change(domain, actions);
                    }
                }
            }
        }
    }

    /// Reports that a member entered or left placement.
    pub(super) fn notify_member_change(
        &mut self,
        member: &Member,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.view_version += 1;
        if let Some(service) = member.record.service() {
            actions.push(MembershipAction::AgentsChanged { service });
            return;
        }
        self.are_peers_outdated = true;
        actions.push(MembershipAction::BalancersChanged);
    }

    /// Reports that the members of a domain entered or left placement.
    pub(super) fn notify_domain_change(
        &mut self,
        domain: DomainId,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.view_version += 1;
        self.are_peers_outdated = true;
        actions.push(MembershipAction::BalancersChanged);
        let services = self.table.services_in(domain).into_iter();
        actions.extend(services.map(|service| MembershipAction::AgentsChanged { service }));
    }
}
