//! Stands in for a caller: one flow with an open board, offers, uploads and quotes.
//!
//! A caller opens a new flow when it loses one and sends an offer whose answer it lost once more
//! under the same idempotency key. After a refusal it waits as long as it was told.

mod counts;
mod flow;
mod operation;
mod session;

pub use counts::{CallerCounts, Ending, Remark, Tally};
pub(crate) use flow::client_config;
pub use flow::{Answer, Board, Flow, FlowClientSettings, FlowError, Loss, RequestError};
pub use operation::{Kind, Known, Next, Operation};
pub use session::{Caller, CallerSettings, OutTargets};
