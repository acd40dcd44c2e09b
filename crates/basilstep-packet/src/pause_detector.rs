//! The clock of a process that notices when its machine stood still.

use basilstep_core::context::Context;
use basilstep_node::clock::Clock;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// A difference below this is scheduling, not a pause.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Compares the clock that goes on during a suspension with the one that does not.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    clock: Clock,
    last_suspended: Duration,
}

impl PauseDetector {
    /// Starts watching.
    pub fn start(clock: Clock) -> Self {
        Self {
            clock,
            last_suspended: suspended_time(),
        }
    }

    /// Brings a context up to date; returns for how many milliseconds the machine stood still since
    /// the last call, if it did.
    pub fn refresh(&mut self, ctx: &mut Context) -> Option<u64> {
        self.clock.refresh(ctx);
        let pause_ms = self.pause_ms()?;
        log::warn!(pause_ms; "the machine stood still");
        Some(pause_ms)
    }

    fn pause_ms(&mut self) -> Option<u64> {
        let suspended = suspended_time();
        let pause = suspended.saturating_sub(self.last_suspended);
        self.last_suspended = suspended;
        (pause >= MIN_PAUSE).then_some(pause.as_millis() as u64)
    }
}

/// Returns by how much the clock that counts suspensions is ahead of the other one.
fn suspended_time() -> Duration {
    read_clock(ClockId::Boottime).saturating_sub(read_clock(ClockId::Monotonic))
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
