use super::serve::Balancer;
use crate::datagram_socket::{MAX_WAITING_BATCHES, read_waiting};
use basilstep_core::{codes::ResultCode, flows::balancer::DueHedge};

impl Balancer {
    /// Offers SYNs that were not confirmed in time to a second agent.
    pub(super) fn send_due_hedges(&mut self) {
        if !self.flows.has_due_hedge(&self.ctx) {
            return;
        }
        // The confirmations may have arrived while the process was waiting for its processor.
        read_waiting(MAX_WAITING_BATCHES, || self.read_frames());
        for hedge in self.flows.take_due_hedges(&self.ctx) {
            self.log_hedge(&hedge);
            if let Ok(next_hop) = &hedge.result {
                self.send_next_hop(next_hop, &hedge.packet);
            }
        }
    }

    fn log_hedge(&mut self, hedge: &DueHedge) {
        // Second offers and refusals are limited apart, so that one kind does not hide the other.
        let limited_as = match hedge.result {
            Ok(_) => ResultCode::Done,
            Err(_) => ResultCode::NoTarget,
        };
        let now_ms = self.ctx.now_ms;
        let Some(left_out) = self.hedge_log_limiter.admit(limited_as, now_ms) else {
            return;
        };
        let flow = hedge.segment.flow_of_caller();
        let flow = format!("{}>{}", flow.caller, flow.service_address);
        let first_agent = hedge.first_agent;
        let waited_ms = hedge.waited_ms;
        match &hedge.result {
            Ok(next_hop) => log::info!(
                flow,
                first_agent:% = first_agent,
                agent:% = next_hop.agent,
                waited_ms,
                left_out;
                "offered a SYN to a second agent"
            ),
            Err(reason) => log::info!(
                flow,
                first_agent:% = first_agent,
                reason:? = reason,
                waited_ms,
                left_out;
                "did not offer a late SYN to a second agent"
            ),
        }
    }
}
