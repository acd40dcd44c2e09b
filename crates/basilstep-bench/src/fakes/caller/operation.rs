use super::{
    counts::{CallerRecorder, OfferOutcome, RemarkKind},
    flow::{Flow, FlowResponse, RequestError, SERVER_NAME},
};
use crate::fakes::receipt::Receipt;
use basilstep_core::codes::ResultCode;
use bytes::Bytes;
use http::{Method, Request};
use std::time::{Duration, Instant};
use tokio::time;

const DEADLINE_MS: u64 = 3_000;
/// Exceeds the deadline so that the system's own error response arrives first.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_500);
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
const MAX_ATTEMPTS: u32 = 10;

/// The kinds of requests other than boards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// `POST /offers`, which must not run twice.
    Offer,
    /// `PUT /uploads/<id>`.
    Upload,
    /// `GET /quotes/<id>`.
    Quote,
}

/// One request of a caller across all its attempts.
#[derive(Debug)]
pub struct Operation {
    kind: Kind,
    id: String,
    body: Bytes,
    key: Option<String>,
    attempts: u32,
    max_attempts: u32,
    may_have_run: bool,
}

/// What a caller has learned on its current flow.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FlowState {
    /// The latest ticket.
    pub ticket: Option<String>,
    /// The first target that responded; a flow keeps its target unless that target leaves.
    pub target: Option<String>,
}

/// What the caller does after an attempt.
#[derive(Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Nothing more: the operation has ended.
    Ended,
    /// Retries on the same flow after this delay.
    Retry(Duration),
    /// Sends the same request again because its response was lost; on a new flow if this one is
    /// closed.
    Resend,
    /// Opens a new flow because the server asked for one (GOAWAY).
    OpenNewFlow,
}

impl Operation {
    /// Creates an offer; with `single_attempt` it is not retried after a refusal.
    pub fn offer(id: String, single_attempt: bool) -> Self {
        let body = Bytes::from(id.clone());
        let max_attempts = if single_attempt { 1 } else { MAX_ATTEMPTS };
        Self::new(Kind::Offer, id, body, max_attempts)
    }

    /// Creates an upload.
    pub fn upload(id: String, length_bytes: usize) -> Self {
        Self::new(
            Kind::Upload,
            id,
            Bytes::from(vec![b'u'; length_bytes]),
            MAX_ATTEMPTS,
        )
    }

    /// Creates a quote request.
    pub fn quote(id: String) -> Self {
        Self::new(Kind::Quote, id, Bytes::new(), MAX_ATTEMPTS)
    }

    fn new(kind: Kind, id: String, body: Bytes, max_attempts: u32) -> Self {
        Self {
            kind,
            id,
            body,
            key: None,
            attempts: 0,
            max_attempts,
            may_have_run: false,
        }
    }

    /// Returns the kind of the request.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Makes one attempt; updates `flow_state` with the ticket and the target of the response.
    pub async fn attempt(
        &mut self,
        flow: &Flow,
        service: &str,
        flow_state: &mut FlowState,
        recorder: &CallerRecorder,
    ) -> NextStep {
        self.attempts += 1;
        let Ok(request) = self.request(flow_state.ticket.as_deref()) else {
            return self.finish(recorder, false);
        };
        recorder.update(|counts| counts.requests_sent += 1);
        let began = Instant::now();
        let answered = time::timeout(RESPONSE_TIMEOUT, flow.request(request, self.body.clone()));
        let response = match answered.await {
            Ok(Ok(response)) => response,
            Ok(Err(RequestError::GoAway)) => {
                recorder.update(|counts| counts.requests_sent -= 1);
                self.attempts -= 1;
                return NextStep::OpenNewFlow;
            }
            Ok(Err(error)) => return self.handle_lost_response(&error.to_string(), recorder),
            Err(_) => return self.handle_lost_response("no response in time", recorder),
        };
        recorder.record_latency(&self.id, began.elapsed());
        if response.ticket.is_some() {
            flow_state.ticket.clone_from(&response.ticket);
        }
        self.handle_response(&response, service, flow_state, recorder)
    }

    /// Ends an operation that will not be retried.
    pub fn give_up(&mut self, recorder: &CallerRecorder) {
        if self.attempts > 0 {
            self.finish(recorder, false);
        }
    }

    fn request(&mut self, ticket: Option<&str>) -> http::Result<Request<()>> {
        let (method, path) = match self.kind {
            Kind::Offer => (Method::POST, "/offers".to_owned()),
            Kind::Upload => (Method::PUT, format!("/uploads/{}", self.id)),
            Kind::Quote => (Method::GET, format!("/quotes/{}", self.id)),
        };
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("https://{SERVER_NAME}{path}"))
            .header("basilstep-deadline-ms", DEADLINE_MS);
        if self.kind == Kind::Offer {
            let fresh = || format!("{}.{}", ticket.unwrap_or("none"), self.id);
            let key = self.key.get_or_insert_with(fresh);
            builder = builder.header("idempotency-key", key.as_str());
        }
        builder.body(())
    }

    fn handle_response(
        &mut self,
        response: &FlowResponse,
        service: &str,
        flow_state: &mut FlowState,
        recorder: &CallerRecorder,
    ) -> NextStep {
        match response.code {
            Some(code) if code.is_not_run() => self.handle_refusal(code, response, recorder),
            Some(code) if code.is_outcome_unknown() => self.handle_unknown_outcome(code, recorder),
            _ if response.status == 200 => {
                self.check_receipt(response, service, flow_state, recorder)
            }
            _ => self.handle_target_error(response, recorder),
        }
    }

    fn handle_refusal(
        &mut self,
        code: ResultCode,
        response: &FlowResponse,
        recorder: &CallerRecorder,
    ) -> NextStep {
        recorder.update(|counts| {
            counts.refused_not_run += 1;
            counts.count_code(code.number());
        });
        if code == ResultCode::TicketRequired && !self.may_have_run {
            self.key = None;
            // This refusal is how a caller obtains a ticket and does not indicate overload.
            if self.attempts <= 2 {
                return NextStep::Retry(Duration::ZERO);
            }
        }
        let wait = response
            .retry_after
            .unwrap_or(DEFAULT_RETRY_DELAY)
            .min(MAX_RETRY_DELAY);
        if self.attempts >= self.max_attempts {
            return self.finish(recorder, false);
        }
        NextStep::Retry(wait)
    }

    fn handle_unknown_outcome(&mut self, code: ResultCode, recorder: &CallerRecorder) -> NextStep {
        recorder.update(|counts| {
            counts.outcome_unknown += 1;
            counts.count_code(code.number());
        });
        self.may_have_run = true;
        if self.kind == Kind::Offer || self.attempts >= self.max_attempts {
            return self.finish(recorder, false);
        }
        NextStep::Retry(DEFAULT_RETRY_DELAY)
    }

    fn check_receipt(
        &mut self,
        response: &FlowResponse,
        service: &str,
        flow_state: &mut FlowState,
        recorder: &CallerRecorder,
    ) -> NextStep {
        let receipt = serde_json::from_slice::<Receipt>(&response.body);
        let is_complete =
            matches!(&receipt, Ok(receipt) if receipt.matches_request(&self.id, &self.body));
        let is_foreign = matches!(&receipt, Ok(receipt) if receipt.service != service);
        recorder.update(|counts| {
            counts.answers_whole += u64::from(is_complete && !is_foreign);
            counts.answers_wrong += u64::from(!is_complete);
            counts.answers_foreign += u64::from(is_complete && is_foreign);
            if !is_complete {
                let length = response.body.len();
                counts.add_remark(
                    RemarkKind::AnswerWrong,
                    &format!("{}: wrong response of {length} bytes", self.id),
                );
            }
        });
        if let Ok(receipt) = receipt {
            flow_state.target.get_or_insert(receipt.target);
        }
        self.finish(recorder, is_complete)
    }

    fn handle_target_error(
        &mut self,
        response: &FlowResponse,
        recorder: &CallerRecorder,
    ) -> NextStep {
        recorder.update(|counts| {
            counts.target_errors += 1;
            counts.add_remark(
                RemarkKind::TargetError,
                &format!("{}: status {} without a code", self.id, response.status),
            );
        });
        self.may_have_run = true;
        if self.kind == Kind::Offer || self.attempts >= self.max_attempts {
            return self.finish(recorder, false);
        }
        NextStep::Retry(DEFAULT_RETRY_DELAY)
    }

    fn handle_lost_response(&mut self, reason: &str, recorder: &CallerRecorder) -> NextStep {
        self.may_have_run = true;
        recorder.update(|counts| {
            counts.answers_lost += 1;
            counts.add_remark(RemarkKind::AnswerLost, &format!("{}: {reason}", self.id));
        });
        if self.attempts >= MAX_ATTEMPTS {
            return self.finish(recorder, false);
        }
        NextStep::Resend
    }

    fn finish(&self, recorder: &CallerRecorder, answered: bool) -> NextStep {
        if !answered {
            recorder.update(|counts| counts.requests_not_served += 1);
        }
        if self.kind == Kind::Offer {
            let outcome = match (answered, self.may_have_run) {
                (true, _) => OfferOutcome::Answered,
                (false, true) => OfferOutcome::Unknown,
                (false, false) => OfferOutcome::NotRun,
            };
            recorder.record_offer_outcome(&self.id, outcome);
        }
        NextStep::Ended
    }
}
