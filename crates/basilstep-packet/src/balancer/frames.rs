use super::{
    serve::{Balancer, spawn_settings_pull},
    settings_pull::SettingsPull,
};
use crate::datagram_socket::{MAX_DATAGRAM_BYTES, RECEIVE_BATCH};
use basilstep_core::{
    codes::ResultCode,
    flows::{AgentReport, BalancerEntry, BalancerHeartbeat, Frame, Returned, wire::WireError},
};
use basilstep_platform::header;
use std::net::{Ipv4Addr, SocketAddrV4};

impl Balancer {
    /// Handles a batch of pending frames from agents and other balancers; returns whether more may be
    /// waiting.
    pub(super) fn read_frames(&mut self) -> bool {
        self.refresh_time();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..RECEIVE_BATCH {
            let Some((bytes, peer)) = self.frames.socket().try_receive(&mut buffer) else {
                self.has_stale_frames = false;
                return false;
            };
            match self.frames.decode(peer, &buffer[..bytes], self.ctx.now_ms) {
                Ok(Some(received)) => self.on_frame(peer, received.frame, received.packet),
                Ok(None) => {}
                Err(error) => self.on_unreadable_frame(peer, error),
            }
        }
        true
    }

    fn on_unreadable_frame(&mut self, peer: Ipv4Addr, error: WireError) {
        let code = error.code();
        self.metrics.count(code);
        if code == ResultCode::UnsupportedVersion {
            self.flows.on_unreadable_frame(peer, &self.ctx);
        }
        if let Some(left_out) = self.admit_log_line(code) {
            log::warn!(peer:% = peer, code:% = code, reason:% = error, left_out; "received a frame that cannot be read");
        }
    }

    fn on_frame(&mut self, peer: Ipv4Addr, frame: Frame, packet: &[u8]) {
        match frame {
            Frame::Returned(returned) => self.on_returned(peer, returned, packet),
            Frame::Held(held) => self.flows.on_held_flows(peer, &held, &self.ctx),
            Frame::Report(report) => self.on_report(peer, report),
            Frame::Heartbeat(heartbeat) => self.on_heartbeat(peer, &heartbeat),
            Frame::ListBalancers => {
                let entries = self.flows.balancers().entries(self.ctx.now_ms);
                self.send_frame(peer, &Frame::Balancers(entries));
            }
            Frame::Balancers(entries) => self.on_balancers(&entries),
            Frame::Forward(_) | Frame::Reply(_) | Frame::Readvertise | Frame::Probe => {
                self.metrics.count(ResultCode::Malformed);
            }
        }
    }

    fn on_balancers(&mut self, entries: &[BalancerEntry]) {
        let greeted = self.flows.on_balancers(entries, &self.ctx);
        if greeted.is_empty() {
            return;
        }
        let heartbeat = Frame::Heartbeat(self.flows.heartbeat(&self.ctx));
        for balancer in greeted {
            self.send_frame(balancer, &heartbeat);
        }
    }

    fn on_returned(&mut self, agent: Ipv4Addr, returned: Returned, packet: &[u8]) {
        let Ok(segment) = header::decode(packet) else {
            self.metrics.count(ResultCode::Malformed);
            return;
        };
        self.metrics.count(returned.code);
        if let Some(left_out) = self.admit_log_line(returned.code) {
            let flow = segment.flow_of_caller();
            log::info!(
                flow:% = format_args!("{}>{}", flow.caller, flow.service_address),
                agent:% = agent,
                code:% = returned.code,
                opens = segment.is_syn(),
                left_out;
                "an agent returned a packet"
            );
        }
        let verdict = self.flows.on_returned(agent, returned, &segment, &self.ctx);
        self.apply_verdict(&verdict, &segment, packet);
    }

    fn on_report(&mut self, agent: Ipv4Addr, report: AgentReport) {
        if self.flows.on_report(agent, report, &self.ctx) {
            log::info!(
                agent:% = agent,
                phase:? = report.phase,
                is_cold = report.is_cold,
                is_stopping = report.is_stopping,
                domain = report.domain.0,
                lifetime = report.incarnation.0;
                "agent state changed"
            );
            let placed = self.flows.place_pending_syns(&self.ctx);
            self.forward_placed(&placed);
            self.send_search_packets(agent);
        }
        if self.flows.has_advertisement_gap(agent) {
            self.send_frame(agent, &Frame::Readvertise);
        }
        if report.wants_reply {
            let reply = self.flows.reply_to(agent, &report, &self.ctx);
            self.send_frame(agent, &Frame::Reply(reply));
        }
    }

    /// Sends the list of balancers to the agents that get their settings from this balancer, if there
    /// are new ones.
    ///
    /// The list names all balancers, and when many start, all are new within a moment.
    pub(super) fn send_new_balancers_to_agents(&mut self) {
        if !std::mem::take(&mut self.has_new_balancers) {
            return;
        }
        let list = Frame::Balancers(self.flows.balancers().entries(self.ctx.now_ms));
        let agents: Vec<Ipv4Addr> = self
            .flows
            .agents()
            .iter()
            .filter(|(_, state)| state.report.wants_reply)
            .map(|(agent, _)| *agent)
            .collect();
        for agent in agents {
            self.send_frame(agent, &list);
        }
    }

    fn on_heartbeat(&mut self, peer: Ipv4Addr, heartbeat: &BalancerHeartbeat) {
        let heartbeat = &BalancerHeartbeat {
            settings_age_ms: heartbeat.settings_age_ms.filter(|_| !self.has_stale_frames),
            ..*heartbeat
        };
        let is_new = self.flows.on_heartbeat(peer, heartbeat, &self.ctx);
        if is_new {
            log::info!(balancer:% = peer, lifetime = heartbeat.incarnation.0; "discovered a balancer");
            let own = Frame::Heartbeat(self.flows.heartbeat(&self.ctx));
            self.send_frame(peer, &own);
            self.has_new_balancers = true;
        }
        let differs = heartbeat.balancers_hash != self.flows.balancers().hash();
        if self.flows.try_list_balancers(is_new || differs, &self.ctx) {
            self.send_frame(peer, &Frame::ListBalancers);
        }
        self.era_signal.record(heartbeat.revision.era);
        let fleet = self.flows.fleet();
        let is_ahead =
            heartbeat.version > fleet.table.version || heartbeat.revision > fleet.revision;
        if is_ahead && !self.is_pulling_settings && !heartbeat.is_stopping {
            self.is_pulling_settings = true;
            let pull = SettingsPull {
                peer: SocketAddrV4::new(peer, self.machine.internal_port),
                highest_version: self.frames.versions().highest(),
                unstated_version: self
                    .frames
                    .versions()
                    .version_of(peer)
                    .filter(|_| !self.frames.versions().states_versions(peer)),
            };
            spawn_settings_pull(pull, self.event_sender.clone());
        }
    }
}
