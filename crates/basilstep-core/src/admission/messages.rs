//! What the agent's shell tells the admission slice, and what the slice answers.

use super::AdmissionSettings;
use crate::codes::ResultCode;
use serde::{Deserialize, Serialize};

/// The number that the agent gives a request for its life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// Groups requests of similar cost, so that latencies are compared with like ones.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct CostClass(pub u8);

/// How a request that was sent to the target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Ok,
    /// The target did not answer before the request's deadline.
    TimedOut,
    /// The target answered with a server error.
    Error,
    /// The target refused the request.
    Shed {
        /// When the target wants to be asked again, if it said so.
        retry_after_ms: Option<u32>,
    },
    /// The target refused the connection or closed it before it answered.
    TargetGone,
}

/// An input of the admission slice.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrived and wants a slot at the target.
    Arrived {
        /// The request.
        id: RequestId,
        /// When its caller stops waiting.
        deadline_ms: u64,
        /// Its group of cost.
        class: CostClass,
    },
    /// A request that ran ended.
    Answered {
        /// The request.
        id: RequestId,
        /// The time from its first byte sent to the head of the answer.
        latency_ms: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller gave a request up, or the shell no longer wants it; any stage.
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
    /// A caller wants to open a connection.
    ConnectionOffered,
    /// A connection that was accepted is closed.
    ConnectionClosed,
    /// The time that [`super::Admission::wake_at_ms`] named has come.
    Tick,
    /// The target was started, or announced that it is cold.
    TargetStarted,
    /// The target's health endpoint changed its word; it may lag or mislead.
    HealthHint {
        /// Whether it says that the target is up.
        up: bool,
    },
    /// The target takes no new work from now on.
    DrainAnnounced,
    /// The target takes new work again.
    DrainWithdrawn,
    /// Other settings are in force.
    SettingsChanged(AdmissionSettings),
}

/// What the shell has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the request to the target now.
    Run {
        /// The request.
        id: RequestId,
    },
    /// Keep the request until a later action names it.
    Queue {
        /// The request.
        id: RequestId,
    },
    /// Answer the request now: it was not run.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        code: ResultCode,
        /// When the caller should come back.
        retry_after_ms: u32,
    },
    /// Open the connection that was offered.
    AcceptConnection,
    /// Refuse the connection that was offered.
    RefuseConnection {
        /// Why.
        code: ResultCode,
        /// When the caller should come back.
        retry_after_ms: u32,
    },
}

/// The state of the slice for dumps and metrics.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionView {
    /// The requests that may be in flight now.
    pub limit: u32,
    /// The requests in flight.
    pub in_flight: u32,
    /// The requests that wait for a slot.
    pub queued: u32,
    /// The open connections and long responses.
    pub connections: u32,
    /// Whether the target counts as cold.
    pub cold: bool,
    /// Whether the target takes no new work.
    pub draining: bool,
    /// How often the target turned cold without an announcement.
    pub cold_turns: u64,
    /// How often the limit was reduced.
    pub decreases: u64,
    /// How many requests were refused.
    pub refused: u64,
}
