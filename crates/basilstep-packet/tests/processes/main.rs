//! Real processes over UDP and TCP, with stand-ins for callers, routers, targets and the store.

mod fleet;
mod soak;
mod support;
