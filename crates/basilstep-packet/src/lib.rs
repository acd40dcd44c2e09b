//! Balancer and agent for flows whose packets contain no token.
//!
//! Both are single-threaded: one task owns the state and both sockets, so that a packet costs one
//! receive, one decision and one send. Operations that block, such as store calls, run in tasks of
//! their own and report to that task through its event channel.

pub mod agent;
pub mod balancer;
mod datagram_socket;
mod frame_channel;
mod log_limiter;
mod metrics;
mod overrides;
mod pause_detector;
mod process;
mod request_forwarder;
mod store_tasks;

pub use process::{Flags, run};
