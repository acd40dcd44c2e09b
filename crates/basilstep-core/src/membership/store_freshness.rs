use super::{member::hash_words, settings::MembershipSettings};
use crate::context::Context;
use rand::RngExt;
use std::net::SocketAddrV4;

/// Tracks the last known answer of the store to any balancer, which decides whether this balancer
/// must watch the store itself.
#[derive(Clone, Debug)]
#[expect(clippy::struct_field_names, reason = "each is a time with its unit")]
pub struct StoreFreshness {
    started_ms: u64,
    last_answer_ms: Option<u64>,
    stale_age_ms: u64,
}

impl StoreFreshness {
    /// Creates a watch; random jitter keeps all balancers from turning to the store at once.
    pub fn new(settings: &MembershipSettings, ctx: &mut Context) -> Self {
        let jitter_ms = ctx.rng.random_range(0..settings.store_stale_ms);
        Self {
            stale_age_ms: settings.store_stale_ms + jitter_ms,
            last_answer_ms: None,
            started_ms: ctx.now_ms,
        }
    }

    /// Records an answer of the store to any balancer.
    pub fn note_answer(&mut self, at_ms: u64) {
        self.last_answer_ms = self.last_answer_ms.max(Some(at_ms));
    }

    /// Returns the age of the last known answer.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_answer_ms
            .map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Returns whether apparently no balancer reaches the store.
    pub fn is_stale(&self, now_ms: u64) -> bool {
        let since_ms = self.last_answer_ms.unwrap_or(self.started_ms);
        now_ms >= since_ms + self.stale_age_ms
    }
}

/// Returns the score of a balancer as a store watcher; the balancers with the highest scores watch
/// the store.
pub fn store_watcher_score(balancer: SocketAddrV4) -> u64 {
    const STORE_WATCH_SEED: u64 = 0x0073_746f_7265;
    hash_words(&[STORE_WATCH_SEED, super::member::address_bits(balancer)])
}
