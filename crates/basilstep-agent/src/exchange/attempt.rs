//! One attempt to run a request: at the local target, or relayed to another agent.

use super::{
    body::RequestBody,
    dispatcher::{AdmissionResult, AdmissionSlot, Dispatcher, Refusal},
    responses::{CODE_HEADER, insert_header},
};
use crate::{
    shared_state::SharedState,
    upstream::{UpstreamConnection, remove_hop_by_hop},
};
use basilstep_core::{
    admission::{CostClass, RequestOutcome},
    codes::ResultCode,
    requests::{FailureReason, IdempotencyKey, SendPermit},
};
use basilstep_node::{
    clock::unix_time_s,
    control::{AUTH_HEADER, Credential},
};
use bytes::Bytes;
use http::{HeaderName, Request, Response, StatusCode, Uri, header, request::Parts};
use http_body::Body;
use hyper::body::Incoming;
use std::{net::SocketAddrV4, sync::Arc, time::Duration};
use tokio::time::timeout;

/// The header that tells the target the path of the service.
pub const SERVICE_HEADER: &str = "basilstep-service";

/// The header that tells the target how many milliseconds remain until the deadline.
pub const TARGET_DEADLINE_HEADER: &str = "x-deadline-ms";

/// The header in which a caller or a relaying agent states its timeout in milliseconds.
pub const DEADLINE_HEADER: &str = "basilstep-deadline-ms";

/// The header that marks a request as relayed by another agent.
pub const RELAYED_HEADER: &str = "basilstep-relayed";

/// The value of [`RELAYED_HEADER`] when the relaying agent keeps the at-most-once record of the
/// key.
pub const RELAY_KEEPS_RECORD: &str = "claimed";

/// The value of [`RELAYED_HEADER`] when the receiving agent issued the ticket and keeps the
/// at-most-once record.
pub const RELAY_TO_TICKET_ISSUER: &str = "to-minter";

/// The prefix of the path of a relayed request.
pub const RELAY_PATH: &str = "/relay";

/// The context of one attempt at a request.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// The shared state of the agent.
    pub shared: &'a Arc<SharedState>,
    /// Decides on admission and on whether the request may be sent.
    pub dispatcher: &'a Arc<Dispatcher>,
    /// The method, URI and headers of the request.
    pub head: &'a Parts,
    /// The idempotency key, if a record of it is kept.
    pub key: Option<&'a IdempotencyKey>,
    /// The time at which the caller stops waiting.
    pub deadline_ms: u64,
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct AttemptResponse {
    /// The response.
    pub response: Response<Incoming>,
    /// The request's admission slot, if it ran at the local target and has not ended yet.
    pub slot: Option<AdmissionSlot>,
    /// The time from the start of the attempt to the head of the response.
    pub latency_ms: u32,
}

/// An attempt that failed without a response.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure {
    /// Whether the first byte of the request may have been sent.
    pub sent: bool,
    /// The cause.
    pub failure: FailureReason,
    /// The refusal with its retry time, if admission refused the request.
    pub refusal: Option<Refusal>,
}

impl AttemptFailure {
    fn unsent(failure: FailureReason) -> Self {
        Self {
            sent: false,
            failure,
            refusal: None,
        }
    }

    fn sent(failure: FailureReason) -> Self {
        Self {
            sent: true,
            failure,
            refusal: None,
        }
    }

    /// Returns the outcome to report to admission, if the failure says something about the target.
    fn outcome(&self) -> Option<RequestOutcome> {
        match (self.failure, self.sent) {
            (FailureReason::DeadlinePassed, true) => Some(RequestOutcome::TimedOut),
            (FailureReason::TargetLost, _) => Some(RequestOutcome::TargetGone),
            _ => None,
        }
    }
}

impl Attempt<'_> {
    /// Sends the request to the local target once admission allows it; takes `body` when it is
    /// sent.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptFailure`] when there is no response; it tells whether the request may have
    /// run.
    pub async fn send_to_target<B>(
        &self,
        body: &mut Option<RequestBody<B>>,
    ) -> Result<AttemptResponse, AttemptFailure>
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let class = cost_class(self.head);
        let (slot, admitted) = self.dispatcher.admit(self.deadline_ms, class).await;
        if let AdmissionResult::Refused(refusal) = admitted {
            return Err(AttemptFailure {
                sent: false,
                failure: FailureReason::Refused(refusal.code),
                refusal: Some(refusal),
            });
        }
        let started_ms = self.dispatcher.now_ms();
        let result = self
            .send_request(self.shared.settings.target, body, |parts| {
                self.target_request_head(parts)
            })
            .await;
        let latency_ms = (self.dispatcher.now_ms() - started_ms) as u32;
        let response = match result {
            Ok(mut response) => {
                // Only agents state result codes: the code of a service behind the target says
                // nothing about this request.
                response.headers_mut().remove(CODE_HEADER);
                response
            }
            Err(failed) => {
                // Only failures caused by the target are reported to admission; dropping the slot
                // cancels the request there.
                if let Some(outcome) = failed.outcome() {
                    slot.complete(latency_ms, outcome);
                }
                return Err(failed);
            }
        };
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            let retry_after_ms = retry_after_ms(&response);
            slot.complete(latency_ms, RequestOutcome::Shed { retry_after_ms });
            return Err(AttemptFailure::sent(FailureReason::TargetShed));
        }
        if response.status().is_server_error() {
            slot.complete(latency_ms, RequestOutcome::Error);
            return Ok(AttemptResponse {
                response,
                slot: None,
                latency_ms,
            });
        }
        Ok(AttemptResponse {
            response,
            slot: Some(slot),
            latency_ms,
        })
    }

    /// Relays the request to another agent; takes `body` when it is sent.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptFailure`] when there is no response; it tells whether the request may have
    /// run.
    pub async fn relay_to_agent<B>(
        &self,
        agent: SocketAddrV4,
        relay_mode: &str,
        body: &mut Option<RequestBody<B>>,
    ) -> Result<AttemptResponse, AttemptFailure>
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let started_ms = self.dispatcher.now_ms();
        let result = self
            .send_request(agent, body, |parts| {
                self.relay_request_head(parts, relay_mode)
            })
            .await;
        let response = result.map_err(|failed| match failed.failure {
            FailureReason::TargetLost => AttemptFailure {
                failure: FailureReason::RelayLost,
                ..failed
            },
            _ => failed,
        })?;
        match response_code(&response) {
            Some(code) if code.is_not_run() => {
                Err(AttemptFailure::sent(FailureReason::RelayRefused(code)))
            }
            Some(code) => Err(AttemptFailure::sent(FailureReason::RelayUnknown(code))),
            None => Ok(AttemptResponse {
                response,
                slot: None,
                latency_ms: (self.dispatcher.now_ms() - started_ms) as u32,
            }),
        }
    }

    async fn send_request<B>(
        &self,
        address: SocketAddrV4,
        body: &mut Option<RequestBody<B>>,
        adapt_head: impl FnOnce(Parts) -> Parts,
    ) -> Result<Response<Incoming>, AttemptFailure>
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let upstream = UpstreamConnection::open(address)
            .await
            .or(Err(AttemptFailure::unsent(FailureReason::TargetLost)))?;
        let remaining_ms = self.deadline_ms.saturating_sub(self.dispatcher.now_ms());
        if remaining_ms == 0 {
            return Err(AttemptFailure::unsent(FailureReason::DeadlinePassed));
        }
        let key_in_progress = FailureReason::Refused(ResultCode::KeyInProgress);
        if self.dispatcher.permit_send(self.key) == SendPermit::DoNotSend {
            return Err(AttemptFailure::unsent(key_in_progress));
        }
        let Some(body) = body.take() else {
            return Err(AttemptFailure::unsent(key_in_progress));
        };
        let request = Request::from_parts(adapt_head(self.head.clone()), body);
        match timeout(Duration::from_millis(remaining_ms), upstream.send(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(failure)) => Err(AttemptFailure::sent(failure)),
            Err(_) => Err(AttemptFailure::sent(FailureReason::DeadlinePassed)),
        }
    }

    fn target_request_head(&self, parts: Parts) -> Parts {
        let target = self.shared.settings.target.to_string();
        let mut parts = http1_request_head(parts, None, &target);
        let remaining_ms = self.deadline_ms.saturating_sub(self.dispatcher.now_ms());
        let headers = &mut parts.headers;
        let service = &self.shared.settings.service;
        insert_header(headers, HeaderName::from_static(SERVICE_HEADER), service);
        let deadline = HeaderName::from_static(TARGET_DEADLINE_HEADER);
        insert_header(headers, deadline, &remaining_ms.to_string());
        parts
    }

    fn relay_request_head(&self, parts: Parts, relay_mode: &str) -> Parts {
        let mut parts = http1_request_head(parts, Some(RELAY_PATH), "agent");
        let remaining_ms = self.deadline_ms.saturating_sub(self.dispatcher.now_ms());
        let credential = Credential::sign(
            &self.shared.keys.control,
            parts.method.as_str(),
            parts.uri.path_and_query().map_or("/", |path| path.as_str()),
            unix_time_s(),
            rand::random(),
        );
        let headers = &mut parts.headers;
        let auth = HeaderName::from_static(AUTH_HEADER);
        insert_header(headers, auth, &credential.to_header());
        insert_header(headers, HeaderName::from_static(RELAYED_HEADER), relay_mode);
        let deadline = HeaderName::from_static(DEADLINE_HEADER);
        insert_header(headers, deadline, &remaining_ms.to_string());
        parts
    }
}

fn http1_request_head(mut parts: Parts, prefix: Option<&str>, default_host: &str) -> Parts {
    let authority = parts.uri.authority().map(ToString::to_string);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let path = format!("{}{path}", prefix.unwrap_or_default());
    parts.uri = path.parse::<Uri>().unwrap_or_default();
    parts.version = http::Version::HTTP_11;
    remove_hop_by_hop(&mut parts.headers);
    let host = authority.unwrap_or_else(|| default_host.to_owned());
    insert_header(&mut parts.headers, header::HOST, &host);
    parts
}

/// Returns the cost class of a request, by its method.
fn cost_class(head: &Parts) -> CostClass {
    match head.method.as_str() {
        "GET" | "HEAD" => CostClass(0),
        "PUT" => CostClass(1),
        _ => CostClass(2),
    }
}

fn retry_after_ms(response: &Response<Incoming>) -> Option<u32> {
    let header = response.headers().get(header::RETRY_AFTER)?;
    let seconds: u32 = header.to_str().ok()?.parse().ok()?;
    Some(seconds.saturating_mul(1_000))
}

fn response_code(response: &Response<Incoming>) -> Option<ResultCode> {
    let header = response.headers().get(CODE_HEADER)?;
    let number: u16 = header.to_str().ok()?.parse().ok()?;
    ResultCode::try_from(number).ok()
}
