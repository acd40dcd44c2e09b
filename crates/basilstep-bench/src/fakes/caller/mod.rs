//! Simulates a caller: one flow with an open board, offers, uploads and quotes.
//!
//! A caller opens a new flow when it loses one. It resends an offer whose response was lost under
//! the same idempotency key. After a refusal it waits for the time given in the response.

mod counts;
mod flow;
mod operation;
mod session;

pub use counts::{CallerCounts, CallerRecorder, OfferOutcome, RemarkKind};
pub(crate) use flow::client_config;
pub use flow::{
    Board, Flow, FlowClientSettings, FlowError, FlowLoss, FlowResponse, RequestError, Upload,
};
pub use operation::{FlowState, Kind, NextStep, Operation};
pub use session::{Caller, CallerSettings, ExpectedFailures};
