use super::target::TargetState;
use crate::flows::settings::FlowSettings;

/// The weight of a new sample in the moving average; about the last eight requests count.
const SAMPLE_WEIGHT: f64 = 0.125;

/// The time in which no target answers a request.
const MIN_SERVICE_TIME_MS: f64 = 1.0;

/// The moving average of the time that a target takes for a request that was not queued.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
}

impl ServiceTime {
    /// Adds the duration of a request that was not queued.
    pub fn record(&mut self, sample_ms: u64) {
        let sample_ms = sample_ms.max(1) as f64;
        self.mean_ms = Some(self.mean_ms.map_or(sample_ms, |mean_ms| {
            mean_ms + SAMPLE_WEIGHT * (sample_ms - mean_ms)
        }));
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
        self.mean_ms.unwrap_or_else(|| {
            f64::from(goal_ms) * work_limit.goal_share / work_limit.default_rounds
        })
    }

    /// Discards the average, which came from an earlier incarnation of the target.
    pub const fn reset(&mut self) {
        self.mean_ms = None;
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
        let capacity_multiple = match self.mean_ms {
            _ if goal_ms > 0 && time_at_target_ms < MIN_SERVICE_TIME_MS => 1.0,
            Some(mean_ms) if goal_ms > 0 => (time_at_target_ms / mean_ms).clamp(
                settings.work_limit.min_rounds,
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
