//! Retries of callers, limited per request and by a shared budget.

use basilstep_core::context::Context;
use rand::RngExt;

/// The number of retries per request.
const RETRY_LIMIT: u32 = 3;
/// The first backoff after a refusal without a retry time; it doubles with each attempt.
const BACKOFF_MS: f64 = 100.0;
/// The maximum number of retry tokens that the budget accumulates.
const BUDGET_LIMIT_TOKENS: f64 = 10.0;

/// Decides whether and when callers retry.
#[derive(Debug)]
pub struct Retries {
    budget_percent: Option<u32>,
    tokens: f64,
}

impl Retries {
    /// Creates a full budget; `budget_percent` limits the retries per hundred requests.
    pub fn new(budget_percent: Option<u32>) -> Self {
        Self {
            budget_percent,
            tokens: BUDGET_LIMIT_TOKENS,
        }
    }

    /// Adds one request's share to the budget.
    pub fn add_request(&mut self) {
        let share = f64::from(self.budget_percent.unwrap_or(0)) / 100.0;
        self.tokens = (self.tokens + share).min(BUDGET_LIMIT_TOKENS);
    }

    /// Returns the pause after attempt number `attempt`; `None` when the caller gives up.
    ///
    /// `retry_after_ms` is the retry time of the refusal, 0 without one.
    pub fn pause_ms(
        &mut self,
        attempt: u32,
        retry_after_ms: u32,
        context: &mut Context,
    ) -> Option<u64> {
        if attempt > RETRY_LIMIT || !self.take_token() {
            return None;
        }
        if retry_after_ms > 0 {
            return Some(u64::from(retry_after_ms));
        }
        let jitter = 0.5 + context.rng.random::<f64>();
        let pause_ms = BACKOFF_MS * f64::from(1_u32 << (attempt - 1)) * jitter;
        Some((pause_ms as u64).max(1))
    }

    fn take_token(&mut self) -> bool {
        if self.budget_percent.is_none() {
            return true;
        }
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
