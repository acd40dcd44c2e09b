use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use std::{io, net::SocketAddrV4, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// A request without a usable response; the server may have carried it out.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection could be opened.
    #[error("no connection to {address}")]
    Connect {
        /// The address of the server.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection failed, or the response was not valid HTTP.
    #[error("the connection failed")]
    Connection(#[from] hyper::Error),
    /// The request could not be built.
    #[error("the request is malformed")]
    Request(#[from] http::Error),
    /// The response did not begin, or did not go on, in time.
    #[error("no answer within {limit_ms} ms")]
    Timeout {
        /// The time limit.
        limit_ms: u64,
    },
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The status code.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A client of one address that reuses its connection between requests.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddrV4,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl HttpClient {
    /// Creates a client that connects with its first request.
    pub const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Closes the idle connection, if there is one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Sends one request; after a failure the next request opens a new connection.
    ///
    /// A response that takes long to arrive, for example a large one on a thin link, is read to its
    /// end as long as parts of it arrive.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError`] when the response does not begin, or does not go on, within `limit`.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<ClientResponse, HttpError> {
        // Taken out for the request, so that a cancelled request cannot leave behind a connection
        // with an outstanding response.
        let idle_connection = self.connection.take();
        let exchange = exchange(self.address, idle_connection, method, path, body);
        let (connection, response) = within(limit, exchange).await??;
        let (head, body) = response.into_parts();
        let response = ClientResponse {
            status: head.status,
            headers: head.headers,
            body: read_body(body, limit).await?,
        };
        self.connection = Some(connection);
        Ok(response)
    }
}

async fn within<T>(limit: Duration, waiting: impl Future<Output = T>) -> Result<T, HttpError> {
    timeout(limit, waiting)
        .await
        .map_err(|_elapsed| HttpError::Timeout {
            limit_ms: limit.as_millis() as u64,
        })
}

async fn exchange(
    address: SocketAddrV4,
    idle_connection: Option<SendRequest<Full<Bytes>>>,
    method: Method,
    path: &str,
    body: &[u8],
) -> Result<(SendRequest<Full<Bytes>>, Response<Incoming>), HttpError> {
    let mut connection = match reuse(idle_connection).await {
        Some(connection) => connection,
        None => connect(address).await?,
    };
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string());
    if !body.is_empty() {
        request = request.header(header::CONTENT_TYPE, "application/json");
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body)))?;
    let response = connection.send_request(request).await?;
    Ok((connection, response))
}

/// Reads a body of which each part arrives within `limit` after the one before.
async fn read_body(mut body: Incoming, limit: Duration) -> Result<Bytes, HttpError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = within(limit, body.frame()).await? {
        if let Some(data) = frame?.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
    Ok(bytes.freeze())
}

/// Returns the connection if it still accepts requests.
async fn reuse(
    idle_connection: Option<SendRequest<Full<Bytes>>>,
) -> Option<SendRequest<Full<Bytes>>> {
    let mut connection = idle_connection?;
    connection.ready().await.ok()?;
    Some(connection)
}

async fn connect(address: SocketAddrV4) -> Result<SendRequest<Full<Bytes>>, HttpError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|source| HttpError::Connect { address, source })?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(reason:% = error; "a client connection ended");
        }
    });
    Ok(sender)
}
