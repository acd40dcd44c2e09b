use super::HedgingSettings;

/// The cost of a second copy, in the unit in which a first copy adds `budget_percent`.
const HEDGE_COST: u64 = 100;

/// A token bucket: each first copy of a request adds a fraction of a token, each second copy takes
/// one.
///
/// It starts empty, so that a restart gives no process more than its share, and counts in
/// hundredths of a token, so that no rounding adds up.
#[derive(Clone, Copy, Debug, Default)]
pub struct HedgeBudget {
    hundredths: u64,
}

impl HedgeBudget {
    /// Creates an empty budget.
    pub const fn new() -> Self {
        Self { hundredths: 0 }
    }

    /// Adds the fraction of a token for one first copy.
    pub fn record_first(&mut self, settings: &HedgingSettings) {
        let max_hundredths = u64::from(settings.burst) * HEDGE_COST;
        let added = self.hundredths + u64::from(settings.budget_percent);
        self.hundredths = added.min(max_hundredths);
    }

    /// Returns whether there is a token for a second copy.
    pub const fn has_token(&self) -> bool {
        self.hundredths >= HEDGE_COST
    }

    /// Takes a token for a second copy; returns false if there is none.
    pub const fn try_take(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.hundredths -= HEDGE_COST;
        true
    }
}
