use super::{super::now_ms, flow::Loss};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

const MAX_REMARKS_OF_A_KIND: usize = 6;
const SLOW_ANSWER_MS: u64 = 500;

/// What callers have counted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct CallerCounts {
    /// Flows that were opened.
    pub flows_opened: u64,
    /// Attempts to open a flow that failed.
    pub flows_not_opened: u64,
    /// Flows that were lost although no one had taken their failure domain out.
    pub flows_broken: u64,
    /// Flows that ended because their failure domain was taken out.
    pub flows_given_up: u64,
    /// Flows that were lost because their agent was killed or paused.
    pub flows_lost_with_agent: u64,
    /// When a caller last had a new flow after it had lost one with its agent, in ms since the
    /// epoch; 0 when there was none.
    pub last_reopened_ms: u64,
    /// Flows that the system asked the caller to replace, with no answer lost.
    pub flows_moved: u64,
    /// Requests that were sent, each attempt counted.
    pub requests_sent: u64,
    /// Answers that came whole and belong to their request.
    pub answers_whole: u64,
    /// Answers that came damaged or belong to another request.
    pub answers_wrong: u64,
    /// Whole answers of a target of another service.
    pub answers_foreign: u64,
    /// Attempts that were refused as not run.
    pub refused_not_run: u64,
    /// Requests whose outcome the system said to be unknown.
    pub outcome_unknown: u64,
    /// Attempts whose answer was lost with the flow or did not come in time.
    pub answers_lost: u64,
    /// Requests that ended without a whole answer after all attempts.
    pub requests_not_served: u64,
    /// Answers with neither a result code nor success.
    pub target_errors: u64,
    /// Boards that were opened.
    pub boards_opened: u64,
    /// Boards that were not opened: refused, of unknown outcome, or failed at the target.
    pub boards_not_opened: u64,
    /// Lines of boards.
    pub board_lines: u64,
    /// Lines of boards that were damaged or belong to another caller's board.
    pub board_lines_wrong: u64,
    /// Lines of boards of a target of another service.
    pub board_lines_foreign: u64,
    /// Lines of boards that were missing or repeated.
    pub board_gaps: u64,
    /// Boards that ended while their flow was alive.
    pub boards_cut: u64,
    /// Boards that ended because their target was killed.
    pub boards_lost_with_target: u64,
    /// Times that a board had no line for too long.
    pub boards_stalled: u64,
    /// The longest time between two lines of a board, in ms.
    pub longest_board_gap_ms: u64,
    /// The slowest answer, in ms.
    pub slowest_answer_ms: u64,
    /// Refusals and unknown outcomes of requests and boards by result code.
    pub codes: BTreeMap<u16, u64>,
    /// What was seen at failures, the first few of each kind.
    pub remarks: BTreeMap<Remark, Vec<String>>,
}

/// What a remark is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Remark {
    /// A flow that was lost.
    FlowBroken,
    /// A flow that could not be opened.
    FlowNotOpened,
    /// An answer that did not come.
    AnswerLost,
    /// An answer that took long.
    AnswerSlow,
    /// An answer that was damaged or belongs to another request.
    AnswerWrong,
    /// A board that ended while its flow was alive.
    BoardCut,
    /// An answer with neither a result code nor success.
    TargetError,
}

/// How an offer ended for its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// A whole answer came: it must have run exactly once.
    Answered,
    /// Each attempt was refused as not run: it must not have run.
    NotRun,
    /// The outcome is unknown: it may have run at most once.
    Unknown,
}

/// The counts of many callers and the endings of their offers.
#[derive(Clone, Debug, Default)]
pub struct Tally(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    counts: CallerCounts,
    offers: BTreeMap<String, Ending>,
}

impl Tally {
    /// Changes the counts.
    pub fn count(&self, change: impl FnOnce(&mut CallerCounts)) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut inner.counts);
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> CallerCounts {
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        inner.counts.clone()
    }

    /// Records how an offer ended.
    pub fn end_offer(&self, id: &str, ending: Ending) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        inner.offers.insert(id.to_owned(), ending);
    }

    /// Returns how each offer ended.
    pub fn offers(&self) -> BTreeMap<String, Ending> {
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        inner.offers.clone()
    }

    /// Counts a lost flow.
    pub fn lose_flow(&self, loss: &Loss, remark: &str) {
        self.count(|counts| match loss {
            Loss::GivenUp => counts.flows_given_up += 1,
            Loss::WithAgent => counts.flows_lost_with_agent += 1,
            Loss::Broken => {
                counts.flows_broken += 1;
                counts.remark(Remark::FlowBroken, remark);
            }
        });
    }

    /// Counts the time that an answer took.
    pub fn time_answer(&self, id: &str, took: Duration) {
        let took_ms = took.as_millis() as u64;
        self.count(|counts| {
            counts.slowest_answer_ms = counts.slowest_answer_ms.max(took_ms);
            if took_ms > SLOW_ANSWER_MS {
                counts.remark(Remark::AnswerSlow, &format!("{id}: {took_ms} ms"));
            }
        });
    }
}

impl CallerCounts {
    /// Returns the ends of attempts; each attempt has exactly one.
    pub const fn attempts_ended(&self) -> u64 {
        self.answers_whole
            + self.answers_wrong
            + self.answers_foreign
            + self.refused_not_run
            + self.outcome_unknown
            + self.answers_lost
            + self.target_errors
    }

    /// Keeps a remark with the time in ms since the epoch, as in the logs of the processes.
    pub fn remark(&mut self, kind: Remark, text: &str) {
        let own = self.remarks.entry(kind).or_default();
        if own.len() < MAX_REMARKS_OF_A_KIND {
            own.push(format!("{}: {text}", now_ms()));
        }
    }

    /// Counts a result code.
    pub fn code(&mut self, code: u16) {
        *self.codes.entry(code).or_default() += 1;
    }
}
