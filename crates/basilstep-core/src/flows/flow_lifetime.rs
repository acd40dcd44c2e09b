//! How long flows live by the limits of the deployment.

/// The limits from which on a flow may be discarded.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_field_names, reason = "each is a time with its unit")]
pub struct FlowLifetime {
    max_age_ms: u64,
    /// 0 if operators have not set one.
    idle_timeout_ms: u64,
    /// The highest limit on idle flows that was in force before.
    former_idle_timeout_ms: u64,
    /// Until when flows of that limit are not too old.
    former_until_ms: u64,
}

impl FlowLifetime {
    /// Creates the limits of a deployment whose limit on idle flows is not known yet.
    pub const fn new(max_age_ms: u64) -> Self {
        Self {
            max_age_ms,
            idle_timeout_ms: 0,
            former_idle_timeout_ms: 0,
            former_until_ms: 0,
        }
    }

    /// Puts another limit on idle flows in force; 0 if there is none.
    pub fn set_idle_timeout(&mut self, idle_timeout_ms: u64, now_ms: u64) {
        if idle_timeout_ms == self.idle_timeout_ms {
            return;
        }
        self.former_idle_timeout_ms = self.highest_idle_timeout_ms(now_ms);
        self.former_until_ms = now_ms + self.max_age_ms;
        self.idle_timeout_ms = idle_timeout_ms;
    }

    /// Returns for how long a flow without packets may still be open.
    pub fn idle_retention_ms(&self, now_ms: u64) -> u64 {
        match self.highest_idle_timeout_ms(now_ms) {
            0 => self.max_age_ms,
            idle_timeout_ms => idle_timeout_ms.min(self.max_age_ms),
        }
    }

    /// Returns the highest limit of the time in which a flow that is open now was opened.
    fn highest_idle_timeout_ms(&self, now_ms: u64) -> u64 {
        if now_ms < self.former_until_ms {
            self.idle_timeout_ms.max(self.former_idle_timeout_ms)
        } else {
            self.idle_timeout_ms
        }
    }
}
