//! HTTP requests on their way to the task that owns the state.

use crate::{metrics::METRICS_PORT, process::ProcessError};
use basilstep_node::http::{Answer, Handler, Incoming, spawn_server};
use basilstep_platform::settings::MachineSettings;
use http::StatusCode;
use std::net::SocketAddrV4;
use tokio::sync::{mpsc, oneshot};

/// A request that waits for its answer.
#[derive(Debug)]
pub struct Asked {
    /// The request.
    pub request: Incoming,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Answer>,
}

/// Hands requests to the inbox of the process.
#[derive(Debug)]
pub struct NodePort<Event> {
    inbox: mpsc::Sender<Event>,
    wrap: fn(Asked) -> Event,
}

impl<Event: Send + 'static> NodePort<Event> {
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

impl<Event> NodePort<Event> {
    /// Creates a port that wraps each request as an event of the process.
    pub const fn open(inbox: mpsc::Sender<Event>, wrap: fn(Asked) -> Event) -> Self {
        Self { inbox, wrap }
    }
}

impl<Event> Clone for NodePort<Event> {
    fn clone(&self) -> Self {
        Self {
            inbox: self.inbox.clone(),
            wrap: self.wrap,
        }
    }
}

impl<Event: Send + 'static> Handler for NodePort<Event> {
    async fn answer(&self, request: Incoming) -> Answer {
        let (answer, answered) = oneshot::channel();
        let event = (self.wrap)(Asked { request, answer });
        if self.inbox.send(event).await.is_err() {
            return Answer::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        answered
            .await
            .unwrap_or_else(|_closed| Answer::empty(StatusCode::SERVICE_UNAVAILABLE))
    }
}
