/// The period over which transfers are counted.
const PERIOD_MS: u64 = 100;

/// The bytes of settings that a balancer sends in a period: half of a link of 20 Mbit/s.
const PERIOD_BYTES: usize = 128 * 1_024;

/// Limits how fast a balancer hands out its settings.
///
/// A change is told to all balancers at once, and all of them ask the one that told them. Those that
/// are turned away ask again and find others that have the settings by then, so that a large
/// configuration spreads without filling the link of the first balancer.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransferBudget {
    period_start_ms: u64,
    sent_bytes: usize,
}

impl TransferBudget {
    /// Returns whether `bytes` may be sent now, and if so records that they are; the first transfer
    /// of a period always may.
    pub const fn try_send(&mut self, bytes: usize, now_ms: u64) -> bool {
        if now_ms >= self.period_start_ms + PERIOD_MS {
            self.period_start_ms = now_ms;
            self.sent_bytes = 0;
        }
        if self.sent_bytes > 0 && self.sent_bytes + bytes > PERIOD_BYTES {
            return false;
        }
        self.sent_bytes += bytes;
        true
    }
}
