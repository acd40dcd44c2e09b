//! A modelled target with an admission policy in front, in virtual time; used by the experiments on
//! admission.

mod admission;
mod harness;
mod retries;
mod target;

pub use admission::{AdmissionControl, Aimd, FifoQueue, FixedRetry, NoLimit};
pub use harness::{Completion, CompletionKind, Harness, SERVICE_MS};
pub use retries::Retries;
pub use target::{ServiceTimes, TargetModel, TargetSettings};
