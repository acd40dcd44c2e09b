#[cfg(test)]
mod tests;

use crate::flows::settings::PrioritySettings;
use std::{collections::BTreeMap, mem};

/// The duration of each of the two windows in which demand is counted, so that a reserve ends
/// within two of them after the last request of a higher level.
const WINDOW_MS: u64 = 1_000;

/// The requests of one level in one window.
#[derive(Clone, Copy, Debug, Default)]
struct LevelDemand {
    /// New flows that the agent was asked to admit.
    asked: u32,
    /// New flows that were sent to the target.
    admitted: u32,
    /// The largest number of requests at work with which a request of this level is in time.
    work_limit: usize,
}

/// How many requests may be at work when a new flow of a priority level is admitted.
///
/// Lower levels leave some of the target's queue to higher ones, as much as these have asked for
/// recently.
#[derive(Clone, Debug, Default)]
pub struct PriorityLimit {
    current: BTreeMap<u8, LevelDemand>,
    previous: BTreeMap<u8, LevelDemand>,
    window_started_ms: u64,
}

impl PriorityLimit {
    /// Records that the agent was asked to admit a flow of `level`, which is in time with up to
    /// `work_limit` requests at work.
    pub fn record_asked(&mut self, level: u8, work_limit: usize, now_ms: u64) {
        self.advance(now_ms);
        let demand = self.current.entry(level).or_default();
        demand.asked += 1;
        demand.work_limit = demand.work_limit.max(work_limit);
    }

    /// Records that a flow of `level` was sent to the target.
    pub fn record_admitted(&mut self, level: u8, now_ms: u64) {
        self.advance(now_ms);
        self.current.entry(level).or_default().admitted += 1;
    }

    /// Returns how many requests may be at work, the new one included, for a flow of `level` that is
    /// in time with up to `work_limit` of them.
    ///
    /// The reserve comes out of the target's queue only: any level may use a slot in which the
    /// target would otherwise be idle.
    pub fn limit(
        &mut self,
        level: u8,
        work_limit: usize,
        capacity: u16,
        settings: PrioritySettings,
        now_ms: u64,
    ) -> usize {
        self.advance(now_ms);
        let Some(higher_limit) = self.higher_work_limit(level) else {
            return work_limit;
        };
        // A lower level with a longer latency goal must not fill the queue beyond the point at
        // which the higher one is refused.
        let shared_limit = work_limit.min(higher_limit);
        let reserved_share = self
            .higher_share(level, now_ms)
            .min(settings.max_reserved_share);
        let reserved = (shared_limit as f64 * reserved_share).round() as usize;
        shared_limit
            .saturating_sub(reserved)
            .max(work_limit.min(usize::from(capacity)))
    }

    /// Returns the share of the higher levels in the work that the target would have if all their
    /// requests were admitted.
    ///
    /// Of the other levels only admitted requests count: refused ones are offered to several agents
    /// and sent again, and would reduce the share just when it is needed.
    pub fn higher_share(&mut self, level: u8, now_ms: u64) -> f64 {
        self.advance(now_ms);
        let mut higher = 0;
        let mut others = 0;
        for (other_level, demand) in self.windows() {
            if other_level < level {
                higher += demand.asked;
            } else {
                others += demand.admitted;
            }
        }
        f64::from(higher) / f64::from((higher + others).max(1))
    }

    /// Returns the largest limit among the recent requests of higher levels, or `None` if there
    /// were none.
    fn higher_work_limit(&self, level: u8) -> Option<usize> {
        self.windows()
            .filter(|(other_level, demand)| *other_level < level && demand.asked > 0)
            .map(|(_, demand)| demand.work_limit)
            .max()
    }

    fn windows(&self) -> impl Iterator<Item = (u8, &LevelDemand)> {
        self.previous
            .iter()
            .chain(&self.current)
            .map(|(level, demand)| (*level, demand))
    }

    fn advance(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.window_started_ms);
        if age_ms < WINDOW_MS {
            return;
        }
        self.previous = mem::take(&mut self.current);
        if age_ms >= 2 * WINDOW_MS {
            self.previous.clear();
        }
        self.window_started_ms = now_ms;
    }
}
