//! Small stand-ins for what surrounds the system: the platform, the fabric, targets and callers.

pub mod fabric;
pub mod store;
pub mod target;
