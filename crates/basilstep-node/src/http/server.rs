use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming as IncomingBody, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, io, net::SocketAddrV4, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinHandle,
    time::sleep,
};

/// The largest request body that is read; a ping has a few hundred bytes.
const BODY_LIMIT_BYTES: usize = 64 * 1_024;

/// How long a client may take for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// The most connections of one address; a target and its platform need a few.
const MAX_CONNECTIONS: usize = 128;

/// How long to wait after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query, empty if there is none.
    pub query: String,
    /// The body.
    pub body: Bytes,
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// The status.
    pub status: StatusCode,
    /// The type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
}

impl ServerResponse {
    /// Creates an answer without content.
    pub const fn empty(status: StatusCode) -> Self {
        Self::json(status, Bytes::from_static(b"{}"))
    }

    /// Creates an answer with a JSON body.
    pub const fn json(status: StatusCode, body: Bytes) -> Self {
        Self {
            status,
            content_type: "application/json",
            body,
        }
    }

    /// Creates an answer with a text body.
    pub const fn text(body: Bytes) -> Self {
        Self {
            status: StatusCode::OK,
            content_type: "text/plain; version=0.0.4",
            body,
        }
    }

    /// Creates an answer with a body of bytes.
    pub const fn bytes(body: Bytes) -> Self {
        Self {
            status: StatusCode::OK,
            content_type: "application/octet-stream",
            body,
        }
    }
}

/// Answers the requests of one address.
pub trait RequestHandler: Clone + Send + 'static {
    /// Answers one request.
    fn handle(&self, request: ServerRequest) -> impl Future<Output = ServerResponse> + Send;
}

/// Serves HTTP/1.1 on `address` until the task is aborted.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn_server(
    address: SocketAddrV4,
    handler: impl RequestHandler,
) -> io::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(address).await?;
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    Ok(tokio::spawn(async move {
        while let Ok(slot) = Arc::clone(&slots).acquire_owned().await {
            match listener.accept().await {
                Ok((stream, _peer)) => {
                    let served = serve(stream, handler.clone());
                    tokio::spawn(async move {
                        served.await;
                        drop(slot);
                    });
                }
                Err(error) => {
                    log::warn!(reason:% = error; "a connection could not be accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }))
}

async fn serve(stream: TcpStream, handler: impl RequestHandler) {
    let service = service_fn(move |request: Request<IncomingBody>| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(respond(request, handler).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(reason:% = error; "a server connection ended");
    }
}

async fn respond(
    request: Request<IncomingBody>,
    handler: impl RequestHandler,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let answer = match Limited::new(body, BODY_LIMIT_BYTES).collect().await {
        Ok(body) => {
            let incoming = ServerRequest {
                method: head.method,
                path: head.uri.path().to_owned(),
                query: head.uri.query().unwrap_or_default().to_owned(),
                body: body.to_bytes(),
            };
            handler.handle(incoming).await
        }
        Err(error) => {
            log::warn!(reason:% = error; "the body of a request could not be read");
            ServerResponse::empty(StatusCode::BAD_REQUEST)
        }
    };
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static(answer.content_type),
    );
    response
}
