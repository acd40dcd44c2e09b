//! The balancers.

use super::{
    BALANCERS, Event, PACKET_BYTES, SAME_DOMAIN_MS, Simulation, agent_ip, balancer_ip, domain_of,
    number_of,
};
use basilstep_core::flows::{
    Flags, FlowKey, Frame, LostFlow, Segment,
    balancer::{NextHop, Verdict},
};

impl Simulation {
    pub(super) fn send_heartbeats(&mut self) {
        let ctx = self.context();
        for number in 0..BALANCERS {
            let heartbeat = self.balancers[number].heartbeat(&ctx);
            for peer in 0..BALANCERS {
                if peer != number {
                    self.count_control_frame(&Frame::Heartbeat(heartbeat));
                    self.balancers[peer].on_heartbeat(balancer_ip(number), &heartbeat, &ctx);
                }
            }
        }
    }

    pub(super) fn on_balancer_frame(
        &mut self,
        number: usize,
        agent: usize,
        frame: Frame,
        segment: Option<Segment>,
    ) {
        let ctx = self.context();
        let balancer = &mut self.balancers[number];
        match (frame, segment) {
            (Frame::Report(report), _) => {
                balancer.on_report(agent_ip(agent), report, &ctx);
                if balancer.has_advertisement_gap(agent_ip(agent)) {
                    self.send_to_agent(number, agent, Frame::Readvertise, None);
                }
                if report.wants_reply {
                    let reply = self.balancers[number].reply_to(agent_ip(agent), &report, &ctx);
                    let list = self.balancers[number].balancers().entries(self.now_ms);
                    self.send_to_agent(number, agent, Frame::Reply(reply), None);
                    self.send_to_agent(number, agent, Frame::Balancers(list), None);
                }
            }
            (Frame::Held(advertised), _) => {
                balancer.on_held_flows(agent_ip(agent), &advertised, &ctx);
            }
            (Frame::Returned(returned), Some(segment)) => {
                let verdict = balancer.on_returned(agent_ip(agent), returned, &segment, &ctx);
                self.apply_verdict(number, verdict, &segment);
            }
            _ => {}
        }
    }

    pub(super) fn apply_verdict(&mut self, balancer: usize, verdict: Verdict, segment: &Segment) {
        match verdict {
            Verdict::Forward(next_hop) => self.forward_packet(balancer, &next_hop, segment),
            Verdict::Search(next_hops) => {
                for next_hop in next_hops {
                    self.forward_packet(balancer, &next_hop, segment);
                }
            }
            Verdict::Reset { .. } => self.send_reset(&LostFlow {
                flow: segment.flow_of_caller(),
                sequence: segment.acknowledged,
            }),
            Verdict::Drop { code } => {
                if segment.is_syn() {
                    let ctx = self.context();
                    self.balancers[balancer].queue_syn(segment, &[], code, &ctx);
                }
            }
        }
    }

    pub(super) fn forward_packet(
        &mut self,
        balancer: usize,
        next_hop: &NextHop,
        segment: &Segment,
    ) {
        self.figures.forwards += 1;
        let agent = number_of(next_hop.agent);
        if domain_of(agent) != domain_of(balancer) {
            self.figures.cross_domain_bytes += PACKET_BYTES + u64::from(segment.data_bytes);
        }
        self.send_to_agent(
            balancer,
            agent,
            Frame::Forward(next_hop.header),
            Some(*segment),
        );
    }

    pub(super) fn send_reset(&mut self, lost: &LostFlow) {
        let FlowKey {
            caller,
            service_address,
        } = lost.flow;
        let reset = Segment {
            source: service_address,
            destination: caller,
            flags: Flags {
                rst: true,
                ..Default::default()
            },
            sequence: lost.sequence,
            acknowledged: 0,
            data_bytes: 0,
            cookie: 0,
        };
        self.schedule(self.now_ms + SAME_DOMAIN_MS, Event::ToCaller(reset));
    }
}
