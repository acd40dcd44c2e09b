//! The inputs that all decisions share: the current time and a random number generator.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The current time and a seeded random number generator for a state machine.
///
/// State machines never read a clock themselves, so runs with the same events, times and seed
/// take the same decisions.
#[derive(Clone, Debug)]
pub struct Context {
    /// Monotonic time in milliseconds since an arbitrary start.
    pub now_ms: u64,
    /// The random number generator for all decisions.
    pub rng: ChaCha8Rng,
}

impl Context {
    /// Creates a context at time zero.
    pub fn new(seed: u64) -> Self {
        Self {
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Advances the time by `step_ms`.
    pub fn advance(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
    }
}
