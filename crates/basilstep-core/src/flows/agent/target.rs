use crate::flows::frame::TargetPhase;
use serde::{Deserialize, Serialize};

/// How long the platform's targets wait for the acknowledgement of a heartbeat.
const HEARTBEAT_ACK_TIMEOUT_MS: u64 = 1_000;

/// How many heartbeat intervals a target must be silent before an incarnation with an earlier start
/// is accepted.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// The state that a target announces in a heartbeat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HeartbeatState {
    /// The target accepts new work.
    Ready,
    /// The target is about to stop.
    Draining,
}

/// A heartbeat, in which a target describes its own state.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetHeartbeat {
    /// When this incarnation started, in milliseconds of the target's wall clock.
    pub born_ms: u64,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Whether the target accepts new work.
    pub state: HeartbeatState,
    /// How many requests the target processes at once.
    pub capacity: u16,
    /// How much longer the target stays cold.
    pub warmup_left_ms: u32,
}

/// The effect of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The phase and the incarnation are unchanged.
    Unchanged,
    /// The target entered another phase.
    PhaseChanged,
    /// A new incarnation has begun: the flows of the previous one are lost.
    ///
    /// Logs show the name of this variant, so it is kept.
    NewLifetime,
    /// The heartbeat is older than the last one.
    Outdated,
}

/// The state of an agent's target, from the target's heartbeats.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TargetState {
    phase: TargetPhase,
    last: Option<TargetHeartbeat>,
    #[serde(rename = "heard_ms")]
    last_heartbeat_ms: u64,
    cold_until_ms: u64,
    /// This incarnation of the target started together with the agent or later.
    is_witnessed: bool,
    /// The id that the target chose for its incarnation, once a heartbeat has named it.
    instance: Option<String>,
    /// The incarnation that has left, by the time of its start.
    left_born_ms: Option<u64>,
}

impl TargetState {
    /// Handles a heartbeat.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &TargetHeartbeat,
        heartbeat_ms: u64,
        now_ms: u64,
    ) -> HeartbeatOutcome {
        if self.left_born_ms == Some(heartbeat.born_ms) {
            return HeartbeatOutcome::Outdated;
        }
        let silence_ms = now_ms.saturating_sub(self.last_heartbeat_ms);
        if let Some(last) = self.last {
            let is_older = heartbeat.born_ms < last.born_ms;
            // A clock that was set back gives a later incarnation an earlier start.
            if is_older && silence_ms < heartbeat_ms * MAX_MISSED_HEARTBEATS {
                return HeartbeatOutcome::Outdated;
            }
            if heartbeat.born_ms == last.born_ms && heartbeat.sequence <= last.sequence {
                return HeartbeatOutcome::Outdated;
            }
        }
        let is_new = self
            .last
            .is_some_and(|last| last.born_ms != heartbeat.born_ms);
        let phase = match heartbeat.state {
            HeartbeatState::Ready => TargetPhase::Serving,
            HeartbeatState::Draining => TargetPhase::Draining,
        };
        let is_phase_changed = phase != self.phase;
        self.is_witnessed |= is_new;
        self.phase = phase;
        self.last = Some(*heartbeat);
        self.last_heartbeat_ms = now_ms;
        self.cold_until_ms = now_ms + u64::from(heartbeat.warmup_left_ms);
        if is_new {
            return HeartbeatOutcome::NewLifetime;
        }
        if is_phase_changed {
            return HeartbeatOutcome::PhaseChanged;
        }
        HeartbeatOutcome::Unchanged
    }

    /// Returns the last time at which the current incarnation was certainly running: a heartbeat is
    /// acknowledged within a second or not at all, so the last one was sent at most that long
    /// before it arrived.
    pub const fn known_alive_until_ms(&self) -> u64 {
        self.last_heartbeat_ms
            .saturating_sub(HEARTBEAT_ACK_TIMEOUT_MS)
    }

    /// Records that the target has ended or does not answer.
    pub const fn set_down(&mut self) {
        self.phase = TargetPhase::Down;
    }

    /// Records the id of the incarnation whose heartbeat was accepted last.
    pub fn set_instance(&mut self, instance: &str) {
        if self.instance.as_deref() != Some(instance) {
            self.instance = Some(instance.to_owned());
        }
    }

    /// Records that an incarnation has left; returns whether it is the last one.
    ///
    /// Heartbeats and deregistrations arrive on connections of their own, in any order. Before the
    /// first heartbeat it is not known which incarnation is running.
    pub fn on_left(&mut self, instance: &str) -> bool {
        let is_last = self.instance.as_deref() == Some(instance);
        if is_last {
            self.left_born_ms = self.last.map(|last| last.born_ms);
            self.set_down();
        }
        is_last
    }

    /// Returns whether the target accepts new flows.
    pub const fn phase(&self) -> TargetPhase {
        self.phase
    }

    /// Returns whether the target is cold; it counts as cold until its first heartbeat.
    pub const fn is_cold(&self, now_ms: u64) -> bool {
        self.last.is_none() || now_ms < self.cold_until_ms
    }

    /// Returns whether this incarnation of the target started at `at_ms` of the machine's wall clock
    /// or later.
    pub fn has_started_since(&self, at_ms: u64) -> bool {
        self.last.is_some_and(|last| last.born_ms >= at_ms)
    }

    /// Records that this incarnation of the target started together with the agent or later.
    pub const fn set_witnessed(&mut self) {
        self.is_witnessed = true;
    }

    /// Returns whether this incarnation of the target started together with the agent or later.
    pub const fn is_witnessed(&self) -> bool {
        self.is_witnessed
    }

    /// Returns how many requests the target processes at once.
    pub fn capacity(&self) -> u16 {
        self.last.map_or(1, |last| last.capacity.max(1))
    }
}
