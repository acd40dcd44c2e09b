use super::target::TargetState;
use crate::flows::settings::FlowSettings;

/// The weight of a new sample; about the last eight requests count.
const SAMPLE_WEIGHT: f64 = 0.125;

/// How long a target works on a request that does not have to wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
}

impl ServiceTime {
    /// Takes the time of one request that had not to wait.
    pub fn record(&mut self, sample_ms: u64) {
        let sample_ms = sample_ms.max(1) as f64;
        self.mean_ms = Some(self.mean_ms.map_or(sample_ms, |mean_ms| {
            mean_ms + SAMPLE_WEIGHT * (sample_ms - mean_ms)
        }));
    }

    /// Forgets what an earlier lifetime of the target has shown.
    pub const fn reset(&mut self) {
        self.mean_ms = None;
    }

    /// Returns how many requests may be at work so that a new one is answered within its goal.
    ///
    /// Queueing more would only make all answers late: the target is no faster for it.
    pub fn work_limit(&self, target: &TargetState, goal_ms: u16, settings: &FlowSettings) -> usize {
        let capacity = f64::from(target.capacity());
        let rounds = match self.mean_ms {
            Some(mean_ms) if goal_ms > 0 => f64::from(goal_ms) * settings.goal_share / mean_ms,
            _ => settings.default_rounds,
        };
        let rounds = rounds.clamp(settings.min_rounds, settings.max_rounds);
        (capacity * rounds).ceil() as usize
    }
}
