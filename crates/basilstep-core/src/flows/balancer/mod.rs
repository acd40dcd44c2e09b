//! The balancer's side of steering: which agent gets a packet.

mod agent_counts;
mod agent_table;
mod explain;
mod hedges;
mod held_domains;
mod hints;
mod liveness;
mod overload;
mod pending_syns;
mod route_history;
mod search;
mod settings_watch;
mod state;
mod target_ranking;
mod transfer_budget;
mod verdict;

pub use agent_table::{AgentState, AgentTable, Candidate, PassedOver, PassedOverReason, WaitTerms};
pub use explain::{ExplainedHint, Explanation, MAX_EXPLAINED_AGENTS, NoRoute, PlacementOutcome};
pub use hedges::DueHedge;
pub use pending_syns::PendingSyn;
pub use route_history::{FormerService, PastRoutes, RouteHistoryRecord};
pub use settings_watch::WatchTimes;
pub use state::BalancerFlows;
pub use target_ranking::{RankedTarget, Standing, StandingChange};
pub use transfer_budget::TransferBudget;
pub use verdict::{BalancerIdentity, NextHop, PlacedSyn, SearchPacket, TickOutcome, Verdict};
