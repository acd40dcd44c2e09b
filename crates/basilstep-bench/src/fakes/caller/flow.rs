use basilstep_core::codes::ResultCode;
use bytes::{Buf, Bytes, BytesMut};
use h3::{
    client::{RequestStream, SendRequest},
    error::Code,
};
use http::{HeaderMap, Request};
use quinn::{
    ClientConfig, Connection, ConnectionError, Endpoint, IdleTimeout, TransportConfig, VarInt,
    crypto::rustls::QuicClientConfig,
};
use rustls::{RootCertStore, pki_types::CertificateDer};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{task::JoinHandle, time};

/// The server name in the demo's certificates.
pub const SERVER_NAME: &str = "basilstep.test";
const KEEP_ALIVE: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT_MS: u32 = 5_000;
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 1 << 20;

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// The settings that a caller needs to open a flow.
#[derive(Clone, Debug)]
pub struct FlowClientSettings {
    /// The address of the service.
    pub address: SocketAddr,
    /// The local IP address of the caller.
    pub local_ip: Ipv4Addr,
    /// The root certificate that the service's certificate must chain to.
    pub root: CertificateDer<'static>,
}

/// An open flow: a QUIC connection with an HTTP/3 client; closed when dropped.
#[derive(Debug)]
pub struct Flow {
    // Kept because dropping the endpoint closes the socket.
    endpoint: Endpoint,
    connection: Connection,
    sender: Sender,
    driver: JoinHandle<()>,
}

struct Sender(SendRequest<h3_quinn::OpenStreams, Bytes>);

impl std::fmt::Debug for Sender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sender")
    }
}

/// The cause of a lost flow, as far as the bench knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowLoss {
    /// Its failure domain was taken out.
    DomainOut,
    /// Its agent was killed, or paused for longer than the idle timeout of a flow.
    AgentLost,
    /// No known cause: the flow should have survived.
    Unexpected,
}

/// Why a flow could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum FlowError {
    /// The caller's own settings are invalid.
    #[error("cannot set up the flow: {0}")]
    Setup(String),
    /// The handshake failed.
    #[error("handshake failed: {0}")]
    Handshake(String),
    /// The handshake timed out.
    #[error("the handshake timed out")]
    Timeout,
}

/// Why a request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The server accepts no more requests on this flow.
    #[error("the server asks for a new flow (GOAWAY)")]
    GoAway,
    /// The flow or the stream was closed.
    #[error("flow or stream closed: {0}")]
    Lost(String),
    /// The response is longer than any that the fakes send.
    #[error("the response exceeds {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
}

/// The response to a request.
#[derive(Clone, Debug)]
pub struct FlowResponse {
    /// The HTTP status.
    pub status: u16,
    /// The result code, if the system itself responded instead of the target.
    pub code: Option<ResultCode>,
    /// How long to wait before the next attempt.
    pub retry_after: Option<Duration>,
    /// The ticket from which the caller builds its idempotency keys.
    pub ticket: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// An open board: a response that streams lines until it is closed.
pub struct Board {
    stream: Stream,
    buffer: BytesMut,
    /// The status and headers of the response.
    pub head: FlowResponse,
}

impl std::fmt::Debug for Board {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Board")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}

/// A request whose body has not been sent completely.
pub struct Upload {
    stream: Stream,
}

impl std::fmt::Debug for Upload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Upload").finish_non_exhaustive()
    }
}

impl Upload {
    /// Resets the stream in the middle of the request.
    pub fn break_off(mut self) {
        self.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
    }
}

impl Flow {
    /// Opens a flow from a new local port.
    ///
    /// # Errors
    ///
    /// Returns [`FlowError`] if the handshake fails or times out.
    pub async fn open(settings: &FlowClientSettings) -> Result<Self, FlowError> {
        let setup = |error: &dyn std::fmt::Display| FlowError::Setup(error.to_string());
        let mut endpoint = Endpoint::client(SocketAddr::from((settings.local_ip, 0)))
            .map_err(|error| setup(&error))?;
        endpoint.set_default_client_config(client_config(&settings.root)?);
        let connecting = endpoint
            .connect(settings.address, SERVER_NAME)
            .map_err(|error| setup(&error))?;
        let handshake = |error: &dyn std::fmt::Display| FlowError::Handshake(error.to_string());
        let opened = time::timeout(OPEN_TIMEOUT, async {
            let connection = connecting.await.map_err(|error| handshake(&error))?;
            let (driver, sender) = h3::client::new(h3_quinn::Connection::new(connection.clone()))
                .await
                .map_err(|error| handshake(&error))?;
            Ok((connection, driver, sender))
        });
        let (connection, mut driver, sender) = opened.await.or(Err(FlowError::Timeout))??;
        let driver = tokio::spawn(async move {
            driver.wait_idle().await;
        });
        Ok(Self {
            endpoint,
            connection,
            sender: Sender(sender),
            driver,
        })
    }

    /// Returns the local address of this flow.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has no address.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Waits until the flow is closed and returns the reason.
    pub async fn closed(&self) -> ConnectionError {
        self.connection.closed().await
    }

    /// Returns why the flow was closed, or `None` while it is open.
    pub fn close_reason(&self) -> Option<ConnectionError> {
        self.connection.close_reason()
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] if no complete response arrives.
    pub async fn request(
        &self,
        request: Request<()>,
        body: Bytes,
    ) -> Result<FlowResponse, RequestError> {
        let mut stream = self.send(request, body).await?;
        let mut response = read_head(&mut stream).await?;
        let mut body_buffer = BytesMut::new();
        while let Some(part) = stream.recv_data().await.map_err(request_error)? {
            append(&mut body_buffer, part)?;
        }
        response.body = body_buffer.freeze();
        Ok(response)
    }

    /// Sends the head and the first part of the body of a request.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] if they cannot be sent.
    pub async fn begin_upload(
        &self,
        request: Request<()>,
        first_part: Bytes,
    ) -> Result<Upload, RequestError> {
        let mut sender = self.sender.0.clone();
        let mut stream = sender.send_request(request).await.map_err(request_error)?;
        stream.send_data(first_part).await.map_err(request_error)?;
        Ok(Upload { stream })
    }

    /// Opens a board and reads the response head.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] if no response head arrives.
    pub async fn open_board(&self, request: Request<()>) -> Result<Board, RequestError> {
        let mut stream = self.send(request, Bytes::new()).await?;
        let head = read_head(&mut stream).await?;
        Ok(Board {
            stream,
            buffer: BytesMut::new(),
            head,
        })
    }

    async fn send(&self, request: Request<()>, body: Bytes) -> Result<Stream, RequestError> {
        let mut sender = self.sender.0.clone();
        let mut stream = sender.send_request(request).await.map_err(request_error)?;
        // The server may respond and stop reading before it has the whole body; that response
        // counts.
        if !body.is_empty() && stream.send_data(body).await.is_err() {
            return Ok(stream);
        }
        drop(stream.finish().await);
        Ok(stream)
    }

    /// Closes a flow that no longer delivers data, without waiting for the server.
    pub fn abort(&self) {
        self.connection.close(VarInt::from_u32(0x10c), b"silent");
    }

    /// Closes the flow and waits until the close has been sent to the server.
    pub async fn close(self) {
        self.connection.close(VarInt::from_u32(0x100), b"");
        self.endpoint.wait_idle().await;
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Board {
    /// Reads the next line, or `None` at the end of the board.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] if the flow or the stream is closed.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, RequestError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(1);
                return Ok(Some(line));
            }
            let Some(part) = self.stream.recv_data().await.map_err(request_error)? else {
                return Ok(None);
            };
            append(&mut self.buffer, part)?;
        }
    }
}

impl FlowResponse {
    fn from_head(status: u16, headers: &HeaderMap) -> Self {
        let number = |name| header(headers, name)?.parse::<u64>().ok();
        let code = number("basilstep-code")
            .and_then(|number| ResultCode::try_from(u16::try_from(number).ok()?).ok());
        let precise = number("basilstep-retry-after-ms").map(Duration::from_millis);
        let retry_after = precise.or_else(|| number("retry-after").map(Duration::from_secs));
        Self {
            status,
            code: code.filter(|code| *code != ResultCode::Done),
            retry_after,
            ticket: header(headers, "basilstep-ticket").map(str::to_owned),
            body: Bytes::new(),
        }
    }
}

async fn read_head(stream: &mut Stream) -> Result<FlowResponse, RequestError> {
    let response = stream.recv_response().await.map_err(request_error)?;
    Ok(FlowResponse::from_head(
        response.status().as_u16(),
        response.headers(),
    ))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn append(buffer: &mut BytesMut, mut part: impl Buf) -> Result<(), RequestError> {
    if buffer.len() + part.remaining() > MAX_RESPONSE_BYTES {
        return Err(RequestError::TooLong);
    }
    while part.has_remaining() {
        let chunk = part.chunk();
        buffer.extend_from_slice(chunk);
        let length = chunk.len();
        part.advance(length);
    }
    Ok(())
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "used as the argument of map_err"
)]
fn request_error(error: h3::error::StreamError) -> RequestError {
    match error {
        h3::error::StreamError::RemoteClosing { .. }
        | h3::error::StreamError::RemoteTerminate {
            code: Code::H3_REQUEST_REJECTED,
            ..
        } => RequestError::GoAway,
        other => RequestError::Lost(other.to_string()),
    }
}

/// Builds the QUIC client configuration for opening flows.
pub(crate) fn client_config(root: &CertificateDer<'static>) -> Result<ClientConfig, FlowError> {
    let setup = |error: &dyn std::fmt::Display| FlowError::Setup(error.to_string());
    let mut roots = RootCertStore::empty();
    roots.add(root.clone()).map_err(|error| setup(&error))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| setup(&error))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let tls = QuicClientConfig::try_from(tls).map_err(|error| setup(&error))?;
    let mut transport = TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    let idle = VarInt::from_u32(IDLE_TIMEOUT_MS);
    transport.max_idle_timeout(Some(IdleTimeout::from(idle)));
    let mut config = ClientConfig::new(Arc::new(tls));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
