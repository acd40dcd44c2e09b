use super::{
    attempt::{AttemptFailure, AttemptResponse},
    body::ResponseBody,
    dispatcher::Dispatcher,
    responses::{RecordedResponse, buffered_body},
};
use basilstep_core::{
    admission::RequestOutcome,
    requests::{FailureReason, IdempotencyKey},
};
use http::Response;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// The maximum size of the response to a request whose run is recorded.
const MAX_RECORDED_RESPONSE_BYTES: usize = 8 << 20;

/// Records the response of one run.
#[derive(Debug)]
pub struct Recorder {
    /// Keeps the record.
    pub dispatcher: Arc<Dispatcher>,
    /// The idempotency key of the run.
    pub key: Option<IdempotencyKey>,
    /// The time at which the caller stops waiting.
    pub deadline_ms: u64,
}

impl Recorder {
    /// Reads the complete response of a run and records it before it is sent to the caller.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptFailure`] when the response breaks off, is too large or misses the
    /// deadline.
    pub async fn record(
        self,
        attempt_response: AttemptResponse,
    ) -> Result<Response<ResponseBody>, AttemptFailure> {
        let AttemptResponse {
            response,
            slot,
            latency_ms,
        } = attempt_response;
        let (head, body) = response.into_parts();
        let remaining_ms = self.deadline_ms.saturating_sub(self.dispatcher.now_ms());
        let limited = Limited::new(body, MAX_RECORDED_RESPONSE_BYTES);
        let read = timeout(Duration::from_millis(remaining_ms), limited.collect()).await;
        let (outcome, result) = match read {
            Ok(Ok(whole)) => (RequestOutcome::Ok, Ok(whole.to_bytes())),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                (RequestOutcome::Ok, Err(FailureReason::AnswerTooLarge))
            }
            Ok(Err(_)) => (RequestOutcome::TargetGone, Err(FailureReason::TargetLost)),
            Err(_) => (RequestOutcome::TimedOut, Err(FailureReason::DeadlinePassed)),
        };
        if let Some(slot) = slot {
            slot.complete(latency_ms, outcome);
        }
        let body = result.map_err(|failure| AttemptFailure {
            sent: true,
            failure,
            refusal: None,
        })?;
        let recorded = RecordedResponse::from_parts(&head, &body);
        self.dispatcher
            .complete(self.key.as_ref(), &recorded.to_bytes());
        Ok(Response::from_parts(head, buffered_body(body.to_vec())))
    }
}
