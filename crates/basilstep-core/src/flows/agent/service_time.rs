use super::target::TargetState;
use crate::flows::settings::FlowSettings;

/// The weight of a new sample in the moving average; about the last eight requests count.
const SAMPLE_WEIGHT: f64 = 0.125;

/// The time after which samples that lower the average replace most of it, however few they are.
///
/// A target that has recovered but gets few requests would otherwise count as slow for many seconds.
const FADE_MS: f64 = 500.0;

/// The age of the oldest unanswered request of a target that has answered none, from which it is
/// used as the service time; shorter ages say little about the target.
const MIN_AGE_WITHOUT_ANSWER_MS: u64 = 250;

/// The time in which no target answers a request.
const MIN_SERVICE_TIME_MS: f64 = 1.0;

/// The moving average of the time that a target takes for a request that was not queued.
#[derive(Clone, Copy, Debug, Default)]
#[expect(clippy::struct_field_names, reason = "each is a time with its unit")]
pub struct ServiceTime {
    mean_ms: Option<f64>,
    recorded_ms: u64,
    lower_bound_ms: Option<f64>,
}

impl ServiceTime {
    /// Adds the duration of a request that was not queued.
    pub fn record(&mut self, sample_ms: u64) {
        let sample_ms = sample_ms.max(1) as f64;
        self.mean_ms = Some(self.mean_ms.map_or(sample_ms, |mean_ms| {
            mean_ms + SAMPLE_WEIGHT * (sample_ms - mean_ms)
        }));
    }

    /// Adds the duration of a request that was not queued, or its duration without the queue.
    pub fn record_at(&mut self, sample_ms: u64, now_ms: u64) {
        let sample_ms = sample_ms.max(1) as f64;
        let elapsed_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        self.recorded_ms = now_ms;
        self.mean_ms = Some(self.mean_ms.map_or(sample_ms, |mean_ms| {
            let weight = if sample_ms < mean_ms {
                SAMPLE_WEIGHT.max(1.0 - (-elapsed_ms / FADE_MS).exp())
            } else {
                SAMPLE_WEIGHT
            };
            mean_ms + weight * (sample_ms - mean_ms)
        }));
    }

    /// Sets the lower bound of the average from the times for which the target has been processing
    /// its unanswered requests: the average if all that take longer than it were answered now.
    ///
    /// The age alone would let a single long request make the target count as slow.
    pub fn update_lower_bound(&mut self, processing_times_ms: impl Iterator<Item = u64>) {
        self.lower_bound_ms = match self.mean_ms {
            Some(mean_ms) => processing_times_ms
                .map(|age_ms| age_ms as f64)
                .filter(|age_ms| *age_ms > mean_ms)
                .fold(None, |bound_ms: Option<f64>, age_ms| {
                    let bound_ms = bound_ms.unwrap_or(mean_ms);
                    Some(bound_ms + SAMPLE_WEIGHT * (age_ms - bound_ms).max(0.0))
                }),
            None => processing_times_ms
                .max()
                .filter(|age_ms| *age_ms >= MIN_AGE_WITHOUT_ANSWER_MS)
                .map(|age_ms| age_ms as f64),
        };
    }

    /// Returns the average of the requests that were answered.
    pub const fn mean_ms(&self) -> Option<f64> {
        self.mean_ms
    }

    /// Returns the average, or the lower bound of it if that is higher.
    pub fn estimate_ms(&self) -> Option<f64> {
        match (self.mean_ms, self.lower_bound_ms) {
            (Some(mean_ms), Some(lower_bound_ms)) => Some(mean_ms.max(lower_bound_ms)),
            (mean_ms, lower_bound_ms) => mean_ms.or(lower_bound_ms),
        }
    }

    /// Returns whether the average is known and above `duration_ms`.
    pub fn exceeds(&self, duration_ms: u64) -> bool {
        self.mean_ms
            .is_some_and(|mean_ms| mean_ms > duration_ms as f64)
    }

    /// Returns the expected duration of a request that is not queued and of whose latency goal
    /// `goal_ms` is left.
    ///
    /// In an overload that begins with the target no request goes unqueued. Until one does, this is
    /// the duration for which [`WorkLimitSettings::default_rounds`] is right.
    ///
    /// [`WorkLimitSettings::default_rounds`]: crate::flows::settings::WorkLimitSettings::default_rounds
    pub fn expected_ms(&self, goal_ms: u16, settings: &FlowSettings) -> f64 {
        let work_limit = &settings.work_limit;
        self.estimate_ms().unwrap_or_else(|| {
            f64::from(goal_ms) * work_limit.goal_share / work_limit.default_rounds
        })
    }

    /// Discards the average, which came from an earlier incarnation of the target.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns how many requests may be at work, a new one included, for it to meet its latency
    /// goal, of which `goal_ms` is left.
    ///
    /// A longer queue would delay every answer without raising the target's throughput. A request
    /// that is late in any case is only worth a slot that is free: in a queue it would make others
    /// late.
    pub fn work_limit(&self, target: &TargetState, goal_ms: u16, settings: &FlowSettings) -> usize {
        let capacity = f64::from(target.capacity());
        let time_at_target_ms = f64::from(goal_ms) * settings.work_limit.goal_share;
        let capacity_multiple = match self.estimate_ms() {
            _ if goal_ms > 0 && time_at_target_ms < MIN_SERVICE_TIME_MS => 1.0,
            Some(mean_ms) if goal_ms > 0 => (time_at_target_ms / mean_ms).clamp(
                min_rounds(f64::from(goal_ms) / mean_ms, settings),
                settings.work_limit.max_rounds,
            ),
            _ => settings.work_limit.default_rounds.clamp(
                settings.work_limit.min_rounds,
                settings.work_limit.max_rounds,
            ),
        };
        (capacity * capacity_multiple).ceil() as usize
    }
}

/// Returns the lower bound of the rounds of requests that may be at work, if `rounds_in_goal` of them
/// end within the latency goal.
///
/// A target that has turned slow only gets the requests that it answers in time, or else those for
/// which a slot is free.
fn min_rounds(rounds_in_goal: f64, settings: &FlowSettings) -> f64 {
    let min_rounds = settings.work_limit.min_rounds;
    if settings.target_health.is_enabled {
        min_rounds.min(rounds_in_goal.max(1.0))
    } else {
        min_rounds
    }
}
