/// The time that the store gets for its answer to the first call of a process. It usually takes a
/// few milliseconds.
const FIRST_TIMEOUT_MS: u64 = 200;

/// The delay after the first call that fails.
const FIRST_DELAY_MS: u64 = 100;

/// How long the calls of a task to the store may take, and when a failed one is made again.
///
/// A call that was sent while the store was away is never answered. After a power failure that hit
/// the store as well, processes therefore wait for their first calls only briefly, and then for a
/// time that grows with the outage.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_field_names, reason = "each is a time with its unit")]
pub struct StoreRetry {
    timeout_ms: u64,
    delay_ms: u64,
    max_timeout_ms: u64,
    max_delay_ms: u64,
}

impl StoreRetry {
    /// Creates the state of a task that has just started; the limits apply from its first answer on.
    pub fn new(max_timeout_ms: u64, max_delay_ms: u64) -> Self {
        Self {
            timeout_ms: FIRST_TIMEOUT_MS.min(max_timeout_ms),
            delay_ms: FIRST_DELAY_MS.min(max_delay_ms),
            max_timeout_ms,
            max_delay_ms,
        }
    }

    /// Returns how long the store may take to answer the next call.
    pub const fn timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// Records an answer.
    pub const fn on_answer(&mut self) {
        self.timeout_ms = self.max_timeout_ms;
        self.delay_ms = self.max_delay_ms;
    }

    /// Records a failed call; returns the delay before the next one.
    pub fn on_failure(&mut self) -> u64 {
        let delay_ms = self.delay_ms;
        self.timeout_ms = (self.timeout_ms * 2).min(self.max_timeout_ms);
        self.delay_ms = (self.delay_ms * 2).min(self.max_delay_ms);
        delay_ms
    }
}
