//! The control port of the agent.

use crate::{
    carrier::CarrierSocket,
    controller::{Controller, Dump, PhaseChanged},
    shared::Shared,
};
use basilstep_core::{codes::ResultCode, membership::AgentPhase};
use basilstep_node::control::{ControlAnswer, ControlHandler, Query};
use bytes::Bytes;
use http::Method;
use serde_json::json;
use std::sync::{Arc, atomic::Ordering};
use xtra::Address;

/// Answers dumps and drain requests of operators.
#[derive(Debug)]
pub struct Port {
    /// What the tasks share.
    pub shared: Arc<Shared>,
    /// The carrier.
    pub carrier: Arc<CarrierSocket>,
    /// The controller.
    pub controller: Address<Controller>,
}

impl ControlHandler for Port {
    async fn handle(&self, method: &Method, path: &str, _body: Bytes) -> ControlAnswer {
        match (method.as_str(), Query::parse(path).path()) {
            ("GET", "/dump") => self.dump().await,
            ("POST", "/drain") => self.drain().await,
            _ => ControlAnswer::code(ResultCode::NotFound),
        }
    }
}

impl Port {
    async fn dump(&self) -> ControlAnswer {
        let Ok(control) = self.controller.send(Dump).await else {
            return ControlAnswer::code(ResultCode::PeerUnreachable);
        };
        let in_force = self.shared.in_force();
        ControlAnswer::json(&json!({
            "role": "agent",
            "address": self.shared.address(),
            "domain": self.shared.settings.common.domain,
            "domain_out": in_force.is_domain_out(),
            "service": self.shared.settings.service,
            "service_id": in_force.id,
            "target": self.shared.settings.target,
            "target_up": self.shared.is_target_up(),
            "draining": self.shared.is_draining(),
            "incarnation": self.shared.incarnation,
            "version": env!("CARGO_PKG_VERSION"),
            "uptime_ms": self.shared.clock.now_ms(),
            "settings_version": self.shared.settings_version(),
            "open_flows": self.shared.open_flows.load(Ordering::Relaxed),
            "remembered_paths": self.carrier.remembered_paths(),
            "codes": self.shared.counters.snapshot(),
            "control": control,
        }))
    }

    async fn drain(&self) -> ControlAnswer {
        self.shared.set_draining(true);
        let change = PhaseChanged(AgentPhase::Draining);
        if self.controller.send(change).await.is_err() {
            return ControlAnswer::code(ResultCode::PeerUnreachable);
        }
        ControlAnswer::json(&json!({"draining": true}))
    }
}
