use super::serve::Balancer;
use crate::datagram_socket::{MAX_DATAGRAM_BYTES, RECEIVE_BATCH};
use basilstep_core::{
    codes::ResultCode,
    flows::{
        Frame, LostFlow, Segment,
        balancer::{NextHop, PlacedSyn, TickOutcome, Verdict},
    },
};
use basilstep_platform::header;
use std::net::{Ipv4Addr, SocketAddrV4};

impl Balancer {
    /// Handles pending packets from callers.
    pub(super) fn read_packets(&mut self) {
        self.refresh_time();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..RECEIVE_BATCH {
            let Some((bytes, _peer)) = self.packet_socket.try_receive(&mut buffer) else {
                self.flows.on_backlog_read();
                return;
            };
            let packet = &buffer[..bytes];
            match header::decode(packet) {
                Ok(segment) => {
                    let verdict = self.flows.on_packet(&segment, &self.ctx);
                    self.apply_verdict(&verdict, &segment, packet);
                }
                Err(error) => {
                    self.metrics.count(ResultCode::Malformed);
                    if let Some(left_out) = self.admit_log_line(ResultCode::Malformed) {
                        log::warn!(reason:% = error, left_out; "received a malformed packet");
                    }
                }
            }
        }
    }

    /// Forwards, resets or drops a packet according to `verdict`; a dropped SYN may be queued.
    pub(super) fn apply_verdict(&mut self, verdict: &Verdict, segment: &Segment, packet: &[u8]) {
        match verdict {
            Verdict::Forward(next_hop) => {
                if segment.is_syn() {
                    self.log_decision(ResultCode::Done, segment, Some(next_hop));
                }
                self.send_next_hop(next_hop, packet);
                self.flows.watch_syn(segment, packet, &self.ctx);
            }
            Verdict::Search(next_hops) => {
                self.metrics.count(ResultCode::FlowSearched);
                self.log_decision(ResultCode::FlowSearched, segment, None);
                self.flows.keep_search_packet(segment, packet);
                for next_hop in next_hops {
                    self.send_next_hop(next_hop, packet);
                }
            }
            Verdict::Reset { code } => {
                self.metrics.count(*code);
                self.log_decision(*code, segment, None);
                self.send_reset(&LostFlow {
                    flow: segment.flow_of_caller(),
                    sequence: segment.acknowledged,
                });
            }
            Verdict::Drop { code } => {
                self.metrics.count(*code);
                self.log_decision(*code, segment, None);
                if segment.is_syn() {
                    self.flows.queue_syn(segment, packet, *code, &self.ctx);
                }
            }
        }
    }

    /// Forwards queued SYNs that can now be placed, and resets lost flows.
    pub(super) fn apply_tick_outcome(&mut self, outcome: &TickOutcome) {
        self.forward_placed(&outcome.placed);
        if let Some(first) = outcome.lost.first() {
            log::info!(
                code:% = ResultCode::FlowLost,
                flows = outcome.lost.len(),
                first:% = first.flow.caller;
                "reset flows that no agent holds"
            );
        }
        for lost in &outcome.lost {
            self.metrics.count(ResultCode::FlowLost);
            self.send_reset(lost);
        }
    }

    pub(super) fn forward_placed(&mut self, placed: &[PlacedSyn]) {
        for placed in placed {
            self.log_decision(
                ResultCode::Done,
                &placed.syn.segment,
                Some(&placed.next_hop),
            );
            self.send_next_hop(&placed.next_hop, &placed.syn.packet);
            self.flows
                .watch_syn(&placed.syn.segment, &placed.syn.packet, &self.ctx);
        }
    }

    /// Asks an agent that has started or changed for the flows that are being searched for.
    pub(super) fn send_search_packets(&mut self, agent: Ipv4Addr) {
        let packets = self.flows.take_search_packets(agent);
        if packets.is_empty() {
            return;
        }
        if let Some(left_out) = self.admit_log_line(ResultCode::FlowSearched) {
            log::info!(
                agent:% = agent,
                flows = packets.len(),
                left_out;
                "asked an agent again for flows without a holder"
            );
        }
        for asked in packets {
            self.send_next_hop(&asked.next_hop, &asked.packet);
        }
    }

    pub(super) fn send_next_hop(&mut self, next_hop: &NextHop, packet: &[u8]) {
        self.frames
            .send(next_hop.agent, &Frame::Forward(next_hop.header), packet);
    }

    fn send_reset(&self, lost: &LostFlow) {
        let reset = header::encode_reset(&lost.flow, lost.sequence);
        let address = SocketAddrV4::new(*lost.flow.caller.ip(), self.machine.packet_address.port());
        self.packet_socket.send(&reset, address);
    }

    pub(super) fn admit_log_line(&mut self, code: ResultCode) -> Option<u64> {
        self.log_limiter.admit(code, self.ctx.now_ms)
    }

    fn log_decision(&mut self, code: ResultCode, segment: &Segment, next_hop: Option<&NextHop>) {
        let Some(left_out) = self.admit_log_line(code) else {
            return;
        };
        let flow = segment.flow_of_caller();
        let agent = next_hop.map(|next_hop| next_hop.agent);
        let state = agent.and_then(|agent| self.flows.agents().get(agent));
        log::info!(
            flow:% = format_args!("{}>{}", flow.caller, flow.service_address),
            code:% = code,
            opens = segment.is_syn(),
            copy_or_ack = segment.acknowledged,
            version = self.flows.fleet().table.version,
            service = next_hop
                .map(|next_hop| next_hop.header.service.to_string())
                .as_deref(),
            agent = agent.map(|agent| agent.to_string()).as_deref(),
            at_work = state.map(|state| state.report.at_work),
            report_age_ms = state.map(|state| self.ctx.now_ms.saturating_sub(state.reported_ms)),
            left_out;
            "packet"
        );
    }
}
