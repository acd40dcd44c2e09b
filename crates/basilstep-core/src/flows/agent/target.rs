use super::incarnation::{HeardIncarnation, Witness};
use crate::flows::{frame::TargetPhase, key::InstanceTag};
use serde::{Deserialize, Serialize};

/// How long the platform's targets wait for the acknowledgement of a heartbeat.
pub(super) const HEARTBEAT_ACK_TIMEOUT_MS: u64 = 1_000;

/// How many incarnations are remembered that others have replaced.
const MAX_FORMER: usize = 8;

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
    /// The instance that sent it.
    pub instance: InstanceTag,
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
    /// How long ago the target started, by the machine's clock; `None` if that is not known, or the
    /// clock was set back since.
    pub age_ms: Option<u64>,
}

impl TargetHeartbeat {
    /// Records when it arrived, in milliseconds of the machine's wall clock.
    #[must_use]
    pub const fn arrived_at(self, unix_ms: u64) -> Self {
        Self {
            age_ms: unix_ms.checked_sub(self.born_ms),
            ..self
        }
    }

    /// Returns whether two heartbeats are of one incarnation of the target.
    pub fn is_of_incarnation(&self, other: &Self) -> bool {
        self.instance == other.instance && self.born_ms == other.born_ms
    }
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
    /// Another incarnation has sent a heartbeat, perhaps a late one: the previous one may be running.
    Replaced,
    /// An incarnation goes on that another one had replaced.
    Resumed,
    /// The heartbeat is older than the last one.
    Outdated,
}

/// What the agent knows of time when a heartbeat arrives.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_field_names, reason = "each is a time with its unit")]
pub struct HeartbeatTiming {
    /// The interval between two heartbeats of the target.
    pub interval_ms: u64,
    /// How long the agent has been running.
    pub uptime_ms: u64,
    /// How long before its agent a target may have started and still count as started together with
    /// it.
    pub start_tolerance_ms: u64,
    /// The current time.
    pub now_ms: u64,
}

/// The state of an agent's target, from the target's heartbeats.
///
/// Heartbeats and deregistrations arrive on connections of their own, in any order and perhaps late;
/// clocks may step between two incarnations, and an id may return. So the start times only decide
/// which incarnation is shown. That one has ended follows from what its target cannot do any more.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TargetState {
    phase: TargetPhase,
    current: Option<HeardIncarnation>,
    /// Other incarnations that have sent heartbeats, the last one at the end.
    former: Vec<HeardIncarnation>,
    cold_until_ms: u64,
}

impl TargetState {
    /// Handles a heartbeat.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &TargetHeartbeat,
        timing: &HeartbeatTiming,
    ) -> HeartbeatOutcome {
        let Some(current) = self.current else {
            let first = HeardIncarnation::new(heartbeat, timing);
            return self.show(first, heartbeat, timing.now_ms, HeartbeatOutcome::Unchanged);
        };
        if current.last.is_of_incarnation(heartbeat) {
            return self.on_next_heartbeat(current, heartbeat, timing);
        }
        let known = self.take_former(heartbeat);
        if let Some(known) = known.filter(|known| heartbeat.sequence <= known.last.sequence) {
            self.former.push(known);
            return HeartbeatOutcome::Outdated;
        }
        // One that is older than this target, and unknown, would be later than heartbeats can be.
        let is_certain = known.is_none()
            && (self.phase == TargetPhase::Down || current.is_older_than_late_calls());
        let is_accepted = is_certain
            || self.phase == TargetPhase::Down
            || heartbeat.born_ms > current.last.born_ms
            || current.is_silent(timing.interval_ms * MAX_MISSED_HEARTBEATS, timing.now_ms)
            || known.is_some_and(|known| known.goes_on_without(&current, timing));
        let mut heard = known.map_or_else(
            || HeardIncarnation::new(heartbeat, timing),
            |known| known.continued(heartbeat, timing),
        );
        if is_certain {
            heard.witness = Witness::StartedLater;
        }
        if !is_accepted {
            self.remember(heard);
            return HeartbeatOutcome::Outdated;
        }
        let outcome = match (is_certain, known) {
            (true, _) => HeartbeatOutcome::NewLifetime,
            (false, Some(_)) => HeartbeatOutcome::Resumed,
            (false, None) => HeartbeatOutcome::Replaced,
        };
        self.remember(current);
        self.show(heard, heartbeat, timing.now_ms, outcome)
    }

    /// Handles a heartbeat of the incarnation that sent the last one.
    fn on_next_heartbeat(
        &mut self,
        current: HeardIncarnation,
        heartbeat: &TargetHeartbeat,
        timing: &HeartbeatTiming,
    ) -> HeartbeatOutcome {
        let is_after_end = current.has_left && heartbeat.state == HeartbeatState::Draining;
        if heartbeat.sequence <= current.last.sequence || is_after_end {
            return HeartbeatOutcome::Outdated;
        }
        let next = current.continued(heartbeat, timing);
        self.show(next, heartbeat, timing.now_ms, HeartbeatOutcome::Unchanged)
    }

    fn show(
        &mut self,
        heard: HeardIncarnation,
        heartbeat: &TargetHeartbeat,
        now_ms: u64,
        outcome: HeartbeatOutcome,
    ) -> HeartbeatOutcome {
        let phase = match heartbeat.state {
            HeartbeatState::Ready => TargetPhase::Serving,
            HeartbeatState::Draining => TargetPhase::Draining,
        };
        let is_phase_changed = phase != self.phase;
        self.phase = phase;
        self.current = Some(heard);
        self.cold_until_ms = now_ms + u64::from(heartbeat.warmup_left_ms);
        if outcome == HeartbeatOutcome::Unchanged && is_phase_changed {
            return HeartbeatOutcome::PhaseChanged;
        }
        outcome
    }

    fn take_former(&mut self, heartbeat: &TargetHeartbeat) -> Option<HeardIncarnation> {
        let is_same = |former: &HeardIncarnation| former.last.is_of_incarnation(heartbeat);
        let at = self.former.iter().position(is_same)?;
        Some(self.former.remove(at))
    }

    fn remember(&mut self, heard: HeardIncarnation) {
        if self.former.len() == MAX_FORMER {
            self.former.remove(0);
        }
        self.former.push(heard);
    }

    /// Returns the last time at which the incarnation before this one was certainly running.
    pub fn former_alive_until_ms(&self) -> u64 {
        self.former
            .last()
            .map_or(0, HeardIncarnation::alive_until_ms)
    }

    /// Records that the target has ended or does not answer.
    pub const fn set_down(&mut self) {
        self.phase = TargetPhase::Down;
    }

    /// Records that an instance has deregistered; returns whether that ends the current incarnation.
    ///
    /// A target deregisters when it has been draining for `drain_ms`. Any other deregistration may be a
    /// late one of an earlier incarnation, which may have had the same id. If it is ignored wrongly, the
    /// target gets no new flows, because it is draining, and its end shows when it refuses a packet.
    pub fn on_left(&mut self, instance: InstanceTag, drain_ms: u64, now_ms: u64) -> bool {
        let Some(current) = &mut self.current else {
            return false;
        };
        let is_due = current
            .draining_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + drain_ms);
        let is_own =
            current.last.instance == instance && is_due && current.is_older_than_late_calls();
        if is_own {
            current.has_left = true;
            self.set_down();
        }
        is_own
    }

    /// Returns whether the target accepts new flows.
    pub const fn phase(&self) -> TargetPhase {
        self.phase
    }

    /// Returns whether the target is cold; it counts as cold until its first heartbeat.
    pub const fn is_cold(&self, now_ms: u64) -> bool {
        self.current.is_none() || now_ms < self.cold_until_ms
    }

    /// Returns what shows that no other process of the agent has forwarded flows to this incarnation.
    pub fn witness(&self) -> Witness {
        self.current
            .map_or(Witness::None, |current| current.witness)
    }

    /// Returns how many requests the target processes at once.
    pub fn capacity(&self) -> u16 {
        self.current
            .map_or(1, |current| current.last.capacity.max(1))
    }
}
