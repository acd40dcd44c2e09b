use super::{
    AdmissionAction, AdmissionEvent, AdmissionSettings, AdmissionView, RequestOutcome,
    in_flight::InFlight, limit::ConcurrencyLimit, overload_detector::OverloadDetector,
    queue::DeadlineQueue, reachability::Reachability, retry_schedule::RetrySchedule,
};
use crate::{codes::ResultCode, context::Context};

/// The load of a target that accepts no new flows.
const LOAD_FULL_PERMILLE: u16 = u16::MAX;
/// The maximum load of a target that accepts new flows.
const LOAD_MAX_PERMILLE: u64 = u16::MAX as u64 - 1;

/// The admission control of one target: decides which requests and connections it receives, and
/// when.
#[derive(Debug)]
pub struct Admission {
    pub(super) settings: AdmissionSettings,
    pub(super) limit: ConcurrencyLimit,
    pub(super) detector: OverloadDetector,
    pub(super) in_flight: InFlight,
    pub(super) queue: DeadlineQueue,
    pub(super) retry_schedule: RetrySchedule,
    pub(super) connections: u32,
    pub(super) streams: u32,
    pub(super) draining: bool,
    pub(super) is_unresponsive: bool,
    pub(super) reachability: Reachability,
    pub(super) last_answer_ms: u64,
    pub(super) last_full_ms: u64,
    pub(super) cold_turns: u64,
    pub(super) decreases: u64,
    pub(super) refused: u64,
}

impl Admission {
    /// Creates the state for an unknown target, which counts as cold.
    pub fn new(settings: AdmissionSettings, now_ms: u64) -> Self {
        Self {
            limit: ConcurrencyLimit::new(&settings),
            settings,
            detector: OverloadDetector::default(),
            in_flight: InFlight::default(),
            queue: DeadlineQueue::default(),
            retry_schedule: RetrySchedule::default(),
            connections: 0,
            streams: 0,
            draining: false,
            is_unresponsive: false,
            reachability: Reachability::default(),
            last_answer_ms: now_ms,
            last_full_ms: now_ms,
            cold_turns: 0,
            decreases: 0,
            refused: 0,
        }
    }

    /// Handles one event and returns the actions to take, in order.
    pub fn handle(&mut self, event: AdmissionEvent, context: &mut Context) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.reachability.end_pause(context.now_ms);
        if !ends_request(&event) {
            self.check_silence(context.now_ms);
        }
        match event {
            AdmissionEvent::Arrived {
                id,
                deadline_ms,
                class,
            } => self.arrive(id, deadline_ms, class, context, &mut actions),
            AdmissionEvent::Answered {
                id,
                latency_ms,
                outcome,
            } => self.on_answer(id, latency_ms, outcome, context.now_ms),
            AdmissionEvent::Cancelled { id } => self.cancel(id),
            AdmissionEvent::StreamBegan { id, latency_ms } => {
                self.on_answer(id, latency_ms, RequestOutcome::Ok, context.now_ms);
                self.streams += 1;
            }
            AdmissionEvent::StreamEnded => self.streams = self.streams.saturating_sub(1),
            AdmissionEvent::ConnectionOffered => self.offer_connection(context, &mut actions),
            AdmissionEvent::ConnectionClosed => {
                self.connections = self.connections.saturating_sub(1);
            }
            AdmissionEvent::Tick => {}
            AdmissionEvent::TargetStarted => self.on_target_started(context.now_ms),
            AdmissionEvent::HealthHint { up } => self.on_health_hint(up, context.now_ms),
            AdmissionEvent::DrainAnnounced => self.draining = true,
            AdmissionEvent::DrainWithdrawn => self.draining = false,
            AdmissionEvent::SettingsChanged(settings) => {
                self.settings = settings;
                self.limit.clamp_level(&self.settings);
            }
        }
        self.dispatch(context, &mut actions);
        self.shorten_queue(context, &mut actions);
        actions
    }

    /// Returns when [`AdmissionEvent::Tick`] is due, or `None` when no timer is running.
    pub fn wake_at_ms(&self) -> Option<u64> {
        [
            self.queue.next_expiry_ms(),
            self.reachability.paused_until_ms(),
            self.silence_timeout_at_ms(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the reason why the target accepts no new flow, if there is one: it is draining,
    /// unreachable or unresponsive, has no free connection, or is cold and has no free slot.
    pub fn flow_refusal(&self) -> Option<ResultCode> {
        if self.draining {
            return Some(ResultCode::Draining);
        }
        if self.reachability.is_unreachable() || self.is_unresponsive {
            return Some(ResultCode::TargetUnreachable);
        }
        if self.free_connections() == 0 {
            return Some(ResultCode::ConnectionsFull);
        }
        let cold_and_full = self.limit.is_cold() && self.free_slots() == 0;
        cold_and_full.then_some(ResultCode::Overloaded)
    }

    /// Returns whether the target has less capacity than usual: it is cold, unreachable or
    /// unresponsive.
    ///
    /// The requests that it refuses are then better run by other targets of the service; see
    /// [`crate::requests::RequestTracker::should_relay_overflow`].
    pub fn is_impaired(&self) -> bool {
        self.limit.is_cold() || self.reachability.is_unreachable() || self.is_unresponsive
    }

    /// Returns the placement weight scaled by the limit in force, at least one.
    pub fn ramped_weight(&self, weight: u8) -> u8 {
        let share = f64::from(self.limit.in_force()) / f64::from(self.settings.full_limit());
        (f64::from(weight) * share.min(1.0)).ceil().max(1.0) as u8
    }

    /// Returns the load relative to capacity, in thousandths; `u16::MAX` when the target accepts no
    /// new flows.
    pub fn load_permille(&self) -> u16 {
        if self.flow_refusal().is_some() {
            return LOAD_FULL_PERMILLE;
        }
        let connection_share = permille(self.open_connections(), self.settings.connection_limit);
        let waiting_share = permille(self.queue.len() as u32, self.limit.in_force());
        (connection_share + waiting_share).min(LOAD_MAX_PERMILLE) as u16
    }

    /// Returns the state for dumps and metrics.
    pub fn view(&self) -> AdmissionView {
        AdmissionView {
            limit: self.limit.in_force(),
            in_flight: self.in_flight.len() as u32,
            queued: self.queue.len() as u32,
            connections: self.open_connections(),
            cold: self.limit.is_cold(),
            draining: self.draining,
            cold_turns: self.cold_turns,
            decreases: self.decreases,
            refused: self.refused,
        }
    }

    fn on_target_started(&mut self, now_ms: u64) {
        self.limit.turn_cold(&self.settings);
        self.detector.reset();
        self.is_unresponsive = false;
        self.reachability = Reachability::default();
        self.last_answer_ms = now_ms;
    }

    fn on_health_hint(&mut self, up: bool, now_ms: u64) {
        if self.reachability.on_health_hint(up) {
            self.on_target_started(now_ms);
        }
    }

    pub(super) fn free_slots(&self) -> u32 {
        let used = self.in_flight.len() as u32;
        self.limit.in_force().saturating_sub(used)
    }

    pub(super) fn open_connections(&self) -> u32 {
        self.connections + self.streams
    }

    pub(super) fn free_connections(&self) -> u32 {
        let limit = self.settings.connection_limit;
        limit.saturating_sub(self.open_connections())
    }
}

fn permille(part: u32, whole: u32) -> u64 {
    u64::from(part) * 1_000 / u64::from(whole.max(1))
}

fn ends_request(event: &AdmissionEvent) -> bool {
    matches!(
        event,
        AdmissionEvent::Answered { .. }
            | AdmissionEvent::StreamBegan { .. }
            | AdmissionEvent::Cancelled { .. }
    )
}
