//! Callers that come back when they are refused.

use super::super::target_model::{Ending, EndingKind, Gate, Harness};
use basilstep_core::admission::RequestId;
use rand::RngExt;
use std::collections::BTreeMap;

/// When a caller stops waiting for one attempt.
const TIMEOUT_MS: u64 = 1_000;
/// How often a caller comes back.
const RETRY_LIMIT: u32 = 3;
/// The first pause of a caller that was told no time; it doubles.
const BACKOFF_MS: f64 = 100.0;
/// The most retries that the callers' budget saves up.
const BUDGET_LIMIT_TOKENS: f64 = 10.0;

/// All callers of the target.
#[derive(Debug)]
pub struct Callers {
    budget_percent: Option<u32>,
    tokens: f64,
    attempts: BTreeMap<RequestId, u32>,
    returns: BTreeMap<u64, Vec<u32>>,
    counts: Counts,
}

/// What the callers saw.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests, each counted once.
    pub requests: u32,
    /// Attempts, the first ones included.
    pub attempts: u32,
    /// Attempts answered in time.
    pub answered: u32,
    /// Attempts that timed out.
    pub timed_out: u32,
    /// How long each refusal took.
    pub refusal_delays_ms: Vec<u64>,
    /// When each caller came back.
    pub returned_ms: Vec<u64>,
}

impl Callers {
    /// Creates the callers; `budget_percent` bounds their retries for each hundred requests.
    pub fn new(budget_percent: Option<u32>) -> Self {
        Self {
            budget_percent,
            tokens: BUDGET_LIMIT_TOKENS,
            attempts: BTreeMap::new(),
            returns: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Hands out the counts since the last call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Lets new requests and returning ones arrive.
    pub fn arrive<G: Gate>(&mut self, harness: &mut Harness<G>, new_requests: u32) {
        let now_ms = harness.context.now_ms;
        for _ in 0..new_requests {
            self.counts.requests += 1;
            let share = f64::from(self.budget_percent.unwrap_or(0)) / 100.0;
            self.tokens = (self.tokens + share).min(BUDGET_LIMIT_TOKENS);
            self.attempt(harness, 1);
        }
        while let Some(entry) = self.returns.first_entry() {
            if *entry.key() > now_ms {
                return;
            }
            for attempt in entry.remove() {
                self.counts.returned_ms.push(now_ms);
                self.attempt(harness, attempt);
            }
        }
    }

    /// Takes the end of an attempt.
    pub fn end<G: Gate>(&mut self, harness: &mut Harness<G>, ending: &Ending) {
        let Some(attempt) = self.attempts.remove(&ending.id) else {
            return;
        };
        match ending.kind {
            EndingKind::Answered => self.counts.answered += 1,
            EndingKind::Refused { retry_after_ms } => {
                self.counts.refusal_delays_ms.push(ending.after_ms);
                self.come_back(harness, attempt, retry_after_ms);
            }
            EndingKind::TimedOut | EndingKind::Lost => {
                self.counts.timed_out += 1;
                self.come_back(harness, attempt, 0);
            }
        }
    }

    fn attempt<G: Gate>(&mut self, harness: &mut Harness<G>, attempt: u32) {
        self.counts.attempts += 1;
        let id = harness.arrive(TIMEOUT_MS);
        self.attempts.insert(id, attempt);
    }

    fn come_back<G: Gate>(&mut self, harness: &mut Harness<G>, attempt: u32, told_ms: u32) {
        if attempt > RETRY_LIMIT || !self.take_token() {
            return;
        }
        let pause_ms = if told_ms > 0 {
            u64::from(told_ms)
        } else {
            let jitter = 0.5 + harness.context.rng.random::<f64>();
            (BACKOFF_MS * f64::from(1_u32 << (attempt - 1)) * jitter) as u64
        };
        let at_ms = harness.context.now_ms + pause_ms.max(1);
        self.returns.entry(at_ms).or_default().push(attempt + 1);
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
