use super::{
    messages::{MembershipAction, MembershipSnapshot, SnapshotMember},
    probes::{SILENT_DOMAIN_PROBE_INTERVAL_MS, probe},
    state::Membership,
};
use crate::{
    address::{BalancerAddress, DomainId},
    context::Context,
};
use rand::RngExt;
use std::{collections::BTreeSet, net::SocketAddrV4};

/// The time between two attempts to fetch a snapshot.
const SNAPSHOT_RETRY_MS: u64 = 3_000;

/// The minimum time between two snapshots while they still bring many members.
const SNAPSHOT_INTERVAL_MS: u64 = 500;

/// A snapshot is fetched from a peer that knows more members by over one part in this number.
const FAR_BEHIND_DIVISOR: usize = 100;

impl Membership {
    pub(super) fn finish_join(&mut self) {
        self.needs_snapshot = false;
    }

    /// Returns whether this balancer joined recently and still learns most members from snapshots.
    pub(super) fn is_incomplete(&self, now_ms: u64) -> bool {
        let is_fetching = now_ms < self.next_snapshot_ms + SNAPSHOT_RETRY_MS;
        self.is_settling(now_ms) && (self.needs_snapshot || is_fetching)
    }

    /// Returns whether this view is new and a peer that knows `members` members knows clearly more.
    pub(super) fn is_far_behind(&self, members: u32, now_ms: u64) -> bool {
        let known = self.member_count();
        self.is_settling(now_ms) && members as usize > known + known / FAR_BEHIND_DIVISOR
    }

    /// Fetches a peer's whole view at a limited rate; when all balancers join at once, the number
    /// of members that a balancer knows doubles with each snapshot.
    pub(super) fn fetch_snapshot_from(
        &mut self,
        from: SocketAddrV4,
        ctx: &Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        if ctx.now_ms < self.next_snapshot_ms {
            return;
        }
        self.next_snapshot_ms = ctx.now_ms + SNAPSHOT_INTERVAL_MS;
        let from = BalancerAddress(from);
        actions.push(MembershipAction::FetchSnapshot { from });
    }

    pub(super) fn request_snapshot(
        &mut self,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        if !self.needs_snapshot || ctx.now_ms < self.next_snapshot_ms {
            return;
        }
        self.next_snapshot_ms = ctx.now_ms + SNAPSHOT_RETRY_MS;
        match self.random_peer(ctx) {
            Some(peer) => actions.push(MembershipAction::FetchSnapshot {
                from: BalancerAddress(peer),
            }),
            None if !self.is_settling(ctx.now_ms) => self.needs_snapshot = false,
            None => {}
        }
    }

    /// Probes a random balancer of each silent domain: after a network partition both sides
    /// consider each other silent, and nothing else would send the first datagram.
    pub(super) fn probe_unresponsive_domains(
        &mut self,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        if ctx.now_ms < self.next_silent_domain_probe_ms {
            return;
        }
        self.next_silent_domain_probe_ms = ctx.now_ms + SILENT_DOMAIN_PROBE_INTERVAL_MS;
        let silent = self.table.domains().iter();
        let silent: Vec<DomainId> = silent
            .filter(|(_, status)| status.silent)
            .map(|(domain, _)| *domain)
            .collect();
        for domain in silent {
            let members = self.table.balancers_in(domain);
            if !members.is_empty() {
                let index = ctx.rng.random_range(0..members.len());
                actions.push(probe(members[index]));
            }
        }
    }

    /// Returns the whole view for a balancer that joins; `None` while the view is kept back after a
    /// pause, until a peer's view has been merged.
    pub fn snapshot(&self, now_ms: u64) -> Option<MembershipSnapshot> {
        if self.has_stale_view(now_ms) {
            return None;
        }
        let members = self.table.members().values().map(|member| SnapshotMember {
            record: member.record,
            silent_ms: member
                .silent
                .then(|| now_ms.saturating_sub(member.stamp_ms)),
        });
        Some(MembershipSnapshot {
            members: members.collect(),
            domains: self.domain_evidence(now_ms),
            settings_version: self.settings_version,
        })
    }

    /// Merges the whole view of a peer.
    ///
    /// Messages that arrive while the snapshot is being fetched are merged at once: a merge keeps
    /// the greatest state of each member, so they need not be held back until the snapshot is
    /// merged.
    pub fn merge_snapshot(
        &mut self,
        snapshot: &MembershipSnapshot,
        ctx: &mut Context,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        // The first view after a pause may arrive later than the view is kept back.
        if std::mem::take(&mut self.stale_view_until_ms) > 0 {
            self.contradict_unknown_members(snapshot, ctx);
        }
        for member in &snapshot.members {
            self.merge_snapshot_member(member, ctx, &mut actions);
        }
        for evidence in &snapshot.domains {
            let stamp_ms = evidence.stamp_ms(ctx.now_ms);
            self.merge_and_spread_domain(evidence.domain, evidence.silent, stamp_ms, &mut actions);
        }
        self.finish_join();
        actions
    }

    /// Has members probed that the peer does not know: they may have left during the pause, and the
    /// balancers that knew of it may have restarted. Nobody watches such a member.
    fn contradict_unknown_members(&mut self, snapshot: &MembershipSnapshot, ctx: &mut Context) {
        let known: BTreeSet<SocketAddrV4> = snapshot
            .members
            .iter()
            .map(|member| member.record.address)
            .collect();
        let own = self.own_record().address;
        let unknown: Vec<SocketAddrV4> = self
            .table
            .members()
            .values()
            .filter(|member| self.table.is_live(member, ctx.now_ms))
            .map(|member| member.record.address)
            .filter(|address| *address != own && !known.contains(address))
            .collect();
        for address in unknown {
            self.contradictions.add(address, ctx);
        }
    }

    fn merge_snapshot_member(
        &mut self,
        member: &SnapshotMember,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let record = member.record;
        let is_unknown = self.table.get(record.address).is_none();
        if is_unknown {
            // The time 0 makes the snapshot's evidence about the member's domain newer than the
            // record.
            self.table.merge_record(record, 0);
            if let Some(member) = self.table.get(record.address).copied() {
                self.notify_member_change(&member, actions);
            }
        } else {
            self.merge_and_spread_record(record, ctx, actions);
        }
        let Some(silent_ms) = member.silent_ms else {
            return;
        };
        let stamp_ms = ctx.now_ms.saturating_sub(silent_ms);
        self.table
            .merge_evidence(record.address, record.state_checksum(), true, stamp_ms);
    }
}
