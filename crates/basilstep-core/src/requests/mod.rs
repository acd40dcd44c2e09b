//! One request from its arrival to its final answer: deadlines, at most once, refusals, retries.
//!
//! An idempotency key that is built on a ticket may run only at the agent that minted the ticket,
//! so the record of that one agent is enough to run it at most once; see docs/design/requests.md.

mod messages;
mod records;
mod resolve;
mod retry;
mod settings;
mod state;
#[cfg(test)]
mod tests;
mod ticket;

pub use messages::{
    AgentDirectory, AgentStatus, Arrival, Decision, FailedAttempt, Failure, IdempotencyKey,
    MethodClass, RequestsView, Resolution, RetryDecision, SendPermit,
};
pub use settings::RequestSettings;
pub use state::Requests;
pub use ticket::{Ticket, TicketKey};
