//! The effects of answers, failures and silence of the target on its limit.

use super::{
    Admission, RequestId, RequestOutcome,
    in_flight::RunningRequest,
    overload_detector::{AnswerSample, LoadSignal},
};

/// The factor of the silence threshold at which the target counts as cold, relative to the one at
/// which sending stops.
const COLD_SILENCE_FACTOR: f64 = 1.5;

impl Admission {
    pub(super) fn on_answer(
        &mut self,
        id: RequestId,
        latency_ms: u32,
        outcome: RequestOutcome,
        now_ms: u64,
    ) {
        let Some(running) = self.in_flight.remove(id) else {
            return;
        };
        if outcome == RequestOutcome::Ok {
            self.note_answer(latency_ms, now_ms);
        }
        if running.epoch != self.limit.epoch() {
            return;
        }
        let answer = AnswerSample {
            latency_ms,
            outcome,
            latency_limit_ms: self.settings.latency_limit_ms,
            is_ramping: self.limit.is_cold(),
            at_cold_limit: self.limit.in_force() <= self.settings.cold_limit(),
        };
        let signal = self.detector.classify(running.class, &answer);
        self.apply_signal(signal, &running, latency_ms, now_ms);
        self.apply_outcome(outcome, now_ms);
    }

    fn note_answer(&mut self, latency_ms: u32, now_ms: u64) {
        self.detector.note_latency(latency_ms);
        self.last_answer_ms = now_ms;
        self.is_unresponsive = false;
        self.reachability.note_answer();
    }

    fn apply_signal(
        &mut self,
        signal: LoadSignal,
        running: &RunningRequest,
        latency_ms: u32,
        now_ms: u64,
    ) {
        match signal {
            LoadSignal::Good if self.last_full_ms >= running.sent_ms => {
                let busy_ms = f64::from(latency_ms);
                self.limit.grow(&self.settings, now_ms, busy_ms);
            }
            LoadSignal::Good | LoadSignal::Strained => {}
            LoadSignal::Overloaded => {
                self.decreases += 1;
                self.detector.restart();
                if self.limit.reduce(&self.settings, now_ms) {
                    self.cold_turns += 1;
                }
            }
            LoadSignal::Slowed { ratio } => {
                self.decreases += 1;
                self.detector.restart();
                if self.limit.apply_slowdown(&self.settings, ratio) {
                    self.cold_turns += 1;
                }
            }
            LoadSignal::Collapsed => self.turn_cold(),
        }
    }

    fn apply_outcome(&mut self, outcome: RequestOutcome, now_ms: u64) {
        match outcome {
            RequestOutcome::TargetGone => self.reachability.note_unreachable(now_ms),
            RequestOutcome::Shed {
                retry_after_ms: Some(wait_ms),
            } if self.limit.is_cold() && self.in_flight.len() == 0 => {
                self.reachability.pause(u64::from(wait_ms), now_ms);
            }
            _ => {}
        }
    }

    pub(super) fn turn_cold(&mut self) {
        self.cold_turns += 1;
        self.detector.restart();
        self.limit.turn_cold(&self.settings);
    }

    pub(super) fn cancel(&mut self, id: RequestId) {
        if !self.queue.remove(id) {
            self.in_flight.remove(id);
        }
        if self.in_flight.len() == 0 {
            self.is_unresponsive = false;
        }
    }

    pub(super) fn check_silence(&mut self, now_ms: u64) {
        if self.in_flight.len() == 0 {
            self.is_unresponsive = false;
            return;
        }
        if self
            .unresponsive_at_ms(COLD_SILENCE_FACTOR)
            .is_some_and(|at_ms| at_ms <= now_ms)
        {
            self.is_unresponsive = true;
            self.turn_cold();
        } else if self
            .unresponsive_at_ms(1.0)
            .is_some_and(|at_ms| at_ms <= now_ms)
        {
            self.is_unresponsive = true;
        }
    }

    pub(super) fn silence_timeout_at_ms(&self) -> Option<u64> {
        let timeout_factor = if self.is_unresponsive {
            COLD_SILENCE_FACTOR
        } else {
            1.0
        };
        self.unresponsive_at_ms(timeout_factor)
    }

    fn unresponsive_at_ms(&self, timeout_factor: f64) -> Option<u64> {
        let epoch = self.limit.epoch();
        self.in_flight.unresponsive_at_ms(
            &self.detector,
            epoch,
            self.last_answer_ms,
            timeout_factor,
        )
    }
}
