use rand::{Rng, RngExt};
use std::time::Duration;

/// Exponential backoff with jitter, so that processes do not retry in step.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_ms: u64,
    max_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff that starts at `min_ms` and grows up to `max_ms`.
    pub fn new(min_ms: u64, max_ms: u64) -> Self {
        Self {
            min_ms,
            max_ms,
            failures: 0,
        }
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a success: the next delay starts from the minimum again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns a random delay between half and all of the current bound.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let factor = 1_u64.checked_shl(self.failures).unwrap_or(u64::MAX);
        let bound_ms = self.min_ms.saturating_mul(factor).min(self.max_ms);
        self.failures = self.failures.saturating_add(1);
        Duration::from_millis(rng.random_range(bound_ms / 2..=bound_ms))
    }
}
