//! Fakes of the surroundings of the system, scripted scenarios, and a demo that runs a complete
//! fleet among the fakes.

pub mod demo;
pub mod fakes;
pub mod scenario;
