/// How many recent delays the quantile is taken of: at the 95th percentile, six are above it.
const MAX_SAMPLES: usize = 128;

/// The number of delays below which their quantile says too little.
const MIN_SAMPLES: usize = 20;

/// How many new delays are recorded before the quantile is computed again.
const SAMPLES_PER_UPDATE: usize = 8;

/// The quantile of the recent delays of one group of requests.
#[derive(Clone, Debug, Default)]
pub struct DelayEstimate {
    /// A ring of delays; `next` is the position of the oldest one once it is full.
    samples_ms: Vec<u64>,
    next: usize,
    unprocessed: usize,
    quantile_ms: Option<u64>,
}

impl DelayEstimate {
    /// Adds the delay of a first copy.
    pub fn record(&mut self, delay_ms: u64, quantile: f64) {
        if self.samples_ms.len() < MAX_SAMPLES {
            self.samples_ms.push(delay_ms);
        } else {
            self.samples_ms[self.next] = delay_ms;
            self.next = (self.next + 1) % MAX_SAMPLES;
        }
        self.unprocessed += 1;
        let is_due = self.quantile_ms.is_none() || self.unprocessed >= SAMPLES_PER_UPDATE;
        if is_due && self.samples_ms.len() >= MIN_SAMPLES {
            self.unprocessed = 0;
            self.quantile_ms = Some(quantile_of(&self.samples_ms, quantile));
        }
    }

    /// Returns the quantile of the recent delays; `None` while there are too few of them.
    pub const fn quantile_ms(&self) -> Option<u64> {
        self.quantile_ms
    }
}

/// Returns the smallest sample that is not exceeded by the given share of a non-empty list.
fn quantile_of(samples_ms: &[u64], quantile: f64) -> u64 {
    let mut sorted = samples_ms.to_vec();
    sorted.sort_unstable();
    let rank = (quantile.clamp(0.0, 1.0) * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}
