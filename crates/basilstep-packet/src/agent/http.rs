use super::serve::Agent;
use crate::request_forwarder::PendingRequest;
use basilstep_core::flows::{InstanceTag, Recipients, TargetPhase, agent::HeartbeatOutcome};
use basilstep_node::{clock::unix_time_ms, http::ServerResponse};
use basilstep_platform::{
    calls::{self, Call},
    heartbeat,
};
use bytes::Bytes;
use http::StatusCode;
use serde_json::json;

/// How far ahead of the machine's clock a target's start may be, if the clock was set back since.
const MAX_CLOCK_STEP_MS: u64 = 3_600_000;

impl Agent {
    /// Answers an HTTP request.
    pub(super) fn answer_request(&mut self, pending: PendingRequest) {
        let request = &pending.request;
        let answer = match calls::decode(&request.method, &request.path) {
            Some(Call::Heartbeat { id }) => self.on_target_heartbeat(&id, &request.body),
            Some(Call::Leave { id }) => self.on_leave(&id),
            Some(Call::Readiness) => ServerResponse::empty(StatusCode::OK),
            None if request.path == "/metrics" => self.answer_metrics(),
            None if request.path == "/state" => {
                ServerResponse::json(StatusCode::OK, Bytes::from(self.state_json()))
            }
            None => ServerResponse::empty(StatusCode::NOT_FOUND),
        };
        if pending.answer.send(answer).is_err() {
            log::debug!("an HTTP client disconnected before its answer");
        }
    }

    fn on_target_heartbeat(&mut self, id: &str, body: &[u8]) -> ServerResponse {
        let request = match heartbeat::decode(id, body) {
            Ok(request) => request,
            Err(error) => {
                log::warn!(id, reason:% = error; "rejected a malformed heartbeat");
                return ServerResponse::empty(StatusCode::BAD_REQUEST);
            }
        };
        if request.service != self.service {
            log::warn!(id, service = request.service.as_str(); "rejected a heartbeat of another service");
            return ServerResponse::empty(StatusCode::CONFLICT);
        }
        if Some(request.address) != self.machine.target_address {
            log::warn!(id, address:% = request.address; "rejected a heartbeat of another address");
            return ServerResponse::empty(StatusCode::CONFLICT);
        }
        let unix_ms = unix_time_ms();
        let born_ms = request.heartbeat.born_ms;
        if born_ms > unix_ms + MAX_CLOCK_STEP_MS {
            log::warn!(id, born_ms; "rejected a heartbeat of a target that starts in the future");
            return ServerResponse::empty(StatusCode::BAD_REQUEST);
        }
        let heartbeat = request.heartbeat.arrived_at(unix_ms);
        let (outcome, lost) = self.flows.on_target_heartbeat(&heartbeat, &self.ctx);
        self.reset_lost_flows(&lost);
        if !matches!(
            outcome,
            HeartbeatOutcome::Unchanged | HeartbeatOutcome::Outdated
        ) {
            // A packet to the former incarnation, or from before the first heartbeat, may have been
            // refused.
            self.target_socket.clear_error();
            log::info!(
                id,
                outcome:? = outcome,
                state:? = request.heartbeat.state,
                born_ms = request.heartbeat.born_ms,
                sequence = request.heartbeat.sequence,
                capacity = request.heartbeat.capacity,
                warmup_left_ms = request.heartbeat.warmup_left_ms;
                "the target changed"
            );
            self.send_reports(Recipients::All);
        }
        ServerResponse::empty(StatusCode::OK)
    }

    fn on_leave(&mut self, id: &str) -> ServerResponse {
        let instance = InstanceTag::of(id);
        let Some(lost) = self.flows.on_target_left(instance, &self.ctx) else {
            log::info!(id; "ignored the deregistration of another incarnation of the target");
            return ServerResponse::empty(StatusCode::OK);
        };
        log::info!(id, flows = lost.len(); "the target has left");
        self.reset_lost_flows(&lost);
        self.send_reports(Recipients::All);
        ServerResponse::empty(StatusCode::OK)
    }

    /// Ends the incarnation of the target because no socket is bound at its address.
    pub(super) fn on_target_refused(&mut self) {
        if self.flows.target().phase() == TargetPhase::Down {
            return;
        }
        let lost = self.flows.on_target_ended(&self.ctx);
        log::warn!(flows = lost.len(); "the target does not listen: its lifetime has ended");
        self.reset_lost_flows(&lost);
        self.send_reports(Recipients::All);
    }

    fn answer_metrics(&mut self) -> ServerResponse {
        let health = self.flows.health_reading(&self.ctx);
        self.metrics.set_target_health(health);
        self.metrics
            .set_older_peers(self.frames.versions().older_peers());
        ServerResponse::text(Bytes::from(self.metrics.render()))
    }

    fn state_json(&self) -> String {
        json!({
            "node": self.machine.node,
            "now_ms": self.ctx.now_ms,
            "target": self.flows.target(),
            "is_domain_out": self.flows.is_domain_out(),
            "open_flows": self.flows.table().live(),
            "at_work": self.flows.table().at_work(),
            "health": self.flows.health_reading(&self.ctx),
            "queued": self.flows.queued(),
            "balancers": self.flows.balancers().entries(self.ctx.now_ms),
            "wire_version": self.frames.versions().highest(),
            "peer_versions": self.frames.versions().known(),
        })
        .to_string()
    }
}
