use super::auth::{AUTH_HEADER, CredentialVerifier};
use crate::{clock::unix_time_s, counters::CodeCounters};
use basilstep_core::{codes::ResultCode, crypto::SipHashKey};
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

/// The response to a control request.
#[derive(Clone, Debug)]
pub struct ControlResponse {
    /// The result code.
    pub code: ResultCode,
    /// The body, which is JSON for most paths.
    pub body: Vec<u8>,
}

impl ControlResponse {
    /// Creates a response with [`ResultCode::Done`] and a JSON body.
    pub fn json<T: serde::Serialize>(value: &T) -> Self {
        Self {
            code: ResultCode::Done,
            body: serde_json::to_vec_pretty(value).unwrap_or_default(),
        }
    }

    /// Creates a response with a code and no body.
    pub fn code(code: ResultCode) -> Self {
        Self {
            code,
            body: Vec::new(),
        }
    }
}

/// Handles the authenticated control requests of a process.
pub trait ControlHandler: Send + Sync + 'static {
    /// The body of a streamed response.
    type Stream: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static;

    /// Handles one request whose body has been read; `path` includes the query.
    fn handle(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> impl Future<Output = ControlResponse> + Send;

    /// Returns whether [`ControlHandler::stream`] handles the requests for this path.
    fn is_streamed(&self, _path: &str) -> bool {
        false
    }

    /// Handles one request whose request and response bodies are streamed.
    fn stream(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Stream>> + Send;
}

/// A control port that is being served.
#[derive(Debug)]
pub struct ControlServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl ControlServer {
    /// Binds the address and serves it until the returned value is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn spawn<H: ControlHandler>(
        address: SocketAddrV4,
        key: SipHashKey,
        counters: Arc<CodeCounters>,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let service = Arc::new(ControlService {
            verifier: Mutex::new(CredentialVerifier::new(key)),
            counters,
            handler,
        });
        let task = tokio::spawn(accept_loop(listener, service));
        Ok(Self { address, task })
    }

    /// Returns the bound address, with the port that the kernel assigned when port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type ResponseBody<H> = Either<Full<Bytes>, <H as ControlHandler>::Stream>;

struct ControlService<H> {
    verifier: Mutex<CredentialVerifier>,
    counters: Arc<CodeCounters>,
    handler: Arc<H>,
}

async fn accept_loop<H: ControlHandler>(listener: TcpListener, service: Arc<ControlService<H>>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let service = Arc::clone(&service);
        tokio::spawn(async move {
            serve_connection(stream, service).await;
            drop(permit);
        });
    }
}

async fn serve_connection<H: ControlHandler>(stream: TcpStream, service: Arc<ControlService<H>>) {
    let hyper_service = service_fn(move |request| {
        let service = Arc::clone(&service);
        async move { Ok::<_, Infallible>(service.respond(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
        .serve_connection(TokioIo::new(stream), hyper_service);
    if let Err(error) = connection.await {
        log::debug!("control connection ended: {error}");
    }
}

impl<H: ControlHandler> ControlService<H> {
    async fn respond(&self, request: Request<Incoming>) -> Response<ResponseBody<H>> {
        if !self.is_authentic(&request) {
            self.counters.increment(ResultCode::Unauthorised);
            return into_http_response(ControlResponse::code(ResultCode::Unauthorised))
                .map(Either::Left);
        }
        let path = path_and_query_of(&request);
        if self.handler.is_streamed(&path) {
            return self.handler.stream(request).await.map(Either::Right);
        }
        self.respond_buffered(&path, request)
            .await
            .map(Either::Left)
    }

    async fn respond_buffered(
        &self,
        path: &str,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let method = request.method().clone();
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
        let Ok(body) = body.collect().await else {
            return into_http_response(ControlResponse::code(ResultCode::BadRequest));
        };
        into_http_response(self.handler.handle(&method, path, body.to_bytes()).await)
    }

    fn is_authentic(&self, request: &Request<Incoming>) -> bool {
        let header = request.headers().get(AUTH_HEADER);
        let Some(header) = header.and_then(|value| value.to_str().ok()) else {
            return false;
        };
        let path = path_and_query_of(request);
        self.verifier
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .verify(header, request.method().as_str(), &path, unix_time_s())
    }
}

fn path_and_query_of(request: &Request<Incoming>) -> String {
    let uri = request.uri();
    uri.path_and_query()
        .map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned())
}

fn into_http_response(response: ControlResponse) -> Response<Full<Bytes>> {
    let status = match response.code {
        ResultCode::Done => StatusCode::OK,
        ResultCode::Unauthorised => StatusCode::UNAUTHORIZED,
        ResultCode::NotFound => StatusCode::NOT_FOUND,
        _ => StatusCode::BAD_REQUEST,
    };
    let mut http_response = Response::new(Full::new(Bytes::from(response.body)));
    *http_response.status_mut() = status;
    let code = http::HeaderValue::from(response.code.number());
    http_response.headers_mut().insert("basilstep-code", code);
    http_response
}
