use crate::flows::settings::FlowSettings;

/// Decides whether flows are advertised to all balancers, and whether reports may say so.
///
/// From a report with a total, balancers infer that no target holds a flow that was not advertised.
/// Reports therefore omit the total some time before advertisements are limited to some balancers,
/// and include it again only after all flows have been readvertised to all balancers.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdvertisementScope {
    limited_since_ms: Option<u64>,
}

impl AdvertisementScope {
    /// Updates the scope for the number of known balancers; returns whether all flows have to be
    /// readvertised.
    pub fn update(&mut self, balancers: usize, settings: &FlowSettings, now_ms: u64) -> bool {
        if balancers > settings.advertisements.tell_all {
            self.limited_since_ms.get_or_insert(now_ms);
            return false;
        }
        self.limited_since_ms.take().is_some()
    }

    /// Returns whether reports may include the total of advertised flows.
    pub const fn may_report_total(&self) -> bool {
        self.limited_since_ms.is_none()
    }

    /// Returns whether a flow that opens now is advertised to all balancers.
    ///
    /// They remain included for [`FlowSettings::suspect_after_ms`] after the limit was exceeded,
    /// because balancers rely on the last report for that long.
    pub fn includes_all_balancers(&self, settings: &FlowSettings, now_ms: u64) -> bool {
        self.limited_since_ms
            .is_none_or(|at_ms| now_ms < at_ms + settings.liveness.suspect_after_ms)
    }
}
