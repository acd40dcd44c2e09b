use super::{
    counts::{Remark, Tally},
    flow::{Board, Flow, FlowClientSettings, Loss, RequestError, SERVER_NAME},
    operation::{Known, Next, Operation},
};
use crate::fakes::{now_ms, receipt::BoardLine};
use basilstep_core::codes::ResultCode;
use http::Request;
use quinn::ConnectionError;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{self, Instant},
};

const REOPEN_PAUSE: Duration = Duration::from_millis(100);
const BOARD_PAUSE: Duration = Duration::from_millis(200);
/// A board without a line for this long counts as stalled.
const BOARD_STALL: Duration = Duration::from_secs(2);
/// A board without a line for this long makes its caller open a new flow.
const BOARD_SILENT: Duration = Duration::from_secs(8);
const UPLOAD_BYTES: usize = 20_000;

/// What one caller does.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// A name that is unique among all callers; part of its operation ids.
    pub name: String,
    /// The path of the service.
    pub service: String,
    /// How to open flows.
    pub flow: FlowClientSettings,
    /// The mean time between two operations, in ms.
    pub interval_ms: u64,
    /// The seed of its random choices.
    pub seed: u64,
}

/// The targets whose flows or boards end for a cause that the bench or operators set.
#[derive(Clone, Debug, Default)]
pub struct OutTargets(Arc<Mutex<Causes>>);

#[derive(Debug, Default)]
struct Causes {
    out: BTreeSet<String>,
    without_agent: BTreeSet<String>,
    killed: BTreeSet<String>,
}

/// A running caller.
#[derive(Debug)]
pub struct Caller {
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

struct Session {
    settings: CallerSettings,
    tally: Tally,
    out: OutTargets,
    stop: watch::Receiver<bool>,
    rng: ChaCha8Rng,
    pending: Option<Operation>,
    known: Known,
    next_id: u64,
    lost_agent: bool,
}

/// What the board of a flow needs.
struct BoardKeeper<'a> {
    flow: &'a Flow,
    settings: &'a CallerSettings,
    tally: &'a Tally,
    target: &'a OnceLock<String>,
    out: &'a OutTargets,
}

/// Why a caller stopped using a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowEnd {
    Lost,
    Moved,
    Stopped,
}

impl OutTargets {
    /// Replaces the targets in failure domains that operators have taken out.
    pub fn set(&self, targets: impl IntoIterator<Item = String>) {
        self.causes().out = targets.into_iter().collect();
    }

    /// Replaces the targets whose agents are killed or paused.
    pub fn set_without_agent(&self, targets: impl IntoIterator<Item = String>) {
        self.causes().without_agent = targets.into_iter().collect();
    }

    /// Replaces the targets that are killed beside their agents.
    pub fn set_killed(&self, targets: impl IntoIterator<Item = String>) {
        self.causes().killed = targets.into_iter().collect();
    }

    fn causes(&self) -> MutexGuard<'_, Causes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_killed(&self, target: &str) -> bool {
        self.causes().killed.contains(target)
    }

    /// Judges a loss by the target that the flow led to, or by its code when that is unknown.
    fn judge(&self, target: Option<&str>, error: &ConnectionError) -> Loss {
        let causes = self.causes();
        let given_up = match target {
            Some(target) => causes.out.contains(target),
            None => says_domain_out(error) && !causes.out.is_empty(),
        };
        if given_up {
            Loss::GivenUp
        } else if target.is_some_and(|target| causes.without_agent.contains(target)) {
            Loss::WithAgent
        } else {
            Loss::Broken
        }
    }
}

fn says_domain_out(error: &ConnectionError) -> bool {
    let code = u64::from(ResultCode::FlowDomainOut.number());
    matches!(error, ConnectionError::ApplicationClosed(close) if close.error_code.into_inner() == code)
}

impl Caller {
    /// Starts a caller.
    pub fn spawn(settings: CallerSettings, tally: Tally, out: OutTargets) -> Self {
        let (stop, stopped) = watch::channel(false);
        let session = Session {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            tally,
            out,
            stop: stopped,
            pending: None,
            known: Known::default(),
            next_id: 0,
            lost_agent: false,
        };
        let task = tokio::spawn(session.run());
        Self { stop, task }
    }

    /// Asks the caller to end its last operation and close its flow.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until the caller has ended.
    pub async fn join(self) {
        drop(self.task.await);
    }
}

impl Session {
    async fn run(mut self) {
        while !*self.stop.borrow() {
            match Flow::open(&self.settings.flow).await {
                Ok(flow) => {
                    let reopened = std::mem::take(&mut self.lost_agent);
                    self.tally.count(|counts| {
                        counts.flows_opened += 1;
                        if reopened {
                            counts.last_reopened_ms = now_ms();
                        }
                    });
                    self.use_flow(flow).await;
                }
                Err(error) => {
                    let remark = format!("{}: flow not opened: {error}", self.settings.name);
                    self.tally.count(|counts| {
                        counts.flows_not_opened += 1;
                        counts.remark(Remark::FlowNotOpened, &remark);
                    });
                    time::sleep(REOPEN_PAUSE).await;
                }
            }
        }
        if let Some(mut pending) = self.pending.take() {
            pending.give_up(&self.tally);
        }
    }

    async fn use_flow(&mut self, flow: Flow) {
        self.known = Known::default();
        let target = OnceLock::new();
        let settings = self.settings.clone();
        let tally = self.tally.clone();
        let out = self.out.clone();
        let keeper = BoardKeeper {
            flow: &flow,
            settings: &settings,
            tally: &tally,
            target: &target,
            out: &out,
        };
        // Only the board may be dropped half-way: an offer that is under way must be accounted for.
        let end = tokio::select! {
            end = self.operate(&flow) => end,
            () = keeper.run() => FlowEnd::Lost,
        };
        match end {
            FlowEnd::Stopped => flow.close().await,
            FlowEnd::Moved => {
                self.tally.count(|counts| counts.flows_moved += 1);
                flow.close().await;
            }
            FlowEnd::Lost => {
                let target = target.get().cloned().or_else(|| self.known.target.clone());
                self.lose(&flow, target.as_deref());
            }
        }
    }

    fn lose(&mut self, flow: &Flow, target: Option<&str>) {
        let Some(error) = flow.loss() else {
            return;
        };
        let loss = self.out.judge(target, &error);
        let name = &self.settings.name;
        let remark = format!("{name}: flow to {target:?} lost: {error}");
        self.lost_agent = loss == Loss::WithAgent;
        self.tally.lose_flow(&loss, &remark);
    }

    /// Makes one operation after the other until the flow ends or the caller is stopped.
    async fn operate(&mut self, flow: &Flow) -> FlowEnd {
        loop {
            if flow.loss().is_some() {
                return FlowEnd::Lost;
            }
            let mut operation = match self.pending.take() {
                Some(pending) => pending,
                None if *self.stop.borrow() => return FlowEnd::Stopped,
                None => self.next_operation(),
            };
            let service = &self.settings.service;
            let next = operation
                .attempt(flow, service, &mut self.known, &self.tally)
                .await;
            let pause = match next {
                Next::Ended => self.pause(),
                Next::Retry(wait) => wait,
                Next::SendAgain => REOPEN_PAUSE,
                Next::Move => Duration::ZERO,
            };
            if next != Next::Ended {
                self.pending = Some(operation);
            }
            if next == Next::Move {
                return FlowEnd::Moved;
            }
            self.wait(flow, pause).await;
        }
    }

    async fn wait(&mut self, flow: &Flow, pause: Duration) {
        let mut stop = self.stop.clone();
        let is_idle = self.pending.is_none();
        tokio::select! {
            () = time::sleep(pause) => {}
            _ = flow.lost() => {}
            _ = stop.wait_for(|stop| *stop), if is_idle => {}
        }
    }

    fn next_operation(&mut self) -> Operation {
        self.next_id += 1;
        let id = format!("{}-{}", self.settings.name, self.next_id);
        if self.known.ticket.is_none() {
            return Operation::quote(id);
        }
        match self.rng.random_range(0..10) {
            0..=5 => Operation::offer(id, self.rng.random_range(0..4) == 0),
            6..=7 => Operation::upload(id, UPLOAD_BYTES),
            _ => Operation::quote(id),
        }
    }

    fn pause(&mut self) -> Duration {
        let mean_ms = self.settings.interval_ms;
        Duration::from_millis(self.rng.random_range(mean_ms / 2..=mean_ms + mean_ms / 2))
    }
}

impl BoardKeeper<'_> {
    /// Keeps a board open until the flow is lost.
    async fn run(&self) {
        while self.flow.loss().is_none() {
            match self.open().await {
                Some(board) => self.read(board).await,
                None => time::sleep(BOARD_PAUSE).await,
            }
        }
        // The operations notice the loss themselves and end the flow.
        std::future::pending::<()>().await;
    }

    async fn open(&self) -> Option<Board> {
        let uri = format!("https://{SERVER_NAME}/boards/{}", self.settings.name);
        let request = Request::get(uri).body(()).ok()?;
        let opened = time::timeout(BOARD_SILENT, self.flow.open_board(request)).await;
        let board = opened.ok()?.ok()?;
        if let Some(code) = board.head.code {
            self.tally.count(|counts| {
                counts.boards_not_opened += 1;
                counts.code(code.number());
            });
            time::sleep(board.head.retry_after.unwrap_or(BOARD_PAUSE)).await;
            return None;
        }
        if board.head.status != 200 {
            self.tally.count(|counts| counts.boards_not_opened += 1);
            return None;
        }
        self.tally.count(|counts| counts.boards_opened += 1);
        Some(board)
    }

    async fn read(&self, mut board: Board) {
        let mut expected = 0;
        let mut last_line = Instant::now();
        let mut stalled = false;
        loop {
            let line = match time::timeout(BOARD_STALL, board.next_line()).await {
                Ok(Ok(Some(line))) => line,
                Ok(Ok(None)) => return self.cut("the board ended"),
                Ok(Err(error)) => return self.fail(&error),
                Err(_) => {
                    self.stall(&mut stalled, last_line);
                    continue;
                }
            };
            self.count_line(&line, &mut expected, last_line);
            last_line = Instant::now();
            stalled = false;
        }
    }

    fn count_line(&self, line: &[u8], expected: &mut u64, last_line: Instant) {
        let gap_ms = last_line.elapsed().as_millis() as u64;
        let parsed = serde_json::from_slice::<BoardLine>(line).ok();
        let name = &self.settings.name;
        let own = parsed.filter(|line| line.board == *name);
        self.tally.count(|counts| {
            counts.longest_board_gap_ms = counts.longest_board_gap_ms.max(gap_ms);
            let Some(line) = own else {
                counts.board_lines_wrong += 1;
                return;
            };
            counts.board_lines += 1;
            counts.board_gaps += u64::from(line.sequence != *expected);
            counts.board_lines_foreign += u64::from(line.service != self.settings.service);
            *expected = line.sequence + 1;
            drop(self.target.set(line.target));
        });
    }

    fn stall(&self, stalled: &mut bool, last_line: Instant) {
        if !*stalled {
            *stalled = true;
            self.tally.count(|counts| counts.boards_stalled += 1);
        }
        if last_line.elapsed() > BOARD_SILENT {
            self.flow.abandon();
        }
    }

    fn fail(&self, error: &RequestError) {
        if self.flow.loss().is_none() {
            self.cut(&error.to_string());
        }
    }

    fn cut(&self, why: &str) {
        if self.flow.loss().is_some() {
            return;
        }
        let target = self.target.get();
        if target.is_some_and(|target| self.out.is_killed(target)) {
            self.tally
                .count(|counts| counts.boards_lost_with_target += 1);
            return;
        }
        let remark = format!("{}: board cut: {why}", self.settings.name);
        self.tally.count(|counts| {
            counts.boards_cut += 1;
            counts.remark(Remark::BoardCut, &remark);
        });
    }
}
