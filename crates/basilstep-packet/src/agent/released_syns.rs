use super::serve::Agent;
use basilstep_core::{
    codes::ResultCode,
    flows::agent::{CallerVerdict, ReleasedSyn},
};
use basilstep_platform::header;

impl Agent {
    /// Sends SYNs that leave the admission queue to the target, or back to their balancers.
    pub(super) fn send_released_syns(&mut self) {
        for mut syn in self.flows.take_released(&self.ctx) {
            self.metrics.count_released(syn.outcome, syn.waited_ms);
            let origin = syn.header.origin;
            match syn.verdict {
                CallerVerdict::Deliver { cookie } => {
                    self.log_released(ResultCode::Done, &syn);
                    self.send_to_target(&mut syn.packet, cookie);
                }
                CallerVerdict::Return { code } => {
                    self.log_released(code, &syn);
                    self.return_packet(origin, syn.header.service, code, &syn.packet);
                }
                CallerVerdict::Queue => {}
            }
        }
    }

    fn log_released(&mut self, code: ResultCode, syn: &ReleasedSyn) {
        let Ok(segment) = header::decode(&syn.packet) else {
            return;
        };
        let Some(left_out) = self.queue_log_limiter.admit(code, self.ctx.now_ms) else {
            return;
        };
        let flow = segment.flow_of_caller();
        log::info!(
            flow:% = format_args!("{}>{}", flow.caller, flow.service_address),
            code:% = code,
            opens = true,
            copy_or_ack = segment.acknowledged,
            phase:? = self.flows.target().phase(),
            at_work = self.flows.table().at_work(),
            open_flows = self.flows.table().live(),
            outcome:? = syn.outcome,
            waited_ms = syn.waited_ms,
            priority_level = syn.header.priority_level,
            queued = self.flows.queued(),
            left_out;
            "packet left the admission queue"
        );
    }
}
