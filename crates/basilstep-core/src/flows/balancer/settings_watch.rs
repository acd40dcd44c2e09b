use crate::flows::{balancer_list::BalancerList, routes::FleetSettings};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// The maximum time in which the store answers a call; a slow store takes 50 to 100 times its usual
/// few milliseconds.
const MAX_CALL_TIMEOUT_MS: u64 = 1_000;

/// The times that bound how old the settings of a balancer may become.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchTimes {
    /// The age of its settings at which a balancer asks the store itself, at the latest.
    pub max_age_ms: u64,
    /// How long a watch waits for changes before the store confirms that there are none.
    pub wait_ms: u64,
    /// How long the store may take to answer, in addition to the wait.
    pub call_timeout_ms: u64,
}

impl WatchTimes {
    /// Returns the times for changes that have to be in force within `apply_limit_ms`.
    ///
    /// A third of the limit is left for the call that a balancer with old settings makes, and half
    /// of the maximum age for the way of a confirmation from a watching balancer to the others.
    pub const fn for_apply_limit(apply_limit_ms: u64) -> Self {
        let call_timeout_ms = apply_limit_ms / 4;
        Self {
            max_age_ms: apply_limit_ms * 2 / 3,
            wait_ms: apply_limit_ms / 3,
            call_timeout_ms: if call_timeout_ms < MAX_CALL_TIMEOUT_MS {
                call_timeout_ms
            } else {
                MAX_CALL_TIMEOUT_MS
            },
        }
    }
}

/// The default time within which a change has to be in force.
pub const DEFAULT_APPLY_LIMIT_MS: u64 = 3_000;

impl Default for WatchTimes {
    fn default() -> Self {
        Self::for_apply_limit(DEFAULT_APPLY_LIMIT_MS)
    }
}

/// What a balancer knows about the age of its settings, and whether it watches the store.
///
/// A few balancers watch and say in their heartbeats how long ago the store confirmed their settings
/// to them. The others rely on that until it is older than [`WatchTimes::max_age_ms`]; then they
/// watch as well. The age is measured on the clock of one process and only grows on its way, and no
/// balancer passes on what it has only heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettingsWatch {
    /// When the store last confirmed the settings to this balancer.
    confirmed_ms: Option<u64>,
    /// Calls to the store that began before this time confirm nothing.
    valid_from_ms: u64,
}

impl SettingsWatch {
    /// Records that the store has confirmed that the settings were the newest at `at_ms`.
    pub fn on_confirmed(&mut self, at_ms: u64) {
        if at_ms >= self.valid_from_ms {
            self.confirmed_ms = self.confirmed_ms.max(Some(at_ms));
        }
    }

    /// Discards what was confirmed before or during a pause, whose length is not certain.
    pub const fn on_pause(&mut self, now_ms: u64) {
        self.confirmed_ms = None;
        self.valid_from_ms = now_ms;
    }

    /// Returns how long ago the store last confirmed the settings to this balancer.
    pub fn own_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Returns how long ago the store last confirmed the settings to this balancer or to another one
    /// whose settings are not newer.
    pub fn age_ms(
        &self,
        balancers: &BalancerList,
        settings: &FleetSettings,
        now_ms: u64,
    ) -> Option<u64> {
        let heard = balancers
            .addresses()
            .filter_map(|ip| balancers.confirmed_ms(ip, settings))
            .map(|at_ms| now_ms.saturating_sub(at_ms));
        heard.chain(self.own_age_ms(now_ms)).min()
    }
}

/// How many balancers watch, and how old their confirmations may be.
#[derive(Clone, Copy, Debug)]
pub struct WatchLimits {
    /// How many balancers watch the store in calm.
    pub watchers: usize,
    /// The bounds on the age of the settings.
    pub times: WatchTimes,
}

impl WatchLimits {
    /// Returns whether the balancer `own_ip` has to watch the store: fewer than `watchers` balancers
    /// that come before it have had these settings confirmed recently.
    pub fn is_watch_needed(
        &self,
        own_ip: Ipv4Addr,
        balancers: &BalancerList,
        settings: &FleetSettings,
        now_ms: u64,
    ) -> bool {
        if !settings.is_known() {
            return true;
        }
        let order = balancers.watch_order();
        let before = order.iter().take_while(|ip| **ip != own_ip).count();
        let max_age_ms = self.max_age_ms(before, order.len());
        let relied_on = order[..before]
            .iter()
            .filter_map(|ip| balancers.confirmed_ms(*ip, settings))
            .filter(|at_ms| now_ms < at_ms + max_age_ms)
            .take(self.watchers)
            .count();
        relied_on < self.watchers
    }

    /// Returns the age of the settings at which the balancer with `before` of `balancers` before it
    /// starts to watch.
    ///
    /// When all watching balancers fail at once, those that come first replace them before the
    /// others make a call.
    fn max_age_ms(&self, before: usize, balancers: usize) -> u64 {
        let earliest_ms = self.times.max_age_ms * 3 / 4;
        let spread_ms = self.times.max_age_ms - earliest_ms;
        earliest_ms + spread_ms * before as u64 / balancers.max(1) as u64
    }
}
