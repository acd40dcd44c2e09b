//! The agent's side: which flows its target holds, and which new ones it takes.

mod audience;
mod gate;
mod service_time;
mod source;
mod state;
mod table;
mod target;
mod telling;

pub use gate::ColdAllowance;
pub use service_time::ServiceTime;
pub use source::SettingsSource;
pub use state::{AgentFlows, AgentIdentity, CallerVerdict, TargetVerdict};
pub use table::{CallerWait, Flow, FlowStage};
pub use target::{Ping, PingOutcome, PingState, TargetState};
