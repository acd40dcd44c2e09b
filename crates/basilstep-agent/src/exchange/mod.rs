//! One request of a caller, from its arrival to its final answer.

mod answers;
mod attempt;
mod body;
mod dispatcher;
mod recorder;
mod run;

pub use attempt::{RELAY_PATH, RELAYED_CLAIMED, RELAYED_HEADER};
pub use body::{AnswerBody, CallerBody};
pub use dispatcher::Dispatcher;
pub use run::{Origin, answer};
