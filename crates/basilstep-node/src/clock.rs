//! The only place where a process reads its clocks.

use basilstep_core::{address::Incarnation, context::Context};
use rand::{SeedableRng, rngs::SysRng};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the milliseconds since the start; never goes back.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Creates the context of a slice, with a random seed.
    ///
    /// # Panics
    ///
    /// Panics when the operating system has no random numbers to give.
    pub fn new_context(&self) -> Context {
        let mut context = Context::new(0);
        context.rng = rand_chacha::ChaCha8Rng::try_from_rng(&mut SysRng)
            .expect("the operating system provides random numbers");
        context.now_ms = self.now_ms();
        context
    }

    /// Brings a context up to date.
    pub fn refresh(&self, context: &mut Context) {
        context.now_ms = self.now_ms();
    }
}

/// Returns the seconds since the Unix epoch.
pub fn unix_time_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Returns the incarnation of a process that starts now.
pub fn new_incarnation() -> Incarnation {
    Incarnation(unix_time_s() as u32)
}
