//! A modelled target with one gate before it, in virtual time; for the experiments on admission.

mod gate;
mod harness;
mod retries;
mod target;

pub use gate::{Aimd, FifoQueue, FixedRetry, Gate, NoLimit};
pub use harness::{Ending, EndingKind, Harness, SERVICE_MS};
pub use retries::Retries;
pub use target::{ServiceTimes, TargetModel, TargetSettings};
