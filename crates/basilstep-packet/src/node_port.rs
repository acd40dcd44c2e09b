//! HTTP requests on their way to the task that owns the state.

use basilstep_node::http::{Answer, Handler, Incoming};
use http::StatusCode;
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
