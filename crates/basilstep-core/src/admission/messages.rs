//! The events and actions of admission control.

use super::AdmissionSettings;
use crate::codes::ResultCode;
use serde::{Deserialize, Serialize};

/// The number by which the agent identifies a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// A group of requests of similar cost, within which latencies are compared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct CostClass(pub u8);

/// The outcome of a request that was sent to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The target answered.
    Ok,
    /// The target did not answer before the request's deadline.
    TimedOut,
    /// The target answered with a server error.
    Error,
    /// The target refused the request.
    Shed {
        /// The time after which the target asks for a retry, if it gave one.
        retry_after_ms: Option<u32>,
    },
    /// The target refused the connection or closed it before it answered.
    TargetGone,
}

/// An event that admission control handles.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEvent {
    /// A request arrived and needs a slot at the target.
    Arrived {
        /// The request.
        id: RequestId,
        /// The time at which its caller stops waiting.
        deadline_ms: u64,
        /// Its cost class.
        class: CostClass,
    },
    /// A request at the target ended.
    Answered {
        /// The request.
        id: RequestId,
        /// The time from its first byte sent to the head of the answer.
        latency_ms: u32,
        /// Its outcome.
        outcome: RequestOutcome,
    },
    /// The caller or the agent cancelled a request, at any stage.
    Cancelled {
        /// The request.
        id: RequestId,
    },
    /// A long response began: the request frees its slot and counts as a connection.
    StreamBegan {
        /// The request.
        id: RequestId,
        /// The time from its first byte sent to the head of the answer.
        latency_ms: u32,
    },
    /// A long response ended.
    StreamEnded,
    /// A caller is opening a connection.
    ConnectionOffered,
    /// An accepted connection closed.
    ConnectionClosed,
    /// The time that [`super::Admission::wake_at_ms`] returned has come.
    Tick,
    /// The target was started, or announced that it is cold.
    TargetStarted,
    /// The state that the target's health endpoint reports changed; it may be late or wrong.
    HealthHint {
        /// Whether it reports the target as up.
        up: bool,
    },
    /// The target accepts no new work from now on.
    DrainAnnounced,
    /// The target accepts new work again.
    DrainWithdrawn,
    /// The settings changed.
    SettingsChanged(AdmissionSettings),
}

/// An action that the agent has to take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionAction {
    /// Send the request to the target now.
    Run {
        /// The request.
        id: RequestId,
    },
    /// Keep the request until a later action refers to it.
    Queue {
        /// The request.
        id: RequestId,
    },
    /// Refuse the request now; it was not run.
    Refuse {
        /// The request.
        id: RequestId,
        /// The reason.
        code: ResultCode,
        /// The time after which the caller should retry.
        retry_after_ms: u32,
    },
    /// Open the connection that was offered.
    AcceptConnection,
    /// Refuse the connection that was offered.
    RefuseConnection {
        /// The reason.
        code: ResultCode,
        /// The time after which the caller should retry.
        retry_after_ms: u32,
    },
}

/// The state of admission control for dumps and metrics.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionView {
    /// The maximum number of requests in flight now.
    pub limit: u32,
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The number of requests that wait for a slot.
    pub queued: u32,
    /// The number of open connections and long responses.
    pub connections: u32,
    /// Whether the target counts as cold.
    pub cold: bool,
    /// Whether the target accepts no new work.
    pub draining: bool,
    /// The number of times that the target turned cold without an announcement.
    pub cold_turns: u64,
    /// The number of times that the limit was reduced, not counting collapses and silence.
    pub decreases: u64,
    /// The number of refused requests and connections.
    pub refused: u64,
}
