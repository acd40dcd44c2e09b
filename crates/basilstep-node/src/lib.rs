//! The shell that basilstep processes share: settings, logs, metrics, counters, control port.

pub mod clock;
pub mod control;
pub mod counters;
pub mod flags;
pub mod http;
pub mod keys;
pub mod logs;
pub mod metrics;
pub mod shutdown;
pub mod store;
