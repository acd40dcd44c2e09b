//! Second copies of requests that are answered late.

use super::Dispatcher;
use basilstep_core::{
    address::AgentAddress,
    hedging::HedgeRefusal,
    requests::{FailureReason, FirstCopy, hedge_peers},
};

/// The minimum time between two log lines about second copies.
const LOG_INTERVAL_MS: u64 = 1_000;

impl Dispatcher {
    /// Returns whether second copies may be sent at all.
    pub fn allows_hedges(&self) -> bool {
        self.lock().requests.allows_hedges()
    }

    /// Counts the first copy of a request, and returns after which time a second one is due; `None`
    /// if it must not be sent twice.
    pub fn hedge_delay_ms(&self, copy: FirstCopy<'_>) -> Option<u64> {
        let mut state = self.lock();
        let now_ms = state.context.now_ms;
        state.requests.hedge_delay_ms(copy, now_ms)
    }

    /// Chooses the agent that gets the second copy of a request, which is due now, if one may be
    /// sent.
    ///
    /// # Errors
    ///
    /// Returns the [`HedgeRefusal`] if the copy must not be sent.
    pub fn try_hedge(&self) -> Result<AgentAddress, HedgeRefusal> {
        let peers = hedge_peers(&self.shared.peers());
        let domains_out = self.shared.active_settings().domains_out;
        let mut state = self.lock();
        let peer = state.choose_relay(&peers, &domains_out);
        let now_ms = state.context.now_ms;
        let result = state.requests.try_hedge(peer, now_ms);
        if now_ms >= state.next_hedge_log_ms {
            state.next_hedge_log_ms = now_ms + LOG_INTERVAL_MS;
            let counts = state.requests.view().hedges;
            log::info!(
                sent = counts.sent,
                won = counts.won,
                refused_by_budget = counts.refused_by_budget,
                refused_by_overload = counts.refused_by_overload,
                without_candidate = counts.without_candidate;
                "a request is answered late; second copies since the start"
            );
        }
        result
    }

    /// Records that the second copy of a request was answered first.
    pub fn record_hedge_won(&self) {
        self.lock().requests.record_hedge_won();
    }

    /// Records the time from the start of the first copy of a request to its response head, or to
    /// its cancellation.
    pub fn record_first_delay(&self, started_ms: u64) {
        let mut state = self.lock();
        let now_ms = state.context.now_ms;
        let delay_ms = now_ms.saturating_sub(started_ms);
        state.requests.record_first_delay(delay_ms, now_ms);
    }

    /// Records the failure of an attempt.
    pub fn record_failure(&self, failure: FailureReason) {
        let mut state = self.lock();
        let now_ms = state.context.now_ms;
        state.requests.record_failure(failure, now_ms);
    }
}
