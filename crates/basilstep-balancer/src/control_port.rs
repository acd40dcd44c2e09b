//! The HTTP control port of the balancer.

use crate::{
    controller::{CollectDump, CollectSettingsDelta, Controller, TakeSnapshot},
    listeners::Listeners,
    shared_state::SharedState,
};
use basilstep_core::codes::ResultCode;
use basilstep_node::control::{ControlHandler, ControlResponse, PathAndQuery};
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Empty;
use hyper::body::Incoming;
use serde_json::json;
use std::sync::{Arc, atomic::Ordering};
use xtra::Address;

/// Handles dump requests from operators, and requests for settings and membership snapshots from
/// peers.
#[derive(Debug)]
pub struct ControlPort {
    /// The shared state of the balancer.
    pub shared: Arc<SharedState>,
    /// The sockets on the service addresses.
    pub listeners: Arc<Listeners>,
    /// The controller actor.
    pub controller: Address<Controller>,
}

impl ControlHandler for ControlPort {
    type Stream = Empty<Bytes>;

    async fn handle(&self, method: &Method, path: &str, _body: Bytes) -> ControlResponse {
        let query = PathAndQuery::parse(path);
        match (method.as_str(), query.path()) {
            ("GET", "/dump") => self.dump().await,
            ("GET", "/settings") => self.settings(&query).await,
            ("GET", "/snapshot") => self.snapshot().await,
            _ => ControlResponse::code(ResultCode::NotFound),
        }
    }

    async fn stream(&self, _request: Request<Incoming>) -> Response<Empty<Bytes>> {
        Response::new(Empty::new())
    }
}

impl ControlPort {
    async fn dump(&self) -> ControlResponse {
        let Ok(control) = self.controller.send(CollectDump).await else {
            return ControlResponse::code(ResultCode::PeerUnreachable);
        };
        ControlResponse::json(&json!({
            "role": "balancer",
            "address": self.shared.address(),
            "domain": self.shared.settings.common.domain,
            "version": env!("CARGO_PKG_VERSION"),
            "uptime_ms": self.shared.clock.now_ms(),
            "ready": self.shared.readiness.get(),
            "settings_version": self.shared.settings_version(),
            "carried_packets": self.shared.packets_to_agents.load(Ordering::Relaxed),
            "answered_packets": self.shared.packets_to_callers.load(Ordering::Relaxed),
            "codes": self.shared.counters.snapshot(),
            "listening": self.listeners.bound_addresses(),
            "control": control,
        }))
    }

    async fn settings(&self, query: &PathAndQuery<'_>) -> ControlResponse {
        let request = CollectSettingsDelta {
            above_version: query
                .parameter("above")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            service: query.parameter("service").map(str::to_owned),
        };
        match self.controller.send(request).await {
            Ok(Some(delta)) => ControlResponse::json(&delta),
            _ => ControlResponse::code(ResultCode::ServiceUnknown),
        }
    }

    async fn snapshot(&self) -> ControlResponse {
        let Ok(snapshot) = self.controller.send(TakeSnapshot).await else {
            return ControlResponse::code(ResultCode::PeerUnreachable);
        };
        let Some(snapshot) = snapshot else {
            return ControlResponse::code(ResultCode::Recovering);
        };
        ControlResponse {
            code: ResultCode::Done,
            body: postcard::to_stdvec(&snapshot).unwrap_or_default(),
        }
    }
}
