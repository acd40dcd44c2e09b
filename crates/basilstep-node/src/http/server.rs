use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming as IncomingBody, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible,
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinHandle,
    time::sleep,
};

/// The largest request body that is read; a target's heartbeat has a few hundred bytes.
const MAX_BODY_BYTES: usize = 64 * 1_024;

/// How long a client may take to send the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_mins(1);

/// The maximum number of concurrent connections to one address; a target and its platform open only
/// a few.
const MAX_CONNECTIONS: usize = 128;

/// The delay after a failed accept, such as when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// The address of the client.
    pub peer: Ipv4Addr,
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query, empty if there is none.
    pub query: String,
    /// The body.
    pub body: Bytes,
}

/// The response to a request.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// The status code.
    pub status: StatusCode,
    /// The value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Further header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl ServerResponse {
    /// Creates a response with an empty JSON object as its body.
    pub fn empty(status: StatusCode) -> Self {
        Self::json(status, Bytes::from_static(b"{}"))
    }

    /// Creates a response with a JSON body.
    pub fn json(status: StatusCode, body: Bytes) -> Self {
        Self {
            status,
            content_type: "application/json",
            headers: HeaderMap::new(),
            body,
        }
    }

    /// Creates a response with a text body.
    pub fn text(body: Bytes) -> Self {
        Self {
            status: StatusCode::OK,
            content_type: "text/plain; version=0.0.4",
            headers: HeaderMap::new(),
            body,
        }
    }

    /// Creates a response with a binary body.
    pub fn bytes(body: Bytes) -> Self {
        Self {
            status: StatusCode::OK,
            content_type: "application/octet-stream",
            headers: HeaderMap::new(),
            body,
        }
    }
}

/// Handles the requests to one address.
pub trait RequestHandler: Clone + Send + 'static {
    /// Handles one request.
    fn handle(&self, request: ServerRequest) -> impl Future<Output = ServerResponse> + Send;
}

/// Serves HTTP/1.1 on `address` until the task is aborted.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn_http_server(
    address: SocketAddrV4,
    handler: impl RequestHandler,
) -> io::Result<JoinHandle<()>> {
    let listener = TcpListener::bind(address).await?;
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    Ok(tokio::spawn(async move {
        while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let connection = serve(stream, ipv4(peer), handler.clone());
                    tokio::spawn(async move {
                        connection.await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    log::warn!(reason:% = error; "a connection could not be accepted");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }))
}

/// Returns the address of a client of a server that is bound to an IPv4 address.
const fn ipv4(address: SocketAddr) -> Ipv4Addr {
    match address {
        SocketAddr::V4(address) => *address.ip(),
        SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    }
}

async fn serve(stream: TcpStream, peer: Ipv4Addr, handler: impl RequestHandler) {
    let service = service_fn(move |request: Request<IncomingBody>| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(respond(request, peer, handler).await) }
    });
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!(reason:% = error; "a server connection ended");
    }
}

async fn respond(
    request: Request<IncomingBody>,
    peer: Ipv4Addr,
    handler: impl RequestHandler,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let response = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let request = ServerRequest {
                peer,
                method: head.method,
                path: head.uri.path().to_owned(),
                query: head.uri.query().unwrap_or_default().to_owned(),
                body: body.to_bytes(),
            };
            handler.handle(request).await
        }
        Err(error) => {
            log::warn!(reason:% = error; "the body of a request could not be read");
            ServerResponse::empty(StatusCode::BAD_REQUEST)
        }
    };
    let mut http_response = Response::new(Full::new(response.body));
    *http_response.status_mut() = response.status;
    *http_response.headers_mut() = response.headers;
    http_response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static(response.content_type),
    );
    http_response
}
