//! A fake of the platform's key-value service: a subset of the Consul HTTP API.
//!
//! `GET|PUT|DELETE /v1/kv/<key>` with `recurse`, `keys`, `separator`, `raw`, `index`, `wait`, `cas`
//! and `acquire`;
//! `PUT /v1/session/create`, `/v1/session/renew/<id>` and `/v1/session/destroy/<id>`. In addition,
//! `POST /admin/fault/<name>` (`?off` switches it off, `?delay_ms=` sets a delay) and `GET
//! /admin/counts`.

mod data;

use argh::FromArgs;
use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
pub use data::Counts;
use data::{Data, Query, Tree, parse_duration};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::{
    io,
    net::SocketAddr,
    process::ExitCode,
    str::FromStr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    sync::watch,
    task::JoinHandle,
    time::{Instant, interval, sleep, timeout_at},
};

/// The faults by their names in `POST /admin/fault/<name>`.
const FAULTS: [(&str, StoreFault); 5] = [
    // Connections are closed without a response, including those of waiting watches.
    ("down", StoreFault::Down),
    // Every response is delayed.
    ("slow", StoreFault::Slow),
    // Writes take effect, then the connection is closed without a response.
    ("answer-lost", StoreFault::AnswerLost),
    // All sessions expire immediately and renewals are refused.
    ("lapsed-leases", StoreFault::LapsedLeases),
    // Reads are served from a snapshot taken when the fault was switched on.
    ("stale-reads", StoreFault::StaleReads),
];

const SLOW_DELAY_MS: u64 = 2_000;
const DEFAULT_TTL_MS: u64 = 15_000;
const EXPIRY_INTERVAL_MS: u64 = 100;

/// Runs a fake of the platform's key-value service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store")]
pub struct StoreArgs {
    /// address to listen on, such as 127.0.0.1:8500
    #[argh(option)]
    listen: SocketAddr,
    /// a token and the key prefix that it may write, as TOKEN=PREFIX; may be repeated; without any,
    /// all writes are allowed
    #[argh(option)]
    token: Vec<WriteToken>,
}

/// A token and the key prefix that it may write.
#[derive(Clone, Debug)]
pub struct WriteToken {
    /// The value of the `X-Consul-Token` header.
    pub token: String,
    /// The token may write keys that start with this prefix.
    pub prefix: String,
}

impl FromStr for WriteToken {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (token, prefix) = text.split_once('=').ok_or("use TOKEN=PREFIX")?;
        Ok(Self {
            token: token.to_owned(),
            prefix: prefix.to_owned(),
        })
    }
}

/// A fault of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StoreFault {
    /// Closes connections without a response.
    Down,
    /// Delays responses.
    Slow,
    /// Closes the connection after a write has taken effect.
    AnswerLost,
    /// Expires all sessions and refuses renewals.
    LapsedLeases,
    /// Serves reads from a snapshot taken when the fault was switched on.
    StaleReads,
}

/// Runs the `store` command.
pub fn run(args: &StoreArgs) -> ExitCode {
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return report_start_failure(&error),
    };
    runtime.block_on(async {
        match FakeStore::bind(args.listen, args.token.clone()).await {
            Ok(mut store) => {
                let _ = (&mut store.accept).await;
                ExitCode::SUCCESS
            }
            Err(error) => report_start_failure(&error),
        }
    })
}

fn report_start_failure(error: &io::Error) -> ExitCode {
    eprintln!("cannot start the fake store: {error}");
    ExitCode::FAILURE
}

/// A running fake store; stops accepting connections when dropped.
#[derive(Debug)]
pub struct FakeStore {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: JoinHandle<()>,
    expire_sessions: JoinHandle<()>,
}

impl FakeStore {
    /// Binds `listen` and serves an empty store.
    ///
    /// # Errors
    ///
    /// Returns the system error if the address cannot be bound.
    pub async fn bind(listen: SocketAddr, tokens: Vec<WriteToken>) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(tokens));
        let accept = tokio::spawn(accept_connections(listener, Arc::clone(&shared)));
        let expire_sessions = tokio::spawn(expire_sessions(Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accept,
            expire_sessions,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Switches a fault on or off.
    pub fn set_fault(&self, fault: StoreFault, on: bool) {
        self.shared.set_fault(fault, on, SLOW_DELAY_MS);
    }

    /// Writes a value directly, without a client and without token checks.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.shared.lock();
        data.put(key, value.as_bytes().to_vec(), None);
        self.shared.changed.send_replace(());
    }

    /// Removes all records and sets the index back, like a restore from an empty backup.
    pub fn restore_empty(&self, index: u64) {
        let mut data = self.shared.lock();
        data.tree = Tree::restored(index);
        self.shared.changed.send_replace(());
    }

    /// Returns the counts of calls served so far.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }
}

impl Drop for FakeStore {
    fn drop(&mut self) {
        self.accept.abort();
        self.expire_sessions.abort();
    }
}

#[derive(Debug)]
struct Shared {
    tokens: Vec<WriteToken>,
    data: Mutex<Data>,
    changed: watch::Sender<()>,
}

/// Makes the server close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed on purpose")]
struct ConnectionDropped;

type HandlerResult = Result<Response<Full<Bytes>>, ConnectionDropped>;

impl Shared {
    fn new(tokens: Vec<WriteToken>) -> Self {
        Self {
            tokens,
            data: Mutex::default(),
            changed: watch::Sender::new(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().expect("no holder of the lock panics")
    }

    fn delay_ms(&self, fault: StoreFault) -> Option<u64> {
        self.lock().faults.get(&fault).copied()
    }

    fn has_fault(&self, fault: StoreFault) -> bool {
        self.delay_ms(fault).is_some()
    }

    fn set_fault(&self, fault: StoreFault, on: bool, delay_ms: u64) {
        let mut data = self.lock();
        if on {
            data.faults.insert(fault, delay_ms);
        } else {
            data.faults.remove(&fault);
        }
        match fault {
            StoreFault::StaleReads => data.snapshot = on.then(|| data.tree.clone()),
            StoreFault::LapsedLeases if on => data.end_all_sessions(),
            _ => {}
        }
        self.changed.send_replace(());
    }

    fn may_write(&self, key: &str, token: &str) -> bool {
        self.tokens.is_empty()
            || self
                .tokens
                .iter()
                .any(|known| known.token == token && key.starts_with(&known.prefix))
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&shared)));
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(|request| handle(request, Arc::clone(&shared)));
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn expire_sessions(shared: Arc<Shared>) {
    let mut ticks = interval(Duration::from_millis(EXPIRY_INTERVAL_MS));
    loop {
        ticks.tick().await;
        let index = shared.lock().index();
        shared.lock().end_expired_sessions(Instant::now());
        if shared.lock().index() != index {
            shared.changed.send_replace(());
        }
    }
}

async fn handle(request: Request<Incoming>, shared: Arc<Shared>) -> HandlerResult {
    let path = request.uri().path().to_owned();
    if let Some(rest) = path.strip_prefix("/admin/") {
        return Ok(handle_admin(
            &shared,
            request.method(),
            rest,
            request.uri().query(),
        ));
    }
    if shared.has_fault(StoreFault::Down) {
        return Err(ConnectionDropped);
    }
    if let Some(delay_ms) = shared.delay_ms(StoreFault::Slow) {
        sleep(Duration::from_millis(delay_ms)).await;
    }
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        let query = Query::parse(key, request.uri().query());
        return match *request.method() {
            Method::GET => handle_read(&shared, &query).await,
            Method::PUT | Method::DELETE => handle_write(&shared, &query, request).await,
            _ => Ok(text_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "method not allowed",
            )),
        };
    }
    match path.strip_prefix("/v1/session/") {
        Some(rest) if request.method() == Method::PUT => {
            handle_session(&shared, rest, request).await
        }
        _ => Ok(text_response(StatusCode::NOT_FOUND, "not found")),
    }
}

fn handle_admin(
    shared: &Shared,
    method: &Method,
    path: &str,
    query: Option<&str>,
) -> Response<Full<Bytes>> {
    if method == Method::GET && path == "counts" {
        return json_response(&json!(shared.lock().counts));
    }
    let name = path.strip_prefix("fault/").unwrap_or_default();
    let Some((_, fault)) = FAULTS.iter().find(|(known, _)| *known == name) else {
        let names: Vec<&str> = FAULTS.iter().map(|(name, _)| *name).collect();
        return text_response(StatusCode::NOT_FOUND, &format!("the faults are {names:?}"));
    };
    let query = Query::parse("", query);
    let delay_ms = query.number("delay_ms").unwrap_or(SLOW_DELAY_MS);
    shared.set_fault(*fault, !query.has("off"), delay_ms);
    json_response(&json!(true))
}

async fn handle_read(shared: &Shared, query: &Query) -> HandlerResult {
    shared.lock().counts.reads += 1;
    if let Some(index) = query.number("index").filter(|index| *index > 0) {
        wait_for_change(shared, query, index).await?;
    }
    let (index, entries) = shared.lock().read(query);
    let status = if entries.is_empty() {
        StatusCode::NOT_FOUND
    } else {
        StatusCode::OK
    };
    let body = if entries.is_empty() {
        Vec::new()
    } else if query.has("raw") {
        let value = entries[0]["Value"].as_str().unwrap_or_default();
        BASE64_STANDARD.decode(value).unwrap_or_default()
    } else {
        Value::Array(entries).to_string().into_bytes()
    };
    let response = Response::builder()
        .status(status)
        .header("X-Consul-Index", index)
        .body(Full::from(body));
    Ok(response.expect("the parts of the response are valid"))
}

/// Counts one waiting watch until it is dropped, also if the client disconnects.
struct WaitingWatch<'a>(&'a Shared);

impl<'a> WaitingWatch<'a> {
    fn begin(shared: &'a Shared) -> Self {
        shared.lock().counts.waiting_watches += 1;
        Self(shared)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.lock().counts.waiting_watches -= 1;
    }
}

async fn wait_for_change(
    shared: &Shared,
    query: &Query,
    index: u64,
) -> Result<(), ConnectionDropped> {
    let _waiting = WaitingWatch::begin(shared);
    let deadline = Instant::now() + query.wait_limit();
    let mut changed = shared.changed.subscribe();
    loop {
        if shared.has_fault(StoreFault::Down) {
            return Err(ConnectionDropped);
        }
        if shared.lock().read(query).0 > index {
            return Ok(());
        }
        if timeout_at(deadline, changed.changed()).await.is_err() {
            return Ok(());
        }
    }
}

async fn handle_write(shared: &Shared, query: &Query, request: Request<Incoming>) -> HandlerResult {
    let token = request.headers().get("X-Consul-Token").cloned();
    let token = token.as_ref().and_then(|token| token.to_str().ok());
    let is_delete = request.method() == Method::DELETE;
    if !shared.may_write(&query.key, token.unwrap_or_default()) {
        return Ok(text_response(StatusCode::FORBIDDEN, "Permission denied"));
    }
    let body = request
        .into_body()
        .collect()
        .await
        .or(Err(ConnectionDropped))?;
    let done = shared.lock().write(query, &body.to_bytes(), is_delete);
    shared.changed.send_replace(());
    if shared.has_fault(StoreFault::AnswerLost) {
        return Err(ConnectionDropped);
    }
    Ok(match done {
        Some(done) => json_response(&json!(done)),
        None => text_response(StatusCode::INTERNAL_SERVER_ERROR, "invalid session"),
    })
}

async fn handle_session(shared: &Shared, path: &str, request: Request<Incoming>) -> HandlerResult {
    let body = request
        .into_body()
        .collect()
        .await
        .or(Err(ConnectionDropped))?;
    let mut data = shared.lock();
    data.counts.writes += 1;
    let response = match path.split_once('/') {
        None if path == "create" => {
            let wanted: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
            let ttl = wanted["TTL"].as_str().and_then(parse_duration);
            let id = data.create_session(ttl.unwrap_or(Duration::from_millis(DEFAULT_TTL_MS)));
            json!({ "ID": id })
        }
        Some(("renew", id)) if data.renew_session(id) => json!([{ "ID": id }]),
        Some(("destroy", id)) => {
            data.end_session(id);
            json!(true)
        }
        _ => return Ok(text_response(StatusCode::NOT_FOUND, "session not found")),
    };
    shared.changed.send_replace(());
    Ok(json_response(&response))
}

fn json_response(value: &Value) -> Response<Full<Bytes>> {
    text_response(StatusCode::OK, &value.to_string())
}

fn text_response(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body.to_owned()));
    *response.status_mut() = status;
    response
}
