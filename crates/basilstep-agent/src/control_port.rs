//! The HTTP control port of the agent.

use crate::{
    controller::{CollectDump, Controller, PhaseChanged},
    exchange::{
        self, Dispatcher, RELAY_KEEPS_RECORD, RELAY_PATH, RELAYED_HEADER, RequestOrigin,
        ResponseBody,
    },
    shared_state::SharedState,
    stop::ActiveRequest,
    upstream::remove_hop_by_hop,
};
use basilstep_core::{codes::ResultCode, membership::AgentPhase};
use basilstep_node::control::{AUTH_HEADER, ControlHandler, ControlResponse, PathAndQuery};
use bytes::Bytes;
use http::{Method, Request, Response, Version};
use http_body::{Body, Frame};
use hyper::body::Incoming;
use serde_json::json;
use std::{
    io,
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll},
};
use xtra::Address;

/// Handles dump and drain requests from operators and requests relayed by other agents.
#[derive(Debug)]
pub struct ControlPort {
    /// The shared state of the agent.
    pub shared: Arc<SharedState>,
    /// The controller actor.
    pub controller: Address<Controller>,
    /// Decides on relayed requests.
    pub dispatcher: Arc<Dispatcher>,
}

impl ControlHandler for ControlPort {
    type Stream = RelayedBody;

    async fn handle(&self, method: &Method, path: &str, _body: Bytes) -> ControlResponse {
        match (method.as_str(), PathAndQuery::parse(path).path()) {
            ("GET", "/dump") => self.dump().await,
            ("POST", "/drain") => self.drain().await,
            _ => ControlResponse::code(ResultCode::NotFound),
        }
    }

    fn is_streamed(&self, path: &str) -> bool {
        path.starts_with(RELAY_PATH)
    }

    /// Handles a request relayed by another agent.
    async fn stream(&self, request: Request<Incoming>) -> Response<RelayedBody> {
        let active = self.shared.active_requests.begin();
        let (mut head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let path = path.strip_prefix(RELAY_PATH).unwrap_or(path);
        head.uri = path.parse().unwrap_or_default();
        let relay_mode = head.headers.remove(RELAYED_HEADER);
        head.headers.remove(AUTH_HEADER);
        let origin = match relay_mode {
            Some(value) if value == RELAY_KEEPS_RECORD => RequestOrigin::RelayKeepsRecord,
            _ => RequestOrigin::RelayToTicketIssuer,
        };
        let request = Request::from_parts(head, body);
        let mut response =
            exchange::handle_request(&self.shared, &self.dispatcher, origin, request).await;
        // An HTTP/1.0 response has no marked end, so that its truncation would not be noticed.
        *response.version_mut() = Version::HTTP_11;
        remove_hop_by_hop(response.headers_mut());
        response.map(|body| RelayedBody {
            body,
            _active: active,
        })
    }
}

/// The body of the response to a relayed request, which is in progress until the body ends.
#[derive(Debug)]
pub struct RelayedBody {
    body: ResponseBody,
    _active: ActiveRequest,
}

impl Body for RelayedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }
}

impl ControlPort {
    async fn dump(&self) -> ControlResponse {
        let Ok(control) = self.controller.send(CollectDump).await else {
            return ControlResponse::code(ResultCode::PeerUnreachable);
        };
        let active_settings = self.shared.active_settings();
        ControlResponse::json(&json!({
            "role": "agent",
            "address": self.shared.address(),
            "domain": self.shared.settings.common.domain,
            "domain_out": active_settings.is_domain_out(),
            "service": self.shared.settings.service,
            "service_id": active_settings.id,
            "target": self.shared.settings.target,
            "target_up": self.shared.is_target_up(),
            "draining": self.shared.is_draining(),
            "incarnation": self.shared.incarnation,
            "version": env!("CARGO_PKG_VERSION"),
            "uptime_ms": self.shared.clock.now_ms(),
            "settings_version": self.shared.settings_version(),
            "open_flows": self.shared.open_flows.load(Ordering::Relaxed),
            "remembered_paths": self.shared.return_paths().caller_count(),
            "admission": self.dispatcher.admission_view(),
            "requests": self.dispatcher.requests_view(),
            "codes": self.shared.counters.snapshot(),
            "control": control,
        }))
    }

    async fn drain(&self) -> ControlResponse {
        self.shared.set_draining(true);
        let change = PhaseChanged(AgentPhase::Draining);
        if self.controller.send(change).await.is_err() {
            return ControlResponse::code(ResultCode::PeerUnreachable);
        }
        ControlResponse::json(&json!({"draining": true}))
    }
}
