use super::{
    gossip::RumourKind,
    member::{MemberRecord, RunCheck},
    messages::Action,
    state::Membership,
    table::{Member, Merged},
};
use crate::{address::DomainId, context::Context};
use std::net::SocketAddrV4;

/// A suspicion whose window for refutations ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Due {
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
    pub(super) fn take_record(
        &mut self,
        record: MemberRecord,
        ctx: &mut Context,
        actions: &mut Vec<Action>,
    ) {
        match self.learn_record(record, ctx, actions) {
            Merged::News => self.start_rumour(record.address, RumourKind::Record, ctx),
            Merged::Known => {}
            Merged::Outdated | Merged::Unknown => self.counters.outdated += 1,
        }
    }

    /// Merges a record without passing it on.
    pub(super) fn learn_record(
        &mut self,
        record: MemberRecord,
        ctx: &mut Context,
        actions: &mut Vec<Action>,
    ) -> Merged {
        if record.address == self.own_record().address {
            return Merged::Outdated;
        }
        let merged = self.table.merge_record(record, ctx.now_ms);
        if merged == Merged::News {
            self.last_news_ms = ctx.now_ms;
            if let Some(member) = self.table.get(record.address).copied() {
                self.announce_change(&member, actions);
            }
        }
        merged
    }

    /// Merges evidence about a member and passes it on if it is news.
    pub(super) fn take_evidence(
        &mut self,
        address: SocketAddrV4,
        run: RunCheck,
        silent: bool,
        stamp_ms: u64,
        ctx: &mut Context,
        actions: &mut Vec<Action>,
    ) {
        let before = self.table.get(address).copied();
        let was_live = before.is_some_and(|member| self.table.is_live(&member, ctx.now_ms));
        match self.table.merge_evidence(address, run, silent, stamp_ms) {
            Merged::News => {
                self.last_news_ms = ctx.now_ms;
                self.contradictions.resolve(address);
                self.start_rumour(address, RumourKind::Evidence, ctx);
                if silent {
                    self.schedule_member(address, stamp_ms);
                }
                if let Some(member) = self.table.get(address).copied()
                    && !silent
                    && !was_live
                {
                    self.announce_change(&member, actions);
                }
            }
            Merged::Known => {}
            Merged::Outdated | Merged::Unknown => self.counters.outdated += 1,
        }
    }

    /// Merges evidence about a domain and passes it on if it is news.
    pub(super) fn take_domain(
        &mut self,
        domain: DomainId,
        silent: bool,
        stamp_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let old = self.table.domains().get(&domain).copied();
        if self.table.merge_domain(domain, silent, stamp_ms) != Merged::News {
            return;
        }
        self.hurry();
        if silent {
            self.watch.suspend(domain);
            self.schedule_domain(domain, stamp_ms);
            return;
        }
        self.watch.resume(domain, stamp_ms);
        let was_in_force =
            old.is_some_and(|old| stamp_ms >= old.stamp_ms + self.settings.refute_window_ms);
        if was_in_force {
            self.announce_domain_change(domain, actions);
        }
    }

    /// Sends gossip now, for what every datagram of gossip tells.
    pub(super) fn hurry(&mut self) {
        self.urgent_sends = self.settings.sends_per_item;
        self.has_fresh_news = true;
    }

    /// Notes that a suspicion takes effect when its window for refutations is over.
    fn schedule_member(&mut self, address: SocketAddrV4, stamp_ms: u64) {
        self.due.insert(Due {
            at_ms: stamp_ms + self.settings.refute_window_ms,
            subject: Subject::Member(address),
        });
    }

    /// Notes that a suspicion of a domain takes effect when its window is over.
    fn schedule_domain(&mut self, domain: DomainId, stamp_ms: u64) {
        self.due.insert(Due {
            at_ms: stamp_ms + self.settings.refute_window_ms,
            subject: Subject::Domain(domain),
        });
    }

    pub(super) fn settle_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        while let Some(due) = self.due.first().copied().filter(|due| due.at_ms <= now_ms) {
            self.due.remove(&due);
            match due.subject {
                Subject::Member(address) => {
                    let member = self.table.get(address).copied();
                    if let Some(member) = member.filter(|m| !self.table.is_live(m, now_ms)) {
                        self.announce_change(&member, actions);
                    }
                }
                Subject::Domain(domain) => {
                    if self.table.is_domain_silent(domain) {
                        self.announce_domain_change(domain, actions);
                    }
                }
            }
        }
    }

    /// Tells the shell that a member came into or fell out of placement.
    pub(super) fn announce_change(&mut self, member: &Member, actions: &mut Vec<Action>) {
        self.view_version += 1;
        if let Some(service) = member.record.service() {
            actions.push(Action::AgentsChanged { service });
            return;
        }
        self.are_peers_outdated = true;
        actions.push(Action::BalancersChanged);
    }

    /// Tells the shell that a whole domain came into or fell out of placement.
    pub(super) fn announce_domain_change(&mut self, domain: DomainId, actions: &mut Vec<Action>) {
        self.view_version += 1;
        self.are_peers_outdated = true;
        actions.push(Action::BalancersChanged);
        let services = self.table.services_in(domain).into_iter();
        actions.extend(services.map(|service| Action::AgentsChanged { service }));
    }
}
