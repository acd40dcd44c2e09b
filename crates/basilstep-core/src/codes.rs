//! Numbered result codes, also listed in docs/RESULT-CODES.md.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal,)+) => {
        /// A numbered result code, the same in answers, logs, dumps, metrics and exit codes.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl ResultCode {
            /// All codes in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the name as listed in the docs.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }

            /// Returns the meaning as listed in the docs.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),+),)+ }
            }
        }

        impl TryFrom<u16> for ResultCode {
            type Error = UnknownResultCode;

            fn try_from(number: u16) -> Result<Self, Self::Error> {
                match number {
                    $($number => Ok(Self::$name),)+
                    _ => Err(UnknownResultCode { number }),
                }
            }
        }
    };
}

/// The error for a number that is not assigned to a result code.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no result code has the number {number}")]
pub struct UnknownResultCode {
    /// The number that was read.
    pub number: u16,
}

result_codes! {
    /// Done.
    Done = 0,
    /// The request was not run: the target is at its limit and the queue is full.
    Overloaded = 101,
    /// The connection was not opened: the target holds as many as it can.
    ConnectionsFull = 102,
    /// The request was not run: its deadline passed while it was queued.
    DeadlineBeforeRun = 103,
    /// The request was not run: its idempotency key is not built on a ticket.
    TicketRequired = 104,
    /// The request was not run: no target could be reached.
    TargetUnreachable = 105,
    /// The request was not run: the target is leaving and no other can take it.
    Draining = 106,
    /// The request was not run: its failure domain is out of service.
    DomainOut = 107,
    /// The request was not run: the target itself refused it.
    TargetShed = 108,
    /// The request was not run: it is malformed or too large.
    BadRequest = 110,
    /// The request was not run: the service is not configured here.
    ServiceUnknown = 111,
    /// The outcome is unknown: the target was lost after the request was sent to it.
    TargetLost = 201,
    /// The outcome is unknown: the deadline passed after the request was sent.
    DeadlineAfterSend = 202,
    /// The outcome is unknown: the agent that minted the ticket is gone.
    TicketAgentGone = 203,
    /// The outcome is unknown: the record of the key has been evicted.
    RecordEvicted = 204,
    /// The outcome is unknown: the agent that the request was relayed to was lost.
    RelayLost = 205,
    /// The outcome is unknown: an earlier copy with the same key is still running.
    KeyInProgress = 206,
    /// The request ran: its answer was too large to be kept for duplicates.
    AnswerNotKept = 207,
    /// The flow was closed: its failure domain was taken out.
    FlowDomainOut = 301,
    /// The flow was closed: its agent stopped.
    FlowAgentStopped = 302,
    /// The datagram was dropped: it is malformed.
    Malformed = 401,
    /// The datagram was dropped: its flow token is not authentic.
    BadToken = 402,
    /// The datagram was dropped: its flow token belongs to another service.
    ForeignService = 403,
    /// The datagram was dropped: its failure domain is out.
    TokenDomainOut = 404,
    /// The datagram was dropped: its flow belongs to an earlier run of the agent.
    StaleIncarnation = 405,
    /// The datagram was dropped: no service has this address.
    UnknownService = 406,
    /// The datagram was dropped: no target can take a new flow.
    NoTarget = 407,
    /// The datagram was dropped: it has been forwarded too often.
    HopLimit = 408,
    /// The datagram was dropped: its authentication code is wrong.
    BadSeal = 409,
    /// The datagram was dropped: its target is dead.
    TargetDead = 410,
    /// The datagram or the snapshot was refused: the balancer was paused and its view is not confirmed yet.
    Recovering = 411,
    /// The packet was passed back: its flow is not held by this target.
    FlowNotHeld = 412,
    /// The flow was reset: the lifetime of the target that held it has ended.
    FlowLost = 413,
    /// The flow was not opened: the target has just started and accepts no more for now.
    TargetCold = 414,
    /// The flow was not opened: the target did not answer the SYN.
    TargetSilent = 415,
    /// The flow was reset: nothing has been received from its target for too long.
    FlowUnreachable = 416,
    /// The packet was not delivered here: the holder of its flow is being searched for.
    FlowSearched = 417,
    /// The datagram was dropped: it has a version that this process does not speak.
    UnsupportedVersion = 418,
    /// A setting of the process has a value that is not allowed.
    InvalidSetting = 501,
    /// A record in the store is malformed.
    MalformedRecord = 502,
    /// The settings offered are older than those in force.
    OlderVersion = 503,
    /// The address belongs to another service.
    AddressTaken = 504,
    /// The path belongs to another team.
    ForeignSubtree = 505,
    /// The store did not answer.
    StoreUnavailable = 506,
    /// Someone else changed the record first.
    WriteConflict = 507,
    /// The store's answer was lost and reading back did not tell whether the write took effect.
    WriteUnknown = 508,
    /// The path does not exist.
    NotFound = 509,
    /// The record exists already.
    AlreadyExists = 510,
    /// The change would leave a service or the whole system without capacity.
    UnsafeChange = 511,
    /// The change was not seen in force everywhere before the time limit.
    NotInForce = 512,
    /// The process could not bind an address.
    BindFailed = 513,
    /// The peer's request for a dump is not authentic.
    Unauthorised = 601,
    /// The process asked for a dump did not answer.
    PeerUnreachable = 602,
}

impl ResultCode {
    /// Returns the number of the code.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns whether the code guarantees that a request was not run.
    pub const fn is_not_run(self) -> bool {
        self.number() >= 101 && self.number() < 200
    }

    /// Returns whether the code says that it is unknown whether a request was run.
    pub const fn is_outcome_unknown(self) -> bool {
        self.number() >= 201 && self.number() < 300
    }

    /// Returns the exit status of a command that ends with this code: its hundreds digit, so 0 for
    /// [`ResultCode::Done`].
    pub const fn exit_status(self) -> u8 {
        (self.number() / 100) as u8
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> Self {
        code.number()
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
