//! Golden tests of admission control; `UPDATE_GOLDENFILES=1` regenerates the expected output.

use basilstep_core::{
    admission::{
        Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, CostClass, RequestId,
        RequestOutcome,
    },
    context::Context,
};
use rstest::rstest;
use std::{
    collections::{BTreeMap, BTreeSet},
    error::Error,
    fmt::Write,
};

/// One command of a script.
#[derive(Debug, goldenscript::Command)]
enum Line {
    /// Creates a target with these limits that has just started.
    Target {
        #[arg(key)]
        limit: u32,
        #[arg(key)]
        queue: u32,
    },
    /// Keeps the limit used up and answers each request after the latency.
    Serve {
        #[arg(key)]
        seconds: u64,
        #[arg(key)]
        latency_ms: u64,
    },
    /// Adds requests that arrive at the same time.
    Requests {
        #[arg(key)]
        count: u32,
        #[arg(key)]
        timeout_ms: u64,
    },
    /// Ends the oldest requests at the target with the outcome.
    Answers {
        #[arg(key)]
        count: u32,
        #[arg(key)]
        outcome: String,
    },
    /// Advances the time.
    Pass {
        #[arg(key)]
        ms: u64,
    },
    /// The target announces that it was restarted.
    Restart,
    /// The target announces a drain.
    Drain,
    /// The state that the target's health endpoint reports changes.
    Health {
        #[arg(key)]
        up: bool,
    },
    /// Prints the state of admission control.
    Status,
}

struct Scenario {
    admission: Admission,
    context: Context,
    next_id: u64,
    at_target: BTreeMap<RequestId, u64>,
}

/// The numbers of sent and queued requests and the retry times of refused ones.
#[derive(Default)]
struct Tally {
    sent: u32,
    queued: BTreeSet<RequestId>,
    refused: BTreeMap<String, Vec<u32>>,
}

impl Scenario {
    fn new() -> Self {
        Self {
            admission: Admission::new(AdmissionSettings::default(), 0),
            context: Context::new(1),
            next_id: 0,
            at_target: BTreeMap::new(),
        }
    }

    fn handle(&mut self, event: AdmissionEvent, tally: &mut Tally) {
        let actions = self.admission.handle(event, &mut self.context);
        for action in actions {
            match action {
                AdmissionAction::Run { id } => {
                    self.at_target.insert(id, self.context.now_ms);
                    tally.queued.remove(&id);
                    tally.sent += 1;
                }
                AdmissionAction::Queue { id } => {
                    tally.queued.insert(id);
                }
                AdmissionAction::Refuse {
                    id,
                    code,
                    retry_after_ms,
                } => {
                    tally.queued.remove(&id);
                    let times = tally.refused.entry(code.to_string()).or_default();
                    times.push(retry_after_ms);
                }
                AdmissionAction::AcceptConnection | AdmissionAction::RefuseConnection { .. } => {}
            }
        }
    }

    fn arrive(&mut self, timeout_ms: u64, tally: &mut Tally) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let arrived = AdmissionEvent::Arrived {
            id,
            deadline_ms: self.context.now_ms + timeout_ms,
            class: CostClass::default(),
        };
        self.handle(arrived, tally);
    }

    fn answer_oldest(&mut self, outcome: RequestOutcome, tally: &mut Tally) {
        let Some((id, sent_ms)) = self.at_target.pop_first() else {
            return;
        };
        let answered = AdmissionEvent::Answered {
            id,
            latency_ms: (self.context.now_ms - sent_ms) as u32,
            outcome,
        };
        self.handle(answered, tally);
    }

    fn serve(&mut self, length_ms: u64, latency_ms: u64) {
        let end_ms = self.context.now_ms + length_ms;
        let mut tally = Tally::default();
        while self.context.now_ms < end_ms {
            let view = self.admission.view();
            for _ in view.in_flight..view.limit {
                self.arrive(10_000, &mut tally);
            }
            self.pass(latency_ms, &mut tally);
            for _ in 0..self.at_target.len() {
                self.answer_oldest(RequestOutcome::Ok, &mut tally);
            }
        }
    }

    /// Advances the time and sends each [`AdmissionEvent::Tick`] when it is due.
    fn pass(&mut self, length_ms: u64, tally: &mut Tally) {
        let end_ms = self.context.now_ms + length_ms;
        while let Some(due_ms) = self.admission.wake_at_ms() {
            if due_ms > end_ms {
                break;
            }
            self.context.now_ms = due_ms;
            self.handle(AdmissionEvent::Tick, tally);
        }
        self.context.now_ms = end_ms;
    }

    fn status(&self) -> Result<String, Box<dyn Error>> {
        let view = self.admission.view();
        let mut text = format!(
            "limit {}, in flight {}, queued {}",
            view.limit, view.in_flight, view.queued
        );
        if view.cold {
            write!(text, ", cold")?;
        }
        if view.draining {
            write!(text, ", draining")?;
        }
        if self.admission.load_permille() == u16::MAX {
            write!(text, ", takes no new flow")?;
        }
        Ok(text)
    }
}

impl Tally {
    fn report(&self) -> Result<String, Box<dyn Error>> {
        let mut parts = Vec::new();
        if self.sent > 0 {
            parts.push(format!("{} sent", self.sent));
        }
        if !self.queued.is_empty() {
            parts.push(format!("{} queued", self.queued.len()));
        }
        for (code, times) in &self.refused {
            let least = times.iter().min().ok_or("a refusal has a retry time")?;
            let most = times.iter().max().ok_or("a refusal has a retry time")?;
            parts.push(format!(
                "{} refused ({code}), back in {least} to {most} ms",
                times.len()
            ));
        }
        if parts.is_empty() {
            return Ok("nothing".to_owned());
        }
        Ok(parts.join("; "))
    }
}

impl goldenscript::Runner for Scenario {
    type Command = Line;

    fn run(
        &mut self,
        line: &Line,
        _context: &goldenscript::Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut tally = Tally::default();
        match line {
            Line::Target { limit, queue } => {
                let settings = AdmissionSettings {
                    request_limit: *limit,
                    queue_limit: *queue,
                    ..AdmissionSettings::default()
                };
                self.admission = Admission::new(settings, self.context.now_ms);
                return self.status();
            }
            Line::Serve {
                seconds,
                latency_ms,
            } => {
                self.serve(seconds * 1_000, *latency_ms);
                return self.status();
            }
            Line::Requests { count, timeout_ms } => {
                for _ in 0..*count {
                    self.arrive(*timeout_ms, &mut tally);
                }
            }
            Line::Answers { count, outcome } => {
                let outcome = read_outcome(outcome)?;
                for _ in 0..*count {
                    self.answer_oldest(outcome, &mut tally);
                }
            }
            Line::Pass { ms } => self.pass(*ms, &mut tally),
            Line::Restart => self.handle(AdmissionEvent::TargetStarted, &mut tally),
            Line::Drain => self.handle(AdmissionEvent::DrainAnnounced, &mut tally),
            Line::Health { up } => self.handle(AdmissionEvent::HealthHint { up: *up }, &mut tally),
            Line::Status => return self.status(),
        }
        tally.report()
    }
}

fn read_outcome(text: &str) -> Result<RequestOutcome, Box<dyn Error>> {
    match text {
        "ok" => Ok(RequestOutcome::Ok),
        "slow" => Ok(RequestOutcome::TimedOut),
        "error" => Ok(RequestOutcome::Error),
        "shed" => Ok(RequestOutcome::Shed {
            retry_after_ms: None,
        }),
        "gone" => Ok(RequestOutcome::TargetGone),
        other => Err(format!("unknown outcome {other:?}").into()),
    }
}

#[rstest]
#[case::cold_start("cold_start")]
#[case::overload("overload")]
#[case::leaving("leaving")]
fn scenario(#[case] name: &str) {
    let path = format!("tests/scripts/admission/{name}");
    goldenscript::run(&mut Scenario::new(), path).expect("the script produces the expected output");
}
