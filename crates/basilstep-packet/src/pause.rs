//! Detects that the machine stood still.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// A difference below this is scheduling, not a pause.
const PAUSE_FLOOR: Duration = Duration::from_millis(300);

/// Compares the clock that goes on during a suspension with the one that does not.
#[derive(Clone, Copy, Debug)]
pub struct PauseWatch {
    ahead: Duration,
}

impl PauseWatch {
    /// Starts watching.
    pub fn start() -> Self {
        Self { ahead: ahead() }
    }

    /// Returns how long the machine has stood still since the last call, in milliseconds.
    pub fn pause_ms(&mut self) -> Option<u64> {
        let now = ahead();
        let pause = now.saturating_sub(self.ahead);
        self.ahead = now;
        (pause >= PAUSE_FLOOR).then_some(pause.as_millis() as u64)
    }
}

/// Returns by how much the clock that counts suspensions is ahead of the other one.
fn ahead() -> Duration {
    read(ClockId::Boottime).saturating_sub(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
