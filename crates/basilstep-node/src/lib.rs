//! Infrastructure that the basilstep processes share: clocks, settings, keys, logs, metrics, the
//! control port, HTTP and the client of the key-value store.

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
