//! The carrier socket: exchanges callers' datagrams with balancers in authenticated frames and
//! presents them to the QUIC library as a UDP socket.

mod poller;

use crate::shared_state::SharedState;
use basilstep_core::{
    codes::ResultCode,
    placement::{CarrierHop, OfferDecision, OfferedPacket, acknowledge_offer},
    steering::parse_header,
    wire::{
        CarrierHeader, CarrierPurpose, MAX_FRAME_OVERHEAD_BYTES, MEMBERSHIP_VERSION, decode_frame,
        encode_frame,
    },
};
use poller::CarrierPoller;
use quinn::{
    AsyncUdpSocket, UdpPoller,
    udp::{RecvMeta, Transmit},
};
use std::{
    io::{self, IoSliceMut},
    net::{SocketAddr, SocketAddrV4},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};
use tokio::{io::ReadBuf, net::UdpSocket, sync::mpsc};

const MAX_DATAGRAM_BYTES: usize = 2_048;
const MAX_FRAME_BYTES: usize = MAX_DATAGRAM_BYTES + MAX_FRAME_OVERHEAD_BYTES;

/// A UDP socket for the QUIC library that decodes frames from balancers and encodes the packets
/// sent back through them.
#[derive(Debug)]
pub struct CarrierSocket {
    socket: Arc<UdpSocket>,
    shared: Arc<SharedState>,
    membership: mpsc::Sender<MembershipDatagram>,
}

/// A membership datagram and its sender.
#[derive(Clone, Debug)]
pub struct MembershipDatagram {
    /// The sender.
    pub from: SocketAddrV4,
    /// The authenticated message, not yet decoded.
    pub bytes: Vec<u8>,
}

impl CarrierSocket {
    /// Binds the agent's own address; membership datagrams that arrive there go to `membership`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when the address cannot be bound.
    pub async fn bind(
        shared: Arc<SharedState>,
        membership: mpsc::Sender<MembershipDatagram>,
    ) -> io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(shared.settings.common.address).await?;
        Ok(Arc::new(Self {
            socket: Arc::new(socket),
            shared,
            membership,
        }))
    }

    /// Returns the underlying UDP socket, over which membership messages are sent too.
    pub fn udp_socket(&self) -> Arc<UdpSocket> {
        Arc::clone(&self.socket)
    }

    fn forward_membership(&self, from: SocketAddr, bytes: &[u8]) {
        let SocketAddr::V4(from) = from else {
            return self.shared.counters.increment(ResultCode::Malformed);
        };
        let bytes = bytes.to_vec();
        // A full queue drops the message: membership retransmits what matters.
        let _ = self.membership.try_send(MembershipDatagram { from, bytes });
    }

    /// Decodes one frame; returns the caller's address and its QUIC packet when the local endpoint
    /// has to process it.
    fn decode_caller_packet<'a>(&self, frame: &'a [u8]) -> Option<(SocketAddr, &'a [u8])> {
        let decoded = decode_frame::<CarrierHeader>(&self.shared.keys.carrier, frame);
        let (header, payload) = match decoded {
            Ok(decoded) => decoded,
            Err(error) => {
                self.shared.counters.increment(error.code());
                return None;
            }
        };
        if header.service != self.shared.service_id() {
            self.shared.counters.increment(ResultCode::ForeignService);
            return None;
        }
        self.shared.note_settings_version(header.settings_version);
        if !self.accept_or_forward(&header, payload) {
            return None;
        }
        let now_ms = self.shared.clock.now_ms();
        self.shared
            .return_paths()
            .note_packet(header.caller, header.balancer, now_ms);
        Some((header.caller, payload))
    }

    /// Returns whether the local endpoint has to process the packet; forwards an offer of a new flow
    /// to another agent if the decision about it says so.
    fn accept_or_forward(&self, header: &CarrierHeader, payload: &[u8]) -> bool {
        if header.purpose == CarrierPurpose::Established {
            return true;
        }
        if let CarrierPurpose::CompareAck { by } = header.purpose {
            self.shared.note_acknowledged(by);
            return false;
        }
        let packet = match parse_header(payload) {
            Ok(packet) => packet,
            Err(error) => {
                self.shared.counters.increment(error.code());
                return false;
            }
        };
        let offered = OfferedPacket {
            caller: header.caller,
            connection_id: packet.connection_id,
            purpose: header.purpose,
        };
        if let Some(acknowledgement) = acknowledge_offer(&header.purpose, self.shared.address()) {
            self.forward_frame(header, acknowledgement, &[]);
        }
        let decision = self.shared.decide_offer(&offered);
        match decision {
            OfferDecision::Accept | OfferDecision::Refuse(_) => return true,
            OfferDecision::Drop(code) => self.shared.counters.increment(code),
            OfferDecision::Compare { .. } | OfferDecision::Assign { .. } => {}
        }
        if let Some(next) = decision.next_hop(self.shared.address()) {
            self.forward_frame(header, next, payload);
        }
        false
    }

    fn forward_frame(&self, header: &CarrierHeader, next: CarrierHop, payload: &[u8]) {
        let header = CarrierHeader {
            purpose: next.purpose,
            ..*header
        };
        let mut frame = [0; MAX_FRAME_BYTES];
        let key = &self.shared.keys.carrier;
        if let Ok(length) = encode_frame(key, &header, payload, &mut frame) {
            // When the offer is lost, the caller retransmits its packet.
            let _ = self.socket.try_send_to(&frame[..length], next.to.0.into());
        }
    }

    fn send_to_caller(&self, caller: SocketAddr, payload: &[u8]) -> io::Result<()> {
        let now_ms = self.shared.clock.now_ms();
        let Some(balancer) = self.shared.return_paths().choose_balancer(caller, now_ms) else {
            return Ok(());
        };
        let header = CarrierHeader {
            service: self.shared.service_id(),
            caller,
            balancer,
            settings_version: self.shared.settings_version(),
            purpose: CarrierPurpose::Answer { load_permille: 0 },
        };
        let mut frame = [0; MAX_FRAME_BYTES];
        let key = &self.shared.keys.carrier;
        let Ok(length) = encode_frame(key, &header, payload, &mut frame) else {
            return Ok(());
        };
        let sent = self.socket.try_send_to(&frame[..length], balancer.0.into());
        match sent {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // Any other failure counts as packet loss, which QUIC recovers from.
            _ => Ok(()),
        }
    }
}

impl AsyncUdpSocket for CarrierSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(CarrierPoller::new(Arc::clone(&self.socket)))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.send_to_caller(transmit.destination, transmit.contents)
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut frame = [0; MAX_FRAME_BYTES];
        loop {
            let mut read = ReadBuf::new(&mut frame);
            let Ok(from) = ready!(self.socket.poll_recv_from(cx, &mut read)) else {
                // An ICMP error caused by an earlier send; the next datagram can still be read.
                continue;
            };
            if read.filled().first() == Some(&MEMBERSHIP_VERSION) {
                self.forward_membership(from, read.filled());
                continue;
            }
            let Some((caller, payload)) = self.decode_caller_packet(read.filled()) else {
                continue;
            };
            let Some(buffer) = bufs[0].get_mut(..payload.len()) else {
                self.shared.counters.increment(ResultCode::Malformed);
                continue;
            };
            buffer.copy_from_slice(payload);
            meta[0] = RecvMeta {
                addr: caller,
                len: payload.len(),
                stride: payload.len(),
                ..RecvMeta::default()
            };
            return Poll::Ready(Ok(1));
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}
