//! HTTP requests on their way to the task that owns the state.

use crate::{metrics::METRICS_PORT, process::ProcessError};
use basilstep_node::http::{Answer, Handler, Incoming, spawn_server};
use basilstep_platform::settings::MachineSettings;
use http::StatusCode;
use std::net::SocketAddrV4;
use tokio::sync::{mpsc, oneshot};

/// A request that waits for its answer.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request.
    pub request: Incoming,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Answer>,
}

/// Hands requests to the inbox of the process.
#[derive(Debug)]
pub struct RequestForwarder<Event> {
    event_sender: mpsc::Sender<Event>,
    to_event: fn(PendingRequest) -> Event,
}

impl<Event: Send + 'static> RequestForwarder<Event> {
    /// Serves the addresses that the platform calls, and the one for metrics and state.
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

    /// Serves one address, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError::Bind`] if it cannot be bound.
    pub async fn spawn_server(
        &self,
        what: &'static str,
        address: Option<SocketAddrV4>,
    ) -> Result<(), ProcessError> {
        if let Some(address) = address {
            spawn_server(address, self.clone())
                .await
                .map_err(|source| ProcessError::Bind { what, source })?;
        }
        Ok(())
    }
}

impl<Event> RequestForwarder<Event> {
    /// Creates a port that wraps each request as an event of the process.
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

impl<Event: Send + 'static> Handler for RequestForwarder<Event> {
    async fn answer(&self, request: Incoming) -> Answer {
        let (answer, answer_receiver) = oneshot::channel();
        let event = (self.to_event)(PendingRequest { request, answer });
        if self.event_sender.send(event).await.is_err() {
            return Answer::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        answer_receiver
            .await
            .unwrap_or_else(|_closed| Answer::empty(StatusCode::SERVICE_UNAVAILABLE))
    }
}
