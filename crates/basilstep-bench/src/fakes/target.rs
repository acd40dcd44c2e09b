//! A fake target: an HTTP server with a limited number of request slots.
//!
//! | fault (`POST` switches it on, `DELETE` off) | effect |
//! |---|---|
//! | `/admin/fault/turn-cold` | resets the capacity to one request at a time, without notice |
//! | `/admin/fault/no-shed` | accepts more requests than it has slots |
//! | `/admin/fault/refuse` | refuses every request with 503 before it runs |
//! | `/admin/fault/hang` | accepts requests, runs them and never responds |
//! | `/admin/fault/slow` | takes ten times as long to serve a request |
//! | `/admin/fault/lose-answer` | runs a request, then closes the connection without a response |
//! | `/admin/fault/sick-health` | the health endpoint fails while requests are served |
//! | `/admin/fault/lie-idle` | the load endpoint always reports that nothing is in flight |

mod state;
#[cfg(test)]
mod tests;

use super::{
    http::{Body, ConnectionDropped, json_response, plain_response, serve},
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

/// Runs a fake target: an HTTP server with a limited number of request slots.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "target")]
pub struct TargetArgs {
    /// address to serve on
    #[argh(option)]
    pub listen: SocketAddrV4,
    /// path of the service of this target
    #[argh(option, default = "String::new()")]
    pub service: String,
    /// maximum number of concurrent requests (default 9)
    #[argh(option, default = "9")]
    pub slots: u32,
    /// maximum number of concurrent connections (default 2000)
    #[argh(option, default = "2000")]
    pub connections: usize,
    /// service time of answered requests after which a cold target is warm, in ms (default 3000)
    #[argh(option, default = "3000")]
    pub cold_ms: u32,
    /// service time of a request, in ms (default 20)
    #[argh(option, default = "20")]
    pub service_ms: u32,
    /// interval between the lines of a board, in ms (default 250)
    #[argh(option, default = "250")]
    pub board_interval_ms: u32,
    /// interval between updates of the load report, in ms (default 1000)
    #[argh(option, default = "1000")]
    pub report_lag_ms: u64,
    /// padding in each response, in bytes (default 3000)
    #[argh(option, default = "3000")]
    pub answer_bytes: usize,
    /// file that records each offer when it runs and is read at the next start
    #[argh(option)]
    pub journal: Option<PathBuf>,
}

/// A running fake target; stops when dropped.
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

/// Holds a request slot; releases it when the request ends or is cancelled.
struct Slot {
    target: Arc<Target>,
    ended: bool,
}

struct BoardStream {
    target: Arc<Target>,
    board: String,
    sequence: u64,
}

/// Runs the `target` command.
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
    /// Binds the address and starts serving.
    ///
    /// # Errors
    ///
    /// Returns the system error if the address cannot be bound or the journal cannot be opened.
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
        let report = tokio::spawn(update_load_report(Arc::clone(&target)));
        let accept = tokio::spawn(serve(listener, connections, move |request| {
            handle(Arc::clone(&target), request)
        }));
        Ok(Self {
            address,
            tasks: [report, accept],
        })
    }

    /// Returns the address that it listens on.
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

async fn update_load_report(target: Arc<Target>) {
    loop {
        time::sleep(Duration::from_millis(target.args.report_lag_ms)).await;
        target.lock().update_report(&target.args);
    }
}

async fn handle(
    target: Arc<Target>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionDropped> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match parts.as_slice() {
        ["health"] => Ok(target.health()),
        ["load"] => Ok(json_response(&target.lock().reported)),
        ["admin", rest @ ..] => Ok(target.handle_admin(request.method(), rest)),
        ["boards", board] => target.open_board(request.headers(), board).await,
        ["offers"] => target.serve_request(request, "offers", None).await,
        ["uploads", id] => target.serve_request(request, "uploads", Some(id)).await,
        ["quotes", id] => target.serve_request(request, "quotes", Some(id)).await,
        _ => Ok(plain_response(404, "no such path")),
    }
}

impl Target {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn health(&self) -> Response<Body> {
        let state = self.lock();
        if state.has_fault("sick-health") || state.has_fallen_over(Instant::now()) {
            return plain_response(500, "sick");
        }
        if state.is_draining() {
            return plain_response(503, "draining");
        }
        plain_response(200, "ok")
    }

    fn handle_admin(&self, method: &Method, parts: &[&str]) -> Response<Body> {
        let on = *method != Method::DELETE;
        let mut state = self.lock();
        match parts {
            ["counts"] => json_response(&state.counts),
            ["runs"] => json_response(&state.runs_by_operation),
            ["drain"] => {
                state.set_draining(on);
                plain_response(200, "done")
            }
            ["fault", name] if state.set_fault(name, on) => plain_response(200, "done"),
            _ => plain_response(404, "no such fault or count"),
        }
    }

    fn admit(self: &Arc<Self>, headers: &HeaderMap) -> Result<Slot, Refusal> {
        let mut state = self.lock();
        let service = headers.get("basilstep-service");
        if service.is_some_and(|service| service.as_bytes() != self.args.service.as_bytes()) {
            state.counts.misrouted += 1;
        }
        state.admit(&self.args, Instant::now())?;
        Ok(Slot {
            target: Arc::clone(self),
            ended: false,
        })
    }

    async fn serve_request(
        self: &Arc<Self>,
        request: Request<Incoming>,
        kind: &'static str,
        id: Option<&str>,
    ) -> Result<Response<Body>, ConnectionDropped> {
        let slot = match self.admit(request.headers()) {
            Ok(slot) => slot,
            Err(refusal) => return Ok(refusal.response()),
        };
        let deadline = deadline(request.headers());
        let body = request
            .into_body()
            .collect()
            .await
            .or(Err(ConnectionDropped))?
            .to_bytes();
        let operation = id.map_or_else(
            || String::from_utf8_lossy(&body).into_owned(),
            str::to_owned,
        );
        self.lock().count_run(kind, &operation);
        if !self.run_until_deadline(deadline, slot).await? {
            return Ok(plain_response(504, "the deadline passed"));
        }
        let filler = self.args.answer_bytes;
        let service = &self.args.service;
        let receipt = Receipt::new(service, &self.name, &operation, &body, filler);
        Ok(json_response(&receipt))
    }

    async fn open_board(
        self: &Arc<Self>,
        headers: &HeaderMap,
        board: &str,
    ) -> Result<Response<Body>, ConnectionDropped> {
        let slot = match self.admit(headers) {
            Ok(slot) => slot,
            Err(refusal) => return Ok(refusal.response()),
        };
        self.lock().count_run("boards", board);
        if !self.run_until_deadline(deadline(headers), slot).await? {
            return Ok(plain_response(504, "the deadline passed"));
        }
        let open = BoardStream::open(Arc::clone(self), board);
        let lines = stream::unfold(open, |mut open| async {
            let line = open.next_line().await;
            Some((Ok::<_, Infallible>(Frame::data(line)), open))
        });
        let mut response = Response::new(StreamBody::new(lines).boxed_unsync());
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", kind);
        Ok(response)
    }

    /// Waits for the service time at the current load; returns `false` if the deadline passes
    /// first.
    async fn run_until_deadline(
        &self,
        deadline: Option<Duration>,
        slot: Slot,
    ) -> Result<bool, ConnectionDropped> {
        if self.lock().has_fault("hang") {
            std::future::pending::<()>().await;
        }
        let service_time = self.lock().service_time(&self.args);
        let allowed = deadline.unwrap_or(service_time);
        time::sleep(service_time.min(allowed)).await;
        slot.end();
        let mut state = self.lock();
        if state.has_fault("lose-answer") {
            return Err(ConnectionDropped);
        }
        if allowed < service_time {
            state.counts.deadline_passed += 1;
            return Ok(false);
        }
        state.record_answered_work(&self.args);
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
        state.release_slot();
        if !self.ended {
            state.counts.cancelled += 1;
        }
    }
}

impl BoardStream {
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

impl Drop for BoardStream {
    fn drop(&mut self) {
        self.target.lock().counts.boards_open -= 1;
    }
}

impl Refusal {
    fn response(self) -> Response<Body> {
        if self == Self::FallenOver {
            return plain_response(500, "fallen over");
        }
        let mut response = plain_response(503, "all slots are taken");
        let seconds = HeaderValue::from_static(RETRY_AFTER_S);
        response.headers_mut().insert("retry-after", seconds);
        response
    }
}

fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("x-deadline-ms")?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}
