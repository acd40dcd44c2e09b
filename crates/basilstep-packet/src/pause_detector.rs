//! Detection of pauses: times during which the machine was suspended.

use basilstep_core::context::Context;
use basilstep_node::clock::Clock;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// The minimum duration of a pause; shorter differences are caused by scheduling.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Detects pauses by comparing a clock that includes suspensions with one that does not.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    clock: Clock,
    last_suspended: Duration,
}

impl PauseDetector {
    /// Starts detecting pauses from now on.
    pub fn start(clock: Clock) -> Self {
        Self {
            clock,
            last_suspended: suspended_time(),
        }
    }

    /// Updates the time of `ctx`; returns the duration in milliseconds of the pause since the last
    /// call, if there was one.
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

/// Returns how long the machine has been suspended in total since it booted.
fn suspended_time() -> Duration {
    read_clock(ClockId::Boottime).saturating_sub(read_clock(ClockId::Monotonic))
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
