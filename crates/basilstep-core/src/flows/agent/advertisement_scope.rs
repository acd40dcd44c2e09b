use crate::flows::settings::FlowSettings;

/// Whether all balancers are told of each flow, and whether reports may promise so.
///
/// Balancers infer from the promise that a flow which nobody told of is held by nobody. So it is
/// taken back a while before fewer are told, and given again only when all have been told anew.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdvertisementScope {
    limited_since_ms: Option<u64>,
}

impl AdvertisementScope {
    /// Takes note of the number of balancers; returns whether all have to be told anew.
    pub fn update(&mut self, balancers: usize, settings: &FlowSettings, now_ms: u64) -> bool {
        if balancers > settings.tell_all {
            self.limited_since_ms.get_or_insert(now_ms);
            return false;
        }
        self.limited_since_ms.take().is_some()
    }

    /// Tells whether reports may promise that the receiver is told of each flow.
    pub const fn may_report_total(&self) -> bool {
        self.limited_since_ms.is_none()
    }

    /// Tells whether all balancers are told of a flow that opens now.
    ///
    /// Balancers trust a report for [`FlowSettings::suspect_after_ms`].
    pub fn includes_all_balancers(&self, settings: &FlowSettings, now_ms: u64) -> bool {
        self.limited_since_ms
            .is_none_or(|at_ms| now_ms < at_ms + settings.suspect_after_ms)
    }
}
