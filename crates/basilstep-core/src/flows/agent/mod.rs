//! The agent's side: which flows its target holds, and which new ones it takes.

mod gate;
mod source;
mod state;
mod table;
mod target;

pub use gate::ColdAllowance;
pub use source::SettingsSource;
pub use state::{AgentFlows, AgentIdentity, CallerVerdict, TargetVerdict};
pub use table::{Flow, FlowStage};
pub use target::{Ping, PingOutcome, PingState, TargetState};
