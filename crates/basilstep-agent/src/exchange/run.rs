use super::{
    answers::{RecordedAnswer, insert, of_code, of_refusal},
    attempt::{Answered, Attempt, DEADLINE_HEADER, Failed, RELAYED_CLAIMED, RELAYED_TO_MINTER},
    body::{AnswerBody, PassedOn, RequestBody},
    dispatcher::Dispatcher,
    recorder::Recorder,
};
use crate::shared::Shared;
use basilstep_core::{
    address::AgentAddress,
    codes::ResultCode,
    membership::AgentPhase,
    requests::{
        Arrival, Decision, FailedAttempt, Failure, IdempotencyKey, MethodClass, Resolution,
        RetryDecision,
    },
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, Response, header, request::Parts};
use http_body::Body;
use rand::seq::IndexedRandom;
use std::{net::SocketAddrV4, sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

const KEY_HEADER: &str = "idempotency-key";
const TICKET_HEADER: &str = "basilstep-ticket";
const LONG_RESPONSE_TYPE: &str = "text/event-stream";

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller's flow.
    Flow(u32),
    /// Another agent, which keeps the record of the key.
    RelayedClaimed,
    /// Another agent, because this one minted the ticket.
    RelayedToMinter,
}

/// A request after its head has been read.
struct Exchange<B> {
    shared: Arc<Shared>,
    dispatcher: Arc<Dispatcher>,
    origin: Origin,
    head: Parts,
    body: Option<RequestBody<B>>,
    method: MethodClass,
    key: Option<IdempotencyKey>,
    deadline_ms: u64,
}

/// Where one attempt goes.
#[derive(Clone, Copy, Debug)]
enum Destination {
    Target,
    AnyPeer,
    Overflow(AgentAddress),
    Minter(AgentAddress),
}

/// Answers one request; the answer carries a ticket for the flow.
pub async fn answer<B>(
    shared: &Arc<Shared>,
    dispatcher: &Arc<Dispatcher>,
    origin: Origin,
    request: Request<B>,
) -> Response<AnswerBody>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let mut response = match Exchange::read(shared, dispatcher, origin, request) {
        Ok(exchange) => exchange.resolve().await,
        Err(code) => of_code(code),
    };
    if let Origin::Flow(flow) = origin {
        let ticket = dispatcher.mint_ticket(flow);
        let name = HeaderName::from_static(TICKET_HEADER);
        insert(response.headers_mut(), name, &ticket);
    }
    response
}

impl<B> Exchange<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    fn read(
        shared: &Arc<Shared>,
        dispatcher: &Arc<Dispatcher>,
        origin: Origin,
        request: Request<B>,
    ) -> Result<Self, ResultCode> {
        let (head, body) = request.into_parts();
        let key = match text(&head.headers, KEY_HEADER) {
            Some(text) => Some(dispatcher.parse_key(text)?),
            None => None,
        };
        let timeout_ms = match text(&head.headers, DEADLINE_HEADER) {
            Some(text) => Some(text.parse().or(Err(ResultCode::BadRequest))?),
            None => None,
        };
        let body = if matches!(head.method, Method::GET | Method::HEAD) {
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
            key,
            deadline_ms: dispatcher.deadline_ms(timeout_ms),
        })
    }

    async fn resolve(self) -> Response<AnswerBody> {
        let dispatcher = Arc::clone(&self.dispatcher);
        loop {
            // Listens before it decides, so that the end of a run in between is not missed.
            let run_ended = dispatcher.run_ended();
            tokio::pin!(run_ended);
            run_ended.as_mut().enable();
            match self.decide() {
                Decision::RunHere { recorded } => {
                    return self.run(Destination::Target, recorded).await;
                }
                Decision::RelayDraining { recorded } => {
                    return self.run(Destination::AnyPeer, recorded).await;
                }
                Decision::RelayTo(agent) => {
                    return self.run(Destination::Minter(agent), false).await;
                }
                Decision::RepeatRecordedAnswer(answer) => return RecordedAnswer::response(&answer),
                Decision::OutcomeUnknown(code) | Decision::Refuse(code) => return of_code(code),
                Decision::AwaitRunning => {
                    let limit = Duration::from_millis(self.remaining_ms());
                    // After the deadline the next decision is final.
                    let _ = timeout(limit, run_ended).await;
                }
            }
        }
    }

    fn decide(&self) -> Decision {
        let arrival = Arrival {
            method: self.method,
            key: self.key.as_ref(),
            deadline_ms: self.deadline_ms,
            recorded_by_relay: self.origin == Origin::RelayedClaimed,
        };
        match self.dispatcher.arrive(&arrival) {
            // A relayed request goes no further.
            Decision::RelayTo(_) if self.origin == Origin::RelayedToMinter => {
                Decision::OutcomeUnknown(ResultCode::TicketAgentGone)
            }
            decision => decision,
        }
    }

    /// Runs the request; a recorded run goes on to its end even when the caller leaves.
    async fn run(self, destination: Destination, recorded: bool) -> Response<AnswerBody> {
        if !recorded {
            return self.attempt_until_final(destination, false).await;
        }
        let run = tokio::spawn(async move { self.attempt_until_final(destination, true).await });
        run.await
            .unwrap_or_else(|_| of_code(ResultCode::TargetLost))
    }

    async fn attempt_until_final(
        mut self,
        mut destination: Destination,
        recorded: bool,
    ) -> Response<AnswerBody> {
        let mut attempts = 0;
        // The caller is told when to come back also if the other agent had no room either.
        let mut own_refusal = None;
        loop {
            attempts += 1;
            let failed = match self.attempt(destination, recorded).await {
                Ok(answered) if recorded => match self.recorder().record(answered).await {
                    Ok(response) => return response,
                    Err(failed) => failed,
                },
                Ok(answered) => return self.pass_on(answered),
                Err(failed) => failed,
            };
            if let Some(peer) = self.draw_overflow(failed, destination, recorded, attempts) {
                destination = Destination::Overflow(peer);
                own_refusal = failed.refusal;
                continue;
            }
            let failed = Failed {
                refusal: failed.refusal.or(own_refusal),
                ..failed
            };
            match self.after(failed, destination, recorded, attempts) {
                RetryDecision::RetryAfter { backoff_ms } => {
                    sleep(Duration::from_millis(backoff_ms)).await;
                }
                RetryDecision::Final(resolution) => return answer_of(resolution, failed),
            }
        }
    }

    async fn attempt(
        &mut self,
        destination: Destination,
        recorded: bool,
    ) -> Result<Answered, Failed> {
        let peer = match destination {
            Destination::Target => None,
            Destination::Minter(agent) => Some((agent.0, RELAYED_TO_MINTER)),
            Destination::AnyPeer => Some((self.pick_peer()?, RELAYED_CLAIMED)),
            Destination::Overflow(agent) => Some((agent.0, RELAYED_CLAIMED)),
        };
        let attempt = Attempt {
            shared: &self.shared,
            dispatcher: &self.dispatcher,
            head: &self.head,
            key: self.key.as_ref().filter(|_| recorded),
            deadline_ms: self.deadline_ms,
        };
        let result = match peer {
            None => attempt.at_target(&mut self.body).await,
            Some((agent, relayed)) => attempt.at_agent(agent, relayed, &mut self.body).await,
        };
        if let Destination::Overflow(agent) = destination {
            self.dispatcher.note_overflow(agent, result.is_ok());
        }
        if self.body.is_none() && matches!(self.head.method, Method::GET | Method::HEAD) {
            self.body = Some(RequestBody::Empty);
        }
        result
    }

    fn pick_peer(&self) -> Result<SocketAddrV4, Failed> {
        let in_force = self.shared.in_force();
        let peers = self.shared.peers();
        let serving: Vec<SocketAddrV4> = peers
            .iter()
            .filter(|peer| peer.phase == AgentPhase::Serving && !in_force.out.contains(peer.domain))
            .map(|peer| peer.address.0)
            .collect();
        serving.choose(&mut rand::rng()).copied().ok_or(Failed {
            sent: false,
            failure: Failure::Refused(ResultCode::Draining),
            refusal: None,
        })
    }

    /// Draws the agent that gets what the target here did not run, once.
    fn draw_overflow(
        &self,
        failed: Failed,
        destination: Destination,
        recorded: bool,
        attempts: u32,
    ) -> Option<AgentAddress> {
        let is_own = matches!(self.origin, Origin::Flow(_));
        let is_first = matches!(destination, Destination::Target);
        if !is_own || !is_first || self.body.is_none() {
            return None;
        }
        let end = self.end_of(failed, destination, recorded, attempts);
        self.dispatcher.draw_overflow(&end)
    }

    fn after(
        &self,
        failed: Failed,
        destination: Destination,
        recorded: bool,
        attempts: u32,
    ) -> RetryDecision {
        let end = self.end_of(failed, destination, recorded, attempts);
        self.dispatcher.fail(&end)
    }

    fn end_of(
        &self,
        failed: Failed,
        destination: Destination,
        recorded: bool,
        attempts: u32,
    ) -> FailedAttempt<'_> {
        let is_named = recorded || matches!(destination, Destination::Minter(_));
        FailedAttempt {
            method: self.method,
            key: self.key.as_ref().filter(|_| is_named),
            sent: failed.sent,
            failure: failed.failure,
            // A body that has been passed on in part cannot be sent again.
            attempts: if self.body.is_some() {
                attempts
            } else {
                u32::MAX
            },
            deadline_ms: self.deadline_ms,
        }
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

    fn pass_on(&self, answered: Answered) -> Response<AnswerBody> {
        let Answered {
            response,
            slot,
            latency_ms,
        } = answered;
        let content_type = text(response.headers(), header::CONTENT_TYPE.as_str());
        if content_type.is_some_and(|value| value.starts_with(LONG_RESPONSE_TYPE)) {
            let slot = slot.map(|slot| slot.into_stream(latency_ms));
            return response.map(|body| AnswerBody::Long { body, slot });
        }
        let remaining_ms = self.deadline_ms.saturating_sub(self.dispatcher.now_ms());
        response
            .map(|body| AnswerBody::PassedOn(PassedOn::new(body, remaining_ms, slot, latency_ms)))
    }
}

fn answer_of(resolution: Resolution, failed: Failed) -> Response<AnswerBody> {
    match (resolution, failed.refusal) {
        (Resolution::NotRun(code), Some(refusal)) if refusal.code == code => of_refusal(refusal),
        (Resolution::NotRun(code) | Resolution::Unknown(code), _) => of_code(code),
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

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
