//! The planned stop of an agent.

use super::serve::Agent;
use crate::datagram_socket::MAX_FINAL_BATCHES;
use basilstep_core::flows::Recipients;

/// The maximum time that an agent keeps forwarding after SIGTERM for requests at work at its target.
///
/// Most are answered within a few 100 ms; a target with long flows may have requests at work all the
/// time.
const MAX_STOP_DELAY_MS: u64 = 1_000;

/// The minimum time that an agent keeps forwarding after SIGTERM: SYNs that balancers send before
/// they receive its report are returned, and the first requests of new flows arrive.
const MIN_STOP_DELAY_MS: u64 = 50;

impl Agent {
    /// Refuses new flows from now on; open flows are served until the stop is due.
    pub(super) fn begin_stop(&mut self) {
        self.refresh_time();
        log::info!(at_work = self.flows.table().at_work(); "stopping: new flows are refused");
        self.flows.stop();
        self.stop_began_ms = Some(self.ctx.now_ms);
        self.send_reports(Recipients::All);
    }

    /// Returns whether the target has answered all requests since the stop began, or the stop delay
    /// has passed.
    pub(super) fn is_stop_due(&self) -> bool {
        let is_idle = self.flows.table().at_work() == 0;
        let delay_ms = if is_idle {
            MIN_STOP_DELAY_MS
        } else {
            MAX_STOP_DELAY_MS
        };
        self.stop_began_ms
            .is_some_and(|began_ms| self.ctx.now_ms >= began_ms + delay_ms)
    }

    /// Handles what waits in the sockets; returns whether the stop is still due, and if so announces
    /// it to all balancers.
    pub(super) fn try_finish_stop(&mut self) -> bool {
        for _ in 0..MAX_FINAL_BATCHES {
            self.read_frames();
            self.read_target_packets();
        }
        self.send_released_syns();
        if !self.is_stop_due() {
            return false;
        }
        self.send_reports(Recipients::All);
        true
    }
}
