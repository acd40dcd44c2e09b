//! Stands in for the platform's key-value service: a subset of the published Consul HTTP API.
//!
//! `GET|PUT|DELETE /v1/kv/<key>` with `recurse`, `keys`, `separator`, `raw`, `index`, `wait`, `cas`
//! and `acquire`;
//! `PUT /v1/session/create`, `/v1/session/renew/<id>` and `/v1/session/destroy/<id>`. Besides,
//! `POST /admin/fault/<name>` (`?off` ends it, `?delay_ms=` sets a delay) and `GET /admin/counts`.

mod data;

use argh::FromArgs;
use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
pub use data::Counts;
use data::{Data, Query, Tree, duration};
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

/// What can go wrong with the store, by the name in `POST /admin/fault/<name>`.
const FAULTS: [(&str, StoreFault); 5] = [
    // Connections are dropped without an answer, waiting watches too.
    ("down", StoreFault::Down),
    // Each answer is delayed.
    ("slow", StoreFault::Slow),
    // Writes take effect, then the connection is dropped without an answer.
    ("answer-lost", StoreFault::AnswerLost),
    // All leases lapse at once and renewals are refused.
    ("lapsed-leases", StoreFault::LapsedLeases),
    // Reads are served from a snapshot taken when the fault was switched on.
    ("stale-reads", StoreFault::StaleReads),
];

const SLOW_DELAY_MS: u64 = 2_000;
const DEFAULT_TTL_MS: u64 = 15_000;
const SWEEP_INTERVAL_MS: u64 = 100;

/// Stands in for the platform's key-value service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store")]
pub struct StoreArgs {
    /// address to listen on, such as 127.0.0.1:8500
    #[argh(option)]
    listen: SocketAddr,
    /// a token with the prefix that it may write, as TOKEN=PREFIX; may be repeated; without any,
    /// all writes are allowed
    #[argh(option)]
    token: Vec<WriteToken>,
}

/// A token and the prefix that it may write.
#[derive(Clone, Debug)]
pub struct WriteToken {
    /// The text in the header `X-Consul-Token`.
    pub token: String,
    /// Keys that start with this may be written.
    pub prefix: String,
}

impl FromStr for WriteToken {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (token, prefix) = text
            .split_once('=')
            .ok_or("a token is given as TOKEN=PREFIX")?;
        Ok(Self {
            token: token.to_owned(),
            prefix: prefix.to_owned(),
        })
    }
}

/// A fault of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StoreFault {
    /// Drops connections.
    Down,
    /// Delays answers.
    Slow,
    /// Drops the connection after a write has taken effect.
    AnswerLost,
    /// Lets all leases lapse and refuses renewals.
    LapsedLeases,
    /// Serves reads from an older snapshot.
    StaleReads,
}

/// Runs the command.
pub fn run(args: &StoreArgs) -> ExitCode {
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    runtime.block_on(async {
        match FakeStore::bind(args.listen, args.token.clone()).await {
            Ok(mut store) => {
                let _ = (&mut store.accept).await;
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error),
        }
    })
}

fn fail(error: &io::Error) -> ExitCode {
    eprintln!("the store's stand-in cannot start: {error}");
    ExitCode::FAILURE
}

/// A running stand-in; stops accepting connections when dropped.
#[derive(Debug)]
pub struct FakeStore {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept: JoinHandle<()>,
    sweep: JoinHandle<()>,
}

impl FakeStore {
    /// Binds `listen` and serves an empty store.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address cannot be bound.
    pub async fn bind(listen: SocketAddr, tokens: Vec<WriteToken>) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(tokens));
        let accept = tokio::spawn(accept(listener, Arc::clone(&shared)));
        let sweep = tokio::spawn(sweep(Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accept,
            sweep,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the URL that a client opens.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Switches a fault on or off.
    pub fn set_fault(&self, fault: StoreFault, on: bool) {
        self.shared.set_fault(fault, on, SLOW_DELAY_MS);
    }

    /// Writes a value behind the back of any client, such as an operator by hand.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.shared.lock();
        data.put(key, value.as_bytes().to_vec(), None);
        self.shared.changed.send_replace(());
    }

    /// Replaces the contents and the index by an earlier state, like a restore from a backup.
    pub fn restore_empty(&self, index: u64) {
        let mut data = self.shared.lock();
        data.tree = Tree::restored(index);
        self.shared.changed.send_replace(());
    }

    /// Returns the calls served so far.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }
}

impl Drop for FakeStore {
    fn drop(&mut self) {
        self.accept.abort();
        self.sweep.abort();
    }
}

#[derive(Debug)]
struct Shared {
    tokens: Vec<WriteToken>,
    data: Mutex<Data>,
    changed: watch::Sender<()>,
}

/// The connection is dropped without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is dropped on purpose")]
struct Dropped;

type Answer = Result<Response<Full<Bytes>>, Dropped>;

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

    fn has(&self, fault: StoreFault) -> bool {
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
            StoreFault::LapsedLeases if on => data.lapse_all(),
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

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&shared)));
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(|request| answer(request, Arc::clone(&shared)));
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn sweep(shared: Arc<Shared>) {
    let mut ticks = interval(Duration::from_millis(SWEEP_INTERVAL_MS));
    loop {
        ticks.tick().await;
        let index = shared.lock().index();
        shared.lock().lapse_expired(Instant::now());
        if shared.lock().index() != index {
            shared.changed.send_replace(());
        }
    }
}

async fn answer(request: Request<Incoming>, shared: Arc<Shared>) -> Answer {
    let path = request.uri().path().to_owned();
    if let Some(rest) = path.strip_prefix("/admin/") {
        return Ok(admin(
            &shared,
            request.method(),
            rest,
            request.uri().query(),
        ));
    }
    if shared.has(StoreFault::Down) {
        return Err(Dropped);
    }
    if let Some(delay_ms) = shared.delay_ms(StoreFault::Slow) {
        sleep(Duration::from_millis(delay_ms)).await;
    }
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        let query = Query::parse(key, request.uri().query());
        return match *request.method() {
            Method::GET => read(&shared, &query).await,
            Method::PUT | Method::DELETE => write(&shared, &query, request).await,
            _ => Ok(text(StatusCode::METHOD_NOT_ALLOWED, "method not allowed")),
        };
    }
    match path.strip_prefix("/v1/session/") {
        Some(rest) if request.method() == Method::PUT => session(&shared, rest, request).await,
        _ => Ok(text(StatusCode::NOT_FOUND, "not found")),
    }
}

fn admin(
    shared: &Shared,
    method: &Method,
    path: &str,
    query: Option<&str>,
) -> Response<Full<Bytes>> {
    if method == Method::GET && path == "counts" {
        return json_answer(&json!(shared.lock().counts));
    }
    let name = path.strip_prefix("fault/").unwrap_or_default();
    let Some((_, fault)) = FAULTS.iter().find(|(known, _)| *known == name) else {
        let names: Vec<&str> = FAULTS.iter().map(|(name, _)| *name).collect();
        return text(StatusCode::NOT_FOUND, &format!("the faults are {names:?}"));
    };
    let query = Query::parse("", query);
    let delay_ms = query.number("delay_ms").unwrap_or(SLOW_DELAY_MS);
    shared.set_fault(*fault, !query.has("off"), delay_ms);
    json_answer(&json!(true))
}

async fn read(shared: &Shared, query: &Query) -> Answer {
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
    let answer = Response::builder()
        .status(status)
        .header("X-Consul-Index", index)
        .body(Full::from(body));
    Ok(answer.expect("the parts of the answer are valid"))
}

/// Counts one waiting watch, also when its caller goes away.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn begin(shared: &'a Shared) -> Self {
        shared.lock().counts.waiting_watches += 1;
        Self(shared)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().counts.waiting_watches -= 1;
    }
}

async fn wait_for_change(shared: &Shared, query: &Query, index: u64) -> Result<(), Dropped> {
    let _waiting = Waiting::begin(shared);
    let deadline = Instant::now() + query.wait();
    let mut changed = shared.changed.subscribe();
    loop {
        if shared.has(StoreFault::Down) {
            return Err(Dropped);
        }
        if shared.lock().read(query).0 > index {
            return Ok(());
        }
        if timeout_at(deadline, changed.changed()).await.is_err() {
            return Ok(());
        }
    }
}

async fn write(shared: &Shared, query: &Query, request: Request<Incoming>) -> Answer {
    let token = request.headers().get("X-Consul-Token").cloned();
    let token = token.as_ref().and_then(|token| token.to_str().ok());
    let is_delete = request.method() == Method::DELETE;
    if !shared.may_write(&query.key, token.unwrap_or_default()) {
        return Ok(text(StatusCode::FORBIDDEN, "Permission denied"));
    }
    let body = request.into_body().collect().await.or(Err(Dropped))?;
    let done = shared.lock().write(query, &body.to_bytes(), is_delete);
    shared.changed.send_replace(());
    if shared.has(StoreFault::AnswerLost) {
        return Err(Dropped);
    }
    Ok(match done {
        Some(done) => json_answer(&json!(done)),
        None => text(StatusCode::INTERNAL_SERVER_ERROR, "invalid session"),
    })
}

async fn session(shared: &Shared, path: &str, request: Request<Incoming>) -> Answer {
    let body = request.into_body().collect().await.or(Err(Dropped))?;
    let mut data = shared.lock();
    data.counts.writes += 1;
    let answer = match path.split_once('/') {
        None if path == "create" => {
            let wanted: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
            let ttl = wanted["TTL"].as_str().and_then(duration);
            let id = data.create_session(ttl.unwrap_or(Duration::from_millis(DEFAULT_TTL_MS)));
            json!({ "ID": id })
        }
        Some(("renew", id)) if data.renew(id) => json!([{ "ID": id }]),
        Some(("destroy", id)) => {
            data.destroy(id);
            json!(true)
        }
        _ => return Ok(text(StatusCode::NOT_FOUND, "session not found")),
    };
    shared.changed.send_replace(());
    Ok(json_answer(&answer))
}

fn json_answer(value: &Value) -> Response<Full<Bytes>> {
    text(StatusCode::OK, &value.to_string())
}

fn text(status: StatusCode, body: &str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::from(body.to_owned()));
    *answer.status_mut() = status;
    answer
}
