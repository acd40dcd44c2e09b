use super::settings::MembershipSettings;
use rand::{Rng, RngExt};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// Up to how many members with news every item is sent in full number.
const SHORT_QUEUE_ITEMS: usize = 3;

/// What a rumour tells of a member; its content is taken from the table when it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GossipItemKind {
    /// The whole record.
    Record,
    /// Silence or life.
    Evidence,
}

/// The news that are still being passed on, the least often sent first.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    by_member: BTreeMap<SocketAddrV4, GossipItem>,
    send_order: BTreeSet<(u8, u16, SocketAddrV4)>,
}

#[derive(Clone, Copy, Debug)]
struct GossipItem {
    kind: GossipItemKind,
    sent: u8,
    tie_break: u16,
}

impl GossipQueue {
    /// Tells whether nothing is to be passed on.
    pub fn is_empty(&self) -> bool {
        self.by_member.is_empty()
    }

    /// Tells whether there is news of many members, so that bytes matter more than delay.
    pub fn is_long(&self) -> bool {
        self.by_member.len() > SHORT_QUEUE_ITEMS
    }

    /// Starts passing on news of a member in place of any older news of it.
    pub fn enqueue(&mut self, member: SocketAddrV4, kind: GossipItemKind, rng: &mut impl Rng) {
        let old = self.take(member);
        let is_record_pending = old.is_some_and(|item| item.kind == GossipItemKind::Record);
        let item = GossipItem {
            kind: if is_record_pending {
                GossipItemKind::Record
            } else {
                kind
            },
            sent: 0,
            tie_break: rng.random(),
        };
        self.insert(member, item);
    }

    /// Returns the members whose news goes out next, most urgent first.
    pub fn in_send_order(&self) -> impl Iterator<Item = (SocketAddrV4, GossipItemKind)> {
        self.send_order.iter().filter_map(|(_, _, member)| {
            let item = self.by_member.get(member)?;
            Some((*member, item.kind))
        })
    }

    /// Notes that the news of these members was sent once.
    pub fn mark_sent(&mut self, members: &[SocketAddrV4], limit: u8) {
        for member in members {
            self.count_send(*member, limit);
        }
    }

    /// Drops the news of a member.
    pub fn remove(&mut self, member: SocketAddrV4) {
        self.take(member);
    }

    fn count_send(&mut self, member: SocketAddrV4, limit: u8) {
        let Some(mut item) = self.take(member) else {
            return;
        };
        item.sent += 1;
        if item.sent < limit {
            self.insert(member, item);
        }
    }

    fn insert(&mut self, member: SocketAddrV4, item: GossipItem) {
        self.by_member.insert(member, item);
        self.send_order.insert((item.sent, item.tie_break, member));
    }

    fn take(&mut self, member: SocketAddrV4) -> Option<GossipItem> {
        let item = self.by_member.remove(&member)?;
        self.send_order.remove(&(item.sent, item.tie_break, member));
        Some(item)
    }
}

/// Bounds the bytes of gossip that a balancer sends.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    settings: MembershipSettings,
    started_ms: u64,
    refilled_ms: u64,
    credit_millibytes: i64,
}

impl ByteBudget {
    /// Creates a full budget.
    pub fn new(settings: MembershipSettings, now_ms: u64) -> Self {
        Self {
            settings,
            started_ms: now_ms,
            refilled_ms: now_ms,
            credit_millibytes: burst_millibytes(&settings),
        }
    }

    /// Tells whether anything may be sent now.
    pub fn has_credit(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let is_joining = now_ms < self.started_ms + self.settings.settle_ms;
        let rate = if is_joining {
            self.settings.joining_bytes_per_s
        } else {
            self.settings.gossip_bytes_per_s
        };
        // Bytes a second are millibytes a millisecond.
        let credit = self.credit_millibytes + elapsed_ms.saturating_mul(rate).cast_signed();
        self.credit_millibytes = credit.min(burst_millibytes(&self.settings));
        self.refilled_ms = now_ms;
        self.credit_millibytes > 0
    }

    /// Notes that bytes were sent.
    pub fn spend(&mut self, bytes: usize) {
        self.credit_millibytes -= (bytes as u64 * 1_000).cast_signed();
    }
}

fn burst_millibytes(settings: &MembershipSettings) -> i64 {
    (settings.gossip_burst_bytes * 1_000).cast_signed()
}
