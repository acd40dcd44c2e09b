//! Detection of overload and slowdown from the answers of a target.

use super::{CostClass, RequestOutcome};
use std::collections::BTreeMap;

/// Latencies below this are raised to it, as they are too short for a meaningful ratio.
const BASELINE_FLOOR_MS: f64 = 5.0;
/// The gain of the baseline average once enough answers are known.
const BASELINE_GAIN: f64 = 1.0 / 64.0;
/// The gain of the baseline average while the target runs at its cold limit.
const COLD_BASELINE_GAIN: f64 = 1.0 / 16.0;
/// The gain of the baseline average during the ramp, when load may cause the latency.
const RAMP_BASELINE_GAIN: f64 = 1.0 / 128.0;
/// The gain of the recent mean latency.
const MEAN_LATENCY_GAIN: f64 = 1.0 / 16.0;
/// Latencies count in the baseline average as at most this multiple of the baseline.
const BASELINE_CLIP_RATIO: f64 = 5.0;
/// The range to which the coefficient of variation of latencies is clamped; the maximum is that of
/// exponential service times.
const CV_RANGE: (f64, f64) = (0.25, 1.0);
/// The slowdown that is tolerated permanently, per squared coefficient of variation.
const TOLERANCE_PER_SQUARED_CV: f64 = 0.65;
/// The cumulative excess at which an alarm is raised, in coefficients of variation; exponential
/// service times reach it by chance once in some hundred thousand answers.
const ALARM_EXCESS_CVS: f64 = 16.0;
/// The cumulative excess from which the limit stops growing, in coefficients of variation.
const STRAIN_EXCESS_CVS: f64 = 4.0;
/// The number of answers after which the coefficient of variation counts as known.
const CV_MIN_ANSWERS: u32 = 16;
/// The mean slowdown from which an alarm means that the target has turned cold, because halving
/// the limit would not suffice.
const COLLAPSE_RATIO: f64 = 3.0;
/// The number of bad answers among the last eight from which a server error counts as overload.
const OVERLOAD_ERRORS_OF_EIGHT: u32 = 2;

/// The effect of one answer on the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LoadSignal {
    /// The answer was in time: the limit may grow.
    Good,
    /// The answer is neither good nor a sign of overload: the limit is kept.
    Strained,
    /// The target refused, failed or was too slow: the limit is halved.
    Overloaded,
    /// The target has slowed down: the limit is divided by the slowdown and ramps up again.
    Slowed {
        /// The mean latency relative to the baseline.
        ratio: f64,
    },
    /// The target has only a fraction of its earlier capacity: it counts as cold.
    Collapsed,
}

/// The baseline latency of one cost class.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    latency_ms: f64,
    variance: f64,
    answers: u32,
}

impl Baseline {
    /// Returns the coefficient of variation of the latencies; the maximum until it is known.
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

/// Compares the latencies of answers with the baseline of their cost class.
///
/// Alarms are raised by a cumulative sum (CUSUM) of the slowdown beyond the tolerated one, so that
/// neither a single slow answer nor a wide spread of service times causes one.
#[derive(Debug, Default)]
pub(super) struct OverloadDetector {
    baselines: BTreeMap<CostClass, Baseline>,
    mean_latency_ms: Option<f64>,
    cusum: SlowdownCusum,
    recent_failures: u8,
}

impl OverloadDetector {
    /// Resets all state after a start of the target.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Resets the cumulative sum; called after a reduction of the limit.
    pub(super) fn restart(&mut self) {
        self.cusum = SlowdownCusum::default();
    }

    /// Returns the baseline latency of a cost class, if it is known.
    pub(super) fn baseline_ms(&self, class: CostClass) -> Option<f64> {
        self.baselines
            .get(&class)
            .map(|baseline| baseline.latency_ms)
    }

    /// Returns the recent mean latency over all cost classes; `None` before the first answer.
    pub(super) fn mean_latency_ms(&self) -> Option<f64> {
        self.mean_latency_ms
    }

    /// Adds the latency of an answer of any epoch to the recent mean.
    pub(super) fn note_latency(&mut self, latency_ms: u32) {
        let latency_ms = f64::from(latency_ms).max(1.0);
        let mean_latency_ms = self.mean_latency_ms.get_or_insert(latency_ms);
        *mean_latency_ms += MEAN_LATENCY_GAIN * (latency_ms - *mean_latency_ms);
    }

    /// Classifies an answer of the current epoch.
    pub(super) fn classify(&mut self, class: CostClass, answer: &AnswerSample) -> LoadSignal {
        let bad = answer.outcome != RequestOutcome::Ok;
        self.recent_failures = (self.recent_failures << 1) | u8::from(bad);
        match answer.outcome {
            RequestOutcome::Ok => self.classify_latency(class, answer),
            RequestOutcome::Error
                if self.recent_failures.count_ones() < OVERLOAD_ERRORS_OF_EIGHT =>
            {
                LoadSignal::Strained
            }
            RequestOutcome::Error | RequestOutcome::TimedOut | RequestOutcome::Shed { .. } => {
                LoadSignal::Overloaded
            }
            RequestOutcome::TargetGone => LoadSignal::Collapsed,
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

/// The cumulative sum of the slowdown since it was last zero.
#[derive(Debug, Default)]
struct SlowdownCusum {
    excess: f64,
    ratio_sum: f64,
    answers: u32,
}

impl SlowdownCusum {
    /// Adds the slowdown of one answer; returns a signal when it raises an alarm.
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

/// One answer with the inputs of its classification.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerSample {
    /// The time from the first byte sent to the head of the answer.
    pub(super) latency_ms: u32,
    /// The outcome of the request.
    pub(super) outcome: RequestOutcome,
    /// The absolute limit of the latency.
    pub(super) latency_limit_ms: u32,
    /// Whether the target runs at its cold limit, where load does not cause its latency.
    pub(super) at_cold_limit: bool,
    /// Whether the limit is ramping up.
    pub(super) is_ramping: bool,
}
