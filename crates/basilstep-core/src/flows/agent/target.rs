use crate::flows::frame::TargetPhase;
use serde::{Deserialize, Serialize};

/// How long the platform's targets wait for the acknowledgement of a ping.
const PING_ACK_TIMEOUT_MS: u64 = 1_000;

/// How many ping intervals a target must be silent before a lifetime with an earlier start is
/// accepted.
const MAX_MISSED_PINGS: u64 = 3;

/// The state that a target announces in a ping.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PingState {
    /// The target accepts new work.
    Ready,
    /// The target is about to stop.
    Draining,
}

/// A ping, with which a target describes itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ping {
    /// When this lifetime started, in milliseconds of the target's wall clock.
    pub born_ms: u64,
    /// Increases with each ping of a lifetime.
    pub sequence: u64,
    /// Whether the target accepts new work.
    pub state: PingState,
    /// How many requests the target processes at once.
    pub capacity: u16,
    /// How much longer the target stays cold.
    pub warmup_left_ms: u32,
}

/// The effect of a ping.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PingOutcome {
    /// The phase and the lifetime are unchanged.
    Unchanged,
    /// The target entered another phase.
    PhaseChanged,
    /// A new lifetime has begun: the flows of the previous one are lost.
    NewLifetime,
    /// The ping is older than the last one.
    Outdated,
}

/// The state of the target beside an agent, from its pings.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TargetState {
    phase: TargetPhase,
    last: Option<Ping>,
    heard_ms: u64,
    cold_until_ms: u64,
    /// The agent has observed this lifetime of the target from its start.
    is_witnessed: bool,
}

impl TargetState {
    /// Handles a ping.
    pub fn on_ping(&mut self, ping: &Ping, heartbeat_ms: u64, now_ms: u64) -> PingOutcome {
        let silence_ms = now_ms.saturating_sub(self.heard_ms);
        if let Some(last) = self.last {
            let is_older = ping.born_ms < last.born_ms;
            // A clock that was set back gives a later lifetime an earlier start.
            if is_older && silence_ms < heartbeat_ms * MAX_MISSED_PINGS {
                return PingOutcome::Outdated;
            }
            if ping.born_ms == last.born_ms && ping.sequence <= last.sequence {
                return PingOutcome::Outdated;
            }
        }
        let is_new = self.last.is_some_and(|last| last.born_ms != ping.born_ms);
        let phase = match ping.state {
            PingState::Ready => TargetPhase::Serving,
            PingState::Draining => TargetPhase::Draining,
        };
        let is_phase_changed = phase != self.phase;
        self.is_witnessed |= is_new;
        self.phase = phase;
        self.last = Some(*ping);
        self.heard_ms = now_ms;
        self.cold_until_ms = now_ms + u64::from(ping.warmup_left_ms);
        if is_new {
            return PingOutcome::NewLifetime;
        }
        if is_phase_changed {
            return PingOutcome::PhaseChanged;
        }
        PingOutcome::Unchanged
    }

    /// Returns the last time at which the current lifetime was certainly running: a ping is
    /// acknowledged within a second or not at all, so the last one was sent at most that long
    /// before it arrived.
    pub const fn known_alive_until_ms(&self) -> u64 {
        self.heard_ms.saturating_sub(PING_ACK_TIMEOUT_MS)
    }

    /// Records that the target has ended or does not answer.
    pub const fn set_down(&mut self) {
        self.phase = TargetPhase::Down;
    }

    /// Returns whether the target accepts new flows.
    pub const fn phase(&self) -> TargetPhase {
        self.phase
    }

    /// Returns whether the target is cold; it counts as cold until its first ping.
    pub const fn is_cold(&self, now_ms: u64) -> bool {
        self.last.is_none() || now_ms < self.cold_until_ms
    }

    /// Records that no earlier run of the agent can have forwarded flows to this lifetime.
    pub const fn set_witnessed(&mut self) {
        self.is_witnessed = true;
    }

    /// Returns whether the agent knows every flow of the target.
    pub const fn is_witnessed(&self) -> bool {
        self.is_witnessed
    }

    /// Returns how many requests the target processes at once.
    pub fn capacity(&self) -> u16 {
        self.last.map_or(1, |last| last.capacity.max(1))
    }
}
