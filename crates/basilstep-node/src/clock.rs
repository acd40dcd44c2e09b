//! The monotonic clock and the system time of a process. The core reads no clock itself and gets
//! the time through a [`Context`].

use basilstep_core::{address::Incarnation, context::Context};
use rand::{SeedableRng, rngs::SysRng};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the start of the process.
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

    /// Returns the milliseconds since the start; the value never decreases.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Creates a context with the current time and a random generator that the operating system
    /// seeds.
    ///
    /// # Panics
    ///
    /// Panics when the operating system provides no random numbers.
    pub fn new_context(&self) -> Context {
        let mut context = Context::new(0);
        context.rng = rand_chacha::ChaCha8Rng::try_from_rng(&mut SysRng)
            .expect("the operating system provides random numbers");
        context.now_ms = self.now_ms();
        context
    }

    /// Sets the time of a context to the current time.
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

/// Returns the incarnation number of a process that starts now: the Unix time in seconds.
pub fn new_incarnation() -> Incarnation {
    Incarnation(unix_time_s() as u32)
}
