//! Whether the target can be reached, and when it is tried again if not.

/// How long sending pauses after the target was found gone, at first.
const PAUSE_MIN_MS: u64 = 100;
/// How long sending pauses at most before the target is tried again.
const PAUSE_MAX_MS: u64 = 500;

/// What is known about reaching the target.
#[derive(Debug)]
pub(super) struct Reach {
    gone: bool,
    said_down: bool,
    paused_until_ms: Option<u64>,
    next_pause_ms: u64,
}

impl Default for Reach {
    fn default() -> Self {
        Self {
            gone: false,
            said_down: false,
            paused_until_ms: None,
            next_pause_ms: PAUSE_MIN_MS,
        }
    }
}

impl Reach {
    /// Tells whether the target was found gone and has not been tried since.
    pub(super) fn is_gone(&self) -> bool {
        self.gone
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
            self.try_again();
        }
    }

    /// Takes an answer: the target is there.
    pub(super) fn note_answer(&mut self) {
        *self = Self::default();
    }

    /// Takes a refused or lost connection; each further one lengthens the pause.
    pub(super) fn note_gone(&mut self, now_ms: u64) {
        self.gone = true;
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
    pub(super) fn take_hint(&mut self, up: bool) -> bool {
        if !up {
            self.said_down = true;
            return false;
        }
        self.try_again();
        std::mem::take(&mut self.said_down)
    }

    fn try_again(&mut self) {
        self.gone = false;
        self.paused_until_ms = None;
    }
}
