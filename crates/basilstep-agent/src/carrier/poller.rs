use quinn::UdpPoller;
use std::{
    fmt, io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};
use tokio::net::UdpSocket;

// `UdpPoller` is polled across calls, so the pending future has to be stored, boxed.
type Writable = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Waits until the carrier socket is writable again.
pub struct CarrierPoller {
    socket: Arc<UdpSocket>,
    writable: Option<Writable>,
}

impl CarrierPoller {
    /// Creates a poller for the task that calls it.
    pub fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            writable: None,
        }
    }
}

impl fmt::Debug for CarrierPoller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CarrierPoller").finish_non_exhaustive()
    }
}

impl UdpPoller for CarrierPoller {
    fn poll_writable(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = Arc::clone(&self.socket);
        let writable = self
            .writable
            .get_or_insert_with(|| Box::pin(async move { socket.writable().await }));
        let result = writable.as_mut().poll(cx);
        if result.is_ready() {
            self.writable = None;
        }
        result
    }
}
