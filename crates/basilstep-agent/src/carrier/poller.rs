use quinn::UdpPoller;
use std::{
    fmt, io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};
use tokio::net::UdpSocket;

// The trait of the QUIC library wants a boxed future here.
type Writable = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Waits until the carrier socket takes another datagram.
pub struct CarrierPoller {
    socket: Arc<UdpSocket>,
    writable: Option<Writable>,
}

impl CarrierPoller {
    /// Creates a poller for one task.
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
