//! Which sequence numbers of a target the caller of a flow can acknowledge.

use crate::flows::segment::is_ahead;

/// What a target has in flight at most, rounded up: 16 packets of 1,200 bytes.
const IN_FLIGHT_BYTES: u32 = 1 << 16;

/// How long after it was first sent a packet may arrive: the retransmissions of an end take 11 s.
const PACKET_LIFETIME_MS: u64 = 16_000;

/// The maximum length of the window, with room to tell behind from ahead.
const MAX_SPAN_BYTES: u32 = 1 << 30;

/// The sequence numbers of a target that packets of a flow's caller can acknowledge.
///
/// The window moves on with the flow: it begins at what the caller had acknowledged a packet lifetime
/// ago, and ends at what the target has sent.
#[derive(Clone, Copy, Debug)]
pub struct SequenceWindow {
    /// What the caller had acknowledged a packet lifetime ago; `None` if that is not known, because
    /// the agent has started in the middle of the flow.
    floor: Option<u32>,
    /// The highest number that the caller has acknowledged.
    acknowledged: u32,
    /// The end of what the target has sent; `None` if no packet of it was seen.
    sent: Option<u32>,
    /// What the caller had acknowledged at `checkpoint_ms`; the next floor.
    checkpoint: u32,
    checkpoint_ms: u64,
}

impl SequenceWindow {
    /// Creates the window of a flow that the target starts at `sequence`.
    pub const fn from_start(sequence: u32, now_ms: u64) -> Self {
        Self {
            floor: Some(sequence),
            sent: Some(sequence),
            ..Self::from_middle(sequence, now_ms)
        }
    }

    /// Creates the window of a flow of which a packet of the caller is seen first.
    pub const fn from_middle(acknowledged: u32, now_ms: u64) -> Self {
        Self {
            floor: None,
            acknowledged,
            sent: None,
            checkpoint: acknowledged,
            checkpoint_ms: now_ms,
        }
    }

    /// Returns the highest number that the caller has acknowledged.
    pub const fn acknowledged(&self) -> u32 {
        self.acknowledged
    }

    /// Returns whether the caller of this flow can have sent an acknowledgement, in a packet that may
    /// be late.
    pub fn may_contain(&self, acknowledged: u32) -> bool {
        let Some(sent) = self.sent else {
            return true;
        };
        let end = sent.wrapping_add(IN_FLIGHT_BYTES);
        self.floor.map_or_else(
            || !is_ahead(acknowledged, end),
            |floor| acknowledged.wrapping_sub(floor) <= end.wrapping_sub(floor),
        )
    }

    /// Returns whether an acknowledgement is close to the last ones, so that another flow with the
    /// same key has it by chance only once in some ten thousand times.
    pub fn surely_contains(&self, acknowledged: u32) -> bool {
        let start = self.acknowledged.wrapping_sub(IN_FLIGHT_BYTES);
        let end = self
            .sent
            .unwrap_or(self.acknowledged)
            .wrapping_add(IN_FLIGHT_BYTES);
        acknowledged.wrapping_sub(start) <= end.wrapping_sub(start)
    }

    /// Records an acknowledgement of the caller.
    pub fn record_acknowledged(&mut self, acknowledged: u32, now_ms: u64) {
        if is_ahead(acknowledged, self.acknowledged) {
            self.acknowledged = acknowledged;
        }
        let is_due = now_ms >= self.checkpoint_ms + PACKET_LIFETIME_MS;
        let span = self.acknowledged.wrapping_sub(self.checkpoint);
        if is_due || span >= MAX_SPAN_BYTES {
            self.floor = Some(self.checkpoint);
            self.checkpoint = self.acknowledged;
            self.checkpoint_ms = now_ms;
        }
    }

    /// Records a packet of the target by its first sequence number and the one after its data.
    pub fn record_sent(&mut self, sequence: u32, end: u32) {
        let is_first = self.sent.is_none();
        if self.sent.is_none_or(|sent| is_ahead(end, sent)) {
            self.sent = Some(end);
        }
        if is_first && is_ahead(self.acknowledged, end.wrapping_add(IN_FLIGHT_BYTES)) {
            // The caller's packet belonged to another flow with the same key.
            self.acknowledged = sequence;
            self.checkpoint = sequence;
        }
    }
}
