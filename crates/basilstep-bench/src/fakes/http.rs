//! The small HTTP server that the stand-ins share.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::{convert::Infallible, sync::Arc};
use tokio::{net::TcpListener, sync::Semaphore};

/// The body of an answer, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Tells the server to close the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is cut on purpose")]
pub struct Cut;

/// Serves connections until the task is dropped; closes those above the limit at once.
pub async fn serve<F, R>(listener: TcpListener, connection_limit: usize, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Result<Response<Body>, Cut>> + Send + 'static,
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

/// Makes an answer with a plain body.
pub fn answer(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Makes an answer with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => answer(200, body),
        Err(error) => answer(500, error.to_string()),
    }
}
