use serde::{Deserialize, Serialize};

/// Settings of the request handling of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestSettings {
    /// The time limit of a request whose caller sets none.
    pub deadline_ms: u32,
    /// Whether an idempotency key must contain a ticket.
    pub require_ticket: bool,
    /// The maximum number of records of idempotency keys that an agent keeps.
    pub record_limit: u32,
    /// The maximum size of all recorded answers that an agent keeps.
    pub record_limit_bytes: u64,
    /// The maximum time that the record of a finished request is kept.
    pub record_retention_ms: u32,
    /// The maximum size of a recorded answer; a request with a larger one still runs only once, but
    /// its answer is not repeated to duplicates.
    pub recorded_answer_limit_bytes: u32,
    /// The maximum number of retries of a request whose attempt did not run or is idempotent.
    pub retry_limit: u32,
    /// The number of retries allowed per hundred requests.
    pub retry_budget_percent: u32,
    /// The number of second copies allowed per hundred requests that may be repeated; 0 sends none.
    pub hedge_percent: u16,
    /// The quantile of the times to a response head after which a second copy is sent, in percent.
    pub hedge_quantile_percent: u16,
    /// The minimum time before a second copy.
    pub hedge_min_delay_ms: u32,
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
            hedge_percent: 0,
            hedge_quantile_percent: 95,
            hedge_min_delay_ms: 20,
        }
    }
}
