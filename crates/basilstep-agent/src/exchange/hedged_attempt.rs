use super::{
    attempt::{Attempt, AttemptFailure, AttemptResponse, RELAY_KEEPS_RECORD},
    body::RequestBody,
    copy_race::{RaceEnd, race_copies},
};
use basilstep_core::requests::may_have_run;
use bytes::Bytes;
use http_body::Body;
use std::time::Duration;
use tokio::time::sleep;

/// The end of an attempt that may have had a second copy.
#[derive(Debug)]
pub struct HedgedResult {
    /// The first response, or the failure that says more about whether the request may have run.
    pub result: Result<AttemptResponse, AttemptFailure>,
    /// How many second copies were sent: 0 or 1.
    pub hedges: u32,
    /// Whether a copy that failed may have run the request; the other one may have been refused.
    pub may_have_run: bool,
}

impl HedgedResult {
    fn answered(response: AttemptResponse, hedges: u32) -> Self {
        Self {
            result: Ok(response),
            hedges,
            may_have_run: false,
        }
    }

    /// Merges the failures of all copies that were sent.
    fn failed(first: AttemptFailure, second: Option<AttemptFailure>, hedges: u32) -> Self {
        let may_run = |failed: &AttemptFailure| may_have_run(failed.sent, failed.failure);
        let may_have_run = may_run(&first) || second.as_ref().is_some_and(may_run);
        // The caller must not be told that a request did not run because one of its copies did not.
        let conclusive = second.filter(|second| may_run(second) && !may_run(&first));
        Self {
            result: Err(conclusive.unwrap_or(first)),
            hedges,
            may_have_run,
        }
    }
}

impl Attempt<'_> {
    /// Sends a request without a body to the local target, and relays a second copy to another agent
    /// if there is no response head after `delay_ms`.
    pub async fn send_to_target_or_hedge<B>(
        &self,
        delay_ms: u64,
        body: &mut Option<RequestBody<B>>,
    ) -> HedgedResult
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let started_ms = self.dispatcher.now_ms();
        let mut hedges = 0;
        let end = race_copies(
            self.with_failure_recorded(self.send_to_target(body)),
            sleep(Duration::from_millis(delay_ms)),
            || {
                let peer = self.dispatcher.try_hedge().ok()?;
                hedges = 1;
                Some(async move {
                    let mut second_body = Some(RequestBody::<B>::Empty);
                    let relayed = self.relay_to_agent(peer.0, RELAY_KEEPS_RECORD, &mut second_body);
                    let result = self.with_failure_recorded(relayed).await;
                    self.dispatcher.note_overflow_result(peer, result.is_ok());
                    result
                })
            },
        )
        .await;
        match end {
            RaceEnd::First(response) => {
                self.dispatcher.record_first_delay(started_ms);
                HedgedResult::answered(response, hedges)
            }
            RaceEnd::Second(response) => {
                // Without the delays of first copies that were cancelled, the quantile would fall
                // with each second one.
                self.dispatcher.record_first_delay(started_ms);
                self.dispatcher.record_hedge_won();
                HedgedResult::answered(response, hedges)
            }
            RaceEnd::FirstFailed(failed) => HedgedResult::failed(failed, None, hedges),
            RaceEnd::BothFailed { first, second } => {
                HedgedResult::failed(first, Some(second), hedges)
            }
        }
    }

    /// Records a refusal for load at once, even if the other copy is answered.
    async fn with_failure_recorded(
        &self,
        copy: impl Future<Output = Result<AttemptResponse, AttemptFailure>>,
    ) -> Result<AttemptResponse, AttemptFailure> {
        let result = copy.await;
        if let Err(failed) = &result {
            self.dispatcher.record_failure(failed.failure);
        }
        result
    }
}

#[cfg(test)]
mod tests;
