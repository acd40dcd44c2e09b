//! Fakes of the surroundings of the system: the store, the fabric, targets and callers.

pub mod caller;
pub mod fabric;
pub mod http;
pub mod receipt;
pub mod store;
pub mod target;

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the system time in ms since the epoch.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
