//! The sequence numbers of a flow, as the callers and targets of the platform keep them.

use super::packet::{ACK, Packet, RST, SYN};
use std::net::SocketAddrV4;

/// The sequence number of a caller's SYN.
pub const CALLER_SEQUENCE: u32 = 100;

/// What a packet is to the caller's end of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Received {
    /// The answer to the last request.
    Answer,
    /// Data that has been received before; it is acknowledged again.
    Repeated,
    /// No data, or the packet belongs to another flow.
    Nothing,
    Reset,
    /// Data that neither continues the flow nor repeats a part of it.
    Unexpected,
}

/// The caller's end of an open flow with at most one request at work.
#[derive(Clone, Copy, Debug)]
pub struct CallerFlow {
    source: SocketAddrV4,
    entry: SocketAddrV4,
    send_sequence: u32,
    /// The sequence number of the first byte of the target.
    first_received: u32,
    receive_sequence: u32,
}

impl CallerFlow {
    /// Creates the flow that `opened`, the target's answer to the SYN, has opened.
    pub const fn new(opened: &Packet) -> Self {
        Self {
            source: opened.destination,
            entry: opened.source,
            send_sequence: CALLER_SEQUENCE + 1,
            first_received: opened.sequence + 1,
            receive_sequence: opened.sequence + 1,
        }
    }

    /// Returns the packet with a request, which gets the next sequence numbers.
    pub fn start_request(&mut self, text: &str) -> Packet {
        let packet = Packet {
            data: text.as_bytes().to_vec(),
            ..self.acknowledgement()
        };
        self.send_sequence = packet.end_sequence();
        packet
    }

    /// Returns a packet without data that acknowledges all received data.
    pub const fn acknowledgement(&self) -> Packet {
        Packet {
            flags: ACK,
            source: self.source,
            destination: self.entry,
            sequence: self.send_sequence,
            acknowledged: self.receive_sequence,
            data: Vec::new(),
        }
    }

    /// Classifies a received packet and counts its data if it is the answer to the last request.
    pub fn receive(&mut self, packet: &Packet) -> Received {
        if packet.destination != self.source {
            return Received::Nothing;
        }
        if packet.is(RST) {
            return Received::Reset;
        }
        if packet.is(SYN) || packet.data.is_empty() {
            return Received::Nothing;
        }
        let is_next = packet.sequence == self.receive_sequence;
        if is_next && packet.acknowledged == self.send_sequence {
            self.receive_sequence = packet.end_sequence();
            return Received::Answer;
        }
        let is_after_opening = packet.sequence >= self.first_received;
        if is_after_opening && packet.end_sequence() <= self.receive_sequence {
            return Received::Repeated;
        }
        Received::Unexpected
    }
}

/// The target's end of a flow.
#[derive(Clone, Debug)]
pub struct TargetFlow {
    first_sequence: u32,
    receive_sequence: u32,
    /// The sequence number of the last request and the answer to it.
    last_answer: Option<(u32, Packet)>,
}

impl TargetFlow {
    /// Accepts the flow that `syn` opens; `first_sequence` is the target's initial sequence number.
    pub const fn new(syn: &Packet, first_sequence: u32) -> Self {
        Self {
            first_sequence,
            receive_sequence: syn.sequence + 1,
            last_answer: None,
        }
    }

    /// Returns whether the caller acknowledges a sequence number that this target has sent.
    pub fn is_acknowledged_by(&self, packet: &Packet) -> bool {
        (self.first_sequence + 1..=self.send_sequence()).contains(&packet.acknowledged)
    }

    /// Returns the answer to a packet with data. A repeated request gets its first answer again, and
    /// data that is not the next in the flow only an acknowledgement.
    pub fn answer(&mut self, request: &Packet, text: impl FnOnce() -> String) -> Packet {
        if let Some((sequence, answer)) = &self.last_answer
            && *sequence == request.sequence
        {
            return answer.clone();
        }
        let is_next = request.sequence == self.receive_sequence;
        if is_next {
            self.receive_sequence = request.end_sequence();
        }
        let mut answer = Packet {
            flags: ACK,
            source: request.destination,
            destination: request.source,
            sequence: self.send_sequence(),
            acknowledged: self.receive_sequence,
            data: Vec::new(),
        };
        if is_next {
            answer.data = text().into_bytes();
            self.last_answer = Some((request.sequence, answer.clone()));
        }
        answer
    }

    fn send_sequence(&self) -> u32 {
        self.last_answer
            .as_ref()
            .map_or(self.first_sequence + 1, |(_, answer)| answer.end_sequence())
    }
}
