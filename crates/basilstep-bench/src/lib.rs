//! The stand-ins as a library, so that tests start them in their own process.

pub mod standins;
