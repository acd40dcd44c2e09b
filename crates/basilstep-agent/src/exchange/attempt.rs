//! One attempt at a request: at the own target, or relayed to another agent.

use super::{
    answers::{CODE_HEADER, insert},
    body::RequestBody,
    dispatcher::{Admitted, Dispatcher, Refusal, Slot},
};
use crate::{
    shared::Shared,
    upstream::{Upstream, remove_hop_by_hop},
};
use basilstep_core::{
    admission::{CostClass, Outcome},
    codes::ResultCode,
    requests::{Failure, IdempotencyKey, SendPermit},
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

/// The header that names the service to the target.
pub const SERVICE_HEADER: &str = "basilstep-service";

/// The header that tells the target how long the caller still waits.
pub const TARGET_DEADLINE_HEADER: &str = "x-deadline-ms";

/// The header in which a caller says how long it waits.
pub const DEADLINE_HEADER: &str = "basilstep-deadline-ms";

/// The header that marks a request as relayed by another agent.
pub const RELAYED_HEADER: &str = "basilstep-relayed";

/// The value of [`RELAYED_HEADER`] when the relaying agent keeps the record of the key.
pub const RELAYED_CLAIMED: &str = "claimed";

/// The value of [`RELAYED_HEADER`] when this agent minted the ticket and keeps the record.
pub const RELAYED_TO_MINTER: &str = "to-minter";

/// The start of the path of a relayed request.
pub const RELAY_PATH: &str = "/relay";

/// What an attempt needs to know of its request.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// What the tasks share.
    pub shared: &'a Arc<Shared>,
    /// The decisions.
    pub dispatcher: &'a Arc<Dispatcher>,
    /// The head of the request.
    pub head: &'a Parts,
    /// The key, if a record of it is kept.
    pub key: Option<&'a IdempotencyKey>,
    /// When the caller stops waiting.
    pub deadline_ms: u64,
}

/// The head of an answer with what its body still needs.
#[derive(Debug)]
pub struct Answered {
    /// The answer.
    pub response: Response<Incoming>,
    /// What the request holds at admission, if it ran here.
    pub slot: Option<Slot>,
    /// The time from the first byte sent to the head of the answer.
    pub latency_ms: u32,
}

/// An attempt without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Failed {
    /// Whether the first byte may have been sent.
    pub sent: bool,
    /// How it failed.
    pub failure: Failure,
    /// When to come back, if admission said so.
    pub refusal: Option<Refusal>,
}

impl Failed {
    fn unsent(failure: Failure) -> Self {
        Self {
            sent: false,
            failure,
            refusal: None,
        }
    }

    fn sent(failure: Failure) -> Self {
        Self {
            sent: true,
            failure,
            refusal: None,
        }
    }

    /// Returns what the attempt says about the target, if it got that far.
    fn outcome(&self) -> Option<Outcome> {
        match (self.failure, self.sent) {
            (Failure::DeadlinePassed, true) => Some(Outcome::TimedOut),
            (Failure::TargetLost, _) => Some(Outcome::TargetGone),
            _ => None,
        }
    }
}

impl Attempt<'_> {
    /// Runs the request at the own target, once admission lets it; takes the body when it is sent.
    ///
    /// # Errors
    ///
    /// Returns [`Failed`] when there is no answer, with whether the request may have run.
    pub async fn at_target<B>(&self, body: &mut Option<RequestBody<B>>) -> Result<Answered, Failed>
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let class = class_of(self.head);
        let (slot, admitted) = self.dispatcher.admit(self.deadline_ms, class).await;
        if let Admitted::Refused(refusal) = admitted {
            return Err(Failed {
                sent: false,
                failure: Failure::Refused(refusal.code),
                refusal: Some(refusal),
            });
        }
        let began_ms = self.dispatcher.now_ms();
        let result = self
            .exchange(self.shared.settings.target, body, |parts| {
                self.for_target(parts)
            })
            .await;
        let latency_ms = (self.dispatcher.now_ms() - began_ms) as u32;
        let response = match result {
            Ok(response) => response,
            Err(failed) => {
                // Only what the target did is evidence about it; dropping the slot cancels.
                if let Some(outcome) = failed.outcome() {
                    slot.end(latency_ms, outcome);
                }
                return Err(failed);
            }
        };
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            let retry_after_ms = retry_after_ms(&response);
            slot.end(latency_ms, Outcome::Shed { retry_after_ms });
            return Err(Failed::sent(Failure::TargetShed));
        }
        if response.status().is_server_error() {
            slot.end(latency_ms, Outcome::Error);
            return Ok(Answered {
                response,
                slot: None,
                latency_ms,
            });
        }
        Ok(Answered {
            response,
            slot: Some(slot),
            latency_ms,
        })
    }

    /// Relays the request to another agent; takes the body when it is sent.
    ///
    /// # Errors
    ///
    /// Returns [`Failed`] when there is no answer, with whether the request may have run.
    pub async fn at_agent<B>(
        &self,
        agent: SocketAddrV4,
        relayed: &str,
        body: &mut Option<RequestBody<B>>,
    ) -> Result<Answered, Failed>
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let began_ms = self.dispatcher.now_ms();
        let result = self
            .exchange(agent, body, |parts| self.for_agent(parts, relayed))
            .await;
        let response = result.map_err(|failed| match failed.failure {
            Failure::TargetLost => Failed {
                failure: Failure::RelayLost,
                ..failed
            },
            _ => failed,
        })?;
        match code_of(&response) {
            Some(code) if code.is_not_run() => Err(Failed::sent(Failure::RelayRefused(code))),
            Some(code) => Err(Failed::sent(Failure::RelayUnknown(code))),
            None => Ok(Answered {
                response,
                slot: None,
                latency_ms: (self.dispatcher.now_ms() - began_ms) as u32,
            }),
        }
    }

    async fn exchange<B>(
        &self,
        address: SocketAddrV4,
        body: &mut Option<RequestBody<B>>,
        adapt: impl FnOnce(Parts) -> Parts,
    ) -> Result<Response<Incoming>, Failed>
    where
        B: Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let upstream = Upstream::open(address)
            .await
            .or(Err(Failed::unsent(Failure::TargetLost)))?;
        let remaining_ms = self.deadline_ms.saturating_sub(self.dispatcher.now_ms());
        if remaining_ms == 0 {
            return Err(Failed::unsent(Failure::DeadlinePassed));
        }
        let not_sent = Failure::Refused(ResultCode::KeyInProgress);
        if self.dispatcher.permit_send(self.key) == SendPermit::DoNotSend {
            return Err(Failed::unsent(not_sent));
        }
        let Some(body) = body.take() else {
            return Err(Failed::unsent(not_sent));
        };
        let request = Request::from_parts(adapt(self.head.clone()), body);
        match timeout(Duration::from_millis(remaining_ms), upstream.send(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(Failed::sent(Failure::TargetLost)),
            Err(_) => Err(Failed::sent(Failure::DeadlinePassed)),
        }
    }

    fn for_target(&self, parts: Parts) -> Parts {
        let target = self.shared.settings.target.to_string();
        let mut parts = with_path(parts, None, &target);
        let remaining_ms = self.deadline_ms.saturating_sub(self.dispatcher.now_ms());
        let headers = &mut parts.headers;
        let service = &self.shared.settings.service;
        insert(headers, HeaderName::from_static(SERVICE_HEADER), service);
        let deadline = HeaderName::from_static(TARGET_DEADLINE_HEADER);
        insert(headers, deadline, &remaining_ms.to_string());
        parts
    }

    fn for_agent(&self, parts: Parts, relayed: &str) -> Parts {
        let mut parts = with_path(parts, Some(RELAY_PATH), "agent");
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
        insert(headers, auth, &credential.to_header());
        insert(headers, HeaderName::from_static(RELAYED_HEADER), relayed);
        let deadline = HeaderName::from_static(DEADLINE_HEADER);
        insert(headers, deadline, &remaining_ms.to_string());
        parts
    }
}

fn with_path(mut parts: Parts, prefix: Option<&str>, default_host: &str) -> Parts {
    let authority = parts.uri.authority().map(ToString::to_string);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let path = format!("{}{path}", prefix.unwrap_or_default());
    parts.uri = path.parse::<Uri>().unwrap_or_default();
    parts.version = http::Version::HTTP_11;
    remove_hop_by_hop(&mut parts.headers);
    let host = authority.unwrap_or_else(|| default_host.to_owned());
    insert(&mut parts.headers, header::HOST, &host);
    parts
}

/// Groups requests of similar cost by their method.
fn class_of(head: &Parts) -> CostClass {
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

fn code_of(response: &Response<Incoming>) -> Option<ResultCode> {
    let header = response.headers().get(CODE_HEADER)?;
    let number: u16 = header.to_str().ok()?.parse().ok()?;
    ResultCode::try_from(number).ok()
}
