//! Second copies of requests that may be repeated: which requests get one, and from whom.

use super::{FailureReason, RequestResolution, RequestSettings, RequestTracker, resolve::resolve};
use crate::{
    codes::ResultCode,
    hedging::{HedgeCounts, HedgePolicy, HedgeRefusal, HedgingSettings},
    membership::AgentRecord,
};

/// The time before a second copy while too few delays are known: most answers are faster, and a
/// caller that waits for seconds is still helped.
const UNKNOWN_DELAY_MS: u64 = 500;

/// The parts of a request that decide whether a second copy of it may be sent.
#[derive(Clone, Copy, Debug)]
pub struct FirstCopy<'a> {
    /// The method.
    pub method: &'a str,
    /// It has a body, or may have one.
    pub has_body: bool,
    /// It has an idempotency key.
    pub has_key: bool,
    /// It came from a caller and was not relayed by another agent.
    pub is_from_caller: bool,
}

impl FirstCopy<'_> {
    /// Returns whether the request may run at two targets.
    fn may_run_twice(self) -> bool {
        let is_safe = matches!(self.method, "GET" | "HEAD" | "OPTIONS");
        is_safe && !self.has_body && !self.has_key && self.is_from_caller
    }
}

/// The second copies that one agent sends.
#[derive(Debug)]
pub(super) struct RequestHedges {
    policy: HedgePolicy<()>,
}

impl RequestHedges {
    pub(super) fn new(settings: &RequestSettings) -> Self {
        Self {
            policy: HedgePolicy::new(hedging_settings(settings)),
        }
    }

    pub(super) fn change_settings(&mut self, settings: &RequestSettings) {
        self.policy.change_settings(hedging_settings(settings));
    }

    /// Counts the first copy of a request that may run twice, and returns when a second one is due.
    pub(super) fn record_first(&mut self, copy: FirstCopy<'_>, now_ms: u64) -> Option<u64> {
        let is_eligible = self.policy.is_enabled() && copy.may_run_twice();
        is_eligible.then(|| self.policy.record_first((), UNKNOWN_DELAY_MS, now_ms))
    }

    /// Decides about a second copy that is due; `has_retry` if the retry budget allows one more.
    pub(super) fn try_hedge<Peer>(
        &mut self,
        peer: Option<Peer>,
        has_retry: bool,
        now_ms: u64,
    ) -> Result<Peer, HedgeRefusal> {
        if !has_retry {
            self.policy.record_refused_by_budget();
            return Err(HedgeRefusal::Budget);
        }
        self.policy.try_hedge((), peer, now_ms)
    }

    pub(super) fn record_delay(&mut self, delay_ms: u64, now_ms: u64) {
        self.policy.record_delay((), delay_ms, now_ms);
    }

    pub(super) const fn record_won(&mut self) {
        self.policy.record_won();
    }

    /// Records a failed attempt: after a refusal for load, no second copies are sent for a while.
    pub(super) fn record_failure(&mut self, failure: FailureReason, now_ms: u64) {
        let is_overload = match failure {
            FailureReason::TargetShed => true,
            FailureReason::Refused(code) | FailureReason::RelayRefused(code) => {
                matches!(code, ResultCode::Overloaded | ResultCode::TargetShed)
            }
            _ => false,
        };
        if is_overload {
            self.policy.record_overload((), now_ms);
        }
    }

    pub(super) const fn counts(&self) -> HedgeCounts {
        self.policy.counts()
    }
}

impl RequestTracker {
    /// Counts the first copy of a request, and returns after which time a second one is due; `None`
    /// if it must not be sent twice.
    pub fn hedge_delay_ms(&mut self, copy: FirstCopy<'_>, now_ms: u64) -> Option<u64> {
        self.hedges.record_first(copy, now_ms)
    }

    /// Returns whether second copies may be sent at all.
    pub const fn allows_hedges(&self) -> bool {
        self.hedges.policy.is_enabled()
    }

    /// Decides about the second copy of a request, which is due now and would go to `peer`; it also
    /// counts as a retry. To be called at most once for each request.
    ///
    /// # Errors
    ///
    /// Returns the [`HedgeRefusal`] if the copy must not be sent.
    pub fn try_hedge<Peer>(
        &mut self,
        peer: Option<Peer>,
        now_ms: u64,
    ) -> Result<Peer, HedgeRefusal> {
        let has_retry = self.settings.retry_limit > 0 && self.retries.tokens() > 0;
        let peer = self.hedges.try_hedge(peer, has_retry, now_ms)?;
        self.retries.take_for_hedge();
        Ok(peer)
    }

    /// Records that the second copy of a request was answered first.
    pub const fn record_hedge_won(&mut self) {
        self.hedges.record_won();
    }

    /// Records the time from the start of the first copy of a request to its response head, or to
    /// its cancellation.
    pub fn record_first_delay(&mut self, delay_ms: u64, now_ms: u64) {
        self.hedges.record_delay(delay_ms, now_ms);
    }

    /// Records the failure of an attempt: after a refusal for load no second copies are sent for a
    /// while.
    pub fn record_failure(&mut self, failure: FailureReason, now_ms: u64) {
        self.hedges.record_failure(failure, now_ms);
    }
}

fn hedging_settings(settings: &RequestSettings) -> HedgingSettings {
    HedgingSettings {
        budget_percent: settings.hedge_percent,
        quantile: f64::from(settings.hedge_quantile_percent) / 100.0,
        min_delay_ms: u64::from(settings.hedge_min_delay_ms),
        ..HedgingSettings::default()
    }
}

/// Returns the agents that may get second copies: those whose weight is at least half of the
/// highest, because an agent with a cold target announces a lower one.
pub fn hedge_peers(peers: &[AgentRecord]) -> Vec<AgentRecord> {
    let highest = peers.iter().map(|peer| peer.weight).max().unwrap_or(0);
    peers
        .iter()
        .filter(|peer| u16::from(peer.weight) * 2 >= u16::from(highest))
        .copied()
        .collect()
}

/// Returns whether an attempt that failed without a response may have run.
pub fn may_have_run(sent: bool, failure: FailureReason) -> bool {
    matches!(resolve(sent, failure), RequestResolution::Unknown(_))
}
