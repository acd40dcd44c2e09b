//! The environment of a decision: the time and a random source.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Carries the time and a seeded random source into a slice.
///
/// Slices never read a clock themselves, so a run with the same events, times and seed takes the
/// same decisions.
#[derive(Clone, Debug)]
pub struct Context {
    /// Milliseconds since an arbitrary start; never goes back.
    pub now_ms: u64,
    /// The random source of all decisions.
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

    /// Moves the time on by `step_ms`.
    pub fn advance(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
    }
}
