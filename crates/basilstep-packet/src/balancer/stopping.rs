//! The planned stop of a balancer.

use super::serve::Balancer;
use crate::datagram_socket::MAX_FINAL_BATCHES;
use basilstep_core::flows::Frame;
use std::net::Ipv4Addr;

/// The time that a balancer keeps forwarding after SIGTERM.
///
/// The routers need two failed probes at two probes per second to stop using it, and packets in
/// flight need slightly longer.
const STOP_DELAY_MS: u64 = 1_800;

impl Balancer {
    /// Makes readiness probes fail; packets are forwarded until the stop is due.
    pub(super) fn begin_stop(&mut self) {
        self.refresh_time();
        log::info!("stopping: readiness probes now fail");
        self.flows.stop();
        self.stop_at_ms = Some(self.ctx.now_ms + STOP_DELAY_MS);
    }

    /// Returns whether the stop delay has passed.
    pub(super) fn is_stop_due(&self) -> bool {
        self.stop_at_ms
            .is_some_and(|at_ms| self.ctx.now_ms >= at_ms)
    }

    /// Handles what waits in the sockets, and announces the stop to all peers and agents.
    pub(super) fn finish_stop(&mut self) {
        for _ in 0..MAX_FINAL_BATCHES {
            self.read_packets();
            self.read_frames();
        }
        let final_heartbeat = Frame::Heartbeat(self.flows.final_heartbeat(&self.ctx));
        let mut recipients: Vec<Ipv4Addr> = self.flows.balancers().addresses().collect();
        recipients.extend(self.flows.agents().iter().map(|(ip, _)| *ip));
        for ip in recipients {
            self.send_frame(ip, &final_heartbeat);
        }
    }
}
