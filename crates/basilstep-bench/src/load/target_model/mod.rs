//! A modelled target with one gate before it, in virtual time; for the experiments on admission.

mod gate;
mod harness;
mod target;

pub use gate::{Aimd, FifoQueue, FixedRetry, Gate, NoLimit};
pub use harness::{Ending, EndingKind, Harness, SERVICE_MS};
pub use target::{ServiceTimes, TargetModel, TargetSettings};
