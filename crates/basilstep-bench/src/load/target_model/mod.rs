//! A modelled target with one gate before it, in virtual time; for the experiments on admission.

mod admission;
mod harness;
mod retries;
mod target;

pub use admission::{AdmissionControl, Aimd, FifoQueue, FixedRetry, NoLimit};
pub use harness::{Completion, CompletionKind, Harness, SERVICE_MS};
pub use retries::Retries;
pub use target::{ServiceTimes, TargetModel, TargetSettings};
