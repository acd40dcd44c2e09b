//! The requests at the target and the detection of its silence.

use super::{CostClass, RequestId, overload_detector::OverloadDetector};
use std::collections::BTreeMap;

/// The tolerated age of each request in flight, relative to its baseline latency.
const SILENCE_AGE_RATIO: f64 = 3.0;
/// The sum of relative ages beyond the tolerated ones at which the target counts as unresponsive.
const SILENCE_ALARM_AGE_SUM: f64 = 8.0;

/// A request at the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningRequest {
    /// Its cost class.
    pub(super) class: CostClass,
    /// The time at which it was sent.
    pub(super) sent_ms: u64,
    /// The epoch of the limit in which it was sent.
    pub(super) epoch: u64,
}

/// The requests at the target.
#[derive(Debug, Default)]
pub(super) struct InFlight {
    running: BTreeMap<RequestId, RunningRequest>,
}

impl InFlight {
    /// Returns the number of requests at the target.
    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, running: RunningRequest) {
        self.running.insert(id, running);
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<RunningRequest> {
        self.running.remove(&id)
    }

    /// Returns when the target will count as unresponsive if no answer arrives.
    ///
    /// The ages of all requests of the epoch are added up, so that a single slow request does not
    /// count as silence while others are answered. `timeout_factor` scales the threshold.
    pub(super) fn unresponsive_at_ms(
        &self,
        detector: &OverloadDetector,
        epoch: u64,
        last_answer_ms: u64,
        timeout_factor: f64,
    ) -> Option<u64> {
        let mut count = 0.0;
        let mut sent_sum = 0.0;
        let mut rate_sum = 0.0;
        let mut slowest_ms: f64 = 0.0;
        for running in self.running.values().filter(|one| one.epoch == epoch) {
            let Some(usual_ms) = detector.baseline_ms(running.class) else {
                continue;
            };
            count += 1.0;
            sent_sum += running.sent_ms as f64 / usual_ms;
            rate_sum += 1.0 / usual_ms;
            slowest_ms = slowest_ms.max(usual_ms);
        }
        if count == 0.0 {
            return None;
        }
        let alarm = timeout_factor * (SILENCE_AGE_RATIO * count + SILENCE_ALARM_AGE_SUM);
        let by_age_ms = ((alarm + sent_sum) / rate_sum).ceil() as u64;
        let by_answer_ms = last_answer_ms + (SILENCE_AGE_RATIO * slowest_ms).ceil() as u64;
        Some(by_age_ms.max(by_answer_ms))
    }
}
