//! The requests at the target and how long it has been silent about them.

use super::{CostClass, RequestId, overload_detector::OverloadDetector};
use std::collections::BTreeMap;

/// The age of each request in flight, relative to its usual latency, that silence tolerates.
const SILENCE_RATIO: f64 = 3.0;
/// The sum of relative ages beyond that at which the target counts as silent.
const SILENCE_ALARM: f64 = 8.0;

/// A request at the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    /// Its group of cost.
    pub(super) class: CostClass,
    /// When it was sent.
    pub(super) sent_ms: u64,
    /// The epoch of the limit that it was sent in.
    pub(super) epoch: u64,
}

/// All requests at the target.
#[derive(Debug, Default)]
pub(super) struct InFlight {
    running: BTreeMap<RequestId, Running>,
}

impl InFlight {
    /// Returns how many requests are at the target.
    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, running: Running) {
        self.running.insert(id, running);
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<Running> {
        self.running.remove(&id)
    }

    /// Returns when the target will count as silent if no answer comes.
    ///
    /// The ages of all requests of the epoch are added up, so that one request that takes long
    /// raises no alarm as long as others are answered. `timeout_factor` stretches the time.
    pub(super) fn silent_at_ms(
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
        let alarm = timeout_factor * (SILENCE_RATIO * count + SILENCE_ALARM);
        let by_age_ms = ((alarm + sent_sum) / rate_sum).ceil() as u64;
        let by_answer_ms = last_answer_ms + (SILENCE_RATIO * slowest_ms).ceil() as u64;
        Some(by_age_ms.max(by_answer_ms))
    }
}
