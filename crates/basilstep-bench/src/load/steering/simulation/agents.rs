//! The agents and their targets.

use super::{BALANCERS, Event, HEARTBEAT_MS, SAME_DOMAIN_MS, Simulation, balancer_ip, domain_of};
use crate::load::{one_service::service, steering::target::CAPACITY};
use basilstep_core::{
    context::Context,
    flows::{
        Frame, InstanceTag, ProcessIncarnation, Recipients, Returned, Segment,
        agent::{CallerVerdict, HeartbeatState, TargetHeartbeat, TargetVerdict},
    },
};

impl Simulation {
    pub(super) fn tick_agent(&mut self, number: usize, ctx: &Context) {
        let machine = &mut self.machines[number];
        if self.now_ms >= machine.born_ms + machine.heartbeats * HEARTBEAT_MS {
            machine.heartbeats += 1;
            let heartbeat = TargetHeartbeat {
                instance: InstanceTag::default(),
                born_ms: machine.born_ms,
                sequence: machine.heartbeats,
                state: HeartbeatState::Ready,
                capacity: CAPACITY as u16,
                warmup_left_ms: 0,
                age_ms: None,
            }
            .arrived_at(self.now_ms);
            machine.agent.on_target_heartbeat(&heartbeat, ctx);
        }
        machine.agent.on_tick(ctx);
        if self
            .now_ms
            .is_multiple_of(self.settings.liveness.report_interval_ms)
        {
            let source = machine
                .source
                .next(machine.agent.balancers(), domain_of(number));
            let mut reports = machine
                .agent
                .due_reports(Recipients::Scheduled, source, ctx);
            if reports.is_empty() {
                let mut report = machine.agent.report(balancer_ip(number % BALANCERS), ctx);
                report.wants_reply = true;
                reports.push((balancer_ip(number % BALANCERS), report));
            }
            for (balancer, report) in reports {
                self.send_to_balancer(number, balancer, Frame::Report(report), None);
            }
        }
        self.send_advertisements(number);
    }

    pub(super) fn send_advertisements(&mut self, number: usize) {
        for (balancer, advertised) in self.machines[number].agent.take_advertisements() {
            self.send_to_balancer(number, balancer, Frame::Held(advertised), None);
        }
    }

    pub(super) fn on_agent_frame(
        &mut self,
        number: usize,
        balancer: usize,
        frame: &Frame,
        segment: Option<Segment>,
    ) {
        if !self.machines[number].is_powered {
            return;
        }
        let ctx = self.context();
        let machine = &mut self.machines[number];
        match (frame, segment) {
            (Frame::Forward(forward_header), Some(segment)) => {
                match machine.agent.on_packet(forward_header, &segment, &ctx) {
                    CallerVerdict::Deliver { cookie } => {
                        self.deliver(number, &Segment { cookie, ..segment });
                    }
                    CallerVerdict::Return { code } => {
                        let returned = Frame::Returned(Returned {
                            code,
                            service: forward_header.service,
                        });
                        let to = balancer_ip(balancer);
                        self.send_to_balancer(number, to, returned, Some(segment));
                    }
                    CallerVerdict::Queue => unreachable!("all routes have one priority"),
                }
            }
            (Frame::Reply(reply), _) => {
                machine.source.on_reply(self.now_ms);
                machine.agent.on_reply(reply, &ctx);
            }
            (Frame::Balancers(list), _) => {
                machine.agent.on_balancers(list, &ctx);
                machine.agent.balancers_mut().refresh_all(self.now_ms);
            }
            (Frame::Readvertise, _) => machine.agent.readvertise_all(balancer_ip(balancer), &ctx),
            _ => {}
        }
        self.send_advertisements(number);
    }

    /// Handles a packet at the target.
    pub(super) fn deliver(&mut self, number: usize, segment: &Segment) {
        let machine = &mut self.machines[number];
        let incarnation = machine.incarnation;
        let mut reply = Segment {
            source: segment.destination,
            destination: segment.source,
            flags: segment.flags,
            sequence: incarnation.0 << 20,
            acknowledged: segment.end_sequence(),
            data_bytes: 0,
            cookie: 0,
        };
        let mut ready_ms = self.now_ms;
        if segment.is_syn() {
            machine.target.open_flows.insert(segment.flow_of_caller());
            reply.flags.ack = true;
        } else if machine.target.holds_flow(segment) {
            reply.sequence += 1;
            reply.data_bytes = 200;
            ready_ms = machine.target.serve(self.now_ms);
        } else {
            reply = *segment;
            reply.flags.bounced = true;
        }
        self.schedule(ready_ms, Event::FromTarget(number, incarnation, reply));
    }

    pub(super) fn on_target_packet(
        &mut self,
        number: usize,
        incarnation: ProcessIncarnation,
        segment: &Segment,
    ) {
        let machine = &mut self.machines[number];
        if !machine.is_powered || machine.incarnation != incarnation {
            return;
        }
        if let Some(backlog) = &mut machine.backlog {
            backlog.push(Event::FromTarget(number, incarnation, *segment));
            return;
        }
        let mut ctx = Context::new(1);
        ctx.now_ms = self.now_ms;
        match machine.agent.on_target_packet(segment, &ctx) {
            TargetVerdict::ToCaller { .. } => {
                self.schedule(self.now_ms + SAME_DOMAIN_MS, Event::ToCaller(*segment));
            }
            TargetVerdict::Drop => {}
            TargetVerdict::Return { origin, code } => {
                let returned = Frame::Returned(Returned {
                    code,
                    service: service(),
                });
                let mut segment = *segment;
                segment.flags.bounced = false;
                self.send_to_balancer(number, origin, returned, Some(segment));
            }
        }
        self.send_advertisements(number);
    }
}
