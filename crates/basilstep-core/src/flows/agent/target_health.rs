//! What an agent measures of its target: how long it processes a request, and which requests end
//! without an answer.

use super::{
    service_slots::{EndedRequest, ServiceSlots},
    service_time::ServiceTime,
    table::CallerWait,
};
use crate::flows::{key::FlowKey, settings::TargetHealthSettings};
use serde::Serialize;
use std::collections::VecDeque;

/// The age from which the end of a request no longer counts for the share of unanswered ones.
const MAX_OUTCOME_AGE_MS: u64 = 5_000;

/// The maximum number of requests over which that share is measured: those answered before a target
/// began to fail would otherwise hide its failures for seconds.
const MAX_OUTCOMES: usize = 32;

/// The number of unanswered requests below which a target has no failure share: a single lost
/// request is no evidence when there are few requests.
const MIN_FAILURES: u32 = 2;

/// The minimum time between two changes that are reported at once.
const MIN_CHANGE_INTERVAL_MS: u64 = 1_000;

/// The time without an event from which the agent is assumed not to have run: two of its ticks.
///
/// Answers that arrived during this time are read late, and a slow agent is no evidence of a slow
/// target.
const MAX_EVENT_GAP_MS: u64 = 100;

/// The health of a target as its agent reports it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct HealthReading {
    /// How long the target takes for a request that was not queued; 0 if unknown.
    pub service_time_ms: u16,
    /// The share of the requests of the last seconds that ended without an answer, in thousandths.
    pub failure_permille: u16,
}

/// A change of the health of a target that balancers should know before the next report is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthChange {
    /// The health at the last change.
    pub before: HealthReading,
    /// The health now.
    pub after: HealthReading,
}

/// How a request ended that got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnansweredEnd {
    /// The target reset its flow.
    TargetReset,
    /// The caller, or both ends, closed its flow.
    Closed,
    /// It has been unanswered for longer than callers wait.
    GivenUp,
    /// Its flow is no longer known, which says nothing about the target.
    Unknown,
}

/// The end of a request.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    ended_ms: u64,
    is_failure: bool,
}

/// Measures the health of the current incarnation of a target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    slots: ServiceSlots,
    outcomes: VecDeque<Outcome>,
    announced: HealthReading,
    announced_ms: u64,
    last_event_ms: u64,
}

impl TargetHealth {
    /// Records data of a caller for the target.
    pub fn on_request(&mut self, key: FlowKey, capacity: u16, now_ms: u64) {
        self.skip_stall(now_ms);
        self.slots.on_request(key, capacity, now_ms);
    }

    /// Records the begin of an answer.
    pub fn on_answer(
        &mut self,
        key: &FlowKey,
        capacity: u16,
        service_time: &mut ServiceTime,
        now_ms: u64,
    ) {
        self.skip_stall(now_ms);
        let Some(request) = self.slots.remove(key, capacity, now_ms) else {
            return;
        };
        self.record_outcome(false, now_ms);
        if let Some(sample_ms) = sample_ms(request, service_time) {
            service_time.record_at(sample_ms, now_ms);
        }
    }

    /// Records the end of a request that got no answer, if the flow had one.
    pub fn on_unanswered(
        &mut self,
        key: &FlowKey,
        end: UnansweredEnd,
        capacity: u16,
        service_time: &ServiceTime,
        settings: &TargetHealthSettings,
        now_ms: u64,
    ) {
        self.skip_stall(now_ms);
        let Some(request) = self.slots.remove(key, capacity, now_ms) else {
            return;
        };
        let is_failure = match end {
            UnansweredEnd::TargetReset => true,
            UnansweredEnd::GivenUp if !request.is_interrupted => true,
            UnansweredEnd::GivenUp | UnansweredEnd::Closed => {
                was_slow(request, service_time, settings)
            }
            UnansweredEnd::Unknown => false,
        };
        if is_failure {
            self.record_outcome(true, now_ms);
        }
    }

    /// Removes the requests that have ended without a packet, by the state of their flows, and
    /// updates the lower bound of the service time.
    pub fn on_tick(
        &mut self,
        wait_of: impl Fn(&FlowKey) -> Option<CallerWait>,
        capacity: u16,
        service_time: &mut ServiceTime,
        settings: &TargetHealthSettings,
        now_ms: u64,
    ) {
        self.skip_stall(now_ms);
        let ended: Vec<(FlowKey, UnansweredEnd)> = self
            .slots
            .flows()
            .filter_map(|key| match wait_of(key) {
                Some(CallerWait::Answer) => None,
                Some(CallerWait::GivenUp) => Some((*key, UnansweredEnd::GivenUp)),
                Some(CallerWait::Nothing) | None => Some((*key, UnansweredEnd::Unknown)),
            })
            .collect();
        for (key, end) in ended {
            self.on_unanswered(&key, end, capacity, service_time, settings, now_ms);
        }
        service_time.update_lower_bound(self.slots.processing_times_ms(now_ms));
    }

    /// Returns the current health.
    pub fn reading(&self, service_time: &ServiceTime, now_ms: u64) -> HealthReading {
        HealthReading {
            service_time_ms: service_time.estimate_ms().map_or(0, |estimate_ms| {
                estimate_ms.round().clamp(1.0, f64::from(u16::MAX)) as u16
            }),
            failure_permille: self.failure_permille(now_ms),
        }
    }

    /// Returns the change since the last one that was returned, if balancers should know it before
    /// the next report is due.
    ///
    /// Each change is reported to all balancers, so the time between two of them grows with
    /// `balancer_groups`.
    pub fn take_change(
        &mut self,
        after: HealthReading,
        balancer_groups: u64,
        settings: &TargetHealthSettings,
        now_ms: u64,
    ) -> Option<HealthChange> {
        let before = self.announced;
        if before.service_time_ms == 0 {
            self.announced.service_time_ms = after.service_time_ms;
        }
        let min_interval_ms = MIN_CHANGE_INTERVAL_MS * balancer_groups.max(1);
        if now_ms < self.announced_ms + min_interval_ms || !is_change(before, after, settings) {
            return None;
        }
        self.announced = after;
        self.announced_ms = now_ms;
        Some(HealthChange { before, after })
    }

    fn skip_stall(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_event_ms);
        if gap_ms > MAX_EVENT_GAP_MS {
            self.slots.skip(gap_ms);
        }
        self.last_event_ms = now_ms;
    }

    fn failure_permille(&self, now_ms: u64) -> u16 {
        let (mut ended, mut failed) = (0, 0);
        for outcome in &self.outcomes {
            if now_ms < outcome.ended_ms + MAX_OUTCOME_AGE_MS {
                ended += 1;
                failed += u32::from(outcome.is_failure);
            }
        }
        if failed < MIN_FAILURES {
            return 0;
        }
        (failed * 1_000 / ended) as u16
    }

    fn record_outcome(&mut self, is_failure: bool, now_ms: u64) {
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(Outcome {
            ended_ms: now_ms,
            is_failure,
        });
    }
}

/// Returns the service time that an answered request shows, if it is evidence.
fn sample_ms(request: EndedRequest, service_time: &ServiceTime) -> Option<u64> {
    match request.processing_ms {
        // It took at least this time, which is evidence only if it is long.
        Some(processing_ms) if request.is_interrupted => service_time
            .mean_ms()
            .is_some_and(|mean_ms| processing_ms as f64 > mean_ms)
            .then_some(processing_ms),
        Some(processing_ms) => Some(processing_ms),
        // The target has answered out of order. The request took at most its age, which is evidence
        // only if it is short.
        None => (!request.is_interrupted && service_time.exceeds(request.age_ms))
            .then_some(request.age_ms),
    }
}

/// Returns whether the target had processed a request for so long that its caller may have ended it
/// for that reason; callers also end requests that they no longer need.
fn was_slow(
    request: EndedRequest,
    service_time: &ServiceTime,
    settings: &TargetHealthSettings,
) -> bool {
    let processing_ms = request.processing_ms.unwrap_or(0) as f64;
    service_time
        .mean_ms()
        .is_some_and(|mean_ms| processing_ms >= mean_ms * settings.slow_factor)
}

fn is_change(before: HealthReading, after: HealthReading, settings: &TargetHealthSettings) -> bool {
    let is_failing = |reading: HealthReading| reading.failure_permille >= settings.failure_permille;
    if is_failing(before) != is_failing(after) {
        return true;
    }
    let (low_ms, high_ms) = if before.service_time_ms < after.service_time_ms {
        (before.service_time_ms, after.service_time_ms)
    } else {
        (after.service_time_ms, before.service_time_ms)
    };
    low_ms > 0 && settings.is_slower(f64::from(high_ms), f64::from(low_ms))
}
