use super::{
    gossip::GossipKind,
    member_table::Member,
    messages::{
        DomainEvidence, Evidence, Gossip, MESSAGE_LIMIT_BYTES, MembershipAction, MembershipMessage,
        encoded_bytes,
    },
    state::Membership,
};
use crate::context::Context;
use std::net::SocketAddrV4;

/// How long gossip still includes a domain after it is no longer silent.
const DOMAIN_MENTION_MS: u64 = 60_000;

/// The duration of silence above which it is no longer spread by gossip.
const SILENCE_SPREAD_LIMIT_MS: u64 = 4_000;

/// What the length prefixes of longer lists add to an empty message.
const LIST_LENGTH_BYTES: usize = 2;

impl Membership {
    /// Enqueues a gossip item about a member.
    pub(super) fn enqueue_gossip(
        &mut self,
        member: SocketAddrV4,
        kind: GossipKind,
        ctx: &mut Context,
    ) {
        self.gossip_queue.enqueue(member, kind, &mut ctx.rng);
        self.has_new_gossip = true;
    }

    /// Returns how many times one item is sent; comparisons of views deliver what gossip missed.
    pub(super) fn sends_per_item(&self, now_ms: u64) -> u8 {
        let settings = &self.settings;
        if self.is_incomplete(now_ms) {
            settings.settling_sends_per_item
        } else if self.gossip_queue.is_long() {
            settings.busy_sends_per_item
        } else {
            settings.sends_per_item
        }
    }

    /// Sends the periodic gossip if it is due, and queued items as far as the budget allows.
    pub(super) fn gossip(&mut self, ctx: &mut Context, actions: &mut Vec<MembershipAction>) {
        if self.has_stale_view(ctx.now_ms) {
            return;
        }
        self.flush(ctx, actions);
        if ctx.now_ms >= self.next_gossip_ms {
            self.next_gossip_ms = ctx.now_ms + self.settings.gossip_interval_ms;
            self.send_gossip(ctx, actions);
        }
    }

    /// Sends new items at once if the queue is short; a long queue waits for the next tick, so that
    /// more items share a datagram.
    pub(super) fn flush_new(&mut self, ctx: &mut Context, actions: &mut Vec<MembershipAction>) {
        if std::mem::take(&mut self.has_new_gossip) && !self.gossip_queue.is_long() {
            self.flush(ctx, actions);
        }
    }

    /// Sends queued items to some peers at once, as far as the budget allows.
    pub(super) fn flush(&mut self, ctx: &mut Context, actions: &mut Vec<MembershipAction>) {
        if self.has_stale_view(ctx.now_ms) {
            return;
        }
        for _ in 0..self.settings.fanout {
            let has_items = !self.gossip_queue.is_empty() || self.urgent_sends > 0;
            if !has_items || !self.budget.has_credit(ctx.now_ms) {
                return;
            }
            self.send_gossip(ctx, actions);
        }
    }

    fn send_gossip(&mut self, ctx: &mut Context, actions: &mut Vec<MembershipAction>) {
        let Some(to) = self.random_peer(ctx) else {
            return;
        };
        let gossip = self.build_gossip(ctx.now_ms);
        self.urgent_sends = self.urgent_sends.saturating_sub(1);
        let message = MembershipMessage::Gossip(gossip);
        self.budget.spend(message.network_bytes());
        actions.push(MembershipAction::Send { to, message });
    }

    fn build_gossip(&mut self, now_ms: u64) -> Gossip {
        let mut gossip = self.empty_gossip(now_ms);
        let mut bytes = encoded_bytes(&gossip) + LIST_LENGTH_BYTES;
        let mut sent = Vec::new();
        let mut stale = Vec::new();
        let may_send_items = self.budget.has_credit(now_ms);
        for (address, kind) in self
            .gossip_queue
            .in_send_order()
            .take_while(|_| may_send_items)
        {
            let Some(member) = self.table.get(address).filter(|m| is_recent(m, now_ms)) else {
                stale.push(address);
                continue;
            };
            let evidence = evidence(member, now_ms);
            let is_record = kind == GossipKind::Record && !member.silent;
            bytes += if is_record {
                encoded_bytes(&member.record)
            } else {
                encoded_bytes(&evidence)
            };
            if bytes > MESSAGE_LIMIT_BYTES {
                break;
            }
            if is_record {
                gossip.records.push(member.record);
            } else {
                gossip.evidence.push(evidence);
            }
            sent.push(address);
        }
        let limit = self.sends_per_item(now_ms);
        self.gossip_queue.mark_sent(&sent, limit);
        for address in stale {
            self.gossip_queue.remove(address);
        }
        gossip
    }

    fn empty_gossip(&self, now_ms: u64) -> Gossip {
        Gossip {
            digest: self.table.digest(),
            members: self.member_count() as u32,
            settings_version: self.settings_version,
            store_age_ms: self.store_freshness.age_ms(now_ms),
            domains: self.domain_evidence(now_ms),
            records: Vec::new(),
            evidence: Vec::new(),
        }
    }

    /// Returns the evidence about domains that are silent or were recently.
    pub(super) fn domain_evidence(&self, now_ms: u64) -> Vec<DomainEvidence> {
        self.table
            .domains()
            .iter()
            .filter(|(_, status)| status.silent || now_ms < status.stamp_ms + DOMAIN_MENTION_MS)
            .map(|(domain, status)| DomainEvidence {
                domain: *domain,
                silent: status.silent,
                age_ms: age_ms(status.stamp_ms, now_ms),
            })
            .collect()
    }
}

fn age_ms(stamp_ms: u64, now_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(stamp_ms)).unwrap_or(u32::MAX)
}

fn is_recent(member: &Member, now_ms: u64) -> bool {
    !member.silent || now_ms <= member.silent_since_ms + SILENCE_SPREAD_LIMIT_MS
}

/// Returns the latest evidence about a member.
pub(super) fn evidence(member: &Member, now_ms: u64) -> Evidence {
    let state = member.record.state_hash();
    Evidence::new(state, member.silent, member.stamp_ms, now_ms)
}
