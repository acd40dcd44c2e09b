use super::{
    counts::{CallerRecorder, RemarkKind},
    flow::{Board, Flow, FlowClientSettings, FlowLoss, RequestError, SERVER_NAME},
    operation::{FlowState, NextStep, Operation},
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

const REOPEN_DELAY: Duration = Duration::from_millis(100);
const BOARD_REOPEN_DELAY: Duration = Duration::from_millis(200);
/// A board counts as stalled after this time without a line.
const BOARD_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A caller opens a new flow after this time without a board line.
const BOARD_SILENCE_TIMEOUT: Duration = Duration::from_secs(8);
const UPLOAD_BYTES: usize = 20_000;

/// The settings of one caller.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// A name unique among all callers; prefixes its operation ids.
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

/// The targets whose flows or boards are expected to end because of a fault or an operator action.
#[derive(Clone, Debug, Default)]
pub struct ExpectedFailures(Arc<Mutex<FailedTargets>>);

#[derive(Debug, Default)]
struct FailedTargets {
    in_out_domains: BTreeSet<String>,
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
    recorder: CallerRecorder,
    expected_failures: ExpectedFailures,
    stop: watch::Receiver<bool>,
    rng: ChaCha8Rng,
    pending: Option<Operation>,
    flow_state: FlowState,
    next_id: u64,
    lost_with_agent: bool,
}

/// Keeps a board open on a flow and checks its lines.
struct BoardReader<'a> {
    flow: &'a Flow,
    settings: &'a CallerSettings,
    recorder: &'a CallerRecorder,
    target: &'a OnceLock<String>,
    expected_failures: &'a ExpectedFailures,
}

/// Why a caller stopped using a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FlowEnd {
    Lost,
    GoAway,
    Stopped,
}

impl ExpectedFailures {
    /// Replaces the set of targets in failure domains that operators have taken out.
    pub fn set_in_out_domains(&self, targets: impl IntoIterator<Item = String>) {
        self.failed_targets().in_out_domains = targets.into_iter().collect();
    }

    /// Replaces the set of targets whose agents are killed or paused.
    pub fn set_without_agent(&self, targets: impl IntoIterator<Item = String>) {
        self.failed_targets().without_agent = targets.into_iter().collect();
    }

    /// Replaces the set of targets that are killed while their agents keep running.
    pub fn set_killed(&self, targets: impl IntoIterator<Item = String>) {
        self.failed_targets().killed = targets.into_iter().collect();
    }

    fn failed_targets(&self) -> MutexGuard<'_, FailedTargets> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_killed(&self, target: &str) -> bool {
        self.failed_targets().killed.contains(target)
    }

    /// Classifies a loss by the target of the flow, or by the close code if the target is unknown.
    fn classify_loss(&self, target: Option<&str>, error: &ConnectionError) -> FlowLoss {
        let failed_targets = self.failed_targets();
        let domain_out = match target {
            Some(target) => failed_targets.in_out_domains.contains(target),
            None => is_domain_out_close(error) && !failed_targets.in_out_domains.is_empty(),
        };
        if domain_out {
            FlowLoss::DomainOut
        } else if target.is_some_and(|target| failed_targets.without_agent.contains(target)) {
            FlowLoss::AgentLost
        } else {
            FlowLoss::Unexpected
        }
    }
}

fn is_domain_out_close(error: &ConnectionError) -> bool {
    let code = u64::from(ResultCode::FlowDomainOut.number());
    matches!(error, ConnectionError::ApplicationClosed(close) if close.error_code.into_inner() == code)
}

impl Caller {
    /// Starts a caller.
    pub fn spawn(
        settings: CallerSettings,
        recorder: CallerRecorder,
        expected_failures: ExpectedFailures,
    ) -> Self {
        let (stop, stopped) = watch::channel(false);
        let session = Session {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            recorder,
            expected_failures,
            stop: stopped,
            pending: None,
            flow_state: FlowState::default(),
            next_id: 0,
            lost_with_agent: false,
        };
        let task = tokio::spawn(session.run());
        Self { stop, task }
    }

    /// Asks the caller to finish its last operation and close its flow.
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
                    let reopened = std::mem::take(&mut self.lost_with_agent);
                    self.recorder.update(|counts| {
                        counts.flows_opened += 1;
                        if reopened {
                            counts.last_reopened_ms = now_ms();
                        }
                    });
                    self.use_flow(flow).await;
                }
                Err(error) => {
                    let remark = format!("{}: flow not opened: {error}", self.settings.name);
                    self.recorder.update(|counts| {
                        counts.flows_not_opened += 1;
                        counts.add_remark(RemarkKind::FlowNotOpened, &remark);
                    });
                    time::sleep(REOPEN_DELAY).await;
                }
            }
        }
        if let Some(mut pending) = self.pending.take() {
            pending.give_up(&self.recorder);
        }
    }

    async fn use_flow(&mut self, flow: Flow) {
        self.flow_state = FlowState::default();
        let target = OnceLock::new();
        let settings = self.settings.clone();
        let recorder = self.recorder.clone();
        let expected_failures = self.expected_failures.clone();
        let board_reader = BoardReader {
            flow: &flow,
            settings: &settings,
            recorder: &recorder,
            target: &target,
            expected_failures: &expected_failures,
        };
        // Only the board future may be cancelled: the outcome of an offer in flight must be
        // recorded.
        let end = tokio::select! {
            end = self.run_operations(&flow) => end,
            () = board_reader.run() => FlowEnd::Lost,
        };
        match end {
            FlowEnd::Stopped => flow.close().await,
            FlowEnd::GoAway => {
                self.recorder.update(|counts| counts.flows_moved += 1);
                flow.close().await;
            }
            FlowEnd::Lost => {
                let target = target
                    .get()
                    .cloned()
                    .or_else(|| self.flow_state.target.clone());
                self.record_loss(&flow, target.as_deref());
            }
        }
    }

    fn record_loss(&mut self, flow: &Flow, target: Option<&str>) {
        let Some(error) = flow.close_reason() else {
            return;
        };
        let loss = self.expected_failures.classify_loss(target, &error);
        let name = &self.settings.name;
        let remark = format!("{name}: flow to {target:?} lost: {error}");
        self.lost_with_agent = loss == FlowLoss::AgentLost;
        self.recorder.record_flow_loss(&loss, &remark);
    }

    /// Runs operations one at a time until the flow ends or the caller is stopped.
    async fn run_operations(&mut self, flow: &Flow) -> FlowEnd {
        loop {
            if flow.close_reason().is_some() {
                return FlowEnd::Lost;
            }
            let mut operation = match self.pending.take() {
                Some(pending) => pending,
                None if *self.stop.borrow() => return FlowEnd::Stopped,
                None => self.next_operation(),
            };
            let service = &self.settings.service;
            let next = operation
                .attempt(flow, service, &mut self.flow_state, &self.recorder)
                .await;
            let pause = match next {
                NextStep::Ended => self.operation_pause(),
                NextStep::Retry(wait) => wait,
                NextStep::Resend => REOPEN_DELAY,
                NextStep::OpenNewFlow => Duration::ZERO,
            };
            if next != NextStep::Ended {
                self.pending = Some(operation);
            }
            if next == NextStep::OpenNewFlow {
                return FlowEnd::GoAway;
            }
            self.wait(flow, pause).await;
        }
    }

    async fn wait(&mut self, flow: &Flow, pause: Duration) {
        let mut stop = self.stop.clone();
        let is_idle = self.pending.is_none();
        tokio::select! {
            () = time::sleep(pause) => {}
            _ = flow.closed() => {}
            _ = stop.wait_for(|stop| *stop), if is_idle => {}
        }
    }

    fn next_operation(&mut self) -> Operation {
        self.next_id += 1;
        let id = format!("{}-{}", self.settings.name, self.next_id);
        if self.flow_state.ticket.is_none() {
            return Operation::quote(id);
        }
        match self.rng.random_range(0..10) {
            0..=5 => Operation::offer(id, self.rng.random_range(0..4) == 0),
            6..=7 => Operation::upload(id, UPLOAD_BYTES),
            _ => Operation::quote(id),
        }
    }

    fn operation_pause(&mut self) -> Duration {
        let mean_ms = self.settings.interval_ms;
        Duration::from_millis(self.rng.random_range(mean_ms / 2..=mean_ms + mean_ms / 2))
    }
}

impl BoardReader<'_> {
    /// Keeps a board open until the flow is closed.
    async fn run(&self) {
        while self.flow.close_reason().is_none() {
            match self.open().await {
                Some(board) => self.read(board).await,
                None => time::sleep(BOARD_REOPEN_DELAY).await,
            }
        }
        // `run_operations` notices the closed flow and ends it.
        std::future::pending::<()>().await;
    }

    async fn open(&self) -> Option<Board> {
        let uri = format!("https://{SERVER_NAME}/boards/{}", self.settings.name);
        let request = Request::get(uri).body(()).ok()?;
        let opened = time::timeout(BOARD_SILENCE_TIMEOUT, self.flow.open_board(request)).await;
        let board = opened.ok()?.ok()?;
        if let Some(code) = board.head.code {
            self.recorder.update(|counts| {
                counts.boards_not_opened += 1;
                counts.count_code(code.number());
            });
            time::sleep(board.head.retry_after.unwrap_or(BOARD_REOPEN_DELAY)).await;
            return None;
        }
        if board.head.status != 200 {
            self.recorder.update(|counts| counts.boards_not_opened += 1);
            return None;
        }
        self.recorder.update(|counts| counts.boards_opened += 1);
        Some(board)
    }

    async fn read(&self, mut board: Board) {
        let mut expected = 0;
        let mut last_line = Instant::now();
        let mut stalled = false;
        loop {
            let line = match time::timeout(BOARD_STALL_TIMEOUT, board.next_line()).await {
                Ok(Ok(Some(line))) => line,
                Ok(Ok(None)) => return self.record_cut("the server ended the stream"),
                Ok(Err(error)) => return self.handle_error(&error),
                Err(_) => {
                    self.handle_stall(&mut stalled, last_line);
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
        let line = parsed.filter(|line| line.board == *name);
        self.recorder.update(|counts| {
            counts.longest_board_gap_ms = counts.longest_board_gap_ms.max(gap_ms);
            let Some(line) = line else {
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

    fn handle_stall(&self, stalled: &mut bool, last_line: Instant) {
        if !*stalled {
            *stalled = true;
            self.recorder.update(|counts| counts.boards_stalled += 1);
        }
        if last_line.elapsed() > BOARD_SILENCE_TIMEOUT {
            self.flow.abort();
        }
    }

    fn handle_error(&self, error: &RequestError) {
        if self.flow.close_reason().is_none() {
            self.record_cut(&error.to_string());
        }
    }

    fn record_cut(&self, reason: &str) {
        if self.flow.close_reason().is_some() {
            return;
        }
        let target = self.target.get();
        if target.is_some_and(|target| self.expected_failures.is_killed(target)) {
            self.recorder
                .update(|counts| counts.boards_lost_with_target += 1);
            return;
        }
        let remark = format!("{}: board cut: {reason}", self.settings.name);
        self.recorder.update(|counts| {
            counts.boards_cut += 1;
            counts.add_remark(RemarkKind::BoardCut, &remark);
        });
    }
}
