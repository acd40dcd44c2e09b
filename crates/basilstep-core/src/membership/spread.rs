use super::{
    gossip::RumourKind,
    messages::{
        Action, DomainEvidence, Evidence, Gossip, Item, MESSAGE_LIMIT_BYTES, MembershipMessage,
        age_units, encoded_bytes,
    },
    state::Membership,
};
use crate::context::Context;
use std::net::SocketAddrV4;

/// How long a domain that was silent is mentioned in gossip after its return.
const DOMAIN_MENTION_MS: u64 = 60_000;

/// The age of silence above which it is no longer passed on as news.
const NEWS_LIMIT_MS: u64 = 4_000;

impl Membership {
    /// Starts passing on news of a member.
    pub(super) fn start_rumour(
        &mut self,
        member: SocketAddrV4,
        kind: RumourKind,
        ctx: &mut Context,
    ) {
        self.rumours.start(member, kind, &mut ctx.rng);
    }

    /// Sends the periodic datagram if it is due, and news as far as the budget allows.
    pub(super) fn gossip(&mut self, ctx: &mut Context, actions: &mut Vec<Action>) {
        self.flush(ctx, actions);
        if ctx.now_ms >= self.next_gossip_ms {
            self.next_gossip_ms = ctx.now_ms + self.settings.gossip_interval_ms;
            self.send_gossip(ctx, actions);
        }
    }

    /// Sends news to some peers at once, as far as the budget allows.
    pub(super) fn flush(&mut self, ctx: &mut Context, actions: &mut Vec<Action>) {
        for _ in 0..self.settings.fanout {
            let has_news = !self.rumours.is_empty() || self.urgent_sends > 0;
            if !has_news || !self.budget.is_open(ctx.now_ms) {
                return;
            }
            self.send_gossip(ctx, actions);
        }
    }

    fn send_gossip(&mut self, ctx: &mut Context, actions: &mut Vec<Action>) {
        let Some(to) = self.random_peer(ctx) else {
            return;
        };
        let gossip = self.build_gossip(ctx.now_ms);
        self.urgent_sends = self.urgent_sends.saturating_sub(1);
        let message = MembershipMessage::Gossip(gossip);
        self.budget.spend(message.network_bytes());
        actions.push(Action::Send { to, message });
    }

    fn build_gossip(&mut self, now_ms: u64) -> Gossip {
        let mut gossip = Gossip {
            digest: self.table.digest(),
            settings_version: self.settings_version,
            store_age_ms: self.store_watch.age_ms(now_ms),
            domains: self.domain_evidence(now_ms),
            items: Vec::new(),
        };
        let mut bytes = encoded_bytes(&gossip);
        let mut sent = Vec::new();
        let mut stale = Vec::new();
        for (address, kind) in self.rumours.next() {
            let Some(item) = self.item(address, kind, now_ms) else {
                stale.push(address);
                continue;
            };
            bytes += encoded_bytes(&item);
            if bytes > MESSAGE_LIMIT_BYTES {
                break;
            }
            gossip.items.push(item);
            sent.push(address);
        }
        self.rumours.mark_sent(&sent, self.settings.sends_per_item);
        for address in stale {
            self.rumours.drop_news(address);
        }
        gossip
    }

    fn item(&self, address: SocketAddrV4, kind: RumourKind, now_ms: u64) -> Option<Item> {
        let member = self.table.get(address)?;
        if member.silent && now_ms > member.stamp_ms + NEWS_LIMIT_MS {
            return None;
        }
        Some(match kind {
            RumourKind::Record if !member.silent => Item::Record(member.record),
            _ => Item::Evidence(Evidence {
                address,
                run: member.record.run_check(),
                silent: member.silent,
                age_units: age_units(member.stamp_ms, now_ms),
            }),
        })
    }

    /// Returns what is said of domains that are silent or were so lately.
    pub(super) fn domain_evidence(&self, now_ms: u64) -> Vec<DomainEvidence> {
        self.table
            .domains()
            .iter()
            .filter(|(_, status)| status.silent || now_ms < status.stamp_ms + DOMAIN_MENTION_MS)
            .map(|(domain, status)| DomainEvidence {
                domain: *domain,
                silent: status.silent,
                age_units: age_units(status.stamp_ms, now_ms),
            })
            .collect()
    }
}
