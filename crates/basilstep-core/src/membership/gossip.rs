use super::settings::MembershipSettings;
use rand::{Rng, RngExt};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// Up to how many members with news every item is sent in full number.
const FEW_NEWS: usize = 3;

/// What a rumour tells of a member; its content is taken from the table when it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RumourKind {
    /// The whole record.
    Record,
    /// Silence or life.
    Evidence,
}

/// The news that are still being passed on, the least often sent first.
#[derive(Clone, Debug, Default)]
pub struct Rumours {
    by_member: BTreeMap<SocketAddrV4, Rumour>,
    order: BTreeSet<(u8, u16, SocketAddrV4)>,
}

#[derive(Clone, Copy, Debug)]
struct Rumour {
    kind: RumourKind,
    sent: u8,
    tie_break: u16,
}

impl Rumours {
    /// Tells whether nothing is to be passed on.
    pub fn is_empty(&self) -> bool {
        self.by_member.is_empty()
    }

    /// Tells whether there is news of many members, so that bytes matter more than delay.
    pub fn has_much(&self) -> bool {
        self.by_member.len() > FEW_NEWS
    }

    /// Starts passing on news of a member in place of any older news of it.
    pub fn start(&mut self, member: SocketAddrV4, kind: RumourKind, rng: &mut impl Rng) {
        let old = self.stop(member);
        let is_record_pending = old.is_some_and(|rumour| rumour.kind == RumourKind::Record);
        let rumour = Rumour {
            kind: if is_record_pending {
                RumourKind::Record
            } else {
                kind
            },
            sent: 0,
            tie_break: rng.random(),
        };
        self.insert(member, rumour);
    }

    /// Returns the members whose news goes out next, most urgent first.
    pub fn next(&self) -> impl Iterator<Item = (SocketAddrV4, RumourKind)> {
        self.order.iter().filter_map(|(_, _, member)| {
            let rumour = self.by_member.get(member)?;
            Some((*member, rumour.kind))
        })
    }

    /// Notes that the news of these members was sent once.
    pub fn mark_sent(&mut self, members: &[SocketAddrV4], limit: u8) {
        for member in members {
            self.count(*member, limit);
        }
    }

    /// Drops the news of a member.
    pub fn drop_news(&mut self, member: SocketAddrV4) {
        self.stop(member);
    }

    fn count(&mut self, member: SocketAddrV4, limit: u8) {
        let Some(mut rumour) = self.stop(member) else {
            return;
        };
        rumour.sent += 1;
        if rumour.sent < limit {
            self.insert(member, rumour);
        }
    }

    fn insert(&mut self, member: SocketAddrV4, rumour: Rumour) {
        self.by_member.insert(member, rumour);
        self.order.insert((rumour.sent, rumour.tie_break, member));
    }

    fn stop(&mut self, member: SocketAddrV4) -> Option<Rumour> {
        let rumour = self.by_member.remove(&member)?;
        self.order.remove(&(rumour.sent, rumour.tie_break, member));
        Some(rumour)
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
    pub fn is_open(&mut self, now_ms: u64) -> bool {
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
