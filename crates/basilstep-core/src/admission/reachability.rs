//! Whether the target can be reached, and when it is tried again if not.

/// How long sending pauses after the target was found gone, at first.
const PAUSE_MIN_MS: u64 = 100;
/// How long sending pauses at most before the target is tried again.
const PAUSE_MAX_MS: u64 = 500;

/// What is known about reaching the target.
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
            next_pause_ms: PAUSE_MIN_MS,
        }
    }
}

impl Reachability {
    /// Tells whether the target was found gone and has not been tried since.
    pub(super) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Returns when the pause ends, if there is one.
    pub(super) fn paused_until_ms(&self) -> Option<u64> {
        self.paused_until_ms
    }

    /// Ends the pause when its time has come.
    pub(super) fn end_pause(&mut self, now_ms: u64) {
        if self
            .paused_until_ms
            .is_some_and(|until_ms| until_ms <= now_ms)
        {
            self.resume();
        }
    }

    /// Takes an answer: the target is there.
    pub(super) fn note_answer(&mut self) {
        *self = Self::default();
    }

    /// Takes a refused or lost connection; each further one lengthens the pause.
    pub(super) fn note_unreachable(&mut self, now_ms: u64) {
        self.is_unreachable = true;
        self.paused_until_ms = Some(now_ms + self.next_pause_ms);
        self.next_pause_ms = (self.next_pause_ms * 2).min(PAUSE_MAX_MS);
    }

    /// Pauses because the target asked for it.
    pub(super) fn pause(&mut self, length_ms: u64, now_ms: u64) {
        self.paused_until_ms = Some(now_ms + length_ms.min(PAUSE_MAX_MS));
    }

    /// Takes the word of the health endpoint; returns whether the target may have been restarted.
    ///
    /// "Up" ends a pause, "down" stops nothing. A target that was said to be down and has
    /// answered nothing until it is up again may have been restarted, even if no request was
    /// there to notice it.
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
