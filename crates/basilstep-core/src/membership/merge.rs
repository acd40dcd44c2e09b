use super::{
    gossip::GossipItemKind,
    member::{MemberRecord, StateChecksum},
    member_table::{Member, MergeOutcome},
    messages::Action,
    state::Membership,
};
use crate::{address::DomainId, context::Context};
use std::net::SocketAddrV4;

/// A suspicion whose window for refutations ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PendingSuspicion {
    /// When it ends.
    pub at_ms: u64,
    /// Whom it concerns.
    pub subject: Subject,
}

/// Whom a suspicion concerns.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// One member.
    Member(SocketAddrV4),
    /// A whole domain.
    Domain(DomainId),
}

impl Membership {
    /// Merges a record and passes it on if it is news.
    pub(super) fn merge_and_spread_record(
        &mut self,
        record: MemberRecord,
        ctx: &mut Context,
        actions: &mut Vec<Action>,
    ) {
        match self.merge_record(record, ctx, actions) {
            MergeOutcome::Changed => {
                self.enqueue_gossip(record.address, GossipItemKind::Record, ctx)
            }
            MergeOutcome::Unchanged => {}
            MergeOutcome::Outdated | MergeOutcome::Unknown => self.counters.outdated += 1,
        }
    }

    /// Merges a record without passing it on.
    pub(super) fn merge_record(
        &mut self,
        record: MemberRecord,
        ctx: &mut Context,
        actions: &mut Vec<Action>,
    ) -> MergeOutcome {
        if record.address == self.own_record().address {
            return MergeOutcome::Outdated;
        }
        let merged = self.table.merge_record(record, ctx.now_ms);
        if merged == MergeOutcome::Changed {
            self.last_change_ms = ctx.now_ms;
            if let Some(member) = self.table.get(record.address).copied() {
                self.notify_member_change(&member, actions);
            }
        }
        merged
    }

    /// Merges evidence about a member and passes it on if it is news.
    pub(super) fn merge_and_spread_evidence(
        &mut self,
        address: SocketAddrV4,
        state_checksum: StateChecksum,
        silent: bool,
        stamp_ms: u64,
        ctx: &mut Context,
        actions: &mut Vec<Action>,
    ) {
        let before = self.table.get(address).copied();
        let was_live = before.is_some_and(|member| self.table.is_live(&member, ctx.now_ms));
        match self
            .table
            .merge_evidence(address, state_checksum, silent, stamp_ms)
        {
            MergeOutcome::Changed => {
                self.last_change_ms = ctx.now_ms;
                self.contradictions.resolve(address);
                self.enqueue_gossip(address, GossipItemKind::Evidence, ctx);
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
            MergeOutcome::Unchanged => {}
            MergeOutcome::Outdated | MergeOutcome::Unknown => self.counters.outdated += 1,
        }
    }

    /// Merges evidence about a domain and passes it on if it is news.
    pub(super) fn merge_and_spread_domain(
        &mut self,
        domain: DomainId,
        silent: bool,
        stamp_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let old = self.table.domains().get(&domain).copied();
        if self.table.merge_domain(domain, silent, stamp_ms) != MergeOutcome::Changed {
            return;
        }
        self.request_immediate_gossip();
        if silent {
            self.detector.suspend(domain);
            self.schedule_domain(domain, stamp_ms);
            return;
        }
        self.detector.resume(domain, stamp_ms);
        let was_in_force =
            old.is_some_and(|old| stamp_ms >= old.stamp_ms + self.settings.refute_window_ms);
        if was_in_force {
            self.notify_domain_change(domain, actions);
        }
    }

    /// Sends gossip now, for what every datagram of gossip tells.
    pub(super) fn request_immediate_gossip(&mut self) {
        self.urgent_sends = self.settings.sends_per_item;
        self.has_new_gossip = true;
    }

    /// Notes that a suspicion takes effect when its window for refutations is over.
    fn schedule_member(&mut self, address: SocketAddrV4, stamp_ms: u64) {
        self.pending_suspicions.insert(PendingSuspicion {
            at_ms: stamp_ms + self.settings.refute_window_ms,
            subject: Subject::Member(address),
        });
    }

    /// Notes that a suspicion of a domain takes effect when its window is over.
    fn schedule_domain(&mut self, domain: DomainId, stamp_ms: u64) {
        self.pending_suspicions.insert(PendingSuspicion {
            at_ms: stamp_ms + self.settings.refute_window_ms,
            subject: Subject::Domain(domain),
        });
    }

    pub(super) fn apply_due_suspicions(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        while let Some(pending) = self
            .pending_suspicions
            .first()
            .copied()
            .filter(|pending| pending.at_ms <= now_ms)
        {
            self.pending_suspicions.remove(&pending);
            match pending.subject {
                Subject::Member(address) => {
                    let member = self.table.get(address).copied();
                    if let Some(member) = member.filter(|m| !self.table.is_live(m, now_ms)) {
                        self.notify_member_change(&member, actions);
                    }
                }
                Subject::Domain(domain) => {
                    if self.table.is_domain_silent(domain) {
                        self.notify_domain_change(domain, actions);
                    }
                }
            }
        }
    }

    /// Tells the shell that a member came into or fell out of placement.
    pub(super) fn notify_member_change(&mut self, member: &Member, actions: &mut Vec<Action>) {
        self.view_version += 1;
        if let Some(service) = member.record.service() {
            actions.push(Action::AgentsChanged { service });
            return;
        }
        self.are_peers_outdated = true;
        actions.push(Action::BalancersChanged);
    }

    /// Tells the shell that a whole domain came into or fell out of placement.
    pub(super) fn notify_domain_change(&mut self, domain: DomainId, actions: &mut Vec<Action>) {
        self.view_version += 1;
        self.are_peers_outdated = true;
        actions.push(Action::BalancersChanged);
        let services = self.table.services_in(domain).into_iter();
        actions.extend(services.map(|service| Action::AgentsChanged { service }));
    }
}
