//! What the answers of a target tell about its load.

use super::{CostClass, Outcome};
use std::collections::BTreeMap;

/// Latencies below this are too short to be compared with each other.
const BASELINE_FLOOR_MS: f64 = 5.0;
/// The weight of one answer in the baseline once enough answers are known.
const BASELINE_GAIN: f64 = 1.0 / 64.0;
/// The weight of one answer while the target runs at its cold limit.
const COLD_BASELINE_GAIN: f64 = 1.0 / 16.0;
/// The weight of one answer during the ramp, whose latency may be the load's doing.
const RAMP_BASELINE_GAIN: f64 = 1.0 / 128.0;
/// The weight of one answer in the recent mean latency.
const MEAN_LATENCY_GAIN: f64 = 1.0 / 16.0;
/// An answer moves the baseline by no more than this multiple of it.
const BASELINE_CLIP_RATIO: f64 = 5.0;
/// The least and the largest spread of latencies that is reckoned with, relative to their mean;
/// the largest is that of exponential service times.
const CV_RANGE: (f64, f64) = (0.25, 1.0);
/// How much more slowdown is tolerated for ever the wider the spread is.
const TOLERANCE_PER_SQUARED_CV: f64 = 0.65;
/// The excess sum at which the target counts as overloaded, in spreads; exponential service times
/// reach it by chance once in some hundred thousand answers.
const ALARM_EXCESS_CVS: f64 = 16.0;
/// The excess sum above which the limit stops growing, in spreads.
const STRAIN_EXCESS_CVS: f64 = 4.0;
/// So many answers make the spread of latencies known.
const CV_MIN_ANSWERS: u32 = 16;
/// The mean slowdown of an alarm that halving would not cure: the target has turned cold.
const COLLAPSE_RATIO: f64 = 3.0;
/// The share of bad answers among the last eight at which a server error counts as overload.
const OVERLOAD_ERRORS_OF_EIGHT: u32 = 2;

/// What one answer means for the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LoadSignal {
    /// In time: the limit may grow.
    Good,
    /// Neither: the limit stays.
    Strained,
    /// The target refused or failed: the limit is halved.
    Overloaded,
    /// The target has slowed down: the limit is divided by the slowdown and ramps up anew.
    Slowed {
        /// The mean latency relative to the usual one.
        ratio: f64,
    },
    /// The target carries a fraction of what it carried before.
    Collapsed,
}

/// The usual latency of one class of requests.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    latency_ms: f64,
    variance: f64,
    answers: u32,
}

impl Baseline {
    /// Returns the spread of latencies relative to their mean; wide until it is known.
    fn coefficient_of_variation(&self) -> f64 {
        let (least, most) = CV_RANGE;
        if self.answers < CV_MIN_ANSWERS {
            return most;
        }
        self.variance.sqrt().clamp(least, most)
    }

    fn learn(&mut self, latency_ms: f64, least_gain: f64) {
        self.answers = self.answers.saturating_add(1);
        let gain = least_gain.max(1.0 / f64::from(self.answers));
        let ratio = (latency_ms / self.latency_ms).min(BASELINE_CLIP_RATIO);
        self.variance += gain * ((ratio - 1.0).powi(2) - self.variance);
        self.latency_ms *= 1.0 + gain * (ratio - 1.0);
    }
}

/// Judges answers against the usual latency of their class.
///
/// A cumulative sum of the slowdown beyond the tolerated one raises the alarm, so that neither a
/// single slow answer nor a wide spread of service times does.
#[derive(Debug, Default)]
pub(super) struct OverloadDetector {
    baselines: BTreeMap<CostClass, Baseline>,
    mean_latency_ms: Option<f64>,
    cusum: SlowdownCusum,
    recent_failures: u8,
}

impl OverloadDetector {
    /// Forgets everything: the target has been started anew.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Forgets the current run of slow answers; called when the limit was reduced.
    pub(super) fn restart(&mut self) {
        self.cusum = SlowdownCusum::default();
    }

    /// Returns the usual latency of a class, once known.
    pub(super) fn baseline_ms(&self, class: CostClass) -> Option<f64> {
        self.baselines
            .get(&class)
            .map(|baseline| baseline.latency_ms)
    }

    /// Returns the recent mean latency over all classes; `None` before any answer.
    pub(super) fn mean_latency_ms(&self) -> Option<f64> {
        self.mean_latency_ms
    }

    /// Notes the latency of any answer, whatever its epoch.
    pub(super) fn note_latency(&mut self, latency_ms: u32) {
        let latency_ms = f64::from(latency_ms).max(1.0);
        let mean_latency_ms = self.mean_latency_ms.get_or_insert(latency_ms);
        *mean_latency_ms += MEAN_LATENCY_GAIN * (latency_ms - *mean_latency_ms);
    }

    /// Judges an answer of the current epoch.
    pub(super) fn classify(&mut self, class: CostClass, answer: &AnswerSample) -> LoadSignal {
        let bad = answer.outcome != Outcome::Ok;
        self.recent_failures = (self.recent_failures << 1) | u8::from(bad);
        match answer.outcome {
            Outcome::Ok => self.classify_latency(class, answer),
            Outcome::Error if self.recent_failures.count_ones() < OVERLOAD_ERRORS_OF_EIGHT => {
                LoadSignal::Strained
            }
            Outcome::Error | Outcome::TimedOut | Outcome::Shed { .. } => LoadSignal::Overloaded,
            Outcome::TargetGone => LoadSignal::Collapsed,
        }
    }

    fn classify_latency(&mut self, class: CostClass, answer: &AnswerSample) -> LoadSignal {
        let latency_ms = f64::from(answer.latency_ms).max(BASELINE_FLOOR_MS);
        let baseline = self.baselines.entry(class).or_insert(Baseline {
            latency_ms,
            variance: 1.0,
            answers: 0,
        });
        if answer.at_cold_limit {
            baseline.learn(latency_ms, COLD_BASELINE_GAIN);
            return LoadSignal::Good;
        }
        let ratio = latency_ms / baseline.latency_ms;
        let cv = baseline.coefficient_of_variation();
        let alarm = self.cusum.add(ratio, cv);
        let is_strained = self.cusum.excess >= STRAIN_EXCESS_CVS * cv;
        if !is_strained {
            let gain = if answer.is_ramping {
                RAMP_BASELINE_GAIN
            } else {
                BASELINE_GAIN
            };
            baseline.learn(latency_ms, gain);
        }
        let is_slow = ratio > 1.0 + cv;
        if let Some(signal) = alarm {
            signal
        } else if answer.latency_ms > answer.latency_limit_ms && is_slow {
            LoadSignal::Overloaded
        } else if is_strained {
            LoadSignal::Strained
        } else {
            LoadSignal::Good
        }
    }
}

/// A run of answers that were slower than usual on the whole.
#[derive(Debug, Default)]
struct SlowdownCusum {
    excess: f64,
    ratio_sum: f64,
    answers: u32,
}

impl SlowdownCusum {
    /// Adds the slowdown of one answer; returns the verdict when the run raises the alarm.
    fn add(&mut self, ratio: f64, cv: f64) -> Option<LoadSignal> {
        self.excess += ratio - (1.0 + cv + TOLERANCE_PER_SQUARED_CV * cv.powi(2));
        if self.excess <= 0.0 {
            *self = Self::default();
            return None;
        }
        self.ratio_sum += ratio;
        self.answers += 1;
        if self.excess < ALARM_EXCESS_CVS * cv {
            return None;
        }
        let mean_ratio = self.ratio_sum / f64::from(self.answers);
        *self = Self::default();
        if mean_ratio >= COLLAPSE_RATIO {
            return Some(LoadSignal::Collapsed);
        }
        Some(LoadSignal::Slowed { ratio: mean_ratio })
    }
}

/// One answer with what its judgement needs.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerSample {
    /// The time to the head of the answer.
    pub(super) latency_ms: u32,
    /// How the request ended.
    pub(super) outcome: Outcome,
    /// The latency above which an answer is slow in any case.
    pub(super) latency_limit_ms: u32,
    /// Whether the target runs at its cold limit, where its latency is not the load's doing.
    pub(super) at_cold_limit: bool,
    /// Whether the limit ramps up.
    pub(super) is_ramping: bool,
}
