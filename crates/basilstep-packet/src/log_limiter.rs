//! Rate limit for log lines of the same kind.

use std::collections::BTreeMap;

/// The maximum number of lines per second of each kind, for example for each result code.
///
/// Suppressed lines are counted, and the next line reports their number. A machine has a quarter of
/// a core, and a line costs about 10 us of processor time.
const MAX_LINES_PER_SECOND: u32 = 10;

const WINDOW_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started_ms: u64,
    lines: u32,
    suppressed: u64,
}

/// Limits the rate of log lines of each kind.
#[derive(Clone, Debug)]
pub struct LogLimiter<Kind> {
    windows: BTreeMap<Kind, Window>,
}

impl<Kind> Default for LogLimiter<Kind> {
    fn default() -> Self {
        Self {
            windows: BTreeMap::new(),
        }
    }
}

impl<Kind: Ord> LogLimiter<Kind> {
    /// Returns how many lines of `kind` were suppressed since the last one, if this one may be
    /// written; otherwise counts it as suppressed and returns `None`.
    pub fn admit(&mut self, kind: Kind, now_ms: u64) -> Option<u64> {
        let window = self.windows.entry(kind).or_default();
        if now_ms >= window.started_ms + WINDOW_MS {
            window.started_ms = now_ms;
            window.lines = 0;
        }
        if window.lines >= MAX_LINES_PER_SECOND {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
