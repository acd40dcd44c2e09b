use serde::{Deserialize, Serialize};

/// How the requests of a service are treated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestSettings {
    /// The deadline of a request that names none.
    pub deadline_ms: u32,
    /// Whether an idempotency key must be built on a ticket.
    pub require_ticket: bool,
    /// The most records of idempotency keys that an agent keeps.
    pub record_limit: u32,
    /// The most bytes of recorded answers that an agent keeps.
    pub record_limit_bytes: u64,
    /// The longest time that the record of a finished request is kept.
    pub record_retention_ms: u32,
    /// The largest recorded answer; a longer one is run once but not repeated to duplicates.
    pub recorded_answer_limit_bytes: u32,
    /// How often an attempt that did not run, or is idempotent, is repeated for its caller.
    pub retry_limit: u32,
    /// The retries allowed for each hundred requests.
    pub retry_budget_percent: u32,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            deadline_ms: 10_000,
            require_ticket: true,
            record_limit: 10_000,
            record_limit_bytes: 16 << 20,
            record_retention_ms: 600_000,
            recorded_answer_limit_bytes: 4_096,
            retry_limit: 2,
            retry_budget_percent: 10,
        }
    }
}
