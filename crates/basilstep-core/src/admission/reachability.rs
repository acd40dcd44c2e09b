//! The reachability of the target and the pauses before it is retried.

/// The first pause of sending after the target was found unreachable.
const SEND_PAUSE_MIN_MS: u64 = 100;
/// The maximum pause of sending before the target is retried.
const SEND_PAUSE_MAX_MS: u64 = 500;

/// The known reachability of the target.
#[derive(Debug)]
pub(super) struct Reachability {
    is_unreachable: bool,
    reported_down: bool,
    paused_until_ms: Option<u64>,
    next_pause_ms: u64,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            is_unreachable: false,
            reported_down: false,
            paused_until_ms: None,
            next_pause_ms: SEND_PAUSE_MIN_MS,
        }
    }
}

impl Reachability {
    /// Returns whether the target was found unreachable and has not been retried since.
    pub(super) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Returns the end of the current pause, if there is one.
    pub(super) fn paused_until_ms(&self) -> Option<u64> {
        self.paused_until_ms
    }

    /// Ends the pause if it is over at `now_ms`.
    pub(super) fn end_pause(&mut self, now_ms: u64) {
        if self
            .paused_until_ms
            .is_some_and(|until_ms| until_ms <= now_ms)
        {
            self.resume();
        }
    }

    /// Records an answer, which shows that the target is reachable.
    pub(super) fn note_answer(&mut self) {
        *self = Self::default();
    }

    /// Records a refused or lost connection and starts a pause; each further one doubles the pause,
    /// up to [`SEND_PAUSE_MAX_MS`].
    pub(super) fn note_unreachable(&mut self, now_ms: u64) {
        self.is_unreachable = true;
        self.paused_until_ms = Some(now_ms + self.next_pause_ms);
        self.next_pause_ms = (self.next_pause_ms * 2).min(SEND_PAUSE_MAX_MS);
    }

    /// Starts a pause that the target asked for.
    pub(super) fn pause(&mut self, length_ms: u64, now_ms: u64) {
        self.paused_until_ms = Some(now_ms + length_ms.min(SEND_PAUSE_MAX_MS));
    }

    /// Handles a report of the health endpoint; returns whether the target may have been restarted.
    ///
    /// "Up" ends a pause; "down" does not stop sending. A target that was reported down and has
    /// answered nothing until it was reported up may have been restarted, even if no request
    /// detected that.
    pub(super) fn on_health_hint(&mut self, up: bool) -> bool {
        if !up {
            self.reported_down = true;
            return false;
        }
        self.resume();
        std::mem::take(&mut self.reported_down)
    }

    fn resume(&mut self) {
        self.is_unreachable = false;
        self.paused_until_ms = None;
    }
}
