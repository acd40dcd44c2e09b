use super::auth::{AUTH_HEADER, CredentialVerifier};
use crate::{clock::unix_time_s, counters::CodeCounters};
use basilstep_core::{codes::ResultCode, crypto::ShortKey};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible,
    error::Error,
    io,
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinHandle,
};

const MAX_CONNECTIONS: usize = 256;
const MAX_BODY_BYTES: usize = 4_194_304;
const HEADER_TIMEOUT_MS: u64 = 5_000;

/// The answer to a control request.
#[derive(Clone, Debug)]
pub struct ControlResponse {
    /// The numbered outcome.
    pub code: ResultCode,
    /// The body, JSON unless the path says otherwise.
    pub body: Vec<u8>,
}

impl ControlResponse {
    /// Answers with a JSON body.
    pub fn json<T: serde::Serialize>(value: &T) -> Self {
        Self {
            code: ResultCode::Done,
            body: serde_json::to_vec_pretty(value).unwrap_or_default(),
        }
    }

    /// Answers with a code and no body.
    pub fn code(code: ResultCode) -> Self {
        Self {
            code,
            body: Vec::new(),
        }
    }
}

/// What a process does with authenticated control requests.
pub trait ControlHandler: Send + Sync + 'static {
    /// The body of a streamed answer.
    type Stream: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static;

    /// Answers one request; `path` includes the query.
    fn handle(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = ControlResponse> + Send;

    /// Tells whether requests for this path are answered by [`ControlHandler::stream`].
    fn is_streamed(&self, _path: &str) -> bool {
        false
    }

    /// Answers one request whose bodies are passed on as they arrive.
    fn stream(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Stream>> + Send;
}

/// A running control port.
#[derive(Debug)]
pub struct ControlServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl ControlServer {
    /// Binds the port and serves it until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener.
    pub async fn spawn<H: ControlHandler>(
        address: SocketAddrV4,
        key: ShortKey,
        counters: Arc<CodeCounters>,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let port = Arc::new(Port {
            guard: Mutex::new(CredentialVerifier::new(key)),
            counters,
            handler,
        });
        let task = tokio::spawn(accept_loop(listener, port));
        Ok(Self { address, task })
    }

    /// Returns the address that is bound, with its real port when port 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type PortBody<H> = Either<Full<Bytes>, <H as ControlHandler>::Stream>;

struct Port<H> {
    guard: Mutex<CredentialVerifier>,
    counters: Arc<CodeCounters>,
    handler: Arc<H>,
}

async fn accept_loop<H: ControlHandler>(listener: TcpListener, port: Arc<Port<H>>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let port = Arc::clone(&port);
        tokio::spawn(async move {
            serve_connection(stream, port).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H: ControlHandler>(stream: TcpStream, port: Arc<Port<H>>) {
    let service = service_fn(move |request| {
        let port = Arc::clone(&port);
        async move { Ok::<_, Infallible>(port.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("control connection ended: {error}");
    }
}

impl<H: ControlHandler> Port<H> {
    async fn answer(&self, request: Request<Incoming>) -> Response<PortBody<H>> {
        if !self.is_authentic(&request) {
            self.counters.increment(ResultCode::Unauthorised);
            return respond(ControlResponse::code(ResultCode::Unauthorised)).map(Either::Left);
        }
        let path = path_of(&request);
        if self.handler.is_streamed(&path) {
            return self.handler.stream(request).await.map(Either::Right);
        }
        self.answer_whole(&path, request).await.map(Either::Left)
    }

    async fn answer_whole(&self, path: &str, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let method = request.method().clone();
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
        let Ok(body) = body.collect().await else {
            return respond(ControlResponse::code(ResultCode::BadRequest));
        };
        respond(self.handler.handle(&method, path, body.to_bytes()).await)
    }

    fn is_authentic(&self, request: &Request<Incoming>) -> bool {
        let header = request.headers().get(AUTH_HEADER);
        let Some(header) = header.and_then(|value| value.to_str().ok()) else {
            return false;
        };
        let path = path_of(request);
        self.guard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .verify(header, request.method().as_str(), &path, unix_time_s())
    }
}

fn path_of(request: &Request<Incoming>) -> String {
    let uri = request.uri();
    uri.path_and_query()
        .map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned())
}

fn respond(answer: ControlResponse) -> Response<Full<Bytes>> {
    let status = match answer.code {
        ResultCode::Done => StatusCode::OK,
        ResultCode::Unauthorised => StatusCode::UNAUTHORIZED,
        ResultCode::NotFound => StatusCode::NOT_FOUND,
        _ => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = status;
    let code = http::HeaderValue::from(answer.code.number());
    response.headers_mut().insert("basilstep-code", code);
    response
}
