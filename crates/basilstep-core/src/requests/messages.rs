//! What the agent's shell tells the requests slice, and what the slice answers.

use super::Ticket;
use crate::{
    address::{AgentAddress, Incarnation},
    codes::ResultCode,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The longest part of an idempotency key that the caller chooses.
const SUFFIX_LIMIT_BYTES: usize = 64;

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MethodClass {
    /// Running it again changes nothing, such as a read.
    Idempotent,
    /// It runs at most once, such as a purchase offer.
    NonIdempotent,
}

/// An idempotency key as the caller sent it, after parsing.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum IdempotencyKey {
    /// A key built on a ticket.
    Ticketed {
        /// The ticket.
        ticket: Ticket,
        /// The part that the caller chose.
        suffix: String,
    },
    /// Any other key; it is known to one agent only.
    Plain(String),
}

impl IdempotencyKey {
    /// Tells whether `suffix` is a valid caller's part: 1 to 64 letters, digits, `-` or `_`.
    pub fn is_valid_suffix(suffix: &str) -> bool {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
        (1..=SUFFIX_LIMIT_BYTES).contains(&suffix.len()) && suffix.bytes().all(is_allowed)
    }

    /// Returns the ticket that the key is built on.
    pub fn ticket(&self) -> Option<&Ticket> {
        match self {
            Self::Ticketed { ticket, .. } => Some(ticket),
            Self::Plain(_) => None,
        }
    }
}

/// A request that has arrived whole enough to be decided on.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Whether it may be run more than once.
    pub method: MethodClass,
    /// Its idempotency key, if the caller sent one.
    pub key: Option<&'a IdempotencyKey>,
    /// When its caller stops waiting.
    pub deadline_ms: u64,
    /// Whether a draining agent relayed it and keeps the record itself.
    pub recorded_by_relay: bool,
}

/// What membership and the settings know about the run of an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AgentStatus {
    /// It can be reached, or nothing is known against it.
    Reachable,
    /// A later run has taken its place, or it is dead.
    Gone,
    /// Its failure domain is out of service.
    DomainOut,
}

/// Answers what is known about other agents.
pub trait AgentDirectory {
    /// Returns the standing of one run of an agent.
    fn status(&self, agent: AgentAddress, incarnation: Incarnation) -> AgentStatus;
}

/// What has to be done with a request that arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Pass it to admission, then to the target.
    RunHere {
        /// Whether this agent keeps a record of the key.
        recorded: bool,
    },
    /// Pass it to another agent of the service with the mark that the authority is claimed; this
    /// agent drains.
    RelayDraining {
        /// Whether this agent keeps a record of the key.
        recorded: bool,
    },
    /// Pass it to the agent that minted its ticket, which decides.
    RelayTo(AgentAddress),
    /// Answer with what was recorded when the key ran.
    RepeatRecordedAnswer(Arc<[u8]>),
    /// Wait until the run in progress ends or the request's own deadline comes, then ask
    /// [`super::Requests::arrive`] again.
    AwaitRunning,
    /// Answer that the outcome is unknown.
    OutcomeUnknown(ResultCode),
    /// Answer that the request was not run.
    Refuse(ResultCode),
}

/// Whether the first byte of a request may go to the target or to a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPermit {
    /// It may be sent, this once.
    Send,
    /// It must not be sent; this attempt has not run.
    DoNotSend,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// Admission refused it.
    Refused(ResultCode),
    /// The target could not be reached, or closed the connection.
    TargetLost,
    /// The target itself refused it, and so did not run it.
    TargetShed,
    /// Its deadline passed.
    DeadlinePassed,
    /// The agent that it was relayed to was lost.
    RelayLost,
    /// The agent that it was relayed to says that it was not run.
    RelayRefused(ResultCode),
    /// The agent that it was relayed to does not know the outcome.
    RelayUnknown(ResultCode),
}

/// One attempt at a request that got no answer.
#[derive(Clone, Debug)]
pub struct FailedAttempt<'a> {
    /// Whether it may be run more than once.
    pub method: MethodClass,
    /// Its key, if a record of it is kept or it was relayed to the agent that minted its ticket.
    pub key: Option<&'a IdempotencyKey>,
    /// Whether the first byte may have reached the target or the relay.
    pub sent: bool,
    /// How it failed.
    pub failure: Failure,
    /// The attempts made so far, this one included.
    pub attempts: u32,
    /// When the caller stops waiting.
    pub deadline_ms: u64,
}

/// What has to be done after an attempt that got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try again after this time; a recorded key asks for a new permit to send.
    RetryAfter {
        /// The pause.
        backoff_ms: u64,
    },
    /// Answer the caller now.
    Final(Resolution),
}

/// What the caller is told about a request that got no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Resolution {
    /// It was not run.
    NotRun(ResultCode),
    /// It may have been run.
    Unknown(ResultCode),
}

/// The state of the slice for dumps and metrics.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestsView {
    /// The records kept.
    pub records: u32,
    /// The bytes of recorded answers kept.
    pub record_bytes: u64,
    /// The oldest epoch whose records are complete.
    pub oldest_epoch: u32,
    /// The epoch of tickets minted now.
    pub current_epoch: u32,
    /// The retries that the budget allows now.
    pub retry_tokens: u32,
    /// Answers repeated to duplicates.
    pub repeated: u64,
    /// Times that a duplicate had to wait for a run in progress.
    pub joined: u64,
    /// Requests whose outcome was said to be unknown.
    pub unknown: u64,
}
