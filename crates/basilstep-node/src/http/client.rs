use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::{io, net::SocketAddrV4, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// A call without a usable answer; what it asked for may have been done.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// No connection could be opened.
    #[error("no connection to {address}")]
    Connect {
        /// The peer.
        address: SocketAddrV4,
        /// What the operating system says.
        source: io::Error,
    },
    /// The connection broke, or the answer was not HTTP.
    #[error("the connection failed")]
    Connection(#[from] hyper::Error),
    /// The request could not be built.
    #[error("the request is malformed")]
    Request(#[from] http::Error),
    /// No answer came in time.
    #[error("no answer within {limit_ms} ms")]
    Timeout {
        /// The limit.
        limit_ms: u64,
    },
}

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// A client of one address that keeps its connection between calls.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddrV4,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl HttpClient {
    /// Creates a client; it connects with the first call.
    pub const fn open(address: SocketAddrV4) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Makes one call; after a failure the next call opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError`] when no whole answer came within `limit`.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<ClientResponse, HttpError> {
        // Taken out for the call, so that a call that is given up leaves no half-used connection.
        let kept = self.connection.take();
        let exchange = exchange(self.address, kept, method, path, body);
        let (connection, reply) =
            timeout(limit, exchange)
                .await
                .map_err(|_elapsed| HttpError::Timeout {
                    limit_ms: limit.as_millis() as u64,
                })??;
        self.connection = Some(connection);
        Ok(reply)
    }
}

async fn exchange(
    address: SocketAddrV4,
    kept: Option<SendRequest<Full<Bytes>>>,
    method: Method,
    path: &str,
    body: &[u8],
) -> Result<(SendRequest<Full<Bytes>>, ClientResponse), HttpError> {
    let mut connection = match reuse(kept).await {
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
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((connection, ClientResponse { status, body }))
}

/// Returns a connection that still takes requests.
async fn reuse(kept: Option<SendRequest<Full<Bytes>>>) -> Option<SendRequest<Full<Bytes>>> {
    let mut connection = kept?;
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
