//! Forwarding of HTTP requests to the task that owns the state.

use crate::{metrics::METRICS_PORT, process::ProcessError};
use basilstep_node::http::{RequestHandler, ServerRequest, ServerResponse, spawn_http_server};
use basilstep_platform::settings::MachineSettings;
use http::StatusCode;
use std::net::SocketAddrV4;
use tokio::sync::{mpsc, oneshot};

/// An HTTP request and the channel for its answer.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request.
    pub request: ServerRequest,
    /// Sends the answer to the client.
    pub answer: oneshot::Sender<ServerResponse>,
}

/// An HTTP handler that forwards each request as an event to the packet task.
#[derive(Debug)]
pub struct RequestForwarder<Event> {
    event_sender: mpsc::Sender<Event>,
    to_event: fn(PendingRequest) -> Event,
}

impl<Event: Send + 'static> RequestForwarder<Event> {
    /// Starts servers on the addresses that the platform calls and on the metrics port.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError::Bind`] for the first address that cannot be bound.
    pub async fn spawn_servers(&self, machine: &MachineSettings) -> Result<(), ProcessError> {
        self.spawn_server("the readiness address", machine.readiness_address)
            .await?;
        self.spawn_server("the control address", machine.control_address)
            .await?;
        let metrics = SocketAddrV4::new(machine.ip, METRICS_PORT);
        self.spawn_server("the metrics address", Some(metrics))
            .await
    }

    /// Starts a server on `address`, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError::Bind`] if the address cannot be bound.
    pub async fn spawn_server(
        &self,
        what: &'static str,
        address: Option<SocketAddrV4>,
    ) -> Result<(), ProcessError> {
        if let Some(address) = address {
            spawn_http_server(address, self.clone())
                .await
                .map_err(|source| ProcessError::Bind { what, source })?;
        }
        Ok(())
    }
}

impl<Event> RequestForwarder<Event> {
    /// Creates a forwarder that converts each request with `to_event`.
    pub const fn new(
        event_sender: mpsc::Sender<Event>,
        to_event: fn(PendingRequest) -> Event,
    ) -> Self {
        Self {
            event_sender,
            to_event,
        }
    }
}

impl<Event> Clone for RequestForwarder<Event> {
    fn clone(&self) -> Self {
        Self {
            event_sender: self.event_sender.clone(),
            to_event: self.to_event,
        }
    }
}

impl<Event: Send + 'static> RequestHandler for RequestForwarder<Event> {
    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        let (answer, answer_receiver) = oneshot::channel();
        let event = (self.to_event)(PendingRequest { request, answer });
        if self.event_sender.send(event).await.is_err() {
            return ServerResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        answer_receiver
            .await
            .unwrap_or_else(|_closed| ServerResponse::empty(StatusCode::SERVICE_UNAVAILABLE))
    }
}
