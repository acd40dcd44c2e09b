//! One log line for each decision that touches a request, with a bounded volume.

use basilstep_core::codes::ResultCode;
use std::collections::BTreeMap;

/// Lines a second for each code; what goes beyond is counted and told with the next line.
///
/// A machine has a quarter of a core, and a line costs about 10 us of it.
const MAX_LINES_PER_SECOND: u32 = 10;

const WINDOW_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started_ms: u64,
    lines: u32,
    suppressed: u64,
}

/// Limits the log lines of each code.
#[derive(Clone, Debug, Default)]
pub struct LogLimiter {
    windows: BTreeMap<ResultCode, Window>,
}

impl LogLimiter {
    /// Returns how many lines of this code were left out before this one, if it may be written.
    pub fn admit(&mut self, code: ResultCode, now_ms: u64) -> Option<u64> {
        let window = self.windows.entry(code).or_default();
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
