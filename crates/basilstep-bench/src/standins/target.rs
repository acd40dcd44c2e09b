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

use super::{
    http::{Body, Cut, answer, json, serve},
    now_ms,
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
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    convert::Infallible,
    net::SocketAddrV4,
    process::ExitCode,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::{net::TcpListener, time};

const FAULTS: [&str; 7] = [
    "no-shed",
    "refuse",
    "hang",
    "slow",
    "lose-answer",
    "sick-health",
    "lie-idle",
];
const TURN_COLD: &str = "turn-cold";
const SLOW_FACTOR: u32 = 10;
/// A target falls over above this many times the load that it can bear.
const FALL_OVER_FACTOR: f64 = 2.0;
const FALLEN_MS: u64 = 2_000;
const RETRY_AFTER_S: &str = "1";
const MAX_RECORDED_OPERATIONS: usize = 1_000_000;

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
}

/// What a target has counted, at `GET /admin/counts`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct TargetCounts {
    /// Runs by kind: `boards`, `offers`, `uploads` and `quotes`.
    pub runs: BTreeMap<String, u64>,
    /// Offers that ran more than once at this target.
    pub ran_twice: u64,
    /// How often it fell over.
    pub fell_over: u64,
    /// Requests refused with 503.
    pub shed: u64,
    /// Requests whose deadline passed here.
    pub deadline_passed: u64,
    /// Requests whose connection was closed before the answer.
    pub cancelled: u64,
    /// Requests that were sent for another service.
    pub misrouted: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// The most requests in flight.
    pub max_in_flight: u32,
    /// Boards that are open.
    pub boards_open: u32,
    /// Time of the last request, in ms since the epoch; 0 when there was none.
    pub last_request_ms: u64,
}

/// The load report, at `GET /load`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that can be in flight.
    pub slots: u32,
}

#[derive(Debug, Default)]
struct State {
    counts: TargetCounts,
    runs_by_operation: BTreeMap<String, u32>,
    faults: BTreeSet<String>,
    draining: bool,
    answered_work_ms: f64,
    fallen_until: Option<Instant>,
    reported: LoadReport,
}

#[derive(Debug)]
struct Target {
    args: TargetArgs,
    state: Mutex<State>,
}

/// Why a request does not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Refusal {
    FallenOver,
    Shed,
}

/// Occupies a slot; frees it when the request ends or is cancelled.
struct Slot {
    target: Arc<Target>,
    answered: bool,
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
    let served = runtime.and_then(|runtime| runtime.block_on(serve_target(args.clone())));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot serve on {}: {error}", args.listen);
            ExitCode::FAILURE
        }
    }
}

/// Binds and serves a target until the task is dropped.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn serve_target(args: TargetArgs) -> std::io::Result<()> {
    let listener = TcpListener::bind(args.listen).await?;
    let connections = args.connections;
    let target = Arc::new(Target {
        args,
        state: Mutex::default(),
    });
    tokio::spawn(report_load(Arc::clone(&target)));
    serve(listener, connections, move |request| {
        handle(Arc::clone(&target), request)
    })
    .await;
    Ok(())
}

async fn report_load(target: Arc<Target>) {
    loop {
        time::sleep(Duration::from_millis(target.args.report_lag_ms)).await;
        let mut state = target.lock();
        let lies = state.faults.contains("lie-idle");
        state.reported = LoadReport {
            in_flight: if lies { 0 } else { state.counts.in_flight },
            slots: target.args.slots,
        };
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

    fn has_fault(&self, name: &str) -> bool {
        self.lock().faults.contains(name)
    }

    fn health(&self) -> Response<Body> {
        let state = self.lock();
        if state.faults.contains("sick-health") || state.fallen_until.is_some() {
            return answer(500, "sick");
        }
        if state.draining {
            return answer(503, "draining");
        }
        answer(200, "ok")
    }

    fn administer(&self, method: &Method, parts: &[&str]) -> Response<Body> {
        let mut state = self.lock();
        match parts {
            ["counts"] => return json(&state.counts),
            ["runs"] => return json(&state.runs_by_operation),
            ["drain"] => state.draining = *method != Method::DELETE,
            ["fault", TURN_COLD] => state.answered_work_ms = 0.0,
            ["fault", name] if FAULTS.contains(name) && *method == Method::DELETE => {
                state.faults.remove(*name);
            }
            ["fault", name] if FAULTS.contains(name) => {
                state.faults.insert((*name).to_owned());
            }
            _ => return answer(404, "no such fault or count"),
        }
        answer(200, "done")
    }

    /// Returns how many requests at a time the target can bear now.
    fn bearable(&self, state: &State) -> f64 {
        let warmth = state.answered_work_ms / f64::from(self.args.cold_ms.max(1));
        1.0 + f64::from(self.args.slots.saturating_sub(1)) * warmth.min(1.0)
    }

    fn arrive(self: &Arc<Self>, headers: &HeaderMap) -> Result<Slot, Refusal> {
        let mut state = self.lock();
        state.counts.last_request_ms = now_ms();
        let service = headers.get("basilstep-service");
        if service.is_some_and(|service| service.as_bytes() != self.args.service.as_bytes()) {
            state.counts.misrouted += 1;
        }
        if state
            .fallen_until
            .is_some_and(|until| Instant::now() < until)
        {
            return Err(Refusal::FallenOver);
        }
        state.fallen_until = None;
        let full = state.counts.in_flight >= self.args.slots && !state.faults.contains("no-shed");
        if full || state.faults.contains("refuse") || state.draining {
            state.counts.shed += 1;
            return Err(Refusal::Shed);
        }
        let wanted = state.counts.in_flight + 1;
        if f64::from(wanted) > FALL_OVER_FACTOR * self.bearable(&state) {
            state.counts.fell_over += 1;
            state.answered_work_ms = 0.0;
            state.fallen_until = Some(Instant::now() + Duration::from_millis(FALLEN_MS));
            return Err(Refusal::FallenOver);
        }
        state.counts.in_flight = wanted;
        state.counts.max_in_flight = state.counts.max_in_flight.max(wanted);
        Ok(Slot {
            target: Arc::clone(self),
            answered: false,
        })
    }

    async fn work(
        self: &Arc<Self>,
        request: Request<Incoming>,
        kind: &'static str,
        id: Option<&str>,
    ) -> Result<Response<Body>, Cut> {
        let mut slot = match self.arrive(request.headers()) {
            Ok(slot) => slot,
            Err(refusal) => return Ok(refusal.answer()),
        };
        let deadline = deadline(request.headers());
        let body = request.into_body().collect().await.or(Err(Cut))?.to_bytes();
        let operation = id.map_or_else(
            || String::from_utf8_lossy(&body).into_owned(),
            str::to_owned,
        );
        self.count_run(kind, &operation);
        if !self.serve_within(deadline).await? {
            slot.answered = true;
            return Ok(answer(504, "the deadline passed"));
        }
        slot.answer();
        let receipt = Receipt::new(
            &self.args.service,
            &self.args.listen.to_string(),
            &operation,
            &body,
            self.args.answer_bytes,
        );
        Ok(json(&receipt))
    }

    async fn open_board(
        self: &Arc<Self>,
        headers: &HeaderMap,
        board: &str,
    ) -> Result<Response<Body>, Cut> {
        let mut slot = match self.arrive(headers) {
            Ok(slot) => slot,
            Err(refusal) => return Ok(refusal.answer()),
        };
        self.count_run("boards", board);
        if !self.serve_within(deadline(headers)).await? {
            slot.answered = true;
            return Ok(answer(504, "the deadline passed"));
        }
        slot.answer();
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

    fn count_run(&self, kind: &str, operation: &str) {
        let mut state = self.lock();
        *state.counts.runs.entry(kind.to_owned()).or_default() += 1;
        let may_record = state.runs_by_operation.len() < MAX_RECORDED_OPERATIONS;
        if kind != "offers" || !may_record {
            return;
        }
        let runs = state
            .runs_by_operation
            .entry(operation.to_owned())
            .or_default();
        *runs += 1;
        if *runs == 2 {
            state.counts.ran_twice += 1;
        }
    }

    /// Works as long as the load asks for; `false` when the deadline passes first.
    async fn serve_within(&self, deadline: Option<Duration>) -> Result<bool, Cut> {
        if self.has_fault("hang") {
            std::future::pending::<()>().await;
        }
        let need = self.service_time();
        let allowed = deadline.unwrap_or(need);
        time::sleep(need.min(allowed)).await;
        if self.has_fault("lose-answer") {
            return Err(Cut);
        }
        if allowed < need {
            self.lock().counts.deadline_passed += 1;
        }
        Ok(allowed >= need)
    }

    fn service_time(&self) -> Duration {
        let state = self.lock();
        let crowding = f64::from(state.counts.in_flight) / self.bearable(&state);
        let base = Duration::from_millis(u64::from(self.args.service_ms));
        let slow = if state.faults.contains("slow") {
            SLOW_FACTOR
        } else {
            1
        };
        base.mul_f64(crowding.max(1.0)) * slow
    }
}

impl Slot {
    fn answer(&mut self) {
        self.answered = true;
        let mut state = self.target.lock();
        state.answered_work_ms += f64::from(self.target.args.service_ms);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.target.lock();
        state.counts.in_flight -= 1;
        if !self.answered {
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
            target: self.target.args.listen.to_string(),
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
