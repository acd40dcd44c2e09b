use super::{
    member::MemberRecord,
    messages::{
        Action, MESSAGE_LIMIT_BYTES, MembershipMessage, Snapshot, SnapshotMember, encoded_bytes,
    },
    state::{Membership, probe},
};
use crate::context::Context;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// The time without news before two views that differ are compared.
const QUIET_MS: u64 = 2_000;

/// The time between two probes of a member on which views contradict each other.
const CONTRADICTION_PROBE_MS: u64 = 500;

/// How many probes such a member may leave unanswered.
const CONTRADICTION_PROBES: u8 = 3;

/// The members of which another balancer says, not from fresh evidence, that they are silent.
#[derive(Clone, Debug, Default)]
pub struct Contradictions {
    open: BTreeMap<SocketAddrV4, Probing>,
    next_probe_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Probing {
    sent: u8,
    next_ms: u64,
}

impl Contradictions {
    /// Notes a contradiction, to be settled by a probe.
    pub fn add(&mut self, member: SocketAddrV4) {
        self.open.entry(member).or_default();
    }

    /// Notes that a member gave a sign of life or that there is fresh evidence.
    pub fn resolve(&mut self, member: SocketAddrV4) {
        self.open.remove(&member);
    }

    fn next(&self, now_ms: u64) -> Option<SocketAddrV4> {
        let is_due = |(_, probing): &(_, &Probing)| probing.next_ms <= now_ms;
        self.open.iter().find(is_due).map(|(member, _)| *member)
    }
}

impl Membership {
    /// Probes the members on which views contradict each other, at a bounded rate.
    pub(super) fn probe_contradictions(&mut self, ctx: &mut Context, actions: &mut Vec<Action>) {
        if ctx.now_ms < self.contradictions.next_probe_ms {
            return;
        }
        let Some(member) = self.contradictions.next(ctx.now_ms) else {
            return;
        };
        self.contradictions.next_probe_ms = ctx.now_ms + 1_000 / self.settings.probes_per_s;
        let probing = self.contradictions.open.entry(member).or_default();
        probing.sent += 1;
        probing.next_ms = ctx.now_ms + CONTRADICTION_PROBE_MS;
        if probing.sent <= CONTRADICTION_PROBES {
            actions.push(probe(member));
            return;
        }
        self.contradictions.resolve(member);
        if let Some(run) = self.table.get(member).map(|m| m.record.run_check()) {
            self.take_evidence(member, run, true, ctx.now_ms, ctx, actions);
        }
    }

    /// Asks a peer to compare views if they have differed for a while.
    pub(super) fn compare_digests(
        &mut self,
        from: SocketAddrV4,
        digest: u32,
        ctx: &Context,
        actions: &mut Vec<Action>,
    ) {
        let is_quiet = ctx.now_ms >= self.last_news_ms + QUIET_MS;
        if digest == self.table.digest() || !is_quiet || ctx.now_ms < self.next_sync_ms {
            return;
        }
        if !self.budget.is_open(ctx.now_ms) {
            return;
        }
        self.next_sync_ms = ctx.now_ms + self.settings.sync_interval_ms;
        self.counters.syncs += 1;
        let digests = self.table.digests();
        self.send_counted(from, MembershipMessage::Buckets { digests }, actions);
    }

    /// Answers a comparison with the records of buckets that differ, as many as fit a datagram.
    pub(super) fn on_buckets(
        &mut self,
        from: SocketAddrV4,
        digests: &[[u8; 2]],
        actions: &mut Vec<Action>,
    ) {
        let own = self.table.digests();
        let differing = own
            .iter()
            .zip(digests)
            .enumerate()
            .filter(|(_, (own, other))| own != other)
            .map(|(bucket, _)| bucket as u8)
            .collect();
        self.send_buckets(from, differing, true, actions);
    }

    /// Merges a peer's records and answers with what it lacks.
    pub(super) fn on_bucket_records(
        &mut self,
        reply_to: Option<SocketAddrV4>,
        buckets: &[u8],
        records: &[MemberRecord],
        ctx: &mut Context,
        actions: &mut Vec<Action>,
    ) {
        let buckets: BTreeSet<u8> = buckets.iter().copied().collect();
        let theirs: BTreeMap<SocketAddrV4, MemberRecord> = records
            .iter()
            .map(|record| (record.address, *record))
            .collect();
        for record in records {
            self.take_synced(record, ctx, actions);
        }
        let Some(to) = reply_to else {
            return;
        };
        let lacking: Vec<MemberRecord> = self
            .table
            .in_buckets(&buckets)
            .map(|member| member.record)
            .filter(|record| {
                let known = theirs.get(&record.address);
                known.is_none_or(|known| known.order() < record.order())
            })
            .collect();
        if lacking.is_empty() {
            return;
        }
        let message = MembershipMessage::BucketRecords {
            buckets: Vec::new(),
            records: lacking,
            wants_reply: false,
        };
        self.send_counted(to, message, actions);
    }

    fn take_synced(&mut self, record: &MemberRecord, ctx: &mut Context, actions: &mut Vec<Action>) {
        let is_contradicted = self
            .table
            .get(record.address)
            .is_some_and(|member| member.silent && member.record.order() == record.order());
        if is_contradicted {
            self.contradictions.add(record.address);
        } else {
            self.take_record(*record, ctx, actions);
        }
    }

    fn send_buckets(
        &mut self,
        to: SocketAddrV4,
        mut buckets: BTreeSet<u8>,
        wants_reply: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut records: Vec<MemberRecord> = self
            .table
            .in_buckets(&buckets)
            .map(|member| member.record)
            .collect();
        while records.iter().map(encoded_bytes).sum::<usize>() + buckets.len() > MESSAGE_LIMIT_BYTES
        {
            let Some(dropped) = buckets.pop_last() else {
                break;
            };
            records.retain(|record| super::table::bucket_of(record) != dropped);
        }
        if buckets.is_empty() {
            return;
        }
        let message = MembershipMessage::BucketRecords {
            buckets: buckets.into_iter().collect(),
            records,
            wants_reply,
        };
        self.send_counted(to, message, actions);
    }

    fn send_counted(
        &mut self,
        to: SocketAddrV4,
        message: MembershipMessage,
        actions: &mut Vec<Action>,
    ) {
        self.budget.spend(message.network_bytes());
        actions.push(Action::Send { to, message });
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
            self.take_domain(evidence.domain, evidence.silent, stamp_ms, &mut actions);
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
                self.announce_change(&member, actions);
            }
        } else {
            self.take_record(record, ctx, actions);
        }
        let Some(silent_ms) = member.silent_ms else {
            return;
        };
        let stamp_ms = ctx.now_ms.saturating_sub(silent_ms);
        self.table
            .merge_evidence(record.address, record.run_check(), true, stamp_ms);
    }
}
