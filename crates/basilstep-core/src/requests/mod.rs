//! One request from its arrival to its final answer: deadlines, at most once, refusals.

mod settings;

pub use settings::RequestSettings;
