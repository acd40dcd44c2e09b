//! What the heartbeats of one incarnation of the target show of it.

use super::target::{HEARTBEAT_ACK_TIMEOUT_MS, HeartbeatState, HeartbeatTiming, TargetHeartbeat};
use serde::Serialize;

/// How late a call of a target may arrive: the network may hold it back for as long as a partition
/// lasts.
const MAX_CALL_DELAY_MS: u64 = 15_000;

/// The highest number that the first heartbeat of an incarnation has.
const FIRST_SEQUENCE: u64 = 1;

/// How many calls a target may have made before its agent listens, if they start together.
const MAX_CALLS_AT_START: u64 = 4;

/// What shows that no other process of the agent has forwarded flows to an incarnation of the target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Witness {
    /// Nothing.
    #[default]
    None,
    /// It started together with this process of the agent, as far as its count and the clock tell.
    StartedTogether,
    /// Its first heartbeat came to this process of the agent; an earlier one may have forwarded flows
    /// before that, if it was running shortly before.
    FirstHeartbeat,
    /// It started after this process of the agent.
    StartedLater,
}

/// An incarnation of the target that has sent heartbeats.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HeardIncarnation {
    /// Its last heartbeat.
    pub last: TargetHeartbeat,
    /// When that arrived.
    #[serde(rename = "heard_ms")]
    pub last_ms: u64,
    first_ms: u64,
    first_sequence: u64,
    /// Two heartbeats arrived as far apart as those of a running target. Late ones may arrive together.
    pub is_confirmed: bool,
    /// What shows that this process of the agent knows all its flows.
    pub witness: Witness,
    /// When it first said that it is about to stop.
    pub draining_since_ms: Option<u64>,
    /// It has deregistered.
    pub has_left: bool,
}

impl HeardIncarnation {
    /// Creates an incarnation whose first heartbeat arrives.
    pub fn new(heartbeat: &TargetHeartbeat, timing: &HeartbeatTiming) -> Self {
        let now_ms = timing.now_ms;
        let is_draining = heartbeat.state == HeartbeatState::Draining;
        let witness = if is_started_together(heartbeat, timing) {
            Witness::StartedTogether
        } else {
            Witness::None
        };
        Self {
            last: *heartbeat,
            last_ms: now_ms,
            first_ms: now_ms,
            first_sequence: heartbeat.sequence,
            is_confirmed: false,
            witness,
            draining_since_ms: is_draining.then_some(now_ms),
            has_left: false,
        }
    }

    /// Returns the incarnation after its next heartbeat.
    pub fn continued(&self, heartbeat: &TargetHeartbeat, timing: &HeartbeatTiming) -> Self {
        let is_draining = heartbeat.state == HeartbeatState::Draining;
        let is_confirmed = self.is_confirmed || self.is_at_pace(timing);
        Self {
            last: *heartbeat,
            last_ms: timing.now_ms,
            is_confirmed,
            witness: match self.witness {
                Witness::None | Witness::StartedTogether
                    if is_confirmed && self.first_sequence <= FIRST_SEQUENCE =>
                {
                    Witness::FirstHeartbeat
                }
                witness => witness,
            },
            draining_since_ms: self
                .draining_since_ms
                .filter(|_| is_draining)
                .or_else(|| is_draining.then_some(timing.now_ms)),
            has_left: false,
            ..*self
        }
    }

    /// Returns whether a heartbeat that arrives now is as far from the last one as those of a running
    /// target.
    const fn is_at_pace(&self, timing: &HeartbeatTiming) -> bool {
        timing.now_ms >= self.last_ms + timing.interval_ms / 2
    }

    /// Returns whether this incarnation, which sends a heartbeat now, is running, and `current`, which
    /// was heard in between, is not.
    pub const fn goes_on_without(&self, current: &Self, timing: &HeartbeatTiming) -> bool {
        self.last_ms >= current.last_ms && self.is_at_pace(timing)
    }

    /// Returns whether it was heard for so long that no call of an earlier incarnation can arrive any
    /// more.
    pub const fn is_older_than_late_calls(&self) -> bool {
        self.last_ms >= self.first_ms + MAX_CALL_DELAY_MS
    }

    /// Returns whether no heartbeat has arrived for `limit_ms`.
    pub const fn is_silent(&self, limit_ms: u64, now_ms: u64) -> bool {
        now_ms >= self.last_ms + limit_ms
    }

    /// Returns the last time at which it was certainly running: a heartbeat is acknowledged within a
    /// second or not at all, so the last one was sent at most that long before it arrived.
    pub const fn alive_until_ms(&self) -> u64 {
        self.last_ms.saturating_sub(HEARTBEAT_ACK_TIMEOUT_MS)
    }
}

/// Returns whether a target has probably started together with its agent.
///
/// The clock alone could make a target younger than it is, the count alone a late heartbeat the first.
fn is_started_together(heartbeat: &TargetHeartbeat, timing: &HeartbeatTiming) -> bool {
    let max_age_ms = timing.uptime_ms + timing.start_tolerance_ms;
    heartbeat.sequence <= MAX_CALLS_AT_START
        && heartbeat.age_ms.is_some_and(|age_ms| age_ms <= max_age_ms)
}
