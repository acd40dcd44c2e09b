use basilstep_core::codes::ResultCode;
use bytes::{Buf, Bytes, BytesMut};
use h3::client::{RequestStream, SendRequest};
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

/// The server name in the certificates of the demo.
pub const SERVER_NAME: &str = "basilstep.test";
const KEEP_ALIVE: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT_MS: u32 = 5_000;
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ANSWER_BYTES: usize = 1 << 20;

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// What a caller needs to open a flow.
#[derive(Clone, Debug)]
pub struct FlowClientSettings {
    /// The address of the service.
    pub address: SocketAddr,
    /// The ip that the caller writes from.
    pub local_ip: Ipv4Addr,
    /// The certificate that the service's certificate must lead to.
    pub root: CertificateDer<'static>,
}

/// An open flow; closed when dropped.
#[derive(Debug)]
pub struct Flow {
    // Dropping the endpoint would close the socket.
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

/// Whether a lost flow had to be lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Its failure domain was taken out.
    GivenUp,
    /// Its agent was killed or paused past the time that a flow may be silent.
    WithAgent,
    /// It should have lived on.
    Broken,
}

/// Why a flow could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum FlowError {
    /// The caller's own settings do not work.
    #[error("cannot set the flow up: {0}")]
    Setup(String),
    /// The handshake failed.
    #[error("handshake: {0}")]
    Handshake(String),
    /// The handshake did not end in time.
    #[error("the handshake did not end in time")]
    Timeout,
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The server takes no more requests on this flow.
    #[error("the server asks for a new flow")]
    Moved,
    /// The flow or the stream was lost.
    #[error("lost: {0}")]
    Lost(String),
    /// The answer is longer than any that the stand-ins send.
    #[error("the answer is too long")]
    TooLong,
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The numbered result code, when the system itself answered.
    pub code: Option<ResultCode>,
    /// How long to wait before another attempt.
    pub retry_after: Option<Duration>,
    /// The ticket that idempotency keys are built on.
    pub ticket: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// An open board.
pub struct Board {
    stream: Stream,
    buffer: BytesMut,
    /// The head of the answer.
    pub head: Answer,
}

impl std::fmt::Debug for Board {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Board")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}

impl Flow {
    /// Opens a flow from a port of its own.
    ///
    /// # Errors
    ///
    /// Returns [`FlowError`] when the handshake fails or does not end in time.
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

    /// Returns the address that this flow's packets come from.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket has none.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Waits until the flow is lost and returns why.
    pub async fn lost(&self) -> ConnectionError {
        self.connection.closed().await
    }

    /// Returns why the flow is lost, if it is.
    pub fn loss(&self) -> Option<ConnectionError> {
        self.connection.close_reason()
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] when no whole answer came.
    pub async fn request(&self, request: Request<()>, body: Bytes) -> Result<Answer, RequestError> {
        let mut stream = self.send(request, body).await?;
        let mut answer = read_head(&mut stream).await?;
        let mut whole = BytesMut::new();
        while let Some(part) = stream.recv_data().await.map_err(lost)? {
            put(&mut whole, part)?;
        }
        answer.body = whole.freeze();
        Ok(answer)
    }

    /// Opens a board and reads the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] when no answer came.
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
        let mut stream = sender.send_request(request).await.map_err(lost)?;
        // The server may answer before it has read the body; the answer counts then.
        if !body.is_empty() && stream.send_data(body).await.is_err() {
            return Ok(stream);
        }
        drop(stream.finish().await);
        Ok(stream)
    }

    /// Closes a flow that has gone silent, without waiting.
    pub fn abandon(&self) {
        self.connection.close(VarInt::from_u32(0x10c), b"silent");
    }

    /// Closes the flow and waits until the server has been told.
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
    /// Reads the next line; `None` at the end of the board.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] when the flow or the stream is lost.
    pub async fn next_line(&mut self) -> Result<Option<Bytes>, RequestError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(1);
                return Ok(Some(line));
            }
            let Some(part) = self.stream.recv_data().await.map_err(lost)? else {
                return Ok(None);
            };
            put(&mut self.buffer, part)?;
        }
    }
}

impl Answer {
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

async fn read_head(stream: &mut Stream) -> Result<Answer, RequestError> {
    let response = stream.recv_response().await.map_err(lost)?;
    Ok(Answer::from_head(
        response.status().as_u16(),
        response.headers(),
    ))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn put(buffer: &mut BytesMut, mut part: impl Buf) -> Result<(), RequestError> {
    if buffer.len() + part.remaining() > MAX_ANSWER_BYTES {
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
fn lost(error: h3::error::StreamError) -> RequestError {
    match error {
        h3::error::StreamError::RemoteClosing { .. } => RequestError::Moved,
        other => RequestError::Lost(other.to_string()),
    }
}

/// Returns what a client needs to open a flow.
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
