//! Handling of a request from arrival to final answer: deadlines, at-most-once execution, refusals
//! and retries.
//!
//! A request whose idempotency key contains a ticket may run only at the agent that issued the
//! ticket, so the records of that agent suffice to run it at most once; see
//! docs/design/requests.md.

mod hedges;
mod intake;
mod messages;
mod records;
mod resolve;
mod retry;
mod settings;
mod state;
#[cfg(test)]
mod tests;
mod ticket;

pub use hedges::{FirstCopy, hedge_peers, may_have_run};
pub use intake::RequestIntake;
pub use messages::{
    AgentDirectory, AgentStatus, FailedAttempt, FailureReason, IdempotencyKey, MethodClass,
    RequestArrival, RequestDecision, RequestResolution, RequestsView, RetryDecision, SendPermit,
};
pub use settings::RequestSettings;
pub use state::RequestTracker;
pub use ticket::{Ticket, TicketKey};
