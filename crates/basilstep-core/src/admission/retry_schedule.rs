//! The retry times of refused callers.

use super::AdmissionSettings;
use crate::context::Context;
use rand::RngExt;

/// The share of the target's throughput that is reserved for retries.
const RETRY_THROUGHPUT_SHARE: f64 = 0.5;
/// The maximum jitter of a retry time, relative to its fixed part.
const RETRY_JITTER_SHARE: f64 = 0.5;

/// Assigns retry times so that refused callers retry one after another at a rate that the target
/// can serve.
///
/// Each refusal reserves the next free retry time; the interval between two retry times follows
/// from the throughput of the target.
#[derive(Debug, Default)]
pub(super) struct RetrySchedule {
    next_retry_ms: f64,
}

impl RetrySchedule {
    /// Returns the retry delay of one refused caller; `per_second` is the target's throughput.
    pub(super) fn reserve(
        &mut self,
        settings: &AdmissionSettings,
        per_second: f64,
        context: &mut Context,
    ) -> u32 {
        let now_ms = context.now_ms as f64;
        let min_ms = f64::from(settings.retry_after_min_ms);
        let max_ms = f64::from(settings.retry_after_max_ms).max(min_ms);
        let gap_ms = 1_000.0 / (per_second * RETRY_THROUGHPUT_SHARE).max(0.001);
        let latest_ms = now_ms + max_ms / (1.0 + RETRY_JITTER_SHARE);
        let earliest_ms = (now_ms + min_ms).min(latest_ms);
        self.next_retry_ms = (self.next_retry_ms + gap_ms).clamp(earliest_ms, latest_ms);
        let delay_ms = self.next_retry_ms - now_ms;
        let jitter = 1.0 + RETRY_JITTER_SHARE * context.rng.random::<f64>();
        (delay_ms * jitter) as u32
    }
}
