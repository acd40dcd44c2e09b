use super::{
    answers::{RecordedAnswer, own},
    attempt::{Answered, Failed},
    body::AnswerBody,
    dispatcher::Dispatcher,
};
use basilstep_core::{
    admission::Outcome,
    requests::{Failure, IdempotencyKey},
};
use http::Response;
use http_body_util::{BodyExt, Limited};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// The largest answer of a request whose run is recorded.
const RECORDED_RUN_LIMIT_BYTES: usize = 8 << 20;

/// What recording the answer of a run needs.
#[derive(Debug)]
pub struct Recorder {
    /// The decisions.
    pub dispatcher: Arc<Dispatcher>,
    /// The key of the run.
    pub key: Option<IdempotencyKey>,
    /// When the caller stops waiting.
    pub deadline_ms: u64,
}

impl Recorder {
    /// Reads the whole answer of a recorded run and records it before the caller sees it.
    ///
    /// # Errors
    ///
    /// Returns [`Failed`] when the answer breaks off, is too long or comes too late.
    pub async fn record(self, answered: Answered) -> Result<Response<AnswerBody>, Failed> {
        let Answered {
            response,
            slot,
            latency_ms,
        } = answered;
        let (head, body) = response.into_parts();
        let remaining_ms = self.deadline_ms.saturating_sub(self.dispatcher.now_ms());
        let limited = Limited::new(body, RECORDED_RUN_LIMIT_BYTES);
        let read = timeout(Duration::from_millis(remaining_ms), limited.collect()).await;
        let (outcome, result) = match read {
            Ok(Ok(whole)) => (Outcome::Ok, Ok(whole.to_bytes())),
            Ok(Err(_)) => (Outcome::TargetGone, Err(Failure::TargetLost)),
            Err(_) => (Outcome::TimedOut, Err(Failure::DeadlinePassed)),
        };
        if let Some(slot) = slot {
            slot.end(latency_ms, outcome);
        }
        let body = result.map_err(|failure| Failed {
            sent: true,
            failure,
            refusal: None,
        })?;
        let recorded = RecordedAnswer::of(&head, &body);
        self.dispatcher
            .complete(self.key.as_ref(), &recorded.to_bytes());
        Ok(Response::from_parts(head, own(body.to_vec())))
    }
}
