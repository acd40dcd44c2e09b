//! Which agents and balancers are there: announcements, failure detection, dissemination.
//!
//! An [`Announcer`] tells two watchers of its process's state. A [`Membership`] watches the
//! processes that announce themselves to it, spreads what it finds by gossip and merges what it
//! hears, so that every balancer holds the same view of all members.

mod acks;
mod announcer;
mod dissemination;
mod failure_detector;
mod gossip;
mod join;
mod member;
mod member_table;
mod merge;
mod messages;
mod queries;
mod receive;
mod record;
mod reports;
mod settings;
mod settings_delta;
mod state;
mod store_watch;
mod sync;
#[cfg(test)]
mod tests;

pub use announcer::Announcer;
pub use member::{MemberRecord, MemberRole, StateChecksum, StateHash, rendezvous_score};
pub use messages::{
    Ack, Action, Announce, BucketStates, Difference, DomainEvidence, Evidence, Gossip, Heartbeat,
    MembershipMessage, ProbeAnswer, Snapshot, SnapshotMember,
};
pub use record::{AgentPhase, AgentRecord, BalancerRecord};
pub use settings::MembershipSettings;
pub use settings_delta::SettingsDelta;
pub use state::{Membership, MembershipCounters};
