//! The counts and derived figures of one run.

use super::run::{END_MS, OUT_MS, RETURN_MS};
use std::ops::Range;

/// The width of one interval of the score.
const BIN_MS: u64 = 1_000;
/// The number of intervals over which a dip is averaged.
const WINDOW_BINS: usize = 3;
/// The number of intervals after the change within which traffic has to leave the domain.
const DEPARTURE_BINS: usize = 2;
/// The number of intervals before the return with which a dip is compared.
const BEFORE_BINS: usize = 10;
/// The number of intervals after the return that are searched for a dip.
const RETURN_BINS: usize = 20;
/// The share of the allowed score that counts as full service.
const FULL_SHARE: f64 = 0.95;

/// The counts of one run.
#[derive(Debug)]
pub struct Figures {
    offered: Vec<f64>,
    served: Vec<f64>,
    /// The score per second that the whole service can serve.
    pub capacity: f64,
    /// The share of the capacity that remains while the domain is out.
    pub remaining_share: f64,
    /// The time of the last packet to the domain, counted from the accepted change.
    pub last_packet_ms: u64,
    /// The flows that ended because their domain was taken out.
    pub flows_lost_with_domain: u32,
    /// All other lost flows.
    pub broken_flows: u32,
    /// The longest time that a caller was without a flow after it lost one.
    pub reopened_after_ms: u64,
    /// The non-idempotent requests with an unknown outcome.
    pub unknown_outcomes: u32,
    /// The requests that were not answered before their deadline.
    pub timed_out: u32,
    /// The requests that were relayed to another agent.
    pub relayed: u32,
    /// The relayed requests that the other agent refused.
    pub relays_refused: u32,
    /// The requests that callers made.
    pub requests: u32,
    /// The number of crashes of targets.
    pub crashes: u32,
    /// The largest ratio of load to current capacity at a target that returned.
    pub returned_peak_ratio: f64,
    /// The flows of the returned domain at the end, relative to its share of the targets.
    pub returned_flow_share: f64,
}

impl Figures {
    /// Creates counts at zero.
    pub fn new(capacity: f64, remaining_share: f64) -> Self {
        let bins = (END_MS / BIN_MS) as usize;
        Self {
            offered: vec![0.0; bins],
            served: vec![0.0; bins],
            capacity,
            remaining_share,
            last_packet_ms: 0,
            flows_lost_with_domain: 0,
            broken_flows: 0,
            reopened_after_ms: 0,
            unknown_outcomes: 0,
            timed_out: 0,
            relayed: 0,
            relays_refused: 0,
            requests: 0,
            crashes: 0,
            returned_peak_ratio: 0.0,
            returned_flow_share: 0.0,
        }
    }

    /// Counts a request that a caller makes.
    pub fn count_offered(&mut self, now_ms: u64, score: f64) {
        self.offered[bin_of(now_ms)] += score;
        self.requests += 1;
    }

    /// Counts a request that was answered in time.
    pub fn count_served(&mut self, now_ms: u64, score: f64) {
        self.served[bin_of(now_ms)] += score;
    }

    /// Returns the served share of the allowed score during the first seconds after the change.
    pub fn departure_share(&self) -> f64 {
        let start = bin_of(OUT_MS);
        self.share_of_allowed(start..start + DEPARTURE_BINS, self.remaining_share)
    }

    /// Returns the served share of the allowed score between those first seconds and the return.
    pub fn out_share(&self) -> f64 {
        let start = bin_of(OUT_MS) + DEPARTURE_BINS;
        self.share_of_allowed(start..bin_of(RETURN_MS), self.remaining_share)
    }

    /// Returns the lowest score after the return relative to the mean before it.
    pub fn return_dip(&self) -> f64 {
        let start = bin_of(RETURN_MS);
        let before = mean(&self.served[start - BEFORE_BINS..start]);
        let after = &self.served[start..start + RETURN_BINS];
        let least = after
            .windows(WINDOW_BINS)
            .map(mean)
            .fold(f64::MAX, f64::min);
        least / before
    }

    /// Returns the served share of the whole capacity's score between the return and the end.
    pub fn returned_share(&self) -> f64 {
        self.share_of_allowed(bin_of(RETURN_MS)..self.served.len(), 1.0)
    }

    /// Returns the time from the return until full service; `None` if it was not reached.
    pub fn full_after_s(&self) -> Option<usize> {
        let start = bin_of(RETURN_MS);
        let last = self.served.len() - WINDOW_BINS;
        (start..=last)
            .find(|first| self.share_of_allowed(*first..first + WINDOW_BINS, 1.0) >= FULL_SHARE)
            .map(|first| first - start)
    }

    /// Returns a count relative to the number of requests.
    pub fn share_of_requests(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.requests)
    }

    /// Returns the score per second as points over the seconds since the change.
    pub fn curve(&self) -> Vec<(f64, f64)> {
        let start = bin_of(OUT_MS) as f64;
        let windows = self.served.windows(WINDOW_BINS).enumerate();
        windows
            .map(|(first, window)| (first as f64 + 1.0 - start, mean(window)))
            .collect()
    }

    fn share_of_allowed(&self, bins: Range<usize>, capacity_share: f64) -> f64 {
        let offered: f64 = self.offered[bins.clone()].iter().sum();
        let capacity = self.capacity * capacity_share * bins.len() as f64;
        self.served[bins].iter().sum::<f64>() / offered.min(capacity)
    }
}

fn bin_of(now_ms: u64) -> usize {
    (now_ms / BIN_MS) as usize
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}
