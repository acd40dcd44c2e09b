//! What the answers of a target tell about its load.

use super::{CostClass, Outcome};
use std::collections::BTreeMap;

/// Latencies below this are too short to be compared with each other.
const BASELINE_FLOOR_MS: f64 = 5.0;
/// The weight of one answer in the baseline once enough answers are known.
const BASELINE_GAIN: f64 = 1.0 / 32.0;
/// The weight of one answer while the target runs at its cold limit.
const COLD_BASELINE_GAIN: f64 = 0.25;
/// The weight of one answer in the recent mean latency.
const TYPICAL_GAIN: f64 = 1.0 / 8.0;
/// An answer moves the baseline by no more than this multiple of it.
const BASELINE_CLIP_RATIO: f64 = 3.0;
/// The slowdown that the excess sum tolerates for ever.
const TOLERATED_RATIO: f64 = 2.0;
/// The excess sum at which the target counts as overloaded; exponential service times reach it
/// by chance once in some ten thousand answers.
const EXCESS_ALARM: f64 = 12.0;
/// The excess sum above which the limit stops growing.
const EXCESS_STRAIN: f64 = 4.0;
/// The mean slowdown of an alarm that halving would not cure: the target has turned cold.
const COLLAPSE_RATIO: f64 = 3.0;
/// The share of bad answers among the last eight at which a server error counts as overload.
const ERRORS_OF_EIGHT: u32 = 2;

/// What one answer means for the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// In time: the limit may grow.
    Good,
    /// Neither: the limit stays.
    Strained,
    /// The target is overloaded: the limit is halved.
    Overloaded,
    /// The target carries a fraction of what it carried before.
    Collapsed,
}

/// The usual latency of one class of requests.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    latency_ms: f64,
    answers: u32,
}

/// Judges answers against the usual latency of their class.
///
/// A cumulative sum of the slowdown beyond the tolerated one raises the alarm, so that neither a
/// single slow answer nor a wide spread of service times does.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    baselines: BTreeMap<CostClass, Baseline>,
    typical_ms: Option<f64>,
    excess: f64,
    run_ratio_sum: f64,
    run_answers: u32,
    history: u8,
}

impl Evidence {
    /// Forgets everything: the target has been started anew.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Forgets the current run of slow answers; called when the limit was reduced.
    pub(super) fn restart(&mut self) {
        self.excess = 0.0;
        self.run_ratio_sum = 0.0;
        self.run_answers = 0;
    }

    /// Returns the usual latency of a class, once known.
    pub(super) fn baseline_ms(&self, class: CostClass) -> Option<f64> {
        self.baselines
            .get(&class)
            .map(|baseline| baseline.latency_ms)
    }

    /// Returns the recent mean latency over all classes; `None` before any answer.
    pub(super) fn typical_ms(&self) -> Option<f64> {
        self.typical_ms
    }

    /// Notes the latency of any answer, whatever its epoch.
    pub(super) fn note_latency(&mut self, latency_ms: u32) {
        let latency_ms = f64::from(latency_ms).max(1.0);
        let typical_ms = self.typical_ms.get_or_insert(latency_ms);
        *typical_ms += TYPICAL_GAIN * (latency_ms - *typical_ms);
    }

    /// Judges an answer of the current epoch.
    pub(super) fn judge(&mut self, class: CostClass, answer: &Answer) -> Verdict {
        let bad = answer.outcome != Outcome::Ok;
        self.history = (self.history << 1) | u8::from(bad);
        match answer.outcome {
            Outcome::Ok => self.judge_latency(class, answer),
            Outcome::Error if self.history.count_ones() < ERRORS_OF_EIGHT => Verdict::Strained,
            Outcome::Error | Outcome::Slow | Outcome::Shed { .. } => Verdict::Overloaded,
            Outcome::TargetGone => Verdict::Collapsed,
        }
    }

    fn judge_latency(&mut self, class: CostClass, answer: &Answer) -> Verdict {
        let latency_ms = f64::from(answer.latency_ms).max(BASELINE_FLOOR_MS);
        let Some(usual_ms) = self.baseline_ms(class) else {
            self.learn(class, latency_ms, answer.at_cold_limit);
            return Verdict::Good;
        };
        let ratio = latency_ms / usual_ms;
        let alarm = self.add_excess(ratio);
        if answer.at_cold_limit || self.excess < EXCESS_STRAIN {
            self.learn(class, latency_ms, answer.at_cold_limit);
        }
        if let Some(verdict) = alarm {
            return verdict;
        }
        if answer.latency_ms > answer.latency_limit_ms && ratio > TOLERATED_RATIO {
            return Verdict::Overloaded;
        }
        if self.excess < EXCESS_STRAIN && ratio < TOLERATED_RATIO {
            return Verdict::Good;
        }
        Verdict::Strained
    }

    fn add_excess(&mut self, ratio: f64) -> Option<Verdict> {
        self.excess = (self.excess + ratio - TOLERATED_RATIO).max(0.0);
        if self.excess <= 0.0 {
            self.restart();
            return None;
        }
        self.run_ratio_sum += ratio;
        self.run_answers += 1;
        if self.excess < EXCESS_ALARM {
            return None;
        }
        let mean_ratio = self.run_ratio_sum / f64::from(self.run_answers);
        self.restart();
        if mean_ratio >= COLLAPSE_RATIO {
            return Some(Verdict::Collapsed);
        }
        Some(Verdict::Overloaded)
    }

    fn learn(&mut self, class: CostClass, latency_ms: f64, at_cold_limit: bool) {
        let baseline = self.baselines.entry(class).or_insert(Baseline {
            latency_ms,
            answers: 0,
        });
        baseline.answers = baseline.answers.saturating_add(1);
        let settled_gain = if at_cold_limit {
            COLD_BASELINE_GAIN
        } else {
            BASELINE_GAIN
        };
        let gain = settled_gain.max(1.0 / f64::from(baseline.answers));
        let clipped_ms = latency_ms.min(BASELINE_CLIP_RATIO * baseline.latency_ms);
        baseline.latency_ms += gain * (clipped_ms - baseline.latency_ms);
    }
}

/// One answer with what its judgement needs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    /// The time to the head of the answer.
    pub(super) latency_ms: u32,
    /// How the request ended.
    pub(super) outcome: Outcome,
    /// The latency above which an answer is slow in any case.
    pub(super) latency_limit_ms: u32,
    /// Whether the target runs at its cold limit, where its latency is not the load's doing.
    pub(super) at_cold_limit: bool,
}
