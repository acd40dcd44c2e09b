use super::SteeringSettings;

/// Stops a balancer that was paused from forwarding packets by settings that may be out of date.
///
/// While the process was paused, a failure domain may have been taken out, and old packets may
/// have queued in its sockets. Forwarding resumes once a peer has confirmed the balancer's view.
#[derive(Clone, Copy, Debug)]
pub struct PauseGuard {
    settings: SteeringSettings,
    last_tick_ms: u64,
    is_recovering: bool,
}

impl PauseGuard {
    /// Creates a guard for a process that is running at `now_ms`.
    pub fn new(settings: SteeringSettings, now_ms: u64) -> Self {
        Self {
            settings,
            last_tick_ms: now_ms,
            is_recovering: false,
        }
    }

    /// Records that the process runs, and whether its view has been confirmed since its last pause.
    ///
    /// Returns the time until which packets may be forwarded, or `None` during recovery. A packet
    /// task compares it with its own clock, so that it stops even before the first tick after a
    /// pause.
    pub fn on_tick(&mut self, now_ms: u64, is_confirmed: bool) -> Option<u64> {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        if gap_ms > self.settings.pause_limit_ms {
            self.is_recovering = true;
            return None;
        }
        if is_confirmed {
            self.is_recovering = false;
        }
        (!self.is_recovering).then_some(now_ms + self.settings.pause_limit_ms)
    }

    /// Returns whether the process was paused and its view has not been confirmed since.
    pub fn is_recovering(&self) -> bool {
        self.is_recovering
    }
}
