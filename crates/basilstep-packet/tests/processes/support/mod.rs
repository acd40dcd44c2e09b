//! Stand-ins for what surrounds the processes, on addresses of the loopback range.
//!
//! They are written from the platform's published formats and share no code with the adapter.

pub mod caller;
pub mod fleet;
pub mod packet;
pub mod store;
pub mod target;
