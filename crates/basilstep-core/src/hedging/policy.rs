use super::{DelayEstimate, HedgeBudget, HedgingSettings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The time after a refusal for load in which a group of requests counts as overloaded.
const OVERLOAD_MS: u64 = 1_000;

/// The time after which a group without requests is forgotten.
const FORGET_GROUP_MS: u64 = 60_000;

/// How many second copies were sent, and with which result.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HedgeCounts {
    /// Second copies that were sent.
    pub sent: u64,
    /// Second copies that were answered before the first one.
    pub won: u64,
    /// Second copies that were not sent because the budget was used up.
    pub refused_by_budget: u64,
    /// Second copies that were not sent because of an overload.
    pub refused_by_overload: u64,
    /// Second copies that were not sent because no other process was fit for them.
    pub without_candidate: u64,
}

/// Why no second copy is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HedgeRefusal {
    /// A request of the group was refused for load within the last second.
    Overload,
    /// No other process is fit for the copy.
    NoCandidate,
    /// The budget is used up.
    Budget,
}

#[derive(Clone, Debug, Default)]
struct Group {
    delays: DelayEstimate,
    overloaded_until_ms: u64,
    used_ms: u64,
}

/// Decides whether a second copy of a request is sent, and when; `Key` names a group of requests
/// whose delays are alike, such as those of a service.
#[derive(Clone, Debug)]
pub struct HedgePolicy<Key> {
    settings: HedgingSettings,
    budget: HedgeBudget,
    groups: BTreeMap<Key, Group>,
    counts: HedgeCounts,
}

impl<Key: Copy + Ord> HedgePolicy<Key> {
    /// Creates the state of a process that has just started: its budget is empty.
    pub const fn new(settings: HedgingSettings) -> Self {
        Self {
            settings,
            budget: HedgeBudget::new(),
            groups: BTreeMap::new(),
            counts: HedgeCounts {
                sent: 0,
                won: 0,
                refused_by_budget: 0,
                refused_by_overload: 0,
                without_candidate: 0,
            },
        }
    }

    /// Applies changed settings; the budget and the delays stay.
    pub const fn change_settings(&mut self, settings: HedgingSettings) {
        self.settings = settings;
    }

    /// Returns whether second copies may be sent at all.
    pub const fn is_enabled(&self) -> bool {
        self.settings.budget_percent > 0
    }

    /// Records the first copy of a request that may be repeated; returns the time after which a
    /// second one is due, `unknown_delay_ms` while too few delays are known.
    pub fn record_first(&mut self, key: Key, unknown_delay_ms: u64, now_ms: u64) -> u64 {
        self.budget.record_first(&self.settings);
        let group = self.group(key, now_ms);
        let quantile_ms = group.delays.quantile_ms();
        quantile_ms
            .unwrap_or(unknown_delay_ms)
            .max(self.settings.min_delay_ms)
    }

    /// Records the time after which the first copy of a request was answered.
    ///
    /// First copies that are answered after a second one was sent have to be included: without them
    /// the quantile would fall with each second copy.
    pub fn record_delay(&mut self, key: Key, delay_ms: u64, now_ms: u64) {
        let quantile = self.settings.quantile;
        self.group(key, now_ms).delays.record(delay_ms, quantile);
    }

    /// Records that a request was refused for load.
    pub fn record_overload(&mut self, key: Key, now_ms: u64) {
        self.group(key, now_ms).overloaded_until_ms = now_ms + OVERLOAD_MS;
    }

    /// Decides about the second copy of a request that is due, and takes it from the budget if it is
    /// sent; to be called at most once for each request, with the process that would get it.
    ///
    /// # Errors
    ///
    /// Returns the [`HedgeRefusal`] if the copy must not be sent.
    pub fn try_hedge<Candidate>(
        &mut self,
        key: Key,
        candidate: Option<Candidate>,
        now_ms: u64,
    ) -> Result<Candidate, HedgeRefusal> {
        let result = self.decide(key, candidate, now_ms);
        let count = match &result {
            Ok(_) => &mut self.counts.sent,
            Err(HedgeRefusal::Overload) => &mut self.counts.refused_by_overload,
            Err(HedgeRefusal::NoCandidate) => &mut self.counts.without_candidate,
            Err(HedgeRefusal::Budget) => &mut self.counts.refused_by_budget,
        };
        *count += 1;
        result
    }

    fn decide<Candidate>(
        &mut self,
        key: Key,
        candidate: Option<Candidate>,
        now_ms: u64,
    ) -> Result<Candidate, HedgeRefusal> {
        if let Some(refusal) = self.refusal(key, now_ms) {
            return Err(refusal);
        }
        let candidate = candidate.ok_or(HedgeRefusal::NoCandidate)?;
        if self.budget.try_take() {
            return Ok(candidate);
        }
        Err(HedgeRefusal::Budget)
    }

    /// Returns why no second copy would be sent now, whichever process would get it; `None` if one
    /// would be.
    pub fn refusal(&self, key: Key, now_ms: u64) -> Option<HedgeRefusal> {
        let group = self.groups.get(&key);
        if group.is_some_and(|group| now_ms < group.overloaded_until_ms) {
            return Some(HedgeRefusal::Overload);
        }
        let has_token = self.is_enabled() && self.budget.has_token();
        (!has_token).then_some(HedgeRefusal::Budget)
    }

    /// Records that a second copy was not sent because another budget or limit was used up.
    pub const fn record_refused_by_budget(&mut self) {
        self.counts.refused_by_budget += 1;
    }

    /// Records that a second copy was answered before the first one.
    pub const fn record_won(&mut self) {
        self.counts.won += 1;
    }

    /// Forgets groups that have had no requests for a while.
    pub fn forget_idle_groups(&mut self, now_ms: u64) {
        self.groups
            .retain(|_, group| now_ms < group.used_ms + FORGET_GROUP_MS);
    }

    /// Returns how many second copies were sent and refused since the start.
    pub const fn counts(&self) -> HedgeCounts {
        self.counts
    }

    fn group(&mut self, key: Key, now_ms: u64) -> &mut Group {
        let group = self.groups.entry(key).or_default();
        group.used_ms = now_ms;
        group
    }
}
