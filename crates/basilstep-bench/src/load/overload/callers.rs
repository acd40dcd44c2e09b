//! Callers that retry refused requests.

use super::super::target_model::{AdmissionControl, Completion, CompletionKind, Harness, Retries};
use basilstep_core::admission::RequestId;
use std::collections::BTreeMap;

/// How long a caller waits for one attempt.
const TIMEOUT_MS: u64 = 1_000;

/// All callers of the target.
#[derive(Debug)]
pub struct Callers {
    retries: Retries,
    attempts: BTreeMap<RequestId, u32>,
    due_retries: BTreeMap<u64, Vec<u32>>,
    counts: Counts,
}

/// The counts over all callers.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests, without their retries.
    pub requests: u32,
    /// Attempts, including the first of each request.
    pub attempts: u32,
    /// Attempts answered in time.
    pub answered: u32,
    /// Attempts that timed out.
    pub timed_out: u32,
    /// The time from each attempt to its refusal.
    pub refusal_delays_ms: Vec<u64>,
    /// The time of each retry.
    pub retried_ms: Vec<u64>,
}

impl Callers {
    /// Creates the callers; `budget_percent` limits their retries per hundred requests.
    pub fn new(budget_percent: Option<u32>) -> Self {
        Self {
            retries: Retries::new(budget_percent),
            attempts: BTreeMap::new(),
            due_retries: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Returns the counts since the last call and resets them.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Sends new requests and the retries that are due.
    pub fn arrive<A: AdmissionControl>(&mut self, harness: &mut Harness<A>, new_requests: u32) {
        let now_ms = harness.context.now_ms;
        for _ in 0..new_requests {
            self.counts.requests += 1;
            self.retries.add_request();
            self.attempt(harness, 1);
        }
        while let Some(entry) = self.due_retries.first_entry() {
            if *entry.key() > now_ms {
                return;
            }
            for attempt in entry.remove() {
                self.counts.retried_ms.push(now_ms);
                self.attempt(harness, attempt);
            }
        }
    }

    /// Records a completed attempt and schedules a retry if it failed.
    pub fn on_completion<A: AdmissionControl>(
        &mut self,
        harness: &mut Harness<A>,
        completion: &Completion,
    ) {
        let Some(attempt) = self.attempts.remove(&completion.id) else {
            return;
        };
        match completion.kind {
            CompletionKind::Answered => self.counts.answered += 1,
            CompletionKind::Refused { retry_after_ms } => {
                self.counts.refusal_delays_ms.push(completion.after_ms);
                self.schedule_retry(harness, attempt, retry_after_ms);
            }
            CompletionKind::TimedOut | CompletionKind::Lost => {
                self.counts.timed_out += 1;
                self.schedule_retry(harness, attempt, 0);
            }
        }
    }

    fn attempt<A: AdmissionControl>(&mut self, harness: &mut Harness<A>, attempt: u32) {
        self.counts.attempts += 1;
        let id = harness.arrive(TIMEOUT_MS);
        self.attempts.insert(id, attempt);
    }

    fn schedule_retry<A: AdmissionControl>(
        &mut self,
        harness: &mut Harness<A>,
        attempt: u32,
        retry_after_ms: u32,
    ) {
        let context = &mut harness.context;
        let Some(pause_ms) = self.retries.pause_ms(attempt, retry_after_ms, context) else {
            return;
        };
        let at_ms = context.now_ms + pause_ms;
        self.due_retries.entry(at_ms).or_default().push(attempt + 1);
    }
}
