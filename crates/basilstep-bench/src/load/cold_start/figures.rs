//! Counts and derived figures of one run of the `cold-start` experiment.

use super::super::target_model::{Completion, CompletionKind, TargetModel};

/// The width of one point of the throughput curve.
const BIN_MS: u64 = 500;
/// The share of the offered load that has to be answered for the target to count as fully loaded.
const FULL_SHARE: f64 = 0.9;
/// The number of consecutive points for which full load has to last.
const FULL_BINS: usize = 4;

/// The counts of one run, starting when the target is cold.
#[derive(Debug, Default)]
pub struct Figures {
    /// Requests that arrived.
    pub offered: u32,
    /// Requests answered in time.
    pub answered: u32,
    /// Requests refused as not run.
    pub refused: u32,
    /// Requests lost at the target.
    pub lost: u32,
    /// Requests that were not answered before their deadline.
    pub timed_out: u32,
    /// The number of times that the target crashed.
    pub crashes: u32,
    /// The time for which more requests were in flight than the target's current capacity.
    pub above_capacity_ms: u64,
    /// The largest ratio of requests in flight to the current capacity.
    pub peak_load_ratio: f64,
    /// The time until the target sustained the offered load; `None` if it never did.
    pub full_after_ms: Option<u64>,
    answered_by_bin: Vec<u32>,
}

impl Figures {
    /// Counts one completed request.
    pub fn add(&mut self, completion: &Completion, elapsed_ms: u64) {
        let bin = (elapsed_ms / BIN_MS) as usize;
        if self.answered_by_bin.len() <= bin {
            self.answered_by_bin.resize(bin + 1, 0);
        }
        match completion.kind {
            CompletionKind::Answered => {
                self.answered += 1;
                self.answered_by_bin[bin] += 1;
            }
            CompletionKind::Refused { .. } => self.refused += 1,
            CompletionKind::Lost => self.lost += 1,
            CompletionKind::TimedOut => self.timed_out += 1,
        }
    }

    /// Adds the target's counts and computes when the target sustained the offered load.
    pub fn finish(&mut self, target: &TargetModel, offered_per_second: f64) {
        self.crashes = target.crashes();
        self.above_capacity_ms = target.above_capacity_ms();
        self.peak_load_ratio = target.peak_load_ratio();
        let full = offered_per_second * BIN_MS as f64 / 1_000.0 * FULL_SHARE;
        let is_full = |bins: &[u32]| {
            let sum: u32 = bins.iter().sum();
            f64::from(sum) >= full * bins.len() as f64
        };
        let bins = &self.answered_by_bin;
        let first = bins.windows(FULL_BINS).position(is_full);
        self.full_after_ms = first.map(|bin| bin as u64 * BIN_MS);
    }

    /// Returns the share of the offered requests that were answered.
    pub fn answered_share(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.offered.max(1))
    }

    /// Returns the answers per second as points over the time in seconds.
    pub fn answered_curve(&self) -> Vec<(f64, f64)> {
        let per_second = 1_000.0 / BIN_MS as f64;
        let points = self.answered_by_bin.iter().enumerate();
        points
            .map(|(bin, count)| (bin as f64 / per_second, f64::from(*count) * per_second))
            .collect()
    }
}
