//! Tests of balancer and agent processes over UDP and TCP, with test doubles for callers, routers,
//! targets and the store.

mod admission_queue;
mod configuration;
mod explain;
mod failures;
mod fleet;
mod heartbeats;
mod odd_entries;
mod rolling;
mod soak;
mod support;
mod upgrade;
