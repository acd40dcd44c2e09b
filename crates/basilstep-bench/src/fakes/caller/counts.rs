use super::{super::now_ms, flow::FlowLoss};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

const MAX_REMARKS_PER_KIND: usize = 6;
const SLOW_RESPONSE_MS: u64 = 500;

/// Counters shared by all callers of a run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct CallerCounts {
    /// Opened flows.
    pub flows_opened: u64,
    /// Failed attempts to open a flow.
    pub flows_not_opened: u64,
    /// Flows lost for a cause other than a failure domain that is out or a killed or paused agent.
    pub flows_broken: u64,
    /// Flows closed because their failure domain was taken out.
    pub flows_given_up: u64,
    /// Flows lost because their agent was killed or paused.
    pub flows_lost_with_agent: u64,
    /// When a caller last opened a new flow after losing one with its agent, in ms since the epoch;
    /// 0 if this never happened.
    pub last_reopened_ms: u64,
    /// Flows that the server asked the caller to replace (GOAWAY), with no response lost.
    pub flows_moved: u64,
    /// Requests sent, counting every attempt.
    pub requests_sent: u64,
    /// Responses that arrived complete and match their request.
    pub answers_whole: u64,
    /// Responses that arrived damaged or belong to another request.
    pub answers_wrong: u64,
    /// Complete responses from a target of another service.
    pub answers_foreign: u64,
    /// Attempts refused with a result code that says the request did not run.
    pub refused_not_run: u64,
    /// Attempts that ended with a result code for an unknown outcome.
    pub outcome_unknown: u64,
    /// Attempts whose response was lost with the flow or timed out.
    pub answers_lost: u64,
    /// Requests without a complete response after all attempts.
    pub requests_not_served: u64,
    /// Error responses without a result code.
    pub target_errors: u64,
    /// Opened boards.
    pub boards_opened: u64,
    /// Boards that did not open: refused, of unknown outcome, or failed at the target.
    pub boards_not_opened: u64,
    /// Board lines received.
    pub board_lines: u64,
    /// Board lines that were damaged or belong to another caller's board.
    pub board_lines_wrong: u64,
    /// Board lines from a target of another service.
    pub board_lines_foreign: u64,
    /// Gaps in the sequence numbers of a board: lines missing or repeated.
    pub board_gaps: u64,
    /// Boards that ended while their flow was still open.
    pub boards_cut: u64,
    /// Boards that ended because their target was killed.
    pub boards_lost_with_target: u64,
    /// Times a board received no line for too long.
    pub boards_stalled: u64,
    /// The longest time between two lines of a board, in ms.
    pub longest_board_gap_ms: u64,
    /// The longest response time, in ms.
    pub slowest_answer_ms: u64,
    /// Refusals and unknown outcomes of requests and boards, by result code.
    pub codes: BTreeMap<u16, u64>,
    /// Details of failures: the first few of each kind.
    pub remarks: BTreeMap<RemarkKind, Vec<String>>,
}

/// The kind of failure that a remark describes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RemarkKind {
    /// A flow was lost.
    FlowBroken,
    /// A flow could not be opened.
    FlowNotOpened,
    /// A response did not arrive.
    AnswerLost,
    /// A response was slow.
    AnswerSlow,
    /// A response was damaged or belongs to another request.
    AnswerWrong,
    /// A board ended while its flow was still open.
    BoardCut,
    /// An error response had no result code.
    TargetError,
}

/// How an offer ended, as seen by its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OfferOutcome {
    /// A complete response arrived: the offer must have run exactly once.
    Answered,
    /// Every attempt was refused as not run: the offer must not have run.
    NotRun,
    /// The outcome is unknown: the offer may have run at most once.
    Unknown,
}

/// Records the counters of all callers and the outcomes of their offers.
#[derive(Clone, Debug, Default)]
pub struct CallerRecorder(Arc<Mutex<Recorded>>);

#[derive(Debug, Default)]
struct Recorded {
    counts: CallerCounts,
    offers: BTreeMap<String, OfferOutcome>,
}

impl CallerRecorder {
    /// Updates the counters.
    pub fn update(&self, change: impl FnOnce(&mut CallerCounts)) {
        let mut recorded = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut recorded.counts);
    }

    /// Returns a copy of the counters.
    pub fn counts(&self) -> CallerCounts {
        let recorded = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        recorded.counts.clone()
    }

    /// Records the outcome of an offer.
    pub fn record_offer_outcome(&self, id: &str, outcome: OfferOutcome) {
        let mut recorded = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        recorded.offers.insert(id.to_owned(), outcome);
    }

    /// Returns the outcome of each offer by its id.
    pub fn offer_outcomes(&self) -> BTreeMap<String, OfferOutcome> {
        let recorded = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        recorded.offers.clone()
    }

    /// Counts a lost flow by its cause; an unexpected loss adds a remark.
    pub fn record_flow_loss(&self, loss: &FlowLoss, remark: &str) {
        self.update(|counts| match loss {
            FlowLoss::DomainOut => counts.flows_given_up += 1,
            FlowLoss::AgentLost => counts.flows_lost_with_agent += 1,
            FlowLoss::Unexpected => {
                counts.flows_broken += 1;
                counts.add_remark(RemarkKind::FlowBroken, remark);
            }
        });
    }

    /// Records a response time.
    pub fn record_latency(&self, id: &str, took: Duration) {
        let took_ms = took.as_millis() as u64;
        self.update(|counts| {
            counts.slowest_answer_ms = counts.slowest_answer_ms.max(took_ms);
            if took_ms > SLOW_RESPONSE_MS {
                counts.add_remark(RemarkKind::AnswerSlow, &format!("{id}: {took_ms} ms"));
            }
        });
    }
}

impl CallerCounts {
    /// Returns how many attempts have ended; each attempt is counted in exactly one of these
    /// fields.
    pub const fn attempts_ended(&self) -> u64 {
        self.answers_whole
            + self.answers_wrong
            + self.answers_foreign
            + self.refused_not_run
            + self.outcome_unknown
            + self.answers_lost
            + self.target_errors
    }

    /// Adds a remark prefixed with the time in ms since the epoch, as in the process logs.
    pub fn add_remark(&mut self, kind: RemarkKind, text: &str) {
        let texts = self.remarks.entry(kind).or_default();
        if texts.len() < MAX_REMARKS_PER_KIND {
            texts.push(format!("{}: {text}", now_ms()));
        }
    }

    /// Counts a result code.
    pub fn count_code(&mut self, code: u16) {
        *self.codes.entry(code).or_default() += 1;
    }
}
