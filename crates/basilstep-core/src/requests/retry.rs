//! Limits of retries: a budget for all requests, a count and a deadline for each.

use super::{FailedAttempt, RequestSettings};
use crate::context::Context;
use rand::RngExt;

/// The capacity of the retry budget.
const MAX_BUDGET_TOKENS: f64 = 10.0;
/// The maximum backoff before the first retry; it doubles with each further one.
const FIRST_BACKOFF_MAX_MS: u64 = 20;

/// A token bucket: each request adds a fraction of a token, each retry takes one.
#[derive(Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(super) fn new() -> Self {
        Self {
            tokens: MAX_BUDGET_TOKENS,
        }
    }

    /// Returns the number of retries that are allowed now.
    pub(super) fn tokens(&self) -> u32 {
        self.tokens as u32
    }

    /// Adds the fraction of a token for one request.
    pub(super) fn add_request(&mut self, settings: &RequestSettings) {
        let share = f64::from(settings.retry_budget_percent) / 100.0;
        self.tokens = (self.tokens + share).min(MAX_BUDGET_TOKENS);
    }

    /// Takes a token for a second copy of a request that is late.
    pub(super) fn take_for_hedge(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Takes a token for a retry and returns its backoff; `None` when no retry is allowed.
    pub(super) fn take(
        &mut self,
        settings: &RequestSettings,
        end: &FailedAttempt<'_>,
        context: &mut Context,
    ) -> Option<u64> {
        let backoff_ms = backoff_ms(end.attempts, context);
        let in_time = context.now_ms + backoff_ms < end.deadline_ms;
        let in_count = end.attempts <= settings.retry_limit;
        if !in_time || !in_count || self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        Some(backoff_ms)
    }
}

fn backoff_ms(attempts: u32, context: &mut Context) -> u64 {
    let doublings = attempts.saturating_sub(1).min(10);
    let longest_ms = FIRST_BACKOFF_MAX_MS << doublings;
    context.rng.random_range(1..=longest_ms)
}
