use super::{
    counts::{Ending, Remark, Tally},
    flow::{Answer, Flow, RequestError, SERVER_NAME},
};
use crate::fakes::receipt::Receipt;
use basilstep_core::codes::ResultCode;
use bytes::Bytes;
use http::{Method, Request};
use std::time::{Duration, Instant};
use tokio::time;

const DEADLINE_MS: u64 = 3_000;
/// Longer than the deadline, so that the system's own answer comes first.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_500);
const DEFAULT_RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_secs(2);
const MAX_ATTEMPTS: u32 = 10;

/// The kinds of requests besides boards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// `POST /offers`, which must not run twice.
    Offer,
    /// `PUT /uploads/<id>`.
    Upload,
    /// `GET /quotes/<id>`.
    Quote,
}

/// One request of a caller with all its attempts.
#[derive(Debug)]
pub struct Operation {
    kind: Kind,
    id: String,
    body: Bytes,
    key: Option<String>,
    attempts: u32,
    max_attempts: u32,
    may_have_run: bool,
}

/// What a flow has told its caller so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Known {
    /// The newest ticket.
    pub ticket: Option<String>,
    /// The first target that answered; it is the flow's own unless the target leaves.
    pub target: Option<String>,
}

/// What to do after an attempt.
#[derive(Debug, Eq, PartialEq)]
pub enum Next {
    /// Nothing: the operation has ended.
    Ended,
    /// Try again on the same flow after a while.
    Retry(Duration),
    /// The answer was lost: send the same again, on another flow if this one is lost.
    SendAgain,
    /// The server asks for another flow.
    Move,
}

impl Operation {
    /// Makes an offer; an impatient one is not tried again after a refusal.
    pub fn offer(id: String, impatient: bool) -> Self {
        let body = Bytes::from(id.clone());
        let max_attempts = if impatient { 1 } else { MAX_ATTEMPTS };
        Self::new(Kind::Offer, id, body, max_attempts)
    }

    /// Makes an upload.
    pub fn upload(id: String, length_bytes: usize) -> Self {
        Self::new(
            Kind::Upload,
            id,
            Bytes::from(vec![b'u'; length_bytes]),
            MAX_ATTEMPTS,
        )
    }

    /// Makes a quote.
    pub fn quote(id: String) -> Self {
        Self::new(Kind::Quote, id, Bytes::new(), MAX_ATTEMPTS)
    }

    fn new(kind: Kind, id: String, body: Bytes, max_attempts: u32) -> Self {
        Self {
            kind,
            id,
            body,
            key: None,
            attempts: 0,
            max_attempts,
            may_have_run: false,
        }
    }

    /// Returns the kind of the request.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Makes one attempt; `known` is what the flow has told so far.
    pub async fn attempt(
        &mut self,
        flow: &Flow,
        service: &str,
        known: &mut Known,
        tally: &Tally,
    ) -> Next {
        self.attempts += 1;
        let Ok(request) = self.request(known.ticket.as_deref()) else {
            return self.end(tally, false);
        };
        tally.count(|counts| counts.requests_sent += 1);
        let began = Instant::now();
        let answered = time::timeout(ANSWER_TIMEOUT, flow.request(request, self.body.clone()));
        let answer = match answered.await {
            Ok(Ok(answer)) => answer,
            Ok(Err(RequestError::Moved)) => {
                tally.count(|counts| counts.requests_sent -= 1);
                self.attempts -= 1;
                return Next::Move;
            }
            Ok(Err(error)) => return self.lose_answer(&error.to_string(), tally),
            Err(_) => return self.lose_answer("no answer in time", tally),
        };
        tally.time_answer(&self.id, began.elapsed());
        if answer.ticket.is_some() {
            known.ticket.clone_from(&answer.ticket);
        }
        self.judge(&answer, service, known, tally)
    }

    /// Ends an operation that is not tried any more.
    pub fn give_up(&mut self, tally: &Tally) {
        if self.attempts > 0 {
            self.end(tally, false);
        }
    }

    fn request(&mut self, ticket: Option<&str>) -> http::Result<Request<()>> {
        let (method, path) = match self.kind {
            Kind::Offer => (Method::POST, "/offers".to_owned()),
            Kind::Upload => (Method::PUT, format!("/uploads/{}", self.id)),
            Kind::Quote => (Method::GET, format!("/quotes/{}", self.id)),
        };
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("https://{SERVER_NAME}{path}"))
            .header("basilstep-deadline-ms", DEADLINE_MS);
        if self.kind == Kind::Offer {
            let fresh = || format!("{}.{}", ticket.unwrap_or("none"), self.id);
            let key = self.key.get_or_insert_with(fresh);
            builder = builder.header("idempotency-key", key.as_str());
        }
        builder.body(())
    }

    fn judge(&mut self, answer: &Answer, service: &str, known: &mut Known, tally: &Tally) -> Next {
        match answer.code {
            Some(code) if code.is_not_run() => self.refused(code, answer, tally),
            Some(code) if code.is_outcome_unknown() => self.unknown(code, tally),
            _ if answer.status == 200 => self.check(answer, service, known, tally),
            _ => self.target_error(answer, tally),
        }
    }

    fn refused(&mut self, code: ResultCode, answer: &Answer, tally: &Tally) -> Next {
        tally.count(|counts| {
            counts.refused_not_run += 1;
            counts.code(code.number());
        });
        if code == ResultCode::TicketRequired && !self.may_have_run {
            self.key = None;
            // This refusal is part of getting a ticket, no sign of overload.
            if self.attempts <= 2 {
                return Next::Retry(Duration::ZERO);
            }
        }
        let wait = answer.retry_after.unwrap_or(DEFAULT_RETRY).min(MAX_RETRY);
        if self.attempts >= self.max_attempts {
            return self.end(tally, false);
        }
        Next::Retry(wait)
    }

    fn unknown(&mut self, code: ResultCode, tally: &Tally) -> Next {
        tally.count(|counts| {
            counts.outcome_unknown += 1;
            counts.code(code.number());
        });
        self.may_have_run = true;
        if self.kind == Kind::Offer || self.attempts >= self.max_attempts {
            return self.end(tally, false);
        }
        Next::Retry(DEFAULT_RETRY)
    }

    fn check(&mut self, answer: &Answer, service: &str, known: &mut Known, tally: &Tally) -> Next {
        let receipt = serde_json::from_slice::<Receipt>(&answer.body);
        let whole = matches!(&receipt, Ok(receipt) if receipt.is_whole(&self.id, &self.body));
        let foreign = matches!(&receipt, Ok(receipt) if receipt.service != service);
        tally.count(|counts| {
            counts.answers_whole += u64::from(whole && !foreign);
            counts.answers_wrong += u64::from(!whole);
            counts.answers_foreign += u64::from(whole && foreign);
            if !whole {
                let length = answer.body.len();
                counts.remark(
                    Remark::AnswerWrong,
                    &format!("{}: wrong answer of {length} bytes", self.id),
                );
            }
        });
        if let Ok(receipt) = receipt {
            known.target.get_or_insert(receipt.target);
        }
        self.end(tally, whole)
    }

    fn target_error(&mut self, answer: &Answer, tally: &Tally) -> Next {
        tally.count(|counts| {
            counts.target_errors += 1;
            counts.remark(
                Remark::TargetError,
                &format!("{}: status {} without a code", self.id, answer.status),
            );
        });
        self.may_have_run = true;
        if self.kind == Kind::Offer || self.attempts >= self.max_attempts {
            return self.end(tally, false);
        }
        Next::Retry(DEFAULT_RETRY)
    }

    fn lose_answer(&mut self, why: &str, tally: &Tally) -> Next {
        self.may_have_run = true;
        tally.count(|counts| {
            counts.answers_lost += 1;
            counts.remark(Remark::AnswerLost, &format!("{}: {why}", self.id));
        });
        if self.attempts >= MAX_ATTEMPTS {
            return self.end(tally, false);
        }
        Next::SendAgain
    }

    fn end(&self, tally: &Tally, answered: bool) -> Next {
        if !answered {
            tally.count(|counts| counts.requests_not_served += 1);
        }
        if self.kind == Kind::Offer {
            let ending = match (answered, self.may_have_run) {
                (true, _) => Ending::Answered,
                (false, true) => Ending::Unknown,
                (false, false) => Ending::NotRun,
            };
            tally.end_offer(&self.id, ending);
        }
        Next::Ended
    }
}
