use super::serve::Agent;
use crate::datagram_socket::{MAX_DATAGRAM_BYTES, RECEIVE_BATCH, SendOutcome};
use basilstep_core::{
    codes::ResultCode,
    flows::{
        ForwardHeader, Frame, Returned, Segment, ServiceTag,
        agent::{CallerVerdict, TargetVerdict},
    },
};
use basilstep_platform::header;
use std::net::Ipv4Addr;

impl Agent {
    /// Handles a packet of a caller that a balancer has forwarded.
    pub(super) fn on_forwarded_packet(
        &mut self,
        forward_header: &ForwardHeader,
        packet: &mut [u8],
    ) {
        let Ok(segment) = header::decode(packet) else {
            self.metrics.count(ResultCode::Malformed);
            return;
        };
        match self.flows.on_packet(forward_header, &segment, &self.ctx) {
            CallerVerdict::Deliver { cookie } => {
                if segment.is_syn() {
                    self.log_decision(ResultCode::Done, &segment);
                }
                self.send_to_target(packet, cookie);
            }
            CallerVerdict::Return { code } => {
                self.log_decision(code, &segment);
                self.return_packet(forward_header.origin, forward_header.service, code, packet);
            }
            CallerVerdict::Queue => {
                let is_new = self
                    .flows
                    .queue_syn(forward_header, &segment, packet, &self.ctx);
                self.metrics.queued_syns.inc_by(u64::from(is_new));
            }
        }
    }

    /// Sends a packet to the target, with a cookie that says where to return it if it bounces.
    pub(super) fn send_to_target(&mut self, packet: &mut [u8], cookie: u32) {
        header::set_cookie(packet, cookie);
        self.has_sent_to_target = true;
        if self.target_socket.send(packet) == SendOutcome::Refused {
            self.on_target_refused();
        }
    }

    /// Handles pending packets from the target.
    pub(super) fn read_target_packets(&mut self) {
        self.refresh_time();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..RECEIVE_BATCH {
            let Some((bytes, _peer)) = self.outbound_socket.try_receive(&mut buffer) else {
                return;
            };
            self.on_target_packet(&mut buffer[..bytes]);
        }
    }

    fn on_target_packet(&mut self, packet: &mut [u8]) {
        let segment = match header::decode(packet) {
            Ok(segment) => segment,
            Err(error) => {
                self.metrics.count(ResultCode::Malformed);
                if let Some(left_out) = self
                    .log_limiter
                    .admit(ResultCode::Malformed, self.ctx.now_ms)
                {
                    log::warn!(reason:% = error, left_out; "received a malformed packet from the target");
                }
                return;
            }
        };
        match self.flows.on_target_packet(&segment, &self.ctx) {
            TargetVerdict::ToCaller { handshake_ms } => {
                if let Some(handshake_ms) = handshake_ms {
                    self.metrics.handshake_ms.observe(handshake_ms as f64);
                }
                self.send_to_caller(packet, *segment.destination.ip());
            }
            TargetVerdict::Drop => self.metrics.count(ResultCode::FlowNotHeld),
            TargetVerdict::Return { origin, code } => {
                self.log_decision(code, &segment);
                header::clear_bounced(packet);
                let service = ServiceTag::of(&self.service);
                self.return_packet(origin, service, code, packet);
            }
        }
    }

    pub(super) fn return_packet(
        &mut self,
        origin: Ipv4Addr,
        service: ServiceTag,
        code: ResultCode,
        packet: &[u8],
    ) {
        self.metrics.count(code);
        self.send_frame(origin, &Frame::Returned(Returned { code, service }), packet);
    }

    fn log_decision(&mut self, code: ResultCode, segment: &Segment) {
        let Some(left_out) = self.log_limiter.admit(code, self.ctx.now_ms) else {
            return;
        };
        let flow = segment.flow_of_caller();
        log::info!(
            flow:% = format_args!("{}>{}", flow.caller, flow.service_address),
            code:% = code,
            opens = segment.is_syn(),
            copy_or_ack = segment.acknowledged,
            phase:? = self.flows.target().phase(),
            at_work = self.flows.table().at_work(),
            open_flows = self.flows.table().live(),
            left_out;
            "packet"
        );
    }
}
