//! Handles one request of a caller, from its arrival to its final response.

mod attempt;
mod body;
mod copy_race;
mod dispatcher;
mod hedged_attempt;
mod recorder;
mod request_handler;
mod responses;

pub use attempt::{RELAY_KEEPS_RECORD, RELAY_PATH, RELAYED_HEADER};
pub use body::{CallerRequestBody, ResponseBody};
pub use dispatcher::Dispatcher;
pub use request_handler::{RequestOrigin, handle_request};
