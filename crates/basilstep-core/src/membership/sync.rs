use super::{
    member::MemberRecord,
    messages::{Action, BucketRecords, MembershipMessage, Snapshot, SnapshotMember},
    state::{Membership, SILENCE_LAG_MS, probe},
};
use crate::context::Context;
use rand::RngExt;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// The time without news before two views that differ are compared.
const QUIET_MS: u64 = 700;

/// The time between two probes of a member on which views contradict each other.
const CONTRADICTION_PROBE_MS: u64 = 500;

/// How many probes such a member may leave unanswered.
const CONTRADICTION_PROBES: u8 = 3;

/// How many records go into one datagram.
const RECORDS_A_DATAGRAM: usize = 40;

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

    /// Notes that a member gave a sign of life or that there is fresh evidence; returns whether
    /// there was a contradiction.
    pub fn resolve(&mut self, member: SocketAddrV4) -> bool {
        self.open.remove(&member).is_some()
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
            let stamp_ms = ctx.now_ms - SILENCE_LAG_MS;
            self.take_evidence(member, run, true, stamp_ms, ctx, actions);
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
        let is_settling = self.is_settling(ctx.now_ms);
        let is_quiet = is_settling || ctx.now_ms >= self.last_news_ms + QUIET_MS;
        if digest == self.table.digest() || !is_quiet || ctx.now_ms < self.next_sync_ms {
            return;
        }
        if !self.budget.is_open(ctx.now_ms) {
            return;
        }
        let interval_ms = if is_settling {
            self.settings.gossip_interval_ms
        } else {
            self.settings.sync_interval_ms
        };
        self.next_sync_ms = ctx.now_ms + interval_ms;
        self.counters.syncs += 1;
        let digests = self.table.digests();
        self.send_counted(from, MembershipMessage::Buckets { digests }, actions);
    }

    /// Answers a comparison with the records of buckets that differ, as the budget allows.
    pub(super) fn on_buckets(
        &mut self,
        from: SocketAddrV4,
        digests: &[[u8; 2]],
        ctx: &mut Context,
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
        self.send_buckets(from, differing, ctx, actions);
    }

    /// Merges a peer's records and answers with what it lacks.
    pub(super) fn on_bucket_records(
        &mut self,
        from: SocketAddrV4,
        answer: &BucketRecords,
        ctx: &mut Context,
        actions: &mut Vec<Action>,
    ) {
        let BucketRecords {
            buckets,
            records,
            wants_reply,
        } = answer;
        let buckets: BTreeSet<u8> = buckets.iter().copied().collect();
        let theirs: BTreeMap<SocketAddrV4, MemberRecord> = records
            .iter()
            .map(|record| (record.address, *record))
            .collect();
        let mut contradicted = Vec::new();
        for record in records {
            if self.contradicts(record) {
                contradicted.push(record.address);
            } else {
                self.learn_record(*record, ctx, actions);
            }
        }
        if !contradicted.is_empty() {
            let gossip = self.evidence_of(&contradicted, ctx.now_ms);
            self.send_counted(from, MembershipMessage::Gossip(gossip), actions);
        }
        if !*wants_reply {
            return;
        }
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
        for records in lacking.chunks(RECORDS_A_DATAGRAM) {
            let answer = BucketRecords {
                buckets: Vec::new(),
                records: records.to_vec(),
                wants_reply: false,
            };
            self.send_counted(from, MembershipMessage::BucketRecords(answer), actions);
        }
    }

    /// Tells whether a record says that a member lives which is silent here in the same state.
    fn contradicts(&self, record: &MemberRecord) -> bool {
        self.table
            .get(record.address)
            .is_some_and(|member| member.silent && member.record.order() == record.order())
    }

    /// Sends the records of whole buckets, beginning with a random one.
    fn send_buckets(
        &mut self,
        to: SocketAddrV4,
        mut differing: Vec<u8>,
        ctx: &mut Context,
        actions: &mut Vec<Action>,
    ) {
        if differing.is_empty() {
            return;
        }
        let first = ctx.rng.random_range(0..differing.len());
        differing.rotate_left(first);
        let mut by_bucket: BTreeMap<u8, Vec<MemberRecord>> = differing
            .iter()
            .map(|bucket| (*bucket, Vec::new()))
            .collect();
        let wanted = differing.iter().copied().collect();
        for member in self.table.in_buckets(&wanted) {
            let bucket = super::table::bucket_of(&member.record);
            by_bucket.entry(bucket).or_default().push(member.record);
        }
        let mut answer = BucketRecords::default();
        for bucket in differing {
            let records = by_bucket.remove(&bucket).unwrap_or_default();
            if answer.records.len() + records.len() > RECORDS_A_DATAGRAM
                && !answer.buckets.is_empty()
            {
                let full = std::mem::take(&mut answer);
                self.send_counted(to, MembershipMessage::BucketRecords(full), actions);
                if !self.budget.is_open(ctx.now_ms) {
                    return;
                }
            }
            answer.wants_reply = true;
            answer.buckets.push(bucket);
            answer
                .records
                .extend(records.into_iter().take(RECORDS_A_DATAGRAM));
        }
        self.send_counted(to, MembershipMessage::BucketRecords(answer), actions);
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
