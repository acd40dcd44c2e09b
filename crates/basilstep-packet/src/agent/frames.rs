use super::serve::Agent;
use crate::datagram_socket::{MAX_DATAGRAM_BYTES, RECEIVE_BATCH};
use basilstep_core::{
    codes::ResultCode,
    flows::{
        Frame, Recipients, ReportReply,
        wire::{ReceivedFrame, WireError},
    },
};
use std::net::Ipv4Addr;

impl Agent {
    /// Handles pending frames from balancers.
    pub(super) fn read_frames(&mut self) {
        self.refresh_time();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..RECEIVE_BATCH {
            let Some((bytes, peer)) = self.frames.socket().try_receive(&mut buffer) else {
                self.flows.on_backlog_read();
                return;
            };
            let datagram = &mut buffer[..bytes];
            match self.frames.decode(peer, datagram, self.ctx.now_ms) {
                Ok(Some(ReceivedFrame {
                    frame: Frame::Forward(forward_header),
                    packet,
                    ..
                })) => {
                    let packet_at = bytes - packet.len();
                    self.on_forwarded_packet(&forward_header, &mut datagram[packet_at..]);
                }
                Ok(Some(received)) => self.on_frame(peer, &received.frame),
                Ok(None) => {}
                Err(error) => self.on_unreadable_frame(peer, error),
            }
        }
    }

    fn on_unreadable_frame(&mut self, peer: Ipv4Addr, error: WireError) {
        let code = error.code();
        self.metrics.count(code);
        if code == ResultCode::UnsupportedVersion {
            self.flows.balancers_mut().refresh(peer, self.ctx.now_ms);
        }
        if let Some(left_out) = self.log_limiter.admit(code, self.ctx.now_ms) {
            log::warn!(peer:% = peer, code:% = code, reason:% = error, left_out; "received a frame that cannot be read");
        }
    }

    fn on_frame(&mut self, peer: Ipv4Addr, frame: &Frame) {
        match frame {
            Frame::Reply(reply) => self.on_reply(peer, reply),
            Frame::Balancers(entries) => {
                if self.flows.on_balancers(entries, &self.ctx) {
                    self.send_reports(Recipients::All);
                }
            }
            Frame::Probe => {
                let report = self.flows.report(peer, &self.ctx);
                self.send_frame(peer, &Frame::Report(report), &[]);
            }
            Frame::Readvertise => self.flows.readvertise_all(peer, &self.ctx),
            Frame::Heartbeat(heartbeat) => {
                self.flows
                    .balancers_mut()
                    .record_heartbeat(peer, heartbeat, self.ctx.now_ms);
            }
            _ => self.metrics.count(ResultCode::Malformed),
        }
    }

    fn on_reply(&mut self, peer: Ipv4Addr, reply: &ReportReply) {
        self.settings_source.on_reply(self.ctx.now_ms);
        if self.flows.on_reply(reply, &self.ctx) {
            log::info!(
                is_domain_out = self.flows.is_domain_out(),
                revision:% = reply.revision,
                source:% = peer;
                "the failure domain left or came back"
            );
            self.send_reports(Recipients::All);
        }
        if reply.balancers_hash == self.flows.balancers().hash() {
            self.flows.balancers_mut().refresh_all(self.ctx.now_ms);
        } else {
            self.send_frame(peer, &Frame::ListBalancers, &[]);
        }
    }
}
