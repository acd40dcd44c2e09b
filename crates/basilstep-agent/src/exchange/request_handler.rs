mod hedging;

use super::{
    attempt::{
        Attempt, AttemptFailure, AttemptResponse, DEADLINE_HEADER, RELAY_KEEPS_RECORD,
        RELAY_TO_TICKET_ISSUER,
    },
    body::{DeadlineBody, RequestBody, ResponseBody},
    dispatcher::Dispatcher,
    recorder::Recorder,
    responses::{RecordedResponse, code_response, failure_response, insert_header},
};
use crate::{shared_state::SharedState, stop::StopStage};
use basilstep_core::{
    address::AgentAddress,
    codes::ResultCode,
    membership::AgentPhase,
    requests::{
        FailedAttempt, FailureReason, IdempotencyKey, MethodClass, RequestArrival, RequestDecision,
        RetryDecision,
    },
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, Response, header, request::Parts};
use http_body::Body;
use rand::seq::IndexedRandom;
use std::{net::SocketAddrV4, sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const TICKET_HEADER: &str = "basilstep-ticket";
const EVENT_STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// The origin of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOrigin {
    /// A caller's flow, with its random ID.
    Flow(u32),
    /// Another agent, which keeps the at-most-once record of the key.
    RelayKeepsRecord,
    /// Another agent, which relays the request here because this agent issued the ticket.
    RelayToTicketIssuer,
}

/// A request with parsed headers, and what is needed to run it.
struct RequestHandler<B> {
    shared: Arc<SharedState>,
    dispatcher: Arc<Dispatcher>,
    origin: RequestOrigin,
    head: Parts,
    body: Option<RequestBody<B>>,
    /// The request has no body, or none that is passed on, so it can be sent again.
    is_bodyless: bool,
    method: MethodClass,
    key: Option<IdempotencyKey>,
    deadline_ms: u64,
    /// Whether an earlier attempt may have run the request.
    may_have_run: bool,
    /// How many second copies were sent, which count as attempts.
    hedges: u32,
}

/// The destination of one attempt.
#[derive(Clone, Copy, Debug)]
enum Destination {
    Target,
    AnyPeer,
    OverflowPeer(AgentAddress),
    TicketIssuer(AgentAddress),
}

/// Handles one request; a response on a caller's flow carries a ticket for the flow.
pub async fn handle_request<B>(
    shared: &Arc<SharedState>,
    dispatcher: &Arc<Dispatcher>,
    origin: RequestOrigin,
    request: Request<B>,
) -> Response<ResponseBody>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let mut response = match RequestHandler::parse(shared, dispatcher, origin, request) {
        Ok(handler) => handler.process().await,
        Err(code) => code_response(code),
    };
    if let RequestOrigin::Flow(flow) = origin {
        let ticket = dispatcher.issue_ticket(flow);
        let name = HeaderName::from_static(TICKET_HEADER);
        insert_header(response.headers_mut(), name, &ticket);
    }
    response
}

impl<B> RequestHandler<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    fn parse(
        shared: &Arc<SharedState>,
        dispatcher: &Arc<Dispatcher>,
        origin: RequestOrigin,
        request: Request<B>,
    ) -> Result<Self, ResultCode> {
        let (head, body) = request.into_parts();
        let key = match header_text(&head.headers, IDEMPOTENCY_KEY_HEADER) {
            Some(text) => Some(dispatcher.parse_key(text)?),
            None => None,
        };
        let timeout_ms = match header_text(&head.headers, DEADLINE_HEADER) {
            Some(text) => Some(text.parse().or(Err(ResultCode::BadRequest))?),
            None => None,
        };
        let is_bodyless = hedging::is_bodyless(&head, &body, dispatcher.allows_hedges());
        let body = if is_bodyless {
            RequestBody::Empty
        } else {
            RequestBody::Streamed(body)
        };
        Ok(Self {
            shared: Arc::clone(shared),
            dispatcher: Arc::clone(dispatcher),
            origin,
            method: method_class(&head.method),
            head,
            body: Some(body),
            is_bodyless,
            key,
            deadline_ms: dispatcher.deadline_ms(timeout_ms),
            may_have_run: false,
            hedges: 0,
        })
    }

    async fn process(self) -> Response<ResponseBody> {
        let dispatcher = Arc::clone(&self.dispatcher);
        loop {
            // Subscribes before deciding, so that a run that ends in between is not missed.
            let run_finished = dispatcher.run_finished();
            tokio::pin!(run_finished);
            run_finished.as_mut().enable();
            match self.decide() {
                RequestDecision::RunHere { recorded } => {
                    return self.run(Destination::Target, recorded).await;
                }
                RequestDecision::RelayDraining { recorded } => {
                    return self.run(Destination::AnyPeer, recorded).await;
                }
                RequestDecision::RelayTo(agent) => {
                    return self.run(Destination::TicketIssuer(agent), false).await;
                }
                RequestDecision::RepeatRecordedAnswer(answer) => {
                    return RecordedResponse::decode_response(&answer);
                }
                RequestDecision::OutcomeUnknown(code) | RequestDecision::Refuse(code) => {
                    return code_response(code);
                }
                RequestDecision::AwaitRunning => {
                    let limit = Duration::from_millis(self.remaining_ms());
                    // Whether a run ended or the deadline passed, decide again; after the deadline
                    // the decision is final.
                    let _ = timeout(limit, run_finished).await;
                }
            }
        }
    }

    fn decide(&self) -> RequestDecision {
        let arrival = RequestArrival {
            method: self.method,
            key: self.key.as_ref(),
            deadline_ms: self.deadline_ms,
            recorded_by_relay: self.origin == RequestOrigin::RelayKeepsRecord,
        };
        match self.dispatcher.on_arrival(&arrival) {
            // A relayed request is not relayed again.
            RequestDecision::RelayTo(_) if self.origin == RequestOrigin::RelayToTicketIssuer => {
                RequestDecision::OutcomeUnknown(ResultCode::TicketAgentGone)
            }
            decision => decision,
        }
    }

    /// Runs the request; a recorded run completes even when the caller disconnects.
    async fn run(self, destination: Destination, recorded: bool) -> Response<ResponseBody> {
        if !recorded {
            return self.attempt_until_final(destination, false).await;
        }
        let active = self.shared.active_requests.begin();
        let run = tokio::spawn(async move {
            let _active = active;
            self.attempt_until_final(destination, true).await
        });
        run.await
            .unwrap_or_else(|_| code_response(ResultCode::TargetLost))
    }

    async fn attempt_until_final(
        mut self,
        mut destination: Destination,
        recorded: bool,
    ) -> Response<ResponseBody> {
        let mut attempts = 0;
        // Keeps the retry time of the local target, for when the overflow peer refuses as well.
        let mut target_refusal = None;
        loop {
            attempts += 1;
            let failed = match self.attempt(destination, recorded, attempts).await {
                Ok(attempt_response) if recorded => {
                    match self.recorder().record(attempt_response).await {
                        Ok(response) => return response,
                        Err(failed) => failed,
                    }
                }
                Ok(attempt_response) => return self.stream_response(attempt_response),
                Err(failed) => failed,
            };
            if let Some(peer) = self.choose_overflow_peer(failed, destination, recorded, attempts) {
                destination = Destination::OverflowPeer(peer);
                target_refusal = failed.refusal;
                continue;
            }
            let failed = AttemptFailure {
                refusal: failed.refusal.or(target_refusal),
                ..failed
            };
            match self.decide_retry(failed, destination, recorded, attempts) {
                RetryDecision::RetryAfter {
                    backoff_ms,
                    may_have_run,
                } => {
                    self.may_have_run |= may_have_run;
                    sleep(Duration::from_millis(backoff_ms)).await;
                }
                RetryDecision::Final(resolution) => {
                    return failure_response(resolution, failed.refusal);
                }
            }
        }
    }

    async fn attempt(
        &mut self,
        destination: Destination,
        recorded: bool,
        attempts: u32,
    ) -> Result<AttemptResponse, AttemptFailure> {
        let hedge_delay_ms = self.hedge_delay_ms(destination, attempts);
        let peer = match destination {
            Destination::Target => None,
            Destination::TicketIssuer(agent) => Some((agent.0, RELAY_TO_TICKET_ISSUER)),
            Destination::AnyPeer => Some((self.choose_serving_peer()?, RELAY_KEEPS_RECORD)),
            Destination::OverflowPeer(agent) => Some((agent.0, RELAY_KEEPS_RECORD)),
        };
        let attempt = Attempt {
            shared: &self.shared,
            dispatcher: &self.dispatcher,
            head: &self.head,
            key: self.key.as_ref().filter(|_| recorded),
            deadline_ms: self.deadline_ms,
        };
        let result = match (peer, hedge_delay_ms) {
            (None, Some(delay_ms)) => {
                let hedged = attempt
                    .send_to_target_or_hedge(delay_ms, &mut self.body)
                    .await;
                self.hedges += hedged.hedges;
                self.may_have_run |= hedged.may_have_run;
                hedged.result
            }
            (None, None) => attempt.send_to_target(&mut self.body).await,
            (Some((agent, relay_mode)), _) => {
                attempt
                    .relay_to_agent(agent, relay_mode, &mut self.body)
                    .await
            }
        };
        if let Err(failed) = &result {
            self.dispatcher.record_failure(failed.failure);
        }
        if let Destination::OverflowPeer(agent) = destination {
            self.dispatcher.note_overflow_result(agent, result.is_ok());
        }
        if self.body.is_none() && self.is_bodyless {
            self.body = Some(RequestBody::Empty);
        }
        result
    }

    fn choose_serving_peer(&self) -> Result<SocketAddrV4, AttemptFailure> {
        let active_settings = self.shared.active_settings();
        let peers = self.shared.peers();
        // A response to a request relayed now would be cut off with the agent's flows.
        let is_closing = self.shared.stop_stage() == StopStage::Closing;
        let serving: Vec<SocketAddrV4> = peers
            .iter()
            .filter(|peer| {
                !is_closing
                    && peer.phase == AgentPhase::Serving
                    && !active_settings.domains_out.contains(peer.domain)
            })
            .map(|peer| peer.address.0)
            .collect();
        serving
            .choose(&mut rand::rng())
            .copied()
            .ok_or(AttemptFailure {
                sent: false,
                failure: FailureReason::Refused(ResultCode::Draining),
                refusal: None,
            })
    }

    /// Chooses an agent to relay a caller's request to when the local target did not run it; only
    /// the local attempt can overflow.
    fn choose_overflow_peer(
        &self,
        failed: AttemptFailure,
        destination: Destination,
        recorded: bool,
        attempts: u32,
    ) -> Option<AgentAddress> {
        let is_from_caller = matches!(self.origin, RequestOrigin::Flow(_));
        let was_at_target = matches!(destination, Destination::Target);
        if !is_from_caller || !was_at_target || self.body.is_none() {
            return None;
        }
        let attempt = self.failed_attempt(failed, destination, recorded, attempts);
        self.dispatcher.choose_overflow_peer(&attempt)
    }

    fn decide_retry(
        &self,
        failed: AttemptFailure,
        destination: Destination,
        recorded: bool,
        attempts: u32,
    ) -> RetryDecision {
        let attempt = self.failed_attempt(failed, destination, recorded, attempts);
        self.dispatcher.on_failed_attempt(&attempt)
    }

    fn failed_attempt(
        &self,
        failed: AttemptFailure,
        destination: Destination,
        recorded: bool,
        attempts: u32,
    ) -> FailedAttempt<'_> {
        let includes_key = recorded || matches!(destination, Destination::TicketIssuer(_));
        FailedAttempt {
            method: self.method,
            key: self.key.as_ref().filter(|_| includes_key),
            sent: failed.sent,
            may_have_run: self.may_have_run,
            failure: failed.failure,
            attempts: if self.may_attempt_again() {
                attempts + self.hedges
            } else {
                u32::MAX
            },
            deadline_ms: self.deadline_ms,
        }
    }

    /// Returns whether the request may be sent again.
    ///
    /// A streamed body that has been taken cannot be sent again. While the agent closes its flows,
    /// admission refuses each attempt, and the backoff of retries could outlast the flow.
    fn may_attempt_again(&self) -> bool {
        self.body.is_some() && self.shared.stop_stage() != StopStage::Closing
    }

    fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.dispatcher.now_ms())
    }

    fn recorder(&self) -> Recorder {
        Recorder {
            dispatcher: Arc::clone(&self.dispatcher),
            key: self.key.clone(),
            deadline_ms: self.deadline_ms,
        }
    }

    fn stream_response(&self, attempt_response: AttemptResponse) -> Response<ResponseBody> {
        let AttemptResponse {
            response,
            slot,
            latency_ms,
        } = attempt_response;
        let content_type = header_text(response.headers(), header::CONTENT_TYPE.as_str());
        if content_type.is_some_and(|value| value.starts_with(EVENT_STREAM_CONTENT_TYPE)) {
            let slot = slot.map(|slot| slot.into_stream(latency_ms));
            return response.map(|body| ResponseBody::LongLived { body, slot });
        }
        let remaining_ms = self.deadline_ms.saturating_sub(self.dispatcher.now_ms());
        response.map(|body| {
            ResponseBody::Streamed(DeadlineBody::new(body, remaining_ms, slot, latency_ms))
        })
    }
}

fn method_class(method: &Method) -> MethodClass {
    match *method {
        Method::GET
        | Method::HEAD
        | Method::OPTIONS
        | Method::TRACE
        | Method::PUT
        | Method::DELETE => MethodClass::Idempotent,
        _ => MethodClass::NonIdempotent,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
