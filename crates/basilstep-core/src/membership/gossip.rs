use super::settings::MembershipSettings;
use rand::{Rng, RngExt};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// The largest queue length at which each item is sent the full `sends_per_item` times.
const SHORT_QUEUE_ITEMS: usize = 3;

/// What a gossip item contains about a member; the content is read from the member table when the
/// item is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GossipKind {
    /// The whole record of the member.
    Record,
    /// Evidence that the member is silent or alive.
    Evidence,
}

/// The gossip items that are still being sent, least often sent first.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    by_member: BTreeMap<SocketAddrV4, GossipItem>,
    send_order: BTreeSet<(u8, u16, SocketAddrV4)>,
}

#[derive(Clone, Copy, Debug)]
struct GossipItem {
    kind: GossipKind,
    sent: u8,
    tie_break: u16,
}

impl GossipQueue {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.by_member.is_empty()
    }

    /// Returns whether items about many members are queued, so that bytes matter more than delay.
    pub fn is_long(&self) -> bool {
        self.by_member.len() > SHORT_QUEUE_ITEMS
    }

    /// Enqueues an item about a member in place of an older item about it.
    pub fn enqueue(&mut self, member: SocketAddrV4, kind: GossipKind, rng: &mut impl Rng) {
        let old = self.take(member);
        let is_record_pending = old.is_some_and(|item| item.kind == GossipKind::Record);
        let item = GossipItem {
            kind: if is_record_pending {
                GossipKind::Record
            } else {
                kind
            },
            sent: 0,
            tie_break: rng.random(),
        };
        self.insert(member, item);
    }

    /// Returns the members whose items are sent next, least often sent first.
    pub fn in_send_order(&self) -> impl Iterator<Item = (SocketAddrV4, GossipKind)> {
        self.send_order.iter().filter_map(|(_, _, member)| {
            let item = self.by_member.get(member)?;
            Some((*member, item.kind))
        })
    }

    /// Records that the items about these members were sent once more, and removes those that have
    /// been sent `limit` times.
    pub fn mark_sent(&mut self, members: &[SocketAddrV4], limit: u8) {
        for member in members {
            self.count_send(*member, limit);
        }
    }

    /// Removes the item about a member.
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

/// A token bucket that limits the bytes of gossip that a balancer sends.
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

    /// Returns whether a datagram may be sent now.
    pub fn has_credit(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let is_joining = now_ms < self.started_ms + self.settings.settle_ms;
        let rate = if is_joining {
            self.settings.joining_bytes_per_s
        } else {
            self.settings.gossip_bytes_per_s
        };
        // One byte per second equals one millibyte per millisecond.
        let credit = self.credit_millibytes + elapsed_ms.saturating_mul(rate).cast_signed();
        self.credit_millibytes = credit.min(burst_millibytes(&self.settings));
        self.refilled_ms = now_ms;
        self.credit_millibytes > 0
    }

    /// Records that bytes were sent; the credit may become negative.
    pub fn spend(&mut self, bytes: usize) {
        self.credit_millibytes -= (bytes as u64 * 1_000).cast_signed();
    }
}

fn burst_millibytes(settings: &MembershipSettings) -> i64 {
    (settings.gossip_burst_bytes * 1_000).cast_signed()
}
