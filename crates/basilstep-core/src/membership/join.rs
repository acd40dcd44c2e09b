use super::{
    messages::{Action, Snapshot, SnapshotMember},
    state::{Membership, probe},
};
use crate::{
    address::{BalancerAddress, DomainId},
    context::Context,
};
use rand::RngExt;
use std::net::SocketAddrV4;

/// The time between two probes of each silent domain.
pub(super) const SILENT_DOMAIN_PROBE_INTERVAL_MS: u64 = 5_000;

/// The time between two attempts to get a snapshot.
const SNAPSHOT_RETRY_MS: u64 = 3_000;

/// The time between two snapshots while they still bring many members.
const SNAPSHOT_INTERVAL_MS: u64 = 500;

/// A peer that knows more members by this share, one in so many, is asked for a snapshot.
const FAR_BEHIND_DIVISOR: usize = 100;

impl Membership {
    pub(super) fn finish_join(&mut self) {
        self.needs_snapshot = false;
    }

    /// Tells whether this balancer has joined lately and still learns most by snapshots.
    pub(super) fn is_incomplete(&self, now_ms: u64) -> bool {
        let is_fetching = now_ms < self.next_snapshot_ms + SNAPSHOT_RETRY_MS;
        self.is_settling(now_ms) && (self.needs_snapshot || is_fetching)
    }

    /// Tells whether a peer that knows `members` has clearly more than a view that is new.
    pub(super) fn is_far_behind(&self, members: u32, now_ms: u64) -> bool {
        let known = self.member_count();
        self.is_settling(now_ms) && members as usize > known + known / FAR_BEHIND_DIVISOR
    }

    /// Gets a peer's whole view, at a bounded rate: when all join at once, what a balancer knows
    /// doubles with each snapshot.
    pub(super) fn fetch_snapshot_from(
        &mut self,
        from: SocketAddrV4,
        ctx: &Context,
        actions: &mut Vec<Action>,
    ) {
        if ctx.now_ms < self.next_snapshot_ms {
            return;
        }
        self.next_snapshot_ms = ctx.now_ms + SNAPSHOT_INTERVAL_MS;
        let from = BalancerAddress(from);
        actions.push(Action::FetchSnapshot { from });
    }

    pub(super) fn request_snapshot(&mut self, ctx: &mut Context, actions: &mut Vec<Action>) {
        if !self.needs_snapshot || ctx.now_ms < self.next_snapshot_ms {
            return;
        }
        self.next_snapshot_ms = ctx.now_ms + SNAPSHOT_RETRY_MS;
        match self.random_peer(ctx) {
            Some(peer) => actions.push(Action::FetchSnapshot {
                from: BalancerAddress(peer),
            }),
            None if !self.is_settling(ctx.now_ms) => self.needs_snapshot = false,
            None => {}
        }
    }

    /// Probes a random member of each silent domain: after a cut both sides take each other to be
    /// silent, and nobody else would send the first datagram.
    pub(super) fn probe_silent_domains(&mut self, ctx: &mut Context, actions: &mut Vec<Action>) {
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

    /// Returns the whole view for a balancer that joins.
    pub fn snapshot(&self, now_ms: u64) -> Snapshot {
        let members = self.table.members().values().map(|member| SnapshotMember {
            record: member.record,
            silent_ms: member
                .silent
                .then(|| now_ms.saturating_sub(member.stamp_ms)),
        });
        Snapshot {
            members: members.collect(),
            domains: self.domain_evidence(now_ms),
            settings_version: self.settings_version,
        }
    }

    /// Merges the view of a peer.
    ///
    /// What arrived while the snapshot was under way was merged at once: the merge keeps the
    /// greatest state of each member, so nothing has to be held back and applied afterwards.
    pub fn merge_snapshot(&mut self, snapshot: &Snapshot, ctx: &mut Context) -> Vec<Action> {
        let mut actions = Vec::new();
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

    fn merge_snapshot_member(
        &mut self,
        member: &SnapshotMember,
        ctx: &mut Context,
        actions: &mut Vec<Action>,
    ) {
        let record = member.record;
        let is_unknown = self.table.get(record.address).is_none();
        if is_unknown {
            // No stamp: the evidence about the member's domain in the snapshot is newer.
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
