//! Stand-ins for what surrounds the system, and the demo that runs a whole fleet among them.

pub mod demo;
pub mod fakes;
pub mod scenario;
