//! Stands in for a target: an ordinary HTTP server with slots.
//!
//! | fault, `POST` to switch on, `DELETE` to switch off | effect |
//! |---|---|
//! | `/admin/fault/turn-cold` | bears one request at a time again, without notice |
//! | `/admin/fault/no-shed` | takes more requests than it has slots |
//! | `/admin/fault/refuse` | refuses each request with 503 before it runs |
//! | `/admin/fault/hang` | takes requests, runs them and never answers |
//! | `/admin/fault/slow` | takes ten times as long |
//! | `/admin/fault/lose-answer` | runs a request, then closes the connection without an answer |
//! | `/admin/fault/sick-health` | the health endpoint fails while requests are served |
//! | `/admin/fault/lie-idle` | the load endpoint always says that nothing is in flight |

mod state;
#[cfg(test)]
mod tests;

use super::{
    http::{Body, Cut, answer, json, serve},
    receipt::{BoardLine, Receipt},
};
use argh::FromArgs;
use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, HeaderValue};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Method, Request, Response,
    body::{Frame, Incoming},
};
pub use state::{LoadReport, TargetCounts};
use state::{Refusal, State};
use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, task::JoinHandle, time};

const RETRY_AFTER_S: &str = "1";
/// Stands in for a target: an ordinary HTTP server with slots.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "target")]
pub struct TargetArgs {
    /// address to serve on
    #[argh(option)]
    pub listen: SocketAddrV4,
    /// path of the service that this target belongs to
    #[argh(option, default = "String::new()")]
    pub service: String,
    /// most requests at a time (default 9)
    #[argh(option, default = "9")]
    pub slots: u32,
    /// most connections at a time (default 2000)
    #[argh(option, default = "2000")]
    pub connections: usize,
    /// answered work after which a cold target is warm, in ms (default 3000)
    #[argh(option, default = "3000")]
    pub cold_ms: u32,
    /// time to serve a request, in ms (default 20)
    #[argh(option, default = "20")]
    pub service_ms: u32,
    /// time between two lines of a board, in ms (default 250)
    #[argh(option, default = "250")]
    pub board_interval_ms: u32,
    /// age of the load report, in ms (default 1000)
    #[argh(option, default = "1000")]
    pub report_lag_ms: u64,
    /// extra bytes in each answer (default 3000)
    #[argh(option, default = "3000")]
    pub answer_bytes: usize,
    /// file in which offers are noted when they run, read again at the next start
    #[argh(option)]
    pub journal: Option<PathBuf>,
}

/// A running target; stops when dropped.
#[derive(Debug)]
pub struct FakeTarget {
    address: SocketAddr,
    tasks: [JoinHandle<()>; 2],
}

#[derive(Debug)]
struct Target {
    args: TargetArgs,
    name: String,
    state: Mutex<State>,
}

/// Occupies a slot; frees it when the request ends or is cancelled.
struct Slot {
    target: Arc<Target>,
    ended: bool,
}

struct OpenBoard {
    target: Arc<Target>,
    board: String,
    sequence: u64,
}

/// Runs the command.
pub fn run(args: &TargetArgs) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let served = runtime.and_then(|runtime| {
        runtime.block_on(async {
            let _target = FakeTarget::bind(args.clone()).await?;
            std::future::pending::<()>().await;
            Ok(())
        })
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot serve on {}: {error}", args.listen);
            ExitCode::FAILURE
        }
    }
}

impl FakeTarget {
    /// Binds the address and serves.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address cannot be bound.
    pub async fn bind(args: TargetArgs) -> io::Result<Self> {
        let listener = TcpListener::bind(args.listen).await?;
        let address = listener.local_addr()?;
        let connections = args.connections;
        let state = State::open(args.journal.as_deref())?;
        let target = Arc::new(Target {
            args,
            name: address.to_string(),
            state: Mutex::new(state),
        });
        let report = tokio::spawn(report_load(Arc::clone(&target)));
        let accept = tokio::spawn(serve(listener, connections, move |request| {
            handle(Arc::clone(&target), request)
        }));
        Ok(Self {
            address,
            tasks: [report, accept],
        })
    }

    /// Returns the address that it serves on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for FakeTarget {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn report_load(target: Arc<Target>) {
    loop {
        time::sleep(Duration::from_millis(target.args.report_lag_ms)).await;
        target.lock().report(&target.args);
    }
}

async fn handle(target: Arc<Target>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match parts.as_slice() {
        ["health"] => Ok(target.health()),
        ["load"] => Ok(json(&target.lock().reported)),
        ["admin", rest @ ..] => Ok(target.administer(request.method(), rest)),
        ["boards", board] => target.open_board(request.headers(), board).await,
        ["offers"] => target.work(request, "offers", None).await,
        ["uploads", id] => target.work(request, "uploads", Some(id)).await,
        ["quotes", id] => target.work(request, "quotes", Some(id)).await,
        _ => Ok(answer(404, "no such path")),
    }
}

impl Target {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn health(&self) -> Response<Body> {
        let state = self.lock();
        if state.has("sick-health") || state.is_fallen(Instant::now()) {
            return answer(500, "sick");
        }
        if state.is_draining() {
            return answer(503, "draining");
        }
        answer(200, "ok")
    }

    fn administer(&self, method: &Method, parts: &[&str]) -> Response<Body> {
        let on = *method != Method::DELETE;
        let mut state = self.lock();
        match parts {
            ["counts"] => json(&state.counts),
            ["runs"] => json(&state.runs_by_operation),
            ["drain"] => {
                state.drain(on);
                answer(200, "done")
            }
            ["fault", name] if state.switch(name, on) => answer(200, "done"),
            _ => answer(404, "no such fault or count"),
        }
    }

    fn arrive(self: &Arc<Self>, headers: &HeaderMap) -> Result<Slot, Refusal> {
        let mut state = self.lock();
        let service = headers.get("basilstep-service");
        if service.is_some_and(|service| service.as_bytes() != self.args.service.as_bytes()) {
            state.counts.misrouted += 1;
        }
        state.arrive(&self.args, Instant::now())?;
        Ok(Slot {
            target: Arc::clone(self),
            ended: false,
        })
    }

    async fn work(
        self: &Arc<Self>,
        request: Request<Incoming>,
        kind: &'static str,
        id: Option<&str>,
    ) -> Result<Response<Body>, Cut> {
        let slot = match self.arrive(request.headers()) {
            Ok(slot) => slot,
            Err(refusal) => return Ok(refusal.answer()),
        };
        let deadline = deadline(request.headers());
        let body = request.into_body().collect().await.or(Err(Cut))?.to_bytes();
        let operation = id.map_or_else(
            || String::from_utf8_lossy(&body).into_owned(),
            str::to_owned,
        );
        self.lock().count_run(kind, &operation);
        if !self.serve_within(deadline, slot).await? {
            return Ok(answer(504, "the deadline passed"));
        }
        let filler = self.args.answer_bytes;
        let service = &self.args.service;
        let receipt = Receipt::new(service, &self.name, &operation, &body, filler);
        Ok(json(&receipt))
    }

    async fn open_board(
        self: &Arc<Self>,
        headers: &HeaderMap,
        board: &str,
    ) -> Result<Response<Body>, Cut> {
        let slot = match self.arrive(headers) {
            Ok(slot) => slot,
            Err(refusal) => return Ok(refusal.answer()),
        };
        self.lock().count_run("boards", board);
        if !self.serve_within(deadline(headers), slot).await? {
            return Ok(answer(504, "the deadline passed"));
        }
        let open = OpenBoard::open(Arc::clone(self), board);
        let lines = stream::unfold(open, |mut open| async {
            let line = open.next_line().await;
            Some((Ok::<_, Infallible>(Frame::data(line)), open))
        });
        let mut response = Response::new(StreamBody::new(lines).boxed_unsync());
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", kind);
        Ok(response)
    }

    /// Works as long as the load asks for; `false` when the deadline passes first.
    async fn serve_within(&self, deadline: Option<Duration>, slot: Slot) -> Result<bool, Cut> {
        if self.lock().has("hang") {
            std::future::pending::<()>().await;
        }
        let need = self.lock().service_time(&self.args);
        let allowed = deadline.unwrap_or(need);
        time::sleep(need.min(allowed)).await;
        slot.end();
        let mut state = self.lock();
        if state.has("lose-answer") {
            return Err(Cut);
        }
        if allowed < need {
            state.counts.deadline_passed += 1;
            return Ok(false);
        }
        state.answer(&self.args);
        Ok(true)
    }
}

impl Slot {
    fn end(mut self) {
        self.ended = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.target.lock();
        state.leave();
        if !self.ended {
            state.counts.cancelled += 1;
        }
    }
}

impl OpenBoard {
    fn open(target: Arc<Target>, board: &str) -> Self {
        target.lock().counts.boards_open += 1;
        Self {
            target,
            board: board.to_owned(),
            sequence: 0,
        }
    }

    async fn next_line(&mut self) -> Bytes {
        if self.sequence > 0 {
            let interval_ms = u64::from(self.target.args.board_interval_ms);
            time::sleep(Duration::from_millis(interval_ms)).await;
        }
        let line = BoardLine {
            service: self.target.args.service.clone(),
            target: self.target.name.clone(),
            board: self.board.clone(),
            sequence: self.sequence,
        };
        self.sequence += 1;
        let mut text = serde_json::to_string(&line).unwrap_or_default();
        text.push('\n');
        Bytes::from(text)
    }
}

impl Drop for OpenBoard {
    fn drop(&mut self) {
        self.target.lock().counts.boards_open -= 1;
    }
}

impl Refusal {
    fn answer(self) -> Response<Body> {
        if self == Self::FallenOver {
            return answer(500, "fallen over");
        }
        let mut response = answer(503, "all slots are taken");
        let seconds = HeaderValue::from_static(RETRY_AFTER_S);
        response.headers_mut().insert("retry-after", seconds);
        response
    }
}

fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("x-deadline-ms")?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}
