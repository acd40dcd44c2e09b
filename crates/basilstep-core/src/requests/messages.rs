//! The inputs and decisions of request handling.

use super::Ticket;
use crate::{
    address::{AgentAddress, Incarnation},
    codes::ResultCode,
    hedging::HedgeCounts,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The maximum length of the part of an idempotency key that the caller chooses.
const MAX_KEY_SUFFIX_BYTES: usize = 64;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MethodClass {
    /// Running it again has no further effect, such as a read.
    Idempotent,
    /// It must run at most once, such as a purchase offer.
    NonIdempotent,
}

/// A parsed idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum IdempotencyKey {
    /// A key that contains a ticket.
    Ticketed {
        /// The ticket.
        ticket: Ticket,
        /// The part that the caller chose.
        suffix: String,
    },
    /// Any other key; only one agent keeps a record of it.
    Plain(String),
}

impl IdempotencyKey {
    /// Returns whether `suffix` consists of 1 to 64 ASCII letters, digits, `-` or `_`.
    pub fn is_valid_suffix(suffix: &str) -> bool {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
        (1..=MAX_KEY_SUFFIX_BYTES).contains(&suffix.len()) && suffix.bytes().all(is_allowed)
    }

    /// Returns the ticket in the key, if there is one.
    pub fn ticket(&self) -> Option<&Ticket> {
        match self {
            Self::Ticketed { ticket, .. } => Some(ticket),
            Self::Plain(_) => None,
        }
    }
}

/// The parts of an arrived request that its decision depends on.
#[derive(Clone, Debug)]
pub struct RequestArrival<'a> {
    /// Whether it may run more than once.
    pub method: MethodClass,
    /// Its idempotency key, if the caller sent one.
    pub key: Option<&'a IdempotencyKey>,
    /// The time at which its caller stops waiting.
    pub deadline_ms: u64,
    /// Whether a draining or overloaded agent relayed it and keeps the record, if any.
    pub recorded_by_relay: bool,
}

/// The status of a run of an agent according to membership and the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AgentStatus {
    /// It is reachable, as far as is known.
    Reachable,
    /// It is dead or has been replaced by a later run.
    Gone,
    /// Its failure domain is out of service.
    DomainOut,
}

/// A lookup of the status of other agents.
pub trait AgentDirectory {
    /// Returns the status of one run of an agent.
    fn status(&self, agent: AgentAddress, incarnation: Incarnation) -> AgentStatus;
}

/// The action to take on a request that arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestDecision {
    /// Pass it to admission, then to the target.
    RunHere {
        /// Whether this agent keeps a record of the key.
        recorded: bool,
    },
    /// Pass it to another agent of the service, marked as recorded by this agent, which is
    /// draining.
    RelayDraining {
        /// Whether this agent keeps a record of the key.
        recorded: bool,
    },
    /// Pass it to the agent that issued its ticket, which decides.
    RelayTo(AgentAddress),
    /// Send the recorded answer of the run of its key.
    RepeatRecordedAnswer(Arc<[u8]>),
    /// Wait until the run in progress ends or the request's own deadline passes, then call
    /// [`super::RequestTracker::arrive`] again.
    AwaitRunning,
    /// Answer that the outcome is unknown.
    OutcomeUnknown(ResultCode),
    /// Answer that the request was not run.
    Refuse(ResultCode),
}

/// Whether the first byte of a request may go to the target or to a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPermit {
    /// It may be sent once.
    Send,
    /// It must not be sent; this attempt does not run.
    DoNotSend,
}

/// The reason why an attempt failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// Admission refused it.
    Refused(ResultCode),
    /// The target was unreachable or closed the connection.
    TargetLost,
    /// The caller, or the agent that relayed it, broke off its body.
    BodyBrokenOff,
    /// It ran, and its answer is too large to be read before it is recorded.
    AnswerTooLarge,
    /// The target refused it and did not run it.
    TargetShed,
    /// Its deadline passed.
    DeadlinePassed,
    /// The agent that it was relayed to was lost.
    RelayLost,
    /// The agent that it was relayed to answered that it was not run.
    RelayRefused(ResultCode),
    /// The agent that it was relayed to answered that the outcome is unknown.
    RelayUnknown(ResultCode),
}

/// One attempt at a request that received no answer.
#[derive(Clone, Debug)]
pub struct FailedAttempt<'a> {
    /// Whether it may run more than once.
    pub method: MethodClass,
    /// Its key, if a record of it is kept or it was relayed to the agent that issued its ticket.
    pub key: Option<&'a IdempotencyKey>,
    /// Whether the first byte may have reached the target or the relay.
    pub sent: bool,
    /// Whether an earlier attempt may have run the request.
    pub may_have_run: bool,
    /// The reason of the failure.
    pub failure: FailureReason,
    /// The number of attempts so far, this one included.
    pub attempts: u32,
    /// The time at which the caller stops waiting.
    pub deadline_ms: u64,
}

/// The action to take after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry after this time; a recorded key needs a new permit to send.
    RetryAfter {
        /// The backoff.
        backoff_ms: u64,
        /// Whether this attempt or an earlier one may have run the request.
        may_have_run: bool,
    },
    /// Answer the caller with this resolution.
    Final(RequestResolution),
}

/// The answer to the caller of a request that received none from the target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestResolution {
    /// It was not run.
    NotRun(ResultCode),
    /// It may have run.
    Unknown(ResultCode),
}

/// The state of request handling for dumps and metrics.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestsView {
    /// The number of records kept.
    pub records: u32,
    /// The size of the recorded answers kept, in bytes.
    pub record_bytes: u64,
    /// The oldest epoch whose records are complete.
    pub oldest_epoch: u32,
    /// The epoch of newly issued tickets.
    pub current_epoch: u32,
    /// The number of retries that the budget allows now.
    pub retry_tokens: u32,
    /// The number of recorded answers repeated to duplicates.
    pub repeated: u64,
    /// The number of times that a duplicate waited for a run in progress.
    pub joined: u64,
    /// The number of requests whose outcome was reported as unknown.
    pub unknown: u64,
    /// The second copies of late requests.
    pub hedges: HedgeCounts,
}
