use serde::{Deserialize, Serialize};

/// Second offers of SYNs that are confirmed late.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgingSettings {
    /// How many second offers are sent for each hundred first ones; 0 sends none.
    pub budget_percent: u16,
    /// The quantile of the confirmation times after which a second offer is sent.
    pub quantile: f64,
    /// The minimum time before a second offer.
    pub min_delay_ms: u64,
    /// How many second offers may be saved up.
    pub burst: u16,
}

impl Default for HedgingSettings {
    fn default() -> Self {
        Self {
            budget_percent: 0,
            quantile: 0.95,
            min_delay_ms: 20,
            burst: 10,
        }
    }
}
