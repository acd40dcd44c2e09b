//! Which agents and balancers are there: announcements, failure detection, dissemination.

mod record;

pub use record::{AgentPhase, AgentRecord, BalancerRecord};
