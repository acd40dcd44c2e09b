use super::figures::Figures;
use crate::load::one_service::service_address;
use basilstep_core::flows::{Flags, FlowKey, Segment};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The timeout of a request, as the platform's callers have it.
const TIMEOUT_MS: u64 = 2_500;
const FIRST_RESEND_MS: u64 = 200;
const LAST_RESEND_MS: u64 = 1_600;
/// The mean pause between two requests of a caller.
const MEAN_PAUSE_MS: u64 = 400;
const REQUEST_BYTES: u16 = 100;
const FIRST_PORT: u16 = 1_024;

/// What a caller is waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Handshake,
    Answer,
    Pause,
}

/// A caller with one flow at a time.
#[derive(Clone, Debug)]
pub struct Caller {
    number: u32,
    port: u16,
    state: State,
    started_ms: u64,
    /// When the caller acts next unless a packet arrives.
    pub due_ms: u64,
    resend_ms: u64,
    copies: u32,
    sequence: u32,
    acknowledged: u32,
}

impl Caller {
    /// Creates a caller that opens its flow at `due_ms`.
    pub const fn new(number: u32, due_ms: u64) -> Self {
        Self {
            number,
            port: FIRST_PORT,
            state: State::Pause,
            started_ms: due_ms,
            due_ms,
            resend_ms: FIRST_RESEND_MS,
            copies: 0,
            sequence: 0,
            acknowledged: 0,
        }
    }

    /// Returns the current flow.
    pub const fn flow(&self) -> FlowKey {
        let first = Ipv4Addr::new(100, 64, 0, 0).to_bits();
        FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::from_bits(first + self.number), self.port),
            service_address: service_address(),
        }
    }

    /// Handles a passed timer: sends, retransmits or times out. Returns the packet to send.
    pub fn on_timer(&mut self, now_ms: u64, figures: &mut Figures) -> Segment {
        let is_expired = now_ms >= self.started_ms + TIMEOUT_MS;
        match self.state {
            State::Handshake | State::Answer if is_expired => self.time_out(now_ms, figures),
            State::Handshake | State::Answer => self.copies += 1,
            State::Pause => self.start_attempt(now_ms, figures),
        }
        self.due_ms = now_ms + self.resend_ms;
        self.resend_ms = (self.resend_ms * 2).min(LAST_RESEND_MS);
        self.packet()
    }

    fn start_attempt(&mut self, now_ms: u64, figures: &mut Figures) {
        self.started_ms = now_ms;
        self.copies = 0;
        self.resend_ms = FIRST_RESEND_MS;
        if self.acknowledged == 0 {
            self.state = State::Handshake;
        } else {
            figures.requests += 1;
            self.state = State::Answer;
        }
    }

    fn time_out(&mut self, now_ms: u64, figures: &mut Figures) {
        match self.state {
            State::Handshake => figures.unopened += 1,
            State::Answer | State::Pause => figures.timed_out += 1,
        }
        self.reopen(now_ms, figures);
    }

    fn reopen(&mut self, now_ms: u64, figures: &mut Figures) {
        self.port += 1;
        self.sequence = 0;
        self.acknowledged = 0;
        self.start_attempt(now_ms, figures);
    }

    /// Handles a packet from the target or a reset.
    pub fn on_packet(
        &mut self,
        segment: &Segment,
        now_ms: u64,
        rng: &mut ChaCha8Rng,
        figures: &mut Figures,
    ) {
        if segment.flow_of_target() != self.flow() {
            return;
        }
        if segment.flags.rst {
            match self.state {
                State::Handshake => figures.unopened += 1,
                State::Answer => figures.resets += 1,
                State::Pause => {}
            }
            self.reopen(now_ms, figures);
            self.due_ms = now_ms;
            self.state = State::Pause;
            return;
        }
        let is_expected = match self.state {
            State::Handshake => segment.flags.syn,
            State::Answer => !segment.flags.syn && segment.acknowledged == self.next_sequence(),
            State::Pause => false,
        };
        if !is_expected {
            return;
        }
        if self.state == State::Answer {
            figures.answered += 1;
            figures
                .latency_ms
                .saturating_record(now_ms - self.started_ms);
            self.sequence = self.next_sequence();
        }
        self.acknowledged = segment.end_sequence().wrapping_add(1);
        self.state = State::Pause;
        self.due_ms = now_ms + rng.random_range(MEAN_PAUSE_MS / 2..MEAN_PAUSE_MS * 3 / 2);
    }

    fn next_sequence(&self) -> u32 {
        self.sequence.wrapping_add(u32::from(REQUEST_BYTES))
    }

    fn packet(&self) -> Segment {
        let is_in_handshake = self.state == State::Handshake;
        Segment {
            source: self.flow().caller,
            destination: service_address(),
            flags: Flags {
                syn: is_in_handshake,
                ack: !is_in_handshake,
                ..Flags::default()
            },
            sequence: self.sequence,
            acknowledged: if is_in_handshake {
                self.copies
            } else {
                self.acknowledged
            },
            data_bytes: if is_in_handshake { 0 } else { REQUEST_BYTES },
            cookie: 0,
        }
    }
}
