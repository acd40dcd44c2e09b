//! How callers open flows: the times of their SYNs.

use super::segment::Segment;

/// The time after the first SYN at which the caller sends it again, by the number of the
/// retransmission.
const SYN_TIMES_MS: [u64; 3] = [0, FIRST_SYN_INTERVAL_MS, 600];

/// The time between the first two SYNs.
pub const FIRST_SYN_INTERVAL_MS: u64 = 200;

/// The time after the first SYN at which the caller gives up.
pub const HANDSHAKE_TIMEOUT_MS: u64 = 1_400;

impl Segment {
    /// Returns how long ago the caller sent the first SYN of this flow, if this SYN has just
    /// arrived.
    pub fn syn_age_ms(&self) -> u64 {
        let number = self.retransmission_number();
        SYN_TIMES_MS[number]
    }

    /// Returns how long after this SYN the caller sends the next one, or gives up.
    pub fn next_syn_after_ms(&self) -> u64 {
        let number = self.retransmission_number();
        let next_ms = SYN_TIMES_MS.get(number + 1);
        next_ms.unwrap_or(&HANDSHAKE_TIMEOUT_MS) - SYN_TIMES_MS[number]
    }

    /// Returns whether this is the first SYN of its flow.
    pub fn is_first_syn(&self) -> bool {
        self.retransmission_number() == 0
    }

    /// Returns whether the caller sends no further SYN for this flow.
    pub fn is_last_syn(&self) -> bool {
        self.retransmission_number() + 1 == SYN_TIMES_MS.len()
    }

    fn retransmission_number(&self) -> usize {
        (self.acknowledged as usize).min(SYN_TIMES_MS.len() - 1)
    }
}
