//! The HTTP readiness endpoint: `GET /ready` tells the network fabric whether to send packets.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible,
    io,
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::net::TcpListener;

const HEADER_TIMEOUT_MS: u64 = 2_000;

/// Whether the balancer is ready for packets; shared by the controller and the readiness endpoint.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the balancer is ready.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }

    /// Returns whether the balancer is ready.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Binds the readiness endpoint and serves it in the background.
///
/// # Errors
///
/// Returns the I/O error when the address cannot be bound.
pub async fn spawn(address: SocketAddrV4, readiness: Readiness) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let readiness = readiness.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let response = respond(&request, readiness.get());
                    async move { Ok::<_, Infallible>(response) }
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(error) = connection.await {
                    log::debug!("readiness connection ended: {error}");
                }
            });
        }
    });
    Ok(())
}

fn respond(request: &Request<Incoming>, ready: bool) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    *response.status_mut() = match (request.uri().path(), ready) {
        ("/ready", true) => StatusCode::OK,
        ("/ready", false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    response
}
