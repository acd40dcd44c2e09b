//! The HTTP server shared by the fakes.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::{convert::Infallible, sync::Arc};
use tokio::{net::TcpListener, sync::Semaphore};

/// The body of a response, complete or streamed.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Makes the server close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed on purpose")]
pub struct ConnectionDropped;

/// Serves connections until the task is dropped; closes connections above the limit immediately.
pub async fn serve<F, R>(listener: TcpListener, connection_limit: usize, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Result<Response<Body>, ConnectionDropped>> + Send + 'static,
{
    let connections = Arc::new(Semaphore::new(connection_limit));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            continue;
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(handle);
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(served.await);
            drop(permit);
        });
    }
}

/// Creates a response with a plain body.
pub fn plain_response(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Creates a response with a JSON body.
pub fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => plain_response(200, body),
        Err(error) => plain_response(500, error.to_string()),
    }
}
