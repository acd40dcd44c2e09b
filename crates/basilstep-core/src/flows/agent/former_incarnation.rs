use crate::flows::settings::FlowSettings;

/// What balancers have told this agent about its former incarnation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FormerIncarnation {
    /// No balancer has replied yet.
    #[default]
    Unknown,
    /// None that has replied remembers one.
    NotRemembered,
    /// It ended long before this incarnation started.
    Gone,
    /// It ran until shortly before this incarnation started.
    Recent,
}

impl FormerIncarnation {
    /// Records a balancer's reply, `uptime_ms` after the start of this incarnation.
    ///
    /// The balancer that remembers the former incarnation is right; others may have restarted since.
    pub fn on_reply(
        &mut self,
        former_report_age_ms: Option<u32>,
        uptime_ms: u64,
        settings: &FlowSettings,
    ) {
        // It may have run for one report interval after its last report.
        let max_interval_ms =
            settings.liveness.report_interval_ms * u64::from(settings.liveness.slowest_pace);
        let recent_ms = uptime_ms + max_interval_ms + settings.table.witness_ms;
        *self = match (former_report_age_ms, *self) {
            (_, Self::Recent) => Self::Recent,
            (Some(age_ms), _) if u64::from(age_ms) < recent_ms => Self::Recent,
            (Some(_), _) | (None, Self::Gone) => Self::Gone,
            (None, Self::Unknown | Self::NotRemembered) => Self::NotRemembered,
        };
    }
}
