use super::{
    dissemination::evidence,
    member::{MemberRecord, StateHash},
    member_table::bucket_of,
    messages::{BucketStates, Gossip, MembershipAction, MembershipMessage, ViewDifference},
    probes::{UNANSWERED_PROBE_MS, probe},
    state::Membership,
};
use crate::context::Context;
use rand::RngExt;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// How long a view must not have changed before it is compared with a peer's view that differs.
const VIEW_QUIET_MS: u64 = 700;

/// The time between two probes of a member about which views contradict each other.
const CONTRADICTION_PROBE_INTERVAL_MS: u64 = 500;

/// The number of probes that a member about which views contradict each other may leave unanswered.
const MAX_CONTRADICTION_PROBES: u8 = 3;

/// The maximum number of states in one datagram.
const MAX_STATES_PER_DATAGRAM: usize = 220;

impl Membership {
    /// Probes the members about which views contradict each other, at a limited rate.
    pub(super) fn probe_contradictions(
        &mut self,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        if ctx.now_ms < self.contradictions.next_probe_ms {
            return;
        }
        let Some(member) = self.contradictions.next(ctx.now_ms) else {
            return;
        };
        self.contradictions.next_probe_ms = ctx.now_ms + 1_000 / self.settings.probes_per_s;
        let probing = self.contradictions.open.entry(member).or_default();
        probing.sent += 1;
        probing.next_ms = ctx.now_ms + CONTRADICTION_PROBE_INTERVAL_MS;
        if probing.sent <= MAX_CONTRADICTION_PROBES {
            actions.push(probe(member));
            return;
        }
        self.contradictions.resolve(member);
        if let Some(state_checksum) = self.table.get(member).map(|m| m.record.state_checksum()) {
            let stamp_ms = ctx.now_ms - UNANSWERED_PROBE_MS;
            self.merge_and_spread_evidence(member, state_checksum, true, stamp_ms, ctx, actions);
        }
    }

    /// Asks a peer to compare views if the views differ and this one has not changed for a while.
    pub(super) fn compare_views(
        &mut self,
        from: SocketAddrV4,
        gossip: &Gossip,
        ctx: &Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_quiet = ctx.now_ms >= self.last_change_ms + VIEW_QUIET_MS;
        if gossip.digest == self.table.digest() || self.has_stale_view(ctx.now_ms) {
            return;
        }
        if self.is_far_behind(gossip.members, ctx.now_ms) {
            self.fetch_snapshot_from(from, ctx, actions);
            return;
        }
        if !is_quiet || ctx.now_ms < self.next_sync_ms {
            return;
        }
        if !self.budget.has_credit(ctx.now_ms) {
            return;
        }
        let interval_ms = if self.is_settling(ctx.now_ms) {
            self.settings.settling_sync_interval_ms
        } else {
            self.settings.sync_interval_ms
        };
        self.next_sync_ms = ctx.now_ms + interval_ms;
        self.counters.syncs += 1;
        let digests = self.table.bucket_digests();
        self.send_counted(from, MembershipMessage::BucketDigests { digests }, actions);
    }

    /// Answers a comparison with the states in buckets that differ, as far as the budget allows.
    pub(super) fn on_bucket_digests(
        &mut self,
        from: SocketAddrV4,
        digests: &[[u8; 2]],
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.has_stale_view(ctx.now_ms) {
            return;
        }
        let own = self.table.bucket_digests();
        let pairs = own.iter().zip(digests).enumerate();
        let mut differing: Vec<u8> = pairs
            .filter(|(_, (own, other))| own != other)
            .map(|(bucket, _)| bucket as u8)
            .collect();
        if differing.is_empty() {
            return;
        }
        let first = ctx.rng.random_range(0..differing.len());
        differing.rotate_left(first);
        let mut states = self.states_by_bucket(&differing);
        let mut answer = BucketStates::default();
        for bucket in differing {
            let in_bucket = states.remove(&bucket).unwrap_or_default();
            if answer.states.len() + in_bucket.len() > MAX_STATES_PER_DATAGRAM {
                let full = std::mem::take(&mut answer);
                self.send_counted(from, MembershipMessage::BucketStates(full), actions);
                if !self.budget.has_credit(ctx.now_ms) {
                    return;
                }
            }
            answer.buckets.push(bucket);
            answer.states.extend(in_bucket);
        }
        self.send_counted(from, MembershipMessage::BucketStates(answer), actions);
    }

    fn states_by_bucket(&self, buckets: &[u8]) -> BTreeMap<u8, Vec<StateHash>> {
        let wanted: BTreeSet<u8> = buckets.iter().copied().collect();
        let mut states: BTreeMap<u8, Vec<StateHash>> = BTreeMap::new();
        for member in self.table.members_in_buckets(&wanted) {
            let bucket = bucket_of(&member.record);
            states
                .entry(bucket)
                .or_default()
                .push(member.record.state_hash());
        }
        states
    }

    /// Answers a peer's states with the records that the peer lacks and a request for those that
    /// this side lacks.
    pub(super) fn on_bucket_states(
        &mut self,
        from: SocketAddrV4,
        theirs: &BucketStates,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let buckets: BTreeSet<u8> = theirs.buckets.iter().copied().collect();
        let their_states: BTreeSet<StateHash> = theirs.states.iter().copied().collect();
        let own = self
            .table
            .members_in_buckets(&buckets)
            .map(|member| member.record);
        let own: BTreeMap<StateHash, MemberRecord> =
            own.map(|record| (record.state_hash(), record)).collect();
        let mut difference = ViewDifference::default();
        for (state, record) in &own {
            if !their_states.contains(state) {
                difference.records.push(*record);
            }
        }
        for state in their_states {
            match self.table.find_by_state(state) {
                None => difference.wanted.push(state),
                Some(member) if !own.contains_key(&state) => {
                    difference.evidence.push(evidence(member, ctx.now_ms));
                }
                Some(_) => {}
            }
        }
        self.send_difference(from, difference, ctx, actions);
    }

    /// Merges what this side lacked and answers with what the peer requested.
    pub(super) fn on_difference(
        &mut self,
        from: SocketAddrV4,
        difference: &ViewDifference,
        ctx: &mut Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut answer = ViewDifference::default();
        for record in &difference.records {
            self.merge_record(*record, ctx, actions);
            let Some(member) = self.table.get(record.address) else {
                continue;
            };
            if member.record.recency() > record.recency() {
                answer.records.push(member.record);
            } else if member.silent {
                answer.evidence.push(evidence(member, ctx.now_ms));
            }
        }
        for item in &difference.evidence {
            self.on_member_evidence(*item, ctx, actions);
        }
        for state in &difference.wanted {
            answer
                .records
                .extend(self.table.find_by_state(*state).map(|member| member.record));
        }
        self.send_difference(from, answer, ctx, actions);
    }

    fn send_difference(
        &mut self,
        to: SocketAddrV4,
        mut difference: ViewDifference,
        ctx: &Context,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.has_stale_view(ctx.now_ms) {
            return;
        }
        while !difference.is_empty() && self.budget.has_credit(ctx.now_ms) {
            let part = difference.split_off_datagram();
            self.send_counted(to, MembershipMessage::Difference(part), actions);
        }
    }

    fn send_counted(
        &mut self,
        to: SocketAddrV4,
        message: MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.budget.spend(message.network_bytes());
        actions.push(MembershipAction::Send { to, message });
    }
}
