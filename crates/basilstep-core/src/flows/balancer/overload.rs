use crate::flows::key::ServiceTag;
use std::collections::BTreeMap;

/// The time without a refusal after which an overload has ended.
const MAX_GAP_MS: u64 = 100;

#[derive(Clone, Copy, Debug)]
struct Refusals {
    since_ms: u64,
    last_ms: u64,
}

/// Since when the targets of each service have had no room for new flows of each priority level.
#[derive(Clone, Debug, Default)]
pub struct Overloads {
    refusals: BTreeMap<(ServiceTag, u8), Refusals>,
}

impl Overloads {
    /// Records that the targets of a service have refused a new flow of a priority level because of
    /// their load; returns whether its caller is to be refused at once.
    ///
    /// A caller that gets no answer sends its SYN again, and that is of use if there is room by
    /// then. In an overload that has lasted for longer than this takes, it would come back too late
    /// to be answered in time, and take the place of a request that could be.
    pub fn record_refusal(
        &mut self,
        service: ServiceTag,
        level: u8,
        refuse_after_ms: u64,
        now_ms: u64,
    ) -> bool {
        let refusals = self.refusals.entry((service, level)).or_insert(Refusals {
            since_ms: now_ms,
            last_ms: now_ms,
        });
        if now_ms >= refusals.last_ms + MAX_GAP_MS {
            refusals.since_ms = now_ms;
        }
        refusals.last_ms = now_ms;
        now_ms >= refusals.since_ms + refuse_after_ms
    }

    /// Restarts the overload of a service and priority level, which is expected to end soon.
    pub fn restart(&mut self, service: ServiceTag, level: u8, now_ms: u64) {
        if let Some(refusals) = self.refusals.get_mut(&(service, level)) {
            refusals.since_ms = now_ms;
        }
    }
}
