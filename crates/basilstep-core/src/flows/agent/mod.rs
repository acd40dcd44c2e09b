//! The agent's side of steering: which flows the target holds and which new flows are admitted.

mod admission;
mod admission_queue;
mod advertisement_scope;
mod discovery;
mod flow_advertiser;
mod former_incarnation;
mod incarnation;
mod priority_limit;
mod sequence_window;
mod service_slots;
mod service_time;
mod source;
mod state;
mod table;
mod target;
mod target_health;

pub use admission::ColdAllowance;
pub use admission_queue::{QueueOutcome, ReleasedSyn};
pub use discovery::Discovery;
pub use service_time::ServiceTime;
pub use source::SettingsSource;
pub use state::{AgentFlows, AgentIdentity, CallerVerdict, TargetVerdict};
pub use table::{CallerWait, Flow, FlowStage};
pub use target::{HeartbeatOutcome, HeartbeatState, TargetHeartbeat, TargetState};
pub use target_health::{HealthChange, HealthReading};
